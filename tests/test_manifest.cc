/* The manifest: codec, effects, limits.  */

#include <gtest/gtest.h>
#include <string>

#include <mq/manifest.h>

static mq_digest
digest_of (const std::string &text)
{
  mq_digest d;

  mq_file_digest ({ text.data (), text.size () }, d.hex);
  return d;
}

static void
put (mq_manifest *m, const char *name, const char *text)
{
  mq_str *n = mq_str_new (mq_span_from (name));

  mq_manifest_put (m, n, digest_of (text), strlen (text));
  mq_str_unref (n);
}

/* Adds a change of N_EFFECTS effects that made the next generation, with texts
   of the maximal length if LONGEST.  */
static void
add_change (mq_manifest *m, guint n_effects, bool longest = false)
{
  std::string who (longest ? MQ_CHANGE_MAX_WHO_BYTES : 3, 'a');
  std::string pad (longest ? MQ_MAX_FILE_NAME_BYTES - 5 - 4 : 0, 'n');
  std::string why = longest ? std::string (MQ_CHANGE_MAX_WHY_BYTES, '"')
                            : "because \"so\"\n";
  mq_change_record r = {};

  r.generation = ++m->generation;
  r.id = mq_str_printf ("id-%u", (unsigned)r.generation);
  r.who = mq_str_new ({ who.data (), who.size () });
  r.why = mq_str_new ({ why.data (), why.size () });
  r.wall_ms = 1764700000000;
  r.effects = mq_change_effects_new ();
  r.n_effects = n_effects;
  for (guint i = 0; i < n_effects; i++)
    {
      mq_change_effect e = {};

      e.name = mq_str_printf ("%s%04u.json", pad.c_str (), i);
      e.before = longest ? digest_of ("y") : mq_digest{ "" };
      e.after = digest_of ("x");
      g_array_append_val (r.effects, e);
    }
  g_array_append_val (m->changes, r);
}

TEST (Manifest, DecodesItsOwnEncoding)
{
  mq_manifest m, back;
  GError *error = nullptr;

  mq_manifest_init (&m);
  put (&m, "20-b.json", "b");
  put (&m, "10-a.json", "a");
  put (&m, "20-b.json", "bb");
  add_change (&m, 2);
  add_change (&m, 0);
  mq_str *text = mq_manifest_encode (&m);
  ASSERT_EQ (mq_manifest_decode (mq_str_span (text), &back, &error), 0)
      << error->message;
  EXPECT_EQ (back.generation, 2u);
  ASSERT_EQ (back.files->len, 2u);
  EXPECT_STREQ (g_array_index (back.files, mq_manifest_file, 0).name->data,
                "10-a.json");
  EXPECT_STREQ (mq_manifest_digest (&back, MQ_SPAN ("20-b.json")).hex,
                digest_of ("bb").hex);
  EXPECT_EQ (back.changes->len, 2u);
  const mq_change_record *r
      = mq_manifest_find_change (&back, MQ_SPAN ("id-1"));
  ASSERT_NE (r, nullptr);
  EXPECT_STREQ (mq_str_cstr (r->why), "because \"so\"\n");
  EXPECT_EQ (r->effects->len, 2u);
  EXPECT_EQ (mq_manifest_find_last_change (&back, MQ_SPAN ("0001.json")), r);
  mq_str *again = mq_manifest_encode (&back);
  EXPECT_TRUE (mq_span_equal (mq_str_span (text), mq_str_span (again)));
  mq_str_unref (again);
  mq_str_unref (text);
  mq_manifest_finish (&m);
  mq_manifest_finish (&back);
}

