/* HTTP client: see mq/http_client.h.

   libev watches the sockets and the timer of libcurl.  libcurl's callbacks
   only store the data received and put the call into the ready queue.  The
   user's sink runs after libcurl has returned, so that it may start, pause and
   cancel calls freely.

   Bytes that arrive on a kept connection while no response is due belong to
   none.  libcurl would read them as the response to the next request, so that
   the pre-request callback looks for them.

   A call counts as "maybe sent" from libcurl's pre-request callback on, which
   runs when a connection is established and the request is about to be
   written.  That is before the first byte, hence conservative.  libcurl
   resends a request by itself if it was written to a kept connection that
   turns out to be closed.  A call with ONCE therefore gets a connection of its
   own, and with ONCE or NO_RESEND the pre-request callback aborts a second
   attempt.

   Whether a response is whole is decided by mq_response_check alone.  Without
   its verdict no head is reported, no status is known, and no call ends as
   MQ_HTTP_OK.  libcurl reports the framing of chunks only to its debug
   function; should it not do so, a chunked response counts as cut.  The same
   holds for the reply of a tunnel server, which comes before the request is
   sent: its status counts only with a head that is whole.

   A body that is not streamed is held until it is complete.  Where many have
   no end, the limit of each is not enough, so that bodies share a room.
   Invariant: HELD is the sum of the bodies of the calls that share it.  */

#include <mq/http_client.h>

#include <mq/internal/http_request.h>
#include <mq/internal/socket_table.h>

#include <curl/curl.h>
#include <mq/log.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_MAX_BODY_BYTES ((size_t)1024 * 1024)
/* A reported body with more allocated memory than this is freed.  */
#define MAX_KEPT_BODY_BYTES ((size_t)16 * 1024)
/* Bytes of a streamed body that are read before they are reported.  */
#define MAX_UNREPORTED_BYTES ((size_t)64 * 1024)
/* Of a connection: what the system receives of a response before it is read.
 */
#define RECEIVE_BUFFER_BYTES (64 * 1024)
/* Bytes of its body that a call may hold even where there is no room.  */
#define OWN_ROOM_BYTES ((size_t)64 * 1024)

#define US_PER_S 1e6

/* Idle connections kept for reuse, over all upstreams.  */
#define MAX_IDLE_CONNECTIONS 1024L

struct mq_http_client
{
  struct ev_loop *loop; /* Borrowed.  */
  CURLM *multi;
  ev_timer timer;
  GQueue calls;        /* All, owned.  */
  GQueue ready;        /* Those with an event to report, borrowed.  */
  GString *spare_body; /* Swapped with a call's body while that is reported. */
  mq_str *ca_file;
  size_t body_room;          /* Of the calls that share it; 0: no limit.  */
  size_t held;               /* Bytes of it that are taken.  */
  mq_resource_holder holder; /* For HELD.  */
  mq_http_client_counters counters;
  mq_socket_table sockets; /* Of all connections but those with TLS.  */
};

/* A socket that is watched for libcurl.  */
typedef struct client_socket
{
  ev_io io;
  mq_http_client *client;
} client_socket;

struct mq_http_call
{
  mq_http_client *client; /* Borrowed.  */
  CURL *easy;
  struct curl_slist *headers;
  mq_http_client_sink sink;
  void *context;
  GList link;       /* In the client's calls.  */
  GList ready_link; /* In the client's ready queue.  */
  uint64_t timeout_ms;
  size_t body_limit;
  int fd; /* Of a connection that it opened, until that is used; or -1.  */
  mq_response_check check;
  mq_response_check tunnel_check; /* Of the tunnel server's reply.  */
  GString *body;                  /* Not yet reported.  */
  CURLcode code;                  /* Result, once ENDED.  */
  uint64_t received;              /* Bytes of heads and bodies.  */
  bool streamed;
  bool no_resend;
  bool maybe_sent;
  bool shares_room;
  bool tunnelled; /* Goes through a tunnel server.  */
  bool too_large; /* The body exceeds BODY_LIMIT or the room.  */
  bool is_ready;  /* In the ready queue.  */
  bool head_reported;
  bool ended;        /* libcurl has finished the call.  */
  bool end_reported; /* END was reported.  */
  bool is_tls;
  bool has_stray_bytes; /* Its connection was not used, and is closed.  */
  bool paused;
  bool throttled; /* Reads nothing until BODY is reported.  */
};

