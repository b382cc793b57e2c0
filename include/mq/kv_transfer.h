/* The choice between moving a stream's KV cache and recomputing it.

   When a stream leaves an engine that still responds (its VM is leaving, or
   the engine is slow), the new engine can either import the KV cache that the
   old one exports, or run the prompt and all tokens so far again.  A transfer
   costs bytes on a link; a recomputation costs a step for each position at
   every stage up to the one that moves.  After a crash only recomputation is
   possible.

   These functions are pure; the caller supplies the measured inputs.  */

#ifndef MQ_KV_TRANSFER_H
#define MQ_KV_TRANSFER_H

#include <mq/config.h>

G_BEGIN_DECLS

typedef struct mq_kv_transfer
{
  uint32_t positions;          /* Prompt and generated tokens.  */
  uint32_t layers;             /* Of the stage that moves.  */
  uint32_t kv_bytes_per_token; /* For one layer; see mq_model.  */
  double latency_us;           /* Of the link, one way.  */
  double mbit_per_s;           /* Of the link; 0: unknown.  */
  double export_us;            /* Fixed cost of an export and an import.  */
  double prompt_token_us;      /* To recompute one position, at all stages.  */
  uint32_t cached_positions;   /* Of a cached prefix, not recomputed.  */
} mq_kv_transfer;

/* Returns the time to transfer the cache, in microseconds, or INFINITY if the
   link's rate is unknown.  */
double mq_kv_transfer_move_us (const mq_kv_transfer *transfer);

/* Returns the time to recompute the cache, in microseconds.  */
double mq_kv_transfer_recompute_us (const mq_kv_transfer *transfer);

/* Returns true if a transfer is cheaper than recomputation by a clear margin.
   The margin covers errors in the estimates; in doubt recomputation is
   preferred, since it does not depend on the old engine.  */
bool mq_kv_transfer_is_worthwhile (const mq_kv_transfer *transfer);

G_END_DECLS

#endif
