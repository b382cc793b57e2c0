/* Which router propagates to one that lags: see mq/propagation.h.

   The hard case is a large configuration and many routers that are cut off
   from the store: if all others sent it to each of them, the queued messages
   would exhaust memory.  When the store recovers for all at once, each router
   appears to be the only one with the newest configuration until it receives
   the others' gossip.  */

#include <mq/propagation.h>

/* Returns the weight of NAME as a sender to RECEIVER; the lowest is first.  */
static uint64_t
propagation_weight (mq_span name, mq_span receiver)
{
  return mq_hash_mix (mq_span_hash (receiver), mq_span_hash (name));
}

unsigned
mq_propagation_rank (mq_span own, mq_span receiver, const mq_span *others,
                     size_t n)
{
  uint64_t weight = propagation_weight (own, receiver);
  unsigned rank = 0;

  for (size_t i = 0; i < n; i++)
    if (propagation_weight (others[i], receiver) < weight)
      rank++;
  return rank;
}

bool
mq_propagation_is_due (mq_lag *lag, bool lags, unsigned rank,
                       mq_propagation_delays delays, uint64_t now_us)
{
  if (!lags)
    {
      *lag = (mq_lag){ 0, 0 };
      return false;
    }
  if (lag->since_us == 0)
    lag->since_us = now_us;
  if (now_us < lag->since_us + delays.first_us + rank * delays.next_us
      || now_us < delays.not_before_us)
    return false;
  if (lag->sent_us > 0 && now_us < lag->sent_us + delays.next_us)
    return false;
  lag->sent_us = now_us;
  return true;
}

void
mq_digest_log_note (mq_digest_log *log, uint64_t digest, uint64_t now_us)
{
  unsigned last = (log->n - 1) % MQ_DIGEST_LOG_SIZE;

  if (log->n > 0 && log->digest[last] == digest)
    return;
  if (log->n > 0)
    log->until_us[last] = now_us;
  log->digest[log->n % MQ_DIGEST_LOG_SIZE] = digest;
  log->until_us[log->n % MQ_DIGEST_LOG_SIZE] = UINT64_MAX;
  log->n++;
}

bool
mq_digest_log_contains (const mq_digest_log *log, uint64_t digest,
                        uint64_t since_us)
{
  unsigned n = MIN (log->n, MQ_DIGEST_LOG_SIZE);

  for (unsigned i = 0; i < n; i++)
    if (log->digest[i] == digest && log->until_us[i] >= since_us)
      return true;
  return false;
}

void
mq_version_log_note (mq_version_log *log, uint64_t version, uint64_t now_us)
{
  log->version[log->n % MQ_VERSION_LOG_SIZE] = version;
  log->since_us[log->n % MQ_VERSION_LOG_SIZE] = now_us;
  log->n++;
}

uint64_t
mq_version_log_get (const mq_version_log *log, uint64_t us)
{
  for (unsigned i = 1; i <= MIN (log->n, MQ_VERSION_LOG_SIZE); i++)
    {
      unsigned at = (log->n - i) % MQ_VERSION_LOG_SIZE;

      if (log->since_us[at] <= us)
        return log->version[at];
    }
  return 0;
}
