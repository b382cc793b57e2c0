/* The configuration of the routing face: which request goes to which
   service, who may ask, and what each service's engines are made of.

   A routing is immutable once it is sealed and counted by reference: a
   request keeps the one that it was accepted under until it ends, while newer
   requests see a newer one.  Times are in milliseconds, memory in MB as the
   operator gives it.  */

#ifndef MQ_ROUTING_H
#define MQ_ROUTING_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* What may be repeated.  */
typedef enum mq_route_kind
{
  MQ_ROUTE_SAFE,   /* Idempotent: may run more than once.  */
  MQ_ROUTE_UNSAFE, /* May run at most once.  */
  MQ_ROUTE_STREAM  /* A stream of events; `resumable' says the rest.  */
} mq_route_kind;

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
  bool resumable; /* A stream that may go on in a new run.  */
  bool anonymous; /* Needs no key.  */
  unsigned timeout_ms;
  unsigned target_ms; /* Full credit up to here.  */
  unsigned gap_ms;    /* Longest pause between events for full credit.  */
  unsigned attempts;  /* Engines one request may be sent to.  */
  unsigned priority;  /* 0 is the most urgent.  */
  GArray *shares;     /* mq_route_share.  */
} mq_route;

/* A kind of accelerator.  */
typedef struct mq_card
{
  mq_str *name;
  double memory_mb;
  double step_factor; /* Factor on the time of a step, 1 is the reference.  */
  double prefill_factor; /* Factor on the time of reading a prompt.  */
} mq_card;

/* The model that a service's engines hold together, by layers.  */
typedef struct mq_layered_model
{
  unsigned layers; /* 0: the engines are plain services.  */
  double layer_mb;
  double kv_mb_per_token; /* Over all layers.  */
  double step_ms;         /* All layers on the reference card.  */
  double request_step_ms; /* The same for each request in the step more.  */
  double context_step_ms; /* And for each 1,000 tokens that these hold.  */
  double prefill_tokens_per_ms; /* Prompt tokens read by the reference card. */
  double load_s;                /* Of all layers.  */
  unsigned max_concurrent_loads;
  unsigned mean_prompt_tokens; /* Mean tokens in.  */
  unsigned mean_answer_tokens; /* Mean tokens out.  */
  unsigned head_slots; /* Requests that a head serves at once, 0: any.  */
  GArray *cards;       /* mq_card.  */
} mq_layered_model;

typedef struct mq_route_service
{
  mq_str *name;
  unsigned max_connections;
  mq_layered_model model;
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

/* An empty routing with one reference, to be filled and sealed.  */
mq_routing *mq_routing_new (uint64_t version);
mq_routing *mq_routing_ref (mq_routing *routing);
void mq_routing_unref (mq_routing *routing);

/* Build the indexes; nothing may be changed afterwards.  */
void mq_routing_seal (mq_routing *routing);

/* The route of HOST (a port is passed over) with the longest prefix that
   begins PATH, or NULL.  Borrowed.  */
const mq_route *mq_routing_match (const mq_routing *routing, mq_span host,
                                  mq_span path);

/* Who holds KEY, or NULL.  Borrowed.  */
const mq_route_organisation *
mq_routing_find_organisation (const mq_routing *routing, mq_span key);

/* True when requests need a key at all.  */
bool mq_routing_has_keys (const mq_routing *routing);

/* The service of ROUTE for DRAW, a number that is even over all 64 bits.  */
const mq_route_service *mq_routing_choose_service (const mq_routing *routing,
                                                   const mq_route *route,
                                                   uint64_t random);

/* The service called NAME, or NULL.  */
const mq_route_service *mq_routing_find_service (const mq_routing *routing,
                                                 mq_span name);

/* Give MODEL its empty list of cards; a routing frees it with the service. */
void mq_layered_model_init (mq_layered_model *model);

/* The card called NAME of MODEL, or NULL.  */
const mq_card *mq_layered_model_find_card (const mq_layered_model *model,
                                           mq_span name);

G_END_DECLS

#endif
