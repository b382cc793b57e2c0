/* The files that a cluster's programs read: see cluster_files.h.  */

#include "cluster_files.h"

#include <glib/gstdio.h>
#include <mq/peers.h>
#include <string.h>

static json_object *
object_add (json_object *parent, const char *key)
{
  json_object *child = json_object_new_object ();

  json_object_object_add (parent, key, child);
  return child;
}

static void
add_string (json_object *json, const char *key, const char *value)
{
  json_object_object_add (json, key, json_object_new_string (value));
}

static void
add_int (json_object *json, const char *key, int64_t value)
{
  json_object_object_add (json, key, json_object_new_int64 (value));
}

static const char *
domain_name (const load_scenario *s, uint32_t domain)
{
  return mq_str_cstr (g_ptr_array_index (s->failure_domains, domain));
}

/* Write JSON, whose reference is stolen, as FILE in FOLDER.  */
static int
write_json (const char *folder, const char *file, json_object *json,
            GError **error)
{
  char *path = g_build_filename (folder, file, NULL);
  const char *text
      = json_object_to_json_string_ext (json, JSON_C_TO_STRING_PRETTY);
  gboolean ok = g_file_set_contents (path, text, -1, error);

  g_free (path);
  json_object_put (json);
  return ok ? 0 : -1;
}

static json_object *
organisations_json (const load_scenario *s)
{
  json_object *root = json_object_new_object ();
  json_object *list = object_add (root, "organisations");

  for (guint i = 0; i < s->organisations->len; i++)
    {
      const load_organisation *o
          = &g_array_index (s->organisations, load_organisation, i);
      json_object *item = object_add (list, mq_str_cstr (o->name));
      char *token = load_token (o);
      char *digest
          = g_compute_checksum_for_string (G_CHECKSUM_SHA256, token, -1);

      add_string (item, "token_sha256", digest);
      add_int (item, "weight", o->weight);
      g_free (digest);
      g_free (token);
    }
  return root;
}

static json_object *
models_json (const load_scenario *s)
{
  json_object *root = json_object_new_object ();
  json_object *list = object_add (root, "models");
  json_object *domains = object_add (root, "failure_domains");
  json_object *policy = object_add (root, "policy");

  for (guint i = 0; i < s->models->len; i++)
    {
      const load_model *m = &g_array_index (s->models, load_model, i);
      json_object *item = object_add (list, mq_str_cstr (m->name));

      add_string (item, "version", mq_str_cstr (m->version));
      add_int (item, "layers", m->layers);
    }
  for (guint i = 0; i < s->failure_domains->len; i++)
    add_string (object_add (domains, domain_name (s, i)), "region",
                mq_str_cstr (s->region));
  add_string (policy, "routing", mq_str_cstr (s->routing));
  return root;
}

/* The address of the process NAME; "" when there is none.  */
static const char *
process_address (const load_cluster *c, const char *name)
{
  for (guint i = 0; i < c->processes->len; i++)
    {
      const load_process *p = g_ptr_array_index (c->processes, i);

      if (strcmp (p->name, name) == 0)
        return p->address;
    }
  return "";
}

static void
engine_add_json (const load_cluster *c, json_object *list,
                 const load_engines *g, uint32_t p, uint32_t k)
{
  const load_scenario *s = c->scenario;
  const load_model *m = &g_array_index (s->models, load_model, g->model);
  char *name = load_engine_name (g, p, k);
  char *url = g_strdup_printf ("http://%s", process_address (c, name));
  json_object *item = object_add (list, name);
  uint32_t first;
  uint32_t end;

  load_engine_layers (s, g, k, &first, &end);
  add_string (item, "url", url);
  add_string (item, "model", mq_str_cstr (m->name));
  add_string (item, "version", mq_str_cstr (m->version));
  add_int (item, "first", first);
  add_int (item, "end", end);
  add_string (item, "accelerator", load_engine_accelerator (g, p));
  add_string (item, "failure_domain",
              domain_name (s, p % s->failure_domains->len));
  json_object_object_add (item, "checks_fencing",
                          json_object_new_boolean (g->checks_fencing));
  add_int (item, "slots", g->slots);
  add_int (item, "step_us",
           (int64_t)((g->step_us + (double)g->stream_us * g->slots)
                     * load_engine_slowness (g, p)));
  g_free (url);
  g_free (name);
}

static json_object *
engines_json (const load_cluster *c)
{
  const GArray *groups = c->scenario->engines;
  json_object *root = json_object_new_object ();
  json_object *list = object_add (root, "engines");

  for (guint i = 0; i < groups->len; i++)
    {
      const load_engines *g = &g_array_index (groups, load_engines, i);

      for (uint32_t p = 0; p < g->pipelines; p++)
        for (uint32_t k = 0; k < g->stages; k++)
          engine_add_json (c, list, g, p, k);
    }
  return root;
}

static void
add_repeatable (const load_scenario *s, uint32_t service, json_object *list)
{
  for (guint i = 0; i < s->kinds->len; i++)
    {
      const load_kind *k = &g_array_index (s->kinds, load_kind, i);
      json_object *item;

      if (k->service != service || !k->repeatable)
        continue;
      item = json_object_new_object ();
      add_string (item, "method", mq_str_cstr (k->method));
      add_string (item, "path_prefix", mq_str_cstr (k->path));
      json_object_array_add (list, item);
    }
}

