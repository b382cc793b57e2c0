/* The manifest: see mq/manifest.h.  */

#include <mq/manifest.h>

#include <inttypes.h>
#include <string.h>
#include <json-c/json.h>
#include <mq/internal/named_array.h>
#include <mq/json.h>

G_STATIC_ASSERT (offsetof (mq_manifest_file, name) == 0);

#define FORMAT 1
#define SIZE_LIMIT MQ_JSON_MAX_FILE_BYTES

static const char *const kind_names[] = { "apply", "drop", "take", NULL };

G_DEFINE_QUARK (mq - manifest - error - quark, mq_manifest_error)

static void
manifest_file_clear (gpointer data)
{
  mq_manifest_file *f = data;

  mq_str_unref (f->name);
}

static void
change_effect_clear (gpointer data)
{
  mq_change_effect *e = data;

  mq_str_unref (e->name);
}

static void
change_record_clear (gpointer data)
{
  mq_change_record *r = data;

  mq_str_unref (r->id);
  mq_str_unref (r->who);
  mq_str_unref (r->why);
  if (r->effects != NULL)
    g_array_unref (r->effects);
}

static GArray *
manifest_array_new (guint size, GDestroyNotify clear)
{
  GArray *a = g_array_new (FALSE, TRUE, size);

  g_array_set_clear_func (a, clear);
  return a;
}

/* Adds a string member unless TEXT is empty.  */
static void
manifest_add_string (struct json_object *object, const char *key,
                     const char *text, size_t size)
{
  if (size > 0)
    json_object_object_add (object, key,
                            json_object_new_string_len (text, (int)size));
}

static void
manifest_add_str (struct json_object *object, const char *key,
                  const mq_str *str)
{
  mq_span s = mq_str_span (str);

  manifest_add_string (object, key, s.data, s.size);
}

static void
manifest_add_number (struct json_object *object, const char *key, uint64_t n)
{
  json_object_object_add (object, key, json_object_new_uint64 (n));
}

static struct json_object *
manifest_encode_file (const mq_manifest_file *f)
{
  struct json_object *o = json_object_new_object ();

  manifest_add_str (o, "name", f->name);
  manifest_add_string (o, "digest", f->digest.hex, strlen (f->digest.hex));
  manifest_add_number (o, "size", f->size);
  return o;
}

static struct json_object *
manifest_encode_effect (const mq_change_effect *e)
{
  struct json_object *o = json_object_new_object ();

  manifest_add_str (o, "name", e->name);
  manifest_add_string (o, "before", e->before.hex, strlen (e->before.hex));
  manifest_add_string (o, "after", e->after.hex, strlen (e->after.hex));
  return o;
}

static struct json_object *
manifest_encode_change (const mq_change_record *r)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *effects = json_object_new_array ();

  manifest_add_str (o, "id", r->id);
  manifest_add_number (o, "generation", r->generation);
  json_object_object_add (o, "kind",
                          json_object_new_string (kind_names[r->kind]));
  manifest_add_str (o, "who", r->who);
  manifest_add_str (o, "why", r->why);
  manifest_add_number (o, "wall_ms", r->wall_ms);
  for (guint i = 0; i < r->effects->len; i++)
    json_object_array_add (effects, manifest_encode_effect (&g_array_index (
                                        r->effects, mq_change_effect, i)));
  json_object_object_add (o, "effects", effects);
  manifest_add_number (o, "n_effects", r->n_effects);
  return o;
}

static struct json_object *
manifest_encode_changes (const mq_manifest *m, guint n)
{
  struct json_object *changes = json_object_new_array ();

  for (guint i = 0; i < n; i++)
    json_object_array_add (changes, manifest_encode_change (&g_array_index (
                                        m->changes, mq_change_record, i)));
  return changes;
}

/* Returns the text of ROOT and releases ROOT.  */
static mq_str *
manifest_finish_text (struct json_object *root)
{
  size_t size = 0;
  const char *text = json_object_to_json_string_length (
      root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &size);
  mq_str *str = mq_str_new ((mq_span){ text, size });

  json_object_put (root);
  return str;
}