static void
client_mark_ready (mq_http_call *call)
{
  if (call->is_ready)
    return;
  call->is_ready = true;
  g_queue_push_tail_link (&call->client->ready, &call->ready_link);
}

/* Take N more bytes of the room.  Returns false if there are none.  */
static bool
client_take_room (mq_http_client *client, size_t n)
{
  if (client->body_room > 0 && client->held + n > client->body_room)
    return false;
  if (client->holder.account != NULL
      && !mq_resource_holder_grow (
          &client->holder, client->held + n,
          (uint64_t)(ev_now (client->loop) * US_PER_S)))
    return false;
  client->held += n;
  return true;
}

/* Take N more bytes, whether there are any or not.  */
static void
client_overdraw_room (mq_http_client *client, size_t n)
{
  client->held += n;
  mq_resource_holder_set (&client->holder, client->held);
}

static void
client_give_room (mq_http_client *client, size_t n)
{
  client->held -= n;
  mq_resource_holder_set (&client->holder, client->held);
}

/* Free CALL, which may be in progress.  */
static void
client_free_call (mq_http_call *call)
{
  mq_http_client *c = call->client;

  if (call->is_ready)
    g_queue_unlink (&c->ready, &call->ready_link);
  g_queue_unlink (&c->calls, &call->link);
  if (call->shares_room)
    client_give_room (c, call->body->len);
  curl_multi_remove_handle (c->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  mq_response_check_finish (&call->check);
  mq_response_check_finish (&call->tunnel_check);
  g_string_free (call->body, TRUE);
  g_free (call);
}

/* Header callback of libcurl.  A result of 0 has it close the connection.  */
static size_t
client_store_header (char *data, size_t unit, size_t count, void *context)
{
  mq_http_call *call = context;
  size_t n = unit * count;
  bool had_head = mq_response_check_has_head (&call->check);

  if (call->tunnelled && !call->maybe_sent)
    return mq_response_check_line (&call->tunnel_check, (mq_span){ data, n })
               ? n
               : 0;
  call->received += n;
  if (!mq_response_check_line (&call->check, (mq_span){ data, n }))
    return 0;
  if (had_head || !mq_response_check_has_head (&call->check))
    return n;
  if (call->check.framing == MQ_RESPONSE_CHUNKED)
    curl_easy_setopt (call->easy, CURLOPT_VERBOSE, 1L);
  client_mark_ready (call);
  return n;
}

/* Returns the call in progress whose body would be the largest of those that
   share the room once CALL's had N more bytes.  */
static mq_http_call *
client_largest (mq_http_call *call, size_t n)
{
  mq_http_call *largest = call;
  size_t size = call->body->len + n;

  for (GList *l = call->client->calls.head; l != NULL; l = l->next)
    {
      mq_http_call *other = l->data;

      if (!other->shares_room || other->ended || other->body->len <= size)
        continue;
      largest = other;
      size = other->body->len;
    }
  return largest;
}

/* End CALL, which libcurl runs and which is not the current one, as its body
   is too large.  libcurl is told when that is reported.  */
static void
client_give_up (mq_http_call *call)
{
  client_give_room (call->client, call->body->len);
  g_string_free (call->body, TRUE);
  call->body = g_string_new (NULL);
  call->code = CURLE_WRITE_ERROR;
  call->too_large = true;
  call->ended = true;
  client_mark_ready (call);
}

/* Make room for N more bytes of CALL's body.  Returns false if it is CALL that
   has to end for want of it.  */
static bool
client_make_room (mq_http_call *call, size_t n)
{
  mq_http_client *c = call->client;

  if (!call->shares_room)
    return true;
  while (!client_take_room (c, n))
    {
      mq_http_call *largest = client_largest (call, n);

      if (largest->body->len + (largest == call ? n : 0) <= OWN_ROOM_BYTES)
        {
          client_overdraw_room (c, n);
          return true;
        }
      if (largest == call)
        return false;
      client_give_up (largest);
    }
  return true;
}

static size_t
client_store_body (char *data, size_t unit, size_t count, void *context)
{
  mq_http_call *call = context;
  size_t n = unit * count;

  if (call->streamed && call->body->len > 0
      && call->body->len + n > MAX_UNREPORTED_BYTES)
    call->throttled = true;
  if (call->paused || call->throttled)
    return CURL_WRITEFUNC_PAUSE; /* libcurl delivers the bytes again later.  */
  call->received += n;
  mq_response_check_count_body (&call->check, n);
  if (call->ended || call->check.fault != MQ_RESPONSE_SOUND)
    return 0;
  if (!call->streamed
      && (call->body->len + n > call->body_limit
          || !client_make_room (call, n)))
    {
      call->too_large = true;
      return 0;
    }
  g_string_append_len (call->body, data, (gssize)n);
  if (call->streamed)
    client_mark_ready (call);
  return n;
}

static void
client_log_fault (const mq_http_call *call)
{
  const mq_response_check *k = &call->check;
  char *url = NULL;

  curl_easy_getinfo (call->easy, CURLINFO_EFFECTIVE_URL, &url);
  mq_log (
      G_LOG_LEVEL_INFO, "http.response-fault",
      "url=%s fault=%s framing=%s status=%u code=%d bytes=%" G_GUINT64_FORMAT
      " length=%" G_GUINT64_FORMAT,
      mq_log_quote (url), mq_response_fault_name (k->fault),
      mq_response_framing_name (k->framing), k->status, (int)call->code,
      k->body_bytes, k->length);
}

/* Judge the tunnel server's reply to CALL, if one has begun.  */
static void
client_end_tunnel_reply (mq_http_call *call)
{
  mq_response_check *k = &call->tunnel_check;
  char *url = NULL;

  if (k->fault == MQ_RESPONSE_SOUND && k->status == 0)
    return;
  if (mq_response_check_end (k, true) == MQ_RESPONSE_SOUND)
    return;
  curl_easy_getinfo (call->easy, CURLINFO_EFFECTIVE_URL, &url);
  mq_log (G_LOG_LEVEL_INFO, "http.tunnel-fault", "url=%s fault=%s status=%u",
          mq_log_quote (url), mq_response_fault_name (k->fault), k->status);
}

/* Judge the response to CALL, which has ended.  */
static void
client_end_response (mq_http_call *call)
{
  mq_http_client_counters *c = &call->client->counters;

  client_end_tunnel_reply (call);
  if (call->code == CURLE_OPERATION_TIMEDOUT || call->too_large)
    return;
  (void)mq_response_check_end (&call->check, call->code == CURLE_OK);
  if (call->received == 0)
    return;
  c->framings[call->check.framing]++;
  c->faults[call->check.fault]++;
  if (call->check.fault != MQ_RESPONSE_SOUND)
    client_log_fault (call);
}

/* End CALL, which libcurl runs, because of its response.  libcurl is told when
   that is reported.  */
static void
client_end_early (mq_http_call *call)
{
  call->code = CURLE_WRITE_ERROR;
  call->ended = true;
  client_end_response (call);
  client_mark_ready (call);
}

/* Debug callback of libcurl, which receives the body as it is on the wire.  */
static int
client_store_raw (CURL *easy, curl_infotype type, char *data, size_t size,
                  void *context)
{
  mq_http_call *call = context;

  if (type != CURLINFO_DATA_IN || call->check.framing != MQ_RESPONSE_CHUNKED)
    return 0;
  if (!mq_response_check_chunks (&call->check, (mq_span){ data, size })
      && !call->ended)
    client_end_early (call); /* Bytes without data have no other callback.  */
  /* libcurl drops what it has read behind the last chunk, and would take the
     rest of it for the next response.  */
  if (call->check.has_excess)
    curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  return 0;
}

/* Socket callbacks of libcurl.  */
static curl_socket_t
client_open_socket (void *context, curlsocktype purpose,
                    struct curl_sockaddr *address)
{
  mq_http_call *call = context;
  int size = RECEIVE_BUFFER_BYTES;

  (void)purpose;
  call->fd = socket (address->family, address->socktype | SOCK_CLOEXEC,
                     address->protocol);
  /* The system doubles it for its own needs.  */
  if (call->fd >= 0)
    (void)setsockopt (call->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  return call->fd;
}

static int
client_close_socket (void *context, curl_socket_t fd)
{
  mq_http_client *c = context;

  mq_socket_table_remove (&c->sockets, fd);
  return close (fd);
}

/* Returns true if the connection of CALL between ENDS is a kept one on which
   something has arrived since its last response: a second one, which no
   request is due.  Inside TLS that may be part of the protocol.  */
static bool
client_has_stray_bytes (mq_http_call *call, const mq_socket_ends *ends)
{
  mq_socket_table *sockets = &call->client->sockets;
  int fd;

  if (call->is_tls)
    return false;
  if (call->fd >= 0)
    {
      mq_socket_table_add (sockets, ends, call->fd);
      call->fd = -1;
      return false;
    }
  fd = mq_socket_table_find (sockets, ends);
  return fd >= 0 && mq_socket_has_input (fd);
}

/* Pre-request callback of libcurl.  A connection with stray bytes is closed,
   and the call made on another one (client_restart).  */
static int
client_before_request (void *context, char *remote_address,
                       char *local_address, int remote_port, int local_port)
{
  mq_http_call *call = context;
  const mq_socket_ends ends
      = { local_address, remote_address, local_port, remote_port };

  if (call->no_resend && call->maybe_sent)
    return CURL_PREREQFUNC_ABORT;
  if (client_has_stray_bytes (call, &ends))
    {
      call->has_stray_bytes = true;
      curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
      return CURL_PREREQFUNC_ABORT;
    }
  call->maybe_sent = true;
  /* Should libcurl open another tunnel to resend the request, the reply to
     that is no part of the response.  */
  if (call->tunnelled)
    curl_easy_setopt (call->easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
  return CURL_PREREQFUNC_OK;
}

static mq_http_result
client_result (const mq_http_call *call)
{
  curl_off_t total_us = 0;

  if (call->code == CURLE_OK && call->check.fault == MQ_RESPONSE_SOUND)
    return MQ_HTTP_OK;
  if (call->code != CURLE_OPERATION_TIMEDOUT)
    return call->maybe_sent ? MQ_HTTP_BROKEN : MQ_HTTP_CONNECT_FAILED;
  curl_easy_getinfo (call->easy, CURLINFO_TOTAL_TIME_T, &total_us);
  if (call->maybe_sent
      || (call->timeout_ms > 0
          && (uint64_t)total_us >= call->timeout_ms * 1000))
    return MQ_HTTP_TIMEOUT;
  return MQ_HTTP_CONNECT_FAILED;
}

/* Returns the status of the tunnel server's reply, or 0 if there was no whole
   one.  */
static unsigned
client_tunnel_status (const mq_http_call *call)
{
  return mq_response_check_has_head (&call->tunnel_check)
             ? call->tunnel_check.status
             : 0;
}

/* Make CALL, which libcurl has finished, again on a new connection if that
   which was to be used had stray bytes.  */
static bool
client_restart (mq_http_call *call)
{
  if (!call->has_stray_bytes)
    return false;
  call->has_stray_bytes = false;
  call->client->counters.stray++;
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 0L);
  return curl_multi_add_handle (call->client->multi, call->easy) == CURLM_OK;
}

/* Mark the calls that libcurl has finished as ended.  */
static void
client_collect (mq_http_client *client)
{
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      CURLcode result = m->data.result;
      char *data = NULL;
      mq_http_call *call;

      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, &data);
      call = (mq_http_call *)(void *)data;
      if (call->ended)
        continue; /* Given up.  */
      if (client_restart (call))
        continue;
      call->code = result;
      call->ended = true;
      client_end_response (call);
      client_mark_ready (call);
    }
}

