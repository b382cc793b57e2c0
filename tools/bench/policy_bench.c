/* mqbench_policy: the policy under load and faults, in virtual time.

   Prints, for the deadline policy and for the round-robin baseline, goodput
   over the bound, the late share of what was accepted, and recovery after
   faults.  docs/MEASURES.md says what each figure means.  */

#include "trial.h"

#include <stdio.h>

static gint64 seed = 1;
static gdouble seconds = 40;

static const GOptionEntry options[] = {
  { "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of the run", "N" },
  { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds,
    "Virtual length of a trial", "S" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static const double loads[] = { 0.5, 0.8, 1.0, 1.5, 3.0 };
static const double fault_loads[] = { 0.8, 1.5 };
static const trial_fault faults[] = { TRIAL_STAGE_DIES, TRIAL_LINK_SLOWS,
                                      TRIAL_DOMAIN_CUT, TRIAL_ENGINE_SLOWS };

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

static void
bench_loads (mq_routing routing)
{
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      trial_options o = bench_options (routing, loads[i]);
      trial_result r;

      trial_run (&o, &r);
      printf ("%-11s load %.1f  goodput %.3f (count %.3f)  accepted %.3f  "
              "late %.4f  small %.3f  ask %.1f us\n",
              routing_name (routing), loads[i], r.goodput, r.goodput_count,
              (double)r.accepted / r.arrived, r.late_share, r.small_share,
              r.decide_us);
      fflush (stdout);
    }
}

static void
bench_faults (mq_routing routing)
{
  for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
    for (guint j = 0; j < G_N_ELEMENTS (fault_loads); j++)
      {
        trial_options o = bench_options (routing, fault_loads[j]);
        trial_result r;

        o.fault = faults[i];
        o.fault_at_seconds = seconds / 2;
        trial_run (&o, &r);
        printf (
            "%-11s load %.1f  %-33s recovery %.1f s (to level %.1f s)  "
            "before %.3f after %.3f  late %.4f  replaced %" G_GUINT64_FORMAT
            "\n",
            routing_name (routing), fault_loads[j],
            trial_fault_name (faults[i]), r.recovery, r.recovery_level,
            r.level_before, r.level_after, r.late_share, r.replaced);
        fflush (stdout);
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
  printf ("seed %" G_GINT64_FORMAT ", %.0f s a trial in virtual time\n", seed,
          seconds);
  bench_loads (MQ_ROUTING_DEADLINE);
  bench_loads (MQ_ROUTING_ROUND_ROBIN);
  bench_faults (MQ_ROUTING_DEADLINE);
  bench_faults (MQ_ROUTING_ROUND_ROBIN);
  status = 0;

out:
  g_option_context_free (context);
  return status;
}
