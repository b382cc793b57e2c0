/* One daemon of libmicrohttpd in the libev loop: see
   mq/internal/http_server.h.

   libmicrohttpd keeps its sockets in an epoll set of its own, whose
   descriptor libev watches.  Events only mark the shard as due; it runs once
   the loop has handled all events of an iteration.  */

#include <mq/internal/http_exchange.h>

#include <mq/internal/http_framing.h>
#include <mq/log.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

/* libmicrohttpd fills the buffer of a resumed connection in one run and sends
   it in the next.  */
#define MAX_CONSECUTIVE_RUNS 2

/* After so many runs that each left work, connections may be stalled.  */
#define MAX_IMMEDIATE_RUNS 16
/* Pause between runs after so many in which libmicrohttpd did nothing.  */
#define IDLE_RUN_DELAY_S 0.01
/* Time limit of a stalled connection, the least that libmicrohttpd knows.  */
#define STALLED_TIMEOUT_S 1U

/* The body of a rejected request is read up to this size, so that its sender
   receives the response; then the connection is closed.  */
#define MAX_DISCARDED_BYTES ((size_t)64 * 1024 * 1024)

#define TOO_LARGE_HEAD                                                        \
  "{\"error\":{\"code\":\"head-too-large\",\"reason\":\"the headers are "     \
  "larger than this server takes\",\"outcome\":\"not-run\"}}\n"

/* The rejection of a head that leaves no memory for a response.  */
#define BARE_REJECTION                                                        \
  "HTTP/1.1 431 Request Header Fields Too Large\r\n"                          \
  "Connection: close\r\nContent-Length: 0\r\n\r\n"

#define TOO_LARGE_BODY                                                        \
  "{\"error\":{\"code\":\"body-too-large\",\"reason\":\"the body is larger "  \
  "than this server takes\",\"outcome\":\"not-run\"}}\n"

#define MALFORMED_HEAD                                                        \
  "{\"error\":{\"code\":\"malformed-request\",\"reason\":\"the headers are "  \
  "malformed or contradict each other\",\"outcome\":\"not-run\"}}\n"

#define CALLER_LEFT                                                           \
  "{\"error\":{\"code\":\"caller-left\",\"reason\":\"the sender has closed "  \
  "the connection\",\"outcome\":\"not-run\"}}\n"

#define OWN_RESPONSE_BYTES 512
/* The status line of a response that is written past libmicrohttpd, and its
   headers and body.  */
#define OWN_RESPONSE                                                          \
  "HTTP/1.1 %u %s\r\n%sConnection: close\r\n"                                 \
  "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%.*s"

/* Write the IP address of ADDRESS to TEXT.  */
static void
shard_print_address (const struct sockaddr *address, char *text, size_t size)
{
  const struct sockaddr_in *v4 = (const void *)address;
  const struct sockaddr_in6 *v6 = (const void *)address;

  text[0] = '\0';
  if (address->sa_family == AF_INET)
    inet_ntop (AF_INET, &v4->sin_addr, text, (socklen_t)size);
  else if (address->sa_family == AF_INET6)
    inet_ntop (AF_INET6, &v6->sin6_addr, text, (socklen_t)size);
}

static void
shard_connection_started (mq_http_shard *shard, struct MHD_Connection *mhd,
                          void **slot)
{
  mq_http_server *server = shard->server;
  mq_http_connection *c = g_new0 (mq_http_connection, 1);
  const union MHD_ConnectionInfo *session
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_GNUTLS_SESSION);
  struct epoll_event e
      = { .events = EPOLLIN | EPOLLRDHUP | EPOLLET, .data.ptr = c };

  c->shard = shard;
  c->link.data = c;
  c->since = ev_now (server->loop);
  g_queue_push_tail_link (&server->connections, &c->link);
  if (server->tls != NULL && session != NULL)
    {
      c->tls = mq_http_tls_ref (server->tls);
      c->tls_session = session->tls_session;
      mq_http_tls_use (c->tls, session->tls_session);
    }
  c->fd = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
              ->connect_fd;
  shard_print_address (
      MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
          ->client_addr,
      c->peer, sizeof c->peer);
  if (epoll_ctl (server->hangup_fd, EPOLL_CTL_ADD, c->fd, &e) < 0)
    mq_log (G_LOG_LEVEL_WARNING, "http.hangup-watch-failed", "errno=%d",
            errno);
  shard->n_connections++;
  mq_http_connection_enter (c);
  *slot = c;
}

