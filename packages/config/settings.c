/* Settings of a router in native mode: see mq/settings.h.  */

#include <mq/settings.h>

#include <mq/json.h>
#include <string.h>

#define DEFAULT_BODY_BYTES ((size_t)1024 * 1024)
#define DEFAULT_REQUESTS 4000
#define DEFAULT_IDLE_S 30
#define MAX_BODY_BYTES ((size_t)64 * 1024 * 1024)
#define MAX_REQUESTS 100000
#define MAX_MEMORY_MB ((uint64_t)1 << 24)
#define BYTES_PER_MB ((size_t)1024 * 1024)
#define MAX_IDLE_S 3600
#define SHA256_HEX_DIGITS 64

static const char *const log_levels[]
    = { "error", "warning", "info", "debug", NULL };
#define LOG_LEVEL_INFO 2

G_DEFINE_QUARK (mq - settings - error, mq_settings_error)

static bool
name_is_valid (mq_span name)
{
  for (size_t i = 0; i < name.size; i++)
    if (!g_ascii_isalnum (name.data[i])
        && strchr (".-_", name.data[i]) == NULL)
      return false;
  return name.size > 0;
}

static bool
url_is_valid (const char *url)
{
  GUri *uri = g_uri_parse (url, G_URI_FLAGS_NONE, NULL);
  bool valid;

  if (uri == NULL)
    return false;
  valid = (strcmp (g_uri_get_scheme (uri), "http") == 0
           || strcmp (g_uri_get_scheme (uri), "https") == 0)
          && g_uri_get_host (uri) != NULL && *g_uri_get_host (uri) != '\0'
          && strlen (g_uri_get_path (uri)) <= 1;
  g_uri_unref (uri);
  return valid;
}

static bool
digest_is_valid (mq_span hex)
{
  for (size_t i = 0; i < hex.size; i++)
    if (!g_ascii_isxdigit (hex.data[i]))
      return false;
  return hex.size == SHA256_HEX_DIGITS;
}

static mq_str *
read_name (const mq_json *object, const char *key)
{
  mq_str *name = mq_json_str (object, key);

  if (name != NULL && !name_is_valid (mq_str_span (name)))
    mq_json_fault (object, key,
                   "expected a name of letters, digits, '.', '-' and '_'");
  return name;
}

static mq_str *
read_address (const mq_json *object, const char *key)
{
  mq_str *address = mq_json_str (object, key);

  if (address != NULL && !g_hostname_is_ip_address (mq_str_cstr (address)))
    mq_json_fault (object, key,
                   "expected a numeric IP address such as 10.0.0.5");
  return address;
}

static void
read_listen (const mq_json *root, const char *key, mq_listen *listen)
{
  mq_json object;

  if (!mq_json_object (root, key, &object))
    return;
  mq_json_require (&object, "address", "port", NULL);
  listen->address = read_address (&object, "address");
  listen->port = (uint16_t)mq_json_u64 (&object, "port", 0, UINT16_MAX, 0);
  if (strcmp (key, "peers") != 0)
    mq_json_reject_unknown (&object);
}

/* Read the keys of the listener for peers; read_listen has read its address.
 */
static void
read_peer_keys (const mq_json *root, mq_settings *settings)
{
  mq_json object;

  if (!mq_json_object (root, "peers", &object))
    return;
  mq_json_has (&object, "address");
  settings->peers_key_file = mq_json_str (&object, "key_file");
  settings->peers_ring_file = mq_json_str (&object, "ring_file");
  if (settings->peers_key_file == NULL || settings->peers_ring_file == NULL)
    mq_json_fault (&object, NULL, "expected both key_file and ring_file");
  mq_json_reject_unknown (&object);
}

static void
read_platform (const mq_json *root, mq_settings *settings)
{
  mq_json object;

  if (!mq_json_object (root, "platform", &object))
    return;
  mq_json_require (&object, "url", NULL);
  settings->platform_url = mq_json_str (&object, "url");
  if (settings->platform_url != NULL
      && !url_is_valid (mq_str_cstr (settings->platform_url)))
    mq_json_fault (&object, "url",
                   "expected http://IP:PORT or https://IP:PORT");
  mq_json_reject_unknown (&object);
}

