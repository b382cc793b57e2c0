/* HTTP towards callers: see mq/http_server.h.

   libmicrohttpd keeps its sockets in an epoll set of its own.  libev watches
   that set's descriptor and asks for at most one run of libmicrohttpd in each
   loop iteration, just before the loop sleeps, so that all answers written
   in an iteration leave in one go.

   libmicrohttpd doesn't watch a suspended connection.  A second epoll set
   therefore waits, edge-triggered, for callers that hang up; a caller that
   closes only its sending side counts as gone.  */

#include <mq/internal/http_exchange.h>

#include <mq/log.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024
#define CONNECTION_LIMIT 16384
#define CONNECTION_MEMORY (16 * 1024)
#define HANGUP_BATCH 64

/* A request must be whole within this many times the idle time, so that a
   caller can't hold a connection by sending a byte now and then.  */
#define WHOLE_FACTOR 3

/* An oversized body is read on, so that its sender sees the 413, but not for
   ever.  */
#define DISCARD_LIMIT ((size_t)64 * 1024 * 1024)

#define TOO_LARGE                                                             \
  "{\"error\":{\"code\":\"body-too-large\",\"reason\":\"the body is larger "  \
  "than this server takes\",\"outcome\":\"not-run\"}}\n"

struct mq_http_server
{
  struct ev_loop *loop; /* Borrowed.  */
  mq_http_server_sink sink;
  void *context;
  struct MHD_Daemon *daemon;
  ev_io io;           /* libmicrohttpd's epoll set.  */
  ev_timer timer;     /* Its next time-out.  */
  ev_prepare prepare; /* Runs it before the loop sleeps.  */
  int hangup_fd;      /* The epoll set of callers that hang up.  */
  ev_io hangup;
  ev_timer sweep;      /* Cuts requests that take too long to arrive.  */
  GQueue connections;  /* mq_http_connection, owned.  */
  GQueue exchanges;    /* Those not yet whole, borrowed.  */
  mq_str *certificate; /* Path, or NULL without TLS.  */
  mq_str *key;         /* Path.  */
  mq_http_tls *tls;    /* For new connections; one reference, or NULL.  */
  unsigned idle_s;
  size_t body_limit;
  uint16_t port;
  bool run_due;
  bool quiet;  /* Takes no new connections.  */
  bool silent; /* Is being freed and reports nothing.  */
};

typedef union server_address
{
  struct sockaddr any;
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;
} server_address;

G_DEFINE_QUARK (mq - http - server - error - quark, mq_http_server_error)

/* Fill ADDRESS from the IP number TEXT and PORT; returns its size, or 0.  */
static socklen_t
server_address_parse (server_address *address, const char *text, uint16_t port)
{
  memset (address, 0, sizeof *address);
  if (inet_pton (AF_INET, text, &address->v4.sin_addr) == 1)
    {
      address->v4.sin_family = AF_INET;
      address->v4.sin_port = htons (port);
      return sizeof address->v4;
    }
  if (inet_pton (AF_INET6, text, &address->v6.sin6_addr) == 1)
    {
      address->v6.sin6_family = AF_INET6;
      address->v6.sin6_port = htons (port);
      return sizeof address->v6;
    }
  return 0;
}

static void
server_address_print (const struct sockaddr *address, char *text, size_t size)
{
  const server_address *a = (const void *)address;

  text[0] = '\0';
  if (address->sa_family == AF_INET)
    inet_ntop (AF_INET, &a->v4.sin_addr, text, (socklen_t)size);
  else if (address->sa_family == AF_INET6)
    inet_ntop (AF_INET6, &a->v6.sin6_addr, text, (socklen_t)size);
}

