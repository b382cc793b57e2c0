/* Settings of the gateway mode: see mq/gateway_settings.h.  */

#include <mq/gateway_settings.h>

#include <mq/json.h>
#include <string.h>

#define DEFAULT_GRACE_MS 8000
#define DEFAULT_DIRECTORY_TTL_MS 2000
#define DEFAULT_RETRY_RATIO 0.2
#define DEFAULT_RETRY_WINDOW_MS 10000
#define DEFAULT_QUARANTINE_MS 600000
#define MIN_QUARANTINE_MS 1000
#define MAX_MS ((uint64_t)3600 * 1000)
#define MAX_RETRY_SLACK 1e9

#define MAX_PROCESSOR_SHARE 1024.0
#define MILLI_PER_PROCESSOR 1000
#define MAX_FILES ((uint64_t)1 << 24)
/* Share of the file descriptors that client connections may use.  The rest is
   kept for files, peers, the store and upstreams, of which each stream needs
   one.  */
#define CLIENT_FD_SHARE 0.5

#define MAX_MEMORY_MB ((uint64_t)1 << 24)
#define BYTES_PER_MB ((size_t)1024 * 1024)

/* Two, so that one can fail; others take over when neither reaches the
   store.  */
#define DEFAULT_FOLLOWERS 2
#define MAX_FOLLOWERS 1000

/* A settings file with this key selects the gateway mode.  */
#define GATEWAY_KEY "gateway"

static const char *const log_levels[]
    = { "error", "warning", "info", "debug", NULL };
#define LOG_LEVEL_INFO 2

/* Read "IP:PORT" at KEY into LISTEN.  */
static void
read_endpoint (const mq_json *object, const char *key, mq_listen *listen)
{
  mq_span text = mq_json_span (object, key, MQ_SPAN (""));
  const char *colon = text.size ? memrchr (text.data, ':', text.size) : NULL;
  uint64_t port;

  if (colon == NULL
      || mq_span_to_u64 ((mq_span){ colon + 1, (size_t)(text.data + text.size
                                                        - colon - 1) },
                         &port)
             < 0
      || port > UINT16_MAX)
    {
      mq_json_fault (object, key,
                     "expected IP:PORT with a port from 0 to 65535");
      return;
    }
  listen->address
      = mq_str_new ((mq_span){ text.data, (size_t)(colon - text.data) });
  listen->port = (uint16_t)port;
  if (!g_hostname_is_ip_address (listen->address->data))
    mq_json_fault (object, key,
                   "expected a numeric IP address before the port");
}

/* Other routers look for tunnels at the address that clients use.  */
static void
read_tunnels (const mq_json *object, mq_gateway_settings *settings)
{
  mq_span clients = mq_str_span (settings->clients.address);

  if (!mq_json_has (object, "tunnels"))
    {
      if (clients.size > 0)
        settings->tunnels.address = mq_str_ref (settings->clients.address);
      return;
    }
  read_endpoint (object, "tunnels", &settings->tunnels);
  if (settings->tunnels.address != NULL && clients.size > 0
      && !mq_span_equal (mq_str_span (settings->tunnels.address), clients))
    mq_json_fault (object, "tunnels",
                   "expected the IP address of \"clients\"");
}

