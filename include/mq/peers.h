/* Connections between routers: ZeroMQ inside the program's libev loop.

   Each router binds one PULL socket, on which all peers' messages arrive, and
   connects one PUSH socket to each peer.  A message to a peer that is not
   connected is dropped at once and counted: nothing old is ever delivered
   late by us, and the decisions deal with loss anyhow.

   Every connection is encrypted and both ends are known by CURVE keys.  A
   router has one key pair of its own and a ring of public keys.  It takes a
   connection only from a client whose key is in the ring, and connects only
   to a server whose key is in the ring; anybody else gets nothing.  The usual
   set-up gives one pair to the whole fleet.  Rotation, without a moment in
   which two routers can't talk:
     1. give every router the ring { old, new };
     2. give every router the new pair;
     3. give every router the ring { new }.

   Where the deployment has no way to give secrets to its routers, there are
   no keys: connections are then neither encrypted nor proven, and the network
   between routers must be the users' own.

   Threads: libzmq itself runs one for input and output and one that closes
   sockets.  None of our code runs on them; the handshake's question whether
   a key is known is answered on our loop.  */

#ifndef MQ_PEERS_H
#define MQ_PEERS_H

#include <ev.h>
#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* A CURVE key in Z85, with its NUL.  */
#define MQ_PEER_KEY_TEXT_BYTES 41
#define MQ_PEER_MAX_RING_KEYS 8

#define MQ_PEERS_ERROR (mq_peers_error_quark ())
GQuark mq_peers_error_quark (void);

typedef enum mq_peers_error
{
  MQ_PEERS_ERROR_BIND, /* The address can't be bound.  */
  MQ_PEERS_ERROR_KEYS  /* A key file can't be read or holds no keys.  */
} mq_peers_error;

typedef struct mq_peer_keys
{
  char public_key[MQ_PEER_KEY_TEXT_BYTES];
  char secret_key[MQ_PEER_KEY_TEXT_BYTES];
  char ring[MQ_PEER_MAX_RING_KEYS][MQ_PEER_KEY_TEXT_BYTES]; /* Public keys.  */
  unsigned n_ring;
} mq_peer_keys;

/* A new pair, with itself as its ring.  */
void mq_peer_keys_generate (mq_peer_keys *keys);

/* Read KEYS from two text files: the pair, public key then secret key, each
   on a line; and the ring, a public key on each line.  Empty lines and those
   that begin with '#' do not count.  With no RING_PATH the ring holds the
   own public key.  Returns 0, or -1 with ERROR set.  */
int mq_peer_keys_load (mq_peer_keys *keys, const char *pair_path,
                       const char *ring_path, GError **error);

typedef struct mq_peers_counters
{
  uint64_t sent;
  uint64_t sent_bytes; /* Of messages, without what the wire adds.  */
  uint64_t received;
  uint64_t received_bytes;
  uint64_t dropped;  /* Not connected, or too much queued.  */
  uint64_t refused;  /* Handshakes with an unknown key.  */
  uint64_t accepted; /* Handshakes.  */
} mq_peers_counters;

/* A message came.  BYTES is borrowed.  */
typedef void (*mq_peers_sink) (void *context, mq_span bytes);

typedef struct mq_peers mq_peers;

/* Bind ADDRESS (an IP number) and PORT (0 lets the system choose) on LOOP.
   KEYS may be NULL: no encryption.
   NULL with ERROR set when that can't be done.  */
mq_peers *mq_peers_new (struct ev_loop *loop, mq_span address, uint16_t port,
                        const mq_peer_keys *keys, mq_peers_sink sink,
                        void *context, GError **error);

/* Close all.  Waits a moment for what is queued to be sent.  */
void mq_peers_free (mq_peers *peers);

uint16_t mq_peers_port (const mq_peers *peers);

/* Connect to, or cut off, the peer at ADDRESS (IP:PORT).  Connecting again to
   the same address does nothing.  */
void mq_peers_connect (mq_peers *peers, mq_span address);
void mq_peers_disconnect (mq_peers *peers, mq_span address);

/* Queue BYTES (copied) for the peer at ADDRESS.  Returns 0, or -1 when it was
   dropped.  */
int mq_peers_send (mq_peers *peers, mq_span address, mq_span bytes);

/* Use KEYS from now on.  Connections that are open go on, unless a key left
   the ring: then all are made anew.  */
void mq_peers_set_keys (mq_peers *peers, const mq_peer_keys *keys);

/* Is there a connection to ADDRESS that can take a message?  */
bool mq_peers_is_connected (mq_peers *peers, mq_span address);

/* Borrowed.  */
const mq_peers_counters *mq_peers_get_counters (const mq_peers *peers);

G_END_DECLS

#endif
