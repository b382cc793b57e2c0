/* mqbench_policy: the policy under load and faults, in virtual time.

   Prints, for the deadline policy and for the round-robin baseline, goodput
   over the bound, the late share of what was accepted, and recovery after
   faults.  docs/MEASURES.md says what each figure means.  */

#include "trial.h"

#include <math.h>
#include <stdio.h>

static gint64 seed = 1;
static gint seeds = 3;
static gdouble seconds = 40;
static gboolean skip_baseline;

static const GOptionEntry options[] = {
  { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the run", "N" },
  { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "Seeds to run, from there on",
    "N" },
  { "skip-baseline", 0, 0, G_OPTION_ARG_NONE, &skip_baseline,
    "Leave out round robin", NULL },
  { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds,
    "Virtual length of a trial", "S" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static const double loads[] = { 0.5, 0.8, 1.0, 1.5, 3.0 };
static const double fault_loads[] = { 0.8, 1.5 };
static const trial_fault faults[]
    = { TRIAL_STAGE_DIES, TRIAL_LINK_SLOWS, TRIAL_DOMAIN_CUT,
        TRIAL_ENGINE_SLOWS, TRIAL_OWNER_DIES };

static const char *
routing_name (mq_routing routing)
{
  switch (routing)
    {
    case MQ_ROUTING_DEADLINE:
      return "deadline";
    case MQ_ROUTING_ROUND_ROBIN:
      return "round-robin";
    }
  return "?";
}

static trial_options
bench_options (mq_routing routing, double load)
{
  return (trial_options){ .seed = (uint64_t)seed,
                          .routing = routing,
                          .load = load,
                          .seconds = seconds,
                          .warm_seconds = seconds / 4 };
}

/* What several runs that differ in their seed alone gave.  */
typedef struct summary
{
  trial_result sum; /* Of the shares and levels; see bench_add.  */
  double least_goodput;
  double most_late;
  double least_small;
  double most_recovery; /* INFINITY: some run never recovered.  */
  double most_recovery_level;
  gint runs;
} summary;

static double
recovery_or_never (double recovery)
{
  return recovery < 0 ? INFINITY : recovery;
}

static void
bench_add (summary *s, const trial_result *r)
{
  s->runs++;
  s->sum.goodput += r->goodput;
  s->sum.goodput_count += r->goodput_count;
  s->sum.accepted_share += r->accepted_share;
  s->sum.late_share += r->late_share;
  s->sum.small_share += r->small_share;
  s->sum.large_share += r->large_share;
  s->sum.decide_us += r->decide_us;
  s->sum.level_before += r->level_before;
  s->sum.level_after += r->level_after;
  s->sum.replaced += r->replaced;
  s->least_goodput = MIN (s->least_goodput, r->goodput);
  s->least_small = MIN (s->least_small, r->small_share);
  s->most_late = MAX (s->most_late, r->late_share);
  s->most_recovery = MAX (s->most_recovery, recovery_or_never (r->recovery));
  s->most_recovery_level
      = MAX (s->most_recovery_level, recovery_or_never (r->recovery_level));
}

static summary
bench_run (trial_options o)
{
  summary s = { .least_goodput = INFINITY, .least_small = INFINITY };

  for (gint i = 0; i < seeds; i++)
    {
      trial_result r;

      o.seed = (uint64_t)(seed + i);
      trial_run (&o, &r);
      bench_add (&s, &r);
    }
  return s;
}

static void
bench_load (const char *variant, trial_options o)
{
  summary s = bench_run (o);
  int n = s.runs;

  printf ("%-11s load %.1f  %sgoodput %.3f (least %.3f, count %.3f)  "
          "accepted %.3f  late %.4f (most %.4f)  small %.2f (least %.2f)  "
          "large %.2f  ask %.0f us\n",
          routing_name (o.routing), o.load, variant, s.sum.goodput / n,
          s.least_goodput, s.sum.goodput_count / n, s.sum.accepted_share / n,
          s.sum.late_share / n, s.most_late, s.sum.small_share / n,
          s.least_small, s.sum.large_share / n, s.sum.decide_us / n);
  fflush (stdout);
}

static void
bench_fault (mq_routing routing, double load, trial_fault fault)
{
  trial_options o = bench_options (routing, load);
  summary s;
  int n;

  o.fault = fault;
  o.fault_at_seconds = seconds / 2;
  s = bench_run (o);
  n = s.runs;
  printf ("%-11s load %.1f  %-32s recovery %.1f s (to level %.1f s)  before "
          "%.3f after %.3f  late %.4f (most %.4f)  replaced %.0f\n",
          routing_name (routing), load, trial_fault_name (fault),
          s.most_recovery, s.most_recovery_level, s.sum.level_before / n,
          s.sum.level_after / n, s.sum.late_share / n, s.most_late,
          (double)s.sum.replaced / n);
  fflush (stdout);
}

static void
bench_policy (mq_routing routing)
{
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    bench_load ("", bench_options (routing, loads[i]));
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    for (guint j = 0; j < G_N_ELEMENTS (fault_loads); j++)
      bench_fault (routing, fault_loads[j], faults[i]);
}

/* Fleets that do not behave as the planner would like.  */
static void
bench_variants (mq_routing routing)
{
  for (guint i = 0; i < G_N_ELEMENTS (fault_loads); i++)
    {
      trial_options places = bench_options (routing, fault_loads[i]);
      trial_options no_progress = places;
      trial_options no_reports = places;
      trial_options own = places;

      places.places = true;
      no_progress.no_progress = true;
      no_reports.no_reports = true;
      bench_load ("places held for life  ", places);
      bench_load ("no progress told      ", no_progress);
      bench_load ("no load reports       ", no_reports);
      if (routing != MQ_ROUTING_DEADLINE)
        continue;
      own.planners = 7;
      bench_load ("7 entries that plan   ", own);
      own.planners = 33;
      bench_load ("33 entries that plan  ", own);
    }
}

int
main (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new ("- measure the policy");
  GError *error = NULL;
  int status = 1;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "mqbench_policy: %s\n", error->message);
      g_clear_error (&error);
      goto out;
    }
  printf ("%d seeds from %" G_GINT64_FORMAT
          ", %.0f s a trial in virtual time\n",
          seeds, seed, seconds);
  bench_policy (MQ_ROUTING_DEADLINE);
  bench_variants (MQ_ROUTING_DEADLINE);
  if (!skip_baseline)
    {
      bench_policy (MQ_ROUTING_ROUND_ROBIN);
      bench_variants (MQ_ROUTING_ROUND_ROBIN);
    }
  status = 0;

out:
  g_option_context_free (context);
  return status;
}
