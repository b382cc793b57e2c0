/* Engines that fail or are slow: see mq/internal/health.h.  */

#include <mq/internal/health.h>

/* Back-off after one fault, by its kind.  */
#define DIED_US 500000
#define STALLED_US 1000000
#define REFUSED_US 100000
#define WRONG_US 5000000
#define MOST_BACK_OFF_US 30000000
#define MOST_DOUBLINGS 8
/* Slow is this much over that percentile of the peers, ...  */
#define SLOW_FACTOR 2.0
#define SLOW_PERCENTILE 50
#define LEAST_PEERS 2
/* ... in so many reviews in a row.  */
#define SLOW_CHECKS 3
/* How long an engine stays aside, doubled each time in a row.  */
#define ASIDE_US 5000000
#define MOST_ASIDE_US 60000000
/* How often an engine on probation must have been seen to be well, and how
   often to be found slow again.  */
#define PROBATION_WELL 20
#define PROBATION_SLOW 3

static uint64_t
back_off_us (mq_attempt_end end)
{
  switch (end)
    {
    case MQ_ATTEMPT_STAGE_DIED:
      return DIED_US;
    case MQ_ATTEMPT_STAGE_STALLED:
      return STALLED_US;
    case MQ_ATTEMPT_STAGE_REFUSED:
      return REFUSED_US;
    case MQ_ATTEMPT_STAGE_WRONG:
      return WRONG_US;
    case MQ_ATTEMPT_DONE:
    case MQ_ATTEMPT_CANCELLED:
      break;
    }
  return 0;
}

void
mq_health_note_success (mq_engine_state *engine, uint64_t now_us)
{
  if (now_us >= engine->back_off_us)
    engine->faults = 0;
}

void
mq_health_note_fault (mq_engine_state *engine, mq_attempt_end end,
                      uint64_t now_us)
{
  uint64_t wait = back_off_us (end);

  /* Many streams see one fault; it counts once.  */
  if (wait == 0 || (engine->faults > 0 && now_us < engine->back_off_us))
    return;
  wait <<= MIN (engine->faults, MOST_DOUBLINGS);
  engine->faults++;
  engine->faulted_us = now_us;
  engine->back_off_us = now_us + MIN (wait, MOST_BACK_OFF_US);
}

/* Time for one layer, by what was reported and what was seen.  */
static double
engine_slowness (const mq_engine_state *e)
{
  return mq_step_model_us (&e->step, e->slots) * e->drag
         / MAX (e->end - e->first, 1);
}

static bool
engine_is_peer (const mq_engine_state *e, const mq_engine_state *other)
{
  return other != e && other->configured && !other->down
         && other->standing == MQ_ENGINE_GOOD
         && mq_span_equal (mq_str_span (e->model), mq_str_span (other->model))
         && mq_span_equal (mq_str_span (e->accelerator),
                           mq_str_span (other->accelerator));
}

static gint
double_compare (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static bool
engine_is_slow (const mq_engine_table *table, const mq_engine_state *e)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (double));
  bool slow = false;

  for (guint i = 0; i < table->states->len; i++)
    {
      const mq_engine_state *other = table->states->pdata[i];

      if (engine_is_peer (e, other))
        {
          double s = engine_slowness (other);

          g_array_append_val (peers, s);
        }
    }
  if (peers->len >= LEAST_PEERS)
    {
      g_array_sort (peers, double_compare);
      slow = engine_slowness (e)
             > SLOW_FACTOR
                   * g_array_index (peers, double,
                                    (peers->len - 1) * SLOW_PERCENTILE / 100);
    }
  g_array_unref (peers);
  return slow;
}

/* Does another engine that may be used hold all that E holds?  */
static bool
engine_is_replaceable (const mq_engine_table *table, const mq_engine_state *e,
                       uint64_t now_us)
{
  for (guint i = 0; i < table->states->len; i++)
    {
      const mq_engine_state *other = table->states->pdata[i];

      if (other != e && other->first == e->first && other->end == e->end
          && mq_span_equal (mq_str_span (e->model), mq_str_span (other->model))
          && mq_engine_state_usable (other, now_us))
        return true;
    }
  return false;
}

static void
engine_set_standing (mq_engine_state *e, mq_engine_standing standing,
                     uint64_t now_us)
{
  e->standing = standing;
  e->standing_us = now_us;
  e->observations = 0;
  e->slow_checks = 0;
}

static uint64_t
engine_aside_us (const mq_engine_state *e)
{
  uint64_t wait = (uint64_t)ASIDE_US
                  << MIN (e->times_aside > 0 ? e->times_aside - 1 : 0,
                          MOST_DOUBLINGS);

  return MIN (wait, MOST_ASIDE_US);
}

/* Returns whether E is to be put aside.  */
static bool
engine_review (const mq_engine_table *table, mq_engine_state *e,
               uint64_t now_us)
{
  switch (e->standing)
    {
    case MQ_ENGINE_GOOD:
      e->slow_checks = engine_is_slow (table, e) ? e->slow_checks + 1 : 0;
      return e->slow_checks >= SLOW_CHECKS;
    case MQ_ENGINE_ASIDE:
      if (now_us < e->standing_us + engine_aside_us (e))
        return false;
      engine_set_standing (e, MQ_ENGINE_PROBATION, now_us);
      /* What it was like is not what it is like: measure anew.  */
      e->drag = 1;
      return false;
    case MQ_ENGINE_PROBATION:
      if (e->observations >= PROBATION_SLOW && engine_is_slow (table, e))
        return true;
      if (e->observations < PROBATION_WELL)
        return false;
      engine_set_standing (e, MQ_ENGINE_GOOD, now_us);
      e->times_aside = 0;
      return false;
    }
  return false;
}

void
mq_health_review (mq_engine_table *table, uint32_t put_aside_percent,
                  uint64_t now_us)
{
  uint64_t configured = 0;
  uint64_t aside = 0;

  for (guint i = 0; i < table->states->len; i++)
    {
      const mq_engine_state *e = table->states->pdata[i];

      configured += e->configured;
      aside += e->configured && e->standing == MQ_ENGINE_ASIDE;
    }
  for (guint i = 0; i < table->states->len; i++)
    {
      mq_engine_state *e = table->states->pdata[i];
      bool was_aside = e->standing == MQ_ENGINE_ASIDE;

      if (!e->configured)
        continue;
      if (engine_review (table, e, now_us)
          && (aside + 1) * 100 <= configured * put_aside_percent
          && engine_is_replaceable (table, e, now_us))
        {
          engine_set_standing (e, MQ_ENGINE_ASIDE, now_us);
          e->times_aside++;
          aside++;
        }
      if (was_aside && e->standing != MQ_ENGINE_ASIDE)
        aside--;
    }
}
