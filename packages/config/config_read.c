/* Makes the snapshot from a merged document: see mq/internal/config_read.h.

   A function for each kind of entry reads the keys in the order of
   docs/CONFIGURATION.md.  Each value is checked here against its own range;
   references between entries are checked in config_rules.c.  */

#include <mq/internal/config_read.h>

#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#define MAX_NAME_BYTES 64
#define MAX_PRIORITY 9
#define DEFAULT_PRIORITY 5
#define DEFAULT_KV_BYTES_PER_TOKEN 4096
#define DEFAULT_ACTIVATION_BYTES 16384
#define DEFAULT_SLOTS 8
#define DEFAULT_STEP_US 20000
#define DEFAULT_MAX_DEADLINE_MS 600000
#define DEFAULT_MAX_TOKENS 1024
#define DEFAULT_RETRY_PERCENT 10
#define DEFAULT_CONCURRENT_CALLS 64

#define MAX_LAYERS 10000
#define MAX_DURATION_MS 3600000 /* One hour.  */
#define MAX_RATE_PER_S 1e9

/* Reads one entry from JSON, its object, and appends it to its array in
   CONFIG.  */
typedef void (*config_read_entry) (const mq_json *json, mq_config *config);

static bool
config_name_is_valid (mq_span name)
{
  if (name.size == 0 || name.size > MAX_NAME_BYTES)
    return false;
  for (size_t i = 0; i < name.size; i++)
    if (!g_ascii_isalnum (name.data[i]) && !strchr ("-_", name.data[i]))
      return false;
  return true;
}

static uint32_t
config_u32 (const mq_json *json, const char *key, uint32_t min, uint32_t max,
            uint32_t fallback)
{
  return (uint32_t)mq_json_u64 (json, key, min, max, fallback);
}

/* Returns true if URL is http://IP:PORT or https://IP:PORT with a numeric IP
   address and without a path.  */
static bool
config_url_is_valid (mq_span url)
{
  char *text = g_strndup (url.data, url.size);
  GUri *uri = g_uri_parse (text, G_URI_FLAGS_NONE, NULL);
  unsigned char address[sizeof (struct in6_addr)];
  bool valid = false;

  if (uri != NULL)
    {
      const char *scheme = g_uri_get_scheme (uri);
      const char *host = g_uri_get_host (uri);

      valid = (strcmp (scheme, "http") == 0 || strcmp (scheme, "https") == 0)
              && host != NULL
              && (inet_pton (AF_INET, host, address) == 1
                  || inet_pton (AF_INET6, host, address) == 1)
              && g_uri_get_port (uri) > 0 && *g_uri_get_path (uri) == '\0'
              && g_uri_get_query (uri) == NULL
              && g_uri_get_fragment (uri) == NULL;
      g_uri_unref (uri);
    }
  g_free (text);
  return valid;
}

static mq_str *
config_url (const mq_json *json, const char *key)
{
  mq_span url = mq_json_span (json, key, (mq_span){ NULL, 0 });

  if (url.data == NULL)
    return NULL;
  if (!config_url_is_valid (url))
    {
      mq_json_fault (json, key,
                     "found \"%.*s\", expected http://IP:PORT or "
                     "https://IP:PORT with a numeric IP address and no path",
                     MQ_SPAN_ARG (url));
      return NULL;
    }
  return mq_str_new (url);
}

static void
config_read_digest (const mq_json *json, const char *key,
                    unsigned char digest[MQ_SHA256_SIZE])
{
  mq_span hex = mq_json_span (json, key, (mq_span){ NULL, 0 });
  size_t n = 0;

  if (hex.data == NULL)
    return;
  if (sodium_hex2bin (digest, MQ_SHA256_SIZE, hex.data, hex.size, NULL, &n,
                      NULL)
          < 0
      || n != MQ_SHA256_SIZE)
    mq_json_fault (json, key,
                   "expected the SHA-256 digest of the token as "
                   "64 hex digits");
}

static int32_t
config_priority (const mq_json *json)
{
  return (int32_t)mq_json_u64 (json, "priority", 0, MAX_PRIORITY,
                               DEFAULT_PRIORITY);
}

static void
config_read_organisation (const mq_json *json, mq_config *config)
{
  mq_organisation o = { .name = mq_str_new (json->key) };
  mq_json limits;

  mq_json_require (json, "token_sha256", NULL);
  config_read_digest (json, "token_sha256", o.token_sha256);
  o.weight = config_u32 (json, "weight", 1, 10000, 1);
  o.priority = config_priority (json);
  if (mq_json_object (json, "limits", &limits))
    {
      o.limits.requests_per_s
          = mq_json_double (&limits, "requests_per_s", 0, MAX_RATE_PER_S, 0);
      o.limits.tokens_per_s
          = mq_json_double (&limits, "tokens_per_s", 0, MAX_RATE_PER_S, 0);
      o.limits.concurrent = config_u32 (&limits, "concurrent", 0, 1000000, 0);
      mq_json_reject_unknown (&limits);
    }
  g_array_append_val (config->organisations, o);
}

