/* One call of a plain service.

   A call is sent once and ends with exactly one event, after which its
   pointer is invalid.  Neither this adapter nor libcurl resends it; the entry
   (mq/entry.h) decides on retries.  */

#ifndef MQ_PLAIN_CALL_H
#define MQ_PLAIN_CALL_H

#include <mq/entry.h>
#include <mq/http_client.h>

G_BEGIN_DECLS

typedef struct mq_plain_call mq_plain_call;

typedef enum mq_plain_call_event_kind
{
  MQ_PLAIN_CALL_REPLY, /* A complete response was received.  */
  MQ_PLAIN_CALL_FAILED /* No complete response, or it states "not run". */
} mq_plain_call_event_kind;

/* Headers of a response that are forwarded to the caller.  */
#define MQ_PLAIN_CALL_MAX_HEADERS 8

typedef struct mq_plain_call_event
{
  mq_plain_call_event_kind kind;
  union
  {
    struct
    {
      unsigned status;
      mq_span body; /* Borrowed, as are the headers.  */
      mq_http_header headers[MQ_PLAIN_CALL_MAX_HEADERS];
      size_t n_headers;
    } reply;
    mq_send_failure failure;
  } u;
} mq_plain_call_event;

typedef void (*mq_plain_call_sink) (void *context,
                                    const mq_plain_call_event *event);

/* The request.  All pointers are borrowed; the call keeps copies.  */
typedef struct mq_plain_call_options
{
  mq_span method;
  mq_span instance;              /* http://IP:PORT  */
  mq_span path;                  /* With its leading '/'.  */
  mq_span query;                 /* Without '?'; may be empty.  */
  mq_span request;               /* Request id as text.  */
  const mq_http_header *headers; /* Headers of the caller to forward.  */
  size_t n_headers;
  mq_span body;         /* Valid as long as the call.  */
  uint64_t deadline_us; /* Time left.  */
  size_t body_limit;    /* Bytes of the response.  */
} mq_plain_call_options;

/* Starts a call.  SINK is never called from inside this function.  */
mq_plain_call *mq_plain_call_new (mq_http_client *client,
                                  const mq_plain_call_options *options,
                                  mq_plain_call_sink sink, void *context);

/* Aborts the call.  Nothing more is reported, and the pointer is invalid.  */
void mq_plain_call_cancel (mq_plain_call *call);

G_END_DECLS

#endif
