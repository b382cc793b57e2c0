/* One request and its response: see mq/http_server.h.

   The user writes into a queue, from which libmicrohttpd reads when the socket
   is writable.  While the queue is empty, the connection is suspended.  The
   first write of a loop iteration resumes it; later writes of the same
   iteration only append, so that all are sent in one chunk.  */

#include <mq/internal/http_exchange.h>
#include <mq/internal/http_header.h>

#include <string.h>
#include <sys/socket.h>

#define TEXT_CHUNK_BYTES 1024

/* Buffer size that libmicrohttpd needs for HTTP/1.0 callers, to which streams
   are sent without chunked encoding.  */
#define HTTP10_BUFFER_BYTES 4096

/* What a response's head has besides the headers that the user gives: the
   status line, Date, Connection and the framing of the body.  */
#define OWN_HEAD_BYTES 256
/* What separates a header's name, its value and the next header.  */
#define HEADER_SEPARATORS_BYTES 4

#define TOO_LARGE_RESPONSE                                                    \
  "{\"error\":{\"code\":\"response-head-too-large\",\"reason\":"              \
  "\"the head of the response exceeds this server's limit\","                 \
  "\"outcome\":\"unknown\"}}\n"

/* An empty queue with more allocated memory than this is freed.  */
#define MAX_KEPT_QUEUE_BYTES 4096

static mq_span
exchange_copy (mq_http_exchange *exchange, const char *data, size_t size)
{
  if (data == NULL)
    return (mq_span){ "", 0 };
  return (mq_span){
    g_string_chunk_insert_len (exchange->text, data, (gssize)size), size
  };
}

static mq_span
exchange_find (const GArray *pairs, const char *name)
{
  for (guint i = 0; i < pairs->len; i++)
    {
      const mq_http_header *h = &g_array_index (pairs, mq_http_header, i);

      if (mq_http_header_is (h, name))
        return h->value;
    }
  return (mq_span){ NULL, 0 };
}

static enum MHD_Result
exchange_add_pair (void *context, enum MHD_ValueKind kind, const char *name,
                   size_t name_size, const char *value, size_t value_size)
{
  mq_http_exchange *x = context;
  mq_http_header h = { exchange_copy (x, name, name_size),
                       exchange_copy (x, value, value_size) };

  x->head.records++;
  if (kind == MHD_HEADER_KIND)
    g_array_append_val (x->headers, h);
  else
    g_array_append_val (x->query, h);
  if (kind == MHD_HEADER_KIND && mq_http_header_is (&h, "Cookie"))
    x->head.cookie_bytes += value_size;
  return MHD_YES;
}

static enum MHD_Result
exchange_count_cookie (void *context, enum MHD_ValueKind kind,
                       const char *name, size_t name_size, const char *value,
                       size_t value_size)
{
  mq_http_exchange *x = context;

  (void)kind;
  (void)name;
  (void)name_size;
  (void)value;
  (void)value_size;
  x->head.records++;
  return MHD_YES;
}

/* Returns true if the connection has room for a response with HEADERS.  */
static bool
exchange_has_room (const mq_http_exchange *exchange,
                   const mq_http_header *headers, size_t n_headers)
{
  size_t size = OWN_HEAD_BYTES;

  for (size_t i = 0; i < n_headers; i++)
    size += headers[i].name.size + headers[i].value.size
            + HEADER_SEPARATORS_BYTES;
  return size <= mq_http_memory_response_room (
             exchange->connection->shard->block, &exchange->head);
}

static void
exchange_add_headers (mq_http_exchange *exchange,
                      struct MHD_Response *response,
                      const mq_http_header *headers, size_t n_headers)
{
  for (size_t i = 0; i < n_headers; i++)
    {
      const mq_http_header *h = &headers[i];
      char *name;
      char *value;

      /* libmicrohttpd rejects headers without a value.  */
      if (h->value.size == 0 || !mq_http_header_is_valid (h))
        continue;
      name = g_strndup (h->name.data, h->name.size);
      value = g_strndup (h->value.data, h->value.size);
      MHD_add_response_header (response, name, value);
      g_free (name);
      g_free (value);
    }
  if (exchange->server->closing || exchange->connection->shard->outdated
      || exchange->malformed)
    MHD_add_response_header (response, "Connection", "close");
}

