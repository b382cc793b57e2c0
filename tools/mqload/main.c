/* mqload: open-loop load against a deployment of stand-ins and routers.

   mqload run SCENARIO --out FILE   start the processes, run, write the result
   mqload up SCENARIO               start the processes and keep them
   mqload compare A B               two results side by side
   mqload report OUT RESULT...      one HTML page over some results

   Exit status: 0; 1 when a run could not be done or a promise was broken; 2
   for a fault in the command line or a file.  */

#include "compare.h"
#include "report.h"
#include "restart.h"
#include "result.h"

#include <glib/gstdio.h>
#include <locale.h>
#include <mq/log.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2

typedef struct command_line
{
  char *out;
  char *binaries;
  char *folder;
  char *routing;
  double load;
  int seed;
  int routers;
  double duration_s;
  gboolean no_faults;
} command_line;

static int
report_error (GError *error)
{
  fprintf (stderr, "mqload: %s\n", error->message);
  g_error_free (error);
  return EXIT_USAGE;
}

static int
command_line_parse (command_line *line, int *argc, char ***argv)
{
  const GOptionEntry entries[]
      = { { "out", 'o', 0, G_OPTION_ARG_FILENAME, &line->out,
            "Where the result goes", "FILE" },
          { "bin", 0, 0, G_OPTION_ARG_FILENAME, &line->binaries,
            "Where marjoramquay, mqctl and mqstand are (beside mqload)",
            "DIR" },
          { "dir", 0, 0, G_OPTION_ARG_FILENAME, &line->folder,
            "Keep settings, configuration and logs here", "DIR" },
          { "routing", 0, 0, G_OPTION_ARG_STRING, &line->routing,
            "deadline or round-robin, in place of the scenario's", "NAME" },
          { "load", 0, 0, G_OPTION_ARG_DOUBLE, &line->load,
            "Multiply the load by X", "X" },
          { "seed", 0, 0, G_OPTION_ARG_INT, &line->seed,
            "In place of the scenario's", "N" },
          { "routers", 0, 0, G_OPTION_ARG_INT, &line->routers,
            "In place of the scenario's", "N" },
          { "duration", 0, 0, G_OPTION_ARG_DOUBLE, &line->duration_s,
            "In place of the scenario's", "S" },
          { "no-faults", 0, 0, G_OPTION_ARG_NONE, &line->no_faults,
            "Leave out the scenario's faults", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  GOptionContext *context = g_option_context_new (
      "run|up SCENARIO | compare A B | report OUT RESULT...");
  GError *error = NULL;
  int status = 0;

  line->load = 1;
  line->seed = -1;
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, argc, argv, &error))
    status = report_error (error);
  g_option_context_free (context);
  return status;
}

static void
command_line_finish (command_line *line)
{
  g_free (line->out);
  g_free (line->binaries);
  g_free (line->folder);
  g_free (line->routing);
}

/* The scenario at PATH with what the command line replaces.  */
static load_scenario *
read_scenario (const command_line *line, const char *path, GError **error)
{
  load_scenario *s = load_scenario_read (path, error);

  if (s == NULL)
    return NULL;
  s->factor = line->load;
  if (line->seed >= 0)
    s->seed = (uint64_t)line->seed;
  if (line->routers > 0)
    s->routers = (uint32_t)line->routers;
  if (line->duration_s > 0)
    s->duration_us = (uint64_t)(line->duration_s * 1e6);
  if (line->no_faults)
    g_array_set_size (s->faults, 0);
  if (line->routing != NULL)
    {
      mq_str_unref (s->routing);
      s->routing = mq_str_new (mq_span_from (line->routing));
    }
  return s;
}

static int
write_result (const command_line *line, json_object *result, GError **error)
{
  const char *text
      = json_object_to_json_string_ext (result, JSON_C_TO_STRING_SPACED);

  if (line->out == NULL)
    return 0;
  return g_file_set_contents (line->out, text, -1, error) ? 0 : -1;
}

