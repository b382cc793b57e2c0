/* Planning of which engine holds which layers.

   The plan is a function of what the engines hold now and of a little state of
   its own, without I/O.  It changes as little as possible: layers that only
   one engine holds stay there, and layers that no usable engine of a failure
   domain holds are given to spare engines.  So a repair takes few orders and
   loads, and two routers that plan from the same view send the same orders.

   A chain is a set of engines of one failure domain that hold every layer.  It
   does not extend over domains, since links between them lack the bandwidth
   for the activations of many requests.  The memory that layers leave free
   holds the requests.  Layers are assigned so that this memory is equal in
   tokens along a chain: the stage with the fewest tokens bounds the whole
   chain.  */

#ifndef MQ_LAYER_PLAN_H
#define MQ_LAYER_PLAN_H

#include <mq/routing.h>

G_BEGIN_DECLS

/* An engine that may get orders: neither draining nor ejected.  */
typedef struct mq_layer_holder
{
  mq_span domain; /* Borrowed, as is the card.  */
  const mq_card *card;
  unsigned first; /* Layers [first, end): held, or ordered ... */
  unsigned end;   /* ... and not yet reported.  Ignored unless they are layers
                     of the model.  */
  bool fixed;     /* Gets no order: one is open, or was just refused.  */
  bool awaited;   /* The layers were ordered and are not held yet.  */
  bool used;      /* Requests pass through it, or did until recently.  */
  void *user;     /* Data of the caller.  */
  bool loading;   /* An order is open at it, as sent or as it reports.  */
  bool unknown;   /* It is queried before it gets an order.  */
} mq_layer_holder;

/* An order that HOLDER load layers [first, end) and release all others.  */
typedef struct mq_layer_order
{
  mq_layer_holder *holder; /* Borrowed.  */
  unsigned first;
  unsigned end;
} mq_layer_order;

/* The state of a plan between rounds: for each failure domain, since when
   layers are missing and since when it has the same engines.  */
typedef struct mq_layer_plan
{
  GHashTable *domains; /* Name -> state, private to layer_plan.c.  */
  uint64_t visits;     /* Engines looked at in all rounds: what planning
                          costs.  */
} mq_layer_plan;

void mq_layer_plan_init (mq_layer_plan *plan);
void mq_layer_plan_finish (mq_layer_plan *plan);

/* Append to ORDERS (mq_layer_order) those that give each failure domain of the
   N HOLDERS whole chains of MODEL, as far as memory allows.  NOW_US is
   monotonic.

   Missing layers go at once to engines that hold nothing or that no request
   passes through.  Orders that take layers from engines in use wait until the
   set of engines has not changed for a moment, since an engine that is being
   replaced is followed by its successor.  */
void mq_layer_plan_compute (mq_layer_plan *plan, const mq_layered_model *model,
                            mq_layer_holder *holders, size_t n,
                            uint64_t now_us, GArray *orders);

/* The number of whole chains that a failure domain should hold whose engines
   have MEMORY_MB; at least 1.  */
unsigned mq_layer_plan_chain_count (const mq_layered_model *model,
                                    double memory_mb);
/* The same for a domain that held BEFORE chains.  These are retained while
   memory is only a little short of them.  */
unsigned mq_layer_plan_retained_chain_count (const mq_layered_model *model,
                                             double memory_mb,
                                             unsigned before);

/* The number of layers that CARD can hold and still have memory for TOKENS
   tokens.  */
unsigned mq_layer_plan_max_layers (const mq_layered_model *model,
                                   const mq_card *card, double tokens);

/* The number of tokens that CARD has memory for beside N_LAYERS layers; 0 when
   these do not fit.  */
double mq_layer_plan_token_capacity (const mq_layered_model *model,
                                     const mq_card *card, unsigned n_layers);

G_END_DECLS

#endif
