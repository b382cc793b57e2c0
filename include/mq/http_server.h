/* HTTP towards callers: libmicrohttpd inside the program's libev loop.

   The daemon's epoll descriptor is watched by libev, so that all runs on the
   one thread.  The server hands each whole request to one sink as a typed
   event.  An exchange is counted by reference: the server holds one
   reference until the connection has no more use for it, and a user that
   keeps the pointer past its sink takes its own.  Writing to an exchange
   whose caller is gone is harmless and does nothing.  */

#ifndef MQ_HTTP_SERVER_H
#define MQ_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_http_server mq_http_server;
typedef struct mq_http_exchange mq_http_exchange;

#define MQ_HTTP_SERVER_ERROR (mq_http_server_error_quark ())
GQuark mq_http_server_error_quark (void);

typedef enum mq_http_server_error
{
  MQ_HTTP_SERVER_ERROR_ADDRESS, /* It can't be bound.  */
  MQ_HTTP_SERVER_ERROR_TLS,     /* The certificate or key is no good.  */
  MQ_HTTP_SERVER_ERROR_LIBRARY  /* The system gave out.  */
} mq_http_server_error;

/* A header of a request or a reply.  Both spans are borrowed and copied by
   whoever keeps them.  */
typedef struct mq_http_header
{
  mq_span name;
  mq_span value;
} mq_http_header;

typedef enum mq_http_server_event_kind
{
  /* A whole request has arrived; answer it now or later.  */
  MQ_HTTP_SERVER_REQUEST,
  /* What a stream had queued fell below half of
     MQ_HTTP_STREAM_HIGH_WATER_BYTES.  */
  MQ_HTTP_SERVER_DRAINED,
  /* The caller went away, or closed its sending side, before the user gave
     the whole answer.  Sent at most once, and not after a reply, an end or an
     abort.  */
  MQ_HTTP_SERVER_DISCONNECTED
} mq_http_server_event_kind;

typedef struct mq_http_server_event
{
  mq_http_server_event_kind kind;
  mq_http_exchange *exchange; /* Borrowed.  */
} mq_http_server_event;

typedef void (*mq_http_server_sink) (void *context,
                                     const mq_http_server_event *event);

/* Bytes queued for one stream above which its producer should pause.  */
#define MQ_HTTP_STREAM_HIGH_WATER_BYTES ((size_t)256 * 1024)

typedef struct mq_http_server_options
{
  mq_span address;      /* IP number to listen on.  */
  uint16_t port;        /* 0 lets the system choose.  */
  size_t body_limit;    /* Bytes; a larger body gets 413.  */
  unsigned idle_s;      /* Seconds until a half-sent request is cut.  */
  unsigned connections; /* At once; more are closed unread, which a caller
                           may take for "not run".  0: as many as the library
                           is set up for.  */
  mq_span certificate;  /* PEM file path; empty means no TLS.  */
  mq_span key;          /* PEM file path.  */
} mq_http_server_options;

/* A new server on LOOP that reports to SINK with CONTEXT.  NULL with ERROR
   set when the address can't be bound or the certificate can't be read.  */
mq_http_server *mq_http_server_new (struct ev_loop *loop,
                                    const mq_http_server_options *options,
                                    mq_http_server_sink sink, void *context,
                                    GError **error);

/* Stop listening, cut what is open and free the server.  Reports nothing.
   Not to be called from the sink.  Exchanges of which a reference is held
   stay readable.  */
void mq_http_server_free (mq_http_server *server);

/* Tell each caller to close its connection after its answer; new connections
   are still taken.  */
void mq_http_server_announce_close (mq_http_server *server);

/* Stop taking new connections, after those that wait to be taken; those that
   are open go on, each until its next answer.  */
void mq_http_server_quiesce (mq_http_server *server);

/* Read the certificate and key again; new connections use them.  On error
   the old ones stay in force.  Returns 0 or -1.  */
int mq_http_server_reload_tls (mq_http_server *server, GError **error);

uint16_t mq_http_server_port (const mq_http_server *server);

/* Exchanges not yet whole.  */
unsigned mq_http_server_open_count (const mq_http_server *server);

mq_http_exchange *mq_http_exchange_ref (mq_http_exchange *exchange);
void mq_http_exchange_unref (mq_http_exchange *exchange);

/* Parts of the request; the spans live as long as the exchange.  The path is
   as sent, percent-encoding and all; query arguments are decoded.  A header
   or query argument that is missing gives an empty span with NULL data.  */
mq_span mq_http_exchange_method (const mq_http_exchange *exchange);
mq_span mq_http_exchange_path (const mq_http_exchange *exchange);
mq_span mq_http_exchange_query (const mq_http_exchange *exchange,
                                const char *name);
mq_span mq_http_exchange_header (const mq_http_exchange *exchange,
                                 const char *name);
/* All headers in the order sent; *N says how many.  */
const mq_http_header *
mq_http_exchange_headers (const mq_http_exchange *exchange, size_t *n);
mq_span mq_http_exchange_body (const mq_http_exchange *exchange);
/* The query part as sent, without its '?'.  */
mq_span mq_http_exchange_query_string (const mq_http_exchange *exchange);
/* The caller's IP number as text.  */
mq_span mq_http_exchange_peer (const mq_http_exchange *exchange);
/* A word for the user's own state, at first NULL.  */
void mq_http_exchange_set_user (mq_http_exchange *exchange, void *user);
void *mq_http_exchange_user (const mq_http_exchange *exchange);

/* Give the whole answer.  HEADERS and BODY are copied.  */
void mq_http_exchange_reply (mq_http_exchange *exchange, unsigned status,
                             const mq_http_header *headers, size_t n_headers,
                             mq_span body);

/* Begin a streamed answer (chunked).  */
void mq_http_exchange_begin (mq_http_exchange *exchange, unsigned status,
                             const mq_http_header *headers, size_t n_headers);
/* Queue DATA (copied); returns the bytes now queued.  */
size_t mq_http_exchange_write (mq_http_exchange *exchange, mq_span data);
/* No more data; the answer is whole once the queue is sent.  */
void mq_http_exchange_end (mq_http_exchange *exchange);
/* Cut the connection without a proper end, so that the caller sees that the
   answer is not whole.  */
void mq_http_exchange_abort (mq_http_exchange *exchange);

G_END_DECLS

#endif