/* Resume the connection if it is suspended.  */
static void
exchange_wake (mq_http_exchange *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  MHD_resume_connection (exchange->mhd);
  mq_http_shard_wake (exchange->connection->shard);
}

/* Send the complete response of EXCHANGE, which waits for it.  */
static void
exchange_reply (mq_http_exchange *exchange, unsigned status,
                const mq_http_header *headers, size_t n_headers, mq_span body)
{
  exchange->response = MHD_create_response_from_buffer (
      body.size, (void *)body.data, MHD_RESPMEM_MUST_COPY);
  exchange_add_headers (exchange, exchange->response, headers, n_headers);
  exchange->phase = MQ_HTTP_PHASE_ANSWERED;
  exchange->status = status;
  exchange->reply_bytes = body.size;
  mq_http_connection_account (exchange->connection);
  exchange_wake (exchange);
}

static size_t
exchange_queued (const mq_http_exchange *exchange)
{
  return exchange->queue->len - exchange->queue_head;
}

static void
exchange_clear_queue (mq_http_exchange *exchange)
{
  exchange->queue_head = 0;
  if (exchange->queue->allocated_len <= MAX_KEPT_QUEUE_BYTES)
    {
      g_string_truncate (exchange->queue, 0);
      return;
    }
  g_string_free (exchange->queue, TRUE);
  exchange->queue = g_string_new (NULL);
}

static void
exchange_report_drained (mq_http_exchange *exchange)
{
  if (!exchange->drain_due
      || exchange_queued (exchange) >= MQ_HTTP_STREAM_HIGH_WATER_BYTES / 2)
    return;
  exchange->drain_due = false;
  if (exchange->phase == MQ_HTTP_PHASE_STREAMING)
    mq_http_server_report (exchange->server, MQ_HTTP_SERVER_DRAINED, exchange);
}

/* Content reader callback of libmicrohttpd: copy up to MAX queued bytes.  */
static ssize_t
exchange_read_queue (void *context, uint64_t position, char *buffer,
                     size_t max)
{
  mq_http_exchange *x = context;
  size_t n = MIN (max, exchange_queued (x));

  (void)position;
  x->connection->shard->callbacks++;
  /* What was evicted of a response is missing.  */
  if (x->phase == MQ_HTTP_PHASE_ABORTED || x->evicted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0 && x->phase == MQ_HTTP_PHASE_ENDED)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n == 0)
    {
      x->suspended = true;
      MHD_suspend_connection (x->mhd);
      return 0;
    }
  memcpy (buffer, x->queue->str + x->queue_head, n);
  x->queue_head += n;
  if (x->queue_head == x->queue->len)
    exchange_clear_queue (x);
  mq_http_connection_account (x->connection);
  exchange_report_drained (x);
  return (ssize_t)n;
}

static void
exchange_response_freed (void *context)
{
  mq_http_exchange_unref (context);
}

/* Remove the sent bytes from the front of the queue if they are the larger
   part, so that its memory stays within twice the queued bytes.  */
static void
exchange_compact (mq_http_exchange *exchange)
{
  if (exchange->queue_head <= exchange->queue->len / 2)
    return;
  g_string_erase (exchange->queue, 0, (gssize)exchange->queue_head);
  exchange->queue_head = 0;
}

mq_http_exchange *
mq_http_exchange_new (mq_http_connection *connection,
                      struct MHD_Connection *mhd, const char *uri)
{
  mq_http_exchange *x = g_new0 (mq_http_exchange, 1);
  const char *mark = strchr (uri, '?');
  size_t path_size = mark == NULL ? strlen (uri) : (size_t)(mark - uri);

