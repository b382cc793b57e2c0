/* The outcomes of a request and the reasons for them.  */

#ifndef MQ_OUTCOME_H
#define MQ_OUTCOME_H

#include <glib.h>

G_BEGIN_DECLS

typedef enum mq_outcome
{
  MQ_OUTCOME_DONE,    /* Completed; the caller has the response.  */
  MQ_OUTCOME_NOT_RUN, /* No byte that could start work reached an upstream,
                         or the upstream reported that it did not run.  */
  MQ_OUTCOME_FAILED,  /* Ran, and is known to have failed.  */
  MQ_OUTCOME_UNKNOWN  /* It may or may not have run.  */
} mq_outcome;

/* The reasons to refuse or end a request, each with a stable code and an HTTP
   status.  */
typedef enum mq_reason
{
  MQ_REASON_NONE,
  MQ_REASON_BAD_REQUEST,          /* 400.  */
  MQ_REASON_UNAUTHENTICATED,      /* 401.  */
  MQ_REASON_UNKNOWN_SERVICE,      /* 404.  */
  MQ_REASON_KEY_MISMATCH,         /* 422: same key, other body.  */
  MQ_REASON_KEY_IN_FLIGHT,        /* 409: the first call still runs.  */
  MQ_REASON_KEY_SPENT,            /* 409: the first call has ended.  */
  MQ_REASON_WRONG_ROUTER,         /* 421: another router minted the ticket.  */
  MQ_REASON_TICKET_SPENT,         /* 409.  */
  MQ_REASON_TICKET_INVALID,       /* 400.  */
  MQ_REASON_DEADLINE_PAST,        /* 400.  */
  MQ_REASON_DEADLINE_UNREACHABLE, /* 503: predicted to finish too late.  */
  MQ_REASON_DEADLINE_MISSED,      /* 504: accepted, did not finish in time.  */
  MQ_REASON_OVERLOADED,           /* 503.  */
  MQ_REASON_ORGANISATION_LIMIT,   /* 429.  */
  MQ_REASON_NO_PIPELINE,          /* 503: a layer has no engine.  */
  MQ_REASON_NO_CONFIGURATION,     /* 503.  */
  MQ_REASON_LEAVING,              /* 503: this VM is draining.  */
  MQ_REASON_PLATFORM_UNAVAILABLE, /* 503: a claim was not decided.  */
  MQ_REASON_UPSTREAM_FAILED,      /* 502.  */
  MQ_REASON_UPSTREAM_REFUSED,     /* 502.  */
  MQ_REASON_QUARANTINED,          /* 503: suspected to crash upstreams.  */
  MQ_REASON_CALLER_GONE,          /* 499: only in logs and mqctl explain.  */
  MQ_REASON_COUNT
} mq_reason;

/* Returns "done", "not-run", "failed" or "unknown"; static.  */
const char *mq_outcome_name (mq_outcome outcome);
/* Returns the stable code, such as "deadline-unreachable"; static.  */
const char *mq_reason_code (mq_reason reason);
/* Returns the HTTP status for REASON.  */
unsigned mq_reason_status (mq_reason reason);

G_END_DECLS

#endif
