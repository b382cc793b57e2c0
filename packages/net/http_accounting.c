/* What connections hold, towards the account of their server: see
   mq/internal/http_exchange.h.

   A connection waits for its client while a request arrives, while a response
   has bytes that the client has not read, and while more has arrived behind a
   request than a next one would have as its head.  Then it may be evicted.

   An eviction releases at once what no other module refers to, and shuts the
   socket down.  libmicrohttpd then closes the connection; a request in
   progress is reported as disconnected from the loop, as no request may end
   while another one is handled.  */

#include <mq/internal/http_exchange.h>

#include <sys/ioctl.h>
#include <sys/socket.h>

#define US_PER_S 1e6

/* Up to this size a buffer may be twice as large as what is in it.  */
#define DOUBLED_BYTES ((size_t)256 * 1024)
#define PAGE_BYTES ((size_t)4096)

#define NO_MEMORY                                                             \
  "{\"error\":{\"code\":\"no-memory\",\"reason\":\"this server has no "       \
  "memory for the request\",\"outcome\":\"not-run\"}}\n"

static uint64_t
connection_now_us (const mq_http_connection *connection)
{
  return (uint64_t)(ev_now (connection->shard->server->loop) * US_PER_S);
}

/* Returns the memory that a buffer with SIZE bytes takes.  */
static size_t
buffer_cost (size_t size)
{
  if (size == 0)
    return 0;
  return size <= DOUBLED_BYTES ? 2 * size : size + PAGE_BYTES;
}

static size_t
exchange_queued (const mq_http_exchange *exchange)
{
  return exchange->queue->len - exchange->queue_head;
}

/* Returns what CONNECTION holds beside what is fixed, if its request's body
   has BODY bytes.  */
static size_t
connection_bytes (const mq_http_connection *connection, size_t body)
{
  const mq_http_exchange *x = connection->exchange;

  if (x == NULL || x->evicted)
    return 0;
  return buffer_cost (body) + buffer_cost (exchange_queued (x))
         + x->reply_bytes + x->upstream_bytes + x->user_bytes
         + connection->unread;
}

static mq_resource_state
connection_state (const mq_http_connection *connection)
{
  const mq_http_exchange *x = connection->exchange;

  if (x == NULL)
    return MQ_RESOURCE_IDLE;
  switch (x->phase)
    {
    case MQ_HTTP_PHASE_HEAD:
    case MQ_HTTP_PHASE_BODY:
      return MQ_RESOURCE_ARRIVING;
    case MQ_HTTP_PHASE_ANSWERED:
    case MQ_HTTP_PHASE_ENDED:
    case MQ_HTTP_PHASE_ABORTED:
      return MQ_RESOURCE_UNREAD;
    case MQ_HTTP_PHASE_STREAMING:
      if (exchange_queued (x) > 0)
        return MQ_RESOURCE_UNREAD;
      break;
    case MQ_HTTP_PHASE_WAITING:
      break;
    }
  return connection->unread > connection->shard->server->head_limit
             ? MQ_RESOURCE_AHEAD
             : MQ_RESOURCE_BUSY;
}

static void
exchange_drop_buffer (GString **buffer)
{
  g_string_free (*buffer, TRUE);
  *buffer = g_string_new (NULL);
}

/* Returns true if the request of EXCHANGE was rejected while it arrived.  */
static bool
exchange_is_rejected (const mq_http_exchange *exchange)
{
  return exchange->head_rejected || exchange->malformed
         || exchange->over_limit;
}

/* Give up what EXCHANGE holds.  Its body stays once it was reported.  */
static void
exchange_evict (mq_http_exchange *exchange)
{
  exchange->evicted = true;
  if (exchange->phase <= MQ_HTTP_PHASE_BODY
      && !exchange_is_rejected (exchange))
    {
      exchange_drop_buffer (&exchange->body);
      mq_http_exchange_send_rejection (exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
                                       "Retry-After: 0.500\r\n",
                                       MQ_SPAN (NO_MEMORY));
      mq_http_server_report (exchange->server, MQ_HTTP_SERVER_EVICTED,
                             exchange);
    }
  exchange_drop_buffer (&exchange->queue);
  exchange->queue_head = 0;
}

static void
connection_evict (mq_resource_holder *holder)
{
  mq_http_connection *c = holder->context;

  if (c->exchange != NULL)
    exchange_evict (c->exchange);
  shutdown (c->fd, SHUT_RDWR);
  mq_http_shard_wake (c->shard);
}

void
mq_http_connection_enter (mq_http_connection *connection)
{
  mq_http_shard *s = connection->shard;

  connection->holder
      = (mq_resource_holder){ .group = s->server,
                              .fixed
                              = mq_http_memory_connection_size (s->block),
                              .files = 1,
                              .evict = connection_evict,
                              .context = connection };
  mq_resource_holder_enter (&connection->holder, s->server->account,
                            connection_now_us (connection));
}

void
mq_http_connection_leave (mq_http_connection *connection)
{
  mq_resource_holder_leave (&connection->holder);
}

void
mq_http_connection_account (mq_http_connection *connection)
{
  mq_http_connection *c = connection;
  const mq_http_exchange *x = c->exchange;
  uint64_t now = connection_now_us (c);

  if (x == NULL || x->phase < MQ_HTTP_PHASE_WAITING)
    c->unread = 0;
  mq_resource_holder_set_state (&c->holder, connection_state (c), now);
  mq_resource_holder_set (&c->holder,
                          connection_bytes (c, x == NULL ? 0 : x->body->len));
  /* What is ready for a client goes before what others wait with.  */
  mq_resource_account_reclaim (
      c->shard->server->account,
      c->holder.state == MQ_RESOURCE_UNREAD ? &c->holder : NULL, now);
}

bool
mq_http_connection_make_room (mq_http_connection *connection, size_t size)
{
  mq_http_exchange *x = connection->exchange;

  if (!mq_resource_holder_grow (
          &connection->holder,
          connection_bytes (connection, x->body->len + size),
          connection_now_us (connection)))
    {
      if (!x->evicted)
        exchange_evict (x);
      mq_resource_holder_set (&connection->holder, 0);
      return false;
    }
  return true;
}

size_t
mq_http_connection_unread (const mq_http_connection *connection)
{
  size_t decrypted = connection->tls_session == NULL
                         ? 0
                         : mq_http_tls_pending (connection->tls_session);
  int n = 0;

  if (ioctl (connection->fd, FIONREAD, &n) < 0)
    n = 0;
  return decrypted + (size_t)n;
}

void
mq_http_connection_note_unread (mq_http_connection *connection)
{
  const mq_http_exchange *x = connection->exchange;

  if (x == NULL || x->phase < MQ_HTTP_PHASE_WAITING || x->evicted)
    return;
  connection->unread = mq_http_connection_unread (connection);
  mq_http_connection_account (connection);
}

void
mq_http_exchange_set_upstream_bytes (mq_http_exchange *exchange, size_t bytes)
{
  if (exchange->upstream_bytes == bytes)
    return;
  exchange->upstream_bytes = bytes;
  if (exchange->connection != NULL)
    mq_http_connection_account (exchange->connection);
}

bool
mq_http_exchange_replace_body (mq_http_exchange *exchange, size_t bytes)
{
  mq_http_connection *c = exchange->connection;

  if (c != NULL
      && !mq_resource_holder_grow (&c->holder, connection_bytes (c, 0) + bytes,
                                   connection_now_us (c)))
    return false;
  exchange->user_bytes = bytes;
  exchange_drop_buffer (&exchange->body);
  return true;
}
