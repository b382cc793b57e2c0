/* The platform's object store: see objects.h.  */

#include <standin/objects.h>

#include <string.h>

struct mq_objects
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
name_is_valid (mq_span name)
{
  for (size_t i = 0; i < name.size; i++)
    if (!g_ascii_isalnum (name.data[i])
        && (name.data[i] == '\0' || strchr (".-_/", name.data[i]) == NULL))
      return false;
  return name.size > 0;
}

static bool
condition_holds (mq_object_condition condition, const mq_object *o)
{
  switch (condition.kind)
    {
    case MQ_OBJECT_ALWAYS:
      return true;
    case MQ_OBJECT_IF_ABSENT:
      return o == NULL;
    case MQ_OBJECT_IF_VERSION:
      return o != NULL && o->version == condition.version;
    }
  return false;
}

static mq_object *
object_find (const mq_objects *store, mq_span name)
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

mq_objects *
mq_objects_new (void)
{
  mq_objects *s = g_new0 (mq_objects, 1);

  s->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  return s;
}

void
mq_objects_free (mq_objects *store)
{
  if (store == NULL)
    return;
  g_hash_table_destroy (store->objects);
  g_free (store);
}

const mq_object *
mq_objects_get (const mq_objects *store, mq_span name)
{
  return object_find (store, name);
}

mq_object_result
mq_objects_put (mq_objects *store, mq_span name, mq_span value,
                mq_object_condition condition)
{
  mq_object *o;

  if (!name_is_valid (name))
    return MQ_OBJECT_BAD_NAME;
  if (value.size > MQ_OBJECT_MAX_VALUE_BYTES)
    return MQ_OBJECT_TOO_LARGE;
  o = object_find (store, name);
  if (!condition_holds (condition, o))
    return MQ_OBJECT_CONFLICT;
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
  return MQ_OBJECT_OK;
}

mq_object_result
mq_objects_delete (mq_objects *store, mq_span name,
                   mq_object_condition condition)
{
  mq_object *o = object_find (store, name);

  if (o == NULL)
    return MQ_OBJECT_MISSING;
  if (!condition_holds (condition, o))
    return MQ_OBJECT_CONFLICT;
  store->version++;
  g_hash_table_remove (store->objects, mq_str_cstr (o->name));
  return MQ_OBJECT_OK;
}

GPtrArray *
mq_objects_list (const mq_objects *store, mq_span prefix)
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
mq_objects_version (const mq_objects *store)
{
  return store->version;
}

void
mq_call_rate_init (mq_call_rate *rate, double per_s, uint64_t now_us)
{
  rate->rate = per_s;
  rate->tokens = per_s;
  rate->last_us = now_us;
}

bool
mq_call_rate_take (mq_call_rate *rate, uint64_t now_us)
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
