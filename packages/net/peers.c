/* Connections between routers: see mq/peers.h.

   The descriptor of a ZeroMQ socket is edge-triggered: it becomes readable
   when the state of the socket may have changed, and does not signal messages
   that were left unread.  Each of the two receiving sockets is therefore read
   until it is empty.  After a full batch, a timer without delay continues in
   the loop's next iteration.  The sending sockets are not watched: a message
   is either queued at once or dropped.

   A connection is tried with each server key of the ring in turn until the
   peer accepts one.  */

#include <mq/peers.h>

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include <mq/internal/span_table.h>
#include <mq/peer_message.h>

/* Messages read before the loop handles other events.  */
#define MAX_READS_PER_EVENT 256
/* Bounds the queue of each connection, at either end.  */
#define MAX_QUEUED_MESSAGES 1000
/* Connections that wait to be accepted; the system may set a lower limit.  All
   routers of a fleet that starts connect to the few in their settings at once,
   and one that is dropped is tried again only after a second.  */
#define LISTEN_BACKLOG 4096
#define LINGER_MS 200
#define CONNECT_TIMEOUT_MS 1000
#define MIN_RECONNECT_MS 200
#define MAX_RECONNECT_MS 2000
#define HANDSHAKE_TIMEOUT_MS 3000
/* A connection is closed if data stays unacknowledged for this long.  After a
   partition, a new connection is faster than TCP's retransmissions.  */
#define MAX_UNACKNOWLEDGED_MS 3000
/* Time to try one server key; allows several round trips between regions.  */
#define KEY_TRY_TIMEOUT_S 2.0
#define REBIND_INTERVAL_S 0.02
#define KEY_BYTES 32
#define ZAP_REQUEST_FRAMES 7
#define ZAP_DOMAIN "fleet"
/* Bytes that CURVE adds to a message.  */
#define CURVE_OVERHEAD_BYTES 33

/* A receiving socket on the loop.  */
typedef struct peers_reader
{
  mq_peers *peers; /* Borrowed.  */
  void *socket;    /* Owned.  */
  ev_io io;
  ev_timer reread_timer;
  int (*read) (mq_peers *peers); /* Reads one message; -1: none left.  */
} peers_reader;

/* The connection to one peer.  */
typedef struct peers_link
{
  mq_peers *peers; /* Borrowed.  */
  mq_str *address;
  void *socket; /* Owned.  */
  unsigned key; /* Index in the ring of the key being tried.  */
  ev_timer try_timer;
  gint64 used_us; /* Last send; monotonic.  */
} peers_link;

struct mq_peers_shared
{
  zmq_msg_t message; /* Counts the queues that refer to its bytes.  */
  size_t size;
};

struct mq_peers
{
  struct ev_loop *loop;
  void *context;
  mq_peer_keys keys;
  bool plain;         /* No keys: connections are not encrypted.  */
  peers_reader inbox; /* PULL  */
  peers_reader zap;   /* REP: authentication requests  */
  GHashTable *links;  /* address -> peers_link, owned  */
  mq_str *host;
  uint16_t port;
  ev_timer rebind;
  mq_peers_sink sink;
  void *sink_context;
  mq_peers_counters counters;
};

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

/* ---- Receiving.  */

static void
reader_drain (peers_reader *reader)
{
  int n = 0;

  while (n < MAX_READS_PER_EVENT && reader->read (reader->peers) == 0)
    n++;
  ev_timer_stop (reader->peers->loop, &reader->reread_timer);
  if (n < MAX_READS_PER_EVENT)
    return;
  ev_timer_set (&reader->reread_timer, 0., 0.);
  ev_timer_start (reader->peers->loop, &reader->reread_timer);
}

static void
reader_on_io (struct ev_loop *loop, ev_io *io, int revents)
{
  (void)loop;
  (void)revents;
  reader_drain (io->data);
}

static void
reader_on_reread (struct ev_loop *loop, ev_timer *timer, int revents)
{
  (void)loop;
  (void)revents;
  reader_drain (timer->data);
}

