/* The routing configuration of a router in gateway mode: the routes from
   requests to services, the organisations that may send requests, and the
   model and accelerators of each service's engines.

   A routing is counted by reference, and immutable once it is sealed: a
   request keeps the routing under which it was accepted until it ends, while
   newer requests use a newer one.  Times are in milliseconds and memory is in
   MB of 1,000,000 bytes, unless a field's name states another unit.  */

#ifndef MQ_ROUTING_H
#define MQ_ROUTING_H

#include <glib.h>
#include <mq/str.h>
#include <mq/urgency.h>

G_BEGIN_DECLS

/* Whether a request may be repeated.  */
typedef enum mq_route_kind
{
  MQ_ROUTE_SAFE,   /* Idempotent: may run more than once.  */
  MQ_ROUTE_UNSAFE, /* May run at most once.  */
  MQ_ROUTE_STREAM  /* A stream of events; repeated only if resumable.  */
} mq_route_kind;
#define MQ_ROUTE_KINDS 3

typedef struct mq_route_share
{
  unsigned service; /* Index in the routing's services.  */
  unsigned weight;
} mq_route_share;

typedef struct mq_route
{
  mq_str *name;
  mq_str *host;   /* In lower case.  */
  mq_str *prefix; /* Begins and ends with '/'.  */
  mq_route_kind kind;
  bool resumable; /* A stream that a new run may continue.  */
  bool anonymous; /* Needs no key.  */
  unsigned timeout_ms;
  unsigned target_ms; /* Target latency of the response or first event.  */
  unsigned gap_ms;    /* Target for the longest gap between events.  */
  unsigned attempts;  /* Upstreams that one request may be sent to.  */
  unsigned priority;  /* 0 is the most urgent.  */
  GArray *shares;     /* mq_route_share.  */
} mq_route;

/* A kind of accelerator.  Factors apply to the times of the model's reference
   card: 1 is as fast, 2 takes twice as long.  */
typedef struct mq_card
{
  mq_str *name;
  double memory_mb;
  double step_factor;    /* On the time of a step.  */
  double prefill_factor; /* On the time of prefill.  */
} mq_card;

/* Bounds what a search over the ranges of a model's layers allocates.  */
#define MQ_MODEL_MAX_LAYERS 1024

/* Layers [first, end); none when they are equal.  */
typedef struct mq_layer_range
{
  unsigned first;
  unsigned end;
} mq_layer_range;

/* The model whose layers the engines of a service share.  A step computes one
   token of each request in the batch.  */
typedef struct mq_layered_model
{
  unsigned layers; /* 0: a plain service.  */
  double layer_mb;
  double kv_mb_per_token; /* Over all layers.  */
  double step_ms;         /* Time of a step: all layers, reference card.  */
  double request_step_ms; /* Added per request in the batch.  */
  double context_step_ms; /* Added per 1,000 tokens that these hold.  */
  double prefill_tokens_per_ms; /* By the reference card.  */
  double load_s;                /* Time to load all layers, in seconds.  */
  unsigned max_concurrent_loads;
  unsigned mean_prompt_tokens; /* 0: unknown.  */
  unsigned mean_answer_tokens; /* 0: unknown.  */
  unsigned head_slots; /* Requests that a head runs at a time; 0: any.  */
  GArray *cards;       /* mq_card.  */
} mq_layered_model;

typedef struct mq_route_service
{
  mq_str *name;
  unsigned max_connections;
  mq_layered_model model;
  mq_urgency urgency; /* Of its requests; set by mq_routing_seal.  */
} mq_route_service;

typedef struct mq_route_organisation
{
  mq_str *name;
  GPtrArray *keys; /* mq_str, owned.  */
  unsigned priority;
  bool has_priority;
} mq_route_organisation;

typedef struct mq_route_limits
{
  uint64_t header_bytes;
  uint64_t body_bytes;
  uint64_t header_ms;
  uint64_t idle_ms;
} mq_route_limits;

typedef struct mq_routing
{
  unsigned refs;
  uint64_t version;
  GArray *routes;        /* mq_route.  */
  GArray *services;      /* mq_route_service.  */
  GArray *organisations; /* mq_route_organisation.  */
  mq_route_limits limits;
  GHashTable *by_host; /* Host -> GPtrArray of routes, longest first.  */
  GHashTable *by_key;  /* Key -> mq_route_organisation.  */
} mq_routing;

/* The layers [FIRST, END) that an engine states, as a range of MODEL.  None if
   they are not all layers of MODEL: another writer may state any, and a new
   configuration may have another model.  */
mq_layer_range mq_layered_model_range (const mq_layered_model *model,
                                       unsigned first, unsigned end);

/* Returns an empty routing with one reference, to be filled and sealed.  */
mq_routing *mq_routing_new (uint64_t version);
mq_routing *mq_routing_ref (mq_routing *routing);
void mq_routing_unref (mq_routing *routing);

/* Build the indexes of ROUTING, which must not be changed afterwards.  */
void mq_routing_seal (mq_routing *routing);

/* The route of HOST, whose case and port are ignored, with the longest prefix
   of PATH, or NULL.  Borrowed.  */
const mq_route *mq_routing_match (const mq_routing *routing, mq_span host,
                                  mq_span path);

/* The organisation that KEY belongs to, or NULL.  Borrowed.  */
const mq_route_organisation *
mq_routing_find_organisation (const mq_routing *routing, mq_span key);

/* Returns true if there are keys: requests on routes that are not anonymous
   need one.  */
bool mq_routing_has_keys (const mq_routing *routing);

/* Choose a service of ROUTE in proportion to the weights of its shares.
   RANDOM is uniform over 64 bits.  Returns NULL if the weights sum to 0.
   Borrowed.  */
const mq_route_service *mq_routing_choose_service (const mq_routing *routing,
                                                   const mq_route *route,
                                                   uint64_t random);

/* The service called NAME, or NULL.  Borrowed.  */
const mq_route_service *mq_routing_find_service (const mq_routing *routing,
                                                 mq_span name);

/* Give MODEL an empty list of cards, which a routing frees with the service
   that MODEL belongs to.  */
void mq_layered_model_init (mq_layered_model *model);

/* The card called NAME of MODEL, or NULL.  Borrowed.  */
const mq_card *mq_layered_model_find_card (const mq_layered_model *model,
                                           mq_span name);

G_END_DECLS

#endif