  x->refs = 1;
  x->phase = MQ_HTTP_PHASE_HEAD;
  x->server = connection->shard->server;
  x->connection = connection;
  x->mhd = mhd;
  x->link.data = x;
  x->started = ev_now (x->server->loop);
  x->text = g_string_chunk_new (TEXT_CHUNK_BYTES);
  x->headers = g_array_new (FALSE, FALSE, sizeof (mq_http_header));
  x->query = g_array_new (FALSE, FALSE, sizeof (mq_http_header));
  x->body = g_string_new (NULL);
  x->queue = g_string_new (NULL);
  x->path = exchange_copy (x, uri, path_size);
  if (mark != NULL)
    x->query_string = exchange_copy (x, mark + 1, strlen (mark + 1));
  x->peer = exchange_copy (x, connection->peer, strlen (connection->peer));
  return x;
}

void
mq_http_exchange_read_head (mq_http_exchange *exchange, const char *method)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      exchange->mhd, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  exchange->method = exchange_copy (exchange, method, strlen (method));
  exchange->head.bytes = info->header_size;
  MHD_get_connection_values_n (exchange->mhd, MHD_HEADER_KIND,
                               exchange_add_pair, exchange);
  MHD_get_connection_values_n (exchange->mhd, MHD_GET_ARGUMENT_KIND,
                               exchange_add_pair, exchange);
  MHD_get_connection_values_n (exchange->mhd, MHD_COOKIE_KIND,
                               exchange_count_cookie, exchange);
}

/* Abort the response.  The shutdown of its socket closes the connection: on an
   error of the content reader alone, libmicrohttpd 0.9.75 keeps a connection
   that it has just resumed open until its next event or timeout.  */
static void
exchange_abort (mq_http_exchange *exchange)
{
  exchange->phase = MQ_HTTP_PHASE_ABORTED;
  if (exchange->mhd == NULL)
    return;
  shutdown (exchange->connection->fd, SHUT_RDWR);
  exchange_wake (exchange);
}

void
mq_http_exchange_on_disconnect (mq_http_exchange *exchange)
{
  if (exchange->phase != MQ_HTTP_PHASE_WAITING
      && exchange->phase != MQ_HTTP_PHASE_STREAMING)
    return;
  mq_http_exchange_ref (exchange);
  exchange_abort (exchange);
  mq_http_server_report (exchange->server, MQ_HTTP_SERVER_DISCONNECTED,
                         exchange);
  mq_http_exchange_unref (exchange);
}

void
mq_http_exchange_detach (mq_http_exchange *exchange)
{
  /* A response that is not yet queued holds a reference to the exchange.
     Without this, neither would ever be freed.  */
  g_clear_pointer (&exchange->response, MHD_destroy_response);
  exchange->suspended = false;
  exchange->connection = NULL;
  exchange->mhd = NULL;
}

mq_http_exchange *
mq_http_exchange_ref (mq_http_exchange *exchange)
{
  exchange->refs++;
  return exchange;
}

void
mq_http_exchange_unref (mq_http_exchange *exchange)
{
  if (--exchange->refs > 0)
    return;
  g_clear_pointer (&exchange->response, MHD_destroy_response);
  g_string_chunk_free (exchange->text);
  g_array_unref (exchange->headers);
  g_array_unref (exchange->query);
  g_string_free (exchange->body, TRUE);
  g_string_free (exchange->queue, TRUE);
  g_free (exchange);
}

mq_span
mq_http_exchange_method (const mq_http_exchange *exchange)
{
  return exchange->method;
}

mq_span
mq_http_exchange_path (const mq_http_exchange *exchange)
{
  return exchange->path;
}

mq_span
mq_http_exchange_query (const mq_http_exchange *exchange, const char *name)
{
  return exchange_find (exchange->query, name);
}

mq_span
mq_http_exchange_header (const mq_http_exchange *exchange, const char *name)
{
  return exchange_find (exchange->headers, name);
}

const mq_http_header *
mq_http_exchange_headers (const mq_http_exchange *exchange, size_t *n)
{
  *n = exchange->headers->len;
  return (const mq_http_header *)(void *)exchange->headers->data;
}

mq_span
mq_http_exchange_body (const mq_http_exchange *exchange)
{
  return (mq_span){ exchange->body->str, exchange->body->len };
}