/* Fill EVENT with the next event of CALL.  Returns false if there is none.  */
static bool
client_next_event (mq_http_call *call, mq_http_client_event *event)
{
  *event = (mq_http_client_event){ .call = call,
                                   .result = MQ_HTTP_OK,
                                   .status = mq_http_call_status (call),
                                   .maybe_sent = call->maybe_sent,
                                   .framing = call->check.framing,
                                   .fault = call->check.fault,
                                   .too_large = call->too_large };
  if (mq_response_check_has_head (&call->check) && !call->head_reported)
    {
      call->head_reported = true;
      event->kind = MQ_HTTP_CLIENT_HEADERS;
      return true;
    }
  if (call->paused)
    return false;
  if (call->streamed && call->body->len > 0)
    {
      event->kind = MQ_HTTP_CLIENT_DATA;
      return true;
    }
  if (!call->ended)
    return false;
  call->end_reported = true;
  event->kind = MQ_HTTP_CLIENT_END;
  event->result = client_result (call);
  event->tunnel_status = client_tunnel_status (call);
  event->data = (mq_span){ call->body->str, call->body->len };
  return true;
}

/* Report a DATA event.  The sink may free CALL, so its body is swapped with
   the client's spare one first.  */
static void
client_report_data (mq_http_call *call, mq_http_client_event *event)
{
  mq_http_client *c = call->client;
  GString *body = call->body;

  call->body = c->spare_body;
  c->spare_body = body;
  event->data = (mq_span){ body->str, body->len };
  if (call->throttled)
    {
      call->throttled = false;
      curl_easy_pause (call->easy, CURLPAUSE_CONT);
    }
  call->sink (call->context, event);
  g_string_truncate (body, 0);
  if (body->allocated_len <= MAX_KEPT_BODY_BYTES)
    return;
  g_string_free (body, TRUE);
  c->spare_body = g_string_new (NULL);
}