static void
shard_connection_closed (mq_http_shard *shard, void **slot)
{
  mq_http_connection *c = *slot;

  epoll_ctl (shard->server->hangup_fd, EPOLL_CTL_DEL, c->fd, NULL);
  mq_http_connection_leave (c);
  shard->n_connections--;
  g_queue_unlink (&shard->server->connections, &c->link);
  mq_http_tls_unref (c->tls);
  g_free (c);
  *slot = NULL;
}

static void
shard_notify_connection (void *context, struct MHD_Connection *mhd,
                         void **slot, enum MHD_ConnectionNotificationCode code)
{
  ((mq_http_shard *)context)->callbacks++;
  switch (code)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      shard_connection_started (context, mhd, slot);
      break;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      shard_connection_closed (context, slot);
      break;
    }
}

/* URI log callback of libmicrohttpd: the request line has arrived.  The result
   becomes the value of the request's slot.  */
static void *
shard_request_line (void *context, const char *uri, struct MHD_Connection *mhd)
{
  mq_http_shard *shard = context;
  mq_http_server *s = shard->server;
  mq_http_connection *c
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
  mq_http_exchange *x = mq_http_exchange_new (c, mhd, uri);

  shard->callbacks++;
  c->exchange = x;
  g_queue_push_tail_link (&s->exchanges, &x->link);
  mq_http_connection_account (c);
  return x;
}

/* Completion callback of libmicrohttpd: the request in SLOT has ended.  */
static void
shard_request_completed (void *context, struct MHD_Connection *mhd,
                         void **slot, enum MHD_RequestTerminationCode code)
{
  mq_http_shard *shard = context;
  mq_http_server *s = shard->server;
  mq_http_exchange *x = *slot;

  (void)mhd;
  shard->callbacks++;
  if (x == NULL)
    return;
  *slot = NULL;
  /* libmicrohttpd has rejected the head itself.  */
  if (x->phase == MQ_HTTP_PHASE_HEAD
      && code == MHD_REQUEST_TERMINATED_WITH_ERROR)
    mq_http_server_report (s, MQ_HTTP_SERVER_HEAD_REJECTED, x);
  x->connection->exchange = NULL;
  x->connection->since = ev_now (s->loop);
  mq_http_connection_account (x->connection);
  g_queue_unlink (&s->exchanges, &x->link);
  mq_http_exchange_detach (x);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    mq_http_exchange_on_disconnect (x);
  mq_http_exchange_unref (x);
}

/* Returns the body of the response that rejects EXCHANGE for its body.  */
static mq_span
shard_rejection (const mq_http_exchange *exchange)
{
  return exchange->status == MHD_HTTP_CONTENT_TOO_LARGE
             ? MQ_SPAN (TOO_LARGE_BODY)
             : MQ_SPAN ("");
}

/* Reject the request of EXCHANGE, as its body is larger than the limit.  */
static void
shard_reject_body (mq_http_exchange *exchange)
{
  exchange->over_limit = true;
  g_string_free (exchange->body, TRUE);
  exchange->body = g_string_new (NULL);
  exchange->status = MHD_HTTP_CONTENT_TOO_LARGE;
  mq_http_server_report (exchange->server, MQ_HTTP_SERVER_BODY_REJECTED,
                         exchange);
  mq_http_exchange_send_rejection (exchange, exchange->status, "",
                                   shard_rejection (exchange));
  mq_http_connection_account (exchange->connection);
}

/* Returns true if the body of EXCHANGE is read for its sender's sake only.  */
static bool
shard_discards_body (const mq_http_exchange *exchange)
{
  return exchange->head_rejected || exchange->malformed || exchange->over_limit
         || exchange->evicted;
}

static void
shard_append_body (mq_http_server *server, mq_http_exchange *exchange,
                   const char *data, size_t size)
{
  if (!shard_discards_body (exchange)
      && exchange->body_bytes + size > server->body_limit)
    shard_reject_body (exchange);
  if (shard_discards_body (exchange))
    {
      exchange->discarded += size;
      return;
    }
  exchange->body_bytes += size;
  if (!server->ignores_bodies
      && mq_http_connection_make_room (exchange->connection, size))
    g_string_append_len (exchange->body, data, (gssize)size);
}

/* Returns true if the caller of EXCHANGE has closed its connection, or its
   sending side.  The event that tells so may still be due.  Notes what has
   arrived behind the request.  */
static bool
shard_caller_has_left (const mq_http_exchange *exchange)
{
  struct pollfd p
      = { .fd = exchange->connection->fd, .events = POLLIN | POLLRDHUP };

  if (poll (&p, 1, 0) <= 0)
    return false;
  if (p.revents != POLLIN)
    return true;
  mq_http_connection_note_unread (exchange->connection);
  return false;
}

