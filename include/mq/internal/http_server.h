/* Internal to packages/net: the server and its shards.

   A shard is one daemon of libmicrohttpd.  Whenever a suspended connection is
   resumed, libmicrohttpd iterates over all suspended connections of its
   daemon.  Each shard holds few connections, so that the cost of a token does
   not grow with the number of open streams.  Shards are created on demand and
   filled in order, so that a few connections need a single run.  */

#ifndef MQ_INTERNAL_HTTP_SERVER_H
#define MQ_INTERNAL_HTTP_SERVER_H

#include <mq/http_server.h>
#include <mq/internal/http_tls.h>

#include <microhttpd.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Bounds the connections of a server, over all shards.  */
#define MQ_HTTP_MAX_CONNECTIONS 16384

typedef struct mq_http_shard
{
  mq_http_server *server; /* Borrowed.  */
  struct MHD_Daemon *daemon;
  ev_io io;       /* The daemon's epoll descriptor.  */
  ev_timer timer; /* The daemon's next timeout.  */
  bool due;       /* In the server's queue of shards to run.  */
  GList due_link;
  unsigned n_connections;
  unsigned immediate_runs; /* In a row, after which it was due at once ...  */
  unsigned idle_runs;      /* ... of which so many last ones did nothing.  */
  unsigned callbacks;      /* From libmicrohttpd, so far.  */
  size_t block;            /* Memory of each of its connections, in bytes.  */
  bool outdated; /* BLOCK is smaller than the server's: the shard takes no
                    connections, and closes those it has.  */
} mq_http_shard;

struct mq_http_server
{
  struct ev_loop *loop; /* Borrowed.  */
  mq_http_server_sink sink;
  void *context;
  int listen_fd; /* -1 once the server has stopped listening.  */
  ev_io listen;
  ev_timer accept_pause; /* Ends a pause in accepting.  */
  ev_prepare prepare;    /* Runs the due shards before the loop sleeps.  */
  GPtrArray *shards;     /* mq_http_shard, owned.  */
  GQueue due;            /* Shards to run, borrowed.  */
  int hangup_fd;         /* Epoll set that detects callers hanging up.  */
  ev_io hangup;
  ev_timer sweep;        /* Closes connections of slow requests.  */
  GQueue connections;    /* mq_http_connection, owned by their shards.  */
  GQueue exchanges;      /* Those with an incomplete response, borrowed.  */
  mq_str *certificate;   /* Path, or NULL without TLS.  */
  mq_str *key;           /* Path.  */
  char *pem_certificate; /* Text as of the start, or NULL.  */
  char *pem_key;
  mq_http_tls *tls; /* For new connections; one reference, or NULL.  */
  unsigned idle_s;
  ev_tstamp head_timeout_s; /* Of the head of a request; 0: by IDLE_S.  */
  ev_tstamp idle_timeout_s; /* Of a connection without one; 0: likewise.  */
  unsigned connection_limit;
  uint64_t refused_connections; /* Closed unread at the limit.  */
  mq_resource_account *account; /* Borrowed, or OWN_ACCOUNT.  */
  mq_resource_account own_account;
  size_t memory; /* For all connections.  */
  size_t head_limit;
  size_t block; /* For each connection of a new shard; it only grows.  */
  size_t body_limit;
  bool ignores_bodies;
  uint16_t port;
  bool closing; /* Responses ask callers to close the connection.  */
  bool freeing; /* Being freed; reports nothing.  */
};

/* Creates a shard of SERVER; returns NULL if libmicrohttpd can't start one. */
mq_http_shard *mq_http_shard_new (mq_http_server *server);

/* Closes the shard's connections and frees it.  */
void mq_http_shard_free (mq_http_shard *shard);

/* Adds the connected socket FD to SHARD, which takes ownership.  */
void mq_http_shard_add (mq_http_shard *shard, int fd,
                        const struct sockaddr *address, socklen_t size);

/* Schedules SHARD to run before the loop next sleeps.  */
void mq_http_shard_wake (mq_http_shard *shard);

/* Runs SHARD now.  */
void mq_http_shard_run (mq_http_shard *shard);

G_END_DECLS

#endif
