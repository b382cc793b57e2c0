/* HTTP towards upstreams and the platform: libcurl's multi interface inside
   the program's libev loop.

   A call reports to one sink as typed events and ends with exactly one
   MQ_HTTP_CLIENT_END, after which its pointer is dead.  A cancelled call
   reports nothing more.  The end event says whether any byte of the request
   may have reached the upstream: "not run" may be told to a caller only when
   it can't have.  */

#ifndef MQ_HTTP_CLIENT_H
#define MQ_HTTP_CLIENT_H

#include <ev.h>
#include <glib.h>
#include <mq/http_server.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_http_client mq_http_client;
typedef struct mq_http_call mq_http_call;

typedef enum mq_http_client_event_kind
{
  MQ_HTTP_CLIENT_HEADERS, /* Status and all headers have arrived.  */
  MQ_HTTP_CLIENT_DATA,    /* Some of the body; only for streamed calls.  */
  MQ_HTTP_CLIENT_END      /* The last event.  */
} mq_http_client_event_kind;

typedef enum mq_http_result
{
  MQ_HTTP_OK,             /* A whole answer, of whatever status.  */
  MQ_HTTP_CONNECT_FAILED, /* No connection, also not in time: nothing was sent.
                           */
  MQ_HTTP_TIMEOUT,        /* The time for the whole call is over.  */
  MQ_HTTP_BROKEN /* The connection broke or the answer made no sense. */
} mq_http_result;

typedef struct mq_http_client_event
{
  mq_http_client_event_kind kind;
  mq_http_call *call; /* Borrowed.  */
  mq_http_result result;
  unsigned status; /* HTTP status, 0 before one has come.  */
  bool maybe_sent; /* A byte of the request may have reached the upstream. */
  mq_span data;    /* DATA: the piece.  END of a call that is not streamed:
                      the whole body.  Borrowed.  */
} mq_http_client_event;

typedef void (*mq_http_client_sink) (void *context,
                                     const mq_http_client_event *event);

typedef struct mq_http_call_options
{
  mq_span method; /* Empty means GET.  */
  mq_span url;    /* http or https; its host is an IP number.  */
  const mq_http_header *headers;
  size_t n_headers;
  mq_span target;    /* Request target to send, byte for byte, in place of what
                        URL holds; empty: as in URL.  */
  mq_span echo_name; /* A header that the answer must bear ... */
  mq_span echo_value;  /* ... with this value; an answer without it belongs to
                          another request: the call ends as broken and its
                          connection is closed.  Empty: no such check.  */
  mq_span body;        /* Copied.  */
  uint64_t connect_ms; /* 0 means 1000.  */
  uint64_t timeout_ms; /* For the whole call; 0 means none.  */
  uint64_t unacknowledged_limit_ms; /* A connection made for this call is given
                         up when the other side acknowledges nothing for so
                         long, also while it waits for the answer; 0: as the
                         system has it.  */
  bool streamed;                    /* Report DATA events.  */
  bool no_resend;    /* libcurl sends it at most once, though maybe on a
                        kept connection: one that was closed meanwhile ends
                        the call as broken.  */
  bool once;         /* Never sent twice, so on a connection of its own.
                        Without it libcurl may send a
                        request again by itself when a kept connection turns
                        out to be closed before any answer.  */
  size_t body_limit; /* Bytes for a body that is not streamed; 0: 1 MiB. */
} mq_http_call_options;

/* A new client on LOOP.  CA_FILE, when not empty, is the PEM file against
   which https upstreams are checked.  */
mq_http_client *mq_http_client_new (struct ev_loop *loop, mq_span ca_file);

/* Cancel all calls and free the client.  Not to be called from a sink.  */
void mq_http_client_free (mq_http_client *client);

/* Start a call.  The pointer is borrowed and valid until END was reported or
   the call was cancelled.  Never reports from inside this function.  */
mq_http_call *mq_http_client_start (mq_http_client *client,
                                    const mq_http_call_options *options,
                                    mq_http_client_sink sink, void *context);

/* True when a byte of the request may have reached the upstream by now.  */
bool mq_http_call_maybe_sent (const mq_http_call *call);

/* Cut the call; nothing more is reported.  */
void mq_http_call_cancel (mq_http_call *call);

/* Stop or go on reading the answer, for back pressure.  While paused neither
   DATA nor END is reported.  */
void mq_http_call_pause (mq_http_call *call, bool paused);

/* A header of the answer, empty when missing; valid during the sink.  */
mq_span mq_http_call_header (const mq_http_call *call, const char *name);

/* All headers of the answer as lines, with the status line; valid during the
   sink.  */
mq_span mq_http_call_head (const mq_http_call *call);

G_END_DECLS

#endif
