/* HTTP server for callers: see mq/http_server.h.

   The server accepts connections itself and distributes them over shards, each
   a daemon of libmicrohttpd.  Shards with work run just before the loop
   sleeps, so that all responses written in an iteration are sent together.

   libmicrohttpd doesn't watch suspended connections.  The server therefore has
   an edge-triggered epoll set of its own to detect callers that hang up.  A
   caller that closes only its sending side counts as disconnected.  */

#include <mq/internal/http_exchange.h>

#include <mq/log.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_LISTEN_BACKLOG 1024
#define MAX_ACCEPTS_PER_EVENT 64
#define MAX_CONNECTIONS_PER_SHARD 128
#define MAX_HANGUPS_PER_EVENT 64

/* What the system receives on a connection before it is read: at most this,
   and at most this part of the memory that a connection may take.  It doubles
   the size for its own needs, so that all buffers together take half of the
   connections' memory at most, also while the process does not run.  */
#define MAX_RECEIVE_BUFFER_BYTES ((size_t)48 * 1024)
#define RECEIVE_BUFFER_DIVISOR 4

/* Connections may take this part of the machine's memory by default.  */
#define MACHINE_MEMORY_DIVISOR 2

/* Pause in accepting when the process is out of descriptors.  */
#define ACCEPT_PAUSE_S 0.1
/* Connections that are closed then.  */
#define EVICTIONS_PER_FAILURE 16

/* Runs of shards before the loop handles other events again.  */
#define MAX_RUNS_PER_ITERATION 1024

/* A request must be complete within this many times the idle time, so that a
   caller can't hold a connection by sending single bytes.  */
#define REQUEST_TIMEOUT_FACTOR 3

/* Interval of the search for connections that have taken too long.  */
#define SWEEP_INTERVAL_S 1.

/* A connection whose request was rejected is closed after this time, in which
   its caller may read the response.  */
#define REJECTED_TIMEOUT_S 5.

#define US_PER_S 1e6
#define MS_PER_S 1000.

typedef union server_address
{
  struct sockaddr any;
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;
} server_address;

GQuark
mq_http_server_error_quark (void)
{
  return g_quark_from_static_string ("mq-http-server-error-quark");
}

/* Fill ADDRESS from the IP address TEXT and PORT.  Returns its size, or 0 if
   TEXT is invalid.  */
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

/* Returns the size of the system's buffer for what SERVER's connections
   receive.  */
static int
server_receive_buffer (const mq_http_server *server)
{
  size_t share = server->memory / mq_http_server_connection_limit (server)
                 / RECEIVE_BUFFER_DIVISOR;

  return (int)(server->memory == 0 ? MAX_RECEIVE_BUFFER_BYTES
                                   : MIN (share, MAX_RECEIVE_BUFFER_BYTES));
}

/* Returns a socket for OPTIONS that listens, with its port in *PORT; or -1
   with ERROR set.  Its connections receive up to RECEIVE_BUFFER bytes before
   they are read.  */
