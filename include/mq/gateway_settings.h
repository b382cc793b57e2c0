/* Settings of a router in gateway mode: JSON with comments, which the platform
   makes from a template (docs/SETTINGS.md).

   Errors are of the domain MQ_SETTINGS_ERROR.  */

#ifndef MQ_GATEWAY_SETTINGS_H
#define MQ_GATEWAY_SETTINGS_H

#include <mq/settings.h>

G_BEGIN_DECLS

typedef struct mq_gateway_settings
{
  mq_str *name; /* Name of the VM.  */
  mq_str *failure_domain;
  mq_str *region;
  mq_str *log_level;
  mq_listen clients;     /* Listens for requests.  */
  mq_listen readiness;   /* Listens for the platform's health checks.  */
  mq_listen directory;   /* Listens for discovery requests.  */
  mq_listen peers;       /* Listens for other routers.  */
  mq_listen tunnels;     /* Listens for tunnels of other routers; by default on
                            any port.  At the IP address of CLIENTS.  */
  uint16_t metrics_port; /* 0: no metrics are served.  */
  mq_str *platform_url;
  GPtrArray *seeds;         /* of char *: IP:PORT of peers, maybe outdated.  */
  unsigned max_connections; /* Limit of client connections; 0: no limit.  */
  size_t memory;            /* Of the process, in bytes; 0: as much as the
                               machine has.  */
  unsigned processor_milli; /* Processor capacity of the VM, in thousandths
                               of one processor.  */
  /* Bounds, which have defaults.  */
  uint64_t grace_ms;         /* From the termination signal to the kill.  */
  uint64_t directory_ttl_ms; /* How long clients may cache a discovery
                                response.  */
  unsigned store_followers;  /* Routers of a failure domain that follow the
                                store's list of upstreams; the others receive
                                changes by gossip.  */
  double retry_ratio;        /* Retries per request, over the fleet.  */
  double retry_slack;        /* Additional retries per window.  */
  uint64_t retry_window_ms;  /* Period of the retry budget.  */
  uint64_t quarantine_ms;    /* How long a request is refused after upstreams
                                crashed while they ran it.  */
} mq_gateway_settings;

/* Returns true if the file at PATH holds settings of the gateway mode, and
   false if it does not or can't be read; the loader of the settings then
   reports the error.  */
bool mq_gateway_settings_is_present (const char *path);

/* Fill SETTINGS, which need not be initialised, from the file at PATH. Returns
   0, or -1 with ERROR set; SETTINGS is then as after
   mq_gateway_settings_finish.  */
int mq_gateway_settings_load (mq_gateway_settings *settings, const char *path,
                              GError **error);
/* Fill SETTINGS likewise from TEXT; FILE is its name in messages.  */
int mq_gateway_settings_parse (mq_gateway_settings *settings, mq_span file,
                               mq_span text, GError **error);
/* Release what SETTINGS owns and set it to zeros.  */
void mq_gateway_settings_finish (mq_gateway_settings *settings);

G_END_DECLS

#endif
