/* What the router itself says to callers: errors, JSON and plain text.
   Internal to this program.  */

#ifndef MQ_REPLY_H
#define MQ_REPLY_H

#include "router.h"

/* Why a request ended or was refused.  */
typedef struct mq_reply_error
{
  mq_outcome outcome;
  mq_reason reason;
  const char *detail;      /* What exactly was wrong; NULL: nothing to add. */
  const char *request;     /* Id; NULL or "" for one that got none.  */
  uint64_t retry_after_us; /* 0: no use in coming back.  */
  const char *go_to;       /* IP:PORT of the router to go to; NULL: none.  */
} mq_reply_error;

/* Give ERROR as the whole answer.  */
void mq_reply_with_error (mq_http_exchange *exchange,
                          const mq_reply_error *error);

/* End a streamed answer that was begun with ERROR as its last event.  */
void mq_reply_stream_error (mq_http_exchange *exchange,
                            const mq_reply_error *error);

/* Append {"error":{...}} to OUT.  */
void mq_reply_error_append (GString *out, const mq_reply_error *error);

/* Refuse what never came to the entry with ERROR, under an id of its own.  */
void mq_reply_refuse (mq_router *router, mq_http_exchange *exchange,
                      const mq_reply_error *error);

/* The same for a request that is wrong in itself.  */
void mq_reply_bad_request (mq_router *router, mq_http_exchange *exchange,
                           mq_reason reason, const char *detail);

/* Give a JSON document or plain text as the whole answer.  */
void mq_reply_json (mq_http_exchange *exchange, unsigned status,
                    const GString *json);
void mq_reply_text (mq_http_exchange *exchange, unsigned status, mq_span text);

/* A sentence for people that says what REASON means.  */
const char *mq_reply_reason_text (mq_reason reason);

#endif
