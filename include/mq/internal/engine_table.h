/* Internal to packages/decide: what the planner knows of each engine.

   A state is found by the engine's name and outlives configuration
   generations: a new generation changes what the files say and leaves what
   was measured and counted.  A state that no generation names any more stays
   until its last attempt is released.

   Invariants: in_flight and demand count exactly the attempts that hold the
   engine; a state is freed only when it is neither configured nor held.  */

#ifndef MQ_INTERNAL_ENGINE_TABLE_H
#define MQ_INTERNAL_ENGINE_TABLE_H

#include <glib.h>
#include <mq/config.h>
#include <mq/planner.h>

G_BEGIN_DECLS

typedef struct mq_engine_state
{
  mq_str *name;
  mq_str *url;
  mq_str *model;
  mq_str *version;
  mq_str *accelerator;
  uint32_t domain; /* Number of its failure domain in the table.  */
  uint32_t first;  /* Layers [first, end) that it holds.  */
  uint32_t end;
  uint32_t slots; /* Streams in one step; at least 1.  */
  double step_us; /* Present estimate of one step.  */

  bool configured; /* Named by the generation in force.  */
  bool down;
  bool leaving;
  uint64_t back_off_until_us;

  uint32_t in_flight; /* Attempts that hold it.  */
  double demand;      /* Their steps for each microsecond.  */
} mq_engine_state;

typedef struct mq_engine_table
{
  GPtrArray *states;  /* of mq_engine_state, owned, in order of arrival  */
  GHashTable *byname; /* mq_span to mq_engine_state, both borrowed  */
  GPtrArray *domains; /* of mq_str: names of failure domains  */
  double *link_us;    /* [from * domains->len + to], one way  */
} mq_engine_table;

void mq_engine_table_init (mq_engine_table *table);
void mq_engine_table_finish (mq_engine_table *table);

/* Take over what CONFIG says of the engines in the region of OWN_DOMAIN.  */
void mq_engine_table_configure (mq_engine_table *table,
                                const mq_config *config, mq_span own_domain);

/* The state of that name, borrowed, or NULL.  */
mq_engine_state *mq_engine_table_find (const mq_engine_table *table,
                                       mq_span name);

/* Time for one message from one failure domain to another.  */
double mq_engine_table_link_us (const mq_engine_table *table, uint32_t from,
                                uint32_t to);

/* May STATE be given new work at NOW_US?  */
bool mq_engine_state_usable (const mq_engine_state *state, uint64_t now_us);

/* The share of its full-batch throughput that its attempts ask for.  */
double mq_engine_state_load (const mq_engine_state *state, double more_demand);

/* An attempt that makes DEMAND steps for each microsecond takes or gives
   back its place.  */
void mq_engine_state_hold (mq_engine_state *state, double demand);
void mq_engine_state_drop (mq_engine_state *state, double demand);

G_END_DECLS

#endif
