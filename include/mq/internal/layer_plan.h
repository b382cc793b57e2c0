/* Internal to packages/route: the engines of one failure domain while a layer
   plan is computed.

   A plan works on a copy of the layers that each engine holds and marks the
   engines that it moves.  Only these get orders.

   The level of a plan is the number of tokens that every stage of a chain has
   memory for.  The cover of a layer is the number of engines that hold it.  A
   gap is a range of layers whose cover is less than the number of chains.  */

#ifndef MQ_INTERNAL_LAYER_PLAN_H
#define MQ_INTERNAL_LAYER_PLAN_H

#include <mq/layer_plan.h>

G_BEGIN_DECLS

/* The least level that a plan aims for, so that the other chains carry the
   usual load while one is being repaired.  */
#define MQ_PLAN_TARGET_TOKENS 120000.0
/* A level below this is useless: it suffices for some ten requests.  */
#define MQ_PLAN_MIN_TOKENS 8000.0
/* Ratio of successive levels in a search.  */
#define MQ_PLAN_LEVEL_FACTOR 0.93

typedef mq_layer_range mq_plan_range;

typedef struct mq_plan_engine
{
  mq_layer_holder *holder; /* Borrowed.  */
  mq_plan_range range;     /* Layers that it is to hold.  */
  bool moved;              /* It gets an order to hold RANGE.  */
  bool spare;              /* Its layers are not needed for a chain.  */
  bool copy;       /* Holds a second copy of layers, which it keeps.  */
  double position; /* For a new layout: the layer that it should be near.  */
} mq_plan_engine;

typedef struct mq_plan_domain
{
  const mq_layered_model *model;
  GArray *engines;      /* mq_plan_engine, fastest first.  */
  bool settling;        /* Do not move engines in use yet.  */
  unsigned chains;      /* Whole chains that it should hold.  */
  double target_tokens; /* Level that it should have.  */
  uint64_t *visits;     /* As in mq_layer_plan, borrowed.  */
} mq_plan_domain;

/* What bounds the rate of requests of a chain.  */
typedef struct mq_chain_rate_input
{
  unsigned engines;
  double tokens;         /* Capacity of the stage with the least memory.  */
  double step_factor;    /* Mean over the layers, as in mq_card.  */
  double prefill_factor; /* Mean over the layers.  */
} mq_chain_rate_input;

/* ---- chain_rate.c  */
/* The requests per second that a chain sustains, or 0 when MODEL does not give
   the size of a mean request.  */
double mq_chain_rate (const mq_layered_model *model,
                      const mq_chain_rate_input *input);

/* ---- layer_domain.c  */
/* The number of layers that ENGINE can hold beside memory for TOKENS tokens.
 */
unsigned mq_plan_engine_max_layers (const mq_plan_domain *domain,
                                    const mq_plan_engine *engine,
                                    double tokens);
/* The number of tokens that ENGINE has memory for beside its layers.  */
double mq_plan_engine_token_capacity (const mq_plan_domain *domain,
                                      const mq_plan_engine *engine);
unsigned mq_plan_range_size (mq_plan_range range);
mq_plan_engine *mq_plan_domain_engine (const mq_plan_domain *domain, guint i);
/* A GCompareFunc that sorts engines (mq_plan_engine) fastest first.  */
int mq_plan_engine_compare (gconstpointer a, gconstpointer b);
/* Have ENGINE hold RANGE; it is no spare any more.  */
void mq_plan_engine_move (mq_plan_engine *engine, mq_plan_range range);
/* The cover of each layer.  Free with g_free.  */
unsigned *mq_plan_domain_cover (const mq_plan_domain *domain);
/* The cover of each layer without engines that are ordered now or have not yet
   reported an order as done: such an order may be late or fail, so no engine
   may release layers for it.  Free with g_free.  */
unsigned *mq_plan_domain_confirmed_cover (const mq_plan_domain *domain);
/* Returns true if COVER is at least N for each layer of RANGE.  */
bool mq_plan_cover_is_at_least (const unsigned *cover, mq_plan_range range,
                                unsigned n);
void mq_plan_domain_mark_spares (mq_plan_domain *domain);
/* The gaps of CHAINS chains, those of the first chain first: mq_plan_range.
   Free with g_array_unref.  */
GArray *mq_plan_domain_gaps (const mq_plan_domain *domain, unsigned chains);
/* Set the number of chains and the target level of DOMAIN, whose engines must
   be sorted.  BEFORE is the number of chains so far, or 0 for a new domain. */
void mq_plan_domain_size (mq_plan_domain *domain, unsigned before);

/* ---- layer_repair.c  */
/* A copy of ENGINES.  Free with g_array_unref.  */
GArray *mq_plan_engines_copy (const GArray *engines);
/* Fill all GAPS by spares at the level TOKENS.  With STRETCH, the engines next
   to a gap first take what they have memory for.  Returns false, and changes
   nothing, when that does not suffice.  */
bool mq_plan_domain_try_fill (mq_plan_domain *domain, const GArray *gaps,
                              double tokens, bool stretch);
/* Fill GAPS: by spares; else by spares and neighbours; or by a new layout,
   where its level is more than twice as high.  */
void mq_plan_domain_repair (mq_plan_domain *domain, const GArray *gaps);

/* ---- layer_spares.c  */
/* Assign layers to the spares that hold nothing.  */
void mq_plan_domain_use_spares (mq_plan_domain *domain);

/* ---- layer_layout.c  */
/* The engines of the Nth chain of DOMAIN: every engine whose index is N modulo
   the number of chains.  The result has its own list; free that with
   g_array_unref.  */
mq_plan_domain mq_plan_domain_chain_subset (const mq_plan_domain *domain,
                                            unsigned n);
/* The number of the fastest engines that can together hold all layers at the
   level TOKENS; 0 when all do not suffice.  */
guint mq_plan_domain_engines_needed (const mq_plan_domain *domain,
                                     double tokens);
/* The highest level at which the fastest COUNT engines can hold all layers. */
double mq_plan_domain_token_level (const mq_plan_domain *domain, guint count);
/* Assign all layers of each chain to the fastest engines that suffice.  */
void mq_plan_domain_assign_all (mq_plan_domain *domain);
/* Reassign all layers to all engines, each near to the layers that it
   holds and spares near to GAPS.  Returns the level, or 0 when memory does not
   suffice or an order is open.  */
double mq_plan_domain_relayout (mq_plan_domain *domain, const GArray *gaps);

G_END_DECLS

#endif