/* Report the next event of CALL.  */
static void
client_report (mq_http_call *call)
{
  mq_http_client_event e;

  if (!client_next_event (call, &e))
    return;
  switch (e.kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      client_mark_ready (call);
      call->sink (call->context, &e);
      break;
    case MQ_HTTP_CLIENT_DATA:
      client_mark_ready (call);
      client_report_data (call, &e);
      break;
    case MQ_HTTP_CLIENT_END:
      call->sink (call->context, &e);
      client_free_call (call);
      break;
    }
}

/* Report all events.  A call is queued again before each event is reported, so
   that a sink may cancel this or another call at any time.  */
static void
client_report_all (mq_http_client *client)
{
  GList *l;

  client_collect (client);
  while ((l = g_queue_pop_head_link (&client->ready)) != NULL)
    {
      mq_http_call *call = l->data;

      call->is_ready = false;
      client_report (call);
    }
}

static void
client_act (mq_http_client *client, curl_socket_t fd, int events)
{
  int running;

  curl_multi_socket_action (client->multi, fd, events, &running);
  client_report_all (client);
}

static void
client_socket_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  client_socket *s = watcher->data;
  int bits = (events & EV_READ ? CURL_CSELECT_IN : 0)
             | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  (void)loop;
  client_act (s->client, watcher->fd, bits);
}

