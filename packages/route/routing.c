/* The routing configuration: see mq/routing.h.

   A host has at most some hundred routes, so a linear search from the longest
   prefix down is cheap enough.  */

#include <mq/routing.h>

#include <string.h>

static void
route_clear (gpointer data)
{
  mq_route *r = data;

  mq_str_unref (r->name);
  mq_str_unref (r->host);
  mq_str_unref (r->prefix);
  g_clear_pointer (&r->shares, g_array_unref);
}

static void
card_clear (gpointer data)
{
  mq_str_unref (((mq_card *)data)->name);
}

static void
service_clear (gpointer data)
{
  mq_route_service *s = data;

  mq_str_unref (s->name);
  g_clear_pointer (&s->model.cards, g_array_unref);
}

static void
organisation_clear (gpointer data)
{
  mq_route_organisation *o = data;

  mq_str_unref (o->name);
  g_clear_pointer (&o->keys, g_ptr_array_unref);
}

static int
route_compare_length (gconstpointer a, gconstpointer b)
{
  size_t x = (*(const mq_route *const *)a)->prefix->size;
  size_t y = (*(const mq_route *const *)b)->prefix->size;

  return x < y ? 1 : x > y ? -1 : 0;
}

/* HOST without a port and in lower case; free with g_free.  */
static char *
host_normalise (mq_span host)
{
  const char *colon = host.size ? memchr (host.data, ':', host.size) : NULL;
  size_t size = colon ? (size_t)(colon - host.data) : host.size;

  return g_ascii_strdown (host.size ? host.data : "", (gssize)size);
}

static void
routing_index_route (mq_routing *routing, mq_route *route)
{
  char *host = host_normalise (mq_str_span (route->host));
  GPtrArray *list = g_hash_table_lookup (routing->by_host, host);

  if (list == NULL)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (routing->by_host, g_strdup (host), list);
    }
  g_ptr_array_add (list, route);
  g_free (host);
}

static void
routing_index_keys (mq_routing *routing, mq_route_organisation *organisation)
{
  for (guint i = 0; i < organisation->keys->len; i++)
    {
      mq_str *key = g_ptr_array_index (organisation->keys, i);

      g_hash_table_insert (routing->by_key, key->data, organisation);
    }
}

mq_layer_range
mq_layered_model_range (const mq_layered_model *model, unsigned first,
                        unsigned end)
{
  if (first >= end || end > model->layers)
    return (mq_layer_range){ 0, 0 };
  return (mq_layer_range){ first, end };
}

mq_routing *
mq_routing_new (uint64_t version)
{
  mq_routing *r = g_new0 (mq_routing, 1);

  r->refs = 1;
  r->version = version;
  r->routes = g_array_new (FALSE, TRUE, sizeof (mq_route));
  r->services = g_array_new (FALSE, TRUE, sizeof (mq_route_service));
  r->organisations = g_array_new (FALSE, TRUE, sizeof (mq_route_organisation));
  g_array_set_clear_func (r->routes, route_clear);
  g_array_set_clear_func (r->services, service_clear);
  g_array_set_clear_func (r->organisations, organisation_clear);
  r->by_host = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                      (GDestroyNotify)g_ptr_array_unref);
  r->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  return r;
}

mq_routing *
mq_routing_ref (mq_routing *routing)
{
  routing->refs++;
  return routing;
}

void
mq_routing_unref (mq_routing *routing)
{
  if (routing == NULL || --routing->refs > 0)
    return;
  g_hash_table_unref (routing->by_host);
  g_hash_table_unref (routing->by_key);
  g_array_unref (routing->routes);
  g_array_unref (routing->services);
  g_array_unref (routing->organisations);
  g_free (routing);
}

void
mq_routing_seal (mq_routing *routing)
{
  GHashTableIter i;
  gpointer list;

  for (guint n = 0; n < routing->routes->len; n++)
    routing_index_route (routing,
                         &g_array_index (routing->routes, mq_route, n));
  g_hash_table_iter_init (&i, routing->by_host);
  while (g_hash_table_iter_next (&i, NULL, &list))
    g_ptr_array_sort (list, route_compare_length);
  for (guint n = 0; n < routing->organisations->len; n++)
    routing_index_keys (routing, &g_array_index (routing->organisations,
                                                 mq_route_organisation, n));
  for (guint n = 0; n < routing->services->len; n++)
    mq_urgency_init (
        &g_array_index (routing->services, mq_route_service, n).urgency,
        routing, n);
}

const mq_route *
mq_routing_match (const mq_routing *routing, mq_span host, mq_span path)
{
  char *name = host_normalise (host);
  GPtrArray *list = g_hash_table_lookup (routing->by_host, name);
  const mq_route *found = NULL;

  g_free (name);
  for (guint i = 0; list != NULL && found == NULL && i < list->len; i++)
    {
      const mq_route *r = g_ptr_array_index (list, i);

      if (mq_span_starts_with (path, mq_str_span (r->prefix)))
        found = r;
    }
  return found;
}

const mq_route_organisation *
mq_routing_find_organisation (const mq_routing *routing, mq_span key)
{
  char *text;
  const mq_route_organisation *o;

  if (key.size == 0)
    return NULL;
  text = g_strndup (key.data, key.size);
  o = g_hash_table_lookup (routing->by_key, text);
  g_free (text);
  return o;
}

bool
mq_routing_has_keys (const mq_routing *routing)
{
  return routing->organisations->len > 0;
}

const mq_route_service *
mq_routing_choose_service (const mq_routing *routing, const mq_route *route,
                           uint64_t random)
{
  const mq_route_share *shares = (const void *)route->shares->data;
  uint64_t total = 0;

  for (guint i = 0; i < route->shares->len; i++)
    total += shares[i].weight;
  if (total == 0)
    return NULL;
  random %= total;
  for (guint i = 0; i < route->shares->len; i++)
    {
      if (random < shares[i].weight)
        return &g_array_index (routing->services, mq_route_service,
                               shares[i].service);
      random -= shares[i].weight;
    }
  return NULL;
}

const mq_route_service *
mq_routing_find_service (const mq_routing *routing, mq_span name)
{
  for (guint i = 0; i < routing->services->len; i++)
    {
      const mq_route_service *s
          = &g_array_index (routing->services, mq_route_service, i);

      if (mq_span_equal (mq_str_span (s->name), name))
        return s;
    }
  return NULL;
}

void
mq_layered_model_init (mq_layered_model *model)
{
  model->cards = g_array_new (FALSE, TRUE, sizeof (mq_card));
  g_array_set_clear_func (model->cards, card_clear);
}

const mq_card *
mq_layered_model_find_card (const mq_layered_model *model, mq_span name)
{
  for (guint i = 0; model->cards != NULL && i < model->cards->len; i++)
    {
      const mq_card *c = &g_array_index (model->cards, mq_card, i);

      if (mq_span_equal (mq_str_span (c->name), name))
        return c;
    }
  return NULL;
}
