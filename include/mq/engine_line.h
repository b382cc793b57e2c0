/* Decoder for the lines of a model engine's response stream.

   A line names its request and attempt and holds either a token with the
   receipts of all stages, or the end of the stream (docs/UPSTREAMS.md).  */

#ifndef MQ_ENGINE_LINE_H
#define MQ_ENGINE_LINE_H

#include <mq/entry.h>
#include <mq/plan.h>

G_BEGIN_DECLS

typedef enum mq_engine_line_kind
{
  MQ_ENGINE_LINE_TOKEN,
  MQ_ENGINE_LINE_END
} mq_engine_line_kind;

typedef struct mq_engine_line
{
  mq_engine_line_kind kind;
  mq_span request;
  uint32_t attempt;
  /* TOKEN  */
  uint32_t position;
  mq_span text;
  mq_receipt receipts[MQ_PLAN_MAX_STAGES];
  size_t n_receipts;
  /* END  */
  mq_stream_end end;
  uint32_t stage; /* The stage that failed, for STAGE_LOST.  */
} mq_engine_line;

typedef struct mq_engine_line_reader mq_engine_line_reader;

mq_engine_line_reader *mq_engine_line_reader_new (void);
void mq_engine_line_reader_free (mq_engine_line_reader *reader);

/* Decodes TEXT, a line without its newline, into *LINE.  The spans of LINE
   point into TEXT or READER and are valid until the next call.  Returns 0, or
   -1 if TEXT is not a valid line.  */
int mq_engine_line_read (mq_engine_line_reader *reader, mq_span text,
                         mq_engine_line *line);

G_END_DECLS

#endif
