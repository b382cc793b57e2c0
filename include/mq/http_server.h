/* HTTP server for callers: libmicrohttpd on the program's libev loop.

   libev watches the daemon's epoll descriptor, so that everything runs on one
   thread.  The server reports each complete request to one sink as a typed
   event.  An exchange is reference-counted: the server holds one reference
   until the connection no longer needs the exchange, and a user that keeps
   the pointer after its sink returns takes its own.  Writing to an exchange
   whose caller has disconnected has no effect.  */

#ifndef MQ_HTTP_SERVER_H
#define MQ_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <mq/resource_account.h>
#include <mq/str.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef struct mq_http_server mq_http_server;
typedef struct mq_http_exchange mq_http_exchange;

#define MQ_HTTP_SERVER_ERROR (mq_http_server_error_quark ())
GQuark mq_http_server_error_quark (void);

typedef enum mq_http_server_error
{
  MQ_HTTP_SERVER_ERROR_ADDRESS, /* The address can't be bound.  */
  MQ_HTTP_SERVER_ERROR_TLS,     /* The certificate or key can't be used.  */
  MQ_HTTP_SERVER_ERROR_LIBRARY  /* libmicrohttpd or the system failed.  */
} mq_http_server_error;

/* A header of a request or a response.  Both spans are borrowed.  */
typedef struct mq_http_header
{
  mq_span name;
  mq_span value;
} mq_http_header;

typedef enum mq_http_server_event_kind
{
  /* A complete request has arrived; reply to it now or later.  One whose
     caller had disconnected, or closed its sending side, before it was read
     is not reported: it receives a 503.  */
  MQ_HTTP_SERVER_REQUEST,
  /* The queue of a stream has fallen below half of
     MQ_HTTP_STREAM_HIGH_WATER_BYTES.  */
  MQ_HTTP_SERVER_DRAINED,
  /* The caller disconnected, or closed its sending side, before the user gave
     the complete response.  Reported at most once, and never after a reply,
     an end or an abort.  */
  MQ_HTTP_SERVER_DISCONNECTED,
  /* The body is larger than the server's limit, by its announced length or by
     what has arrived: the server rejects the request with 413, or with the
     status that the user sets.  It needs no reply.  */
  MQ_HTTP_SERVER_BODY_REJECTED,
  /* The server gives up the request, since there is no memory for it.  What
     has arrived of it is not run: it receives a 503, or its connection is
     closed.  It needs no reply.  */
  MQ_HTTP_SERVER_EVICTED,
  /* The server rejects the request with 431, since its head is too large, or
     with 400, since its headers are malformed or state its end in more than
     one way; or libmicrohttpd rejected it, since it is malformed or larger
     still; then the exchange has no method and no headers.  It needs no reply,
     and after a 400 its connection is closed.  */
  MQ_HTTP_SERVER_HEAD_REJECTED
} mq_http_server_event_kind;

typedef struct mq_http_server_event
{
  mq_http_server_event_kind kind;
  mq_http_exchange *exchange; /* Borrowed.  */
} mq_http_server_event;

typedef void (*mq_http_server_sink) (void *context,
                                     const mq_http_server_event *event);

#define MQ_HTTP_DEFAULT_HEAD_BYTES ((size_t)16 * 1024)
#define MQ_HTTP_MAX_HEAD_BYTES ((size_t)256 * 1024)

/* The producer of a stream should pause while more than this is queued.  */
#define MQ_HTTP_STREAM_HIGH_WATER_BYTES ((size_t)64 * 1024)

typedef struct mq_http_server_options
{
  mq_span address;   /* IP address to listen on.  */
  uint16_t port;     /* 0 lets the system choose.  */
  size_t body_limit; /* Bytes; a larger body is rejected with 413.  */
  size_t head_limit; /* Bytes of a request's head, from its first line to
                        the empty line; 0 means 16384.  A larger one is
                        rejected with 431, and so is one whose headers,
                        query arguments and cookies, at 64 bytes each and
                        with a copy of the cookies, exceed 1.5 times the
                        limit.  */
  size_t memory;     /* Bytes that all connections may take; 0 means half
                        of the machine's memory.  */
  mq_resource_account *account; /* For what connections hold, shared with other
                           servers; borrowed.  NULL: one of its own, with
                           MEMORY.  */
  bool ignores_bodies;          /* Bodies are read and dropped.  */
  unsigned idle_s;      /* Seconds of inactivity after which a connection is
                           closed, unless it waits for the user's reply.  */
  unsigned connections; /* Concurrent connections, 0 means 16384, or as many
                           as MEMORY allows.  For another one, one that waits
                           for its client is closed; if all wait for the user,
                           the new one is, unread.  A caller may treat either
                           as "not run".  */
  mq_span certificate;  /* PEM file path; empty means no TLS.  */
  mq_span key;          /* PEM file path.  */
} mq_http_server_options;

/* Returns the memory of the machine, in bytes; 0 if it is not known.  */
size_t mq_http_machine_memory (void);

/* Creates a server on LOOP that reports to SINK with CONTEXT.  Returns NULL
   with ERROR set if the address can't be bound or the certificate can't be
   used.  */
mq_http_server *mq_http_server_new (struct ev_loop *loop,
                                    const mq_http_server_options *options,
                                    mq_http_server_sink sink, void *context,
                                    GError **error);

/* Stops listening, aborts all exchanges and frees the server.  Reports
   nothing.  Not to be called from the sink.  An exchange whose reference is
   held can still be read.  */
void mq_http_server_free (mq_http_server *server);