static void
config_read_model (const mq_json *json, mq_config *config)
{
  mq_model m = { .name = mq_str_new (json->key) };

  mq_json_require (json, "version", "layers", NULL);
  m.version = mq_json_str (json, "version");
  m.layers = config_u32 (json, "layers", 1, MAX_LAYERS, 1);
  m.kv_bytes_per_token = config_u32 (json, "kv_bytes_per_token", 1, 1000000000,
                                     DEFAULT_KV_BYTES_PER_TOKEN);
  m.activation_bytes = config_u32 (json, "activation_bytes", 1, 1000000000,
                                   DEFAULT_ACTIVATION_BYTES);
  g_array_append_val (config->models, m);
}

static void
config_read_engine (const mq_json *json, mq_config *config)
{
  mq_engine e = { .name = mq_str_new (json->key) };

  mq_json_require (json, "url", "model", "version", "first", "end",
                   "accelerator", "failure_domain", NULL);
  e.url = config_url (json, "url");
  e.model = mq_json_str (json, "model");
  e.version = mq_json_str (json, "version");
  e.first = config_u32 (json, "first", 0, MAX_LAYERS - 1, 0);
  e.end = config_u32 (json, "end", 1, MAX_LAYERS, 1);
  e.accelerator = mq_json_str (json, "accelerator");
  e.failure_domain = mq_json_str (json, "failure_domain");
  e.checks_fencing = mq_json_bool (json, "checks_fencing", false);
  e.slots = config_u32 (json, "slots", 1, 4096, DEFAULT_SLOTS);
  e.step_us = config_u32 (json, "step_us", 1, 60000000, DEFAULT_STEP_US);
  g_array_append_val (config->engines, e);
}

static void
config_read_failure_domain (const mq_json *json, mq_config *config)
{
  mq_failure_domain d = { .name = mq_str_new (json->key) };

  mq_json_require (json, "region", NULL);
  d.region = mq_json_str (json, "region");
  g_array_append_val (config->failure_domains, d);
}

static void
config_read_link (const mq_json *json, mq_config *config)
{
  mq_link l = { 0 };

  mq_json_require (json, "from", "to", "latency_us", "mbit_per_s", NULL);
  l.from = mq_json_str (json, "from");
  l.to = mq_json_str (json, "to");
  l.latency_us = config_u32 (json, "latency_us", 0, 60000000, 0);
  l.mbit_per_s = config_u32 (json, "mbit_per_s", 1, 10000000, 1);
  g_array_append_val (config->links, l);
}

static void
config_read_service_model (const mq_json *json, mq_service *s)
{
  mq_json_require (json, "model", NULL);
  s->u.model.model = mq_json_str (json, "model");
  s->u.model.max_tokens
      = config_u32 (json, "max_tokens", 1, 1000000, DEFAULT_MAX_TOKENS);
}

static void
config_read_instances (const mq_json *list, GArray *instances)
{
  for (size_t i = 0; i < mq_json_size (list); i++)
    {
      mq_instance instance = { 0 };
      mq_json json;

      if (!mq_json_element (list, i, &json))
        continue;
      mq_json_require (&json, "url", "failure_domain", NULL);
      instance.url = config_url (&json, "url");
      instance.failure_domain = mq_json_str (&json, "failure_domain");
      mq_json_reject_unknown (&json);
      g_array_append_val (instances, instance);
    }
}

static void
config_read_repeatable (const mq_json *list, GArray *repeatable)
{
  for (size_t i = 0; i < mq_json_size (list); i++)
    {
      mq_repeatable_call call = { 0 };
      mq_span method;
      mq_json json;

      if (!mq_json_element (list, i, &json))
        continue;
      mq_json_require (&json, "method", "path_prefix", NULL);
      method = mq_json_span (&json, "method", (mq_span){ NULL, 0 });
      for (size_t k = 0; k < method.size; k++)
        if (!g_ascii_isupper (method.data[k]))
          {
            mq_json_fault (
                &json, "method",
                "found \"%.*s\", expected an upper-case method such as "
                "GET",
                MQ_SPAN_ARG (method));
            break;
          }
      call.method = mq_str_new (method);
      call.path_prefix = mq_json_str (&json, "path_prefix");
      if (call.path_prefix != NULL && call.path_prefix->data[0] != '/')
        mq_json_fault (&json, "path_prefix",
                       "expected a path that begins with /");
      mq_json_reject_unknown (&json);
      g_array_append_val (repeatable, call);
    }
}

static void
config_read_service_plain (const mq_json *json, mq_service *s)
{
  mq_json list;

  s->u.plain.instances = mq_config_instances_new ();
  s->u.plain.repeatable = mq_config_repeatable_new ();
  mq_json_require (json, "instances", NULL);
  if (mq_json_array (json, "instances", &list))
    {
      if (mq_json_size (&list) == 0)
        mq_json_fault (json, "instances",
                       "empty, expected at least one instance");
      config_read_instances (&list, s->u.plain.instances);
    }
  if (mq_json_array (json, "repeatable", &list))
    config_read_repeatable (&list, s->u.plain.repeatable);
  s->u.plain.honours_keys = mq_json_bool (json, "honours_keys", false);
  s->u.plain.concurrent
      = config_u32 (json, "concurrent", 1, 100000, DEFAULT_CONCURRENT_CALLS);
}

