/* Internal to packages/net: a certificate and its key, counted by reference.

   Each connection keeps the credentials that it began with, so a server can
   take new ones at any time.  */

#ifndef MQ_INTERNAL_HTTP_TLS_H
#define MQ_INTERNAL_HTTP_TLS_H

#include <mq/http_server.h>

G_BEGIN_DECLS

typedef struct mq_http_tls mq_http_tls;

/* One reference to what the PEM files CERTIFICATE and KEY hold, or NULL with
   ERROR set to MQ_HTTP_SERVER_ERROR_TLS.  */
mq_http_tls *mq_http_tls_new (const char *certificate, const char *key,
                              GError **error);
mq_http_tls *mq_http_tls_ref (mq_http_tls *tls);
/* TLS may be NULL.  */
void mq_http_tls_unref (mq_http_tls *tls);

/* Let SESSION, a gnutls_session_t whose handshake hasn't begun, use TLS,
   which must outlive it.  */
void mq_http_tls_use (mq_http_tls *tls, void *session);

G_END_DECLS

#endif
