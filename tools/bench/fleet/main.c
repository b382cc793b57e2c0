/* mqbench_fleet: what the fleet's own traffic costs a router at rest.

   Starts N processes on loopback, each one router's part in the fleet with
   real connections, waits until all see one another, and measures for some
   seconds in each: messages and bytes a second (as TCP itself counts them in
   both directions, with 52 bytes of IP and TCP headers a segment), processor
   time and private memory.  Prints one line of JSON for each N, and the
   slopes.  Each process ends when its parent does.

     mqbench_fleet [SECONDS [N ...]]        default: 20 7 20 60  */

#include <dirent.h>
#include <ev.h>
#include <glib.h>
#include <mq/fleet_io.h>
#include <mq/log.h>
#include <netinet/in.h>
#include <linux/tcp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define SEGMENT_HEADER 52
#define MOST_ROUTERS 120
#define SETTLE_LIMIT_S 60.
#define REGION "region-1"

/* What one router used up to some moment.  */
typedef struct usage
{
  double wall_s;
  double cpu_s;
  uint64_t sent;
  uint64_t received;
  uint64_t tcp_bytes; /* Both directions, with headers.  */
  uint64_t segments;
} usage;

/* What a child reports.  */
typedef struct report
{
  uint32_t live; /* Members that it saw in the end.  */
  double wall_s;
  double cpu_s;
  double sent;
  double received;
  double bytes;
  double private_mb;
  double settle_s;
} report;

typedef struct child
{
  pid_t pid;
  int in; /* To the child.  */
  int out;
} child;

typedef struct router
{
  struct ev_loop *loop;
  mq_fleet_io *io;
  uint32_t wanted;
  double start;
} router;

/* ---- In the child.  */

static void
on_event (void *context, const mq_fleet_io_event *event)
{
  (void)context;
  (void)event;
}

static void
tcp_add (int fd, usage *u)
{
  struct tcp_info info;
  socklen_t size = sizeof info;

  memset (&info, 0, sizeof info);
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0)
    return;
  u->tcp_bytes += info.tcpi_bytes_acked + info.tcpi_bytes_received;
  u->segments += info.tcpi_segs_out + info.tcpi_segs_in;
}

/* Over all TCP sockets of this process.  */
static void
tcp_sum (usage *u)
{
  DIR *dir = opendir ("/proc/self/fd");
  struct dirent *e;

  if (dir == NULL)
    return;
  while ((e = readdir (dir)) != NULL)
    tcp_add (atoi (e->d_name), u);
  closedir (dir);
  u->tcp_bytes += u->segments * SEGMENT_HEADER;
}

static double
cpu_s (void)
{
  struct rusage r;

  getrusage (RUSAGE_SELF, &r);
  return (double)(r.ru_utime.tv_sec + r.ru_stime.tv_sec)
         + (double)(r.ru_utime.tv_usec + r.ru_stime.tv_usec) / 1e6;
}

static usage
usage_now (const router *r)
{
  const mq_peers_counters *c
      = mq_peers_get_counters (mq_fleet_io_peers (r->io));
  usage u = { 0 };

  u.cpu_s = cpu_s ();
  u.wall_s = (double)g_get_monotonic_time () / 1e6;
  u.sent = c->sent;
  u.received = c->received;
  tcp_sum (&u);
  return u;
}

static double
private_mb (void)
{
  static const char key[] = "Private_Dirty:";
  char *text = NULL;
  const char *at;
  double kb = 0;

  if (!g_file_get_contents ("/proc/self/smaps_rollup", &text, NULL, NULL))
    return 0;
  at = strstr (text, key);
  if (at != NULL)
    kb = g_ascii_strtod (at + strlen (key), NULL);
  g_free (text);
  return kb / 1024;
}

static void
on_poll (struct ev_loop *loop, ev_timer *timer, int revents)
{
  router *r = timer->data;

  (void)revents;
  if (mq_fleet_live_count (mq_fleet_io_fleet (r->io)) >= r->wanted
      || ev_now (loop) - r->start > SETTLE_LIMIT_S)
    ev_break (loop, EVBREAK_ONE);
}

static void
on_stop (struct ev_loop *loop, ev_timer *timer, int revents)
{
  (void)timer;
  (void)revents;
  ev_break (loop, EVBREAK_ONE);
}

static void
run_for (struct ev_loop *loop, double s)
{
  ev_timer stop;

  ev_timer_init (&stop, on_stop, s, 0.);
  ev_now_update (loop);
  ev_timer_start (loop, &stop);
  ev_run (loop, 0);
}

