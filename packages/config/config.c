/* The configuration snapshot: see mq/config.h.  */

#include <mq/config.h>

#include <sodium.h>
#include <string.h>

#define DEFAULT_DISCOVERY_TTL_MS 5000
#define DEFAULT_STALL_MS 1000
#define DEFAULT_PUT_ASIDE_PERCENT 20
#define DEFAULT_CUT_OFF_MS 10000

static void
config_organisation_clear (gpointer data)
{
  mq_organisation *o = data;

  mq_str_unref (o->name);
}

static void
config_model_clear (gpointer data)
{
  mq_model *m = data;

  mq_str_unref (m->name);
  mq_str_unref (m->version);
}

static void
config_engine_clear (gpointer data)
{
  mq_engine *e = data;

  mq_str_unref (e->name);
  mq_str_unref (e->url);
  mq_str_unref (e->model);
  mq_str_unref (e->version);
  mq_str_unref (e->accelerator);
  mq_str_unref (e->failure_domain);
}

static void
config_failure_domain_clear (gpointer data)
{
  mq_failure_domain *d = data;

  mq_str_unref (d->name);
  mq_str_unref (d->region);
}

static void
config_link_clear (gpointer data)
{
  mq_link *l = data;

  mq_str_unref (l->from);
  mq_str_unref (l->to);
}

static void
config_repeatable_clear (gpointer data)
{
  mq_repeatable_call *r = data;

  mq_str_unref (r->method);
  mq_str_unref (r->path_prefix);
}

static void
config_instance_clear (gpointer data)
{
  mq_instance *i = data;

  mq_str_unref (i->url);
  mq_str_unref (i->failure_domain);
}

static void
config_service_clear (gpointer data)
{
  mq_service *s = data;

  mq_str_unref (s->name);
  switch (s->kind)
    {
    case MQ_SERVICE_MODEL:
      mq_str_unref (s->u.model.model);
      break;
    case MQ_SERVICE_PLAIN:
      g_clear_pointer (&s->u.plain.instances, g_array_unref);
      g_clear_pointer (&s->u.plain.repeatable, g_array_unref);
      break;
    }
}

static GArray *
config_array_new (guint size, GDestroyNotify clear)
{
  GArray *a = g_array_new (FALSE, TRUE, size);

  g_array_set_clear_func (a, clear);
  return a;
}

/* The first member of an entry of any kind is its name.  */
static const void *
config_find (const GArray *array, mq_span name)
{
  guint size = g_array_get_element_size ((GArray *)array);

  for (guint i = 0; i < array->len; i++)
    {
      const void *entry = array->data + (size_t)i * size;
      mq_str *const *entry_name = entry;

      if (mq_span_equal (mq_str_span (*entry_name), name))
        return entry;
    }
  return NULL;
}

GArray *
mq_config_instances_new (void)
{
  return config_array_new (sizeof (mq_instance), config_instance_clear);
}

GArray *
mq_config_repeatable_new (void)
{
  return config_array_new (sizeof (mq_repeatable_call),
                           config_repeatable_clear);
}

mq_config *
mq_config_new (uint64_t generation)
{
  mq_config *c = g_new0 (mq_config, 1);

  c->refs = 1;
  c->generation = generation;
  c->organisations
      = config_array_new (sizeof (mq_organisation), config_organisation_clear);
  c->models = config_array_new (sizeof (mq_model), config_model_clear);
  c->engines = config_array_new (sizeof (mq_engine), config_engine_clear);
  c->failure_domains = config_array_new (sizeof (mq_failure_domain),
                                         config_failure_domain_clear);
  c->links = config_array_new (sizeof (mq_link), config_link_clear);
  c->services = config_array_new (sizeof (mq_service), config_service_clear);
  c->policy = (mq_policy){ .routing = MQ_ROUTING_DEADLINE,
                           .discovery_ttl_ms = DEFAULT_DISCOVERY_TTL_MS,
                           .stall_ms = DEFAULT_STALL_MS,
                           .put_aside_percent = DEFAULT_PUT_ASIDE_PERCENT,
                           .cut_off_ms = DEFAULT_CUT_OFF_MS };
  return c;
}

mq_config *
mq_config_ref (mq_config *config)
{
  if (config != NULL)
    config->refs++;
  return config;
}

void
mq_config_unref (mq_config *config)
{
  if (config == NULL || --config->refs > 0)
    return;
  g_array_unref (config->organisations);
  g_array_unref (config->models);
  g_array_unref (config->engines);
  g_array_unref (config->failure_domains);
  g_array_unref (config->links);
  g_array_unref (config->services);
  g_free (config);
}

const mq_organisation *
mq_config_organisation (const mq_config *config, mq_span name)
{
  return config_find (config->organisations, name);
}

const mq_organisation *
mq_config_organisation_by_token (const mq_config *config, mq_span token)
{
  unsigned char digest[MQ_SHA256_SIZE];

  if (token.size == 0)
    return NULL;
  crypto_hash_sha256 (digest, (const unsigned char *)token.data, token.size);
  for (guint i = 0; i < config->organisations->len; i++)
    {
      const mq_organisation *o
          = &g_array_index (config->organisations, mq_organisation, i);

      if (sodium_memcmp (o->token_sha256, digest, sizeof digest) == 0)
        return o;
    }
  return NULL;
}

const mq_model *
mq_config_model (const mq_config *config, mq_span name)
{
  return config_find (config->models, name);
}

const mq_engine *
mq_config_engine (const mq_config *config, mq_span name)
{
  return config_find (config->engines, name);
}

const mq_service *
mq_config_service (const mq_config *config, mq_span name)
{
  return config_find (config->services, name);
}

const mq_link *
mq_config_link (const mq_config *config, mq_span from, mq_span to)
{
  for (guint i = 0; i < config->links->len; i++)
    {
      const mq_link *l = &g_array_index (config->links, mq_link, i);
      mq_span a = mq_str_span (l->from);
      mq_span b = mq_str_span (l->to);

      if ((mq_span_equal (a, from) && mq_span_equal (b, to))
          || (mq_span_equal (a, to) && mq_span_equal (b, from)))
        return l;
    }
  return NULL;
}