static int
server_listen (const mq_http_server_options *options, int receive_buffer,
               uint16_t *port, GError **error)
{
  char *text = g_strndup (options->address.data, options->address.size);
  server_address a;
  socklen_t size = server_address_parse (&a, text, options->port);
  int on = 1;
  int fd = -1;

  if (size == 0)
    {
      g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_ADDRESS,
                   "listen address \"%s\" is not an IP address", text);
      goto out;
    }
  fd = socket (a.any.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  /* Connections inherit it.  */
  if (fd >= 0)
    (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                      sizeof receive_buffer);
  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
      || bind (fd, &a.any, size) < 0 || listen (fd, MAX_LISTEN_BACKLOG) < 0
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

/* Returns the first shard with room, a new one, or else the one with the
   fewest connections; NULL if there is none.  */
static mq_http_shard *
server_shard (mq_http_server *server)
{
  mq_http_shard *best = NULL;

  for (guint i = 0; i < server->shards->len; i++)
    {
      mq_http_shard *s = g_ptr_array_index (server->shards, i);

      if (s->outdated)
        continue;
      if (s->n_connections < MAX_CONNECTIONS_PER_SHARD)
        return s;
      if (best == NULL || s->n_connections < best->n_connections)
        best = s;
    }
  if (server->shards->len
      < MQ_HTTP_MAX_CONNECTIONS / MAX_CONNECTIONS_PER_SHARD)
    {
      mq_http_shard *s = mq_http_shard_new (server);

      if (s != NULL)
        {
          g_ptr_array_add (server->shards, s);
          return s;
        }
    }
  return best;
}

/* A connection waits, but can't be accepted because of ERROR, an errno.  If
   the system is out of descriptors or memory, close some that wait for their
   clients: the new one and what its request needs take their place.  */
static void
server_accept_failed (mq_http_server *server, int error)
{
  uint64_t now_us = (uint64_t)(ev_now (server->loop) * US_PER_S);

  if (error != EMFILE && error != ENFILE && error != ENOBUFS
      && error != ENOMEM)
    return;
  mq_log (G_LOG_LEVEL_WARNING, "http.accept-failed", "errno=%d connections=%u",
          error, server->connections.length);
  for (int i = 0; i < EVICTIONS_PER_FAILURE
                  && mq_resource_account_evict (server->account, NULL, now_us);
       i++)
    ;
  ev_io_stop (server->loop, &server->listen);
  ev_timer_set (&server->accept_pause, ACCEPT_PAUSE_S, 0.);
  ev_timer_start (server->loop, &server->accept_pause);
}

/* Make room for another connection.  Returns false if there is none.  */
static bool
server_admit (mq_http_server *server)
{
  uint64_t now_us = (uint64_t)(ev_now (server->loop) * US_PER_S);

  if (server->connections.length >= mq_http_server_connection_limit (server)
      && !mq_resource_account_evict (server->account, server, now_us))
    {
      server->account->refusals++;
      return false;
    }
  return mq_resource_account_admit (
      server->account, mq_http_memory_connection_size (server->block), 1,
      now_us);
}

/* Accept at most LIMIT pending connections.  */
static void
server_accept (mq_http_server *s, int limit)
{
  for (int i = 0; i < limit; i++)
    {
      server_address a;
      socklen_t size = sizeof a;
      int fd = accept4 (s->listen_fd, &a.any, &size,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        {
          server_accept_failed (s, errno);
          return;
        }
      if (!server_admit (s))
        {
          s->refused_connections++;
          close (fd);
        }
      else
        mq_http_shard_add (server_shard (s), fd, &a.any, size);
    }
}

static void
server_listen_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  server_accept (watcher->data, MAX_ACCEPTS_PER_EVENT);
}

static void
server_accept_pause_over (struct ev_loop *loop, ev_timer *watcher, int events)
{
  mq_http_server *s = watcher->data;

  (void)events;
  if (s->listen_fd >= 0)
    ev_io_start (loop, &s->listen);
}

/* Run the due shards.  A run may make any shard due again.  */
static void
server_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  mq_http_server *s = watcher->data;
  GList *l;

  (void)loop;
  (void)events;
  for (int i = 0; i < MAX_RUNS_PER_ITERATION
                  && (l = g_queue_pop_head_link (&s->due)) != NULL;
       i++)
    {
      mq_http_shard *shard = l->data;

      shard->due = false;
      mq_http_shard_run (shard);
    }
  if (s->due.length > 0)
    ev_feed_event (loop, &s->prepare, EV_PREPARE);
}

/* Log that N connections without a request in progress were closed because of
   WHY, UNREAD of them with bytes that had not been read, and that KEPT others
   are closed after their next response.  */
static void
server_log_closed (const char *why, unsigned n, unsigned unread, unsigned kept)
{
  if (n + kept > 0)
    mq_log (unread > 0 ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO,
            "http.connections-closed",
            "why=%s connections=%u unread=%u kept=%u", why, n, unread, kept);
}

/* Close the idle connections of outdated shards, and free such shards that
   have no connection.  A connection on which a request has begun to arrive is
   closed after the response.  libmicrohttpd doesn't read from a socket that is
   shut down, so a request that arrives later is not reported.  */