/* The complete request has arrived, or a head that is malformed: report it, or
   reject it if its head is malformed, if its head or body is oversized, or if
   its caller has left: then it need not run.  A caller that has closed its
   sending side only can still read the reply.  */
static void
shard_handle_request (mq_http_server *server, mq_http_exchange *exchange)
{
  exchange->phase = MQ_HTTP_PHASE_WAITING;
  mq_http_connection_account (exchange->connection);
  if (exchange->head_rejected)
    mq_http_exchange_reject (exchange,
                             MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                             MQ_SPAN (TOO_LARGE_HEAD));
  else if (exchange->malformed)
    mq_http_exchange_reject (exchange, MHD_HTTP_BAD_REQUEST,
                             MQ_SPAN (MALFORMED_HEAD));
  else if (exchange->over_limit)
    mq_http_exchange_reject (exchange, exchange->status,
                             shard_rejection (exchange));
  else if (shard_caller_has_left (exchange))
    mq_http_exchange_reject (exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
                             MQ_SPAN (CALLER_LEFT));
  else
    mq_http_server_report (server, MQ_HTTP_SERVER_REQUEST, exchange);
}

/* Queue the response if there is one, else suspend the connection.  */
static enum MHD_Result
shard_answer (mq_http_exchange *exchange)
{
  enum MHD_Result r;

  if (exchange->phase == MQ_HTTP_PHASE_ABORTED)
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

/* Returns true if the head of EXCHANGE announces a body over the limit.  */
static bool
shard_body_is_too_large (const mq_http_server *server,
                         const mq_http_exchange *exchange)
{
  mq_span length = mq_http_exchange_header (exchange, "Content-Length");
  uint64_t n;

  return mq_span_to_u64 (length, &n) == 0 && n > server->body_limit;
}

/* Returns true if the caller waits for "100 Continue" before it sends the body
   of a request that is rejected, so that it need not send it.  */
static bool
shard_replies_early (const mq_http_server *server,
                     const mq_http_exchange *exchange)
{
  return mq_http_exchange_header (exchange, "Expect").data != NULL
         && (exchange->head_rejected
             || shard_body_is_too_large (server, exchange));
}

/* Reject EXCHANGE if its head is too large.  Returns false if the connection
   is to be closed, as there is no memory for a reply.  */
static bool
shard_check_head (mq_http_shard *shard, mq_http_exchange *exchange)
{
  const mq_http_connection *c = exchange->connection;

  if (exchange->head.bytes <= shard->server->head_limit
      && mq_http_memory_admits (shard->block, &exchange->head))
    return true;
  exchange->head_rejected = true;
  mq_http_server_report (shard->server, MQ_HTTP_SERVER_HEAD_REJECTED,
                         exchange);
  if (mq_http_memory_can_reject (shard->block, &exchange->head))
    return true;
  if (c->tls == NULL)
    (void)!send (c->fd, BARE_REJECTION, sizeof BARE_REJECTION - 1,
                 MSG_DONTWAIT | MSG_NOSIGNAL);
  return false;
}

/* Check how the request of EXCHANGE, of HTTP VERSION, states its end.  */
static void
shard_check_framing (mq_http_shard *shard, mq_http_exchange *exchange,
                     const char *version)
{
  size_t n;
  const mq_http_header *headers = mq_http_exchange_headers (exchange, &n);
  bool http10 = strcmp (version, MHD_HTTP_VERSION_1_0) == 0;

  if (exchange->head_rejected || mq_http_framing_is_valid (headers, n, http10))
    return;
  exchange->malformed = true;
  mq_http_server_report (shard->server, MQ_HTTP_SERVER_HEAD_REJECTED,
                         exchange);
}

/* Access handler of libmicrohttpd: called for the headers, for each piece of
   the body, for the end of the body and after each resume.  */
static enum MHD_Result
shard_access (void *context, struct MHD_Connection *mhd, const char *url,
              const char *method, const char *version, const char *data,
              size_t *size, void **slot)
{
  mq_http_shard *shard = context;
  mq_http_server *s = shard->server;
  mq_http_exchange *x = *slot;

  (void)mhd;
  (void)url;
  shard->callbacks++;
  if (x->phase == MQ_HTTP_PHASE_HEAD)
    {
      mq_http_exchange_read_head (x, method);
      x->phase = MQ_HTTP_PHASE_BODY;
      if (!shard_check_head (shard, x))
        return MHD_NO;
      shard_check_framing (shard, x, version);
      if (!x->malformed && !shard_replies_early (s, x))
        {
          if (!x->head_rejected && shard_body_is_too_large (s, x))
            shard_reject_body (x);
          return MHD_YES;
        }
      /* The rest is replied to as if the body had arrived.  */
      x->over_limit = !x->malformed;
      x->status = MHD_HTTP_CONTENT_TOO_LARGE;
      if (x->over_limit && !x->head_rejected)
        mq_http_server_report (s, MQ_HTTP_SERVER_BODY_REJECTED, x);
    }
  if (*size > 0)
    {
      shard_append_body (s, x, data, *size);
      *size = 0;
      return x->discarded > MAX_DISCARDED_BYTES ? MHD_NO : MHD_YES;
    }
  if (x->rejection_sent || x->evicted)
    return MHD_NO;
  if (x->phase == MQ_HTTP_PHASE_BODY)
    shard_handle_request (s, x);
  return shard_answer (x);
}

static void
shard_log (void *context, const char *format, va_list args)
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

static void
shard_io_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  mq_http_shard_wake (watcher->data);
}

