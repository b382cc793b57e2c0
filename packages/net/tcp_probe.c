/* TCP connect probe: see mq/tcp_probe.h.  */

#include <mq/tcp_probe.h>

#include <mq/internal/socket_address.h>

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MS_PER_S 1000.0

struct mq_tcp_probe
{
  struct ev_loop *loop; /* Borrowed.  */
  int fd;
  ev_io io;
  ev_timer timer;
  mq_tcp_probe_sink sink;
  void *context;
};

static mq_tcp_probe_result
probe_result_of (int error)
{
  switch (error)
    {
    case 0:
      return MQ_TCP_PROBE_OPEN;
    case ECONNREFUSED:
      return MQ_TCP_PROBE_REFUSED;
    case ECONNRESET: /* A process listened, but closed at once.  */
      return MQ_TCP_PROBE_OPEN;
    default:
      return MQ_TCP_PROBE_NO_REPLY;
    }
}

void
mq_tcp_probe_cancel (mq_tcp_probe *probe)
{
  ev_io_stop (probe->loop, &probe->io);
  ev_timer_stop (probe->loop, &probe->timer);
  close (probe->fd);
  g_free (probe);
}

static void
probe_report (mq_tcp_probe *probe, mq_tcp_probe_result result)
{
  mq_tcp_probe_sink sink = probe->sink;
  void *context = probe->context;

  mq_tcp_probe_cancel (probe);
  sink (context, result);
}

/* The connection attempt of PROBE has succeeded or failed.  */
static void
probe_report_connect_result (mq_tcp_probe *probe)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0)
    error = errno;
  probe_report (probe, probe_result_of (error));
}

static void
probe_on_io (struct ev_loop *loop, ev_io *io, int revents)
{
  (void)loop;
  (void)revents;
  probe_report_connect_result (io->data);
}

static void
probe_on_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_tcp_probe *r = timer->data;
  struct pollfd at = { .fd = r->fd, .events = POLLOUT };

  (void)loop;
  (void)revents;
  /* The result may have arrived while the process was stalled.  */
  if (poll (&at, 1, 0) > 0)
    probe_report_connect_result (r);
  else
    probe_report (r, MQ_TCP_PROBE_NO_REPLY);
}

static void
probe_on_refused (struct ev_loop *loop, ev_timer *timer, int revents)
{
  (void)loop;
  (void)revents;
  probe_report (timer->data, MQ_TCP_PROBE_REFUSED);
}

mq_tcp_probe *
mq_tcp_probe_start (struct ev_loop *loop, mq_span address, uint64_t timeout_ms,
                    mq_tcp_probe_sink sink, void *context)
{
  struct sockaddr_in to;
  mq_tcp_probe *r;
  double wait_s = (double)timeout_ms / MS_PER_S;
  int fd;

  if (mq_socket_address_parse (address, &to) < 0)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  r = g_new0 (mq_tcp_probe, 1);
  r->loop = loop;
  r->fd = fd;
  r->sink = sink;
  r->context = context;
  ev_io_init (&r->io, probe_on_io, fd, EV_WRITE);
  r->io.data = r;
  ev_timer_init (&r->timer, probe_on_timeout, wait_s, 0.);
  r->timer.data = r;
  /* An immediate failure is reported by the timer, not from this function.  */
  if (connect (fd, (const struct sockaddr *)&to, sizeof to) < 0
      && errno != EINPROGRESS)
    {
      bool refused = errno == ECONNREFUSED;

      ev_timer_set (&r->timer, 0., 0.);
      if (refused)
        ev_set_cb (&r->timer, probe_on_refused);
    }
  else
    ev_io_start (loop, &r->io);
  ev_timer_start (loop, &r->timer);
  return r;
}