/* A listening socket as OPTIONS say, or -1.  Its port goes to *PORT.  */
static int
server_listen (const mq_http_server_options *options, uint16_t *port,
               GError **error)
{
  char *text = g_strndup (options->address.data, options->address.size);
  server_address a;
  socklen_t size = server_address_parse (&a, text, options->port);
  int on = 1;
  int fd = -1;

  if (size == 0)
    {
      g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_ADDRESS,
                   "\"%s\" is no IP number", text);
      goto out;
    }
  fd = socket (a.any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
      || bind (fd, &a.any, size) < 0 || listen (fd, LISTEN_BACKLOG) < 0
      || getsockname (fd, &a.any, &size) < 0)
    {
      g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_ADDRESS,
                   "can't listen on %s:%u: %s", text, options->port,
                   g_strerror (errno));
      if (fd >= 0)
        close (fd);
      fd = -1;
      goto out;
    }
  *port = ntohs (a.any.sa_family == AF_INET ? a.v4.sin_port : a.v6.sin6_port);

out:
  g_free (text);
  return fd;
}

/* Set the timer to when libmicrohttpd wants to run next.  */
static void
server_arm (mq_http_server *server)
{
  MHD_UNSIGNED_LONG_LONG ms;

  ev_timer_stop (server->loop, &server->timer);
  if (MHD_get_timeout (server->daemon, &ms) != MHD_YES)
    return;
  ev_timer_set (&server->timer, (ev_tstamp)ms / 1000., 0.);
  ev_timer_start (server->loop, &server->timer);
}

static void
server_io_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  mq_http_server *s = watcher->data;

  (void)loop;
  (void)events;
  s->run_due = true;
}

static void
server_timer_ready (struct ev_loop *loop, ev_timer *watcher, int events)
{
  mq_http_server *s = watcher->data;

  (void)loop;
  (void)events;
  s->run_due = true;
}

static void
server_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  mq_http_server *s = watcher->data;

  (void)loop;
  (void)events;
  if (!s->run_due)
    return;
  s->run_due = false;
  MHD_run (s->daemon);
  server_arm (s);
}

/* Cut connections whose request should have been whole long ago.  */
static void
server_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  mq_http_server *s = watcher->data;
  ev_tstamp limit = ev_now (loop) - (ev_tstamp)WHOLE_FACTOR * s->idle_s;

  (void)events;
  for (GList *l = s->connections.head; l != NULL; l = l->next)
    {
      mq_http_connection *c = l->data;
      bool waits
          = c->exchange == NULL || c->exchange->phase <= MQ_HTTP_PHASE_BODY;

      if (waits && c->since < limit)
        shutdown (c->fd, SHUT_RDWR);
    }
}

static void
server_hangup_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  mq_http_server *s = watcher->data;
  struct epoll_event batch[HANGUP_BATCH];
  int n = epoll_wait (s->hangup_fd, batch, HANGUP_BATCH, 0);

  (void)loop;
  (void)events;
  for (int i = 0; i < n; i++)
    {
      mq_http_connection *c = batch[i].data.ptr;

      c->hung_up = true;
      if (c->exchange != NULL)
        mq_http_exchange_lose (c->exchange);
    }
}

static void
server_connection_started (mq_http_server *server, struct MHD_Connection *mhd,
                           void **slot)
{
  mq_http_connection *c = g_new0 (mq_http_connection, 1);
  const union MHD_ConnectionInfo *session
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_GNUTLS_SESSION);
  struct epoll_event e = { .events = EPOLLRDHUP | EPOLLET, .data.ptr = c };

  c->server = server;
  c->link.data = c;
  c->since = ev_now (server->loop);
  g_queue_push_tail_link (&server->connections, &c->link);
  if (server->tls != NULL && session != NULL)
    {
      c->tls = mq_http_tls_ref (server->tls);
      mq_http_tls_use (c->tls, session->tls_session);
    }
  c->fd = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
              ->connect_fd;
  server_address_print (
      MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
          ->client_addr,
      c->peer, sizeof c->peer);
  if (epoll_ctl (server->hangup_fd, EPOLL_CTL_ADD, c->fd, &e) < 0)
    mq_log (G_LOG_LEVEL_WARNING, "http.hangup-watch-failed", "errno=%d",
            errno);
  *slot = c;
}

static void
server_connection_closed (mq_http_server *server, void **slot)
{
  mq_http_connection *c = *slot;

  epoll_ctl (server->hangup_fd, EPOLL_CTL_DEL, c->fd, NULL);
  g_queue_unlink (&server->connections, &c->link);
  mq_http_tls_unref (c->tls);
  g_free (c);
  *slot = NULL;
}