static void
client_timer_ready (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  client_act (watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

/* Socket callback of libcurl: watch FD for WHAT.  */
static int
client_watch_socket (CURL *easy, curl_socket_t fd, int what, void *context,
                     void *slot)
{
  mq_http_client *c = context;
  client_socket *s = slot;
  int events = (what & CURL_POLL_IN ? EV_READ : 0)
               | (what & CURL_POLL_OUT ? EV_WRITE : 0);

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (s != NULL)
        ev_io_stop (c->loop, &s->io);
      g_free (s);
      curl_multi_assign (c->multi, fd, NULL);
      return 0;
    }
  if (s == NULL)
    {
      s = g_new0 (client_socket, 1);
      s->client = c;
      ev_io_init (&s->io, client_socket_ready, fd, events);
      s->io.data = s;
      curl_multi_assign (c->multi, fd, s);
    }
  else
    {
      ev_io_stop (c->loop, &s->io);
      ev_io_set (&s->io, fd, events);
    }
  ev_io_start (c->loop, &s->io);
  return 0;
}

/* Timer callback of libcurl: call it in MS milliseconds, or never (-1).  */
static int
client_watch_timer (CURLM *multi, long ms, void *context)
{
  mq_http_client *c = context;

  (void)multi;
  ev_timer_stop (c->loop, &c->timer);
  if (ms < 0)
    return 0;
  ev_timer_set (&c->timer, (ev_tstamp)ms / 1000., 0.);
  ev_timer_start (c->loop, &c->timer);
  return 0;
}

/* End CALL, which libcurl doesn't run, with CODE.  Its sink is called later
   from the loop.  */
static void
client_fail_later (mq_http_call *call, CURLcode code)
{
  call->code = code;
  call->ended = true;
  client_mark_ready (call);
  ev_feed_event (call->client->loop, &call->client->timer, EV_TIMER);
}

static void
client_add (mq_http_call *call, const mq_http_call_options *options)
{
  if (!mq_http_request_is_valid (options))
    client_fail_later (call, CURLE_URL_MALFORMAT);
  else if (curl_multi_add_handle (call->client->multi, call->easy) != CURLM_OK)
    client_fail_later (call, CURLE_FAILED_INIT);
}

static void
client_set_up (mq_http_call *call, const mq_http_call_options *options)
{
  CURL *e = call->easy;

  call->headers = mq_http_request_apply (e, options);
  curl_easy_setopt (e, CURLOPT_PRIVATE, call);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, client_store_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, client_store_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (e, CURLOPT_DEBUGFUNCTION, client_store_raw);
  curl_easy_setopt (e, CURLOPT_DEBUGDATA, call);
  curl_easy_setopt (e, CURLOPT_OPENSOCKETFUNCTION, client_open_socket);
  curl_easy_setopt (e, CURLOPT_OPENSOCKETDATA, call);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETFUNCTION, client_close_socket);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETDATA, call->client);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, client_before_request);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, call);
  if (call->client->ca_file == NULL)
    return;
  curl_easy_setopt (e, CURLOPT_CAINFO, mq_str_cstr (call->client->ca_file));
  curl_easy_setopt (e, CURLOPT_CAPATH, NULL); /* Trust no other CA.  */
}