static void
shard_timer_ready (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  mq_http_shard_wake (watcher->data);
}

static struct MHD_Daemon *
shard_start_daemon (mq_http_shard *shard)
{
  mq_http_server *s = shard->server;
  const unsigned flags = MHD_USE_EPOLL | MHD_USE_TURBO
                         | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME
                         | MHD_USE_ERROR_LOG;
  /* libmicrohttpd requires a certificate for TLS, although each session gets
     its credentials when its connection starts.  */
  struct MHD_OptionItem tls[]
      = { { MHD_OPTION_HTTPS_MEM_CERT, 0, s->pem_certificate },
          { MHD_OPTION_HTTPS_MEM_KEY, 0, s->pem_key },
          { MHD_OPTION_END, 0, NULL } };
  struct MHD_OptionItem plain[] = { { MHD_OPTION_END, 0, NULL } };

  return MHD_start_daemon (
      s->tls == NULL ? flags : flags | MHD_USE_TLS, 0, NULL, NULL,
      shard_access, shard,
      /* The logger must come first to receive all messages.  */
      MHD_OPTION_EXTERNAL_LOGGER, shard_log, shard, MHD_OPTION_ARRAY,
      s->tls == NULL ? plain : tls, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)MQ_HTTP_MAX_CONNECTIONS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      shard->block, MHD_OPTION_CONNECTION_TIMEOUT, s->idle_s,
      MHD_OPTION_URI_LOG_CALLBACK, shard_request_line, shard,
      MHD_OPTION_NOTIFY_COMPLETED, shard_request_completed, shard,
      MHD_OPTION_NOTIFY_CONNECTION, shard_notify_connection, shard,
      MHD_OPTION_END);
}

