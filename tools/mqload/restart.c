/* Restarts of a run: see restart.h.  */

#include "restart.h"

#include "cluster_files.h"

#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#define SIGNALLED 128

/* Start the process again where it was: callers and peers know its ports.  */
static int
restart_start (load_restart *r, GError **error)
{
  const load_process *platform = g_ptr_array_index (r->cluster->processes, 0);
  char *settings = load_write_settings (r->cluster, r->process->name,
                                        r->process->failure_domain, r->process,
                                        platform->address, error);

  if (settings == NULL)
    return -1;
  g_free (settings);
  return load_cluster_start_again (r->cluster, r->process, error);
}

static void
restart_ended (struct ev_loop *loop, ev_child *child, int events)
{
  load_restart *r = child->data;
  int status = child->rstatus;
  GError *error = NULL;

  (void)events;
  ev_child_stop (loop, child);
  r->exit_status = WIFSIGNALED (status) ? SIGNALLED + WTERMSIG (status)
                                        : WEXITSTATUS (status);
  r->drain_s = (double)(g_get_monotonic_time () - r->told_us) / 1e6;
  r->process->pid = 0;
  fprintf (stderr, "restart target=%s exit_status=%d drain=%.2fs\n",
           r->process->name, r->exit_status, r->drain_s);
  if (restart_start (r, &error) == 0)
    return;
  fprintf (stderr, "restart target=%s error=%s\n", r->process->name,
           error->message);
  g_error_free (error);
}

void
load_restart_begin (load_cluster *cluster, load_process *p)
{
  load_restart *r;

  if (p->pid == 0)
    return;
  r = g_new0 (load_restart, 1);
  r->cluster = cluster;
  r->process = p;
  r->exit_status = LOAD_RESTART_OPEN;
  r->told_us = g_get_monotonic_time ();
  ev_child_init (&r->child, restart_ended, p->pid, 0);
  r->child.data = r;
  ev_child_start (cluster->loop, &r->child);
  g_ptr_array_add (cluster->restarts, r);
  kill (p->pid, SIGTERM);
}

void
load_restart_free (gpointer restart)
{
  load_restart *r = restart;

  ev_child_stop (r->cluster->loop, &r->child);
  g_free (r);
}

bool
load_restarts_failed (const load_cluster *cluster)
{
  for (guint i = 0; i < cluster->restarts->len; i++)
    {
      const load_restart *r = g_ptr_array_index (cluster->restarts, i);

      if (r->exit_status != 0)
        return true;
    }
  return false;
}
