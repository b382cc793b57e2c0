/* One response stream from a model engine, in the format of
   docs/UPSTREAMS.md.

   A stream carries one attempt of one request.  It reports to one sink and
   ends with exactly one MQ_ENGINE_STREAM_END or MQ_ENGINE_STREAM_FAILED,
   after which its pointer is invalid.  Lines of another request or attempt
   are counted and dropped.  The receipts of a token are not verified here but
   by the entry (mq/entry.h).  */

#ifndef MQ_ENGINE_STREAM_H
#define MQ_ENGINE_STREAM_H

#include <mq/entry.h>
#include <mq/http_client.h>
#include <mq/plan.h>

G_BEGIN_DECLS

typedef struct mq_engine_stream mq_engine_stream;

typedef enum mq_engine_stream_event_kind
{
  MQ_ENGINE_STREAM_OPEN, /* The first engine accepted the stream.  */
  MQ_ENGINE_STREAM_TOKEN,
  MQ_ENGINE_STREAM_END,   /* The first engine sent its last line; if that
                             states a complete answer, the HTTP response was
                             whole and held nothing more.  */
  MQ_ENGINE_STREAM_FAILED /* The connection failed, or the response is an
                             error, truncated or malformed.  */
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
      uint32_t stage; /* For STAGE_LOST.  */
    } end;
    mq_send_failure failure;
  } u;
} mq_engine_stream_event;

typedef void (*mq_engine_stream_sink) (void *context,
                                       const mq_engine_stream_event *event);

/* The request.  All pointers are borrowed; the stream keeps copies.  */
typedef struct mq_engine_stream_options
{
  mq_span request; /* Request id as text.  */
  uint32_t attempt;
  mq_span router; /* Incarnation as text.  */
  const mq_plan *plan;
  mq_span prompt;
  const mq_span *sent; /* Tokens sent to the caller by earlier attempts. */
  size_t n_sent;
  uint32_t max_tokens; /* Over all attempts.  */
  int32_t priority;
  uint64_t deadline_us; /* Time left.  */
} mq_engine_stream_options;

/* Opens a stream at the plan's first engine.  SINK is never called from inside
   this function.  DROPPED, if not NULL, counts lines of other attempts; it is
   borrowed.  */
mq_engine_stream *mq_engine_stream_new (
    mq_http_client *client, const mq_engine_stream_options *options,
    mq_engine_stream_sink sink, void *context, uint64_t *dropped);

/* Closes the stream, which makes the first engine cancel it at all stages.
   Nothing more is reported, and the pointer is invalid.  May be called from
   the sink.  */
void mq_engine_stream_cancel (mq_engine_stream *stream);

/* Stops or resumes reading, for back pressure.  */
void mq_engine_stream_pause (mq_engine_stream *stream, bool paused);

G_END_DECLS

#endif
