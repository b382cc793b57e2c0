/* The decision log: see mq/decision_log.h.  */

#include <mq/decision_log.h>

struct mq_decision_log
{
  uint32_t capacity;
  uint32_t count;
  uint32_t oldest;
  mq_decision records[];
};

mq_decision_log *
mq_decision_log_new (uint32_t capacity)
{
  mq_decision_log *l;

  g_assert (capacity > 0);
  l = g_malloc0 (sizeof *l + capacity * sizeof l->records[0]);
  l->capacity = capacity;
  return l;
}

void
mq_decision_log_free (mq_decision_log *log)
{
  g_free (log);
}

void
mq_decision_log_add (mq_decision_log *log, const mq_decision *decision)
{
  log->records[(log->oldest + log->count) % log->capacity] = *decision;
  if (log->count < log->capacity)
    log->count++;
  else
    log->oldest = (log->oldest + 1) % log->capacity;
}

uint32_t
mq_decision_log_count (const mq_decision_log *log)
{
  return log->count;
}

const mq_decision *
mq_decision_log_at (const mq_decision_log *log, uint32_t i)
{
  return &log->records[(log->oldest + i) % log->capacity];
}

const char *
mq_decision_kind_name (mq_decision_kind kind)
{
  switch (kind)
    {
    case MQ_DECISION_REFUSED:
      return "refused";
    case MQ_DECISION_ADMITTED:
      return "admitted";
    case MQ_DECISION_MOVED:
      return "moved";
    case MQ_DECISION_RETRIED:
      return "retried";
    case MQ_DECISION_ENDED:
      return "ended";
    }
  return "unknown";
}
