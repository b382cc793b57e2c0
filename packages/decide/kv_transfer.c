/* The choice between moving and recomputing a KV cache: see
   mq/kv_transfer.h.  */

#include <mq/kv_transfer.h>

#include <math.h>

/* A transfer must take less than this share of the recomputation.  */
#define MAX_COST_RATIO 0.8
#define BITS_PER_BYTE 8.0

double
mq_kv_transfer_move_us (const mq_kv_transfer *transfer)
{
  double bytes = (double)transfer->positions * transfer->layers
                 * transfer->kv_bytes_per_token;

  if (!(transfer->mbit_per_s > 0))
    return INFINITY;
  /* 1 Mbit/s is one bit per microsecond.  The link is passed twice: by the
     request for the cache and by the cache.  */
  return 2 * transfer->latency_us + transfer->export_us
         + bytes * BITS_PER_BYTE / transfer->mbit_per_s;
}

double
mq_kv_transfer_recompute_us (const mq_kv_transfer *transfer)
{
  uint32_t cached = MIN (transfer->cached_positions, transfer->positions);

  return transfer->prompt_token_us * (transfer->positions - cached);
}

bool
mq_kv_transfer_is_worthwhile (const mq_kv_transfer *transfer)
{
  return mq_kv_transfer_move_us (transfer)
         < MAX_COST_RATIO * mq_kv_transfer_recompute_us (transfer);
}