static void
reader_start (peers_reader *reader)
{
  int fd = -1;
  size_t size = sizeof fd;

  zmq_getsockopt (reader->socket, ZMQ_FD, &fd, &size);
  ev_io_init (&reader->io, reader_on_io, fd, EV_READ);
  reader->io.data = reader;
  ev_timer_init (&reader->reread_timer, reader_on_reread, 0., 0.);
  reader->reread_timer.data = reader;
  ev_io_start (reader->peers->loop, &reader->io);
  /* Messages that arrived before the descriptor was watched cause no edge.  */
  ev_timer_start (reader->peers->loop, &reader->reread_timer);
}

static void
reader_stop (peers_reader *reader)
{
  if (reader->socket == NULL)
    return;
  ev_io_stop (reader->peers->loop, &reader->io);
  ev_timer_stop (reader->peers->loop, &reader->reread_timer);
  zmq_close (reader->socket);
  reader->socket = NULL;
}

static int
inbox_read (mq_peers *peers)
{
  zmq_msg_t message;

  zmq_msg_init (&message);
  if (zmq_msg_recv (&message, peers->inbox.socket, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&message);
      return -1;
    }
  /* Valid messages have one part.  Each part of any other is delivered to the
     sink separately and fails to decode.  */
  peers->counters.received++;
  peers->counters.received_bytes += zmq_msg_size (&message);
  peers->sink (peers->sink_context,
               (mq_span){ zmq_msg_data (&message), zmq_msg_size (&message) });
  zmq_msg_close (&message);
  return 0;
}

/* ---- Handshakes: ZeroMQ's authentication protocol (RFC 27).  */

static bool
ring_has (const mq_peer_keys *keys, const uint8_t *key)
{
  bool found = false;

  for (unsigned i = 0; i < keys->n_ring; i++)
    {
      uint8_t known[KEY_BYTES];

      if (zmq_z85_decode (known, keys->ring[i]) != NULL)
        found |= sodium_memcmp (known, key, KEY_BYTES) == 0;
    }
  return found;
}

static void
zap_send (void *socket, const char *text, size_t size, int flags)
{
  zmq_send (socket, text, size, ZMQ_DONTWAIT | flags);
}

static void
zap_reply (mq_peers *peers, zmq_msg_t *id, bool known)
{
  void *socket = peers->zap.socket;
  const char *status = known ? "200" : "400";

  if (known)
    peers->counters.accepted++;
  else
    peers->counters.refused++;
  zap_send (socket, "1.0", 3, ZMQ_SNDMORE);
  zap_send (socket, zmq_msg_data (id), zmq_msg_size (id), ZMQ_SNDMORE);
  zap_send (socket, status, 3, ZMQ_SNDMORE);
  zap_send (socket, "", 0, ZMQ_SNDMORE);
  zap_send (socket, "", 0, ZMQ_SNDMORE);
  zap_send (socket, "", 0, 0);
}

/* Read one request: version, request id, domain, address, identity, mechanism
   and the client's public key.  */
static int
zap_read (mq_peers *peers)
{
  zmq_msg_t frames[ZAP_REQUEST_FRAMES];
  int n = 0;
  int more = 1;
  bool known = false;

  for (int i = 0; i < ZAP_REQUEST_FRAMES; i++)
    zmq_msg_init (&frames[i]);
  while (more && n < ZAP_REQUEST_FRAMES)
    {
      if (zmq_msg_recv (&frames[n], peers->zap.socket, ZMQ_DONTWAIT) < 0)
        break;
      more = zmq_msg_more (&frames[n]);
      n++;
    }
  if (n == ZAP_REQUEST_FRAMES && zmq_msg_size (&frames[5]) == 5
      && memcmp (zmq_msg_data (&frames[5]), "CURVE", 5) == 0
      && zmq_msg_size (&frames[6]) == KEY_BYTES)
    known = ring_has (&peers->keys, zmq_msg_data (&frames[6]));
  if (n > 1)
    zap_reply (peers, &frames[1], known);
  for (int i = 0; i < ZAP_REQUEST_FRAMES; i++)
    zmq_msg_close (&frames[i]);
  return n > 0 ? 0 : -1;
}

/* ---- Sending.  */

static bool
link_is_connected (peers_link *link)
{
  int events = 0;
  size_t size = sizeof events;

  zmq_getsockopt (link->socket, ZMQ_EVENTS, &events, &size);
  return (events & ZMQ_POLLOUT) != 0;
}