mq_http_client *
mq_http_client_new (struct ev_loop *loop, mq_span ca_file)
{
  mq_http_client *c = g_new0 (mq_http_client, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  c->loop = loop;
  c->ca_file = ca_file.size == 0 ? NULL : mq_str_new (ca_file);
  c->spare_body = g_string_new (NULL);
  mq_socket_table_init (&c->sockets);
  g_queue_init (&c->calls);
  g_queue_init (&c->ready);
  ev_timer_init (&c->timer, client_timer_ready, 0., 0.);
  c->timer.data = c;
  c->multi = curl_multi_init ();
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, client_watch_socket);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, client_watch_timer);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  return c;
}

void
mq_http_client_set_body_room (mq_http_client *client, size_t bytes)
{
  client->body_room = bytes;
}

void
mq_http_client_set_account (mq_http_client *client,
                            mq_resource_account *account)
{
  client->holder.is_pool = true;
  mq_resource_holder_enter (&client->holder, account,
                            (uint64_t)(ev_now (client->loop) * US_PER_S));
  mq_resource_holder_set_state (&client->holder, MQ_RESOURCE_BUSY, 0);
}

const mq_http_client_counters *
mq_http_client_get_counters (const mq_http_client *client)
{
  return &client->counters;
}

void
mq_http_client_free (mq_http_client *client)
{
  mq_http_call *call;

  if (client == NULL)
    return;
  while ((call = g_queue_peek_head (&client->calls)) != NULL)
    client_free_call (call);
  curl_multi_cleanup (client->multi);
  mq_socket_table_finish (&client->sockets);
  ev_timer_stop (client->loop, &client->timer);
  mq_resource_holder_leave (&client->holder);
  g_string_free (client->spare_body, TRUE);
  mq_str_unref (client->ca_file);
  g_free (client);
  curl_global_cleanup ();
}

