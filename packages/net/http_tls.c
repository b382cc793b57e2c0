/* TLS credentials of the server: see mq/internal/http_tls.h.

   GnuTLS uses what it can of a file that is cut within the lines around a
   certificate, so these lines are checked first.  */

#include <mq/internal/http_tls.h>

#include <gnutls/gnutls.h>
#include <string.h>

#define PEM_BEGIN "-----BEGIN "
#define PEM_END "-----END "
#define PEM_CLOSE "-----"

struct mq_http_tls
{
  unsigned refs;
  gnutls_certificate_credentials_t credentials;
};

/* Returns true if LINE is PREFIX, a label and PEM_CLOSE, and sets *LABEL.  */
static bool
pem_line_label (const char *line, const char *prefix, mq_span *label)
{
  size_t size = strlen (line);
  size_t around = strlen (prefix) + strlen (PEM_CLOSE);

  if (size <= around || !g_str_has_prefix (line, prefix)
      || !g_str_has_suffix (line, PEM_CLOSE))
    return false;
  *label = (mq_span){ line + strlen (prefix), size - around };
  return true;
}

/* Returns true if each of LINES that begins with a dash begins a part or ends
   the part that the one before it began, and no part is left open.  */
static bool
pem_lines_are_whole (char **lines)
{
  mq_span open = { NULL, 0 };
  mq_span label;

  for (size_t i = 0; lines[i] != NULL; i++)
    {
      const char *line = g_strchomp (lines[i]);

      if (line[0] != '-')
        continue;
      if (open.size == 0 && pem_line_label (line, PEM_BEGIN, &label))
        open = label;
      else if (open.size > 0 && pem_line_label (line, PEM_END, &label)
               && mq_span_equal (label, open))
        open.size = 0;
      else
        return false;
    }
  return open.size == 0;
}

/* Read the file at PATH into PEM.  Returns 0, or -1 with ERROR set if it can't
   be read or is cut.  */
static int
pem_read (gnutls_datum_t *pem, const char *path, GError **error)
{
  char *text = NULL;
  char **lines;
  gsize size = 0;
  bool whole;

  if (!g_file_get_contents (path, &text, &size, error))
    return -1;
  lines = g_strsplit (text, "\n", -1);
  whole = strlen (text) == size && pem_lines_are_whole (lines);
  /* The file may be a key.  */
  for (size_t i = 0; lines[i] != NULL; i++)
    gnutls_memset (lines[i], 0, strlen (lines[i]));
  g_strfreev (lines);
  *pem = (gnutls_datum_t){ (unsigned char *)text, (unsigned)size };
  if (whole)
    return 0;
  g_set_error_literal (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_TLS,
                       "a part of the file is cut");
  return -1;
}

mq_http_tls *
mq_http_tls_new (const char *certificate, const char *key, GError **error)
{
  gnutls_datum_t pem_certificate = { NULL, 0 };
  gnutls_datum_t pem_key = { NULL, 0 };
  GError *cause = NULL;
  mq_http_tls *t = g_new0 (mq_http_tls, 1);
  int r = 0;

  t->refs = 1;
  if (pem_read (&pem_certificate, certificate, &cause) < 0
      || pem_read (&pem_key, key, &cause) < 0)
    goto fail;
  r = gnutls_certificate_allocate_credentials (&t->credentials);
  if (r < 0)
    goto fail;
  r = gnutls_certificate_set_x509_key_mem (t->credentials, &pem_certificate,
                                           &pem_key, GNUTLS_X509_FMT_PEM);
  if (r < 0)
    goto fail;
  goto out;

fail:
  g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_TLS,
               "can't use certificate \"%s\" with key \"%s\": %s", certificate,
               key, cause != NULL ? cause->message : gnutls_strerror (r));
  g_clear_error (&cause);
  mq_http_tls_unref (t);
  t = NULL;
out:
  g_free (pem_certificate.data);
  if (pem_key.data != NULL)
    gnutls_memset (pem_key.data, 0, pem_key.size);
  g_free (pem_key.data);
  return t;
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

size_t
mq_http_tls_pending (void *session)
{
  return gnutls_record_check_pending (session);
}
