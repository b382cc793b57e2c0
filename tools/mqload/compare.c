/* Results side by side: see compare.h.  */

#include "compare.h"

#include "result.h"

#include <stdio.h>

static const struct
{
  const char *name;
  const char *path;
} figures[] = {
  { "requests offered", "requests.offered" },
  { "done in time", "requests.in_time" },
  { "done late", "requests.late" },
  { "refused (not-run)", "requests.not-run" },
  { "failed", "requests.failed" },
  { "unknown", "requests.unknown" },
  { "cut", "requests.cut" },
  { "unreachable", "requests.unreachable" },
  { "wrong", "requests.wrong" },
  { "open at the end", "requests.open" },
  { "work offered, tokens", "work.offered" },
  { "bound, tokens", "work.bound" },
  { "done in time, tokens", "work.in_time" },
  { "goodput over the bound", "work.ratio" },
  { "accepted, not in time", "accepted_not_in_time" },
  { "first token p50, ms", "latency_ms.first.p50" },
  { "first token p99, ms", "latency_ms.first.p99" },
  { "whole answer p50, ms", "latency_ms.whole.p50" },
  { "whole answer p99, ms", "latency_ms.whole.p99" },
  { "token gap p95, ms", "latency_ms.gap.p95" },
  { "plain call p50, ms", "latency_ms.plain.p50" },
  { "plain call p99, ms", "latency_ms.plain.p99" },
  { "refusal p99, ms", "latency_ms.refusal.p99" },
  { "routers' CPU, s", "processes.router.cpu_s" },
  { "largest router, MB", "processes.router.max_rss_mb" },
};

static void
print_title (const char *which, json_object *r)
{
  printf ("%s: %s routing=%s load=%g seed=%.0f broken promises=%zu\n", which,
          load_result_string (r, "scenario"),
          load_result_string (r, "routing"), load_result_number (r, "load", 0),
          load_result_number (r, "seed", 0),
          load_result_at (r, "broken") == NULL
              ? 0
              : json_object_array_length (load_result_at (r, "broken")));
}

void
load_compare (json_object *a, json_object *b)
{
  print_title ("A", a);
  print_title ("B", b);
  printf ("%-26s %14s %14s %9s\n", "", "A", "B", "B/A");
  for (size_t i = 0; i < G_N_ELEMENTS (figures); i++)
    {
      double x = load_result_number (a, figures[i].path, 0);
      double y = load_result_number (b, figures[i].path, 0);

      printf ("%-26s %14.3f %14.3f", figures[i].name, x, y);
      if (x != 0)
        printf (" %9.3f", y / x);
      printf ("\n");
    }
}

static void
print_faults (json_object *result)
{
  json_object *list = load_result_at (result, "faults");

  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *f = json_object_array_get_idx (list, i);

      printf ("fault at %gs on %s (%s): before %.0f tokens/s, lowest %.0f, "
              "survivors %.0f, recovered after ",
              load_result_number (f, "at_s", 0),
              load_result_string (f, "target"), load_result_string (f, "what"),
              load_result_number (f, "before", 0),
              load_result_number (f, "lowest", 0),
              load_result_number (f, "survivors", 0));
      if (load_result_at (f, "recovery_s") == NULL)
        printf ("- (not in this run)\n");
      else
        printf ("%.1f s\n", load_result_number (f, "recovery_s", 0));
    }
}

void
load_summary (json_object *result)
{
  json_object *reasons = load_result_at (result, "reasons");

  print_title ("run", result);
  for (size_t i = 0; i < G_N_ELEMENTS (figures); i++)
    printf ("%-26s %14.3f\n", figures[i].name,
            load_result_number (result, figures[i].path, 0));
  if (reasons != NULL)
    {
      json_object_object_foreach (reasons, key, value)
          printf ("  ended %-30s %8lld\n", key,
                  (long long)json_object_get_int64 (value));
    }
  print_faults (result);
}
