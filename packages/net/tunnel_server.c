/* Server of TCP tunnels to upstreams: see mq/tunnel_server.h.

   A tunnel has two ends, the router that opened it and the upstream.  What was
   read at one end is written to the other at once; what that does not take is
   kept, and no more is read until it is written.

   Invariant: SO_LINGER with a time of zero is set at the router's end until
   the upstream has closed its own in order, so that closing it in any other
   case resets it.  */

#include <mq/tunnel_server.h>

#include <mq/internal/http_header.h>
#include <mq/internal/socket_address.h>
#include <mq/log.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 256
#define MAX_REQUEST_BYTES ((size_t)2048)
#define READ_BYTES ((size_t)16 * 1024)
/* For the CONNECT request to arrive, and for a router to close its end after
   the upstream closed the other.  */
#define REQUEST_TIMEOUT_S 1.0
#define CLOSE_TIMEOUT_S 2.0
#define LINE_END "\r\n"
#define STATUS_OK 200
/* Connections beyond the limit of tunnels that are read, to be refused.  */
#define MAX_REFUSALS 16
#define ACCEPT_PAUSE_S 0.1

G_DEFINE_QUARK (mq - tunnel - server - error, mq_tunnel_server_error)

typedef enum tunnel_state
{
  TUNNEL_READING,    /* The CONNECT request.  */
  TUNNEL_CONNECTING, /* To the upstream.  */
  TUNNEL_OPEN,
  TUNNEL_CLOSING /* The upstream closed its end.  */
} tunnel_state;

typedef struct tunnel tunnel;

/* One end of a tunnel.  */
typedef struct tunnel_end
{
  tunnel *tunnel; /* Borrowed.  */
  int fd;         /* -1: none yet.  */
  ev_io reads;
  ev_io writes;
  GString *unsent;  /* Read from the other end and not written yet.  */
  uint64_t read_us; /* Last bytes from it; 0: none.  */
} tunnel_end;

struct tunnel
{
  mq_tunnel_server *server; /* Borrowed.  */
  GList link;
  tunnel_state state;
  tunnel_end router;
  tunnel_end upstream;
  GString *request; /* What was read of the CONNECT request.  */
  mq_str *address;  /* Of the upstream; NULL before TUNNEL_CONNECTING.  */
  ev_timer timer;   /* Time limit of the state.  */
};

struct mq_tunnel_server
{
  struct ev_loop *loop; /* Borrowed.  */
  mq_tunnel_server_options options;
  int fd;
  ev_io accepts;
  ev_timer accept_pause;
  GQueue tunnels; /* tunnel, owned.  */
  uint64_t total;
};

/* ---- Ends.  */

static void
end_init (tunnel_end *end, tunnel *owner)
{
  end->tunnel = owner;
  end->fd = -1;
  end->unsent = g_string_new (NULL);
}

static void
end_close (tunnel_end *end)
{
  struct ev_loop *loop = end->tunnel->server->loop;

  if (end->fd >= 0)
    {
      ev_io_stop (loop, &end->reads);
      ev_io_stop (loop, &end->writes);
      close (end->fd);
    }
  end->fd = -1;
}

