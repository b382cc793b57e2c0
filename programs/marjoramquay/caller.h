/* A request as the router's adapters see it: the exchange with the caller
   and what goes on upstream.  What is decided about it lies in mq/entry.h.

   A request lives from the CALL event until the entry's END action was
   carried out.  Internal to this program.  */

#ifndef MQ_CALLER_H
#define MQ_CALLER_H

#include <mq/engine_stream.h>
#include <mq/plain_call.h>

#include "router.h"

typedef enum mq_caller_kind
{
  MQ_CALLER_COMPLETION, /* Answered by a pipeline of model engines.  */
  MQ_CALLER_SERVICE     /* Answered by a plain service.  */
} mq_caller_kind;

typedef struct mq_completion
{
  mq_str *service; /* The name that the caller gave as the model.  */
  mq_str *prompt;
  uint32_t prompt_tokens; /* An estimate.  */
  uint32_t max_tokens;
  bool streamed;
  bool begun;         /* The head of a streamed answer was given.  */
  bool paused;        /* The caller reads slower than the engines make.  */
  GPtrArray *tokens;  /* of mq_str: with the caller, in order  */
  GString *frame;     /* One event; its first bytes never change.  */
  size_t frame_start; /* How many.  */
  mq_engine_stream *stream; /* Of the attempt awaited, or NULL.  */
  uint32_t attempt;
  uint32_t attempt_tokens;   /* That came in it.  */
  uint64_t attempt_first_us; /* When the first of them came.  */
  uint64_t last_token_us;
} mq_completion;

typedef struct mq_service_route
{
  mq_str *path;        /* Under the service, with its leading '/'.  */
  mq_plain_call *call; /* Of the attempt awaited, or NULL.  */
  uint32_t attempt;
  /* The reply to pass on, once there is one.  */
  unsigned status;
  GString *body;
  mq_http_header headers[MQ_PLAIN_CALL_MAX_HEADERS]; /* Values are owned.  */
  size_t n_headers;
  bool passed; /* The entry said to pass it on.  */
} mq_service_route;

typedef struct mq_caller
{
  mq_router *router; /* Borrowed.  */
  uint64_t handle;
  mq_http_exchange *exchange;  /* Owned reference.  */
  mq_request_id number;        /* Zero until the entry gave it one.  */
  char id[MQ_REQUEST_ID_SIZE]; /* Empty until the entry gave it one.  */
  uint64_t started_us;
  bool claimed; /* A claim was asked for.  */
  bool sent;    /* Something that could start work was handed on.  */
  mq_caller_kind kind;
  union
  {
    mq_completion completion;
    mq_service_route service;
  } u;
} mq_caller;

/* An empty table of requests by handle; frees what it holds.  */
GHashTable *mq_callers_new (void);

/* A new request of KIND, known to ROUTER by its handle.  Takes a new
   reference to EXCHANGE.  The parts of its kind are all zero.  */
mq_caller *mq_caller_new (mq_router *router, mq_caller_kind kind,
                          mq_http_exchange *exchange);

/* The request of that handle, borrowed, or NULL.  */
mq_caller *mq_caller_find (const mq_router *router, uint64_t handle);

/* Forget REQUEST: cut what goes on upstream and free it.  */
void mq_caller_forget (mq_caller *caller);

/* Give the request its id, if it has none.  */
void mq_caller_set_id (mq_caller *caller, mq_request_id id);

/* ID as text into TEXT of MQ_REQUEST_ID_SIZE bytes.  */
void mq_caller_format_id (mq_request_id id, char *text);

#endif
