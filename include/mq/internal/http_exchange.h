/* Internal to packages/net: an exchange as the server's modules see it.

   An exchange passes through its phases in order, and only forwards:

     HEAD -> BODY -> WAITING -> ANSWERED            (a whole reply)
                             -> STREAMING -> ENDED  (a streamed one)
     any of these -> CUT                            (aborted, or caller gone)

   Invariants: MHD is NULL once the connection has no more use for the
   exchange; SUSPENDED says that libmicrohttpd has put the connection aside
   and will not look at it before it is resumed; an exchange is in its
   server's list as long as MHD is set.  */

#ifndef MQ_INTERNAL_HTTP_EXCHANGE_H
#define MQ_INTERNAL_HTTP_EXCHANGE_H

#include <mq/http_server.h>
#include <mq/internal/http_server.h>

#include <microhttpd.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef enum mq_http_phase
{
  MQ_HTTP_PHASE_HEAD,      /* The request line has come.  */
  MQ_HTTP_PHASE_BODY,      /* The headers have come.  */
  MQ_HTTP_PHASE_WAITING,   /* The request was handed to the sink.  */
  MQ_HTTP_PHASE_ANSWERED,  /* The user gave the whole answer.  */
  MQ_HTTP_PHASE_STREAMING, /* The user began a stream.  */
  MQ_HTTP_PHASE_ENDED,     /* The user ended the stream.  */
  MQ_HTTP_PHASE_ABORTED    /* Nothing more is sent.  */
} mq_http_phase;

/* One connection, which carries one exchange after another.  */
typedef struct mq_http_connection
{
  mq_http_shard *shard;       /* Borrowed.  */
  mq_http_exchange *exchange; /* The present one, borrowed, or NULL.  */
  GList link;                 /* In the server's list.  */
  ev_tstamp since;            /* When it began to wait for a request.  */
  int fd;
  bool hung_up;     /* The caller has closed its side.  */
  mq_http_tls *tls; /* Its credentials, one reference, or NULL.  */
  char peer[64];
} mq_http_connection;

struct mq_http_exchange
{
  unsigned refs;
  mq_http_phase phase;
  mq_http_server *server;         /* Borrowed; NULL once that is freed.  */
  mq_http_connection *connection; /* Borrowed; NULL when MHD is.  */
  struct MHD_Connection *mhd;     /* Borrowed.  */
  struct MHD_Response *response;  /* Owned, until handed over.  */
  unsigned status;                /* Of the answer.  */
  GList link;                     /* In the server's list.  */
  void *user;
  bool suspended;
  bool over_limit; /* The body was larger than allowed.  */
  bool drain_due;  /* A DRAINED event is due when the queue shrinks.  */

  GStringChunk *text; /* Holds all that the spans below point to.  */
  GArray *headers;    /* mq_http_header.  */
  GArray *query;      /* mq_http_header, values decoded.  */
  mq_span method;
  mq_span path;
  mq_span query_string;
  mq_span peer;
  GString *body;
  size_t discarded; /* Bytes of an oversized body that were read.  */

  GString *queue; /* Bytes to send of a stream, from QUEUE_HEAD on.  */
  size_t queue_head;
};

/* A new exchange for the request line URI, with one reference.  */
mq_http_exchange *mq_http_exchange_new (mq_http_connection *connection,
                                        struct MHD_Connection *mhd,
                                        const char *uri);

/* Copy METHOD, headers and query arguments of the request.  */
void mq_http_exchange_read_head (mq_http_exchange *exchange,
                                 const char *method);

/* Report that the caller is gone, unless that was done, and cut.  */
void mq_http_exchange_on_disconnect (mq_http_exchange *exchange);

/* Forget the connection, which is done with the exchange.  */
void mq_http_exchange_detach (mq_http_exchange *exchange);

/* Of http_server.c: report an event about EXCHANGE to the sink.  */
void mq_http_server_report (mq_http_server *server,
                            mq_http_server_event_kind kind,
                            mq_http_exchange *exchange);

G_END_DECLS

#endif
