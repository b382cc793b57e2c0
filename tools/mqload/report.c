/* The HTML page over some results: see report.h.  */

#include "report.h"

#include "plot.h"
#include "result.h"

#include <string.h>

static const char page_head[]
    = "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
      "<title>marjoramquay bench</title><style>"
      "body{font:15px/1.45 sans-serif;max-width:60rem;margin:2rem auto;"
      "padding:0 1rem;color:#222}"
      "svg{width:100%;font:11px sans-serif;fill:#444}"
      "svg polyline{fill:none}"
      "figure{margin:1.5rem 0}figcaption{font-weight:600}"
      "table{border-collapse:collapse;width:100%;font-size:13px}"
      "td,th{border-bottom:1px solid #ddd;padding:.25rem .5rem;"
      "text-align:right}td:first-child,th:first-child{text-align:left}"
      ".bad{color:#c44536;font-weight:700}"
      "</style></head><body><h1>marjoramquay bench</h1>\n"
      "<p>Work is counted in tokens. The bound is what an ideal server with "
      "the same engines could have finished in time for the same arrivals "
      "(docs/MEASURES.md).</p>\n";

static const struct
{
  const char *name;
  const char *path;
} columns[] = { { "load", "load" },
                { "offered", "requests.offered" },
                { "in time", "requests.in_time" },
                { "refused", "requests.not-run" },
                { "unknown", "requests.unknown" },
                { "late", "requests.late" },
                { "goodput / bound", "work.ratio" },
                { "accepted, not in time", "accepted_not_in_time" },
                { "first token p95, ms", "latency_ms.first.p95" },
                { "gap p95, ms", "latency_ms.gap.p95" } };

static size_t
broken_count (json_object *r)
{
  json_object *list = load_result_at (r, "broken");

  return list == NULL ? 0 : json_object_array_length (list);
}

static void
write_row (json_object *r, GString *html)
{
  size_t broken = broken_count (r);

  g_string_append (html, "<tr><td>");
  load_html_text (html, load_result_string (r, "scenario"));
  g_string_append (html, ", ");
  load_html_text (html, load_result_string (r, "routing"));
  g_string_append (html, "</td>");
  for (size_t i = 0; i < G_N_ELEMENTS (columns); i++)
    g_string_append_printf (html, "<td>%.4g</td>",
                            load_result_number (r, columns[i].path, 0));
  g_string_append_printf (html, "<td%s>%zu</td></tr>\n",
                          broken > 0 ? " class='bad'" : "", broken);
}

static void
write_table (const GPtrArray *results, GString *html)
{
  g_string_append (html, "<table><tr><th>run</th>");
  for (size_t i = 0; i < G_N_ELEMENTS (columns); i++)
    g_string_append_printf (html, "<th>%s</th>", columns[i].name);
  g_string_append (html, "<th>promises broken</th></tr>\n");
  for (guint i = 0; i < results->len; i++)
    write_row (g_ptr_array_index (results, i), html);
  g_string_append (html, "</table>\n");
}

/* A plot of the figure at PATH by load, a line for each scenario and
   routing.  */
static void
write_by_load (const GPtrArray *results, const char *title, const char *y_name,
               const char *path, GString *html)
{
  load_plot plot;

  load_plot_init (&plot, title, "load, of capacity", y_name);
  for (guint i = 0; i < results->len; i++)
    {
      json_object *r = g_ptr_array_index (results, i);
      char *name
          = g_strdup_printf ("%s %s", load_result_string (r, "scenario"),
                             load_result_string (r, "routing"));

      load_plot_add (&plot, name, load_result_number (r, "load", 0),
                     load_result_number (r, path, 0));
      g_free (name);
    }
  load_plot_write (&plot, html);
  load_plot_finish (&plot);
}

/* Add the series at PATH, a value each tick, summed up over seconds.  */
static void
add_series (load_plot *plot, json_object *r, const char *path,
            const char *name)
{
  json_object *list = load_result_at (r, path);
  double tick = load_result_number (r, "timeline.tick_s", 0.1);
  size_t n = list == NULL ? 0 : json_object_array_length (list);
  size_t window = (size_t)(0.5 / tick);

  for (size_t i = 0; i + window <= n; i += window)
    {
      double sum = 0;

      for (size_t k = 0; k < window; k++)
        sum += json_object_get_double (
            json_object_array_get_idx (list, i + k));
      load_plot_add (plot, name, (double)i * tick,
                     sum / ((double)window * tick));
    }
}

