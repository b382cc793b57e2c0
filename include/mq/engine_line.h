/* One line of an engine's answer stream, decoded.

   A line names the request and the attempt that it belongs to and holds
   either a token with the receipts of all stages, or the end of the stream
   (docs/UPSTREAMS.md).  */

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
  uint32_t stage;
} mq_engine_line;

/* Decodes lines one after the other.  */
typedef struct mq_engine_line_reader mq_engine_line_reader;

mq_engine_line_reader *mq_engine_line_reader_new (void);
void mq_engine_line_reader_free (mq_engine_line_reader *reader);

/* Decode TEXT, a line without its newline, into *LINE, whose spans point
   into TEXT or the reader and are valid until the next call.  Returns 0, or
   -1 when TEXT is not such a line.  */
int mq_engine_line_read (mq_engine_line_reader *reader, mq_span text,
                         mq_engine_line *line);

G_END_DECLS

#endif
