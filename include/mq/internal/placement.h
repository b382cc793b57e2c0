/* Internal to packages/decide: which engines run which layers.

   The layers' bounds are the nodes of a graph and each engine is an edge from
   its first layer to its end.  An engine runs its whole range, so a pipeline
   is a path from layer 0 to L, and the best pipeline is the cheapest path.
   The cost of a path is the predicted time of the whole request: the prompt
   and each token at every stage, the links between stages, and the link from
   the last stage back to the head for each token.  Unless the request is in a
   hurry, loaded engines cost more than their time, which leaves the fast ones
   to those who need them.  */

#ifndef MQ_INTERNAL_PLACEMENT_H
#define MQ_INTERNAL_PLACEMENT_H

#include <mq/internal/model_state.h>

G_BEGIN_DECLS

typedef struct mq_placement_query
{
  const mq_model_state *model;
  const mq_engine_table *table;
  uint64_t now_us;
  uint32_t prompt_tokens;
  uint32_t tokens;
  uint64_t prefix_hash;
  double demand;        /* That the request adds.  */
  double limit;         /* The most load that an engine may have then.  */
  bool is_urgent;       /* Time alone counts.  */
  const mq_span *avoid; /* Names of engines not to use.  */
  uint32_t n_avoid;
  uint64_t spread; /* Parts equal choices.  */
} mq_placement_query;

typedef struct mq_placement
{
  uint32_t n_stages;
  mq_engine_state *stages[MQ_PLAN_STAGES]; /* Borrowed.  */
} mq_placement;

/* Find the cheapest pipeline.  Returns 0, or -1 when there is none.  */
int mq_placement_find (mq_placement *placement,
                       const mq_placement_query *query);

/* The baseline: of the engines that can follow, the next in turn, without a
   look at load.  MODEL keeps the turns.  Returns 0 or -1 as above.  */
int mq_placement_find_round_robin (mq_placement *placement,
                                   mq_model_state *model,
                                   const mq_placement_query *query);

G_END_DECLS

#endif