static void
server_notify_connection (void *context, struct MHD_Connection *mhd,
                          void **slot,
                          enum MHD_ConnectionNotificationCode code)
{
  switch (code)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      server_connection_started (context, mhd, slot);
      break;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      server_connection_closed (context, slot);
      break;
    }
}

/* The request line has arrived.  The result becomes the request's slot.  */
static void *
server_request_line (void *context, const char *uri,
                     struct MHD_Connection *mhd)
{
  mq_http_server *s = context;
  mq_http_connection *c
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
  mq_http_exchange *x = mq_http_exchange_new (c, mhd, uri);

  c->exchange = x;
  g_queue_push_tail_link (&s->exchanges, &x->link);
  return x;
}

/* The connection is done with the request in SLOT, for the reason CODE.  */
static void
server_request_completed (void *context, struct MHD_Connection *mhd,
                          void **slot, enum MHD_RequestTerminationCode code)
{
  mq_http_server *s = context;
  mq_http_exchange *x = *slot;

  (void)mhd;
  if (x == NULL)
    return;
  *slot = NULL;
  x->connection->exchange = NULL;
  x->connection->since = ev_now (s->loop);
  g_queue_unlink (&s->exchanges, &x->link);
  mq_http_exchange_detach (x);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    mq_http_exchange_lose (x);
  mq_http_exchange_unref (x);
}

static void
server_take_body (mq_http_server *server, mq_http_exchange *exchange,
                  const char *data, size_t size)
{
  if (exchange->over_limit || exchange->body->len + size > server->body_limit)
    {
      exchange->over_limit = true;
      exchange->discarded += size;
      g_string_truncate (exchange->body, 0);
      return;
    }
  g_string_append_len (exchange->body, data, (gssize)size);
}

/* The whole request has arrived: report it, or answer for the user.  */
static void
server_take_request (mq_http_server *server, mq_http_exchange *exchange)
{
  static const mq_http_header type
      = { { "Content-Type", sizeof "Content-Type" - 1 },
          { "application/json", sizeof "application/json" - 1 } };

  exchange->phase = MQ_HTTP_PHASE_WAITING;
  if (exchange->over_limit)
    mq_http_exchange_reply (exchange, MHD_HTTP_CONTENT_TOO_LARGE, &type, 1,
                            MQ_SPAN (TOO_LARGE));
  else
    mq_http_server_report (server, MQ_HTTP_SERVER_REQUEST, exchange);
  if (exchange->connection != NULL && exchange->connection->hung_up)
    mq_http_exchange_lose (exchange);
}

/* Queue the answer if there is one, else put the connection aside.  */
static enum MHD_Result
server_answer (mq_http_exchange *exchange)
{
  enum MHD_Result r;

  if (exchange->phase == MQ_HTTP_PHASE_CUT)
    return MHD_NO;
  if (exchange->response == NULL)
    {
      exchange->suspended = true;
      MHD_suspend_connection (exchange->mhd);
      return MHD_YES;
    }
  r = MHD_queue_response (exchange->mhd, exchange->status, exchange->response);
  g_clear_pointer (&exchange->response, MHD_destroy_response);
  return r;
}

/* A caller that waits for "100 Continue" need not send a body that is too
   large.  */
static bool
server_refuses_head (const mq_http_server *server,
                     const mq_http_exchange *exchange)
{
  mq_span length = mq_http_exchange_header (exchange, "Content-Length");
  uint64_t n;

  return mq_http_exchange_header (exchange, "Expect").data != NULL
         && mq_span_to_u64 (length, &n) == 0 && n > server->body_limit;
}

/* libmicrohttpd's access handler: called for the headers, for each piece of
   the body, for the end of the body and after each resume.  */
