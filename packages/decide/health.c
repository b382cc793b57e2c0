/* Health of engines: see mq/internal/health.h.  */

#include <mq/internal/health.h>

/* Back-off after a single fault, by its kind, and its limits.  */
#define DIED_BACKOFF_US 500000
#define STALLED_BACKOFF_US 1000000
#define REFUSED_BACKOFF_US 100000
#define WRONG_BACKOFF_US 5000000
#define MAX_BACKOFF_US 30000000
#define MAX_DOUBLINGS 8
/* An engine is slow if it exceeds SLOW_PERCENTILE of its peers by SLOW_FACTOR
   in SLOW_REVIEWS consecutive reviews.  Groups of fewer than MIN_PEERS are not
   compared.  */
#define SLOW_FACTOR 2.0
#define SLOW_PERCENTILE 50
#define MIN_PEERS 3
#define SLOW_REVIEWS 3
/* Duration of an ejection, doubled with each consecutive one.  */
#define EJECTION_US 5000000
#define MAX_EJECTION_US 60000000
/* Observed gaps after which an engine passes its probation, and after which it
   may fail it.  */
#define PROBATION_PASS_GAPS 20
#define PROBATION_FAIL_GAPS 3

static uint64_t
health_base_backoff_us (mq_attempt_end end)
{
  switch (end)
    {
    case MQ_ATTEMPT_STAGE_DIED:
      return DIED_BACKOFF_US;
    case MQ_ATTEMPT_STAGE_STALLED:
      return STALLED_BACKOFF_US;
    case MQ_ATTEMPT_STAGE_REFUSED:
      return REFUSED_BACKOFF_US;
    case MQ_ATTEMPT_STAGE_WRONG:
      return WRONG_BACKOFF_US;
    case MQ_ATTEMPT_DONE:
    case MQ_ATTEMPT_CANCELLED:
      break;
    }
  return 0;
}

void
mq_health_note_success (mq_engine_state *engine, uint64_t now_us)
{
  if (now_us >= engine->backoff_until_us)
    engine->faults = 0;
}

void
mq_health_note_fault (mq_engine_state *engine, mq_attempt_end end,
                      uint64_t now_us)
{
  uint64_t wait = health_base_backoff_us (end);

  /* Many streams observe the same fault; it counts once.  */
  if (wait == 0 || (engine->faults > 0 && now_us < engine->backoff_until_us))
    return;
  wait <<= MIN (engine->faults, MAX_DOUBLINGS);
  engine->faults++;
  engine->last_fault_us = now_us;
  engine->backoff_until_us = now_us + MIN (wait, MAX_BACKOFF_US);
}

/* Returns the observed step time for one layer.  */
static double
engine_layer_us (const mq_engine_state *e)
{
  return mq_step_model_us (&e->step, e->slots) * e->slowdown_factor
         / MAX (e->end - e->first, 1);
}

/* Peers are the engines of one model with the same accelerator.  */
static int
engine_compare_peer_group (const mq_engine_state *x, const mq_engine_state *y)
{
  int c = mq_span_compare (mq_str_span (x->model), mq_str_span (y->model));

  if (c != 0)
    return c;
  return mq_span_compare (mq_str_span (x->accelerator),
                          mq_str_span (y->accelerator));
}

static gint
engine_compare_layer_us (gconstpointer a, gconstpointer b)
{
  const mq_engine_state *x = *(mq_engine_state *const *)a;
  const mq_engine_state *y = *(mq_engine_state *const *)b;
  int c = engine_compare_peer_group (x, y);
  double left = engine_layer_us (x);
  double right = engine_layer_us (y);

  return c != 0 ? c : (left > right) - (left < right);
}

/* Returns the healthy engines, grouped by peers, the fastest first in each
   group.  */
static GPtrArray *
table_peers (const mq_engine_table *table)
{
  GPtrArray *peers = g_ptr_array_new ();

  for (guint i = 0; i < table->states->len; i++)
    {
      mq_engine_state *e = table->states->pdata[i];

      if (e->configured && !e->down && e->health_state == MQ_ENGINE_HEALTHY)
        g_ptr_array_add (peers, e);
    }
  g_ptr_array_sort (peers, engine_compare_layer_us);
  return peers;
}

/* Returns the number of PEERS in groups before E's, and in E's own group too
   if INCLUSIVE.  */
