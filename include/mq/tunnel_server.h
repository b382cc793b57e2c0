/* Server of TCP tunnels to upstreams, for routers that do not reach these
   themselves.

   A router opens a tunnel with an HTTP CONNECT request that names the address
   of an upstream.  The server connects to that address and then copies bytes
   in both directions, unread and unchanged.  All decisions about the requests
   inside stay with the router that opened the tunnel.

   A tunnel leads to an upstream directly, never through another tunnel, so
   that tunnels can't form loops.

   How a tunnel ends is passed on: a connection that the upstream closed is
   closed in order, and one that it reset is reset.  All other ends, among them
   that of the process, reset it, so that a cut response never looks
   complete.  */

#ifndef MQ_TUNNEL_SERVER_H
#define MQ_TUNNEL_SERVER_H

#include <ev.h>
#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_tunnel_server mq_tunnel_server;

#define MQ_TUNNEL_SERVER_ERROR (mq_tunnel_server_error_quark ())
GQuark mq_tunnel_server_error_quark (void);

typedef enum mq_tunnel_server_error
{
  MQ_TUNNEL_SERVER_ERROR_ADDRESS /* The address can't be bound.  */
} mq_tunnel_server_error;

/* Statuses of replies to CONNECT other than 200.  */
#define MQ_TUNNEL_MALFORMED 400
#define MQ_TUNNEL_FORBIDDEN 403   /* Not the address of an upstream.  */
#define MQ_TUNNEL_UNREACHABLE 502 /* The upstream refused the connection.  */
#define MQ_TUNNEL_UNAVAILABLE 503 /* This router opens no tunnel now.  */
#define MQ_TUNNEL_NO_REPLY 504    /* The upstream did not reply in time.  */

/* Returns 0 if a tunnel to ADDRESS (IP:PORT) may be opened, or the status of
   the reply.  */
typedef unsigned (*mq_tunnel_check) (void *context, mq_span address);

/* The upstream at ADDRESS could not be connected to.  */
typedef void (*mq_tunnel_failure_sink) (void *context, mq_span address);

typedef struct mq_tunnel_server_options
{
  mq_span address;     /* IPv4 address to listen on.  */
  uint16_t port;       /* 0 lets the system choose.  */
  unsigned tunnels;    /* Concurrent tunnels; further ones get 503.  */
  uint64_t connect_ms; /* Time limit of a connection to an upstream.  */
  mq_tunnel_check check;
  mq_tunnel_failure_sink on_failure;
  void *context; /* Of both.  */
} mq_tunnel_server_options;

/* Creates a server on LOOP.  Returns NULL with ERROR set if the address can't
   be bound.  */
mq_tunnel_server *
mq_tunnel_server_new (struct ev_loop *loop,
                      const mq_tunnel_server_options *options, GError **error);
/* Resets all tunnels and frees SERVER, which may be NULL.  */
void mq_tunnel_server_free (mq_tunnel_server *server);

/* The port that the server listens on.  */
uint16_t mq_tunnel_server_port (const mq_tunnel_server *server);
/* Returns how many tunnels are open.  */
unsigned mq_tunnel_server_count (const mq_tunnel_server *server);
/* Returns how many of these wait for a response: the last bytes went to the
   upstream, or any bytes passed within QUIET_US.  */
unsigned mq_tunnel_server_count_busy (const mq_tunnel_server *server,
                                      uint64_t quiet_us);
/* Returns how many tunnels have been opened so far.  */
uint64_t mq_tunnel_server_total (const mq_tunnel_server *server);

G_END_DECLS

#endif