/* From now on, adds "Connection: close" to each response.  New connections are
   still accepted.  */
void mq_http_server_announce_close (mq_http_server *server);

/* Accepts the pending connections and stops listening.  Each open connection
   is closed after its next response.  */
void mq_http_server_quiesce (mq_http_server *server);

/* Sets the limit of a request's head to BYTES, at most
   MQ_HTTP_MAX_HEAD_BYTES.  Connections that are too small for a larger limit
   are closed: at once if no request has begun to arrive, else after the
   response.  */
void mq_http_server_set_head_limit (mq_http_server *server, size_t bytes);

/* Sets the limit of a body to BYTES, also for requests that are arriving.  */
void mq_http_server_set_body_limit (mq_http_server *server, size_t bytes);

/* Sets after how many ms a connection is closed on which a head has begun to
   arrive, and one that is idle; 0: as at first, by IDLE_S of the options.  */
void mq_http_server_set_timeouts (mq_http_server *server, uint64_t head_ms,
                                  uint64_t idle_ms);

/* Reads the certificate and key again for use by new connections.  Returns 0,
   or -1 with ERROR set; the previous ones then stay in use.  */
int mq_http_server_reload_tls (mq_http_server *server, GError **error);

uint16_t mq_http_server_port (const mq_http_server *server);

/* Returns the number of exchanges whose response is not complete, or has not
   been written to the caller's connection as a whole.  */
unsigned mq_http_server_open_count (const mq_http_server *server);
typedef void (*mq_http_exchange_visitor) (void *context,
                                          const mq_http_exchange *exchange);
/* Calls VISIT with CONTEXT for each of them.  */
void mq_http_server_visit_open (const mq_http_server *server,
                                mq_http_exchange_visitor visit, void *context);

/* Returns the number of open connections, how many there may be at present,
   and how many were closed unread because there were as many.  */
unsigned mq_http_server_connections (const mq_http_server *server);
unsigned mq_http_server_connection_limit (const mq_http_server *server);
uint64_t mq_http_server_refused_connections (const mq_http_server *server);

mq_http_exchange *mq_http_exchange_ref (mq_http_exchange *exchange);
void mq_http_exchange_unref (mq_http_exchange *exchange);

/* Parts of the request; the spans are valid as long as the exchange.  The path
   is as sent, with its percent-encoding; query arguments are decoded.  A
   missing header or query argument gives an empty span with NULL data.  */
mq_span mq_http_exchange_method (const mq_http_exchange *exchange);
mq_span mq_http_exchange_path (const mq_http_exchange *exchange);
mq_span mq_http_exchange_query (const mq_http_exchange *exchange,
                                const char *name);
mq_span mq_http_exchange_header (const mq_http_exchange *exchange,
                                 const char *name);
/* Returns all headers in the order sent, and their number in *N.  */
const mq_http_header *
mq_http_exchange_headers (const mq_http_exchange *exchange, size_t *n);
mq_span mq_http_exchange_body (const mq_http_exchange *exchange);
/* The query part as sent, without its '?'.  */
mq_span mq_http_exchange_query_string (const mq_http_exchange *exchange);
/* The caller's IP address as text.  */
mq_span mq_http_exchange_peer (const mq_http_exchange *exchange);
/* Returns true if the server rejects the request with 400, since its headers
   are malformed.  */
bool mq_http_exchange_is_malformed (const mq_http_exchange *exchange);
/* Returns true if the user has given the complete response.  */
bool mq_http_exchange_is_answered (const mq_http_exchange *exchange);
/* Sets the status with which the server rejects the request: only while
   MQ_HTTP_SERVER_BODY_REJECTED is reported.  */
void mq_http_exchange_set_rejection (mq_http_exchange *exchange,
                                     unsigned status);
/* The user holds BYTES of an upstream's response for the exchange, which its
   caller is slow to read.  */
void mq_http_exchange_set_upstream_bytes (mq_http_exchange *exchange,
                                          size_t bytes);
/* The user holds BYTES for the request of the exchange, until it ends, in
   place of its body, which is freed.  Returns false if there is no room for
   them; the body stays then.  */
bool mq_http_exchange_replace_body (mq_http_exchange *exchange, size_t bytes);
/* A pointer for the user's own state, initially NULL.  */
void mq_http_exchange_set_user (mq_http_exchange *exchange, void *user);
void *mq_http_exchange_user (const mq_http_exchange *exchange);

/* Sends the complete response.  HEADERS and BODY are copied.  Returns false if
   the connection has no room for HEADERS: the caller then receives a 502 that
   says so.  There is always room for half of the server's head limit, and for
   more after a small request.  */
bool mq_http_exchange_reply (mq_http_exchange *exchange, unsigned status,
                             const mq_http_header *headers, size_t n_headers,
                             mq_span body);

/* Begins a streamed (chunked) response.  HEADERS are copied.  Returns false in
   the same case; the response is then complete.  */
bool mq_http_exchange_begin (mq_http_exchange *exchange, unsigned status,
                             const mq_http_header *headers, size_t n_headers);
/* Queues DATA, which is copied.  Returns the number of bytes queued.  */
size_t mq_http_exchange_write (mq_http_exchange *exchange, mq_span data);
/* Ends a streamed response; it is complete once the queue is sent.  */
void mq_http_exchange_end (mq_http_exchange *exchange);
/* Closes the connection without ending the response, so that the caller
   detects that it is incomplete.  */
void mq_http_exchange_abort (mq_http_exchange *exchange);

G_END_DECLS

#endif