mq_span
mq_http_exchange_query_string (const mq_http_exchange *exchange)
{
  return exchange->query_string;
}

mq_span
mq_http_exchange_peer (const mq_http_exchange *exchange)
{
  return exchange->peer;
}

void
mq_http_exchange_set_rejection (mq_http_exchange *exchange, unsigned status)
{
  exchange->status = status;
}

void
mq_http_exchange_set_user (mq_http_exchange *exchange, void *user)
{
  exchange->user = user;
}

void *
mq_http_exchange_user (const mq_http_exchange *exchange)
{
  return exchange->user;
}

bool
mq_http_exchange_is_malformed (const mq_http_exchange *exchange)
{
  return exchange->malformed;
}

bool
mq_http_exchange_is_answered (const mq_http_exchange *exchange)
{
  return exchange->phase == MQ_HTTP_PHASE_ANSWERED
         || exchange->phase == MQ_HTTP_PHASE_ENDED;
}

void
mq_http_exchange_reject (mq_http_exchange *exchange, unsigned status,
                         mq_span body)
{
  static const mq_http_header type
      = { { "Content-Type", sizeof "Content-Type" - 1 },
          { "application/json", sizeof "application/json" - 1 } };

  exchange_reply (exchange, status, &type, 1, body);
}

bool
mq_http_exchange_reply (mq_http_exchange *exchange, unsigned status,
                        const mq_http_header *headers, size_t n_headers,
                        mq_span body)
{
  if (exchange->phase != MQ_HTTP_PHASE_WAITING || exchange->mhd == NULL)
    return true;
  if (!exchange_has_room (exchange, headers, n_headers))
    {
      mq_http_exchange_reject (exchange, MHD_HTTP_BAD_GATEWAY,
                               MQ_SPAN (TOO_LARGE_RESPONSE));
      return false;
    }
  exchange_reply (exchange, status, headers, n_headers, body);
  return true;
}

bool
mq_http_exchange_begin (mq_http_exchange *exchange, unsigned status,
                        const mq_http_header *headers, size_t n_headers)
{
  if (exchange->phase != MQ_HTTP_PHASE_WAITING || exchange->mhd == NULL)
    return true;
  if (!exchange_has_room (exchange, headers, n_headers))
    {
      mq_http_exchange_reject (exchange, MHD_HTTP_BAD_GATEWAY,
                               MQ_SPAN (TOO_LARGE_RESPONSE));
      return false;
    }
  exchange->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, HTTP10_BUFFER_BYTES, exchange_read_queue,
      mq_http_exchange_ref (exchange), exchange_response_freed);
  exchange_add_headers (exchange, exchange->response, headers, n_headers);
  exchange->phase = MQ_HTTP_PHASE_STREAMING;
  exchange->status = status;
  exchange_wake (exchange);
  return true;
}

size_t
mq_http_exchange_write (mq_http_exchange *exchange, mq_span data)
{
  size_t n;

  if (exchange->phase != MQ_HTTP_PHASE_STREAMING || exchange->mhd == NULL
      || exchange->evicted)
    return 0;
  exchange_compact (exchange);
  g_string_append_len (exchange->queue, data.data, (gssize)data.size);
  mq_http_connection_account (exchange->connection);
  n = exchange_queued (exchange);
  if (n >= MQ_HTTP_STREAM_HIGH_WATER_BYTES / 2)
    exchange->drain_due = true;
  if (n > 0)
    exchange_wake (exchange);
  return n;
}

void
mq_http_exchange_end (mq_http_exchange *exchange)
{
  if (exchange->phase != MQ_HTTP_PHASE_STREAMING)
    return;
  exchange->phase = MQ_HTTP_PHASE_ENDED;
  if (exchange->mhd == NULL)
    return;
  mq_http_connection_account (exchange->connection);
  exchange_wake (exchange);
}

void
mq_http_exchange_abort (mq_http_exchange *exchange)
{
  if (exchange->mhd == NULL || exchange->phase < MQ_HTTP_PHASE_WAITING
      || exchange->phase == MQ_HTTP_PHASE_ABORTED)
    return;
  exchange_abort (exchange);
}
