/* A request as the router's adapters see it: the exchange with the caller
   and what goes on upstream.  What is decided about it lies in mq/entry.h.

   A request lives from the CALL event until the entry's END action was
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
  mq_str *service; /* The name that the caller gave as the model.  */
  mq_str *prompt;
  uint32_t prompt_tokens; /* An estimate.  */
  uint32_t max_tokens;
  bool streamed;
  bool head_sent;    /* The head of a streamed answer was given.  */
  bool paused;       /* The caller reads slower than the engines make.  */
  GPtrArray *tokens; /* of mq_str: with the caller, in order  */
  GString *frame;    /* One event; its first bytes never change.  */
  size_t frame_prefix_bytes; /* How many.  */
  mq_engine_stream *stream;  /* Of the attempt awaited, or NULL.  */
  uint32_t attempt;
  uint32_t attempt_tokens;         /* That came in it.  */
  uint64_t attempt_first_token_us; /* When the first of them came.  */
  uint64_t last_token_us;
} mq_completion;

typedef struct mq_service_request
{
  mq_str *path;        /* Under the service, with its leading '/'.  */
  mq_plain_call *call; /* Of the attempt awaited, or NULL.  */
  uint32_t attempt;
  /* The reply to pass on, once there is one.  */
  unsigned status;
  GString *body;
  mq_http_header headers[MQ_PLAIN_CALL_HEADERS]; /* Values are owned.  */
  size_t n_headers;
  bool reply_accepted; /* The entry said to pass it on.  */
} mq_service_request;

typedef struct mq_active_request
{
  mq_router *router; /* Borrowed.  */
  uint64_t handle;
  mq_http_exchange *exchange;  /* Owned reference.  */
  mq_request_id number;        /* Zero until the entry gave it one.  */
  char id[MQ_REQUEST_ID_SIZE]; /* Empty until the entry gave it one.  */
  uint64_t started_us;
  bool claimed; /* A claim was asked for.  */
  bool sent;    /* Something that could start work was handed on.  */
  mq_active_request_kind kind;
  union
  {
    mq_completion completion;
    mq_service_request service;
  } u;
} mq_active_request;

/* An empty table of requests by handle; frees what it holds.  */
GHashTable *mq_active_requests_new (void);

/* A new request of KIND, known to ROUTER by its handle.  Takes a new
   reference to EXCHANGE.  The parts of its kind are all zero.  */
mq_active_request *mq_active_request_new (mq_router *router,
                                          mq_active_request_kind kind,
                                          mq_http_exchange *exchange);

/* The request of that handle, borrowed, or NULL.  */
mq_active_request *mq_active_request_find (const mq_router *router,
                                           uint64_t handle);

/* Forget REQUEST: cut what goes on upstream and free it.  */
void mq_active_request_remove (mq_active_request *request);

/* Give the request its id, if it has none.  */
void mq_active_request_set_id (mq_active_request *request, mq_request_id id);

/* ID as text into TEXT of MQ_REQUEST_ID_SIZE bytes.  */
void mq_active_request_format_id (mq_request_id id, char *text);

#endif
