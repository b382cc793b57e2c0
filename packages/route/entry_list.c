/* Entries as read from the store: see mq/entry_list.h.  */

#include <mq/entry_list.h>

/* Removals that are kept.  At the limit all are dropped at once, since they
   matter only while an older update may still come from another router.  */
#define MAX_GONE_ENTRIES 1024

static void
entry_free (gpointer data)
{
  mq_entry *e = data;

  mq_str_unref (e->text);
  g_free (e);
}

static uint64_t
entry_digest (const char *id, uint64_t version)
{
  return mq_hash_mix (mq_span_hash (mq_span_from (id)), version);
}

/* Take the entry of ID, if any, out of the digest.  */
static void
list_remove_digest (mq_entry_list *list, const char *id)
{
  const mq_entry *e = g_hash_table_lookup (list->entries, id);

  if (e != NULL)
    list->digest ^= entry_digest (id, e->version);
}

void
mq_entry_list_init (mq_entry_list *list)
{
  list->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  list->removed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  list->digest = 0;
  list->newest = 0;
}

void
mq_entry_list_finish (mq_entry_list *list)
{
  g_clear_pointer (&list->entries, g_hash_table_unref);
  g_clear_pointer (&list->removed, g_hash_table_unref);
}

void
mq_entry_list_put (mq_entry_list *list, mq_span id, uint64_t version,
                   mq_span text)
{
  char *key = g_strndup (id.data, id.size);
  mq_entry *e = g_new0 (mq_entry, 1);

  list_remove_digest (list, key);
  g_hash_table_remove (list->removed, key);
  e->text = mq_str_new (text);
  e->version = version;
  list->digest ^= entry_digest (key, version);
  list->newest = MAX (list->newest, version);
  g_hash_table_replace (list->entries, key, e);
}

void
mq_entry_list_remove (mq_entry_list *list, mq_span id, uint64_t version)
{
  char *key = g_strndup (id.data, id.size);
  mq_entry *removal = g_new0 (mq_entry, 1);

  list_remove_digest (list, key);
  g_hash_table_remove (list->entries, key);
  if (g_hash_table_size (list->removed) >= MAX_GONE_ENTRIES)
    g_hash_table_remove_all (list->removed);
  removal->version = version;
  list->newest = MAX (list->newest, version);
  g_hash_table_replace (list->removed, key, removal);
}

bool
mq_entry_list_confirm (mq_entry_list *list, mq_span id, uint64_t version,
                       bool removed)
{
  char *key = g_strndup (id.data, id.size);
  mq_entry *e
      = g_hash_table_lookup (removed ? list->removed : list->entries, key);
  bool is_new = e != NULL && e->version == version && !e->confirmed;

  g_free (key);
  if (is_new)
    e->confirmed = true;
  return is_new;
}

void
mq_entry_list_keep (mq_entry_list *list, GHashTable *keep)
{
  GHashTableIter i;
  gpointer id;

  g_hash_table_iter_init (&i, list->entries);
  while (g_hash_table_iter_next (&i, &id, NULL))
    {
      if (g_hash_table_contains (keep, id))
        continue;
      list_remove_digest (list, id);
      g_hash_table_iter_remove (&i);
    }
}

bool
mq_entry_list_is_newer (const mq_entry_list *list, mq_span id,
                        uint64_t version, bool removed)
{
  char *key = g_strndup (id.data, id.size);
  const mq_entry *e = g_hash_table_lookup (list->entries, key);
  const mq_entry *removal = g_hash_table_lookup (list->removed, key);

  g_free (key);
  if (removed)
    return e != NULL && version >= e->version;
  if (removal != NULL)
    return version > removal->version;
  return e == NULL || version > e->version;
}