static void
wait_for_all (router *r)
{
  ev_timer poll;

  ev_timer_init (&poll, on_poll, 0.05, 0.05);
  poll.data = r;
  r->start = ev_now (r->loop);
  ev_timer_start (r->loop, &poll);
  ev_run (r->loop, 0);
  ev_timer_stop (r->loop, &poll);
}

static void
give_list (router *r, const uint16_t *ports, uint32_t n)
{
  mq_listed_vm *vms = g_new0 (mq_listed_vm, n);
  char (*names)[16] = g_malloc (n * sizeof *names);
  char (*addresses)[32] = g_malloc (n * sizeof *addresses);

  for (uint32_t i = 0; i < n; i++)
    {
      (void)snprintf (names[i], sizeof names[i], "vm-%03u", i);
      (void)snprintf (addresses[i], sizeof addresses[i], "127.0.0.1:%u",
                      ports[i]);
      vms[i].vm = mq_span_from (names[i]);
      vms[i].peer_address = mq_span_from (addresses[i]);
    }
  mq_fleet_io_set_list (r->io, vms, n);
  g_free (vms);
  g_free (names);
  g_free (addresses);
}

static void
read_all (int fd, void *to, size_t size)
{
  char *at = to;

  while (size > 0)
    {
      ssize_t n = read (fd, at, size);

      if (n <= 0)
        _exit (EXIT_FAILURE);
      at += n;
      size -= (size_t)n;
    }
}

static void
write_all (int fd, const void *from, size_t size)
{
  if (write (fd, from, size) != (ssize_t)size)
    _exit (EXIT_FAILURE);
}

static mq_fleet_io *
io_open (struct ev_loop *loop, uint32_t index, const mq_peer_keys *keys)
{
  mq_fleet_io_options o = { .bind_address = MQ_SPAN ("127.0.0.1"),
                            .advertised = MQ_SPAN ("127.0.0.1"),
                            .keys = keys };
  char name[16];
  char entry[48];
  GError *error = NULL;
  mq_fleet_io *io;

  (void)snprintf (name, sizeof name, "vm-%03u", index);
  (void)snprintf (entry, sizeof entry, "http://10.20.30.%u:8080", index);
  o.fleet.vm = mq_span_from (name);
  o.fleet.entry_address = mq_span_from (entry);
  o.fleet.failure_domain = MQ_SPAN ("kamloops-yard");
  o.fleet.region = MQ_SPAN (REGION);
  o.fleet.incarnation = mq_fleet_incarnation (
      (uint64_t)g_get_real_time () / 1000, randombytes_random ());
  io = mq_fleet_io_new (loop, &o, on_event, NULL, &error);
  if (io == NULL)
    (void)fprintf (stderr, "%s\n", error->message);
  return io;
}

static void
child_run (uint32_t index, uint32_t n, double seconds,
           const mq_peer_keys *keys, int in, int out)
{
  router r = { .wanted = n };
  uint16_t ports[MOST_ROUTERS] = { 0 };
  uint16_t port;
  usage before;
  usage after;
  report rep = { 0 };

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  r.loop = ev_loop_new (0);
  r.io = io_open (r.loop, index, keys);
  if (r.io == NULL)
    _exit (EXIT_FAILURE);
  mq_fleet_io_set_self (r.io, 0, 1);
  port = mq_peers_port (mq_fleet_io_peers (r.io));
  write_all (out, &port, sizeof port);
  read_all (in, ports, sizeof ports[0] * n);
  give_list (&r, ports, n);
  wait_for_all (&r);
  rep.settle_s = ev_now (r.loop) - r.start;
  run_for (r.loop, 15); /* Until introductions and news are over.  */
  before = usage_now (&r);
  run_for (r.loop, seconds);
  after = usage_now (&r);
  rep.live = mq_fleet_live_count (mq_fleet_io_fleet (r.io));
  rep.wall_s = after.wall_s - before.wall_s;
  rep.cpu_s = after.cpu_s - before.cpu_s;
  rep.sent = (double)(after.sent - before.sent);
  rep.received = (double)(after.received - before.received);
  rep.bytes = (double)(after.tcp_bytes - before.tcp_bytes);
  rep.private_mb = private_mb ();
  write_all (out, &rep, sizeof rep);
  pause ();
  _exit (EXIT_SUCCESS);
}

/* ---- In the parent.  */

