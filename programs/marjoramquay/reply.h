/* Responses that the router itself sends to clients: errors, JSON and plain
   text.

   Internal to this program.  */

#ifndef MQ_REPLY_H
#define MQ_REPLY_H

#include "router.h"

/* Why a request ended or was refused.  */
typedef struct mq_reply_error
{
  mq_outcome outcome;
  mq_reason reason;
  const char *detail;           /* More about the error; NULL: none.  */
  const char *request;          /* Id; NULL or "" if none was assigned.  */
  uint64_t retry_after_us;      /* 0: the client should not retry.  */
  const char *redirect_address; /* IP:PORT of the router to use; NULL: none. */
} mq_reply_error;

/* Sends ERROR as the whole response.  */
void mq_reply_with_error (mq_http_exchange *exchange,
                          const mq_reply_error *error);

/* Ends a streamed response with ERROR as its last event.  */
void mq_reply_stream_error (mq_http_exchange *exchange,
                            const mq_reply_error *error);

/* Appends {"error":{...}} to OUT.  */
void mq_reply_error_append (GString *out, const mq_reply_error *error);

/* Rejects a request that was not passed to the entry with ERROR, under a new
   id, and counts it as a bad request.  */
void mq_reply_refuse (mq_router *router, mq_http_exchange *exchange,
                      const mq_reply_error *error);

/* Does the same with REASON, DETAIL, which may be NULL, and the outcome
   not-run.  */
void mq_reply_bad_request (mq_router *router, mq_http_exchange *exchange,
                           mq_reason reason, const char *detail);

/* Send a JSON document or plain text as the whole response.  */
void mq_reply_json (mq_http_exchange *exchange, unsigned status,
                    const GString *json);
void mq_reply_text (mq_http_exchange *exchange, unsigned status, mq_span text);

/* Returns a description of REASON for people, in static storage.  */
const char *mq_reply_reason_text (mq_reason reason);

#endif