static void
read_limits (const mq_json *root, mq_settings *settings)
{
  mq_json object;

  settings->body_bytes = DEFAULT_BODY_BYTES;
  settings->requests = DEFAULT_REQUESTS;
  settings->idle_s = DEFAULT_IDLE_S;
  if (!mq_json_object (root, "limits", &object))
    return;
  settings->body_bytes = mq_json_u64 (&object, "body_bytes", 1024,
                                      MAX_BODY_BYTES, DEFAULT_BODY_BYTES);
  settings->requests = (uint32_t)mq_json_u64 (&object, "requests", 1,
                                              MAX_REQUESTS, DEFAULT_REQUESTS);
  settings->memory
      = mq_json_u64 (&object, "memory_mb", 0, MAX_MEMORY_MB, 0) * BYTES_PER_MB;
  settings->idle_s = (uint32_t)mq_json_u64 (&object, "idle_s", 1, MAX_IDLE_S,
                                            DEFAULT_IDLE_S);
  mq_json_reject_unknown (&object);
}

static void
read_tls (const mq_json *root, mq_settings *settings)
{
  mq_json object;

  if (!mq_json_object (root, "tls", &object))
    return;
  settings->tls_certificate = mq_json_str (&object, "certificate");
  settings->tls_key = mq_json_str (&object, "key");
  settings->tls_ca = mq_json_str (&object, "ca");
  if ((settings->tls_certificate == NULL) != (settings->tls_key == NULL))
    mq_json_fault (&object, NULL,
                   "expected both certificate and key, or neither");
  mq_json_reject_unknown (&object);
}

static void
read_operators (const mq_json *root, mq_settings *settings)
{
  mq_json object;

  if (!mq_json_object (root, "operators", &object))
    return;
  settings->operator_token_sha256 = mq_json_str (&object, "token_sha256");
  if (settings->operator_token_sha256 != NULL
      && !digest_is_valid (mq_str_span (settings->operator_token_sha256)))
    mq_json_fault (&object, "token_sha256",
                   "expected a SHA-256 digest as 64 hexadecimal digits");
  mq_json_reject_unknown (&object);
}

static void
read_log (const mq_json *root, mq_settings *settings)
{
  mq_json object;
  int level = LOG_LEVEL_INFO;

  if (mq_json_object (root, "log", &object))
    {
      level = mq_json_enum (&object, "level", log_levels, LOG_LEVEL_INFO);
      mq_json_reject_unknown (&object);
    }
  settings->log_level = mq_str_new (mq_span_from (log_levels[level]));
}

/* A VM that listens on all addresses must advertise one of them.  */
static void
read_advertised (const mq_json *root, mq_settings *settings)
{
  const char *address = mq_str_cstr (settings->callers.address);

  settings->advertised = read_address (root, "advertised");
  if (settings->advertised != NULL)
    return;
  if (strcmp (address, "0.0.0.0") == 0 || strcmp (address, "::") == 0)
    mq_json_fault (
        root, NULL,
        "expected \"advertised\", the numeric IP address that others"
        " use for this VM, since callers.address is %s",
        address);
  settings->advertised = mq_str_ref (settings->callers.address);
}

static void
read_root (const mq_json *root, mq_settings *settings)
{
  mq_json_require (root, "name", "region", "failure_domain", "callers",
                   "platform", NULL);
  settings->name = read_name (root, "name");
  settings->region = read_name (root, "region");
  settings->failure_domain = read_name (root, "failure_domain");
  read_listen (root, "callers", &settings->callers);
  read_listen (root, "peers", &settings->peers);
  read_peer_keys (root, settings);
  read_advertised (root, settings);
  read_platform (root, settings);
  read_limits (root, settings);
  read_tls (root, settings);
  read_operators (root, settings);
  read_log (root, settings);
  mq_json_reject_unknown (root);
}

static void
str_replace (mq_str **str, const char *text)
{
  if (text == NULL)
    return;
  mq_str_unref (*str);
  *str = mq_str_new (mq_span_from (text));
}

static int
overrides_set_error (GError **error, const char *name, const char *expected)
{
  g_set_error (error, MQ_SETTINGS_ERROR, MQ_SETTINGS_ERROR_INVALID,
               "command line: %s: expected %s", name, expected);
  return -1;
}