static void
signal_stop (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static int
run_load (const command_line *line, load_cluster *cluster, GError **error)
{
  GArray *items = load_schedule_new (cluster->scenario);
  json_object *result;
  load_run run;
  int status;

  load_run_init (&run, cluster, items);
  load_run_go (&run);
  result = load_result_new (&run);
  load_summary (result);
  status = write_result (line, result, error);
  if (status == 0
      && (run.records.breaches->len > 0 || load_restarts_failed (cluster)))
    status = 1;
  json_object_put (result);
  load_run_finish (&run);
  g_array_unref (items);
  return status;
}

/* Keep the processes until a signal comes.  */
static int
keep_up (const load_cluster *cluster)
{
  for (guint i = 0; i < cluster->processes->len; i++)
    {
      const load_process *p = g_ptr_array_index (cluster->processes, i);

      printf ("%s pid=%d address=%s\n", p->name, p->pid, p->address);
    }
  fflush (stdout);
  ev_run (cluster->loop, 0);
  return 0;
}

/* Start the cluster of SCENARIO and load it, or only keep it when UP.  */
static int
with_cluster (const command_line *line, const load_scenario *scenario, bool up)
{
  struct ev_loop *loop = ev_default_loop (0);
  mq_http_client *client = mq_http_client_new (loop, (mq_span){ NULL, 0 });
  load_cluster_options options
      = { .folder = line->folder, .binaries = line->binaries };
  load_cluster cluster;
  ev_signal signals[2];
  GError *error = NULL;
  int status = -1;

  ev_signal_init (&signals[0], signal_stop, SIGTERM);
  ev_signal_init (&signals[1], signal_stop, SIGINT);
  for (size_t i = 0; i < G_N_ELEMENTS (signals); i++)
    ev_signal_start (loop, &signals[i]);
  if (load_cluster_init (&cluster, scenario, loop, client, &options, &error)
      == 0)
    status = up ? keep_up (&cluster) : run_load (line, &cluster, &error);
  mq_http_client_free (client);
  load_cluster_finish (&cluster);
  if (status < 0)
    {
      report_error (error);
      status = 1;
    }
  return status;
}

static int
command_run (command_line *line, const char *program, const char *path,
             bool up)
{
  GError *error = NULL;
  load_scenario *s = read_scenario (line, path, &error);
  int status;

  if (s == NULL)
    return report_error (error);
  if (line->binaries == NULL)
    line->binaries = g_path_get_dirname (program);
  if (line->folder == NULL)
    line->folder = g_dir_make_tmp ("mqload-XXXXXX", &error);
  else
    g_mkdir_with_parents (line->folder, 0755);
  if (line->folder == NULL)
    status = report_error (error);
  else
    {
      fprintf (stderr, "files in %s\n", line->folder);
      status = with_cluster (line, s, up);
    }
  load_scenario_free (s);
  return status;
}

static int
command_compare (const char *first, const char *second)
{
  GError *error = NULL;
  json_object *a = load_result_read (first, &error);
  json_object *b = a == NULL ? NULL : load_result_read (second, &error);

  if (a != NULL && b != NULL)
    load_compare (a, b);
  json_object_put (a);
  json_object_put (b);
  return error == NULL ? 0 : report_error (error);
}

static void
result_free (gpointer data)
{
  json_object_put (data);
}

static int
command_report (const char *out, char **paths, int n)
{
  GPtrArray *results = g_ptr_array_new_with_free_func (result_free);
  GError *error = NULL;

  for (int i = 0; i < n && error == NULL; i++)
    {
      json_object *r = load_result_read (paths[i], &error);

      if (r != NULL)
        g_ptr_array_add (results, r);
    }
  if (error == NULL)
    load_report_write (out, results, &error);
  g_ptr_array_unref (results);
  return error == NULL ? 0 : report_error (error);
}

static int
dispatch (command_line *line, int argc, char **argv)
{
  const char *verb = argc > 1 ? argv[1] : "";

  if (strcmp (verb, "run") == 0 && argc == 3)
    return command_run (line, argv[0], argv[2], false);
  if (strcmp (verb, "up") == 0 && argc == 3)
    return command_run (line, argv[0], argv[2], true);
  if (strcmp (verb, "compare") == 0 && argc == 4)
    return command_compare (argv[2], argv[3]);
  if (strcmp (verb, "report") == 0 && argc >= 4)
    return command_report (argv[2], argv + 3, argc - 3);
  fprintf (stderr, "usage: mqload run|up SCENARIO | compare A B | report OUT "
                   "RESULT...; see --help\n");
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  command_line line = { 0 };
  int status;

  (void)setlocale (LC_ALL, "C.UTF-8");
  (void)signal (SIGPIPE, SIG_IGN);
  mq_log_init ("warning");
  status = command_line_parse (&line, &argc, &argv);
  if (status == 0)
    status = dispatch (&line, argc, argv);
  command_line_finish (&line);
  return status;
}