static void
socket_set_no_delay (int fd)
{
  int on = 1;

  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/* Set whether closing FD resets the connection.  */
static void
socket_set_reset (int fd, bool resets)
{
  struct linger l = { .l_onoff = resets, .l_linger = 0 };

  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

static tunnel_end *
end_other (tunnel_end *end)
{
  tunnel *t = end->tunnel;

  return end == &t->router ? &t->upstream : &t->router;
}

static void
tunnel_free (tunnel *t)
{
  ev_timer_stop (t->server->loop, &t->timer);
  g_queue_unlink (&t->server->tunnels, &t->link);
  end_close (&t->router);
  end_close (&t->upstream);
  g_string_free (t->router.unsent, TRUE);
  g_string_free (t->upstream.unsent, TRUE);
  g_string_free (t->request, TRUE);
  mq_str_unref (t->address);
  g_free (t);
}

static void
tunnel_set_timer (tunnel *t, double seconds)
{
  ev_timer_stop (t->server->loop, &t->timer);
  if (seconds <= 0)
    return;
  ev_timer_set (&t->timer, seconds, 0.);
  ev_timer_start (t->server->loop, &t->timer);
}

/* ---- Copying.  */

static bool
errno_is_transient (void)
{
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/* Write what END has unsent.  Returns -1 if its connection is broken.  */
static int
end_flush (tunnel_end *end)
{
  struct ev_loop *loop = end->tunnel->server->loop;

  while (end->unsent->len > 0)
    {
      ssize_t n
          = send (end->fd, end->unsent->str, end->unsent->len, MSG_NOSIGNAL);

      if (n < 0 && !errno_is_transient ())
        return -1;
      if (n <= 0)
        {
          ev_io_start (loop, &end->writes);
          return 0;
        }
      g_string_erase (end->unsent, 0, n);
    }
  ev_io_stop (loop, &end->writes);
  return 0;
}

/* The upstream closed its end, and all that it sent is written: close the
   router's end in order.  What the router still sends is read and dropped,
   since unread bytes would reset the connection.  */
static void
tunnel_finish (tunnel *t)
{
  end_close (&t->upstream);
  socket_set_reset (t->router.fd, false);
  shutdown (t->router.fd, SHUT_WR);
  ev_io_start (t->server->loop, &t->router.reads);
  tunnel_set_timer (t, CLOSE_TIMEOUT_S);
}

static void
upstream_closed (tunnel *t)
{
  t->state = TUNNEL_CLOSING;
  ev_io_stop (t->server->loop, &t->upstream.reads);
  if (t->router.unsent->len == 0)
    tunnel_finish (t);
}

/* Read from END into the other end.  May free the tunnel.  */
static void
end_copy (tunnel_end *end)
{
  static char buffer[READ_BYTES];
  tunnel *t = end->tunnel;
  tunnel_end *other = end_other (end);
  ssize_t n = recv (end->fd, buffer, sizeof buffer, 0);

  if (n < 0 && errno_is_transient ())
    return;
  if (n == 0 && end == &t->upstream)
    {
      upstream_closed (t);
      return;
    }
  if (n <= 0)
    {
      tunnel_free (t);
      return;
    }
  if (t->state == TUNNEL_CLOSING)
    return;
  end->read_us = (uint64_t)g_get_monotonic_time ();
  g_string_append_len (other->unsent, buffer, n);
  if (end_flush (other) < 0)
    tunnel_free (t);
  else if (other->unsent->len > 0)
    ev_io_stop (t->server->loop, &end->reads);
}

/* Write to END, and read from the other again when all is written.  May free
   the tunnel.  */
static void
end_continue (tunnel_end *end)
{
  tunnel *t = end->tunnel;

  if (end_flush (end) < 0)
    {
      tunnel_free (t);
      return;
    }
  if (end->unsent->len > 0)
    return;
  if (t->state == TUNNEL_CLOSING)
    {
      if (end == &t->router && t->upstream.fd >= 0)
        tunnel_finish (t);
      return;
    }
  if (end_other (end)->fd >= 0)
    ev_io_start (t->server->loop, &end_other (end)->reads);
}

/* ---- Opening.  */

/* Queue the reply STATUS to the CONNECT request.  */
static void
tunnel_reply (tunnel *t, unsigned status)
{
  g_string_append_printf (
      t->router.unsent, "HTTP/1.1 %u %s\r\n%s\r\n", status,
      status == STATUS_OK ? "OK" : "Error",
      status == STATUS_OK ? "" : "Content-Length: 0\r\nConnection: close\r\n");
}

/* Reply with STATUS and close the tunnel.  May free T.  */
static void
tunnel_refuse (tunnel *t, unsigned status)
{
  tunnel_reply (t, status);
  t->state = TUNNEL_CLOSING;
  end_close (&t->upstream);
  if (end_flush (&t->router) < 0)
    tunnel_free (t);
  else
    tunnel_finish (t);
}

static void
tunnel_connected (tunnel *t)
{
  struct ev_loop *loop = t->server->loop;

  t->state = TUNNEL_OPEN;
  t->server->total++;
  tunnel_set_timer (t, 0);
  tunnel_reply (t, STATUS_OK);
  if (end_flush (&t->router) < 0 || end_flush (&t->upstream) < 0)
    {
      tunnel_free (t);
      return;
    }
  ev_io_start (loop, &t->upstream.reads);
  if (t->upstream.unsent->len == 0)
    ev_io_start (loop, &t->router.reads);
}

/* The upstream can't be connected to: reply with STATUS.  May free T.  */
static void
tunnel_fail_connect (tunnel *t, unsigned status)
{
  const mq_tunnel_server_options *o = &t->server->options;

  o->on_failure (o->context, mq_str_span (t->address));
  tunnel_refuse (t, status);
}

/* The connection attempt to the upstream has ended.  May free T.  */
static void
tunnel_note_connect (tunnel *t)
{
  int error = 0;
  socklen_t size = sizeof error;

  ev_io_stop (t->server->loop, &t->upstream.writes);
  if (getsockopt (t->upstream.fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0)
    error = errno;
  if (error != 0)
    tunnel_fail_connect (t, MQ_TUNNEL_UNREACHABLE);
  else
    tunnel_connected (t);
}

static void
on_upstream_readable (struct ev_loop *loop, ev_io *io, int revents)
{
  (void)loop;
  (void)revents;
  end_copy (io->data);
}

static void
on_upstream_writable (struct ev_loop *loop, ev_io *io, int revents)
{
  tunnel_end *end = io->data;

  (void)loop;
  (void)revents;
  if (end->tunnel->state == TUNNEL_CONNECTING)
    tunnel_note_connect (end->tunnel);
  else
    end_continue (end);
}

/* Start to connect to the upstream at ADDRESS.  May free T.  */
static void
tunnel_connect (tunnel *t, const struct sockaddr_in *address)
{
  tunnel_end *u = &t->upstream;

  u->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (u->fd < 0)
    {
      tunnel_refuse (t, MQ_TUNNEL_UNAVAILABLE);
      return;
    }
  socket_set_no_delay (u->fd);
  ev_io_init (&u->reads, on_upstream_readable, u->fd, EV_READ);
  ev_io_init (&u->writes, on_upstream_writable, u->fd, EV_WRITE);
  u->reads.data = u->writes.data = u;
  t->state = TUNNEL_CONNECTING;
  tunnel_set_timer (t, (double)t->server->options.connect_ms / 1000);
  if (connect (u->fd, (const struct sockaddr *)address, sizeof *address) < 0
      && errno != EINPROGRESS)
    tunnel_fail_connect (t, MQ_TUNNEL_UNREACHABLE);
  else
    ev_io_start (t->server->loop, &u->writes);
}

/* Returns true if LINE is a header that a CONNECT request may have: it has no
   body, so that a header that states its end contradicts the method.  */
static bool
request_header_is_valid (mq_span line)
{
  const char *colon
      = line.size > 0 ? memchr (line.data, ':', line.size) : NULL;
  mq_http_header h;

  if (colon == NULL)
    return false;
  h.name = (mq_span){ line.data, (size_t)(colon - line.data) };
  h.value = (mq_span){ colon + 1, line.size - h.name.size - 1 };
  return mq_http_header_is_valid (&h)
         && !mq_http_header_is (&h, "Content-Length")
         && !mq_http_header_is (&h, "Transfer-Encoding");
}

/* Returns the address in LINE, "CONNECT ADDRESS HTTP/1.1", or an empty span if
   it is no such line.  */
static mq_span
request_line_address (mq_span line)
{
  const mq_span before = MQ_SPAN ("CONNECT ");
  const mq_span after = MQ_SPAN (" HTTP/1.1");
  mq_span address;

  if (line.size <= before.size + after.size
      || memcmp (line.data, before.data, before.size) != 0
      || memcmp (line.data + line.size - after.size, after.data, after.size)
             != 0)
    return (mq_span){ NULL, 0 };
  address.data = line.data + before.size;
  address.size = line.size - before.size - after.size;
  return address;
}

/* Removes a line from the front of TEXT, which ends in an empty one, and
   returns it without its end.  */
static mq_span
request_take_line (mq_span *text)
{
  const char *end = g_strstr_len (text->data, (gssize)text->size, LINE_END);
  mq_span line = { text->data, (size_t)(end - text->data) };

  text->data += line.size + strlen (LINE_END);
  text->size -= line.size + strlen (LINE_END);
  return line;
}

/* Returns the address that the CONNECT request with the head TEXT names, or an
   empty span if it is malformed.  */
static mq_span
request_address (mq_span text)
{
  mq_span address = request_line_address (request_take_line (&text));
  mq_span line;

  while (line = request_take_line (&text), line.size > 0)
    if (!request_header_is_valid (line))
      return (mq_span){ NULL, 0 };
  return address;
}

/* The request of T is complete; its head is SIZE bytes long.  May free T.  */
static void
tunnel_open (tunnel *t, size_t size)
{
  const mq_tunnel_server_options *o = &t->server->options;
  mq_span address = request_address ((mq_span){ t->request->str, size });
  struct sockaddr_in to;
  unsigned status;

  ev_io_stop (t->server->loop, &t->router.reads);
  if (mq_socket_address_parse (address, &to) < 0)
    {
      tunnel_refuse (t, MQ_TUNNEL_MALFORMED);
      return;
    }
  status = t->server->tunnels.length > o->tunnels
               ? MQ_TUNNEL_UNAVAILABLE
               : o->check (o->context, address);
  if (status != 0)
    {
      tunnel_refuse (t, status);
      return;
    }
  g_string_append_len (t->upstream.unsent, t->request->str + size,
                       (gssize)(t->request->len - size));
  t->address = mq_str_new (address);
  tunnel_connect (t, &to);
}

/* Read the CONNECT request.  May free T.  */
static void
tunnel_read_request (tunnel *t)
{
  char buffer[MAX_REQUEST_BYTES];
  ssize_t n = recv (t->router.fd, buffer, sizeof buffer, 0);
  const char *end;

  if (n < 0 && errno_is_transient ())
    return;
  if (n <= 0)
    {
      tunnel_free (t);
      return;
    }
  g_string_append_len (t->request, buffer, n);
  end = g_strstr_len (t->request->str, (gssize)t->request->len,
                      LINE_END LINE_END);
  if (end != NULL)
    tunnel_open (t,
                 (size_t)(end - t->request->str) + strlen (LINE_END LINE_END));
  else if (t->request->len > MAX_REQUEST_BYTES)
    tunnel_refuse (t, MQ_TUNNEL_MALFORMED);
}

static void
on_router_readable (struct ev_loop *loop, ev_io *io, int revents)
{
  tunnel_end *end = io->data;

  (void)loop;
  (void)revents;
  if (end->tunnel->state == TUNNEL_READING)
    tunnel_read_request (end->tunnel);
  else
    end_copy (end);
}

static void
on_router_writable (struct ev_loop *loop, ev_io *io, int revents)
{
  (void)loop;
  (void)revents;
  end_continue (io->data);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  tunnel *t = timer->data;

  (void)loop;
  (void)revents;
  if (t->state == TUNNEL_CONNECTING)
    tunnel_fail_connect (t, MQ_TUNNEL_NO_REPLY);
  else
    tunnel_free (t);
}

static void
tunnel_start (mq_tunnel_server *server, int fd)
{
  tunnel *t = g_new0 (tunnel, 1);
  tunnel_end *r = &t->router;

  t->server = server;
  t->link.data = t;
  t->request = g_string_new (NULL);
  end_init (&t->router, t);
  end_init (&t->upstream, t);
  r->fd = fd;
  socket_set_no_delay (fd);
  socket_set_reset (fd, true);
  ev_io_init (&r->reads, on_router_readable, fd, EV_READ);
  ev_io_init (&r->writes, on_router_writable, fd, EV_WRITE);
  r->reads.data = r->writes.data = r;
  ev_timer_init (&t->timer, on_timeout, REQUEST_TIMEOUT_S, 0.);
  t->timer.data = t;
  g_queue_push_tail_link (&server->tunnels, &t->link);
  ev_io_start (server->loop, &r->reads);
  ev_timer_start (server->loop, &t->timer);
}

/* A connection waits, but can't be accepted for lack of descriptors or memory:
   the listener would be reported as readable without end.  */
static void
server_pause_accepting (mq_tunnel_server *server)
{
  mq_log (G_LOG_LEVEL_WARNING, "tunnel.accept-failed", "errno=%d tunnels=%u",
          errno, server->tunnels.length);
  ev_io_stop (server->loop, &server->accepts);
  ev_timer_set (&server->accept_pause, ACCEPT_PAUSE_S, 0.);
  ev_timer_start (server->loop, &server->accept_pause);
}

static void
on_accept_pause_over (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_tunnel_server *s = timer->data;

  (void)revents;
  ev_io_start (loop, &s->accepts);
}

static void
on_accept (struct ev_loop *loop, ev_io *io, int revents)
{
  mq_tunnel_server *s = io->data;
  int fd = accept4 (s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)loop;
  (void)revents;
  if (fd >= 0 && s->tunnels.length >= s->options.tunnels + MAX_REFUSALS)
    close (fd);
  else if (fd >= 0)
    tunnel_start (s, fd);
  else if (!errno_is_transient () && errno != ECONNABORTED)
    server_pause_accepting (s);
}

/* ---- The server.  */

/* Returns a listening socket at ADDRESS, or -1 with errno set.  */
static int
server_listen (const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (const struct sockaddr *)address, sizeof *address) == 0
      && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

mq_tunnel_server *
mq_tunnel_server_new (struct ev_loop *loop,
                      const mq_tunnel_server_options *options, GError **error)
{
  char *host = g_strndup (options->address.data, options->address.size);
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  mq_tunnel_server *s = NULL;
  int fd = -1;

  if (inet_pton (AF_INET, host, &at.sin_addr) == 1)
    fd = server_listen (&at);
  else
    errno = EINVAL;
  if (fd < 0)
    {
      g_set_error (error, MQ_TUNNEL_SERVER_ERROR,
                   MQ_TUNNEL_SERVER_ERROR_ADDRESS,
                   "can't listen for tunnels on %s:%u: %s", host,
                   options->port, g_strerror (errno));
      goto done;
    }
  s = g_new0 (mq_tunnel_server, 1);
  s->loop = loop;
  s->options = *options;
  s->fd = fd;
  g_queue_init (&s->tunnels);
  ev_io_init (&s->accepts, on_accept, fd, EV_READ);
  s->accepts.data = s;
  ev_timer_init (&s->accept_pause, on_accept_pause_over, 0., 0.);
  s->accept_pause.data = s;
  ev_io_start (loop, &s->accepts);
done:
  g_free (host);
  return s;
}

void
mq_tunnel_server_free (mq_tunnel_server *server)
{
  tunnel *t;

  if (server == NULL)
    return;
  while ((t = g_queue_peek_head (&server->tunnels)) != NULL)
    tunnel_free (t);
  ev_io_stop (server->loop, &server->accepts);
  ev_timer_stop (server->loop, &server->accept_pause);
  close (server->fd);
  g_free (server);
}

uint16_t
mq_tunnel_server_port (const mq_tunnel_server *server)
{
  struct sockaddr_in at = { .sin_port = 0 };
  socklen_t size = sizeof at;

  (void)getsockname (server->fd, (struct sockaddr *)&at, &size);
  return ntohs (at.sin_port);
}

unsigned
mq_tunnel_server_count (const mq_tunnel_server *server)
{
  return server->tunnels.length;
}

unsigned
mq_tunnel_server_count_busy (const mq_tunnel_server *server, uint64_t quiet_us)
{
  uint64_t now = (uint64_t)g_get_monotonic_time ();
  unsigned n = 0;

  for (const GList *l = server->tunnels.head; l != NULL; l = l->next)
    {
      const tunnel *t = l->data;
      uint64_t last = MAX (t->router.read_us, t->upstream.read_us);

      n += t->router.read_us > t->upstream.read_us || now - last < quiet_us;
    }
  return n;
}

uint64_t
mq_tunnel_server_total (const mq_tunnel_server *server)
{
  return server->total;
}
