/* A router in gateway mode: it forwards HTTP requests to services by host and
   path, and reads its configuration and the list of upstreams from the
   platform's store (docs/design/platform.md).  */

#ifndef MQ_GATEWAY_H
#define MQ_GATEWAY_H

#include <ev.h>
#include <mq/dialect.h>
#include <mq/gateway_settings.h>

G_BEGIN_DECLS

#define MQ_GATEWAY_ERROR (mq_gateway_error_quark ())
GQuark mq_gateway_error_quark (void);

typedef enum mq_gateway_error
{
  MQ_GATEWAY_ERROR_LISTEN, /* Listening on an address failed.  */
  MQ_GATEWAY_ERROR_PEERS   /* The connections to other routers can't start.  */
} mq_gateway_error;

typedef struct mq_gateway mq_gateway;

/* Create a gateway on LOOP that listens on the addresses of SETTINGS.  LOOP,
   DIALECT and SETTINGS are borrowed and must outlive it.  Returns NULL with
   ERROR (MQ_GATEWAY_ERROR) set on failure.  */
mq_gateway *mq_gateway_new (struct ev_loop *loop, const mq_dialect *dialect,
                            const mq_gateway_settings *settings,
                            GError **error);
/* Close all connections and free GATEWAY; NULL is ignored.  */
void mq_gateway_free (mq_gateway *gateway);

/* Start to drain: withdraw from the directory at once, complete the requests
   in flight, then break the loop.  At the end of the grace period each that is
   left gets a response with what is known of its outcome.  A second call has
   no effect.  */
void mq_gateway_drain (mq_gateway *gateway);
bool mq_gateway_is_draining (const mq_gateway *gateway);
/* Answer the requests that are left at once, then break the loop.  */
void mq_gateway_drain_abort (mq_gateway *gateway);

G_END_DECLS

#endif
