/* marjoramquay: the router of one VM.

   Exit status: 0 after a drain; 1 when requests were aborted by a second
   signal or the program could not start; 2 for an error in the command line or
   the settings.  */

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <locale.h>
#include <malloc.h>
#include <mq/gateway_settings.h>
#include <mq/log.h>
#include <mq/settings.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "drain.h"
#include "fleet_node.h"
#include "router.h"
#include "gateway_mode.h"

#define EXIT_USAGE 2

/* Buffers from this size on are mapped, and returned to the system when they
   are freed, whatever is allocated after them.  glibc would raise the size by
   itself.  */
#define MAPPED_BUFFER_BYTES (256 * 1024)
/* Unused memory at the end of the heap that is kept.  */
#define MAX_UNUSED_HEAP_BYTES (1024 * 1024)
#define SETTINGS_VARIABLE "MQ_SETTINGS"

typedef struct command_line
{
  char *settings;
  mq_settings_overrides overrides;
  char *address;
  char *log_level;
  char *platform;
  gboolean check;
  gboolean version;
} command_line;

typedef struct signal_watchers
{
  ev_signal term;
  ev_signal interrupt;
  ev_signal hangup;
} signal_watchers;

static int
command_line_parse (command_line *line, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &line->settings,
      "Settings file (or the environment's " SETTINGS_VARIABLE ")", "FILE" },
    { "check", 0, 0, G_OPTION_ARG_NONE, &line->check,
      "Check the settings and exit", NULL },
    { "address", 0, 0, G_OPTION_ARG_STRING, &line->address,
      "IP address to listen on for clients", "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &line->overrides.port,
      "Port to listen on for clients; 0 lets the system choose", "PORT" },
    { "log-level", 0, 0, G_OPTION_ARG_STRING, &line->log_level,
      "error, warning, info or debug", "LEVEL" },
    { "platform", 0, 0, G_OPTION_ARG_STRING, &line->platform,
      "URL of the platform", "URL" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &line->version,
      "Print the version and exit", NULL },
    G_OPTION_ENTRY_NULL
  };
  GOptionContext *context
      = g_option_context_new ("- route requests to model engines and plain "
                              "services");
  GError *error = NULL;
  int result = 0;

  line->overrides.port = -1;
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      (void)fprintf (stderr, "marjoramquay: %s\n", error->message);
      g_error_free (error);
      result = -1;
    }
  line->overrides.address = line->address;
  line->overrides.log_level = line->log_level;
  line->overrides.platform_url = line->platform;
  if (line->settings == NULL)
    line->settings = g_strdup (g_getenv (SETTINGS_VARIABLE));
  if (line->settings == NULL)
    line->settings = g_strdup (mq_gateway_mode_settings_path ());
  g_option_context_free (context);
  return result;
}

static void
command_line_finish (command_line *line)
{
  g_free (line->settings);
  g_free (line->address);
  g_free (line->log_level);
  g_free (line->platform);
}

static void
on_term (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  mq_router *router = watcher->data;

  (void)loop;
  (void)revents;
  if (router->mode == MQ_ROUTER_SERVING)
    mq_drain_begin (router, "signal");
  else
    mq_drain_abort (router);
}

static void
on_hangup (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  mq_router *router = watcher->data;
  GError *error = NULL;

  (void)loop;
  (void)revents;
  mq_fleet_node_reload_keys (router->fleet);
  if (router->settings->tls_certificate == NULL)
    return;
  if (mq_http_server_reload_tls (router->server, &error) < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "tls.reload-failed", "error=%s",
              mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  mq_log (G_LOG_LEVEL_INFO, "tls.reloaded", "file=%s",
          mq_log_quote (mq_str_cstr (router->settings->tls_certificate)));
}

static void
signals_start (signal_watchers *signals, mq_router *router)
{
  signals->term.data = router;
  signals->interrupt.data = router;
  signals->hangup.data = router;
  ev_signal_init (&signals->term, on_term, SIGTERM);
  ev_signal_init (&signals->interrupt, on_term, SIGINT);
  ev_signal_init (&signals->hangup, on_hangup, SIGHUP);
  ev_signal_start (router->loop, &signals->term);
  ev_signal_start (router->loop, &signals->interrupt);
  ev_signal_start (router->loop, &signals->hangup);
}

static int
router_run (const mq_settings *settings)
{
  struct ev_loop *loop = ev_default_loop (0);
  signal_watchers signals = { 0 };
  GError *error = NULL;
  mq_router *router;
  int status;

  (void)mq_log_init (mq_str_cstr (settings->log_level));
  router = mq_router_new (loop, settings, &error);
  if (router == NULL)
    {
      mq_log (G_LOG_LEVEL_CRITICAL, "router.start-failed", "error=%s",
              mq_log_quote (error->message));
      g_error_free (error);
      return EXIT_FAILURE;
    }
  signals_start (&signals, router);
  ev_run (loop, 0);
  status = router->exit_status;
  mq_router_free (router);
  ev_loop_destroy (loop);
  return status;
}

static int
settings_run (const command_line *line)
{
  mq_settings settings;
  GError *error = NULL;
  int status = EXIT_SUCCESS;

  if (line->settings == NULL)
    {
      (void)fprintf (stderr, "marjoramquay: expected --settings FILE or the "
                             "environment's " SETTINGS_VARIABLE "\n");
      return EXIT_USAGE;
    }
  if (mq_gateway_settings_is_present (line->settings))
    return mq_gateway_mode_run (line->settings, line->check);
  if (mq_settings_load (&settings, line->settings, &line->overrides, &error)
      < 0)
    {
      (void)fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return EXIT_USAGE;
    }
  if (line->check)
    (void)printf ("%s: valid settings for VM %s\n", line->settings,
                  mq_str_cstr (settings.name));
  else
    status = router_run (&settings);
  mq_settings_finish (&settings);
  return status;
}

int
main (int argc, char **argv)
{
  command_line line = { 0 };
  int status = EXIT_USAGE;

  (void)setlocale (LC_ALL, "C.UTF-8");
  (void)signal (SIGPIPE, SIG_IGN);
  (void)mallopt (M_MMAP_THRESHOLD, MAPPED_BUFFER_BYTES);
  (void)mallopt (M_TRIM_THRESHOLD, MAX_UNUSED_HEAP_BYTES);
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  if (command_line_parse (&line, &argc, &argv) < 0)
    goto out;
  if (line.version)
    {
      (void)puts ("marjoramquay " MQ_VERSION);
      status = EXIT_SUCCESS;
    }
  else
    status = settings_run (&line);
out:
  command_line_finish (&line);
  return status;
}