static enum MHD_Result
server_access (void *context, struct MHD_Connection *mhd, const char *url,
               const char *method, const char *version, const char *data,
               size_t *size, void **slot)
{
  mq_http_server *s = context;
  mq_http_exchange *x = *slot;

  (void)mhd;
  (void)url;
  (void)version;
  if (x->phase == MQ_HTTP_PHASE_HEAD)
    {
      mq_http_exchange_read_head (x, method);
      x->phase = MQ_HTTP_PHASE_BODY;
      if (!server_refuses_head (s, x))
        return MHD_YES;
      x->over_limit = true;
    }
  if (*size > 0)
    {
      server_take_body (s, x, data, *size);
      *size = 0;
      return x->discarded > DISCARD_LIMIT ? MHD_NO : MHD_YES;
    }
  if (x->phase == MQ_HTTP_PHASE_BODY)
    server_take_request (s, x);
  return server_answer (x);
}

static void
server_log (void *context, const char *format, va_list args)
{
  char *text;

  (void)context;
  if (!mq_log_enabled (G_LOG_LEVEL_DEBUG))
    return;
  text = g_strdup_vprintf (format, args);
  mq_log (G_LOG_LEVEL_DEBUG, "http.library", "text=%s",
          mq_log_quote (g_strchomp (text)));
  g_free (text);
}

/* Start libmicrohttpd on the listening socket FD.  It wants a certificate
   before it does TLS, though each session is given its credentials when its
   connection starts; PEM_CERTIFICATE and PEM_KEY are NULL without TLS.  */
static struct MHD_Daemon *
server_start_daemon (mq_http_server *server, int fd, char *pem_certificate,
                     char *pem_key)
{
  const unsigned flags = MHD_USE_EPOLL | MHD_USE_TURBO
                         | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
  struct MHD_OptionItem tls[]
      = { { MHD_OPTION_HTTPS_MEM_CERT, 0, pem_certificate },
          { MHD_OPTION_HTTPS_MEM_KEY, 0, pem_key },
          { MHD_OPTION_END, 0, NULL } };
  struct MHD_OptionItem plain[] = { { MHD_OPTION_END, 0, NULL } };

  return MHD_start_daemon (
      server->tls == NULL ? flags : flags | MHD_USE_TLS, server->port, NULL,
      NULL, server_access, server,
      /* The logger goes first, to see all.  */
      MHD_OPTION_EXTERNAL_LOGGER, server_log, server, MHD_OPTION_ARRAY,
      server->tls == NULL ? plain : tls, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
      MHD_OPTION_CONNECTION_TIMEOUT, server->idle_s,
      MHD_OPTION_URI_LOG_CALLBACK, server_request_line, server,
      MHD_OPTION_NOTIFY_COMPLETED, server_request_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, server_notify_connection, server,
      MHD_OPTION_END);
}

/* Start libmicrohttpd with what the server's files hold.  Returns 0 or -1.  */
static int
server_start (mq_http_server *server, int fd, GError **error)
{
  char *certificate = NULL;
  char *key = NULL;
  int r = -1;

  if (server->tls != NULL
      && (!g_file_get_contents (mq_str_cstr (server->certificate),
                                &certificate, NULL, NULL)
          || !g_file_get_contents (mq_str_cstr (server->key), &key, NULL,
                                   NULL)))
    {
      g_set_error_literal (error, MQ_HTTP_SERVER_ERROR,
                           MQ_HTTP_SERVER_ERROR_TLS,
                           "the certificate or key went away");
      goto out;
    }
  server->daemon = server_start_daemon (server, fd, certificate, key);
  if (server->daemon == NULL)
    {
      g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_LIBRARY,
                   "libmicrohttpd can't serve port %u", server->port);
      goto out;
    }
  r = 0;

out:
  g_free (certificate);
  g_free (key);
  return r;
}

static void
server_start_watchers (mq_http_server *server)
{
  int fd = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
               ->epoll_fd;

  ev_io_init (&server->io, server_io_ready, fd, EV_READ);
  ev_io_init (&server->hangup, server_hangup_ready, server->hangup_fd,
              EV_READ);
  ev_timer_init (&server->timer, server_timer_ready, 0., 0.);
  ev_prepare_init (&server->prepare, server_prepare);
  ev_timer_init (&server->sweep, server_sweep, server->idle_s, server->idle_s);
  server->sweep.data = server;
  server->io.data = server;
  server->hangup.data = server;
  server->timer.data = server;
  server->prepare.data = server;
  ev_io_start (server->loop, &server->io);
  ev_io_start (server->loop, &server->hangup);
  ev_prepare_start (server->loop, &server->prepare);
  if (server->idle_s > 0)
    ev_timer_start (server->loop, &server->sweep);
}