static int
overrides_check (const mq_settings_overrides *overrides, GError **error)
{
  if (overrides->address != NULL
      && !g_hostname_is_ip_address (overrides->address))
    return overrides_set_error (error, "--address", "a numeric IP address");
  if (overrides->port < -1 || overrides->port > UINT16_MAX)
    return overrides_set_error (error, "--port", "a number from 0 to 65535");
  if (overrides->platform_url != NULL
      && !url_is_valid (overrides->platform_url))
    return overrides_set_error (error, "--platform",
                                "http://IP:PORT or https://IP:PORT");
  if (overrides->log_level != NULL
      && !g_strv_contains (log_levels, overrides->log_level))
    return overrides_set_error (error, "--log-level",
                                "error, warning, info or debug");
  return 0;
}

static void
overrides_apply (const mq_settings_overrides *overrides, mq_settings *settings)
{
  bool advertised_follows
      = mq_span_equal (mq_str_span (settings->advertised),
                       mq_str_span (settings->callers.address));

  str_replace (&settings->callers.address, overrides->address);
  if (advertised_follows)
    str_replace (&settings->advertised, overrides->address);
  if (overrides->port >= 0)
    settings->callers.port = (uint16_t)overrides->port;
  str_replace (&settings->platform_url, overrides->platform_url);
  str_replace (&settings->log_level, overrides->log_level);
}

/* Fill SETTINGS from DOC and OVERRIDES, and free DOC.  */
static int
settings_from_doc (mq_settings *settings, mq_json_doc *doc,
                   const mq_settings_overrides *overrides, GError **error)
{
  mq_json root = mq_json_root (doc);
  GError *cause = NULL;
  int result = -1;

  read_root (&root, settings);
  if (mq_json_doc_check (doc, &cause) < 0)
    {
      g_set_error_literal (error, MQ_SETTINGS_ERROR, MQ_SETTINGS_ERROR_INVALID,
                           cause->message);
      g_error_free (cause);
      goto out;
    }
  if (overrides != NULL)
    {
      if (overrides_check (overrides, error) < 0)
        goto out;
      overrides_apply (overrides, settings);
    }
  result = 0;
out:
  mq_json_doc_free (doc);
  if (result < 0)
    mq_settings_finish (settings);
  return result;
}

/* Set ERROR to the message of CAUSE, an error of the JSON reader, and free
   CAUSE.  Returns -1.  */
static int
settings_set_read_error (GError *cause, GError **error)
{
  g_set_error_literal (error, MQ_SETTINGS_ERROR, MQ_SETTINGS_ERROR_READ,
                       cause->message);
  g_error_free (cause);
  return -1;
}

int
mq_settings_load (mq_settings *settings, const char *path,
                  const mq_settings_overrides *overrides, GError **error)
{
  GError *cause = NULL;
  mq_json_doc *doc = mq_json_read (path, &cause);

  memset (settings, 0, sizeof *settings);
  if (doc == NULL)
    return settings_set_read_error (cause, error);
  return settings_from_doc (settings, doc, overrides, error);
}

int
mq_settings_parse (mq_settings *settings, mq_span file, mq_span text,
                   const mq_settings_overrides *overrides, GError **error)
{
  GError *cause = NULL;
  mq_json_doc *doc = mq_json_parse (file, text, &cause);

  memset (settings, 0, sizeof *settings);
  if (doc == NULL)
    return settings_set_read_error (cause, error);
  return settings_from_doc (settings, doc, overrides, error);
}

void
mq_settings_finish (mq_settings *settings)
{
  mq_str_unref (settings->name);
  mq_str_unref (settings->region);
  mq_str_unref (settings->failure_domain);
  mq_str_unref (settings->callers.address);
  mq_str_unref (settings->peers.address);
  mq_str_unref (settings->advertised);
  mq_str_unref (settings->platform_url);
  mq_str_unref (settings->log_level);
  mq_str_unref (settings->tls_certificate);
  mq_str_unref (settings->tls_key);
  mq_str_unref (settings->tls_ca);
  mq_str_unref (settings->peers_key_file);
  mq_str_unref (settings->peers_ring_file);
  mq_str_unref (settings->operator_token_sha256);
  memset (settings, 0, sizeof *settings);
}
