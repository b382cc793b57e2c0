/* The decision what to do after a send to an upstream has ended: deliver its
   response, retry, or give up, and with which status.

   No I/O and no clock.  Invariants:
   - a request that is not idempotent is retried only when the last send is
     known not to have run;
   - a status that promises "not run" is given only when no send may have run;
   - a request is sent to no more upstreams than its route allows; a stream
     whose run was lost may return to an upstream that it was sent to before;
   - a request that is given up is answered at once.  */

#ifndef MQ_FORWARD_RULE_H
#define MQ_FORWARD_RULE_H

#include <mq/routing.h>

G_BEGIN_DECLS

#define MQ_STATUS_BAD_GATEWAY 502
#define MQ_STATUS_UNAVAILABLE 503
#define MQ_STATUS_GATEWAY_TIMEOUT 504

/* How a send ended.  */
typedef enum mq_send_end
{
  MQ_SEND_REPLIED,  /* A complete response of the upstream itself.  */
  MQ_SEND_NOT_SENT, /* No byte was sent: no connection.  */
  MQ_SEND_NOT_RUN,  /* The upstream states that it did not run it.  */
  MQ_SEND_BROKEN,   /* May have run; the response broke off or is invalid.  */
  MQ_SEND_TIMED_OUT /* May have run; no response in time.  */
} mq_send_end;

/* The state of a request that the decision depends on.  The counts include the
   send that ended.  */
typedef struct mq_forward_state
{
  mq_route_kind kind;
  bool resumable;
  unsigned attempts;     /* Upstreams that the route allows.  */
  unsigned sent;         /* Upstreams that ran it, or may have.  */
  unsigned tries;        /* Sends, including those without a connection.  */
  unsigned arrived;      /* Sends that reached an upstream, run or not.  */
  bool may_have_run;     /* Some send may have run.  */
  bool response_started; /* The client has received part of the response.  */
  uint64_t now_us;
  uint64_t deadline_us;
} mq_forward_state;

typedef enum mq_forward_verb
{
  MQ_FORWARD_DELIVER, /* Deliver the upstream's response.  */
  MQ_FORWARD_RETRY,   /* Send again, to another upstream if possible.  */
  MQ_FORWARD_REJECT,  /* Respond with STATUS.  */
  MQ_FORWARD_ABORT    /* Abort a response that can't be completed.  */
} mq_forward_verb;

typedef struct mq_forward_verdict
{
  mq_forward_verb verb;
  unsigned status; /* For REJECT.  */
} mq_forward_verdict;

/* Decide what follows after a send of the request of STATE ended as END with
   the upstream's STATUS (0: none).  BUDGET is true if the service's retry
   budget allows one more retry.  */
mq_forward_verdict mq_forward_decide (const mq_forward_state *state,
                                      mq_send_end end, unsigned status,
                                      bool budget);

/* Why a request is not retried.  */
typedef enum mq_forward_limit
{
  MQ_FORWARD_LIMIT_NONE,           /* It is, or the response is delivered.  */
  MQ_FORWARD_LIMIT_NOT_REPEATABLE, /* It may have run, and is not idempotent.
                                    */
  MQ_FORWARD_LIMIT_ATTEMPTS,
  MQ_FORWARD_LIMIT_TIME,
  MQ_FORWARD_LIMIT_BUDGET
} mq_forward_limit;

/* The limit that kept mq_forward_decide, given the same arguments, from a
   retry.  */
mq_forward_limit mq_forward_limit_of (const mq_forward_state *state,
                                      mq_send_end end, bool budget);
/* The name of LIMIT in logs, in lower case.  Static.  */
const char *mq_forward_limit_name (mq_forward_limit limit);

/* The verdict when the request is not sent again.  TIMED_OUT is true
   if its last send timed out.  */
mq_forward_verdict mq_forward_give_up (const mq_forward_state *state,
                                       bool timed_out);

/* Returns true if the request may be sent only to upstreams that it was sent
   to before.  */
bool mq_forward_must_reuse_upstream (const mq_forward_state *state);

/* Returns true if the request may be sent again after a send that may have
   run.  */
bool mq_forward_may_repeat (const mq_forward_state *state);

G_END_DECLS

#endif
