/* Internal to packages/decide: what the planner knows of each engine.

   A state is found by the engine's name and outlives configuration
   generations: a new generation changes what the files say and leaves what
   was measured and counted.  A state that no generation names any more stays
   until its last attempt is released.

   Demand is counted in steps for each microsecond: a stream whose token goes
   round its pipeline in a cycle of C microseconds asks each of its engines
   for 1/C.  Load is demand over what the engine can do with full batches, so
   that engines of different speed compare; above 1 streams wait.

   What an engine's slots limit is not known beforehand, nor what its report
   counts.  Some count the few streams that are in a step, others all that
   they hold; some of these give a stream a place for its life and let those
   without one wait.  A report of more streams than slots, or of as many as it
   was given, shows the second kind; what it holds while others wait is the
   number of its places.

   Invariants: in_flight and demand count exactly the attempts that hold the
   engine; a state is freed only when it is neither configured nor held.  */

#ifndef MQ_INTERNAL_ENGINE_TABLE_H
#define MQ_INTERNAL_ENGINE_TABLE_H

#include <glib.h>
#include <mq/config.h>
#include <mq/internal/step_model.h>
#include <mq/planner.h>

G_BEGIN_DECLS

/* Samples kept of an engine's demand, to set against lagging reports.  */
#define MQ_ENGINE_HISTORY_SAMPLES 16
/* Hints kept of which prompt prefixes an engine has.  */
#define MQ_ENGINE_PREFIX_HINTS 64

typedef enum mq_engine_health
{
  MQ_ENGINE_HEALTHY,
  MQ_ENGINE_EJECTED,  /* Slow against its peers: no new work.  */
  MQ_ENGINE_PROBATION /* Little new work, to see whether it is well.  */
} mq_engine_health;

typedef struct mq_engine_state
{
  mq_str *name;
  uint64_t name_hash;
  mq_str *url;
  mq_str *model;
  mq_str *version;
  mq_str *accelerator;
  uint32_t domain; /* Number of its failure domain in the table.  */
  uint32_t first;  /* Layers [first, end) that it holds, ...  */
  uint32_t end;
  uint32_t config_first; /* ... and those that the files say.  */
  uint32_t config_end;
  uint32_t slots; /* Streams in one step; at least 1.  */

  /* What was measured.  */
  mq_step_model step;
  double slowdown_factor; /* Time it takes over what STEP says; 1 when they
                             agree. */
  double head_wait_us;  /* First tokens come so much later than predicted when
                      it is  the head.  */
  double external_load; /* Load that is not ours, by its reports.  */
  double external_load_mean; /* Behind it: what reports tell beyond ours.  */
  double report_match_rate;  /* The part of its reports that show just what it
                      was given,  lately.  */
  bool exceeded_slots;       /* Reported more streams than slots.  */
  double places;           /* Streams that it holds at most; 0: not known.  */
  double external_streams; /* That others gave it, if it counts all.  */
  uint32_t gap_observations; /* Of gaps, since its standing changed.  */

  /* Health.  */
  bool configured; /* Named by the generation in force.  */
  bool down;       /* Does not answer its load report.  */
  bool leaving;
  uint64_t incarnation;      /* 0 before the first report.  */
  uint64_t reported_us;      /* When the last figures were taken; 0: never.  */
  uint64_t backoff_until_us; /* No work before then.  */
  uint64_t last_fault_us;    /* The last fault.  */
  uint32_t faults;           /* In a row.  */
  mq_engine_health health_state;
  uint64_t health_since_us;          /* Since when.  */
  uint32_t consecutive_ejections;    /* In a row.  */
  uint32_t consecutive_slow_reviews; /* In a row.  */
  uint64_t reserved_until_us;        /* Ordered to load other layers.  */

  /* What it was given.  */
  uint32_t in_flight; /* Attempts that hold it.  */
  double demand;
  struct
  {
    uint64_t at_us;
    double demand;
    uint32_t in_flight;
  } history[MQ_ENGINE_HISTORY_SAMPLES]; /* Oldest first, from history_start. */
  uint32_t history_start;
  uint32_t history_used;
  uint64_t prefixes[MQ_ENGINE_PREFIX_HINTS]; /* 0: none.  */
} mq_engine_state;

typedef struct mq_engine_table
{
  GPtrArray *states; /* of mq_engine_state, owned, in order of arrival  */
  GHashTable *states_by_name; /* mq_span to mq_engine_state, both borrowed  */
  GPtrArray *domains;         /* of mq_str: names of failure domains  */
  double *link_us; /* [from * domains->len + to], one way, by the files */
  double *link_slowdown; /* Time it takes over that.  */
  uint32_t n_links;      /* Length of both.  */
} mq_engine_table;

void mq_engine_table_init (mq_engine_table *table);
void mq_engine_table_finish (mq_engine_table *table);

/* Take over what CONFIG says of the engines in the region of OWN_DOMAIN.  */
void mq_engine_table_configure (mq_engine_table *table,
                                const mq_config *config, mq_span own_domain);

/* The state of that name, borrowed, or NULL.  */
mq_engine_state *mq_engine_table_find (const mq_engine_table *table,
                                       mq_span name);

/* Expected time for one message from one failure domain to another.  */
double mq_engine_table_link_us (const mq_engine_table *table, uint32_t from,
                                uint32_t to);
/* Change the estimate for a link, in both directions, by CHANGE_US.  */
void mq_engine_table_adjust_link (mq_engine_table *table, uint32_t from,
                                  uint32_t to, double change_us);

/* May STATE be given new work at NOW_US?  */
bool mq_engine_state_is_usable (const mq_engine_state *state, uint64_t now_us);

/* Take over the engine's own report, whose figures were taken at AT_US.
   Returns whether it holds other layers or another version than before.  */
bool mq_engine_state_report (mq_engine_state *state,
                             const mq_engine_load *load, uint64_t at_us);

/* Do its reports count all streams that it holds?  */
bool mq_engine_state_reports_all_streams (const mq_engine_state *state);
/* Is it known to give a stream a place for its life?  */
bool mq_engine_state_has_places (const mq_engine_state *state);
/* Steps for each microsecond that it does with full batches.  */
double mq_engine_state_capacity (const mq_engine_state *state);
/* Its load, with one more stream of demand MORE unless that is 0.  SCALE
   turns counted demand into load; see mq_model_state.  */
double mq_engine_state_load (const mq_engine_state *state, double extra_demand,
                             double load_scale);
/* Expected time that one token spends there at that load.  */
double mq_engine_state_residence_us (const mq_engine_state *state,
                                     double load);

/* An attempt that makes DEMAND takes or gives back its place.  */
void mq_engine_state_add_attempt (mq_engine_state *state, double demand,
                                  uint64_t now_us);
void mq_engine_state_remove_attempt (mq_engine_state *state, double demand,
                                     uint64_t now_us);
/* The demand and the streams that it had at AT_US, as far as is remembered.
 */
double mq_engine_state_demand_at (const mq_engine_state *state, uint64_t at_us,
                                  uint32_t *in_flight);

/* Hints about the prompt prefixes in its cache; they may be wrong.  */
void mq_engine_state_note_prefix (mq_engine_state *state, uint64_t hash,
                                  bool stored);
bool mq_engine_state_has_prefix (const mq_engine_state *state, uint64_t hash);

G_END_DECLS

#endif
