/* Move a stream's KV cache, or compute it anew?

   When a stream leaves an engine that still answers (its VM is leaving, or it
   is slow), the cache that it holds for the stream can be exported and
   imported by the engine that takes over, or the prompt and the tokens so far
   can be run again.  The first costs bytes over a link, the second steps at
   every stage up to that one.  From an engine that died only the second is
   left.

   Pure: all figures are measured ones that the caller hands in.  */

#ifndef MQ_KV_TRANSFER_H
#define MQ_KV_TRANSFER_H

#include <mq/config.h>

G_BEGIN_DECLS

typedef struct mq_kv_transfer
{
  uint32_t positions;          /* Prompt and tokens so far.  */
  uint32_t layers;             /* Of the stage that moves.  */
  uint32_t kv_bytes_per_token; /* For one layer; see mq_model.  */
  double latency_us;           /* Of the link, one way.  */
  double mbit_per_s;           /* Of the link; 0: not known.  */
  double export_us;          /* What an export and an import take besides.  */
  double prompt_token_us;    /* To run one position again, at all stages.  */
  uint32_t cached_positions; /* Of a prefix that need not be run again.  */
} mq_kv_transfer;

/* Time to move the cache; INFINITY when the link's rate is not known.  */
double mq_kv_transfer_move_us (const mq_kv_transfer *transfer);

/* Time to compute it anew.  */
double mq_kv_transfer_recompute_us (const mq_kv_transfer *transfer);

/* Is moving clearly cheaper?  Estimates err, and running anew depends on
   nobody else, so it must be so by a margin.  */
bool mq_kv_transfer_is_worthwhile (const mq_kv_transfer *transfer);

G_END_DECLS

#endif
