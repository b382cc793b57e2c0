/* Internal to packages/net: the server and its shards.

   A shard is one daemon of libmicrohttpd.  Each time a suspended connection
   is resumed, libmicrohttpd walks over all that its daemon has suspended; a
   shard holds few of them, so that a token of a stream costs the same however
   many streams are open.  Shards are made as connections come, and filled in
   order, so that few connections share one run.  */

#ifndef MQ_INTERNAL_HTTP_SERVER_H
#define MQ_INTERNAL_HTTP_SERVER_H

#include <mq/http_server.h>
#include <mq/internal/http_tls.h>

#include <microhttpd.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* The most connections of a server, whatever its shards.  */
#define MQ_HTTP_MAX_CONNECTIONS 16384

typedef struct mq_http_shard
{
  mq_http_server *server; /* Borrowed.  */
  struct MHD_Daemon *daemon;
  ev_io io;       /* The daemon's epoll set.  */
  ev_timer timer; /* Its next time-out.  */
  bool due;       /* In the server's queue of those to run.  */
  GList due_link;
  unsigned n_connections;
} mq_http_shard;

struct mq_http_server
{
  struct ev_loop *loop; /* Borrowed.  */
  mq_http_server_sink sink;
  void *context;
  int listen_fd; /* -1 once the server takes no new connections.  */
  ev_io listen;
  ev_timer accept_pause; /* Ends a pause in listening.  */
  ev_prepare prepare;    /* Runs what is due before the loop sleeps.  */
  GPtrArray *shards;     /* mq_http_shard, owned.  */
  GQueue due;            /* Shards to run, borrowed.  */
  int hangup_fd;         /* The epoll set of callers that hang up.  */
  ev_io hangup;
  ev_timer sweep;        /* Cuts requests that take too long to arrive.  */
  GQueue connections;    /* mq_http_connection, owned by their shards.  */
  GQueue exchanges;      /* Those not yet whole, borrowed.  */
  mq_str *certificate;   /* Path, or NULL without TLS.  */
  mq_str *key;           /* Path.  */
  char *pem_certificate; /* As it was at the start, or NULL.  */
  char *pem_key;
  mq_http_tls *tls; /* For new connections; one reference, or NULL.  */
  unsigned idle_s;
  unsigned connection_limit;
  size_t body_limit;
  uint16_t port;
  bool closing; /* Callers are told to close.  */
  bool freeing; /* Is being freed and reports nothing.  */
};

/* A new shard of SERVER, or NULL when libmicrohttpd can't start one.  */
mq_http_shard *mq_http_shard_new (mq_http_server *server);

/* Cut the shard's connections and free it.  */
void mq_http_shard_free (mq_http_shard *shard);

/* Give the connected socket FD, which the shard now owns, to SHARD.  */
void mq_http_shard_add (mq_http_shard *shard, int fd,
                        const struct sockaddr *address, socklen_t size);

/* Have SHARD run before the loop sleeps next.  */
void mq_http_shard_wake (mq_http_shard *shard);

/* Run SHARD now.  */
void mq_http_shard_run (mq_http_shard *shard);

G_END_DECLS

#endif
