/* Internal to packages/net: an exchange as shared by the server's modules.

   An exchange passes through its phases in this order:

     HEAD -> BODY -> WAITING -> ANSWERED            (a complete reply)
                             -> STREAMING -> ENDED  (a streamed reply)
     any of these -> ABORTED         (by the user, or caller disconnected)

   Invariants: MHD is NULL once the connection no longer needs the exchange.
   SUSPENDED is true while libmicrohttpd does not process the connection.  An
   exchange is in its server's list as long as MHD is set.  */

#ifndef MQ_INTERNAL_HTTP_EXCHANGE_H
#define MQ_INTERNAL_HTTP_EXCHANGE_H

#include <mq/http_server.h>
#include <mq/internal/http_memory.h>
#include <mq/internal/http_server.h>

#include <microhttpd.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef enum mq_http_phase
{
  MQ_HTTP_PHASE_HEAD,      /* The request line has arrived.  */
  MQ_HTTP_PHASE_BODY,      /* The headers have arrived.  */
  MQ_HTTP_PHASE_WAITING,   /* The request was reported to the sink.  */
  MQ_HTTP_PHASE_ANSWERED,  /* The user gave the complete reply.  */
  MQ_HTTP_PHASE_STREAMING, /* The user began a stream.  */
  MQ_HTTP_PHASE_ENDED,     /* The user ended the stream.  */
  MQ_HTTP_PHASE_ABORTED    /* Nothing more is sent.  */
} mq_http_phase;

/* One connection, which carries exchanges one after another.  */
typedef struct mq_http_connection
{
  mq_http_shard *shard;       /* Borrowed.  */
  mq_http_exchange *exchange; /* The current one, borrowed, or NULL.  */
  GList link;                 /* In the server's list.  */
  ev_tstamp since;            /* When it began to wait for a request.  */
  int fd;
  mq_http_tls *tls;  /* Its credentials, one reference; NULL without TLS.  */
  void *tls_session; /* libmicrohttpd's; NULL without TLS.  */
  mq_resource_holder holder; /* What it takes of the server's account.  */
  size_t unread; /* Bytes that arrived behind a request in progress, as last
                    seen.  */
  size_t checked_unread; /* Bytes that waited to be read, and those read of the
                            body, when it was last checked that it is read.  */
  size_t checked_read;
  char peer[64];
} mq_http_connection;

struct mq_http_exchange
{
  unsigned refs;
  mq_http_phase phase;
  mq_http_server *server; /* Borrowed; not used once the server is freed.  */
  mq_http_connection *connection; /* Borrowed; NULL when MHD is.  */
  struct MHD_Connection *mhd;     /* Borrowed.  */
  struct MHD_Response *response;  /* Owned until queued with libmicrohttpd.  */
  unsigned status;                /* Of the response, or of the rejection of an
                                     oversized body.  */
  GList link;                     /* In the server's list.  */
  void *user;
  bool suspended;
  bool over_limit;     /* The body exceeds the limit.  */
  bool head_rejected;  /* The head does.  */
  bool malformed;      /* The headers are.  */
  bool rejection_sent; /* A rejection was written to the connection, past
                          libmicrohttpd.  */
  bool evicted;        /* What it held was given up; nothing more is held.  */
  bool drain_due;      /* Report DRAINED when the queue has shrunk.  */

  GStringChunk *text; /* Storage of the spans below.  */
  GArray *headers;    /* mq_http_header.  */
  GArray *query;      /* mq_http_header, values decoded.  */
  mq_span method;
  mq_span path;
  mq_span query_string;
  mq_span peer;
  GString *body;
  size_t body_bytes;     /* That have arrived of it.  */
  size_t reply_bytes;    /* Of a complete reply, which libmicrohttpd holds.  */
  size_t upstream_bytes; /* See mq_http_exchange_set_upstream_bytes.  */
  size_t user_bytes;     /* See mq_http_exchange_replace_body.  */
  ev_tstamp rejection_sent_at;
  ev_tstamp started;      /* The request line had arrived.  */
  size_t discarded;       /* Bytes of the body of a rejected request that were
                             discarded.  */
  mq_http_head_size head; /* Of the request.  */

  GString *queue; /* Bytes of a stream; those from QUEUE_HEAD on are unsent. */
  size_t queue_head;
};

/* Creates an exchange for the request target URI, with one reference.  */
mq_http_exchange *mq_http_exchange_new (mq_http_connection *connection,
                                        struct MHD_Connection *mhd,
                                        const char *uri);

/* Copies METHOD, the headers and the query arguments of the request.  */
void mq_http_exchange_read_head (mq_http_exchange *exchange,
                                 const char *method);

/* Aborts EXCHANGE and reports the disconnection, unless the response is
   already complete or aborted.  */
void mq_http_exchange_on_disconnect (mq_http_exchange *exchange);

/* Detaches EXCHANGE from its connection, which no longer needs it.  */
void mq_http_exchange_detach (mq_http_exchange *exchange);

/* Sends the complete response STATUS with BODY, JSON text, to a request that
   waits for it, without a check of the room that the connection has.  */
void mq_http_exchange_reject (mq_http_exchange *exchange, unsigned status,
                              mq_span body);

/* In http_accounting.c: what CONNECTION holds.

   Enters CONNECTION, of which SHARD and FD are set, into the account of its
   server, and takes it out.  */
void mq_http_connection_enter (mq_http_connection *connection);
void mq_http_connection_leave (mq_http_connection *connection);
/* Accounts for what CONNECTION holds now, and has others evicted where that is
   too much.  */
void mq_http_connection_account (mq_http_connection *connection);
/* Makes room for SIZE more bytes of the body of CONNECTION's request.  Returns
   false if there is none, or if the request was evicted.  */
bool mq_http_connection_make_room (mq_http_connection *connection,
                                   size_t size);
/* Returns the bytes that CONNECTION has received and libmicrohttpd has not
   read.  */
size_t mq_http_connection_unread (const mq_http_connection *connection);
/* Notes that bytes have arrived behind a request in progress.  */
void mq_http_connection_note_unread (mq_http_connection *connection);

/* In http_shard.c: writes a complete response with STATUS, HEADERS (lines) and
   BODY, JSON text or empty, past libmicrohttpd, unless that isn't possible.
   Nothing more is written to the connection.  */
void mq_http_exchange_send_rejection (mq_http_exchange *exchange,
                                      unsigned status, const char *headers,
                                      mq_span body);

/* In http_server.c: reports an event about EXCHANGE to the sink.  */
void mq_http_server_report (mq_http_server *server,
                            mq_http_server_event_kind kind,
                            mq_http_exchange *exchange);

G_END_DECLS

#endif
