/* Recorded changes of the configuration, from the manifest and from the
   archives of older changes.  */

#include "ctl.h"

/* Append the changes in the archives to CHANGES and add the number of archives
   that could not be read to *MISSING.  */
static void
history_read_archives (ctl *c, GArray *changes, guint *missing)
{
  GPtrArray *names = ctl_list (c, MQ_MANIFEST_ARCHIVE_PREFIX);

  if (names == NULL)
    {
      (*missing)++;
      return;
    }
  for (guint i = 0; i < names->len; i++)
    {
      mq_span name = mq_str_span (g_ptr_array_index (names, i));
      mq_str *value = NULL;

      if (ctl_get (c, name, NULL, &value) != MQ_PLATFORM_OK
          || mq_manifest_decode_archive (mq_str_span (value), changes, NULL)
                 < 0)
        (*missing)++;
      mq_str_unref (value);
    }
  g_ptr_array_unref (names);
}

static gint
history_compare (gconstpointer a, gconstpointer b)
{
  const mq_change_record *x = a;
  const mq_change_record *y = b;

  return (x->generation > y->generation) - (x->generation < y->generation);
}

/* Remove duplicate records: an archive is written before the manifest from
   which its changes are removed, so a change may be in both.  */
static void
history_remove_duplicates (GArray *changes)
{
  for (guint i = changes->len; i > 1; i--)
    if (g_array_index (changes, mq_change_record, i - 1).generation
        == g_array_index (changes, mq_change_record, i - 2).generation)
      g_array_remove_index (changes, i - 1);
}

ctl_exit
ctl_read_history (ctl *c, GArray *changes, guint *missing)
{
  mq_manifest m;
  ctl_exit status = ctl_read_manifest (c, &m);

  if (status != CTL_OK)
    return status;
  /* Ownership of the records moves to CHANGES.  */
  g_array_append_vals (changes, m.changes->data, m.changes->len);
  g_array_set_clear_func (m.changes, NULL);
  mq_manifest_finish (&m);
  history_read_archives (c, changes, missing);
  g_array_sort (changes, history_compare);
  history_remove_duplicates (changes);
  return CTL_OK;
}
