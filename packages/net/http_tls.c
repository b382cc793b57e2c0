/* TLS credentials of the server: see mq/internal/http_tls.h.  */

#include <mq/internal/http_tls.h>

#include <gnutls/gnutls.h>

struct mq_http_tls
{
  unsigned refs;
  gnutls_certificate_credentials_t credentials;
};

mq_http_tls *
mq_http_tls_new (const char *certificate, const char *key, GError **error)
{
  mq_http_tls *t = g_new0 (mq_http_tls, 1);
  int r;

  t->refs = 1;
  r = gnutls_certificate_allocate_credentials (&t->credentials);
  if (r < 0)
    goto fail;
  r = gnutls_certificate_set_x509_key_file (t->credentials, certificate, key,
                                            GNUTLS_X509_FMT_PEM);
  if (r < 0)
    goto fail;
  return t;

fail:
  g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_TLS,
               "can't use certificate \"%s\" with key \"%s\": %s", certificate,
               key, gnutls_strerror (r));
  mq_http_tls_unref (t);
  return NULL;
}

mq_http_tls *
mq_http_tls_ref (mq_http_tls *tls)
{
  tls->refs++;
  return tls;
}

void
mq_http_tls_unref (mq_http_tls *tls)
{
  if (tls == NULL || --tls->refs > 0)
    return;
  if (tls->credentials != NULL)
    gnutls_certificate_free_credentials (tls->credentials);
  g_free (tls);
}

void
mq_http_tls_use (mq_http_tls *tls, void *session)
{
  gnutls_credentials_set (session, GNUTLS_CRD_CERTIFICATE, tls->credentials);
}