mq_http_call *
mq_http_client_start (mq_http_client *client,
                      const mq_http_call_options *options,
                      mq_http_client_sink sink, void *context)
{
  mq_http_call *call = g_new0 (mq_http_call, 1);
  const mq_response_rules rules
      = { .echo_name = options->echo_name,
          .echo_value = options->echo_value,
          .single = options->single,
          .not_run = options->not_run,
          .has_no_body = mq_span_equal (options->method, MQ_SPAN ("HEAD")) };
  /* libcurl passes over the body of a reply that rejects the tunnel.  */
  const mq_response_rules tunnel_rules = { .has_no_body = true };

  call->client = client;
  call->sink = sink;
  call->context = context;
  call->link.data = call;
  call->ready_link.data = call;
  call->timeout_ms = options->timeout_ms;
  call->body_limit = options->body_limit == 0 ? DEFAULT_MAX_BODY_BYTES
                                              : options->body_limit;
  call->streamed = options->streamed;
  call->shares_room = options->shares_room && !options->streamed;
  call->tunnelled = options->tunnel.size > 0;
  mq_response_check_init (&call->check, &rules);
  call->fd = -1;
  call->is_tls = mq_span_starts_with (options->url, MQ_SPAN ("https:"));
  mq_response_check_init (&call->tunnel_check, &tunnel_rules);
  call->no_resend = options->once || options->no_resend;
  call->body = g_string_new (NULL);
  call->easy = curl_easy_init ();
  client_set_up (call, options);
  g_queue_push_tail_link (&client->calls, &call->link);
  client_add (call, options);
  return call;
}

bool
mq_http_call_maybe_sent (const mq_http_call *call)
{
  return call->maybe_sent;
}

bool
mq_http_call_is_open (const mq_http_call *call)
{
  return !call->end_reported;
}

uint64_t
mq_http_call_received (const mq_http_call *call)
{
  return call->received;
}

void
mq_http_call_cancel (mq_http_call *call)
{
  if (!call->end_reported)
    client_free_call (call);
}

void
mq_http_call_pause (mq_http_call *call, bool paused)
{
  mq_http_client *c = call->client;

  if (call->paused == paused)
    return;
  call->paused = paused;
  if (!call->throttled)
    curl_easy_pause (call->easy, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
  if (paused)
    return;
  client_mark_ready (call);
  ev_feed_event (c->loop, &c->timer, EV_TIMER);
}

bool
mq_http_call_is_paused (const mq_http_call *call)
{
  return call->paused;
}

unsigned
mq_http_call_status (const mq_http_call *call)
{
  return mq_response_check_has_head (&call->check) ? call->check.status : 0;
}

mq_span
mq_http_call_head (const mq_http_call *call)
{
  if (!mq_response_check_has_head (&call->check))
    return (mq_span){ NULL, 0 };
  return (mq_span){ call->check.head->str, call->check.head->len };
}

mq_span
mq_http_call_header (const mq_http_call *call, const char *name)
{
  return mq_response_head_find (mq_http_call_head (call), name);
}
