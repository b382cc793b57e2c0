/* Settings of a router that runs the routing face: JSON with comments, made
   by the platform from a template (docs/SETTINGS.md).  */

#ifndef MQ_GATEWAY_SETTINGS_H
#define MQ_GATEWAY_SETTINGS_H

#include <mq/settings.h>

G_BEGIN_DECLS

typedef struct mq_gateway_settings
{
  mq_str *name; /* Of the VM.  */
  mq_str *failure_domain;
  mq_str *region;
  mq_str *log_level;
  mq_listen clients;     /* Requests.  */
  mq_listen readiness;   /* The platform's own check.  */
  mq_listen directory;   /* Clients that ask where to connect.  */
  mq_listen peers;       /* Other routers.  */
  uint16_t metrics_port; /* 0: none.  */
  mq_str *platform_url;
  GPtrArray *seeds;         /* char *: IP:PORT of peers, maybe stale.  */
  unsigned max_connections; /* Of clients at once; 0: no limit of its own.  */
  unsigned processor_milli; /* What the VM has, in thousandths of one.  */
  /* Bounds that the deployment sets; defaults where it sets none.  */
  uint64_t grace_ms;         /* From the signal to the kill.  */
  uint64_t directory_ttl_ms; /* How long clients may keep an answer.  */
  unsigned store_followers;  /* Routers of a failure domain that follow the
                                store's upstreams; the rest hear of them.  */
  double retry_ratio;        /* Further sends a request, over the fleet.  */
  double retry_slack;        /* Further sends a window beside these.  */
  uint64_t retry_window_ms;
  uint64_t quarantine_ms; /* For so long a request is refused under which
                             upstreams ended.  */
} mq_gateway_settings;

/* True when the file at PATH asks for the routing face.  False as well when
   it can't be read: the loader then says why.  */
bool mq_gateway_settings_is_present (const char *path);

/* Fill SETTINGS from the file at PATH.  Returns 0; or -1 with ERROR set, and
   SETTINGS is as after mq_gateway_settings_finish.  */
int mq_gateway_settings_load (mq_gateway_settings *settings, const char *path,
                              GError **error);
int mq_gateway_settings_parse (mq_gateway_settings *settings, mq_span file,
                               mq_span text, GError **error);
void mq_gateway_settings_finish (mq_gateway_settings *settings);

G_END_DECLS

#endif
