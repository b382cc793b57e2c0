/* The I/O state of a request that is being served: the HTTP exchange with the
   client and the call or stream to the upstream.  The entry (mq/entry.h) holds
   the state of its decisions.

   A request exists from the CALL event until the entry's END action has been
   carried out.  Internal to this program.  */

#ifndef MQ_ACTIVE_REQUEST_H
#define MQ_ACTIVE_REQUEST_H

#include <mq/engine_stream.h>
#include <mq/plain_call.h>

#include "router.h"

typedef enum mq_active_request_kind
{
  MQ_ACTIVE_REQUEST_COMPLETION, /* Answered by a pipeline of model engines.  */
  MQ_ACTIVE_REQUEST_SERVICE     /* Answered by a plain service.  */
} mq_active_request_kind;

typedef struct mq_completion
{
  mq_str *service; /* The name that the client gave as the model.  */
  mq_str *prompt;
  uint32_t prompt_tokens; /* Estimated from the prompt's size.  */
  uint32_t max_tokens;
  bool streamed;
  bool head_sent;    /* The response headers of a stream were sent.  */
  bool paused;       /* The stream waits until the client has read more.  */
  GPtrArray *tokens; /* of mq_str: sent or gathered so far, in order  */
  GString *frame;    /* Buffer of one event; its prefix is constant.  */
  size_t frame_prefix_bytes; /* Length of that prefix.  */
  mq_engine_stream *stream;  /* Of the current attempt, or NULL.  */
  uint32_t attempt;
  uint32_t attempt_tokens;         /* Received in this attempt.  */
  uint64_t attempt_first_token_us; /* When the first was received.  */
  uint64_t last_token_us;
} mq_completion;

typedef struct mq_service_request
{
  mq_str *path;        /* Relative to the service, with its leading '/'.  */
  mq_plain_call *call; /* Of the current attempt, or NULL.  */
  uint32_t attempt;
  /* The service's reply, kept until the request ends.  */
  unsigned status;
  GString *body;
  mq_http_header headers[MQ_PLAIN_CALL_MAX_HEADERS]; /* Values are owned.  */
  size_t n_headers;
  bool reply_accepted; /* The entry decided to forward the reply.  */
} mq_service_request;

typedef struct mq_active_request
{
  mq_router *router; /* Borrowed.  */
  uint64_t handle;
  mq_http_exchange *exchange;  /* Owned reference.  */
  mq_request_id number;        /* Zero until the entry assigns one.  */
  char id[MQ_REQUEST_ID_SIZE]; /* Empty until the entry assigns one.  */
  uint64_t started_us;
  bool claimed; /* An idempotency claim was requested.  */
  bool sent;    /* An attempt was sent, so an upstream may have run it.  */
  mq_active_request_kind kind;
  union
  {
    mq_completion completion;
    mq_service_request service;
  } u;
} mq_active_request;

/* Returns a new empty table of requests by handle.  The table owns them.  */
GHashTable *mq_active_requests_new (void);

/* Adds a request of KIND to ROUTER's table under a new handle and returns it,
   borrowed from the table.  Takes a new reference to EXCHANGE.  The union
   member of its kind is zeroed.  */
mq_active_request *mq_active_request_new (mq_router *router,
                                          mq_active_request_kind kind,
                                          mq_http_exchange *exchange);

/* Returns the request with HANDLE, borrowed from the table, or NULL.  */
mq_active_request *mq_active_request_find (const mq_router *router,
                                           uint64_t handle);

/* Removes REQUEST from its router's table, cancels its call or stream to the
   upstream, and frees it.  */
void mq_active_request_remove (mq_active_request *request);

/* Sets the id of REQUEST if it has none and ID is not zero.  */
void mq_active_request_set_id (mq_active_request *request, mq_request_id id);

/* Formats ID into TEXT, a buffer of MQ_REQUEST_ID_SIZE bytes.  */
void mq_active_request_format_id (mq_request_id id, char *text);

#endif
