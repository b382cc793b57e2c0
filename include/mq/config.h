/* The configuration in force: a typed, immutable snapshot.

   Made from the merged files by packages/config; held by reference by all
   who decide.  Names are unique within their kind.  Nothing in here changes
   after it was made, so a decision that holds a reference sees one whole
   generation.  */

#ifndef MQ_CONFIG_H
#define MQ_CONFIG_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

#define MQ_SHA256_SIZE 32

/* What an organisation may use over the whole fleet; 0 means no limit.  */
typedef struct mq_limits
{
  double requests_per_s;
  double tokens_per_s;
  uint32_t concurrent;
} mq_limits;

typedef struct mq_organisation
{
  mq_str *name;
  unsigned char token_sha256[MQ_SHA256_SIZE]; /* Digest of the bearer token */
  uint32_t weight;  /* Share against other organisations; at least 1.  */
  int32_t priority; /* 0 lowest to 9 highest.  */
  mq_limits limits;
} mq_organisation;

typedef struct mq_model
{
  mq_str *name;
  mq_str *version;             /* The version that answers are made with.  */
  uint32_t layers;             /* L; layers are numbered [0, L).  */
  uint32_t kv_bytes_per_token; /* For one layer.  */
  uint32_t activation_bytes;   /* Handed from stage to stage.  */
} mq_model;

typedef struct mq_engine
{
  mq_str *name;
  mq_str *url; /* http://IP:PORT  */
  mq_str *model;
  mq_str *version;
  uint32_t first; /* Layers [first, end).  */
  uint32_t end;
  mq_str *accelerator; /* Kind.  */
  mq_str *failure_domain;
  bool checks_fencing; /* Refuses orders with an old fencing token.  */
  uint32_t slots;      /* Streams batched together.  */
  uint32_t step_us;    /* Expected step time; a first guess that
                          measurement replaces.  */
} mq_engine;

/* Where a failure domain lies.  One that no file names lies in the region of
   the VM that asks.  */
typedef struct mq_failure_domain
{
  mq_str *name;
  mq_str *region;
} mq_failure_domain;

/* How far one failure domain lies from another.  */
typedef struct mq_link
{
  mq_str *from;
  mq_str *to;
  uint32_t latency_us; /* One way.  */
  uint32_t mbit_per_s;
} mq_link;

/* A call of a plain service that may be repeated.  */
typedef struct mq_repeatable_call
{
  mq_str *method; /* Upper case.  */
  mq_str *path_prefix;
} mq_repeatable_call;

typedef struct mq_instance
{
  mq_str *url;
  mq_str *failure_domain;
} mq_instance;

typedef enum mq_service_kind
{
  MQ_SERVICE_MODEL, /* Answered by a pipeline of model engines.  */
  MQ_SERVICE_PLAIN  /* Answered by a plain service.  */
} mq_service_kind;

typedef struct mq_service
{
  mq_str *name;
  mq_service_kind kind;
  uint32_t deadline_ms;     /* When the caller gives none.  */
  uint32_t max_deadline_ms; /* The longest a caller may ask for.  */
  int32_t priority;         /* 0 to 9.  */
  uint32_t retry_percent;   /* Retry budget: retries for 100 first tries. */
  union
  {
    struct
    {
      mq_str *model;
      uint32_t max_tokens; /* The most a caller may ask for.  */
    } model;
    struct
    {
      GArray *instances;   /* of mq_instance  */
      GArray *repeatable;  /* of mq_repeatable_call  */
      bool honours_keys;   /* Runs one Idempotency-Key once by itself.  */
      uint32_t concurrent; /* Calls in flight on one instance; 0: 64.  */
    } plain;
  } u;
} mq_service;

typedef enum mq_routing
{
  MQ_ROUTING_DEADLINE,   /* Predict, admit, plan by cost, recover.  */
  MQ_ROUTING_ROUND_ROBIN /* The baseline to measure against: next in turn,
                            no admission, blind retry of what may be
                            retried.  */
} mq_routing;

typedef struct mq_policy
{
  mq_routing routing;
  uint32_t discovery_ttl_ms;  /* How long callers keep the ask's answer. */
  uint32_t heartbeat_ms;      /* 0: worked out from the byte budget.  */
  uint32_t stall_ms;          /* No token for so long: the stage hangs.  */
  uint32_t put_aside_percent; /* Most engines put aside at once.  */
  uint32_t cut_off_ms;        /* A router that heard neither platform nor peer
                                 for so long takes no new work; 0: it does. */
} mq_policy;

typedef struct mq_config
{
  unsigned refs;
  uint64_t generation;
  GArray *organisations;   /* of mq_organisation, sorted by name  */
  GArray *models;          /* of mq_model  */
  GArray *engines;         /* of mq_engine  */
  GArray *failure_domains; /* of mq_failure_domain  */
  GArray *links;           /* of mq_link  */
  GArray *services;        /* of mq_service  */
  mq_policy policy;
} mq_config;

/* A new empty configuration with the policy's defaults and one reference. */
mq_config *mq_config_new (uint64_t generation);
mq_config *mq_config_ref (mq_config *config);
void mq_config_unref (mq_config *config);

/* Empty lists for the parts of a plain service.  */
GArray *mq_config_instances_new (void);
GArray *mq_config_repeatable_new (void);

/* The entry of that name, borrowed, or NULL.  */
const mq_organisation *mq_config_organisation (const mq_config *config,
                                               mq_span name);
const mq_organisation *
mq_config_organisation_by_token (const mq_config *config, mq_span token);
const mq_model *mq_config_model (const mq_config *config, mq_span name);
const mq_engine *mq_config_engine (const mq_config *config, mq_span name);
const mq_service *mq_config_service (const mq_config *config, mq_span name);

/* The link between two failure domains in either direction, or NULL.  */
const mq_link *mq_config_link (const mq_config *config, mq_span from,
                               mq_span to);

G_END_DECLS

#endif
