/* The dialect of a platform: how the routing face's callers, its engines and
   its store are spoken to.

   Names and formats only; nothing here decides.  The routing face sees the
   types of this header and never a name of the wire.  A dialect is constant
   and lives as long as the program.  */

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
  MQ_DIALECT_ERROR_SYNTAX, /* Not in the format at all.  */
  MQ_DIALECT_ERROR_VALUE   /* A part is missing or impossible.  */
} mq_dialect_error;

/* Names of headers.  */
typedef struct mq_dialect_headers
{
  const char *request_id;         /* Of one attempt of a client.  */
  const char *time_left_ms;       /* How long the sender will wait.  */
  const char *credential;         /* The client's key; never passed on.  */
  const char *organisation;       /* Holder of the key, for the engine.  */
  const char *expect_incarnation; /* Only this engine may run it.  */
  const char *path;               /* The parts of a path.  */
  const char *not_run;            /* The engine did not run it.  */
  const char *signature;          /* Of the engine's answer.  */
  const char *last_event_id;      /* Where a stream goes on.  */
  const char *token_counts;       /* Prompt and most answer tokens.  */
  const char *answer_estimate;    /* Tokens that the client expects.  */
  const char *at_fault;           /* Address of the engine at fault.  */
} mq_dialect_headers;

/* Kinds of objects in the store.  */
typedef struct mq_dialect_kinds
{
  const char *configuration;
  const char *configuration_name; /* Of the one object that counts.  */
  const char *upstreams;
  const char *members;  /* Our own: routers.  */
  const char *refusals; /* Our own: requests that are refused.  */
} mq_dialect_kinds;

/* What an engine says of itself.  */
typedef struct mq_engine_report
{
  unsigned waiting;
  unsigned running;
  uint64_t kv_used;  /* Tokens times layers, that can't yield.  */
  uint64_t kv_total; /* The same, in all.  */
  uint64_t orders;   /* Accepted so far.  */
  unsigned layer_first;
  unsigned layer_end;
  bool busy;
  double slowdown;              /* Above 1: slower than it should be.  */
  GPtrArray *stalled_addresses; /* char *: addresses of engines that requests
                            of this head wait for.  Owned.  */
} mq_engine_report;

typedef struct mq_dialect
{
  mq_dialect_headers headers;
  mq_dialect_kinds kinds;
  const char *ready_path;
  const char *resolve_path;
  const char *resolve_domain; /* Query argument: the asker's domain.  */
  const char *report_path;
  const char *order_path;
  const mq_platform_dialect *store;

  /* Read the settings file that the platform placed.  NULL: it names none. */
  const char *(*settings_path) (void);
  /* A configuration object's value.  NULL with ERROR set when unusable.  */
  mq_routing *(*routing_decode) (mq_span value, GError **error);
  /* An upstream's entry; FACTS is filled.  Returns 0 or -1.  */
  int (*upstream_decode) (mq_span id, mq_span value, mq_upstream_facts *facts,
                          GError **error);
  /* An engine's report.  Returns 0 or -1.  */
  int (*report_decode) (mq_span body, mq_engine_report *report,
                        GError **error);
  void (*report_finish) (mq_engine_report *report);
  /* The body of an order to hold layers [FIRST, END), which holds only while
     the engine has accepted ORDERS orders.  Requests that pass through
     layers that are let go are waited for: cutting them was tried and cost
     more than the wait (docs/design/platform.md).  */
  void (*order_encode) (unsigned first, unsigned end, uint64_t orders,
                        GString *out);
  /* The value of the path header.  */
  void (*path_encode) (const mq_layer_path *path, GString *out);
  /* The answer to a client that asks where to connect.  */
  void (*resolve_encode) (const mq_span *addresses, size_t n, unsigned ttl_s,
                          GString *out);
} mq_dialect;

G_END_DECLS

#endif