static void
server_stop_watchers (mq_http_server *server)
{
  ev_io_stop (server->loop, &server->io);
  ev_io_stop (server->loop, &server->hangup);
  ev_timer_stop (server->loop, &server->timer);
  ev_timer_stop (server->loop, &server->sweep);
  ev_prepare_stop (server->loop, &server->prepare);
}

void
mq_http_server_report (mq_http_server *server, mq_http_server_event_kind kind,
                       mq_http_exchange *exchange)
{
  mq_http_server_event e = { kind, exchange };

  if (!server->silent)
    server->sink (server->context, &e);
}

void
mq_http_server_wake (mq_http_server *server)
{
  server->run_due = true;
}

bool
mq_http_server_is_quiet (const mq_http_server *server)
{
  return server->quiet;
}

/* Free SERVER, whose daemon is gone or never was.  */
static void
server_clear (mq_http_server *server)
{
  if (server->hangup_fd >= 0)
    close (server->hangup_fd);
  mq_http_tls_unref (server->tls);
  mq_str_unref (server->certificate);
  mq_str_unref (server->key);
  g_free (server);
}

mq_http_server *
mq_http_server_new (struct ev_loop *loop,
                    const mq_http_server_options *options,
                    mq_http_server_sink sink, void *context, GError **error)
{
  mq_http_server *s = g_new0 (mq_http_server, 1);
  int fd = -1;

  s->loop = loop;
  s->sink = sink;
  s->context = context;
  s->body_limit = options->body_limit;
  s->idle_s = options->idle_s;
  g_queue_init (&s->connections);
  g_queue_init (&s->exchanges);
  s->hangup_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (s->hangup_fd < 0)
    {
      g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_LIBRARY,
                   "epoll_create1: %s", g_strerror (errno));
      goto fail;
    }
  if (options->certificate.size > 0)
    {
      s->certificate = mq_str_new (options->certificate);
      s->key = mq_str_new (options->key);
      if (mq_http_server_reload_tls (s, error) < 0)
        goto fail;
    }
  fd = server_listen (options, &s->port, error);
  if (fd < 0)
    goto fail;
  if (server_start (s, fd, error) < 0)
    goto fail;
  server_start_watchers (s);
  return s;

fail:
  if (fd >= 0)
    close (fd);
  server_clear (s);
  return NULL;
}

void
mq_http_server_free (mq_http_server *server)
{
  GList *next;

  if (server == NULL)
    return;
  server->silent = true;
  server_stop_watchers (server);
  for (GList *l = server->exchanges.head; l != NULL; l = next)
    {
      mq_http_exchange *x = l->data;

      next = l->next;
      mq_http_exchange_abort (x);
    }
  MHD_stop_daemon (server->daemon);
  server_clear (server);
}

void
mq_http_server_quiesce (mq_http_server *server)
{
  MHD_socket fd;

  if (server->quiet)
    return;
  server->quiet = true;
  fd = MHD_quiesce_daemon (server->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

int
mq_http_server_reload_tls (mq_http_server *server, GError **error)
{
  mq_http_tls *tls;

  if (server->certificate == NULL)
    {
      g_set_error_literal (error, MQ_HTTP_SERVER_ERROR,
                           MQ_HTTP_SERVER_ERROR_TLS, "TLS is not in use");
      return -1;
    }
  tls = mq_http_tls_new (mq_str_cstr (server->certificate),
                         mq_str_cstr (server->key), error);
  if (tls == NULL)
    return -1;
  mq_http_tls_unref (server->tls);
  server->tls = tls;
  return 0;
}

uint16_t
mq_http_server_port (const mq_http_server *server)
{
  return server->port;
}

unsigned
mq_http_server_open_count (const mq_http_server *server)
{
  return server->exchanges.length;
}