static void
read_seeds (const mq_json *object, mq_gateway_settings *settings)
{
  mq_json list;

  settings->seeds = g_ptr_array_new_with_free_func (g_free);
  if (!mq_json_array (object, "seeds", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_span s = mq_json_element_span (&list, i);

      g_ptr_array_add (settings->seeds, g_strndup (s.data, s.size));
    }
}

/* max_files is the limit of open file descriptors of the process.  */
static void
read_max_files (const mq_json *object, mq_gateway_settings *settings)
{
  uint64_t files = mq_json_u64 (object, "max_files", 0, MAX_FILES, 0);

  settings->max_connections = (unsigned)(files * CLIENT_FD_SHARE);
}

static void
read_memory (const mq_json *object, mq_gateway_settings *settings)
{
  settings->memory
      = mq_json_u64 (object, "memory_mb", 0, MAX_MEMORY_MB, 0) * BYTES_PER_MB;
}

/* The capacity of the VM is its share of a processor times the speed of that
   processor relative to a reference processor.  */
static void
read_processor (const mq_json *object, mq_gateway_settings *settings)
{
  double share
      = mq_json_double (object, "processor_share", 0, MAX_PROCESSOR_SHARE, 1);
  double speed
      = mq_json_double (object, "processor_speed", 0, MAX_PROCESSOR_SHARE, 1);

  settings->processor_milli
      = (unsigned)MAX (share * speed * MILLI_PER_PROCESSOR, 1);
}

static void
read_bounds (const mq_json *object, mq_gateway_settings *settings)
{
  settings->grace_ms
      = mq_json_u64 (object, "grace_ms", 0, MAX_MS, DEFAULT_GRACE_MS);
  settings->directory_ttl_ms = mq_json_u64 (object, "directory_ttl_ms", 0,
                                            MAX_MS, DEFAULT_DIRECTORY_TTL_MS);
  settings->store_followers = (unsigned)mq_json_u64 (
      object, "store_followers", 1, MAX_FOLLOWERS, DEFAULT_FOLLOWERS);
  settings->retry_ratio = mq_json_double (object, "further_sends_ratio", 0, 10,
                                          DEFAULT_RETRY_RATIO);
  settings->retry_slack
      = mq_json_double (object, "further_sends_slack", 0, MAX_RETRY_SLACK, 0);
  settings->retry_window_ms = mq_json_u64 (object, "further_sends_window_ms",
                                           1, MAX_MS, DEFAULT_RETRY_WINDOW_MS);
  settings->quarantine_ms
      = mq_json_u64 (object, "quarantine_ms", MIN_QUARANTINE_MS, MAX_MS,
                     DEFAULT_QUARANTINE_MS);
}

static void
read_gateway (const mq_json *object, mq_gateway_settings *settings)
{
  int level;

  mq_json_require (object, "name", "failure_domain", "region", "clients",
                   "readiness", "directory", "peers", "platform_url", NULL);
  settings->name = mq_json_str (object, "name");
  settings->failure_domain = mq_json_str (object, "failure_domain");
  settings->region = mq_json_str (object, "region");
  read_endpoint (object, "clients", &settings->clients);
  read_endpoint (object, "readiness", &settings->readiness);
  read_endpoint (object, "directory", &settings->directory);
  read_endpoint (object, "peers", &settings->peers);
  read_tunnels (object, settings);
  settings->metrics_port
      = (uint16_t)mq_json_u64 (object, "metrics_port", 0, UINT16_MAX, 0);
  read_max_files (object, settings);
  read_memory (object, settings);
  read_processor (object, settings);
  settings->platform_url = mq_json_str (object, "platform_url");
  read_seeds (object, settings);
  read_bounds (object, settings);
  level = mq_json_enum (object, "log_level", log_levels, LOG_LEVEL_INFO);
  settings->log_level = mq_str_new (mq_span_from (log_levels[level]));
  mq_json_reject_unknown (object);
}

/* Set ERROR to the message of CAUSE, an error of the JSON reader, and free
   CAUSE.  Returns -1.  */
static int
settings_set_error (mq_settings_error code, GError *cause, GError **error)
{
  g_set_error_literal (error, MQ_SETTINGS_ERROR, (gint)code, cause->message);
  g_error_free (cause);
  return -1;
}

/* Fill SETTINGS from DOC and free DOC.  If DOC is NULL, it could not be read
   because of CAUSE.  */
static int
settings_from_doc (mq_gateway_settings *settings, mq_json_doc *doc,
                   GError *cause, GError **error)
{
  mq_json root;
  mq_json gateway;
  int result = 0;

  memset (settings, 0, sizeof *settings);
  if (doc == NULL)
    return settings_set_error (MQ_SETTINGS_ERROR_READ, cause, error);
  root = mq_json_root (doc);
  mq_json_require (&root, GATEWAY_KEY, NULL);
  if (mq_json_object (&root, GATEWAY_KEY, &gateway))
    read_gateway (&gateway, settings);
  mq_json_reject_unknown (&root);
  if (mq_json_doc_check (doc, &cause) < 0)
    {
      mq_gateway_settings_finish (settings);
      result = settings_set_error (MQ_SETTINGS_ERROR_INVALID, cause, error);
    }
  mq_json_doc_free (doc);
  return result;
}

bool
mq_gateway_settings_is_present (const char *path)
{
  mq_json_doc *doc = mq_json_read (path, NULL);
  mq_json root;
  bool found;

  if (doc == NULL)
    return false;
  root = mq_json_root (doc);
  found = mq_json_has (&root, GATEWAY_KEY);
  mq_json_doc_free (doc);
  return found;
}

int
mq_gateway_settings_load (mq_gateway_settings *settings, const char *path,
                          GError **error)
{
  GError *cause = NULL;
  mq_json_doc *doc = mq_json_read (path, &cause);

  return settings_from_doc (settings, doc, cause, error);
}

int
mq_gateway_settings_parse (mq_gateway_settings *settings, mq_span file,
                           mq_span text, GError **error)
{
  GError *cause = NULL;
  mq_json_doc *doc = mq_json_parse (file, text, &cause);

  return settings_from_doc (settings, doc, cause, error);
}

void
mq_gateway_settings_finish (mq_gateway_settings *settings)
{
  mq_str_unref (settings->name);
  mq_str_unref (settings->failure_domain);
  mq_str_unref (settings->region);
  mq_str_unref (settings->log_level);
  mq_str_unref (settings->clients.address);
  mq_str_unref (settings->readiness.address);
  mq_str_unref (settings->directory.address);
  mq_str_unref (settings->peers.address);
  mq_str_unref (settings->tunnels.address);
  mq_str_unref (settings->platform_url);
  g_clear_pointer (&settings->seeds, g_ptr_array_unref);
  memset (settings, 0, sizeof *settings);
}
