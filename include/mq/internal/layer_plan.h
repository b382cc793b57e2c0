/* Internal to packages/route: the engines of one failure domain while a plan
   of layers is worked out.

   A plan works on a copy of who holds what and marks the engines that it
   moves; only these become orders.  */

#ifndef MQ_INTERNAL_LAYER_PLAN_H
#define MQ_INTERNAL_LAYER_PLAN_H

#include <mq/layer_plan.h>

G_BEGIN_DECLS

/* Tokens that each stage should have memory for, at least, so that the other
   chains carry the usual load while one is being repaired.  */
#define MQ_PLAN_TARGET_TOKENS 120000.0
/* Below this a stage is worth nothing: some ten requests.  */
#define MQ_PLAN_MIN_TOKENS 8000.0
/* Between two levels that are tried.  */
#define MQ_PLAN_LEVEL_FACTOR 0.93

typedef struct mq_plan_range
{
  unsigned first;
  unsigned end;
} mq_plan_range;

/* An engine within a try.  */
typedef struct mq_plan_engine
{
  mq_layer_holder *holder; /* Borrowed.  */
  mq_plan_range range;
  bool moved;      /* To be ordered.  */
  bool spare;      /* Holds nothing that others do not hold.  */
  bool copy;       /* The same, and it is to stay so.  */
  double position; /* For a new layout: its order among the others.  */
} mq_plan_engine;

typedef struct mq_plan_domain
{
  const mq_layered_model *model;
  GArray *engines;      /* mq_plan_engine, fastest first.  */
  bool settling;        /* Engines in use are left alone.  */
  unsigned chains;      /* Whole chains that it should hold.  */
  double target_tokens; /* Tokens that each stage should have memory for.  */
} mq_plan_domain;

/* What bounds the requests that a chain sustains.  */
typedef struct mq_chain_rate_input
{
  unsigned engines;
  double tokens;         /* Memory of its tightest stage.  */
  double step_factor;    /* Of its cards, mean over the layers.  */
  double prefill_factor; /* The same for reading.  */
} mq_chain_rate_input;

/* ---- chain_rate.c  */
/* Requests a second that a chain of FACTS sustains, or 0 when MODEL does not
   tell what is asked of it.  */
double mq_chain_rate (const mq_layered_model *model,
                      const mq_chain_rate_input *facts);

/* ---- layer_domain.c  */
/* Layers that ENGINE can hold beside memory for TOKENS tokens, and the other
   way round.  */
unsigned mq_plan_engine_max_layers (const mq_plan_domain *domain,
                                    const mq_plan_engine *engine,
                                    double tokens);
double mq_plan_engine_token_capacity (const mq_plan_domain *domain,
                                      const mq_plan_engine *engine);
unsigned mq_plan_range_size (mq_plan_range range);
mq_plan_engine *mq_plan_domain_engine (const mq_plan_domain *domain, guint i);
/* Orders engines, the fastest first.  */
int mq_plan_engine_compare (gconstpointer a, gconstpointer b);
/* Have ENGINE hold RANGE.  */
void mq_plan_engine_move (mq_plan_engine *engine, mq_plan_range range);
/* How many engines hold each layer; free with g_free.  */
unsigned *mq_plan_domain_cover (const mq_plan_domain *domain);
/* The same without what is ordered now, or was and is not reported yet: it may
   come late, or not at all, so nobody may let go of layers for it.  */
unsigned *mq_plan_domain_confirmed_cover (const mq_plan_domain *domain);
/* Does everything in RANGE stand N times in COVER?  */
bool mq_plan_cover_is_at_least (const unsigned *cover, mq_plan_range range,
                                unsigned n);
void mq_plan_domain_mark_spares (mq_plan_domain *domain);
/* The runs of layers that are missing for CHAINS chains, those of the first
   chain first: mq_plan_range.  Free with g_array_unref.  */
GArray *mq_plan_domain_gaps (const mq_plan_domain *domain, unsigned chains);
/* How many chains DOMAIN, whose engines are sorted and which was to hold so
   many BEFORE (0: it is new), should hold, and with memory for how many
   tokens.  */
void mq_plan_domain_size (mq_plan_domain *domain, unsigned before);

/* ---- layer_repair.c  */
/* A copy of ENGINES; free with g_array_unref.  */
GArray *mq_plan_engines_copy (const GArray *engines);
/* Fill all GAPS by spares with memory for TOKENS tokens, and, with STRETCH, by
   their neighbours first; false, and nothing changed, when that fails.  */
bool mq_plan_domain_try_fill (mq_plan_domain *domain, const GArray *gaps,
                              double tokens, bool stretch);
/* Fill GAPS: by spares; or by spares and neighbours; or, where that leaves
   less than half of what a new layout would, by a new layout.  */
void mq_plan_domain_repair (mq_plan_domain *domain, const GArray *gaps);

/* ---- layer_spares.c  */
/* Let the spares that hold nothing do what serves the domain most.  */
void mq_plan_domain_use_spares (mq_plan_domain *domain);

/* ---- layer_layout.c  */
/* Those of DOMAIN's engines that make up its Nth chain: each so manieth.  The
   part has a list of its own; free that with g_array_unref.  */
mq_plan_domain mq_plan_domain_chain_subset (const mq_plan_domain *domain,
                                            unsigned n);
/* How many of the fastest engines reach all layers beside memory for TOKENS
   tokens; 0: not all together.  */
guint mq_plan_domain_engines_needed (const mq_plan_domain *domain,
                                     double tokens);
/* The most tokens at which the fastest COUNT engines reach all layers.  */
double mq_plan_domain_token_level (const mq_plan_domain *domain, guint count);
/* Deal all layers to the fastest engines that reach, for each chain.  */
void mq_plan_domain_assign_all (mq_plan_domain *domain);
/* Lay all layers out anew over all engines, each near to where it was.
   Returns the level, or 0 when memory does not reach or an order is under
   way.  */
double mq_plan_domain_relayout (mq_plan_domain *domain, const GArray *gaps);

G_END_DECLS

#endif
