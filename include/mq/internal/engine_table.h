/* Internal to packages/decide: the planner's table of engine states.

   A state is found by the engine's name and outlives configuration
   generations: a new generation replaces what is configured and keeps what was
   measured and counted.  A state that no generation names stays until its last
   attempt is released.

   Demand is measured in steps per microsecond: a stream whose token passes its
   pipeline in a cycle of C microseconds demands 1/C of each of its engines.
   Load is demand over the engine's capacity with full batches, so that engines
   of different speed compare.  Above a load of 1 streams wait.

   Engines differ in what they report, and which kind an engine is must be
   inferred.  Some report only the few streams that are in a step.  Others
   report all streams that they hold; some of these reserve a place for a
   stream until it ends, and let streams without a place wait.  A report of
   more streams than slots, or of exactly as many as the engine was sent,
   indicates an engine that reports all.  The batch that it reports while
   others wait is its number of places.

   Invariants: in_flight and demand count exactly the attempts that hold the
   engine; a state is freed only when it is neither configured nor held.  */

#ifndef MQ_INTERNAL_ENGINE_TABLE_H
#define MQ_INTERNAL_ENGINE_TABLE_H

#include <glib.h>
#include <mq/config.h>
#include <mq/internal/step_model.h>
#include <mq/planner.h>

G_BEGIN_DECLS

/* Samples kept of an engine's demand, to match them with delayed reports.  */
#define MQ_ENGINE_HISTORY_SAMPLES 16
/* Hints kept of prompt prefixes in an engine's cache.  */
#define MQ_ENGINE_PREFIX_HINTS 64

typedef enum mq_engine_health
{
  MQ_ENGINE_HEALTHY,
  MQ_ENGINE_EJECTED,  /* Slower than its peers: no new work.  */
  MQ_ENGINE_PROBATION /* Limited new work, to measure it again.  */
} mq_engine_health;

typedef struct mq_engine_state
{
  mq_str *name;
  uint64_t name_hash;
  mq_str *url;
  mq_str *model;
  mq_str *version;
  mq_str *accelerator;
  uint32_t domain; /* Index of its failure domain in the table.  */
  uint32_t first;  /* Layers [first, end) that it holds.  */
  uint32_t end;
  uint32_t config_first; /* Layers that are configured for it.  */
  uint32_t config_end;
  uint32_t slots; /* Streams in one step; at least 1.  */

  /* Measurements.  */
  mq_step_model step;
  double slowdown_factor; /* Observed time over that of STEP; 1 if they
                             agree.  */
  double head_wait_us;    /* Excess delay of first tokens over their prediction
                             when the engine is the head.  */
  double external_load;   /* Load from other sources, by its reports.  */
  double external_load_mean; /* Mean of the reported load beyond ours;
                                EXTERNAL_LOAD is derived from it.  */
  double report_match_rate;  /* Recent share of reports that match what it was
                                sent.  */
  bool exceeded_slots;       /* It reported more streams than slots.  */
  double places;             /* Streams that it holds at most; 0: unknown.  */
  double external_streams;   /* Sent by others, if it reports all streams.  */
  uint32_t gap_observations; /* Since HEALTH_STATE changed.  */

  /* Health.  */
  bool configured; /* Named by the generation in force.  */
  bool down;       /* Its load report request failed.  */
  bool leaving;
  uint64_t incarnation;      /* 0 before the first report.  */
  uint64_t reported_us;      /* Time of the last report's values; 0: none.  */
  uint64_t backoff_until_us; /* No new work before.  */
  uint64_t last_fault_us;
  uint32_t faults; /* Consecutive.  */
  mq_engine_health health_state;
  uint64_t health_since_us;
  uint32_t consecutive_ejections;
  uint32_t consecutive_slow_reviews;
  uint64_t reserved_until_us; /* While it loads other layers.  */

  /* Work that was sent to it.  */
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
  GPtrArray *states; /* of mq_engine_state, owned, in order of addition  */
  GHashTable *states_by_name; /* mq_span to mq_engine_state, both borrowed  */
  GPtrArray *domains;         /* of mq_str: names of failure domains  */
  double *link_us; /* [from * domains->len + to], one way, as configured  */
  double *link_slowdown; /* Observed time over the configured one.  */
  uint32_t n_links;      /* Length of both arrays.  */
} mq_engine_table;

void mq_engine_table_init (mq_engine_table *table);
void mq_engine_table_finish (mq_engine_table *table);

/* Updates TABLE from CONFIG, with the engines in the region of OWN_DOMAIN.  */
void mq_engine_table_configure (mq_engine_table *table,
                                const mq_config *config, mq_span own_domain);

/* Returns the state of the engine NAME, borrowed, or NULL.  */
mq_engine_state *mq_engine_table_find (const mq_engine_table *table,
                                       mq_span name);

/* Returns the expected time of one message between two failure domains, given
   by their indices.  */
double mq_engine_table_link_us (const mq_engine_table *table, uint32_t from,
                                uint32_t to);
/* Changes the estimate of a link by CHANGE_US, in both directions.  */
void mq_engine_table_adjust_link (mq_engine_table *table, uint32_t from,
                                  uint32_t to, double change_us);

/* Returns true if the engine may receive new work at NOW_US.  */
bool mq_engine_state_is_usable (const mq_engine_state *state, uint64_t now_us);

/* Updates STATE from a load report whose values were taken at AT_US.  Returns
   true if the engine now holds other layers or another version than
   before.  */
bool mq_engine_state_report (mq_engine_state *state,
                             const mq_engine_load *load, uint64_t at_us);

/* Returns true if the engine's reports count all streams that it holds, not
   only those in a step.  */
bool mq_engine_state_reports_all_streams (const mq_engine_state *state);
/* Returns true if the engine is known to reserve a place for each stream until
   it ends.  */
bool mq_engine_state_has_places (const mq_engine_state *state);
/* Returns the capacity with full batches, in steps per microsecond.  */
double mq_engine_state_capacity (const mq_engine_state *state);
/* Returns the load, with one more stream of EXTRA_DEMAND unless that is 0.
   LOAD_SCALE converts counted demand to load; see mq_model_state.  */
double mq_engine_state_load (const mq_engine_state *state, double extra_demand,
                             double load_scale);
/* Returns the expected time that one token spends at the engine at LOAD.  */
double mq_engine_state_residence_us (const mq_engine_state *state,
                                     double load);

/* Adds or removes an attempt that makes DEMAND.  */
void mq_engine_state_add_attempt (mq_engine_state *state, double demand,
                                  uint64_t now_us);
void mq_engine_state_remove_attempt (mq_engine_state *state, double demand,
                                     uint64_t now_us);
/* Returns the demand at AT_US and stores the attempts in flight at that time
   in IN_FLIGHT, as far as the history reaches.  */
double mq_engine_state_demand_at (const mq_engine_state *state, uint64_t at_us,
                                  uint32_t *in_flight);

/* Hints about the prompt prefixes in the engine's cache.  They may be
   wrong.  */
void mq_engine_state_note_prefix (mq_engine_state *state, uint64_t hash,
                                  bool stored);
bool mq_engine_state_has_prefix (const mq_engine_state *state, uint64_t hash);

G_END_DECLS

#endif
