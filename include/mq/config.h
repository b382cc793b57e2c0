/* The configuration in force: a typed, immutable snapshot.

   packages/config makes it from the merged files (mq/files.h); every module
   that decides holds a reference.  Names are unique within their kind.  The
   snapshot does not change after it was made, so a decision that holds a
   reference sees a single generation.  The snapshot owns all strings in it;
   the reference count is not atomic.  */

#ifndef MQ_CONFIG_H
#define MQ_CONFIG_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

#define MQ_SHA256_SIZE 32

/* Limits of an organisation over the whole fleet; 0 means no limit.  */
typedef struct mq_limits
{
  double requests_per_s;
  double tokens_per_s;
  uint32_t concurrent; /* Requests in flight.  */
} mq_limits;

typedef struct mq_organisation
{
  mq_str *name;
  unsigned char token_sha256[MQ_SHA256_SIZE]; /* Of the bearer token.  */
  uint32_t weight;  /* Share relative to other organisations; at least 1.  */
  int32_t priority; /* From 0, the lowest, to 9, the highest.  */
  mq_limits limits;
} mq_organisation;

typedef struct mq_model
{
  mq_str *name;
  mq_str *version;             /* The version that serves requests.  */
  uint32_t layers;             /* L: the layers are [0, L).  */
  uint32_t kv_bytes_per_token; /* Per layer.  */
  uint32_t activation_bytes;   /* Sent from stage to stage.  */
} mq_model;

typedef struct mq_engine
{
  mq_str *name;
  mq_str *url; /* http://IP:PORT  */
  mq_str *model;
  mq_str *version;
  uint32_t first; /* Layers [first, end).  */
  uint32_t end;
  mq_str *accelerator; /* Kind of accelerator.  */
  mq_str *failure_domain;
  bool checks_fencing; /* Rejects orders with an old fencing token.  */
  uint32_t slots;      /* Streams in one batch.  */
  uint32_t step_us;    /* Estimated time of a step until the router
                          has measured it.  */
} mq_engine;

/* The region of a failure domain.  A failure domain that is not configured
   counts as in the region of the VM that looks it up.  */
typedef struct mq_failure_domain
{
  mq_str *name;
  mq_str *region;
} mq_failure_domain;

/* Network distance between two failure domains.  */
typedef struct mq_link
{
  mq_str *from;
  mq_str *to;
  uint32_t latency_us; /* One way.  */
  uint32_t mbit_per_s;
} mq_link;

/* Calls of a plain service that may be repeated safely.  */
typedef struct mq_repeatable_call
{
  mq_str *method; /* In upper case.  */
  mq_str *path_prefix;
} mq_repeatable_call;

typedef struct mq_instance
{
  mq_str *url;
  mq_str *failure_domain;
} mq_instance;

typedef enum mq_service_kind
{
  MQ_SERVICE_MODEL, /* Served by a pipeline of model engines.  */
  MQ_SERVICE_PLAIN  /* Served by instances of a plain service.  */
} mq_service_kind;

typedef struct mq_service
{
  mq_str *name;
  mq_service_kind kind;
  uint32_t deadline_ms;     /* Used if the caller gives none.  */
  uint32_t max_deadline_ms; /* Upper bound of the caller's deadline.  */
  int32_t priority;         /* From 0, the lowest, to 9, the highest.  */
  uint32_t retry_percent;   /* Retry budget: retries per 100 first sends.  */
  union
  {
    struct
    {
      mq_str *model;
      uint32_t max_tokens; /* Upper bound of the caller's max_tokens.  */
    } model;
    struct
    {
      GArray *instances;   /* of mq_instance  */
      GArray *repeatable;  /* of mq_repeatable_call  */
      bool honours_keys;   /* Deduplicates by Idempotency-Key itself.  */
      uint32_t concurrent; /* Calls in flight per instance; 0: 64.  */
    } plain;
  } u;
} mq_service;

typedef enum mq_routing
{
  MQ_ROUTING_DEADLINE,   /* Prediction, admission, planning by cost and
                             recovery.  */
  MQ_ROUTING_ROUND_ROBIN /* The baseline for comparison: engines in turn, no
                            admission, immediate retry of whatever may be
                            retried.  */
} mq_routing;

typedef struct mq_policy
{
  mq_routing routing;
  uint32_t discovery_ttl_ms; /* Lifetime of discovery responses.  */
  uint32_t heartbeat_ms;     /* 0: computed from the byte budget.  */
  uint32_t stall_ms;         /* A stream without a token for this long is to be
                                replaced.  */
  uint32_t put_aside_percent; /* Maximum share of engines that are ejected at
                                 once.  */
  uint32_t cut_off_ms;        /* A router that has received nothing from the
                                 platform or a peer for this long takes no new
                                 work; 0 disables the check.  */
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

/* Returns a new empty configuration with the default policy and one
   reference.  */
mq_config *mq_config_new (uint64_t generation);
/* Take a reference to CONFIG, which may be NULL, and return it.  */
mq_config *mq_config_ref (mq_config *config);
/* Release one reference to CONFIG, which may be NULL.  */
void mq_config_unref (mq_config *config);

/* Return new empty arrays of mq_instance and of mq_repeatable_call for a plain
   service.  */
GArray *mq_config_instances_new (void);
GArray *mq_config_repeatable_new (void);

/* Look up an entry by its name, or an organisation by its bearer token.
   Return a borrowed pointer, or NULL if there is none.  */
const mq_organisation *mq_config_organisation (const mq_config *config,
                                               mq_span name);
const mq_organisation *
mq_config_organisation_by_token (const mq_config *config, mq_span token);
const mq_model *mq_config_model (const mq_config *config, mq_span name);
const mq_engine *mq_config_engine (const mq_config *config, mq_span name);
const mq_service *mq_config_service (const mq_config *config, mq_span name);

/* Returns the link between two failure domains in either direction, borrowed,
   or NULL if there is none.  */
const mq_link *mq_config_link (const mq_config *config, mq_span from,
                               mq_span to);

G_END_DECLS

#endif
