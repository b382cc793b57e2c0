/* Splitting of a byte stream of server-sent events (text/event-stream) into
   events.

   Only complete events with consecutive ids are returned.  What an engine
   broke off in the middle of an event is never delivered, so that a new run
   can continue the same response after the last complete event.  */

#ifndef MQ_EVENT_SPLIT_H
#define MQ_EVENT_SPLIT_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Longest event; a longer one is a fault of the engine.  */
#define MQ_EVENT_MAX_BYTES ((size_t)256 * 1024)

typedef enum mq_event_result
{
  MQ_EVENT_NONE,  /* No complete event yet.  */
  MQ_EVENT_WHOLE, /* A complete event with the next id, or without an id.  */
  MQ_EVENT_FAULT  /* An id that is not the next, or too long an event.  */
} mq_event_result;

typedef struct mq_event_split
{
  GString *bytes;   /* Bytes received and not yet discarded.  */
  size_t taken;     /* Length of the returned events at the front of BYTES.  */
  uint64_t last_id; /* Of the last event returned, or before the first run.  */
  unsigned events;  /* Events with an id returned in all runs.  */
} mq_event_split;

/* LAST_ID is the id of the last event that the client has already.  */
void mq_event_split_init (mq_event_split *split, uint64_t last_id);
void mq_event_split_finish (mq_event_split *split);

/* Discard all buffered bytes: a new run begins after the last event.  */
void mq_event_split_restart (mq_event_split *split);

/* Append a copy of BYTES.  Invalidates the event last returned.  */
void mq_event_split_feed (mq_event_split *split, mq_span bytes);

/* Take the next event.  On MQ_EVENT_WHOLE, EVENT is set to its bytes with the
   empty line that ends it, borrowed until the next call of any function on
   SPLIT.  */
mq_event_result mq_event_split_next (mq_event_split *split, mq_span *event);

/* The buffered bytes that no event was returned of, borrowed as an event is.
 */
mq_span mq_event_split_rest (const mq_event_split *split);

/* Returns true if there are such bytes.  */
bool mq_event_split_has_partial (const mq_event_split *split);

G_END_DECLS

#endif