static void
server_close_outdated (mq_http_server *server)
{
  unsigned closed = 0;
  unsigned kept = 0;

  for (GList *l = server->connections.head; l != NULL; l = l->next)
    {
      const mq_http_connection *c = l->data;

      if (!c->shard->outdated)
        continue;
      if (c->exchange != NULL || mq_http_connection_unread (c) > 0)
        {
          kept++;
          continue;
        }
      closed++;
      shutdown (c->fd, SHUT_RDWR);
    }
  server_log_closed ("outdated", closed, 0, kept);
  for (guint i = server->shards->len; i > 0; i--)
    {
      mq_http_shard *s = g_ptr_array_index (server->shards, i - 1);

      if (!s->outdated || s->n_connections > 0)
        continue;
      g_ptr_array_remove_index_fast (server->shards, i - 1);
      mq_http_shard_free (s);
    }
}

/* Log what A has evicted and refused since it was logged last, by
   whichever of its servers.  */
static void
account_log_evictions (mq_resource_account *a)
{
  uint64_t evictions = mq_resource_account_evictions (a);

  if (evictions == a->logged_evictions && a->refusals == a->logged_refusals)
    return;
  mq_log (G_LOG_LEVEL_WARNING, "http.evicted",
          "evictions=%" G_GUINT64_FORMAT " refusals=%" G_GUINT64_FORMAT
          " held=%zu limit=%zu large=%zu"
          " connections=%u connections_limit=%u",
          evictions - a->logged_evictions, a->refusals - a->logged_refusals,
          a->held, a->memory, a->large, a->held_files, a->files);
  a->logged_evictions = evictions;
  a->logged_refusals = a->refusals;
}

/* Returns true if the request of C has taken too long to arrive at NOW.  */
static bool
connection_is_overdue (const mq_http_server *server,
                       const mq_http_connection *c, ev_tstamp now)
{
  const mq_http_exchange *x = c->exchange;

  if (x != NULL && x->rejection_sent)
    return now - x->rejection_sent_at > REJECTED_TIMEOUT_S;
  if (x != NULL && x->phase > MQ_HTTP_PHASE_BODY)
    return false;
  if (x == NULL && server->idle_timeout_s > 0)
    return now - c->since > server->idle_timeout_s;
  if (x != NULL && x->phase == MQ_HTTP_PHASE_HEAD
      && server->head_timeout_s > 0)
    return now - x->started > server->head_timeout_s;
  return now - c->since > (ev_tstamp)REQUEST_TIMEOUT_FACTOR * server->idle_s;
}

/* Close connections whose request takes too long to arrive.  */
static void
server_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  mq_http_server *s = watcher->data;
  ev_tstamp now = ev_now (loop);
  unsigned closed = 0;
  unsigned unread = 0;

  (void)events;
  for (GList *l = s->connections.head; l != NULL; l = l->next)
    {
      const mq_http_connection *c = l->data;

      if (!connection_is_overdue (s, c, now))
        continue;
      closed++;
      unread += mq_http_connection_unread (c) > 0;
      shutdown (c->fd, SHUT_RDWR);
    }
  server_log_closed ("overdue", closed, unread, 0);
  server_close_outdated (s);
  account_log_evictions (s->account);
}

static void
server_hangup_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  mq_http_server *s = watcher->data;
  struct epoll_event batch[MAX_HANGUPS_PER_EVENT];
  int n = epoll_wait (s->hangup_fd, batch, MAX_HANGUPS_PER_EVENT, 0);

  (void)loop;
  (void)events;
  for (int i = 0; i < n; i++)
    {
      mq_http_connection *c = batch[i].data.ptr;

      if (batch[i].events == EPOLLIN)
        mq_http_connection_note_unread (c);
      else if (c->exchange != NULL)
        mq_http_exchange_on_disconnect (c->exchange);
    }
}