static mq_digest
manifest_read_digest (const mq_json *json, const char *key)
{
  mq_span hex = mq_json_span (json, key, MQ_SPAN (""));
  mq_digest digest = { "" };

  if (hex.size == 0)
    return digest;
  for (size_t i = 0; i < hex.size; i++)
    if (!g_ascii_isxdigit (hex.data[i]))
      hex.size = 0;
  if (hex.size != MQ_DIGEST_SIZE - 1)
    mq_json_fault (json, key, "not a digest");
  else
    memcpy (digest.hex, hex.data, hex.size);
  return digest;
}

static void
manifest_read_file (const mq_json *json, mq_manifest *m)
{
  mq_digest digest;
  mq_str *name;
  uint64_t size;

  mq_json_require (json, "name", "digest", "size", NULL);
  name = mq_json_str (json, "name");
  digest = manifest_read_digest (json, "digest");
  size = mq_json_u64 (json, "size", 0, SIZE_LIMIT, 0);
  if (name == NULL || !mq_file_name_is_valid (mq_str_span (name)))
    mq_json_fault (json, "name", "not a valid file name");
  else if (mq_manifest_find_file (m, mq_str_span (name)) != NULL)
    mq_json_fault (json, "name", "listed twice");
  else
    mq_manifest_put (m, name, digest, size);
  mq_str_unref (name);
}

