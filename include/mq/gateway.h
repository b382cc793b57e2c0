/* The routing face of a router: requests by host and path to services, with
   the platform's store behind (docs/design/platform.md).  */

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
  MQ_GATEWAY_ERROR_LISTEN, /* An address can't be listened on.  */
  MQ_GATEWAY_ERROR_PEERS   /* The peers' side can't start.  */
} mq_gateway_error;

typedef struct mq_gateway mq_gateway;

/* A new gateway on LOOP that listens where SETTINGS say.  All arguments are
   borrowed and must live longer.  NULL with ERROR set on failure.  */
mq_gateway *mq_gateway_new (struct ev_loop *loop, const mq_dialect *dialect,
                            const mq_gateway_settings *settings,
                            GError **error);
void mq_gateway_free (mq_gateway *gateway);

/* Leave: out of the directory at once, finish what has come, then break the
   loop.  A second call breaks it now.  */
void mq_gateway_drain (mq_gateway *gateway);

G_END_DECLS

#endif
