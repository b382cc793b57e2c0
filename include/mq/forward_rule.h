/* What to do after a send to an upstream has ended: answer, send again, or
   give up, and with which status.

   Pure.  Invariants:
   - a request that is not idempotent is sent again only when the last send
     is known not to have run;
   - a status that promises "not run" is given only when no send may have run;
   - a request is sent to no more upstreams than its route allows; a stream
     that lost its run may return to one that it was sent to before;
   - what is given up is answered at once.  */

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
  MQ_SEND_REPLIED,  /* A whole answer of the upstream's own.  */
  MQ_SEND_NOT_SENT, /* No byte left: no connection.  */
  MQ_SEND_NOT_RUN,  /* The upstream says that it did not run it.  */
  MQ_SEND_BROKEN,   /* It may have run; the answer broke off or is wrong.  */
  MQ_SEND_TIMED_OUT /* It may have run; no answer came in time.  */
} mq_send_end;

/* A request as far as the rule needs it.  */
typedef struct mq_forward_state
{
  mq_route_kind kind;
  bool resumable;
  unsigned attempts; /* Upstreams allowed.  */
  unsigned sent;     /* Upstreams that ran it, or may have.  */
  unsigned tries;    /* Sends in all, also those that left nothing.  */
  unsigned arrived;  /* Sends that reached an upstream, run or not.  */
  bool may_have_run; /* Some send may have run.  */
  bool begun;        /* Part of the answer has gone to the client.  */
  uint64_t now_us;
  uint64_t deadline_us;
} mq_forward_state;

typedef enum mq_forward_verb
{
  MQ_FORWARD_DELIVER, /* Pass the upstream's answer on.  */
  MQ_FORWARD_RETRY,   /* Send again, to another upstream if there is one.  */
  MQ_FORWARD_REJECT,  /* Answer with STATUS.  */
  MQ_FORWARD_ABORT    /* Break the answer off: it can't be made whole.  */
} mq_forward_verb;

typedef struct mq_forward_verdict
{
  mq_forward_verb verb;
  unsigned status; /* REFUSE.  */
} mq_forward_verdict;

/* A send of STATE, whose own counts it is in already, ended as END with the
   upstream's STATUS (0: none).  BUDGET: may the service take one more send
   beyond the first of a request?  */
mq_forward_verdict mq_forward_decide (const mq_forward_state *state,
                                      mq_send_end end, unsigned status,
                                      bool budget);

/* Why a request is not sent again.  */
typedef enum mq_forward_limit
{
  MQ_FORWARD_LIMIT_NONE,           /* It is, or the answer is passed on.  */
  MQ_FORWARD_LIMIT_NOT_REPEATABLE, /* It may have run, and must not run twice.
                                    */
  MQ_FORWARD_LIMIT_ATTEMPTS,
  MQ_FORWARD_LIMIT_TIME,
  MQ_FORWARD_LIMIT_BUDGET
} mq_forward_limit;

/* What kept mq_forward_decide, given the same, from another send.  */
mq_forward_limit mq_forward_limit_of (const mq_forward_state *state,
                                      mq_send_end end, bool budget);
/* Lower-case word for logs.  */
const char *mq_forward_limit_name (mq_forward_limit limit);

/* The verdict when nothing more is to be sent.  */
mq_forward_verdict mq_forward_give_up (const mq_forward_state *state,
                                       bool silent);

/* May it go only to an upstream that it was sent to before?  */
bool mq_forward_must_reuse_upstream (const mq_forward_state *state);

/* May the request be sent again after a send that may have run?  */
bool mq_forward_may_repeat (const mq_forward_state *state);

G_END_DECLS

#endif