static void
server_start_watchers (mq_http_server *server)
{
  ev_io_init (&server->listen, server_listen_ready, server->listen_fd,
              EV_READ);
  ev_io_init (&server->hangup, server_hangup_ready, server->hangup_fd,
              EV_READ);
  ev_timer_init (&server->accept_pause, server_accept_pause_over, 0., 0.);
  ev_timer_init (&server->sweep, server_sweep, SWEEP_INTERVAL_S,
                 SWEEP_INTERVAL_S);
  ev_prepare_init (&server->prepare, server_prepare);
  /* Run after all other watchers, which may write responses.  */
  ev_set_priority (&server->prepare, EV_MINPRI);
  server->listen.data = server;
  server->hangup.data = server;
  server->accept_pause.data = server;
  server->sweep.data = server;
  server->prepare.data = server;
  ev_io_start (server->loop, &server->listen);
  ev_io_start (server->loop, &server->hangup);
  ev_prepare_start (server->loop, &server->prepare);
  if (server->idle_s > 0)
    ev_timer_start (server->loop, &server->sweep);
}

static void
server_stop_watchers (mq_http_server *server)
{
  ev_io_stop (server->loop, &server->listen);
  ev_io_stop (server->loop, &server->hangup);
  ev_timer_stop (server->loop, &server->accept_pause);
  ev_timer_stop (server->loop, &server->sweep);
  ev_prepare_stop (server->loop, &server->prepare);
}

/* Read the certificate and key of OPTIONS, if any.  Returns 0, or -1 with
   ERROR set.  */
static int
server_read_tls (mq_http_server *server, const mq_http_server_options *options,
                 GError **error)
{
  if (options->certificate.size == 0)
    return 0;
  server->certificate = mq_str_new (options->certificate);
  server->key = mq_str_new (options->key);
  if (mq_http_server_reload_tls (server, error) < 0)
    return -1;
  if (g_file_get_contents (mq_str_cstr (server->certificate),
                           &server->pem_certificate, NULL, NULL)
      && g_file_get_contents (mq_str_cstr (server->key), &server->pem_key,
                              NULL, NULL))
    return 0;
  g_set_error_literal (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_TLS,
                       "the certificate or key file can't be read");
  return -1;
}

void
mq_http_server_report (mq_http_server *server, mq_http_server_event_kind kind,
                       mq_http_exchange *exchange)
{
  mq_http_server_event e = { kind, exchange };

  if (!server->freeing)
    server->sink (server->context, &e);
}

/* Free SERVER, whose shards are freed and whose watchers are stopped.  */
static void
server_clear (mq_http_server *server)
{
  g_ptr_array_unref (server->shards);
  if (server->listen_fd >= 0)
    close (server->listen_fd);
  if (server->hangup_fd >= 0)
    close (server->hangup_fd);
  mq_http_tls_unref (server->tls);
  mq_str_unref (server->certificate);
  mq_str_unref (server->key);
  g_free (server->pem_certificate);
  g_free (server->pem_key);
  g_free (server);
}

size_t
mq_http_machine_memory (void)
{
  long pages = sysconf (_SC_PHYS_PAGES);
  long page_size = sysconf (_SC_PAGESIZE);

  return pages > 0 && page_size > 0 ? (size_t)pages * (size_t)page_size : 0;
}

mq_http_server *
mq_http_server_new (struct ev_loop *loop,
                    const mq_http_server_options *options,
                    mq_http_server_sink sink, void *context, GError **error)
{
  mq_http_server *s = g_new0 (mq_http_server, 1);

  s->loop = loop;
  s->sink = sink;
  s->context = context;
  s->body_limit = options->body_limit;
  s->head_limit = options->head_limit > 0
                      ? MIN (options->head_limit, MQ_HTTP_MAX_HEAD_BYTES)
                      : MQ_HTTP_DEFAULT_HEAD_BYTES;
  s->block = mq_http_memory_block_size (s->head_limit);
  s->memory = options->memory > 0
                  ? options->memory
                  : mq_http_machine_memory () / MACHINE_MEMORY_DIVISOR;
  s->ignores_bodies = options->ignores_bodies;
  s->account = options->account;
  if (s->account == NULL)
    {
      mq_resource_account_init (&s->own_account, s->memory, 0);
      s->account = &s->own_account;
    }
  s->idle_s = options->idle_s;
  s->connection_limit = MQ_HTTP_MAX_CONNECTIONS;
  if (options->connections > 0)
    s->connection_limit = MIN (options->connections, MQ_HTTP_MAX_CONNECTIONS);
  s->shards = g_ptr_array_new ();
  s->listen_fd = -1;
  g_queue_init (&s->due);
  g_queue_init (&s->connections);
  g_queue_init (&s->exchanges);
  s->hangup_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (s->hangup_fd < 0)
    {
      g_set_error (error, MQ_HTTP_SERVER_ERROR, MQ_HTTP_SERVER_ERROR_LIBRARY,
                   "epoll_create1: %s", g_strerror (errno));
      goto fail;
    }
  if (server_read_tls (s, options, error) < 0)
    goto fail;
  s->listen_fd
      = server_listen (options, server_receive_buffer (s), &s->port, error);
  if (s->listen_fd < 0)
    goto fail;
  /* Create one shard now, so that an error is detected at the start.  */
  if (server_shard (s) == NULL)
    {
      g_set_error_literal (error, MQ_HTTP_SERVER_ERROR,
                           MQ_HTTP_SERVER_ERROR_LIBRARY,
                           "libmicrohttpd can't be started");
      goto fail;
    }
  server_start_watchers (s);
  return s;

fail:
  server_clear (s);
  return NULL;
}

