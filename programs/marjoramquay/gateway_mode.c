/* Gateway mode of the program: see gateway_mode.h.  */

#include <ev.h>
#include <mq/gateway.h>
#include <mq/log.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "../../platform/platform.h"
#include "gateway_mode.h"

#define EXIT_USAGE 2

typedef struct signal_watchers
{
  ev_signal term;
  ev_signal interrupt;
  ev_signal hangup;
} signal_watchers;

static void
on_term (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  (void)loop;
  (void)revents;
  mq_gateway_drain (watcher->data);
}

/* A second interrupt, from a terminal, does not wait for the requests that are
   left.  */
static void
on_interrupt (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  (void)loop;
  (void)revents;
  if (mq_gateway_is_draining (watcher->data))
    mq_gateway_drain_abort (watcher->data);
  else
    mq_gateway_drain (watcher->data);
}

/* Only logs the signal.  The settings are fixed for the lifetime of the
   process; what may change is read from the store.  */
static void
on_hangup (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  (void)loop;
  (void)watcher;
  (void)revents;
  mq_log (G_LOG_LEVEL_INFO, "router.reload", "changed=0");
}

static void
signals_start (signal_watchers *signals, struct ev_loop *loop,
               mq_gateway *gateway)
{
  signals->term.data = gateway;
  signals->interrupt.data = gateway;
  ev_signal_init (&signals->term, on_term, SIGTERM);
  ev_signal_init (&signals->interrupt, on_interrupt, SIGINT);
  ev_signal_init (&signals->hangup, on_hangup, SIGHUP);
  ev_signal_start (loop, &signals->term);
  ev_signal_start (loop, &signals->interrupt);
  ev_signal_start (loop, &signals->hangup);
}

static int
gateway_run (const mq_gateway_settings *settings)
{
  struct ev_loop *loop = ev_default_loop (0);
  signal_watchers signals = { 0 };
  GError *error = NULL;
  mq_gateway *g;

  (void)mq_log_init (mq_str_cstr (settings->log_level));
  mq_log_use_stdout ();
  g = mq_gateway_new (loop, &mq_users_platform, settings, &error);
  if (g == NULL)
    {
      mq_log (G_LOG_LEVEL_CRITICAL, "router.start-failed", "error=%s",
              mq_log_quote (error->message));
      g_error_free (error);
      return EXIT_FAILURE;
    }
  signals_start (&signals, loop, g);
  ev_run (loop, 0);
  mq_log (G_LOG_LEVEL_INFO, "router.stop", "vm=%s",
          mq_str_cstr (settings->name));
  mq_gateway_free (g);
  ev_loop_destroy (loop);
  return EXIT_SUCCESS;
}

const char *
mq_gateway_mode_settings_path (void)
{
  return mq_users_platform.settings_path ();
}

int
mq_gateway_mode_run (const char *path, int check)
{
  mq_gateway_settings settings;
  GError *error = NULL;
  int status = EXIT_SUCCESS;

  if (mq_gateway_settings_load (&settings, path, &error) < 0)
    {
      (void)fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return EXIT_USAGE;
    }
  if (check)
    (void)printf ("%s: valid settings for VM %s\n", path,
                  mq_str_cstr (settings.name));
  else
    status = gateway_run (&settings);
  mq_gateway_settings_finish (&settings);
  return status;
}
