/* Connections between routers: ZeroMQ on the program's libev loop.

   Each router binds one PULL socket, on which the messages of all peers
   arrive, and connects one PUSH socket to each peer.  A message to a peer that
   is not connected is dropped at once and counted.  Messages are therefore
   never delivered long after they were sent; the protocols above tolerate
   loss.

   Connections are encrypted, and both ends authenticate with CURVE keys.  A
   router has a key pair of its own and a ring of public keys.  It accepts a
   connection only from a client whose key is in the ring, and connects only
   to a server whose key is in the ring.  Usually the whole fleet shares one
   pair.  Keys are rotated without an interruption in three steps:
     1. give every router the ring { old, new };
     2. give every router the new pair;
     3. give every router the ring { new }.

   Keys may be left out where the deployment can't distribute secrets to its
   routers.  Connections are then neither encrypted nor authenticated, and the
   network between routers must be private.

   Threads: libzmq runs one for input and output and one that closes sockets.
   No code of this project runs on them; authentication requests of handshakes
   are answered on the loop.  */

#ifndef MQ_PEERS_H
#define MQ_PEERS_H

#include <ev.h>
#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* A CURVE key in Z85, with its terminating NUL.  */
#define MQ_PEER_KEY_TEXT_BYTES 41
/* Public keys in a ring.  */
#define MQ_PEER_MAX_RING_KEYS 8

#define MQ_PEERS_ERROR (mq_peers_error_quark ())
GQuark mq_peers_error_quark (void);

typedef enum mq_peers_error
{
  MQ_PEERS_ERROR_BIND, /* The address can't be bound.  */
  MQ_PEERS_ERROR_KEYS  /* A key file can't be read or is invalid.  */
} mq_peers_error;

typedef struct mq_peer_keys
{
  char public_key[MQ_PEER_KEY_TEXT_BYTES];
  char secret_key[MQ_PEER_KEY_TEXT_BYTES];
  char ring[MQ_PEER_MAX_RING_KEYS][MQ_PEER_KEY_TEXT_BYTES]; /* Public keys.  */
  unsigned n_ring;
} mq_peer_keys;

/* Generates a key pair; the ring holds its public key.  */
void mq_peer_keys_generate (mq_peer_keys *keys);

/* Reads KEYS from two text files.  PAIR_PATH holds the public key and then the
   secret key, each on a line; RING_PATH holds a public key on each line.
   Empty lines and those that begin with '#' are ignored.  If RING_PATH is
   NULL, the ring holds the public key of the pair.  Returns 0, or -1 with
   ERROR set.  */
int mq_peer_keys_load (mq_peer_keys *keys, const char *pair_path,
                       const char *ring_path, GError **error);

typedef struct mq_peers_counters
{
  uint64_t sent;
  uint64_t sent_bytes; /* Message sizes, without protocol overhead.  */
  uint64_t received;
  uint64_t received_bytes;
  uint64_t dropped;  /* Not connected, queue full, or message too long.  */
  uint64_t refused;  /* Handshakes with an unknown key.  */
  uint64_t accepted; /* Handshakes with a known key.  */
} mq_peers_counters;

/* Called for each message received.  BYTES is borrowed.  */
typedef void (*mq_peers_sink) (void *context, mq_span bytes);

typedef struct mq_peers mq_peers;

/* Binds ADDRESS (an IP address) and PORT (0 lets the system choose) on LOOP.
   KEYS is copied; NULL means neither encryption nor authentication.  Returns
   NULL with ERROR set if the address can't be bound.  */
mq_peers *mq_peers_new (struct ev_loop *loop, mq_span address, uint16_t port,
                        const mq_peer_keys *keys, mq_peers_sink sink,
                        void *context, GError **error);

/* Closes all connections.  Blocks for up to 200 ms until queued messages are
   sent.  */
void mq_peers_free (mq_peers *peers);

uint16_t mq_peers_port (const mq_peers *peers);

/* Connect to, or disconnect from, the peer at ADDRESS (IP:PORT).  Connecting
   to an address that is already connected has no effect.  */
void mq_peers_connect (mq_peers *peers, mq_span address);
void mq_peers_disconnect (mq_peers *peers, mq_span address);
/* Disconnect from the peers that nothing was sent to for IDLE_S seconds.
   Returns their number.  */
unsigned mq_peers_disconnect_idle (mq_peers *peers, double idle_s);

/* Queues BYTES, which are copied, for the peer at ADDRESS.  Returns 0, or -1
   if the message was dropped.  */
int mq_peers_send (mq_peers *peers, mq_span address, mq_span bytes);

/* A message that is sent to several peers.  Its bytes are kept once for all
   queues that it waits in.  */
typedef struct mq_peers_shared mq_peers_shared;

/* Returns a message with BYTES, which are stolen.  The caller frees it; that
   leaves what is queued alone.  */
mq_peers_shared *mq_peers_shared_new (GString *bytes);
void mq_peers_shared_free (mq_peers_shared *shared);
size_t mq_peers_shared_size (const mq_peers_shared *shared);

/* Queues SHARED, borrowed, as mq_peers_send does.  */
int mq_peers_send_shared (mq_peers *peers, mq_span address,
                          const mq_peers_shared *shared);

/* Uses KEYS, which are copied, from now on.  Open connections continue unless
   a key was removed from the ring; all are then closed and reopened.  */
void mq_peers_set_keys (mq_peers *peers, const mq_peer_keys *keys);

/* Returns true if a connection to ADDRESS can accept a message now.  */
bool mq_peers_is_connected (mq_peers *peers, mq_span address);

/* Returns the counters since the start; borrowed.  */
const mq_peers_counters *mq_peers_get_counters (const mq_peers *peers);

G_END_DECLS

#endif
