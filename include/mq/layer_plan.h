/* Which engine should hold which layers.

   A pure function of what the engines hold now.  It is sticky: layers that
   only one engine holds stay there, and what no sound engine of a failure
   domain holds is given to spares.  So a repair costs as few orders and loads
   as it can, and two routers that compute it from the same view give the same
   orders.

   Chains stay inside a failure domain: an activation is 29,500 bytes a token,
   which a link between domains carries for some tens of prompts a second
   only.  Memory left beside the layers holds the requests; it is dealt equal
   in tokens along a chain, since the stage with the fewest tokens bounds the
   whole chain.  */

#ifndef MQ_LAYER_PLAN_H
#define MQ_LAYER_PLAN_H

#include <mq/routing.h>

G_BEGIN_DECLS

/* An engine that may take orders: not draining and not thought dead.  */
typedef struct mq_layer_holder
{
  mq_span domain; /* Borrowed, as is the card.  */
  const mq_card *card;
  unsigned first; /* Layers held, or ordered and not yet reported.  */
  unsigned end;
  bool fixed;   /* An order is under way, or was refused just now.  */
  bool awaited; /* The layers were ordered and are not held yet.  */
  bool used;    /* Requests pass through it, or did until just now.  */
  void *user;   /* The caller's own.  */
} mq_layer_holder;

typedef struct mq_layer_order
{
  mq_layer_holder *holder; /* Borrowed.  */
  unsigned first;
  unsigned end;
} mq_layer_order;

/* What the plan remembers between its rounds: per failure domain, since when
   layers are missing and since when the same engines are there.  */
typedef struct mq_layer_plan
{
  GHashTable *domains; /* Name -> internal.  */
} mq_layer_plan;

void mq_layer_plan_init (mq_layer_plan *plan);
void mq_layer_plan_finish (mq_layer_plan *plan);

/* Append to ORDERS (mq_layer_order) what brings each failure domain of the N
   HOLDERS a whole chain of MODEL, as far as memory allows.

   Where layers are missing, engines that hold nothing or are not passed
   through get them at once.  Whatever costs more, since it takes layers from
   engines that are in use, comes only after a moment in which no engine came
   or left: one that is replaced is followed by its successor.  */
void mq_layer_plan_compute (mq_layer_plan *plan, const mq_layered_model *model,
                            mq_layer_holder *holders, size_t n,
                            uint64_t now_us, GArray *orders);

/* How many whole chains a failure domain should hold whose engines have
   MEMORY_MB; 1 at least.  */
unsigned mq_layer_plan_chain_count (const mq_layered_model *model,
                                    double memory_mb);
/* The same where it held so many BEFORE, which are kept while memory is only a
   little short of them.  */
unsigned mq_layer_plan_retained_chain_count (const mq_layered_model *model,
                                             double memory_mb,
                                             unsigned before);

/* Layers that CARD can hold beside memory for TOKENS tokens.  */
unsigned mq_layer_plan_max_layers (const mq_layered_model *model,
                                   const mq_card *card, double tokens);

/* Tokens that CARD has memory for beside N_LAYERS layers; 0 when none.  */
double mq_layer_plan_token_capacity (const mq_layered_model *model,
                                     const mq_card *card, unsigned n_layers);

G_END_DECLS

#endif