static guint
peers_count_before (const GPtrArray *peers, const mq_engine_state *e,
                    bool inclusive)
{
  guint low = 0;
  guint high = peers->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      int c = engine_compare_peer_group (peers->pdata[middle], e);

      if (c < 0 || (inclusive && c == 0))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
engine_is_slow (const GPtrArray *peers, const mq_engine_state *e)
{
  guint first = peers_count_before (peers, e, false);
  guint n = peers_count_before (peers, e, true) - first;
  guint middle;

  if (n < MIN_PEERS)
    return false;
  middle = first + (n - 1) * SLOW_PERCENTILE / 100;
  return engine_layer_us (e)
         > SLOW_FACTOR * engine_layer_us (peers->pdata[middle]);
}

/* Returns true if another usable engine holds the same layers as E.  */
static bool
engine_is_replaceable (const mq_engine_table *table, const mq_engine_state *e,
                       uint64_t now_us)
{
  for (guint i = 0; i < table->states->len; i++)
    {
      const mq_engine_state *other = table->states->pdata[i];

      if (other != e && other->first == e->first && other->end == e->end
          && mq_span_equal (mq_str_span (e->model), mq_str_span (other->model))
          && mq_engine_state_is_usable (other, now_us))
        return true;
    }
  return false;
}

static void
engine_set_health_state (mq_engine_state *e, mq_engine_health health_state,
                         uint64_t now_us)
{
  e->health_state = health_state;
  e->health_since_us = now_us;
  e->gap_observations = 0;
  e->consecutive_slow_reviews = 0;
}

static uint64_t
engine_ejection_us (const mq_engine_state *e)
{
  uint64_t wait
      = (uint64_t)EJECTION_US << MIN (
            e->consecutive_ejections > 0 ? e->consecutive_ejections - 1 : 0,
            MAX_DOUBLINGS);

  return MIN (wait, MAX_EJECTION_US);
}

/* Returns true if E is to be ejected.  */
static bool
engine_review (const GPtrArray *peers, mq_engine_state *e, uint64_t now_us)
{
  switch (e->health_state)
    {
    case MQ_ENGINE_HEALTHY:
      e->consecutive_slow_reviews
          = engine_is_slow (peers, e) ? e->consecutive_slow_reviews + 1 : 0;
      return e->consecutive_slow_reviews >= SLOW_REVIEWS;
    case MQ_ENGINE_EJECTED:
      if (now_us < e->health_since_us + engine_ejection_us (e))
        return false;
      engine_set_health_state (e, MQ_ENGINE_PROBATION, now_us);
      /* The old measurement may no longer apply: measure again.  */
      e->slowdown_factor = 1;
      return false;
    case MQ_ENGINE_PROBATION:
      if (e->gap_observations >= PROBATION_FAIL_GAPS
          && engine_is_slow (peers, e))
        return true;
      if (e->gap_observations < PROBATION_PASS_GAPS)
        return false;
      engine_set_health_state (e, MQ_ENGINE_HEALTHY, now_us);
      e->consecutive_ejections = 0;
      return false;
    }
  return false;
}

void
mq_health_review (mq_engine_table *table, uint32_t max_ejected_percent,
                  uint64_t now_us)
{
  GPtrArray *peers = table_peers (table);
  uint64_t configured = 0;
  uint64_t ejected = 0;

  for (guint i = 0; i < table->states->len; i++)
    {
      const mq_engine_state *e = table->states->pdata[i];

      configured += e->configured;
      ejected += e->configured && e->health_state == MQ_ENGINE_EJECTED;
    }
  for (guint i = 0; i < table->states->len; i++)
    {
      mq_engine_state *e = table->states->pdata[i];
      bool was_ejected = e->health_state == MQ_ENGINE_EJECTED;

      if (!e->configured)
        continue;
      if (engine_review (peers, e, now_us)
          && (ejected + 1) * 100 <= configured * max_ejected_percent
          && engine_is_replaceable (table, e, now_us))
        {
          engine_set_health_state (e, MQ_ENGINE_EJECTED, now_us);
          e->consecutive_ejections++;
          ejected++;
        }
      if (was_ejected && e->health_state != MQ_ENGINE_EJECTED)
        ejected--;
    }
  g_ptr_array_unref (peers);
}
