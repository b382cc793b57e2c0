/* Internal to packages/decide: which engines run which layers.

   The layers' bounds are the nodes of a graph and each engine is an edge from
   its first layer to its end.  An engine runs its whole range, so a pipeline
   is a path from layer 0 to L, and the best pipeline is the cheapest path.
   The cost of a path is the predicted time of the whole request: the prompt
   and each token at every stage, the links between stages, and the link from
   the last stage back to the head for each token.  */

#ifndef MQ_INTERNAL_PLACEMENT_H
#define MQ_INTERNAL_PLACEMENT_H

#include <mq/internal/engine_table.h>

G_BEGIN_DECLS

typedef struct mq_placement_query
{
  const GPtrArray *engines; /* of mq_engine_state, sorted by first layer */
  uint32_t layers;
  mq_span version;
  uint64_t now_us;
  uint32_t prompt_tokens;
  uint32_t tokens;
  double demand;        /* Steps per microsecond that the request adds.  */
  double limit;         /* The most load that an engine may have then.  */
  const mq_span *avoid; /* Names of engines not to use.  */
  uint32_t n_avoid;
  uint64_t spread; /* Parts equal choices.  */
} mq_placement_query;

typedef struct mq_placement
{
  uint32_t n_stages;
  mq_engine_state *stages[MQ_PLAN_STAGES]; /* Borrowed.  */
  double cycle_us; /* One token through all stages, below saturation. */
  double link_us;  /* The part of it that the links take.  */
  double load;     /* Of the busiest stage, with the request.  */
} mq_placement;

/* Find the cheapest pipeline.  Returns 0, or -1 when there is none.  */
int mq_placement_find (mq_placement *placement, const mq_engine_table *table,
                       const mq_placement_query *query);

G_END_DECLS

#endif
