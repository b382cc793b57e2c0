/* Plans: see mq/plan.h.  */

#include <mq/plan.h>

#include <string.h>

void
mq_plan_init (mq_plan *plan)
{
  memset (plan, 0, sizeof *plan);
}

void
mq_plan_finish (mq_plan *plan)
{
  for (uint32_t i = 0; i < plan->n_stages; i++)
    {
      mq_str_unref (plan->stages[i].engine);
      mq_str_unref (plan->stages[i].url);
    }
  mq_str_unref (plan->model);
  mq_str_unref (plan->version);
  mq_plan_init (plan);
}

void
mq_plan_copy (mq_plan *to, const mq_plan *from)
{
  *to = *from;
  mq_str_ref (to->model);
  mq_str_ref (to->version);
  for (uint32_t i = 0; i < to->n_stages; i++)
    {
      mq_str_ref (to->stages[i].engine);
      mq_str_ref (to->stages[i].url);
    }
}

int
mq_plan_add (mq_plan *plan, mq_str *engine, mq_str *url, uint32_t first,
             uint32_t end)
{
  mq_stage *s;

  if (plan->n_stages == MQ_PLAN_MAX_STAGES)
    return -1;
  s = &plan->stages[plan->n_stages++];
  s->engine = mq_str_ref (engine);
  s->url = mq_str_ref (url);
  s->first = first;
  s->end = end;
  return 0;
}

mq_plan_check
mq_plan_check_coverage (const mq_plan *plan)
{
  uint32_t next = 0;

  if (plan->n_stages == 0)
    return MQ_PLAN_EMPTY;
  for (uint32_t i = 0; i < plan->n_stages; i++)
    {
      const mq_stage *s = &plan->stages[i];

      if (s->first > next || s->end <= s->first)
        return MQ_PLAN_GAP;
      if (s->first < next)
        return MQ_PLAN_OVERLAP;
      next = s->end;
    }
  if (next < plan->layers)
    return MQ_PLAN_GAP;
  return next > plan->layers ? MQ_PLAN_OVERLAP : MQ_PLAN_OK;
}

mq_plan_check
mq_plan_check_receipts (const mq_plan *plan, const mq_receipt *receipts,
                        size_t n)
{
  if (n == 0)
    return MQ_PLAN_EMPTY;
  if (n < plan->n_stages)
    return MQ_PLAN_GAP;
  if (n > plan->n_stages)
    return MQ_PLAN_OVERLAP;
  for (size_t i = 0; i < n; i++)
    {
      const mq_stage *s = &plan->stages[i];

      if (receipts[i].first > s->first || receipts[i].end < s->end)
        return MQ_PLAN_GAP;
      if (receipts[i].first < s->first || receipts[i].end > s->end)
        return MQ_PLAN_OVERLAP;
      if (!mq_span_equal (receipts[i].version, mq_str_span (plan->version)))
        return MQ_PLAN_VERSION;
    }
  return MQ_PLAN_OK;
}
