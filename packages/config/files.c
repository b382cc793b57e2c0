/* Configuration files: see mq/files.h.

   Invariant: a set is sorted by name, and its names are unique.  */

#include <mq/files.h>

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <mq/internal/config_read.h>
#include <mq/internal/named_array.h>

G_STATIC_ASSERT (offsetof (mq_file, name) == 0);

G_DEFINE_QUARK (mq - config - error - quark, mq_config_error)

static void
file_clear (gpointer data)
{
  mq_file *f = data;

  mq_str_unref (f->name);
  mq_str_unref (f->text);
}

/* Set ERROR to CODE and the message of FROM, and free FROM.  */
static void
files_set_error (GError **error, mq_config_error code, GError *from)
{
  g_set_error (error, MQ_CONFIG_ERROR, code, "%s", from->message);
  g_error_free (from);
}

/* Read the file at PATH into FILES under NAME.  Returns 0, or -1 with ERROR
   set.  */
static int
files_add_path (GArray *files, const char *path, const char *name,
                GError **error)
{
  char *text = NULL;
  gsize size = 0;
  GError *io = NULL;
  mq_str *n = NULL;
  mq_str *t = NULL;
  int result = -1;

  if (!mq_file_name_is_valid (mq_span_from (name)))
    {
      g_set_error (
          error, MQ_CONFIG_ERROR, MQ_CONFIG_ERROR_NAME,
          "%s: invalid file name, expected at most %d letters, digits, "
          "'.', '-' and '_', no '.' first and .json at the end",
          path, MQ_MAX_FILE_NAME_BYTES);
      return -1;
    }
  if (!g_file_get_contents (path, &text, &size, &io))
    {
      files_set_error (error, MQ_CONFIG_ERROR_IO, io);
      return -1;
    }
  if (size > MQ_JSON_MAX_FILE_BYTES)
    {
      g_set_error (error, MQ_CONFIG_ERROR, MQ_CONFIG_ERROR_IO,
                   "%s: file has %zu bytes, expected at most %zu", path,
                   (size_t)size, MQ_JSON_MAX_FILE_BYTES);
      goto done;
    }
  n = mq_str_new (mq_span_from (name));
  t = mq_str_new ((mq_span){ text, size });
  mq_files_put (files, n, t);
  result = 0;
done:
  mq_str_unref (n);
  mq_str_unref (t);
  g_free (text);
  return result;
}

/* Parse FILE and validate it alone.  Returns a new document, or NULL with
   ERROR set.  */
static mq_json_doc *
file_parse (const mq_file *file, GError **error)
{
  GError *json = NULL;
  mq_json_doc *doc = mq_json_parse (mq_str_span (file->name),
                                    mq_str_span (file->text), &json);

  if (doc == NULL)
    {
      files_set_error (error, MQ_CONFIG_ERROR_FILE, json);
      return NULL;
    }
  mq_json_doc_set_partial (doc, true);
  mq_config_unref (mq_config_read (doc, 0));
  if (mq_json_doc_check (doc, &json) < 0)
    {
      files_set_error (error, MQ_CONFIG_ERROR_FILE, json);
      mq_json_doc_free (doc);
      return NULL;
    }
  return doc;
}

GArray *
mq_files_new (void)
{
  GArray *files = g_array_new (FALSE, FALSE, sizeof (mq_file));

  g_array_set_clear_func (files, file_clear);
  return files;
}

void
mq_files_put (GArray *files, mq_str *name, mq_str *text)
{
  mq_file f = { mq_str_ref (name), mq_str_ref (text) };
  bool found;
  guint at = mq_named_array_position (files, sizeof (mq_file),
                                      mq_str_span (name), &found);

  if (found)
    g_array_remove_index (files, at);
  g_array_insert_val (files, at, f);
}

bool
mq_files_remove (GArray *files, mq_span name)
{
  bool found;
  guint at = mq_named_array_position (files, sizeof (mq_file), name, &found);

  if (found)
    g_array_remove_index (files, at);
  return found;
}

const mq_file *
mq_files_find (const GArray *files, mq_span name)
{
  bool found;
  guint at = mq_named_array_position (files, sizeof (mq_file), name, &found);

  return found ? &g_array_index (files, mq_file, at) : NULL;
}

