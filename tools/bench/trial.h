/* One trial of the planner against small fake engines in virtual time.

   The engines batch continuously: as soon as one is free it takes up to
   `slots` units that wait for it, highest priority first, and is busy for a
   step whose length depends on its accelerator kind and, a little, on how
   full the batch is.  A token is one unit at each stage; a prompt is one unit
   for each PROMPT_UNIT tokens.  Links join three failure domains and differ a
   hundredfold.  Load is reported with a lag.  docs/MEASURES.md says what the
   figures mean.  */

#ifndef BENCH_TRIAL_H
#define BENCH_TRIAL_H

#include <mq/config.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define TRIAL_ORGANISATIONS 10

typedef enum trial_fault
{
  TRIAL_NO_FAULT,
  TRIAL_STAGE_DIES,   /* The fastest engine of the second range.  */
  TRIAL_LINK_SLOWS,   /* Tenfold, between two failure domains.  */
  TRIAL_DOMAIN_CUT,   /* A third of a failure domain's engines go.  */
  TRIAL_ENGINE_SLOWS, /* Tenfold, and its load report does not say so. */
  TRIAL_OWNER_DIES    /* The planner is replaced by a new one.  */
} trial_fault;

typedef struct trial_options
{
  uint64_t seed;
  mq_routing routing;
  double load; /* Offered work over what the engines can carry.  */
  double seconds;
  double warm_seconds; /* Not counted.  */
  trial_fault fault;
  double fault_at_seconds;
  bool places;       /* Engines hold a stream's place for its whole life. */
  bool no_progress;  /* The planner hears of a stream at its end only.  */
  bool no_reports;   /* The engines report nothing.  */
  uint32_t planners; /* That plan by themselves; 0 and 1: the one owner.  */
} trial_options;

typedef struct trial_result
{
  /* Of what arrived in the counted time, in requests.  */
  uint64_t arrived;
  uint64_t accepted;
  uint64_t done;     /* Whole, within the deadline.  */
  uint64_t late;     /* Accepted, and not done.  */
  uint64_t replaced; /* Attempts after the first.  */
  /* The same in units of work.  */
  double arrived_work;
  double done_work;
  double bound_work;
  double goodput;        /* done_work / bound_work  */
  double goodput_count;  /* done / (arrived * bound_work / arrived_work) */
  double accepted_share; /* accepted / arrived  */
  double late_share;     /* late / accepted  */
  double small_share;    /* Worst of the small organisations' done work over
                            the smaller of its demand and its fair share. */
  double large_share;    /* The same of the large organisation.  */
  double decide_us;      /* Mean processor time of an ask.  */
  /* With a fault, in seconds; negative: never within the trial.  */
  double recovery;       /* To 95% of the survivors' bound.  */
  double recovery_level; /* To 95% of the level before the fault.  */
  double level_before;   /* Goodput over the bound before the fault...  */
  double level_after;    /* ... and after it, against the survivors'.  */
} trial_result;

const char *trial_fault_name (trial_fault fault);
void trial_run (const trial_options *options, trial_result *result);

G_END_DECLS

#endif
