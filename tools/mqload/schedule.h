/* The arrivals of a run, made from a seed before it starts, so that two runs
   of one scenario offer the same load.  */

#ifndef MQ_LOAD_SCHEDULE_H
#define MQ_LOAD_SCHEDULE_H

#include "scenario.h"

G_BEGIN_DECLS

/* One intended request.  */
typedef struct load_item
{
  uint64_t at_us; /* From the start of the run.  */
  uint32_t number;
  uint32_t kind;
  uint32_t organisation;
  uint32_t caller;
  uint32_t deadline_ms;
  uint32_t prompt_bytes;
  uint32_t tokens;
  double work; /* In tokens, the prompt's share included.  */
} load_item;

/* All arrivals of SCENARIO by time: a new array of load_item.  */
GArray *load_schedule_new (const load_scenario *scenario);

/* The prompt of ITEM: what its organisation always sends first, then what is
   this request's own.  */
GString *load_prompt_new (const load_scenario *scenario,
                          const load_item *item);

G_END_DECLS

#endif
