/* The platform's objects: see store.h.  */

#include <standin/store.h>

#include <string.h>

struct mq_store
{
  GHashTable *objects; /* char * name -> mq_object, both owned  */
  uint64_t version;
};

static void
object_free (gpointer data)
{
  mq_object *o = data;

  mq_str_unref (o->name);
  mq_str_unref (o->value);
  g_free (o);
}

static bool
name_valid (mq_span name)
{
  for (size_t i = 0; i < name.size; i++)
    if (!g_ascii_isalnum (name.data[i])
        && (name.data[i] == '\0' || strchr (".-_/", name.data[i]) == NULL))
      return false;
  return name.size > 0;
}

static bool
condition_holds (mq_store_condition condition, const mq_object *o)
{
  switch (condition.kind)
    {
    case MQ_STORE_ALWAYS:
      return true;
    case MQ_STORE_IF_ABSENT:
      return o == NULL;
    case MQ_STORE_IF_VERSION:
      return o != NULL && o->version == condition.version;
    }
  return false;
}

/* The object NAME, or NULL.  */
static mq_object *
object_find (const mq_store *store, mq_span name)
{
  char *key = g_strndup (name.data, name.size);
  mq_object *o = g_hash_table_lookup (store->objects, key);

  g_free (key);
  return o;
}

static gint
object_compare (gconstpointer a, gconstpointer b)
{
  const mq_object *x = *(const mq_object *const *)a;
  const mq_object *y = *(const mq_object *const *)b;

  return mq_span_compare (mq_str_span (x->name), mq_str_span (y->name));
}

mq_store *
mq_store_new (void)
{
  mq_store *s = g_new0 (mq_store, 1);

  s->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  return s;
}

void
mq_store_free (mq_store *store)
{
  if (store == NULL)
    return;
  g_hash_table_destroy (store->objects);
  g_free (store);
}

const mq_object *
mq_store_get (const mq_store *store, mq_span name)
{
  return object_find (store, name);
}

mq_store_result
mq_store_put (mq_store *store, mq_span name, mq_span value,
              mq_store_condition condition)
{
  mq_object *o;

  if (!name_valid (name))
    return MQ_STORE_BAD_NAME;
  if (value.size > MQ_STORE_VALUE_LIMIT)
    return MQ_STORE_TOO_LARGE;
  o = object_find (store, name);
  if (!condition_holds (condition, o))
    return MQ_STORE_CONFLICT;
  if (o == NULL)
    {
      o = g_new0 (mq_object, 1);
      o->name = mq_str_new (name);
      g_hash_table_insert (store->objects, g_strdup (mq_str_cstr (o->name)),
                           o);
    }
  mq_str_unref (o->value);
  o->value = mq_str_new (value);
  o->version = ++store->version;
  return MQ_STORE_OK;
}

mq_store_result
mq_store_delete (mq_store *store, mq_span name, mq_store_condition condition)
{
  mq_object *o = object_find (store, name);

  if (o == NULL)
    return MQ_STORE_MISSING;
  if (!condition_holds (condition, o))
    return MQ_STORE_CONFLICT;
  store->version++;
  g_hash_table_remove (store->objects, mq_str_cstr (o->name));
  return MQ_STORE_OK;
}

GPtrArray *
mq_store_list (const mq_store *store, mq_span prefix)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      mq_object *o = value;

      if (mq_span_starts_with (mq_str_span (o->name), prefix))
        g_ptr_array_add (list, o);
    }
  g_ptr_array_sort (list, object_compare);
  return list;
}

uint64_t
mq_store_version (const mq_store *store)
{
  return store->version;
}

void
mq_rate_init (mq_rate *rate, double per_s, uint64_t now_us)
{
  rate->rate = per_s;
  rate->tokens = per_s;
  rate->last_us = now_us;
}

bool
mq_rate_take (mq_rate *rate, uint64_t now_us)
{
  if (rate->rate <= 0)
    return true;
  rate->tokens += rate->rate * (double)(now_us - rate->last_us) / 1e6;
  rate->tokens = MIN (rate->tokens, MAX (rate->rate, 1));
  rate->last_us = now_us;
  if (rate->tokens < 1)
    return false;
  rate->tokens -= 1;
  return true;
}