void
mq_http_exchange_send_rejection (mq_http_exchange *exchange, unsigned status,
                                 const char *headers, mq_span body)
{
  const mq_http_connection *c = exchange->connection;
  char text[OWN_RESPONSE_BYTES];
  int n = g_snprintf (text, sizeof text, OWN_RESPONSE, status,
                      MHD_get_reason_phrase_for (status), headers, body.size,
                      MQ_SPAN_ARG (body));

  if (exchange->rejection_sent || c->tls != NULL)
    return;
  (void)!send (c->fd, text, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
  exchange->rejection_sent = true;
  exchange->rejection_sent_at = ev_now (exchange->server->loop);
}

mq_http_shard *
mq_http_shard_new (mq_http_server *server)
{
  mq_http_shard *s = g_new0 (mq_http_shard, 1);
  int fd;

  s->server = server;
  s->due_link.data = s;
  s->block = server->block;
  s->daemon = shard_start_daemon (s);
  if (s->daemon == NULL)
    {
      g_free (s);
      return NULL;
    }
  fd = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  ev_io_init (&s->io, shard_io_ready, fd, EV_READ);
  ev_timer_init (&s->timer, shard_timer_ready, 0., 0.);
  s->io.data = s;
  s->timer.data = s;
  ev_io_start (server->loop, &s->io);
  return s;
}

void
mq_http_shard_free (mq_http_shard *shard)
{
  mq_http_server *s = shard->server;

  ev_io_stop (s->loop, &shard->io);
  ev_timer_stop (s->loop, &shard->timer);
  MHD_stop_daemon (shard->daemon);
  if (shard->due)
    g_queue_unlink (&s->due, &shard->due_link);
  g_free (shard);
}

void
mq_http_shard_add (mq_http_shard *shard, int fd,
                   const struct sockaddr *address, socklen_t size)
{
  MHD_add_connection (shard->daemon, fd, address, size);
  mq_http_shard_wake (shard);
}

void
mq_http_shard_wake (mq_http_shard *shard)
{
  if (shard->due)
    return;
  shard->due = true;
  g_queue_push_tail_link (&shard->server->due, &shard->due_link);
}

/* What libmicrohttpd has done with what arrived on a connection since the last
   check.  */
typedef enum read_progress
{
  READ_NOTHING, /* There is nothing to read.  */
  READ_ON,
  READ_STALLED
} read_progress;

static read_progress
connection_check_reading (mq_http_connection *c)
{
  const mq_http_exchange *x = c->exchange;
  size_t unread = mq_http_connection_unread (c);
  size_t read = x == NULL ? 0 : x->body_bytes + x->discarded;
  bool same = unread == c->checked_unread && read == c->checked_read;

  c->checked_unread = unread;
  c->checked_read = read;
  if (unread == 0)
    return READ_NOTHING;
  return same ? READ_STALLED : READ_ON;
}

/* Close C, whose request libmicrohttpd can't read on, as the line before a
   chunk doesn't fit into its block.  It would try so again and again until C
   times out.  */
static void
connection_close_stalled (mq_http_connection *c)
{
  mq_http_exchange *x = c->exchange;

  if (!shard_discards_body (x))
    {
      x->malformed = true;
      mq_http_exchange_send_rejection (x, MHD_HTTP_BAD_REQUEST, "",
                                       MQ_SPAN (MALFORMED_HEAD));
      mq_http_server_report (x->server, MQ_HTTP_SERVER_HEAD_REJECTED, x);
    }
  /* libmicrohttpd doesn't see the shutdown of a socket that it can't read,
     but it checks the time limit of the connection.  */
  MHD_set_connection_option (x->mhd, MHD_CONNECTION_OPTION_TIMEOUT,
                             STALLED_TIMEOUT_S);
  shutdown (c->fd, SHUT_RDWR);
}

/* Check whether the connections of SHARD are read, and close those whose
   request is not.  Returns true if any is.  */
static bool
shard_check_reading (mq_http_shard *shard)
{
  bool reads = false;

  for (GList *l = shard->server->connections.head; l != NULL; l = l->next)
    {
      mq_http_connection *c = l->data;
      read_progress progress;

      if (c->shard != shard)
        continue;
      progress = connection_check_reading (c);
      reads = reads || progress == READ_ON;
      if (progress == READ_STALLED && c->exchange != NULL
          && c->exchange->phase == MQ_HTTP_PHASE_BODY)
        connection_close_stalled (c);
    }
  return reads;
}

/* SHARD has run, and libmicrohttpd made callbacks if it PROGRESSED.  Check
   what it does if it is DUE again at once too often.  */
static void
shard_note_run (mq_http_shard *shard, bool due, bool progressed)
{
  shard->immediate_runs = due ? shard->immediate_runs + 1 : 0;
  shard->idle_runs = due && !progressed ? shard->idle_runs + 1 : 0;
  if (shard->immediate_runs < MAX_IMMEDIATE_RUNS
      && shard->idle_runs < MAX_IMMEDIATE_RUNS)
    return;
  shard->immediate_runs = 0;
  if (shard_check_reading (shard))
    shard->idle_runs = 0;
}

/* Returns after how many seconds SHARD is to run again, which libmicrohttpd
   asks for in MS.  If the last runs did nothing, whatever another one could do
   comes with an event.  */
static ev_tstamp
shard_delay (const mq_http_shard *shard, MHD_UNSIGNED_LONG_LONG ms)
{
  return shard->idle_runs >= MAX_IMMEDIATE_RUNS ? IDLE_RUN_DELAY_S
                                                : (ev_tstamp)ms / 1000.;
}

void
mq_http_shard_run (mq_http_shard *shard)
{
  struct ev_loop *loop = shard->server->loop;
  MHD_UNSIGNED_LONG_LONG ms = 0;
  bool has_timeout = true;
  unsigned before = shard->callbacks;

  for (int i = 0; i < MAX_CONSECUTIVE_RUNS && has_timeout && ms == 0; i++)
    {
      MHD_run (shard->daemon);
      has_timeout = MHD_get_timeout (shard->daemon, &ms) == MHD_YES;
    }
  ev_timer_stop (loop, &shard->timer);
  shard_note_run (shard, has_timeout && ms == 0, shard->callbacks != before);
  if (!has_timeout)
    return;
  ev_timer_set (&shard->timer, shard_delay (shard, ms), 0.);
  ev_timer_start (loop, &shard->timer);
}
