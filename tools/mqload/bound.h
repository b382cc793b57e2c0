/* The bound: the most work that the engines could have finished in time for
   the same arrivals.

   Work is counted in tokens; a prompt's positions count by the engine time
   that they take against a token's in a full step.  Engines of one layer
   range are paired with those of the next by speed, which is the best there
   is; each pipeline so made gives out slots / time of a full step, with a
   group of streams at each stage.  The bound lets all pipelines of a model
   act as one server that splits its capacity freely and serves the earliest
   deadline first, losing nothing to placement, batching or lag.  Requests
   whose deadline even the fastest pipeline can't meet are left out.  It is
   an upper bound: no router reaches it.  */

#ifndef MQ_LOAD_BOUND_H
#define MQ_LOAD_BOUND_H

#include "schedule.h"

G_BEGIN_DECLS

/* Tokens a second that the engines of MODEL can give at AT_US, with the
   faults of the scenario that act then.  */
double load_capacity (const load_scenario *scenario, uint32_t model,
                      uint64_t at_us);

/* The least time in which a request for MODEL can be answered, in
   microseconds.  */
double load_least_us (const load_scenario *scenario, uint32_t model,
                      uint32_t prompt_bytes, uint32_t tokens);

/* The work of a request for MODEL with so long a prompt and answer.  */
double load_work (const load_scenario *scenario, uint32_t model,
                  uint32_t prompt_bytes, uint32_t tokens);

typedef struct load_bound
{
  double work;      /* Over the whole run.  */
  double offered;   /* All work that arrived.  */
  GArray *per_tick; /* of double: work done in each tick.  */
} load_bound;

#define LOAD_TICK_US ((uint64_t)100 * 1000)

/* The bound for ITEMS, summed over all models.  */
void load_bound_init (load_bound *bound, const load_scenario *scenario,
                      const GArray *items);
void load_bound_finish (load_bound *bound);

G_END_DECLS

#endif
