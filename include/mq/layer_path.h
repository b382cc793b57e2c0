/* A path: the engines that a request passes through, each with its part of
   the layers.

   Invariant of a path: its parts run every layer of the model once and in
   order, and no engine stands in it twice.  */

#ifndef MQ_LAYER_PATH_H
#define MQ_LAYER_PATH_H

#include <mq/routing.h>
#include <mq/upstream.h>

G_BEGIN_DECLS

/* The most parts that an engine takes.  */
#define MQ_LAYER_PATH_MAX_STAGES 32

typedef struct mq_layer_stage
{
  mq_upstream *upstream; /* One reference.  */
  unsigned first;
  unsigned end;
} mq_layer_stage;

typedef struct mq_layer_path
{
  mq_layer_stage stages[MQ_LAYER_PATH_MAX_STAGES];
  unsigned n;
  double step_ms;          /* Of one token, without load.  */
  double prefill_token_ms; /* Of one token of a prompt at the stage that reads
                              slowest. */
  double tokens;           /* That fit on the stage with the least memory.  */
} mq_layer_path;

/* Find the fastest path among those of SERVICE with the most memory through
   upstreams of DOMAIN (an empty span: of all) that are usable at NOW_US.
   Engines of EXCEPT, which may be NULL, are passed over.  PATH is initialised;
   false when there is none, and PATH is then empty.  */
bool mq_layer_path_find (mq_layer_path *path, mq_registry *registry,
                         const mq_route_service *service, mq_span domain,
                         uint64_t now_us, const mq_upstream *except);
/* How many paths DOMAIN should have by the memory of its engines, at most
   (mq_layer_plan_retained_chain_count).  */
unsigned mq_layer_path_target_count (mq_registry *registry,
                                     const mq_route_service *service,
                                     mq_span domain);

/* Find up to MOST paths through DOMAIN into PATHS, as far as each layer stands
   so often; no engine stands in two.  They come in the order of their heads'
   ids, so that all routers number them alike.  Returns how many.  */
size_t mq_layer_path_find_all (mq_layer_path *paths, size_t most,
                               mq_registry *registry,
                               const mq_route_service *service, mq_span domain,
                               uint64_t now_us);
void mq_layer_path_finish (mq_layer_path *path);
/* INTO, not initialised, becomes a copy with references of its own.  */
void mq_layer_path_copy (mq_layer_path *into, const mq_layer_path *path);

bool mq_layer_path_has (const mq_layer_path *path,
                        const mq_upstream *upstream);

/* Does the path still stand: every engine usable and holding its part?  */
bool mq_layer_path_is_usable (const mq_layer_path *path, uint64_t now_us);

G_END_DECLS

#endif