/* Check a service without a kind.  A partial file may leave the kind to
   another file; then the keys of both kinds are allowed, and all are checked.
 */
static void
config_read_service_any_kind (const mq_json *json)
{
  mq_service s = { .kind = MQ_SERVICE_MODEL };

  config_read_service_model (json, &s);
  mq_str_unref (s.u.model.model);
  config_read_service_plain (json, &s);
  g_array_unref (s.u.plain.instances);
  g_array_unref (s.u.plain.repeatable);
}

static void
config_read_service (const mq_json *json, mq_config *config)
{
  static const char *const kinds[] = { "model", "plain", NULL };
  mq_service s = { .name = mq_str_new (json->key) };
  int kind;

  mq_json_require (json, "kind", "deadline_ms", NULL);
  kind = mq_json_enum (json, "kind", kinds, -1);
  s.deadline_ms = config_u32 (json, "deadline_ms", 1, MAX_DURATION_MS, 1);
  s.max_deadline_ms = config_u32 (json, "max_deadline_ms", 1, MAX_DURATION_MS,
                                  DEFAULT_MAX_DEADLINE_MS);
  s.priority = config_priority (json);
  s.retry_percent
      = config_u32 (json, "retry_percent", 0, 100, DEFAULT_RETRY_PERCENT);
  switch (kind)
    {
    case MQ_SERVICE_MODEL:
      s.kind = MQ_SERVICE_MODEL;
      config_read_service_model (json, &s);
      break;
    case MQ_SERVICE_PLAIN:
      s.kind = MQ_SERVICE_PLAIN;
      config_read_service_plain (json, &s);
      break;
    default:
      config_read_service_any_kind (json);
      break;
    }
  g_array_append_val (config->services, s);
}

static void
config_read_policy (const mq_json *root, mq_config *config)
{
  static const char *const routings[] = { "deadline", "round-robin", NULL };
  mq_policy *p = &config->policy;
  mq_json json;

  if (!mq_json_object (root, "policy", &json))
    return;
  p->routing
      = (mq_routing)mq_json_enum (&json, "routing", routings, p->routing);
  p->discovery_ttl_ms = config_u32 (&json, "ask_ttl_ms", 100, MAX_DURATION_MS,
                                    p->discovery_ttl_ms);
  p->heartbeat_ms
      = config_u32 (&json, "heartbeat_ms", 0, 60000, p->heartbeat_ms);
  p->stall_ms = config_u32 (&json, "stall_ms", 10, 600000, p->stall_ms);
  p->put_aside_percent
      = config_u32 (&json, "put_aside_percent", 0, 100, p->put_aside_percent);
  p->cut_off_ms
      = config_u32 (&json, "cut_off_ms", 0, MAX_DURATION_MS, p->cut_off_ms);
  mq_json_reject_unknown (&json);
}

static void
config_read_section (const mq_json *root, const char *key,
                     config_read_entry read_entry, mq_config *config)
{
  mq_json section;
  mq_json entry;
  mq_json_iter iter;

  if (!mq_json_object (root, key, &section))
    return;
  mq_json_iter_init (&iter, &section);
  while (mq_json_iter_next (&iter, &entry))
    {
      if (!config_name_is_valid (entry.key))
        mq_json_fault (&entry, NULL,
                       "invalid name, expected 1 to %d letters, digits, '-' "
                       "or '_'",
                       MAX_NAME_BYTES);
      read_entry (&entry, config);
      mq_json_reject_unknown (&entry);
    }
}

/* Compares entries of a kind whose first member is the name: all but links. */
static gint
config_compare_names (gconstpointer a, gconstpointer b)
{
  mq_str *const *x = a;
  mq_str *const *y = b;

  return mq_span_compare (mq_str_span (*x), mq_str_span (*y));
}

mq_config *
mq_config_read (mq_json_doc *doc, uint64_t generation)
{
  mq_config *c = mq_config_new (generation);
  mq_json root = mq_json_root (doc);

  config_read_section (&root, "organisations", config_read_organisation, c);
  config_read_section (&root, "models", config_read_model, c);
  config_read_section (&root, "engines", config_read_engine, c);
  config_read_section (&root, "failure_domains", config_read_failure_domain,
                       c);
  config_read_section (&root, "links", config_read_link, c);
  config_read_section (&root, "services", config_read_service, c);
  config_read_policy (&root, c);
  mq_json_reject_unknown (&root);
  g_array_sort (c->organisations, config_compare_names);
  g_array_sort (c->models, config_compare_names);
  g_array_sort (c->engines, config_compare_names);
  g_array_sort (c->failure_domains, config_compare_names);
  g_array_sort (c->services, config_compare_names);
  return c;
}
