/* mqbench_planner: what an ask and a review cost the planner.

   Prints, for several numbers of engines of one model in one region, the
   processor time of an ask with its release, of a tick and of a load report,
   with a fixed number of attempts in flight, and the bytes of an attempt.
   docs/CAPACITY.md takes its slopes from here.  */

#include <mq/internal/attempt.h>
#include <mq/planner.h>
#include <stdio.h>

#define RANGES 4
#define RANGE_LAYERS 8
#define DOMAINS 4
#define ORGANISATIONS 300
#define ASKS 20000
#define TICKS 200

static const guint engine_counts[] = { 40, 150, 600, 1200 };

static mq_str *
str_number (const char *prefix, guint n)
{
  return mq_str_printf ("%s%u", prefix, n);
}

static mq_config *
bench_config (guint engines)
{
  mq_config *c = mq_config_new (1);
  mq_model m = { str_number ("m", 0), str_number ("v", 1),
                 RANGES * RANGE_LAYERS, 4096, 16384 };
  mq_service s = { .name = str_number ("s", 0), .kind = MQ_SERVICE_MODEL };

  s.u.model.model = str_number ("m", 0);
  g_array_append_val (c->models, m);
  g_array_append_val (c->services, s);
  for (guint i = 0; i < engines; i++)
    {
      guint range = i % RANGES;
      mq_engine e = { .name = str_number ("e", i),
                      .url = str_number ("http://127.0.0.1:", 9000 + i),
                      .model = str_number ("m", 0),
                      .version = str_number ("v", 1),
                      .first = range * RANGE_LAYERS,
                      .end = (range + 1) * RANGE_LAYERS,
                      .accelerator = str_number ("a", i % 3),
                      .failure_domain = str_number ("d", i % DOMAINS),
                      .slots = 16,
                      .step_us = 8000 };

      g_array_append_val (c->engines, e);
    }
  return c;
}

static void
bench_ask (mq_planner *p, GArray *actions, uint64_t number, uint64_t now_us)
{
  char organisation[16];
  mq_planner_event e = { .kind = MQ_PLANNER_REQUEST, .now_us = now_us };

  g_snprintf (organisation, sizeof organisation, "o%u",
              (guint)(number % ORGANISATIONS));
  e.u.request = (mq_plan_request){ .id = { 1, number },
                                   .attempt = 1,
                                   .service = MQ_SPAN ("s0"),
                                   .organisation = mq_span_from (organisation),
                                   .prompt_tokens = 300,
                                   .max_tokens = 100,
                                   .deadline_us = 30000000 };
  g_array_set_size (actions, 0);
  mq_planner_handle (p, &e, actions);
}

static void
bench_release (mq_planner *p, GArray *actions, uint64_t number,
               uint64_t now_us)
{
  mq_planner_event e = { .kind = MQ_PLANNER_RELEASE, .now_us = now_us };

  e.u.release = (mq_plan_release){ .id = { 1, number },
                                   .attempt = 1,
                                   .end = MQ_ATTEMPT_DONE,
                                   .tokens = 100,
                                   .first_token_us = 60000,
                                   .mean_gap_us = 45000 };
  mq_planner_handle (p, &e, actions);
}

/* Microseconds of one of N, since BEGAN.  */
static double
each_us (gint64 began, guint n)
{
  return (double)(g_get_monotonic_time () - began) / n;
}

static double
bench_tick (mq_planner *p, GArray *actions, uint64_t *now_us)
{
  gint64 began = g_get_monotonic_time ();

  for (guint i = 0; i < TICKS; i++)
    {
      mq_planner_event e
          = { .kind = MQ_PLANNER_TICK, .now_us = *now_us += 100000 };

      g_array_set_size (actions, 0);
      mq_planner_handle (p, &e, actions);
    }
  return each_us (began, TICKS);
}

static double
bench_load (mq_planner *p, GArray *actions, guint engines, uint64_t now_us)
{
  gint64 began = g_get_monotonic_time ();
  guint n = 0;

  for (; n < ASKS; n++)
    {
      char engine[16];
      mq_planner_event e = { .kind = MQ_PLANNER_LOAD, .now_us = now_us + n };

      g_snprintf (engine, sizeof engine, "e%u", n % engines);
      e.u.load = (mq_engine_load){ .engine = mq_span_from (engine),
                                   .batch = 4,
                                   .step_us = 8000,
                                   .incarnation = 1 };
      mq_planner_handle (p, &e, actions);
    }
  return each_us (began, n);
}

static void
bench_size (guint engines)
{
  mq_config *config = bench_config (engines);
  mq_planner *p = mq_planner_new (MQ_SPAN ("d0"), 1);
  GArray *actions = mq_planner_actions_new ();
  mq_planner_event e = { .kind = MQ_PLANNER_CONFIG, .u.config = config };
  uint64_t held = (uint64_t)engines * 8;
  uint64_t now_us = 1000000;
  double ask_us, load_us, tick_us;
  gint64 began;

  mq_planner_handle (p, &e, actions);
  for (uint64_t i = 0; i < held; i++)
    bench_ask (p, actions, i, now_us);
  held = mq_planner_in_flight (p);
  began = g_get_monotonic_time ();
  for (uint64_t i = 0; i < ASKS; i++)
    {
      now_us += 100;
      bench_release (p, actions, i, now_us);
      bench_ask (p, actions, held + i, now_us);
    }
  ask_us = each_us (began, ASKS);
  load_us = bench_load (p, actions, engines, now_us);
  tick_us = bench_tick (p, actions, &now_us);
  printf ("%5u engines  %6u in flight  ask and release %.1f us  "
          "load report %.2f us  review %.0f us\n",
          engines, (guint)held, ask_us, load_us, tick_us);
  g_array_unref (actions);
  mq_planner_free (p);
  mq_config_unref (config);
}

int
main (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (engine_counts); i++)
    bench_size (engine_counts[i]);
  printf ("an attempt takes %zu bytes, an engine %zu\n", sizeof (mq_attempt),
          sizeof (mq_engine_state));
  return 0;
}