bool
mq_file_name_is_valid (mq_span name)
{
  static const mq_span suffix = { ".json", 5 };

  if (name.size <= suffix.size || name.size > MQ_MAX_FILE_NAME_BYTES
      || name.data[0] == '.')
    return false;
  for (size_t i = 0; i < name.size; i++)
    if (!g_ascii_isalnum (name.data[i]) && !strchr (".-_", name.data[i]))
      return false;
  return memcmp (name.data + name.size - suffix.size, suffix.data, suffix.size)
         == 0;
}

void
mq_file_digest (mq_span text, char digest[MQ_DIGEST_SIZE])
{
  unsigned char hash[crypto_hash_sha256_BYTES];

  crypto_hash_sha256 (hash, (const unsigned char *)text.data, text.size);
  sodium_bin2hex (digest, MQ_DIGEST_SIZE, hash, sizeof hash);
}

GArray *
mq_files_read (const char *path, GError **error)
{
  GArray *files = mq_files_new ();
  char *name = g_path_get_basename (path);
  int result = files_add_path (files, path, name, error);

  g_free (name);
  if (result == 0)
    return files;
  g_array_unref (files);
  return NULL;
}

GArray *
mq_files_read_folder (const char *path, GError **error)
{
  GError *io = NULL;
  GDir *dir = g_dir_open (path, 0, &io);
  GArray *files;
  const char *name;
  int result = 0;

  if (dir == NULL)
    {
      files_set_error (error, MQ_CONFIG_ERROR_IO, io);
      return NULL;
    }
  files = mq_files_new ();
  while (result == 0 && (name = g_dir_read_name (dir)) != NULL)
    {
      char *full;

      if (name[0] == '.' || !g_str_has_suffix (name, ".json"))
        continue;
      full = g_build_filename (path, name, NULL);
      result = files_add_path (files, full, name, error);
      g_free (full);
    }
  g_dir_close (dir);
  if (result == 0)
    return files;
  g_array_unref (files);
  return NULL;
}

int
mq_file_check (const mq_file *file, GError **error)
{
  mq_json_doc *doc = file_parse (file, error);

  if (doc == NULL)
    return -1;
  mq_json_doc_free (doc);
  return 0;
}

mq_json_doc *
mq_files_merge (const GArray *files, GError **error)
{
  mq_json_doc *merged = mq_json_doc_new ();

  for (guint i = 0; i < files->len; i++)
    {
      mq_json_doc *doc
          = file_parse (&g_array_index (files, mq_file, i), error);

      if (doc == NULL)
        {
          mq_json_doc_free (merged);
          return NULL;
        }
      mq_json_merge (merged, doc);
    }
  return merged;
}

/* Validate MERGED, free it and return its snapshot, or NULL with ERROR set. */
static mq_config *
files_read_merged (mq_json_doc *merged, uint64_t generation,
                   GPtrArray *warnings, GError **error)
{
  GError *json = NULL;
  mq_config *config = mq_config_read (merged, generation);

  /* References are only checked between valid entries.  */
  if (mq_json_doc_check (merged, NULL) == 0)
    mq_config_check_references (merged, config, warnings);
  if (mq_json_doc_check (merged, &json) < 0)
    {
      files_set_error (error, MQ_CONFIG_ERROR_MERGED, json);
      g_clear_pointer (&config, mq_config_unref);
    }
  mq_json_doc_free (merged);
  return config;
}

/* Merge FILES, which were validated before.  Returns NULL if one does not
   parse.  */
static mq_json_doc *
files_merge_validated (const GArray *files)
{
  mq_json_doc *merged = mq_json_doc_new ();

  for (guint i = 0; i < files->len; i++)
    {
      const mq_file *f = &g_array_index (files, mq_file, i);
      mq_json_doc *doc = mq_json_parse_validated (f->name, f->text, NULL);

      if (doc == NULL)
        {
          mq_json_doc_free (merged);
          return NULL;
        }
      mq_json_merge (merged, doc);
    }
  return merged;
}

mq_config *
mq_files_load (const GArray *files, uint64_t generation, GPtrArray *warnings,
               GError **error)
{
  mq_json_doc *merged = mq_files_merge (files, error);

  if (merged == NULL)
    return NULL;
  return files_read_merged (merged, generation, warnings, error);
}

mq_config *
mq_files_load_validated (const GArray *files, uint64_t generation,
                         GError **error)
{
  mq_json_doc *merged = files_merge_validated (files);
  mq_config *config = NULL;

  if (merged != NULL)
    config = files_read_merged (merged, generation, NULL, NULL);
  /* The complete load is slower but names the file and the fault.  */
  return config ? config : mq_files_load (files, generation, NULL, error);
}