static void
add_instances (const load_cluster *c, uint32_t service, json_object *list)
{
  for (guint i = 0; i < c->processes->len; i++)
    {
      const load_process *p = g_ptr_array_index (c->processes, i);
      json_object *item;
      char *url;

      if (p->role != LOAD_ROLE_PLAIN || p->service != service)
        continue;
      item = json_object_new_object ();
      url = g_strdup_printf ("http://%s", p->address);
      add_string (item, "url", url);
      add_string (item, "failure_domain",
                  domain_name (c->scenario, p->failure_domain));
      json_object_array_add (list, item);
      g_free (url);
    }
}

static void
add_plain (const load_cluster *c, uint32_t service, json_object *item)
{
  const load_service *v
      = &g_array_index (c->scenario->services, load_service, service);
  json_object *instances = json_object_new_array ();
  json_object *repeatable = json_object_new_array ();

  add_instances (c, service, instances);
  add_repeatable (c->scenario, service, repeatable);
  json_object_object_add (item, "instances", instances);
  json_object_object_add (item, "repeatable", repeatable);
  json_object_object_add (item, "honours_keys",
                          json_object_new_boolean (v->honours_keys));
}

static json_object *
services_json (const load_cluster *c)
{
  const load_scenario *s = c->scenario;
  json_object *root = json_object_new_object ();
  json_object *list = object_add (root, "services");

  for (guint i = 0; i < s->services->len; i++)
    {
      const load_service *v = &g_array_index (s->services, load_service, i);
      json_object *item = object_add (list, mq_str_cstr (v->name));

      add_string (item, "kind",
                  v->kind == MQ_SERVICE_MODEL ? "model" : "plain");
      add_int (item, "deadline_ms", v->deadline_ms);
      if (v->kind == MQ_SERVICE_MODEL)
        add_string (item, "model",
                    mq_str_cstr (
                        g_array_index (s->models, load_model, v->model).name));
      else
        add_plain (c, i, item);
    }
  return root;
}

char *
load_write_configuration (const load_cluster *cluster, GError **error)
{
  const load_scenario *s = cluster->scenario;
  char *folder = g_build_filename (cluster->folder, "configuration", NULL);

  g_mkdir_with_parents (folder, 0755);
  if (write_json (folder, "10-models.json", models_json (s), error) != 0
      || write_json (folder, "20-engines.json", engines_json (cluster), error)
             != 0
      || write_json (folder, "30-services.json", services_json (cluster),
                     error)
             != 0
      || write_json (folder, "40-organisations.json", organisations_json (s),
                     error)
             != 0)
    g_clear_pointer (&folder, g_free);
  return folder;
}

/* One key pair for all routers.  */
static int
write_peer_keys (const char *pair_path, const char *ring_path, GError **error)
{
  mq_peer_keys keys;
  char *pair;
  int status = -1;

  if (g_file_test (pair_path, G_FILE_TEST_EXISTS))
    return 0;
  mq_peer_keys_generate (&keys);
  pair = g_strdup_printf ("%s\n%s\n", keys.public_key, keys.secret_key);
  if (g_file_set_contents (ring_path, keys.public_key, -1, error)
      && g_file_set_contents (pair_path, pair, -1, error))
    status = 0;
  g_free (pair);
  return status;
}

static int64_t
port_of (const char *address)
{
  return g_ascii_strtoll (strrchr (address, ':') + 1, NULL, 10);
}

char *
load_write_settings (const load_cluster *cluster, const char *name,
                     uint32_t failure_domain, const load_process *before,
                     const char *platform, GError **error)
{
  json_object *root = json_object_new_object ();
  json_object *callers = object_add (root, "callers");
  json_object *peers = object_add (root, "peers");
  char *url = g_strdup_printf ("http://%s", platform);
  char *file = g_strdup_printf ("%s.json", name);
  char *pair = g_build_filename (cluster->folder, "peers.pair", NULL);
  char *ring = g_build_filename (cluster->folder, "peers.ring", NULL);
  char *path = NULL;

  add_string (root, "name", name);
  add_string (root, "region", mq_str_cstr (cluster->scenario->region));
  add_string (root, "failure_domain",
              domain_name (cluster->scenario, failure_domain));
  add_string (callers, "address", "127.0.0.1");
  add_int (callers, "port", before == NULL ? 0 : port_of (before->address));
  add_string (peers, "address", "127.0.0.1");
  add_int (peers, "port", before == NULL ? 0 : port_of (before->peers));
  add_string (peers, "key_file", pair);
  add_string (peers, "ring_file", ring);
  add_string (object_add (root, "platform"), "url", url);
  add_string (object_add (root, "log"), "level", "info");
  if (write_peer_keys (pair, ring, error) == 0
      && write_json (cluster->folder, file, root, error) == 0)
    path = g_build_filename (cluster->folder, file, NULL);
  g_free (pair);
  g_free (ring);
  g_free (file);
  g_free (url);
  return path;
}
