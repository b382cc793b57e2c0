/* Internal to packages/route: engines as edges of a graph, each from the first
   to the last layer that it holds, for the searches for one and for several
   paths.  */

#ifndef MQ_INTERNAL_LAYER_PATH_H
#define MQ_INTERNAL_LAYER_PATH_H

#include <mq/layer_path.h>

G_BEGIN_DECLS

/* Estimated cost of each engine on a path per token: a transfer inside a
   failure domain, and the wait for half of the step under way.  Among paths
   that are otherwise equal it favours short ones.  */
#define MQ_PATH_HOP_MS 0.4

typedef struct mq_path_edge
{
  mq_upstream *upstream; /* Borrowed.  */
  const mq_card *card;
} mq_path_edge;

/* ---- layer_path.c  */
/* The engines of SERVICE in DOMAIN that accept work, without EXCLUDED, sorted
   by first layer: mq_path_edge.  Free with g_array_unref.  */
GArray *mq_path_edges (mq_registry *registry, const mq_route_service *service,
                       mq_span domain, uint64_t now_us,
                       const mq_upstream *excluded);
/* The tokens that fit on UPSTREAM, whose card is CARD, for a stage of layers
   [FIRST, END).  All layers that it holds take memory, but only those of the
   stage store tokens.  */
double mq_path_stage_tokens (const mq_upstream *upstream, const mq_card *card,
                             const mq_layered_model *model, unsigned first,
                             unsigned end, uint64_t now_us);
/* The tokens that fit on the stage of PATH with the least memory.  */
double mq_path_min_tokens (const mq_layer_path *path,
                           const mq_layered_model *model, uint64_t now_us);
/* The prefill_token_ms of PATH.  */
double mq_path_prefill_token_ms (const mq_layer_path *path,
                                 const mq_layered_model *model,
                                 uint64_t now_us);
/* The best path over EDGES: see mq_layer_path_find.  */
bool mq_path_find_best (mq_layer_path *path, const GArray *edges,
                        const mq_layered_model *model, uint64_t now_us);

G_END_DECLS

#endif
