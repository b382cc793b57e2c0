/* One answer stream from a model engine: the wire form of docs/UPSTREAMS.md.

   A stream carries one attempt of one request.  It reports to one sink and
   ends with exactly one MQ_ENGINE_STREAM_END or MQ_ENGINE_STREAM_FAILED,
   after which its pointer is dead.  Lines that carry another request or
   attempt are counted and dropped.  What a line says about layers is passed
   on unchecked: the entry judges it (mq/entry.h).  */

#ifndef MQ_ENGINE_STREAM_H
#define MQ_ENGINE_STREAM_H

#include <mq/entry.h>
#include <mq/http_client.h>
#include <mq/plan.h>

G_BEGIN_DECLS

typedef struct mq_engine_stream mq_engine_stream;

typedef enum mq_engine_stream_event_kind
{
  MQ_ENGINE_STREAM_OPEN, /* The head took the stream.  */
  MQ_ENGINE_STREAM_TOKEN,
  MQ_ENGINE_STREAM_END,   /* The head's own last line.  */
  MQ_ENGINE_STREAM_FAILED /* The connection or the answer broke.  */
} mq_engine_stream_event_kind;

typedef struct mq_engine_stream_event
{
  mq_engine_stream_event_kind kind;
  union
  {
    struct
    {
      uint32_t position;
      mq_span text;               /* Borrowed.  */
      const mq_receipt *receipts; /* Borrowed.  */
      size_t n_receipts;
    } token;
    struct
    {
      mq_stream_end end;
      uint32_t stage; /* STAGE_LOST.  */
    } end;
    mq_send_failure failure;
  } u;
} mq_engine_stream_event;

typedef void (*mq_engine_stream_sink) (void *context,
                                       const mq_engine_stream_event *event);

/* What to send; all is borrowed and copied.  */
typedef struct mq_engine_stream_options
{
  mq_span request; /* Id as text.  */
  uint32_t attempt;
  mq_span router; /* Incarnation as text.  */
  const mq_plan *plan;
  mq_span prompt;
  const mq_span *sent; /* Tokens that the caller has from earlier attempts. */
  size_t n_sent;
  uint32_t max_tokens; /* Over all attempts.  */
  int32_t priority;
  uint64_t deadline_us; /* Left.  */
} mq_engine_stream_options;

/* Open a stream at the plan's first engine.  Never reports from inside this
   function.  DROPPED, when not NULL, counts lines that match nothing.  */
mq_engine_stream *mq_engine_stream_new (
    mq_http_client *client, const mq_engine_stream_options *options,
    mq_engine_stream_sink sink, void *context, uint64_t *dropped);

/* Cut the stream, which makes the head cancel it in all stages; nothing more
   is reported and the pointer is dead.  May be called from the sink.  */
void mq_engine_stream_cancel (mq_engine_stream *stream);

/* Stop or go on reading, for back pressure.  */
void mq_engine_stream_pause (mq_engine_stream *stream, bool paused);

G_END_DECLS

#endif
