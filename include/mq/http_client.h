/* HTTP client for upstreams and the platform: libcurl's multi interface on the
   program's libev loop.

   A call reports typed events to one sink and ends with exactly one
   MQ_HTTP_CLIENT_END, after which its pointer is invalid.  A cancelled call
   reports nothing more.  The end event states whether any byte of the request
   may have reached the upstream; a caller may be given the outcome "not run"
   only if none can have.  */

#ifndef MQ_HTTP_CLIENT_H
#define MQ_HTTP_CLIENT_H

#include <ev.h>
#include <glib.h>
#include <mq/http_server.h>
#include <mq/response_check.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_http_client mq_http_client;
typedef struct mq_http_call mq_http_call;

/* What may wait of a response in this process while its call is paused, in
   bytes: unreported, and received by the system and not yet read.  */
#define MQ_HTTP_MAX_PAUSED_BYTES ((size_t)192 * 1024)

typedef enum mq_http_client_event_kind
{
  MQ_HTTP_CLIENT_HEADERS, /* Status and all headers have arrived.  */
  MQ_HTTP_CLIENT_DATA,    /* A piece of the body; streamed calls only.  */
  MQ_HTTP_CLIENT_END      /* The last event.  */
} mq_http_client_event_kind;

typedef enum mq_http_result
{
  MQ_HTTP_OK,             /* A whole response, of any status
                             (mq/response_check.h).  */
  MQ_HTTP_CONNECT_FAILED, /* Connecting failed or timed out; nothing was sent.
                           */
  MQ_HTTP_TIMEOUT,        /* The time limit of the call has expired.  */
  MQ_HTTP_BROKEN /* The connection broke, or the response is cut, contradicts
                    itself or is malformed.  */
} mq_http_result;

typedef struct mq_http_client_event
{
  mq_http_client_event_kind kind;
  mq_http_call *call; /* Borrowed.  */
  mq_http_result result;
  unsigned status;        /* HTTP status; 0 before it is received.  */
  unsigned tunnel_status; /* Of the tunnel server's reply; 0: there was none
                             whose head is whole.  */
  bool maybe_sent; /* A byte of the request may have reached the upstream. */
  mq_response_framing framing; /* Of the response.  */
  mq_response_fault fault;     /* END: what is wrong with the response, if one
                                  has begun.  */
  bool too_large; /* BROKEN, since the body exceeds the limit of the call or
                     the room of all calls.  */
  mq_span data;   /* DATA: the piece.  END of a call that is not streamed:
                     the complete body.  Borrowed.  */
} mq_http_client_event;

/* Responses by what was seen of them, from the start of the client.  Calls
   that were cancelled or received nothing are not counted.  */
typedef struct mq_http_client_counters
{
  uint64_t framings[MQ_RESPONSE_FRAMINGS];
  uint64_t faults[MQ_RESPONSE_FAULTS];
  uint64_t stray; /* Kept connections on which something had arrived though no
                     response was due; they were closed.  */
} mq_http_client_counters;

typedef void (*mq_http_client_sink) (void *context,
                                     const mq_http_client_event *event);

typedef struct mq_http_call_options
{
  mq_span method; /* Empty means GET.  */
  mq_span url;    /* http or https; its host must be an IP address.  */
  const mq_http_header *headers;
  size_t n_headers;
  mq_span target;     /* Request target to send, byte for byte, in place of
                         that of URL; empty: as in URL.  */
  mq_span echo_name;  /* Name of a header that the response must hold ...  */
  mq_span echo_value; /* ... with this value.  A response without it belongs
                         to another request: the call ends as broken and its
                         connection is closed.  Empty name: no check.  */
  const char *const *single; /* Headers of the response that may not occur
                                with two values, up to a NULL; outlives the
                                call.  NULL: none.  */
  const char *not_run; /* Header by which an upstream states that it did not
                          run the request; outlives the call.  NULL: none.  */
  mq_span body;        /* Copied, unless BODY_STAYS.  */
  bool body_stays;     /* BODY is valid until END is reported or the call is
                          cancelled.  */
  mq_span tunnel;      /* IP:PORT of a tunnel server (mq/tunnel_server.h) that
                          the call goes through; empty: none.  */
  uint64_t connect_ms; /* 0 means 1000.  */
  uint64_t timeout_ms; /* Bounds the whole call; 0 means no limit.  */
  uint64_t unacknowledged_limit_ms; /* A connection opened for this call is
                         closed if the peer acknowledges nothing for this
                         long, also while waiting for the response; 0: the
                         system's default.  */
  bool streamed;                    /* Report DATA events.  */
  bool no_resend;    /* Sent at most once, possibly on a kept connection.  If
                        that was closed meanwhile, the call ends as
                        broken.  */
  bool once;         /* Sent at most once, on a connection of its own.
                        Without ONCE or NO_RESEND, libcurl may resend a
                        request by itself if a kept connection is closed
                        before any response.  */
  size_t body_limit; /* Bytes of a body that is not streamed; 0: 1 MiB.  */
  bool shares_room;  /* The body, if not streamed, takes part of the room that
                        mq_http_client_set_body_room sets.  */
} mq_http_call_options;

/* Creates a client on LOOP.  CA_FILE, if not empty, is the PEM file of the
   certificate authorities that https upstreams are verified against.  */
mq_http_client *mq_http_client_new (struct ev_loop *loop, mq_span ca_file);

/* Sets how many bytes the bodies of all calls with SHARES_ROOM may take at a
   time; 0, as at first: no limit.  Where they would take more, the call with
   the largest body ends as broken and TOO_LARGE, unless that is at most 64
   KiB, which each call may always hold.  */
void mq_http_client_set_body_room (mq_http_client *client, size_t bytes);

/* Has the bodies of these calls take their memory from ACCOUNT too, which must
   outlive CLIENT.  */
void mq_http_client_set_account (mq_http_client *client,
                                 mq_resource_account *account);

/* Returns the counters of CLIENT, borrowed.  */
const mq_http_client_counters *
mq_http_client_get_counters (const mq_http_client *client);

/* Cancels all calls and frees the client.  Not to be called from a sink.  */
void mq_http_client_free (mq_http_client *client);

/* Starts a call.  The result is borrowed and valid until END is reported or
   the call is cancelled.  SINK is never called from inside this function.  */
mq_http_call *mq_http_client_start (mq_http_client *client,
                                    const mq_http_call_options *options,
                                    mq_http_client_sink sink, void *context);

/* Returns true if a byte of the request may have reached the upstream.  */
bool mq_http_call_maybe_sent (const mq_http_call *call);

/* Returns true until CALL has reported its END.  */
bool mq_http_call_is_open (const mq_http_call *call);

/* Returns the number of bytes of heads and bodies that CALL has received.  */
uint64_t mq_http_call_received (const mq_http_call *call);

/* Aborts the call; nothing more is reported.  */
void mq_http_call_cancel (mq_http_call *call);

/* Stops or resumes reading the response, for back pressure.  While CALL is
   paused, neither DATA nor END is reported.  */
void mq_http_call_pause (mq_http_call *call, bool paused);

bool mq_http_call_is_paused (const mq_http_call *call);

/* Returns the value of a header of the response, with NULL data if it is
   missing.  Valid until the sink returns.  */
mq_span mq_http_call_header (const mq_http_call *call, const char *name);

/* Returns the status of the response, 0 before it is received.  */
unsigned mq_http_call_status (const mq_http_call *call);

/* Returns the status line and all headers of the response.  Valid until the
   sink returns.  */
mq_span mq_http_call_head (const mq_http_call *call);

G_END_DECLS

#endif
