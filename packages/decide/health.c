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
#define LEAST_PEERS 3
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

/* Engines of one model and one accelerator are peers.  */
static int
engine_compare_kind (const mq_engine_state *x, const mq_engine_state *y)
{
  int c = mq_span_compare (mq_str_span (x->model), mq_str_span (y->model));

  if (c != 0)
    return c;
  return mq_span_compare (mq_str_span (x->accelerator),
                          mq_str_span (y->accelerator));
}

static gint
engine_compare_slowness (gconstpointer a, gconstpointer b)
{
  const mq_engine_state *x = *(mq_engine_state *const *)a;
  const mq_engine_state *y = *(mq_engine_state *const *)b;
  int c = engine_compare_kind (x, y);
  double left = engine_slowness (x);
  double right = engine_slowness (y);

  return c != 0 ? c : (left > right) - (left < right);
}

/* The engines that others are held against, peers together, fast first.  */
static GPtrArray *
table_peers (const mq_engine_table *table)
{
  GPtrArray *peers = g_ptr_array_new ();

  for (guint i = 0; i < table->states->len; i++)
    {
      mq_engine_state *e = table->states->pdata[i];

      if (e->configured && !e->down && e->standing == MQ_ENGINE_GOOD)
        g_ptr_array_add (peers, e);
    }
  g_ptr_array_sort (peers, engine_compare_slowness);
  return peers;
}

/* How many of PEERS are of a kind before E's, or of E's too when WITH.  */
static guint
peers_before (const GPtrArray *peers, const mq_engine_state *e, bool with)
{
  guint low = 0;
  guint high = peers->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      int c = engine_compare_kind (peers->pdata[middle], e);

      if (c < 0 || (with && c == 0))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
engine_is_slow (const GPtrArray *peers, const mq_engine_state *e)
{
  guint first = peers_before (peers, e, false);
  guint n = peers_before (peers, e, true) - first;
  guint middle;

  if (n < LEAST_PEERS)
    return false;
  middle = first + (n - 1) * SLOW_PERCENTILE / 100;
  return engine_slowness (e)
         > SLOW_FACTOR * engine_slowness (peers->pdata[middle]);
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
engine_review (const GPtrArray *peers, mq_engine_state *e, uint64_t now_us)
{
  switch (e->standing)
    {
    case MQ_ENGINE_GOOD:
      e->slow_checks = engine_is_slow (peers, e) ? e->slow_checks + 1 : 0;
      return e->slow_checks >= SLOW_CHECKS;
    case MQ_ENGINE_ASIDE:
      if (now_us < e->standing_us + engine_aside_us (e))
        return false;
      engine_set_standing (e, MQ_ENGINE_PROBATION, now_us);
      /* What it was like is not what it is like: measure anew.  */
      e->drag = 1;
      return false;
    case MQ_ENGINE_PROBATION:
      if (e->observations >= PROBATION_SLOW && engine_is_slow (peers, e))
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
  GPtrArray *peers = table_peers (table);
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
      if (engine_review (peers, e, now_us)
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
  g_ptr_array_unref (peers);
}