void
mq_http_server_free (mq_http_server *server)
{
  GList *next;

  if (server == NULL)
    return;
  server->freeing = true;
  server_stop_watchers (server);
  for (GList *l = server->exchanges.head; l != NULL; l = next)
    {
      mq_http_exchange *x = l->data;

      next = l->next;
      mq_http_exchange_abort (x);
    }
  for (guint i = 0; i < server->shards->len; i++)
    mq_http_shard_free (g_ptr_array_index (server->shards, i));
  server_clear (server);
}

void
mq_http_server_announce_close (mq_http_server *server)
{
  server->closing = true;
}

void
mq_http_server_quiesce (mq_http_server *server)
{
  if (server->listen_fd < 0)
    return;
  server->closing = true;
  /* A caller whose connection the kernel has accepted may have sent its
     request already; closing the socket would reset it.  */
  server_accept (server, MAX_LISTEN_BACKLOG);
  ev_timer_stop (server->loop, &server->accept_pause);
  ev_io_stop (server->loop, &server->listen);
  close (server->listen_fd);
  server->listen_fd = -1;
}

void
mq_http_server_set_head_limit (mq_http_server *server, size_t bytes)
{
  server->head_limit = MIN (bytes, MQ_HTTP_MAX_HEAD_BYTES);
  server->block
      = MAX (server->block, mq_http_memory_block_size (server->head_limit));
  for (guint i = 0; i < server->shards->len; i++)
    {
      mq_http_shard *s = g_ptr_array_index (server->shards, i);

      s->outdated = s->block < server->block;
    }
  server_close_outdated (server);
}

void
mq_http_server_set_body_limit (mq_http_server *server, size_t bytes)
{
  server->body_limit = bytes;
}

void
mq_http_server_set_timeouts (mq_http_server *server, uint64_t head_ms,
                             uint64_t idle_ms)
{
  server->head_timeout_s = (ev_tstamp)head_ms / MS_PER_S;
  server->idle_timeout_s = (ev_tstamp)idle_ms / MS_PER_S;
}

int
mq_http_server_reload_tls (mq_http_server *server, GError **error)
{
  mq_http_tls *tls;

  if (server->certificate == NULL)
    {
      g_set_error_literal (error, MQ_HTTP_SERVER_ERROR,
                           MQ_HTTP_SERVER_ERROR_TLS, "TLS is not enabled");
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

void
mq_http_server_visit_open (const mq_http_server *server,
                           mq_http_exchange_visitor visit, void *context)
{
  for (const GList *l = server->exchanges.head; l != NULL; l = l->next)
    visit (context, l->data);
}

unsigned
mq_http_server_connections (const mq_http_server *server)
{
  return server->connections.length;
}

unsigned
mq_http_server_connection_limit (const mq_http_server *server)
{
  unsigned n = server->connection_limit;

  if (server->memory == 0)
    return n; /* The memory of the machine is not known.  */
  return MIN (n,
              mq_http_memory_max_connections (server->memory, server->block));
}

uint64_t
mq_http_server_refused_connections (const mq_http_server *server)
{
  return server->refused_connections;
}
