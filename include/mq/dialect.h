/* The dialect of a platform: the header names, URL paths and encodings by
   which a router in gateway mode exchanges messages with clients, engines and
   the platform's store.

   A dialect holds names and formats only and takes no decisions.  The gateway
   uses the types of this header and contains no name of the wire itself.  A
   dialect is constant and lives as long as the program.  */

#ifndef MQ_DIALECT_H
#define MQ_DIALECT_H

#include <mq/gateway_settings.h>
#include <mq/layer_path.h>
#include <mq/platform.h>
#include <mq/routing.h>
#include <mq/upstream.h>

G_BEGIN_DECLS

#define MQ_DIALECT_ERROR (mq_dialect_error_quark ())
GQuark mq_dialect_error_quark (void);

typedef enum mq_dialect_error
{
  MQ_DIALECT_ERROR_SYNTAX, /* The text can't be parsed.  */
  MQ_DIALECT_ERROR_VALUE   /* A field is missing or out of range.  */
} mq_dialect_error;

/* Names of HTTP headers.  */
typedef struct mq_dialect_headers
{
  const char *request_id;         /* Differs between a client's attempts.  */
  const char *time_left_ms;       /* How long the sender will wait.  */
  const char *credential;         /* The client's key; never forwarded.  */
  const char *organisation;       /* Holder of the key, for the engine.  */
  const char *expect_incarnation; /* Only the engine of this id may run it.  */
  const char *path;               /* The stages of a layer path.  */
  const char *not_run;            /* In a response: the request did not run. */
  const char *signature;          /* Of the engine's response.  */
  const char *last_event_id;      /* A stream resumes after this event.  */
  const char *token_counts;       /* "PROMPT,MAX_ANSWER" in tokens.  */
  const char *prompt_parts;       /* Ids and tokens of a prompt's parts.  */
  const char *answer_estimate;    /* Tokens that the client expects.  */
  const char *at_fault;           /* Address of the engine at fault.  */
  const char *urgency;            /* Urgency level, 0 the most urgent.  */
} mq_dialect_headers;

/* Kinds of objects in the store.  */
typedef struct mq_dialect_kinds
{
  const char *configuration;
  const char *configuration_name; /* Of the one object that is read.  */
  const char *upstreams;
  const char *members;  /* Routers; written by routers.  */
  const char *refusals; /* Quarantined requests; written by routers.  */
} mq_dialect_kinds;

/* The state that an engine reports.  */
typedef struct mq_engine_report
{
  unsigned waiting;     /* Requests in its queue.  */
  unsigned running;     /* Requests that it processes.  */
  uint64_t kv_used;     /* Tokens times layers that can't be evicted.  */
  uint64_t kv_total;    /* Capacity, in tokens times layers.  */
  uint64_t orders;      /* Orders that this incarnation has accepted.  */
  uint64_t born_ms;     /* As in mq_upstream_facts.  */
  bool has_layers;      /* It states what layers the engine holds: ...  */
  unsigned layer_first; /* ... [layer_first, layer_end).  */
  unsigned layer_end;
  char *left_out;  /* What is wrong with a member that is left out; NULL if
                      nothing is.  Owned.  */
  bool busy;       /* It is carrying out an order.  */
  double slowdown; /* Ratio to its nominal step time; above 1: slower.  */
  GPtrArray *stalled_addresses; /* char *: addresses of engines that requests
                                   at this head wait for.  Owned.  */
} mq_engine_report;

/* What an upstream states about itself in the headers of a response.  */
typedef struct mq_upstream_notice
{
  bool limited;       /* It names a limit: ...  */
  double limit_per_s; /* ... requests a second from all routers together.  */
  bool leaving;       /* It drains and does not come back.  */
  uint64_t rest_us;   /* It rejected the request and accepts none from this
                         router for so long; 0: it did not say so.  */
} mq_upstream_notice;

typedef struct mq_dialect
{
  mq_dialect_headers headers;
  /* Headers of an upstream's response that may not occur with two values, up
     to a NULL.  */
  const char *const *single_headers;
  mq_dialect_kinds kinds;
  const char *ready_path;
  const char *resolve_path;
  const char *resolve_domain; /* Query argument: the client's domain.  */
  const char *report_path;
  const char *order_path;
  const mq_platform_dialect *store;

  /* Returns the path of the settings file that the platform placed, or NULL
     when it names none.  */
  const char *(*settings_path) (void);
  /* Decode the VALUE of a configuration object.  Returns a new reference, or
     NULL with ERROR set when it is unusable.  */
  mq_routing *(*routing_decode) (mq_span value, GError **error);
  /* Decode the VALUE of the upstream called ID.  Returns 0 and fills FACTS,
     which the caller then owns, or returns -1 with ERROR set.  */
  int (*upstream_decode) (mq_span id, mq_span value, mq_upstream_facts *facts,
                          GError **error);
  /* Decode the BODY of an engine's report.  Returns 0 and fills REPORT, which
     the caller releases by report_finish, or returns -1 with ERROR set.  */
  int (*report_decode) (mq_span body, mq_engine_report *report,
                        GError **error);
  void (*report_finish) (mq_engine_report *report);
  /* Decode NOTICE from HEAD, the status line and headers of a response with
     STATUS.  Returns 0; or -1 with ERROR set when a header has an invalid
     value, of which NOTICE then holds nothing.  */
  int (*notice_decode) (mq_span head, unsigned status,
                        mq_upstream_notice *notice, GError **error);
  /* Append to OUT the body of an order to load layers [FIRST, END).  The
     engine accepts it only if it has accepted ORDERS orders before.  It keeps
     the layers that it drops until the requests that pass through them have
     ended (docs/design/platform.md).  */
  void (*order_encode) (unsigned first, unsigned end, uint64_t orders,
                        GString *out);
  /* Append the value of the path header to OUT.  */
  void (*path_encode) (const mq_layer_path *path, GString *out);
  /* Store in IDS, which has room for MAX, the ids of the parts of a prompt
     that other requests may have as well, in their order; of more than MAX the
     last ones.  VALUE is that of the prompt_parts header, from which they
     borrow; what can't be read of it is left out.  Returns their number.  */
  size_t (*shared_parts_decode) (mq_span value, mq_span *ids, size_t max);
  /* Append to OUT the response to a discovery request: N ADDRESSES of routers,
     valid for TTL_S seconds.  */
  void (*resolve_encode) (const mq_span *addresses, size_t n, unsigned ttl_s,
                          GString *out);
} mq_dialect;

G_END_DECLS

#endif
