/* One call of a plain service.

   A call is sent once and ends with exactly one event, after which its
   pointer is dead.  It is never sent again by this adapter or by libcurl
   below it; whether it may be repeated is for the entry to say.  */

#ifndef MQ_PLAIN_CALL_H
#define MQ_PLAIN_CALL_H

#include <mq/entry.h>
#include <mq/http_client.h>

G_BEGIN_DECLS

typedef struct mq_plain_call mq_plain_call;

typedef enum mq_plain_call_event_kind
{
  MQ_PLAIN_CALL_REPLY, /* The service answered whole.  */
  MQ_PLAIN_CALL_FAILED /* It did not, or it said that it did not run.  */
} mq_plain_call_event_kind;

/* The most headers of a reply that are passed on.  */
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

/* What to send; all is borrowed and copied.  */
typedef struct mq_plain_call_options
{
  mq_span method;
  mq_span instance;              /* http://IP:PORT  */
  mq_span path;                  /* With its leading '/'.  */
  mq_span query;                 /* Without '?'; may be empty.  */
  mq_span request;               /* Id as text.  */
  const mq_http_header *headers; /* Of the caller, to be passed on.  */
  size_t n_headers;
  mq_span body;
  uint64_t deadline_us; /* Left.  */
  size_t body_limit;    /* Bytes of the reply.  */
} mq_plain_call_options;

/* Never reports from inside this function.  */
mq_plain_call *mq_plain_call_new (mq_http_client *client,
                                  const mq_plain_call_options *options,
                                  mq_plain_call_sink sink, void *context);

/* Cut the call; nothing more is reported and the pointer is dead.  */
void mq_plain_call_cancel (mq_plain_call *call);

G_END_DECLS

#endif