static void
manifest_read_effects (const mq_json *json, GArray *effects)
{
  mq_json list;

  if (!mq_json_array (json, "effects", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_change_effect e = { 0 };
      mq_json item;

      if (!mq_json_element (&list, i, &item))
        continue;
      mq_json_require (&item, "name", NULL);
      e.name = mq_json_str (&item, "name");
      e.before = manifest_read_digest (&item, "before");
      e.after = manifest_read_digest (&item, "after");
      g_array_append_val (effects, e);
    }
}

static void
manifest_read_change (const mq_json *json, GArray *changes)
{
  mq_change_record r = { 0 };

  mq_json_require (json, "id", "generation", "kind", NULL);
  r.id = mq_json_str (json, "id");
  r.generation = mq_json_u64 (json, "generation", 1, UINT64_MAX, 1);
  r.kind = (mq_change_kind)mq_json_enum (json, "kind", kind_names, 0);
  r.who = mq_json_str (json, "who");
  r.why = mq_json_str (json, "why");
  r.wall_ms = mq_json_u64 (json, "wall_ms", 0, UINT64_MAX, 0);
  r.effects = mq_change_effects_new ();
  manifest_read_effects (json, r.effects);
  r.n_effects = (uint32_t)mq_json_u64 (json, "n_effects", 0, UINT32_MAX, 0);
  g_array_append_val (changes, r);
}

static void
manifest_read_changes (const mq_json *root, GArray *changes)
{
  mq_json list;

  if (!mq_json_array (root, "changes", &list))
    return;
  for (size_t i = 0; i < mq_json_size (&list); i++)
    {
      mq_json item;

      if (mq_json_element (&list, i, &item))
        manifest_read_change (&item, changes);
    }
}

/* Checks that generations ascend and that the last one is the manifest's.  */
static void
manifest_check_changes (const mq_json *root, const mq_manifest *m)
{
  uint64_t last = 0;

  for (guint i = 0; i < m->changes->len; i++)
    {
      const mq_change_record *r
          = &g_array_index (m->changes, mq_change_record, i);

      if (r->generation <= last)
        mq_json_fault (root, "changes", "generations do not ascend");
      last = r->generation;
    }
  if (m->changes->len > 0 && last != m->generation)
    mq_json_fault (root, "generation", "differs from that of the last change");
}

static void
manifest_read (mq_json_doc *doc, mq_manifest *m)
{
  mq_json root = mq_json_root (doc);
  mq_json list;

  mq_json_require (&root, "format", "generation", "files", "changes", NULL);
  mq_json_u64 (&root, "format", FORMAT, FORMAT, FORMAT);
  m->generation = mq_json_u64 (&root, "generation", 1, UINT64_MAX, 1);
  if (mq_json_array (&root, "files", &list))
    for (size_t i = 0; i < mq_json_size (&list); i++)
      {
        mq_json item;

        if (mq_json_element (&list, i, &item))
          manifest_read_file (&item, m);
      }
  manifest_read_changes (&root, m->changes);
  manifest_check_changes (&root, m);
}

/* Checks DOC and converts its faults to an MQ_MANIFEST_ERROR.  */
static int
manifest_check_doc (mq_json_doc *doc, GError **error)
{
  GError *json = NULL;

  if (mq_json_doc_check (doc, &json) == 0)
    return 0;
  g_set_error (error, MQ_MANIFEST_ERROR, MQ_MANIFEST_ERROR_FORM, "%s",
               json->message);
  g_error_free (json);
  return -1;
}

static mq_json_doc *
manifest_parse (mq_span text, GError **error)
{
  GError *json = NULL;
  mq_json_doc *doc = mq_json_parse (MQ_SPAN ("manifest"), text, &json);

  if (doc == NULL)
    {
      g_set_error (error, MQ_MANIFEST_ERROR, MQ_MANIFEST_ERROR_FORM, "%s",
                   json->message);
      g_error_free (json);
    }
  return doc;
}

GArray *
mq_change_records_new (void)
{
  return manifest_array_new (sizeof (mq_change_record), change_record_clear);
}

GArray *
mq_change_effects_new (void)
{
  return manifest_array_new (sizeof (mq_change_effect), change_effect_clear);
}

void
mq_manifest_init (mq_manifest *manifest)
{
  manifest->generation = 0;
  manifest->files
      = manifest_array_new (sizeof (mq_manifest_file), manifest_file_clear);
  manifest->changes = mq_change_records_new ();
}

void
mq_manifest_finish (mq_manifest *manifest)
{
  g_clear_pointer (&manifest->files, g_array_unref);
  g_clear_pointer (&manifest->changes, g_array_unref);
}

void
mq_manifest_copy (mq_manifest *to, const mq_manifest *from)
{
  mq_manifest_init (to);
  to->generation = from->generation;
  for (guint i = 0; i < from->files->len; i++)
    {
      mq_manifest_file f = g_array_index (from->files, mq_manifest_file, i);

      mq_str_ref (f.name);
      g_array_append_val (to->files, f);
    }
  for (guint i = 0; i < from->changes->len; i++)
    {
      mq_change_record r = g_array_index (from->changes, mq_change_record, i);

      /* Records are immutable, so their effects are shared.  */
      mq_str_ref (r.id);
      mq_str_ref (r.who);
      mq_str_ref (r.why);
      g_array_ref (r.effects);
      g_array_append_val (to->changes, r);
    }
}

const mq_manifest_file *
mq_manifest_find_file (const mq_manifest *manifest, mq_span name)
{
  bool found;
  guint at = mq_named_array_position (manifest->files,
                                      sizeof (mq_manifest_file), name, &found);

  return found ? &g_array_index (manifest->files, mq_manifest_file, at) : NULL;
}

mq_digest
mq_manifest_digest (const mq_manifest *manifest, mq_span name)
{
  const mq_manifest_file *f = mq_manifest_find_file (manifest, name);

  return f ? f->digest : (mq_digest){ "" };
}

void
mq_manifest_put (mq_manifest *manifest, mq_str *name, mq_digest digest,
                 uint64_t size)
{
  mq_manifest_file f = { mq_str_ref (name), digest, size };
  bool found;
  guint at = mq_named_array_position (
      manifest->files, sizeof (mq_manifest_file), mq_str_span (name), &found);

  if (found)
    g_array_remove_index (manifest->files, at);
  g_array_insert_val (manifest->files, at, f);
}

bool
mq_manifest_remove (mq_manifest *manifest, mq_span name)
{
  bool found;
  guint at = mq_named_array_position (manifest->files,
                                      sizeof (mq_manifest_file), name, &found);

  if (found)
    g_array_remove_index (manifest->files, at);
  return found;
}

const mq_change_record *
mq_manifest_find_change (const mq_manifest *manifest, mq_span id)
{
  for (guint i = manifest->changes->len; i > 0; i--)
    {
      const mq_change_record *r
          = &g_array_index (manifest->changes, mq_change_record, i - 1);

      if (mq_span_equal (mq_str_span (r->id), id))
        return r;
    }
  return NULL;
}

const mq_change_record *
mq_manifest_find_last_change (const mq_manifest *manifest, mq_span name)
{
  for (guint i = manifest->changes->len; i > 0; i--)
    {
      const mq_change_record *r
          = &g_array_index (manifest->changes, mq_change_record, i - 1);

      for (guint k = 0; k < r->effects->len; k++)
        if (mq_span_equal (
                mq_str_span (
                    g_array_index (r->effects, mq_change_effect, k).name),
                name))
          return r;
    }
  return NULL;
}

guint
mq_manifest_archivable (const mq_manifest *manifest)
{
  guint effects = 0;

  for (guint i = 0; i < manifest->changes->len; i++)
    effects
        += g_array_index (manifest->changes, mq_change_record, i).effects->len;
  if (manifest->changes->len >= MQ_MANIFEST_MAX_CHANGES
      || effects >= MQ_MANIFEST_MAX_EFFECTS)
    return (manifest->changes->len + 1) / 2;
  return 0;
}

mq_str *
mq_manifest_archive_value (const mq_manifest *manifest, guint n)
{
  struct json_object *root = json_object_new_object ();

  json_object_object_add (root, "changes",
                          manifest_encode_changes (manifest, n));
  return manifest_finish_text (root);
}

mq_str *
mq_manifest_archive_name (const mq_manifest *manifest, guint n)
{
  const mq_change_record *first
      = &g_array_index (manifest->changes, mq_change_record, 0);
  const mq_change_record *last
      = &g_array_index (manifest->changes, mq_change_record, n - 1);

  return mq_str_printf ("%s%012" PRIu64 "-%012" PRIu64,
                        MQ_MANIFEST_ARCHIVE_PREFIX, first->generation,
                        last->generation);
}

mq_str *
mq_manifest_encode (const mq_manifest *manifest)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *files = json_object_new_array ();

  manifest_add_number (root, "format", FORMAT);
  manifest_add_number (root, "generation", manifest->generation);
  for (guint i = 0; i < manifest->files->len; i++)
    json_object_array_add (files, manifest_encode_file (&g_array_index (
                                      manifest->files, mq_manifest_file, i)));
  json_object_object_add (root, "files", files);
  json_object_object_add (
      root, "changes",
      manifest_encode_changes (manifest, manifest->changes->len));
  return manifest_finish_text (root);
}

int
mq_manifest_decode (mq_span text, mq_manifest *manifest, GError **error)
{
  mq_json_doc *doc = manifest_parse (text, error);
  int result;

  if (doc == NULL)
    return -1;
  mq_manifest_init (manifest);
  manifest_read (doc, manifest);
  result = manifest_check_doc (doc, error);
  if (result < 0)
    mq_manifest_finish (manifest);
  mq_json_doc_free (doc);
  return result;
}

int
mq_manifest_decode_archive (mq_span text, GArray *changes, GError **error)
{
  mq_json_doc *doc = manifest_parse (text, error);
  mq_json root;
  int result;

  if (doc == NULL)
    return -1;
  root = mq_json_root (doc);
  mq_json_require (&root, "changes", NULL);
  manifest_read_changes (&root, changes);
  result = manifest_check_doc (doc, error);
  mq_json_doc_free (doc);
  return result;
}

const char *
mq_change_kind_name (mq_change_kind kind)
{
  return kind_names[kind];
}

mq_str *
mq_manifest_file_object (const mq_digest *digest)
{
  return mq_str_printf ("%s%s", MQ_MANIFEST_FILE_PREFIX, digest->hex);
}
