/* Internal to packages/net: a certificate and its key, reference-counted.

   Each connection keeps a reference to the credentials that it started with,
   so a server can switch to new ones at any time.  */

#ifndef MQ_INTERNAL_HTTP_TLS_H
#define MQ_INTERNAL_HTTP_TLS_H

#include <mq/http_server.h>

G_BEGIN_DECLS

typedef struct mq_http_tls mq_http_tls;

/* Loads the PEM files CERTIFICATE and KEY.  Returns one reference, or NULL
   with ERROR set to MQ_HTTP_SERVER_ERROR_TLS.  */
mq_http_tls *mq_http_tls_new (const char *certificate, const char *key,
                              GError **error);
mq_http_tls *mq_http_tls_ref (mq_http_tls *tls);
/* TLS may be NULL.  */
void mq_http_tls_unref (mq_http_tls *tls);

/* Sets TLS as the credentials of SESSION, a gnutls_session_t before its
   handshake.  TLS must outlive SESSION.  */
void mq_http_tls_use (mq_http_tls *tls, void *session);

/* Returns the bytes that SESSION, a gnutls_session_t, has received and
   decrypted, and that nobody has read.  */
size_t mq_http_tls_pending (void *session);

G_END_DECLS

#endif
