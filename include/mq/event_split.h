/* Cutting a stream of events (text/event-stream) into whole events.

   Only whole events with the id that is due are passed on: what an engine
   broke off in the middle stays behind, so that a new run can go on in the
   same answer without a trace of the seam.  */

#ifndef MQ_EVENT_SPLIT_H
#define MQ_EVENT_SPLIT_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Bytes of one event; a longer one is a fault of the engine.  */
#define MQ_EVENT_MAX_BYTES ((size_t)256 * 1024)

typedef enum mq_event_result
{
  MQ_EVENT_NONE,  /* No whole event yet.  */
  MQ_EVENT_WHOLE, /* One whole event with the id that was due, or none.  */
  MQ_EVENT_FAULT  /* An id that is not due, or too long an event.  */
} mq_event_result;

typedef struct mq_event_split
{
  GString *bytes;   /* What has come and was not taken.  */
  size_t taken;     /* Of BYTES, from the front.  */
  uint64_t last_id; /* Of the last event taken, or where the run began.  */
  unsigned events;  /* Taken in all runs.  */
} mq_event_split;

/* LAST_ID: the last event that the client has already.  */
void mq_event_split_init (mq_event_split *split, uint64_t last_id);
void mq_event_split_finish (mq_event_split *split);

/* Forget what is not whole: a new run begins after the last event taken.  */
void mq_event_split_restart (mq_event_split *split);

void mq_event_split_feed (mq_event_split *split, mq_span bytes);

/* Take the next event.  EVENT is borrowed until the next call.  */
mq_event_result mq_event_split_next (mq_event_split *split, mq_span *event);

/* Is there part of an event that is not whole?  */
bool mq_event_split_has_partial (const mq_event_split *split);

G_END_DECLS

#endif
