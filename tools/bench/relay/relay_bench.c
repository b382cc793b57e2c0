/* What a relayed token costs the HTTP and engine adapters.

   Three processes on loopback: an upstream that streams one line of JSON a
   token at a fixed total rate, a relay that turns each line into a
   server-sent event as the router does, and callers that read the events.
   Only the relay's processor time is counted.  Each token carries the time at
   which the upstream wrote it, from which the callers tell its delay.

   For each number of open streams it prints what was relayed, the relay's
   processor time a token, tokens a core second, the delay, and the most
   memory it held.  "waits" is the share of the time in which the relay stood
   ready without a processor: with much of it the delays tell more about the
   machine than about the relay.  */

#include "roles.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

static bench_options options = { .rate = 12400, .seconds = 4 };

static const GOptionEntry entries[]
    = { { "rate", 'r', 0, G_OPTION_ARG_INT, &options.rate,
          "Tokens a second over all streams", "N" },
        { "seconds", 's', 0, G_OPTION_ARG_INT, &options.seconds,
          "Length of each measurement", "N" },
        { "pause", 'p', 0, G_OPTION_ARG_INT, &options.pause_s,
          "Print the relay's process id and wait before measuring", "N" },
        { "direct", 'd', 0, G_OPTION_ARG_NONE, &options.direct,
          "Leave the relay out, to see the delay without it", NULL },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

/* Start a process that runs a role.  Returns 0 in it, with FD to tell its
   port to; else its id, with the port.  */
static pid_t
start_role (int *fd, uint16_t *port)
{
  int fds[2];
  pid_t pid;

  if (pipe (fds) < 0 || (pid = fork ()) < 0)
    g_error ("%s", g_strerror (errno));
  *fd = fds[1];
  if (pid == 0)
    {
      close (fds[0]);
      return 0;
    }
  close (fds[1]);
  if (read (fds[0], port, sizeof *port) != sizeof *port)
    g_error ("a role did not start");
  close (fds[0]);
  return pid;
}

static pid_t
start_upstream (uint16_t *port)
{
  int fd;
  pid_t pid = start_role (&fd, port);

  if (pid > 0)
    return pid;
  upstream_role (fd, &options);
  _exit (EXIT_FAILURE);
}

static pid_t
start_relay (uint16_t upstream_port, uint16_t *port)
{
  int fd;
  pid_t pid = start_role (&fd, port);

  if (pid > 0)
    return pid;
  relay_role (fd, upstream_port);
  _exit (EXIT_FAILURE);
}

static void
run_callers (uint16_t port, int streams)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      callers_role (port, streams, &options);
      _exit (EXIT_SUCCESS);
    }
  waitpid (pid, NULL, 0);
}

static void
stop_role (pid_t pid)
{
  kill (pid, SIGTERM);
  waitpid (pid, NULL, 0);
}

static void
run_round (int streams)
{
  uint16_t upstream_port;
  uint16_t relay_port;
  pid_t upstream = start_upstream (&upstream_port);
  pid_t relay = start_relay (upstream_port, &relay_port);

  if (options.pause_s > 0)
    fprintf (stderr, "relay is process %d\n", (int)relay);
  run_callers (options.direct ? upstream_port : relay_port, streams);
  stop_role (relay);
  stop_role (upstream);
}

static void
raise_open_files (void)
{
  struct rlimit l;

  getrlimit (RLIMIT_NOFILE, &l);
  l.rlim_cur = l.rlim_max;
  setrlimit (RLIMIT_NOFILE, &l);
}

int
main (int argc, char **argv)
{
  static char *usual[] = { NULL, "10", "100", "500", "2000", NULL };
  GOptionContext *c = g_option_context_new ("[STREAMS...]");
  GError *error = NULL;
  char **streams = argv;

  g_option_context_add_main_entries (c, entries, NULL);
  if (!g_option_context_parse (c, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return EXIT_FAILURE;
    }
  g_option_context_free (c);
  if (argc == 1)
    streams = usual;
  raise_open_files ();
  callers_print_titles ();
  for (char **s = streams + 1; *s != NULL; s++)
    run_round (atoi (*s));
  return EXIT_SUCCESS;
}