static void
link_open (peers_link *link)
{
  mq_peers *p = link->peers;
  char *endpoint = g_strconcat ("tcp://", mq_str_cstr (link->address), NULL);
  const char *server = p->keys.ring[link->key];

  link->socket = zmq_socket (p->context, ZMQ_PUSH);
  set_int (link->socket, ZMQ_IMMEDIATE, 1);
  set_int (link->socket, ZMQ_SNDHWM, MAX_QUEUED_MESSAGES);
  set_int (link->socket, ZMQ_LINGER, LINGER_MS);
  set_int (link->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  set_int (link->socket, ZMQ_RECONNECT_IVL, MIN_RECONNECT_MS);
  set_int (link->socket, ZMQ_RECONNECT_IVL_MAX, MAX_RECONNECT_MS);
  set_int (link->socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  set_int (link->socket, ZMQ_TCP_MAXRT, MAX_UNACKNOWLEDGED_MS);
  if (!p->plain)
    {
      zmq_setsockopt (link->socket, ZMQ_CURVE_SERVERKEY, server,
                      MQ_PEER_KEY_TEXT_BYTES);
      zmq_setsockopt (link->socket, ZMQ_CURVE_PUBLICKEY, p->keys.public_key,
                      MQ_PEER_KEY_TEXT_BYTES);
      zmq_setsockopt (link->socket, ZMQ_CURVE_SECRETKEY, p->keys.secret_key,
                      MQ_PEER_KEY_TEXT_BYTES);
    }
  zmq_connect (link->socket, endpoint);
  g_free (endpoint);
}

/* Returns the index of the key to try first: this router's own, if it is in
   the ring, as the fleet usually shares one pair.  */
static unsigned
link_first_key (const mq_peer_keys *keys)
{
  for (unsigned i = 0; i < keys->n_ring; i++)
    if (memcmp (keys->ring[i], keys->public_key, MQ_PEER_KEY_TEXT_BYTES) == 0)
      return i;
  return 0;
}

static void
link_close (peers_link *link, int linger_ms)
{
  if (link->socket == NULL)
    return;
  set_int (link->socket, ZMQ_LINGER, linger_ms);
  zmq_close (link->socket);
  link->socket = NULL;
}

/* If the link is not connected, reopen it with the ring's next key.  ZeroMQ
   does not retry by itself after a peer rejected a key.  */
static void
link_on_key_timeout (struct ev_loop *loop, ev_timer *timer, int revents)
{
  peers_link *link = timer->data;

  (void)loop;
  (void)revents;
  if (link->peers->plain || link_is_connected (link))
    return;
  link->key = (link->key + 1) % link->peers->keys.n_ring;
  link_close (link, 0);
  link_open (link);
}

static void
link_free (gpointer data)
{
  peers_link *link = data;

  ev_timer_stop (link->peers->loop, &link->try_timer);
  link_close (link, LINGER_MS);
  mq_str_unref (link->address);
  g_free (link);
}

static peers_link *
peers_find (const mq_peers *peers, mq_span address)
{
  return mq_span_table_find (peers->links, address);
}

/* ---- Binding.  */

static int
inbox_bind (mq_peers *peers)
{
  char endpoint[128];
  size_t size = sizeof endpoint;
  const char *colon;

  (void)snprintf (endpoint, sizeof endpoint, "tcp://%s:%u",
                  mq_str_cstr (peers->host), peers->port);
  if (zmq_bind (peers->inbox.socket, endpoint) < 0)
    return -1;
  zmq_getsockopt (peers->inbox.socket, ZMQ_LAST_ENDPOINT, endpoint, &size);
  colon = strrchr (endpoint, ':');
  peers->port = (uint16_t)g_ascii_strtoull (colon + 1, NULL, 10);
  return 0;
}

static void
inbox_set_keys (mq_peers *peers)
{
  zmq_setsockopt (peers->inbox.socket, ZMQ_CURVE_SECRETKEY,
                  peers->keys.secret_key, MQ_PEER_KEY_TEXT_BYTES);
}

static void
inbox_open (mq_peers *peers)
{
  void *s = zmq_socket (peers->context, ZMQ_PULL);

  peers->inbox.socket = s;
  if (!peers->plain)
    {
      set_int (s, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (s, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen (ZAP_DOMAIN));
    }
  set_int (s, ZMQ_BACKLOG, LISTEN_BACKLOG);
  set_int (s, ZMQ_RCVHWM, MAX_QUEUED_MESSAGES);
  set_int (s, ZMQ_LINGER, 0);
  set_int (s, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  zmq_setsockopt (
      s, ZMQ_MAXMSGSIZE,
      &(int64_t){ MQ_PEER_MAX_MESSAGE_BYTES + CURVE_OVERHEAD_BYTES },
      sizeof (int64_t));
  if (!peers->plain)
    inbox_set_keys (peers);
}

/* Retry to bind.  The previous listener closes on ZeroMQ's thread; until then
   the address can't be bound again.  */
static void
on_rebind (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_peers *peers = timer->data;

  (void)revents;
  if (inbox_bind (peers) == 0)
    ev_timer_stop (loop, timer);
}

static void
inbox_schedule_rebind (mq_peers *peers)
{
  ev_timer_stop (peers->loop, &peers->rebind);
  ev_timer_set (&peers->rebind, 0., REBIND_INTERVAL_S);
  ev_timer_start (peers->loop, &peers->rebind);
}

/* Accept new connections with the new pair; open ones continue.  */
static void
inbox_rebind (mq_peers *peers)
{
  char endpoint[128];

  (void)snprintf (endpoint, sizeof endpoint, "tcp://%s:%u",
                  mq_str_cstr (peers->host), peers->port);
  zmq_unbind (peers->inbox.socket, endpoint);
  inbox_set_keys (peers);
  inbox_schedule_rebind (peers);
}

/* Close and reopen all connections, so that no peer stays connected with a key
   that was removed from the ring.  Peers reconnect by themselves.  */
static void
peers_reopen_connections (mq_peers *peers)
{
  GHashTableIter i;
  gpointer value;

  reader_stop (&peers->inbox);
  inbox_open (peers);
  reader_start (&peers->inbox);
  inbox_schedule_rebind (peers);
  g_hash_table_iter_init (&i, peers->links);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      peers_link *link = value;

      link->key = link_first_key (&peers->keys);
      link_close (link, LINGER_MS);
      link_open (link);
    }
}

static bool
ring_removed_key (const mq_peer_keys *before, const mq_peer_keys *after)
{
  for (unsigned i = 0; i < before->n_ring; i++)
    {
      bool kept = false;

      for (unsigned k = 0; k < after->n_ring; k++)
        kept
            |= memcmp (before->ring[i], after->ring[k], MQ_PEER_KEY_TEXT_BYTES)
               == 0;
      if (!kept)
        return true;
    }
  return false;
}

/* ---- Public.  */

mq_peers *
mq_peers_new (struct ev_loop *loop, mq_span address, uint16_t port,
              const mq_peer_keys *keys, mq_peers_sink sink, void *context,
              GError **error)
{
  mq_peers *p = g_new0 (mq_peers, 1);

  p->loop = loop;
  p->context = zmq_ctx_new ();
  p->plain = keys == NULL;
  if (keys != NULL)
    p->keys = *keys;
  p->sink = sink;
  p->sink_context = context;
  p->host = mq_str_new (address);
  p->port = port;
  p->links = mq_span_table_new (link_free);
  p->inbox.peers = p;
  p->inbox.read = inbox_read;
  p->zap.peers = p;
  p->zap.read = zap_read;
  ev_timer_init (&p->rebind, on_rebind, 0., REBIND_INTERVAL_S);
  p->rebind.data = p;
  p->zap.socket = zmq_socket (p->context, ZMQ_REP);
  set_int (p->zap.socket, ZMQ_LINGER, 0);
  zmq_bind (p->zap.socket, "inproc://zeromq.zap.01");
  reader_start (&p->zap);
  inbox_open (p);
  reader_start (&p->inbox);
  if (inbox_bind (p) == 0)
    return p;
  g_set_error (error, MQ_PEERS_ERROR, MQ_PEERS_ERROR_BIND,
               "can't bind %s:%u for peers: %s", mq_str_cstr (p->host), port,
               zmq_strerror (errno));
  mq_peers_free (p);
  return NULL;
}

void
mq_peers_free (mq_peers *peers)
{
  if (peers == NULL)
    return;
  ev_timer_stop (peers->loop, &peers->rebind);
  g_hash_table_unref (peers->links);
  reader_stop (&peers->inbox);
  reader_stop (&peers->zap);
  zmq_ctx_term (peers->context);
  sodium_memzero (&peers->keys, sizeof peers->keys);
  mq_str_unref (peers->host);
  g_free (peers);
}

uint16_t
mq_peers_port (const mq_peers *peers)
{
  return peers->port;
}

void
mq_peers_connect (mq_peers *peers, mq_span address)
{
  peers_link *link;

  if (peers_find (peers, address) != NULL)
    return;
  link = g_new0 (peers_link, 1);
  link->peers = peers;
  link->key = link_first_key (&peers->keys);
  link->address = mq_str_new (address);
  ev_timer_init (&link->try_timer, link_on_key_timeout, KEY_TRY_TIMEOUT_S,
                 KEY_TRY_TIMEOUT_S);
  link->try_timer.data = link;
  link->used_us = g_get_monotonic_time ();
  link_open (link);
  if (!peers->plain)
    ev_timer_start (peers->loop, &link->try_timer);
  mq_span_table_add (peers->links, link->address, link);
}

void
mq_peers_disconnect (mq_peers *peers, mq_span address)
{
  mq_span_table_remove (peers->links, address);
}

static gboolean
link_is_idle (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  return ((const peers_link *)value)->used_us < *(const gint64 *)data;
}

unsigned
mq_peers_disconnect_idle (mq_peers *peers, double idle_s)
{
  gint64 since = g_get_monotonic_time () - (gint64)(idle_s * G_USEC_PER_SEC);

  return g_hash_table_foreach_remove (peers->links, link_is_idle, &since);
}

int
mq_peers_send (mq_peers *peers, mq_span address, mq_span bytes)
{
  peers_link *link = peers_find (peers, address);

  if (link != NULL)
    link->used_us = g_get_monotonic_time ();
  if (link == NULL || bytes.size > MQ_PEER_MAX_MESSAGE_BYTES
      || zmq_send (link->socket, bytes.data, bytes.size, ZMQ_DONTWAIT) < 0)
    {
      peers->counters.dropped++;
      return -1;
    }
  peers->counters.sent++;
  peers->counters.sent_bytes += bytes.size;
  return 0;
}

static void
shared_release (void *data, void *hint)
{
  (void)hint;
  g_free (data);
}

mq_peers_shared *
mq_peers_shared_new (GString *bytes)
{
  mq_peers_shared *s = g_new (mq_peers_shared, 1);

  s->size = bytes->len;
  zmq_msg_init_data (&s->message, g_string_free (bytes, FALSE), s->size,
                     shared_release, NULL);
  return s;
}

void
mq_peers_shared_free (mq_peers_shared *shared)
{
  if (shared == NULL)
    return;
  zmq_msg_close (&shared->message);
  g_free (shared);
}

size_t
mq_peers_shared_size (const mq_peers_shared *shared)
{
  return shared->size;
}

int
mq_peers_send_shared (mq_peers *peers, mq_span address,
                      const mq_peers_shared *shared)
{
  peers_link *link = peers_find (peers, address);
  zmq_msg_t copy;

  if (link != NULL)
    link->used_us = g_get_monotonic_time ();
  zmq_msg_init (&copy);
  if (link == NULL || shared->size > MQ_PEER_MAX_MESSAGE_BYTES
      || zmq_msg_copy (&copy, (zmq_msg_t *)&shared->message) < 0
      || zmq_msg_send (&copy, link->socket, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&copy);
      peers->counters.dropped++;
      return -1;
    }
  peers->counters.sent++;
  peers->counters.sent_bytes += shared->size;
  return 0;
}

void
mq_peers_set_keys (mq_peers *peers, const mq_peer_keys *keys)
{
  bool pair_changed = memcmp (peers->keys.secret_key, keys->secret_key,
                              MQ_PEER_KEY_TEXT_BYTES)
                      != 0;
  bool key_removed = ring_removed_key (&peers->keys, keys);

  peers->keys = *keys;
  if (key_removed)
    peers_reopen_connections (peers);
  else if (pair_changed)
    inbox_rebind (peers);
}

bool
mq_peers_is_connected (mq_peers *peers, mq_span address)
{
  peers_link *link = peers_find (peers, address);

  return link != NULL && link_is_connected (link);
}

const mq_peers_counters *
mq_peers_get_counters (const mq_peers *peers)
{
  return &peers->counters;
}
