/* What is told of a request that has ended, and why.  */

#ifndef MQ_OUTCOME_H
#define MQ_OUTCOME_H

#include <glib.h>

G_BEGIN_DECLS

typedef enum mq_outcome
{
  MQ_OUTCOME_DONE,    /* Ran whole; the answer is with the caller.  */
  MQ_OUTCOME_NOT_RUN, /* No byte that could start work reached an upstream,
                         or the upstream itself said that it did not run. */
  MQ_OUTCOME_FAILED,  /* Ran, and what came of it is known.  */
  MQ_OUTCOME_UNKNOWN  /* All else.  */
} mq_outcome;

/* A stable code for each reason to refuse or end a request.  */
typedef enum mq_reason
{
  MQ_REASON_NONE,
  MQ_REASON_BAD_REQUEST,          /* 400 */
  MQ_REASON_UNAUTHENTICATED,      /* 401 */
  MQ_REASON_UNKNOWN_SERVICE,      /* 404 */
  MQ_REASON_KEY_MISMATCH,         /* 422: same key, other body */
  MQ_REASON_KEY_IN_FLIGHT,        /* 409: the first call still runs */
  MQ_REASON_KEY_SPENT,            /* 409: the first call has ended */
  MQ_REASON_WRONG_ROUTER,         /* 421: the ticket is another router's */
  MQ_REASON_TICKET_SPENT,         /* 409 */
  MQ_REASON_TICKET_INVALID,       /* 400 */
  MQ_REASON_DEADLINE_PAST,        /* 400 */
  MQ_REASON_DEADLINE_UNREACHABLE, /* 503: can't finish in time */
  MQ_REASON_DEADLINE_MISSED,      /* 504: accepted, then could not finish */
  MQ_REASON_OVERLOADED,           /* 503 */
  MQ_REASON_ORGANISATION_LIMIT,   /* 429 */
  MQ_REASON_NO_PIPELINE,          /* 503: some layer has no engine */
  MQ_REASON_NO_CONFIGURATION,     /* 503 */
  MQ_REASON_LEAVING,              /* 503: this VM takes no new work */
  MQ_REASON_PLATFORM_UNAVAILABLE, /* 503: a claim can't be made */
  MQ_REASON_UPSTREAM_FAILED,      /* 502 */
  MQ_REASON_UPSTREAM_REFUSED,     /* 502 */
  MQ_REASON_QUARANTINED,          /* 503: upstreams ended under it */
  MQ_REASON_CALLER_GONE,          /* told to nobody; for logs and explain */
  MQ_REASON_COUNT
} mq_reason;

/* "done", "not-run", "failed" or "unknown".  */
const char *mq_outcome_name (mq_outcome outcome);
/* The stable code, such as "deadline-unreachable".  */
const char *mq_reason_code (mq_reason reason);
/* The HTTP status that carries it.  */
unsigned mq_reason_status (mq_reason reason);

G_END_DECLS

#endif
