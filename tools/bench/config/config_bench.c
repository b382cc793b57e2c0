/* What it costs a router to take a generation, by the size of the fleet's
   configuration: mqbench_config [ENGINES...].

   For each number of engines it makes files of a hundred engines each, with a
   quarter as many organisations, and loads them as a router does: the first
   time with the checks that mqctl makes, then as accepted files.  Prints the
   processor time of one load and the most memory that the process had.  */

#include <mq/files.h>

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#define ENGINES_A_FILE 100
#define LAYERS 80
#define STAGES 10
#define LOADS 5

typedef mq_config *(*bench_load) (const GArray *files);

static void
bench_put (GArray *files, const char *format, unsigned number, GString *text)
{
  char *name = g_strdup_printf (format, number);
  mq_str *n = mq_str_new (mq_span_from (name));
  mq_str *t = mq_str_new ((mq_span){ text->str, text->len });

  mq_files_put (files, n, t);
  mq_str_unref (n);
  mq_str_unref (t);
  g_free (name);
  g_string_truncate (text, 0);
}

static void
bench_add_engine (GString *text, unsigned i)
{
  unsigned stage = i / 8 % STAGES;

  g_string_append_printf (
      text,
      "%s\"engine-%u\":{\"url\":\"http://10.%u.%u.%u:9000\",\"model\":\"m%u\","
      "\"version\":\"v1\",\"first\":%u,\"end\":%u,\"accelerator\":\"large\","
      "\"failure_domain\":\"hall-%u\",\"slots\":16,\"step_us\":20000}",
      i % ENGINES_A_FILE ? "," : "", i, i >> 16 & 255, i >> 8 & 255, i & 255,
      i % 8, stage * LAYERS / STAGES, (stage + 1) * LAYERS / STAGES, i % 34);
}

static void
bench_add_organisation (GString *text, unsigned i)
{
  char digest[MQ_DIGEST_SIZE];

  mq_file_digest ((mq_span){ (const char *)&i, sizeof i }, digest);
  g_string_append_printf (text,
                          "%s\"org-%u\":{\"token_sha256\":\"%s\",\"weight\":3,"
                          "\"limits\":{\"concurrent\":50}}",
                          i % ENGINES_A_FILE ? "," : "", i, digest);
}

/* Files for that many engines.  */
static GArray *
bench_files (unsigned engines)
{
  GArray *files = mq_files_new ();
  GString *text = g_string_new ("{\"models\":{");

  for (unsigned i = 0; i < 8; i++)
    g_string_append_printf (text,
                            "%s\"m%u\":{\"version\":\"v1\",\"layers\":%u}",
                            i ? "," : "", i, LAYERS);
  g_string_append (text, "}}");
  bench_put (files, "10-models-%u.json", 0, text);
  for (unsigned i = 0; i < engines; i++)
    {
      if (i % ENGINES_A_FILE == 0)
        g_string_append (text, "{\"engines\":{");
      bench_add_engine (text, i);
      if ((i + 1) % ENGINES_A_FILE != 0 && i + 1 < engines)
        continue;
      g_string_append (text, "}}");
      bench_put (files, "20-engines-%05u.json", i / ENGINES_A_FILE, text);
    }
  for (unsigned i = 0; i < engines / 4; i++)
    {
      if (i % ENGINES_A_FILE == 0)
        g_string_append (text, "{\"organisations\":{");
      bench_add_organisation (text, i);
      if ((i + 1) % ENGINES_A_FILE != 0 && i + 1 < engines / 4)
        continue;
      g_string_append (text, "}}");
      bench_put (files, "30-organisations-%05u.json", i / ENGINES_A_FILE,
                 text);
    }
  g_string_free (text, TRUE);
  return files;
}

static double
bench_cpu_ms (void)
{
  struct rusage u;

  getrusage (RUSAGE_SELF, &u);
  return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e3
         + (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e3;
}

static long
bench_peak_kb (void)
{
  struct rusage u;

  getrusage (RUSAGE_SELF, &u);
  return u.ru_maxrss;
}

static mq_config *
bench_load_checked (const GArray *files)
{
  return mq_files_load (files, 1, NULL, NULL);
}

static mq_config *
bench_load_accepted (const GArray *files)
{
  return mq_files_load_validated (files, 1, NULL);
}

/* Processor time of the fastest of LOADS loads: what else runs on the machine
   only adds.  */
static double
bench_time (const GArray *files, bench_load load)
{
  double best = 0;

  for (int i = 0; i < LOADS; i++)
    {
      double start = bench_cpu_ms ();
      mq_config *config = load (files);
      double took = bench_cpu_ms () - start;

      if (config == NULL)
        {
          fputs ("mqbench_config: the files are wrong\n", stderr);
          exit (1);
        }
      mq_config_unref (config);
      best = i == 0 ? took : MIN (best, took);
    }
  return best;
}

static void
bench_run (unsigned engines)
{
  GArray *files = bench_files (engines);
  size_t bytes = 0;
  double checked;
  double accepted;
  long peak;

  for (guint i = 0; i < files->len; i++)
    bytes += g_array_index (files, mq_file, i).text->size;
  accepted = bench_time (files, bench_load_accepted);
  peak = bench_peak_kb ();
  checked = bench_time (files, bench_load_checked);
  printf ("engines=%u files=%u bytes=%zu accepted_ms=%.1f peak_kb=%ld "
          "checked_ms=%.1f checked_peak_kb=%ld\n",
          engines, files->len, bytes, accepted, peak, checked,
          bench_peak_kb ());
  g_array_unref (files);
}

int
main (int argc, char **argv)
{
  if (sodium_init () < 0)
    return 1;
  if (argc < 2)
    bench_run (43);
  for (int i = 1; i < argc; i++)
    bench_run ((unsigned)strtoul (argv[i], NULL, 10));
  return 0;
}
