/* Internal to packages/route: engines as edges from their first to their last
   layer, for the searches for one path and for several.  */

#ifndef MQ_INTERNAL_LAYER_PATH_H
#define MQ_INTERNAL_LAYER_PATH_H

#include <mq/layer_path.h>

G_BEGIN_DECLS

/* What a further engine on the path costs a token: one transfer inside a
   failure domain (0.1 ms) and its wait for the pass under way, which is half
   a pass; estimated, to prefer short paths among equals.  */
#define MQ_PATH_HOP_MS 0.4

typedef struct mq_path_edge
{
  mq_upstream *upstream; /* Borrowed.  */
  const mq_card *card;
} mq_path_edge;

/* ---- layer_path.c  */
/* Engines that may serve, in the order of their first layers: mq_path_edge.
   Free with g_array_unref.  */
GArray *mq_path_edges (mq_registry *registry, const mq_route_service *service,
                       mq_span domain, uint64_t now_us,
                       const mq_upstream *except);
/* Tokens that fit on the part of UPSTREAM, whose card is CARD, from FIRST to
   END.  All layers that it holds take memory, but only those of the part take
   tokens.  */
double mq_path_stage_tokens (const mq_upstream *upstream, const mq_card *card,
                             const mq_layered_model *model, unsigned first,
                             unsigned end, uint64_t now_us);
/* The tokens that fit on the tightest stage of PATH.  */
double mq_path_min_tokens (const mq_layer_path *path,
                           const mq_layered_model *model, uint64_t now_us);
/* See prefill_token_ms of mq_layer_path.  */
double mq_path_prefill_token_ms (const mq_layer_path *path,
                                 const mq_layered_model *model,
                                 uint64_t now_us);
/* The best path over EDGES: see mq_layer_path_find.  */
bool mq_path_find_best (mq_layer_path *path, const GArray *edges,
                        const mq_layered_model *model, uint64_t now_us);

G_END_DECLS

#endif
