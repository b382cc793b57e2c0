/* Paths of a request through engines, each of which runs a range of layers.

   Invariant of a path: its stages run every layer of the model once and in
   order, and no engine has two of them.  */

#ifndef MQ_LAYER_PATH_H
#define MQ_LAYER_PATH_H

#include <mq/routing.h>
#include <mq/upstream.h>

G_BEGIN_DECLS

/* The largest number of stages that engines accept in a request.  */
#define MQ_LAYER_PATH_MAX_STAGES 32

/* Layers [first, end) on one engine.  */
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
  double step_ms;          /* Time of one token, without load.  */
  double prefill_token_ms; /* Time per prompt token of the stage that prefills
                              slowest.  */
  double tokens; /* Tokens that fit on the stage with the least memory.  */
} mq_layer_path;

/* Find a path for SERVICE through upstreams of DOMAIN (an empty span: of all
   domains) that accept work at NOW_US, without EXCLUDED unless that is NULL.
   Of the paths with nearly the most memory the fastest is chosen.  PATH need
   not be initialised; release it with mq_layer_path_finish.  Returns false,
   and leaves PATH empty, when there is no path.  */
bool mq_layer_path_find (mq_layer_path *path, mq_registry *registry,
                         const mq_route_service *service, mq_span domain,
                         uint64_t now_us, const mq_upstream *excluded);
/* The largest number of chains that a layer plan may keep in DOMAIN, given the
   memory of its engines (mq_layer_plan_retained_chain_count).  */
unsigned mq_layer_path_target_count (mq_registry *registry,
                                     const mq_route_service *service,
                                     mq_span domain);

/* Find up to MAX_PATHS paths through DOMAIN without a common engine: as many
   as engines hold each layer.  PATHS, an array of MAX_PATHS elements, need not
   be initialised; release each path that was found with mq_layer_path_finish.
   Paths are sorted by the ids of their heads, so that all routers number them
   alike.  Returns their number.  */
size_t mq_layer_path_find_all (mq_layer_path *paths, size_t max_paths,
                               mq_registry *registry,
                               const mq_route_service *service, mq_span domain,
                               uint64_t now_us);
void mq_layer_path_finish (mq_layer_path *path);
/* Make INTO, which is overwritten, a copy of PATH with its own references.  */
void mq_layer_path_copy (mq_layer_path *into, const mq_layer_path *path);

bool mq_layer_path_has (const mq_layer_path *path,
                        const mq_upstream *upstream);

/* Returns true if every engine of PATH is usable and still holds the layers of
   its stage.  False for an empty path.  */
bool mq_layer_path_is_usable (const mq_layer_path *path, uint64_t now_us);

G_END_DECLS

#endif