TEST (Manifest, RejectsInvalidManifests)
{
  static const char *const texts[] = {
    "",
    "[]",
    "{}",
    "null",
    "{\"format\":2,\"generation\":1,\"files\":[],\"changes\":[]}",
    "{\"format\":1,\"generation\":0,\"files\":[],\"changes\":[]}",
    "{\"format\":1,\"generation\":1,\"files\":[{\"name\":\"../a.json\","
    "\"digest\":\"00\",\"size\":1}],\"changes\":[]}",
    /* The last change did not make the generation.  */
    "{\"format\":1,\"generation\":3,\"files\":[],\"changes\":[{\"id\":\"a\","
    "\"generation\":2,\"kind\":\"drop\"}]}",
    /* Out of order.  */
    "{\"format\":1,\"generation\":2,\"files\":[],\"changes\":[{\"id\":\"a\","
    "\"generation\":2,\"kind\":\"drop\"},{\"id\":\"b\",\"generation\":2,"
    "\"kind\":\"drop\"}]}",
  };

  for (const char *text : texts)
    {
      mq_manifest m;
      GError *error = nullptr;

      EXPECT_EQ (mq_manifest_decode (mq_span_from (text), &m, &error), -1)
          << text;
      EXPECT_TRUE (
          g_error_matches (error, MQ_MANIFEST_ERROR, MQ_MANIFEST_ERROR_FORM));
      g_clear_error (&error);
    }
}

TEST (Manifest, ArchivesTheOlderHalfOfTheChanges)
{
  mq_manifest m;
  GArray *changes = mq_change_records_new ();

  mq_manifest_init (&m);
  for (int i = 0; i < MQ_MANIFEST_MAX_CHANGES - 1; i++)
    add_change (&m, 1);
  EXPECT_EQ (mq_manifest_archivable (&m), 0u);
  add_change (&m, 1);
  guint n = mq_manifest_archivable (&m);
  EXPECT_EQ (n, MQ_MANIFEST_MAX_CHANGES / 2u);
  mq_str *name = mq_manifest_archive_name (&m, n);
  EXPECT_STREQ (mq_str_cstr (name),
                "config/archive/000000000001-000000000032");
  mq_str *value = mq_manifest_archive_value (&m, n);
  ASSERT_EQ (
      mq_manifest_decode_archive (mq_str_span (value), changes, nullptr), 0);
  ASSERT_EQ (changes->len, n);
  EXPECT_EQ (g_array_index (changes, mq_change_record, n - 1).generation, n);
  mq_str_unref (name);
  mq_str_unref (value);
  g_array_unref (changes);
  mq_manifest_finish (&m);
}

/* The largest manifest within the limits is below the platform's limit.  */
TEST (Manifest, LargestManifestFitsAPlatformValue)
{
  mq_manifest m;
  std::string name (MQ_MAX_FILE_NAME_BYTES - 5 - 6, 'n');

  mq_manifest_init (&m);
  for (int i = 0; i < MQ_MANIFEST_MAX_FILES; i++)
    {
      mq_str *n = mq_str_printf ("%s%06d.json", name.c_str (), i);

      mq_manifest_put (&m, n, digest_of ("x"), MQ_JSON_MAX_FILE_BYTES);
      mq_str_unref (n);
    }
  while (mq_manifest_archivable (&m) == 0)
    add_change (&m, MQ_CHANGE_MAX_EFFECTS, true);
  mq_str *text = mq_manifest_encode (&m);
  RecordProperty ("bytes", (int)text->size);
  EXPECT_LT (text->size, (size_t)1024 * 1024);
  mq_str_unref (text);
  mq_manifest_finish (&m);
}

TEST (Manifest, DecodesMutatedTextWithoutCrash)
{
  mq_manifest m;

  mq_manifest_init (&m);
  put (&m, "a.json", "a");
  add_change (&m, 2);
  mq_str *text = mq_manifest_encode (&m);
  GRand *rand = g_rand_new_with_seed (20261202);
  guint decoded = 0;

  for (int i = 0; i < 5000; i++)
    {
      std::string broken (text->data, text->size);
      mq_manifest back;

      for (int k = g_rand_int_range (rand, 1, 4); k > 0; k--)
        broken[(size_t)g_rand_int_range (rand, 0, (gint)broken.size ())]
            = "0a\"{}[],:-"[g_rand_int_range (rand, 0, 10)];
      if (mq_manifest_decode ({ broken.data (), broken.size () }, &back,
                              nullptr)
          == 0)
        {
          decoded++;
          mq_manifest_finish (&back);
        }
    }
  EXPECT_GT (decoded, 50u);
  EXPECT_LT (decoded, 4900u);
  g_rand_free (rand);
  mq_str_unref (text);
  mq_manifest_finish (&m);
}