static void
add_fault_marks (load_plot *plot, json_object *faults)
{
  for (size_t i = 0; i < json_object_array_length (faults); i++)
    {
      double at = load_result_number (json_object_array_get_idx (faults, i),
                                      "at_s", 0);

      g_array_append_val (plot->marks, at);
    }
}

static void
write_fault_list (json_object *faults, GString *html)
{
  g_string_append (html, "<table><tr><th>fault</th><th>at, s</th><th>before, "
                         "tokens/s</th><th>lowest</th><th>survivors can "
                         "carry</th><th>recovered after, s</th></tr>\n");
  for (size_t i = 0; i < json_object_array_length (faults); i++)
    {
      json_object *f = json_object_array_get_idx (faults, i);

      g_string_append (html, "<tr><td>");
      load_html_text (html, load_result_string (f, "target"));
      g_string_append (html, ": ");
      load_html_text (html, load_result_string (f, "what"));
      g_string_append_printf (
          html, "</td><td>%.1f</td><td>%.0f</td><td>%.0f</td><td>%.0f</td>",
          load_result_number (f, "at_s", 0),
          load_result_number (f, "before", 0),
          load_result_number (f, "lowest", 0),
          load_result_number (f, "survivors", 0));
      if (load_result_at (f, "recovery_s") == NULL)
        g_string_append (html, "<td class='bad'>not in this run</td></tr>\n");
      else
        g_string_append_printf (html, "<td>%.1f</td></tr>\n",
                                load_result_number (f, "recovery_s", 0));
    }
  g_string_append (html, "</table>\n");
}

/* The course of a run that met faults.  */
static void
write_timeline (json_object *r, GString *html)
{
  json_object *faults = load_result_at (r, "faults");
  char *title;
  load_plot plot;

  if (faults == NULL || json_object_array_length (faults) == 0)
    return;
  title = g_strdup_printf ("%s, %s, load %g: tokens while things fail",
                           load_result_string (r, "scenario"),
                           load_result_string (r, "routing"),
                           load_result_number (r, "load", 0));
  load_plot_init (&plot, title, "seconds", "tokens a second");
  add_series (&plot, r, "timeline.tokens", "streamed");
  add_series (&plot, r, "timeline.bound", "bound");
  add_fault_marks (&plot, faults);
  load_plot_write (&plot, html);
  load_plot_finish (&plot);
  write_fault_list (faults, html);
  g_free (title);
}

/* What the routers and the platform spend, by the number of routers.  */
static void
write_control (const GPtrArray *results, GString *html)
{
  load_plot plot;

  load_plot_init (&plot, "Platform calls while idle", "routers",
                  "calls a second");
  for (guint i = 0; i < results->len; i++)
    {
      json_object *r = g_ptr_array_index (results, i);
      json_object *calls = load_result_at (r, "platform.calls");
      double sum = 0;

      if (calls == NULL || load_result_number (r, "requests.offered", 0) > 0)
        continue;
      json_object_object_foreach (calls, key, value)
      {
        (void)key;
        sum += json_object_get_double (value);
      }
      load_plot_add (&plot, "all calls", load_result_number (r, "routers", 0),
                     sum / load_result_number (r, "duration_s", 1));
    }
  load_plot_write (&plot, html);
  load_plot_finish (&plot);
}

int
load_report_write (const char *path, const GPtrArray *results, GError **error)
{
  GString *html = g_string_new (page_head);
  gboolean ok;

  write_table (results, html);
  write_by_load (results, "Goodput over the bound", "part of the bound",
                 "work.ratio", html);
  write_by_load (results, "Accepted and not done in time", "part of accepted",
                 "accepted_not_in_time", html);
  write_by_load (results, "First token, 95th percentile", "ms",
                 "latency_ms.first.p95", html);
  write_by_load (results, "Whole answer, 95th percentile", "ms",
                 "latency_ms.whole.p95", html);
  for (guint i = 0; i < results->len; i++)
    write_timeline (g_ptr_array_index (results, i), html);
  write_control (results, html);
  g_string_append (html, "</body></html>\n");
  ok = g_file_set_contents (path, html->str, (gssize)html->len, error);
  g_string_free (html, TRUE);
  return ok ? 0 : -1;
}
