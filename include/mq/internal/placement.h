/* Internal to packages/decide: placement of a request on a pipeline of
   engines.

   Placement is a shortest-path search.  The layer boundaries are the nodes of
   a graph, and each engine is an edge from its first layer to its end.  An
   engine runs all the layers that it holds, so a pipeline is a path from
   layer 0 to the model's layer count.

   The cost of a path is the predicted time of the whole request: prefill and
   each token at every stage, the links between stages, and for each token the
   link from the last stage back to the head.  Unless the request is urgent,
   loaded engines cost more than their time, which keeps the fast engines free
   for urgent requests.  */

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
  uint32_t tokens; /* To be generated.  */
  uint64_t prefix_hash;
  double demand;        /* Added by the request, in steps per microsecond.  */
  double limit;         /* Maximum load of an engine with the request.  */
  bool is_urgent;       /* Minimise time, whatever the load.  */
  const mq_span *avoid; /* Names of engines not to use.  */
  uint32_t n_avoid;
  uint64_t spread; /* Seed that breaks ties between equal engines.  */
} mq_placement_query;

typedef struct mq_placement
{
  uint32_t n_stages;
  mq_engine_state *stages[MQ_PLAN_MAX_STAGES]; /* Borrowed.  */
} mq_placement;

/* Stores the cheapest pipeline for QUERY in PLACEMENT.  Returns 0, or -1 if
   no allowed pipeline exists or the cheapest one has too many stages.  */
int mq_placement_find (mq_placement *placement,
                       const mq_placement_query *query);

/* Places by round robin without regard to load, as a baseline: takes the next
   engine in turn among those that can continue the pipeline.  MODEL keeps the
   position of the rotation.  Returns 0 or -1 as above.  */
int mq_placement_find_round_robin (mq_placement *placement,
                                   mq_model_state *model,
                                   const mq_placement_query *query);

G_END_DECLS

#endif