static int
child_start (child *c, uint32_t index, uint32_t n, double seconds,
             const mq_peer_keys *keys)
{
  int in[2];
  int out[2];

  if (pipe (in) < 0 || pipe (out) < 0)
    return -1;
  c->pid = fork ();
  if (c->pid < 0)
    return -1;
  if (c->pid == 0)
    child_run (index, n, seconds, keys, in[0], out[1]);
  close (in[0]);
  close (out[1]);
  c->in = in[1];
  c->out = out[0];
  return 0;
}

static int
report_compare (const void *a, const void *b)
{
  double x = ((const report *)a)->bytes;
  double y = ((const report *)b)->bytes;

  return (x > y) - (x < y);
}

/* The mean over all routers, and the highest bytes.  */
static report
reports_print (report *reports, uint32_t n)
{
  report mean = { .live = n };

  qsort (reports, n, sizeof *reports, report_compare);
  for (uint32_t i = 0; i < n; i++)
    {
      const report *r = &reports[i];

      mean.live = MIN (mean.live, r->live);
      mean.cpu_s += r->cpu_s / r->wall_s / n;
      mean.sent += r->sent / r->wall_s / n;
      mean.received += r->received / r->wall_s / n;
      mean.bytes += r->bytes / r->wall_s / n;
      mean.private_mb += r->private_mb / n;
      mean.settle_s = MAX (mean.settle_s, r->settle_s);
    }
  (void)printf ("{\"members\":%u,\"live_least\":%u,\"settle_s\":%.2f,"
                "\"sent_per_s\":%.2f,\"received_per_s\":%.2f,"
                "\"bytes_per_s\":%.0f,\"bytes_per_s_most\":%.0f,"
                "\"bytes_a_message\":%.1f,\"cpu_percent\":%.3f,"
                "\"private_mb\":%.2f}\n",
                n, mean.live, mean.settle_s, mean.sent, mean.received,
                mean.bytes, reports[n - 1].bytes / reports[n - 1].wall_s,
                mean.bytes / (mean.sent + mean.received), mean.cpu_s * 100,
                mean.private_mb);
  (void)fflush (stdout);
  return mean;
}

static int
measure (uint32_t n, double seconds, report *mean)
{
  child children[MOST_ROUTERS] = { 0 };
  report reports[MOST_ROUTERS] = { 0 };
  uint16_t ports[MOST_ROUTERS] = { 0 };
  mq_peer_keys keys;

  mq_peer_keys_generate (&keys);
  for (uint32_t i = 0; i < n; i++)
    if (child_start (&children[i], i, n, seconds, &keys) < 0)
      return -1;
  for (uint32_t i = 0; i < n; i++)
    read_all (children[i].out, &ports[i], sizeof ports[i]);
  for (uint32_t i = 0; i < n; i++)
    write_all (children[i].in, ports, sizeof ports[0] * n);
  for (uint32_t i = 0; i < n; i++)
    read_all (children[i].out, &reports[i], sizeof reports[i]);
  *mean = reports_print (reports, n);
  for (uint32_t i = 0; i < n; i++)
    {
      kill (children[i].pid, SIGKILL);
      waitpid (children[i].pid, NULL, 0);
      close (children[i].in);
      close (children[i].out);
    }
  return 0;
}

static void
slope_print (const char *what, double per_member, const char *unit)
{
  (void)printf ("slope: %s %.4f %s a member\n", what, per_member, unit);
}

int
main (int argc, char **argv)
{
  static char *const usual[] = { "7", "20", "60" };
  double seconds = argc > 1 ? g_ascii_strtod (argv[1], NULL) : 20;
  char *const *sizes = argc > 2 ? argv + 2 : usual;
  int n_sizes = argc > 2 ? argc - 2 : 3;
  report first = { 0 };
  report last = { 0 };
  uint32_t n_first = 0;
  uint32_t n = 0;

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  (void)mq_log_init ("warning");
  for (int i = 0; i < n_sizes; i++)
    {
      n = (uint32_t)CLAMP (atoi (sizes[i]), 1, MOST_ROUTERS);
      if (measure (n, seconds, &last) < 0)
        return EXIT_FAILURE;
      if (i == 0)
        {
          first = last;
          n_first = n;
        }
    }
  if (n == n_first)
    return EXIT_SUCCESS;
  slope_print ("bytes", (last.bytes - first.bytes) / (n - n_first), "B/s");
  slope_print ("cpu", (last.cpu_s - first.cpu_s) * 100 / (n - n_first), "%");
  slope_print ("memory", (last.private_mb - first.private_mb) / (n - n_first),
               "MB");
  return EXIT_SUCCESS;
}
