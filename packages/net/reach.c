/* Does anything listen at an address?  See mq/reach.h.  */

#include <mq/reach.h>

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MS_PER_S 1000.0

struct mq_reach
{
  struct ev_loop *loop; /* Borrowed.  */
  int fd;
  ev_io io;
  ev_timer timer;
  mq_reach_sink sink;
  void *context;
};

static int
address_read (mq_span text, struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN];
  const char *colon
      = text.size > 0 ? memchr (text.data, ':', text.size) : NULL;
  size_t n = colon != NULL ? (size_t)(colon - text.data) : 0;
  uint64_t port;

  if (n == 0 || n >= sizeof host
      || mq_span_to_u64 ((mq_span){ colon + 1, text.size - n - 1 }, &port) < 0
      || port == 0 || port > UINT16_MAX)
    return -1;
  memcpy (host, text.data, n);
  host[n] = '\0';
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1 ? 0 : -1;
}

static mq_reach_result
result_of (int error)
{
  switch (error)
    {
    case 0:
      return MQ_REACH_OPEN;
    case ECONNREFUSED:
      return MQ_REACH_REFUSED;
    case ECONNRESET: /* Accepted first: it may have too many.  */
      return MQ_REACH_OPEN;
    default:
      return MQ_REACH_SILENT;
    }
}

void
mq_reach_cancel (mq_reach *reach)
{
  ev_io_stop (reach->loop, &reach->io);
  ev_timer_stop (reach->loop, &reach->timer);
  close (reach->fd);
  g_free (reach);
}

static void
reach_end (mq_reach *reach, mq_reach_result result)
{
  mq_reach_sink sink = reach->sink;
  void *context = reach->context;

  mq_reach_cancel (reach);
  sink (context, result);
}

/* The connection of REACH stands or has failed.  */
static void
reach_end_connected (mq_reach *reach)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (reach->fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0)
    error = errno;
  reach_end (reach, result_of (error));
}

static void
on_io (struct ev_loop *loop, ev_io *io, int revents)
{
  (void)loop;
  (void)revents;
  reach_end_connected (io->data);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_reach *r = timer->data;
  struct pollfd at = { .fd = r->fd, .events = POLLOUT };

  (void)loop;
  (void)revents;
  /* The answer may have come while the process was held up.  */
  if (poll (&at, 1, 0) > 0)
    reach_end_connected (r);
  else
    reach_end (r, MQ_REACH_SILENT);
}

static void
on_refused (struct ev_loop *loop, ev_timer *timer, int revents)
{
  (void)loop;
  (void)revents;
  reach_end (timer->data, MQ_REACH_REFUSED);
}

mq_reach *
mq_reach_start (struct ev_loop *loop, mq_span address, uint64_t timeout_ms,
                mq_reach_sink sink, void *context)
{
  struct sockaddr_in to;
  mq_reach *r;
  double wait_s = (double)timeout_ms / MS_PER_S;
  int fd;

  if (address_read (address, &to) < 0)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  r = g_new0 (mq_reach, 1);
  r->loop = loop;
  r->fd = fd;
  r->sink = sink;
  r->context = context;
  ev_io_init (&r->io, on_io, fd, EV_WRITE);
  r->io.data = r;
  ev_timer_init (&r->timer, on_timeout, wait_s, 0.);
  r->timer.data = r;
  /* What fails at once is told by the timer, never from inside here.  */
  if (connect (fd, (const struct sockaddr *)&to, sizeof to) < 0
      && errno != EINPROGRESS)
    {
      bool refused = errno == ECONNREFUSED;

      ev_timer_set (&r->timer, 0., 0.);
      if (refused)
        ev_set_cb (&r->timer, on_refused);
    }
  else
    ev_io_start (loop, &r->io);
  ev_timer_start (loop, &r->timer);
  return r;
}
