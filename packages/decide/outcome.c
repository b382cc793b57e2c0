/* Outcomes and reasons: see mq/outcome.h.  */

#include <mq/outcome.h>

typedef struct reason_entry
{
  const char *code;
  unsigned status;
} reason_entry;

static const reason_entry reasons[] = {
  [MQ_REASON_NONE] = { "none", 200 },
  [MQ_REASON_BAD_REQUEST] = { "bad-request", 400 },
  [MQ_REASON_UNAUTHENTICATED] = { "unauthenticated", 401 },
  [MQ_REASON_UNKNOWN_SERVICE] = { "unknown-service", 404 },
  [MQ_REASON_KEY_MISMATCH] = { "key-mismatch", 422 },
  [MQ_REASON_KEY_IN_FLIGHT] = { "key-in-flight", 409 },
  [MQ_REASON_KEY_SPENT] = { "key-spent", 409 },
  [MQ_REASON_WRONG_ROUTER] = { "wrong-router", 421 },
  [MQ_REASON_TICKET_SPENT] = { "ticket-spent", 409 },
  [MQ_REASON_TICKET_INVALID] = { "ticket-invalid", 400 },
  [MQ_REASON_DEADLINE_PAST] = { "deadline-past", 400 },
  [MQ_REASON_DEADLINE_UNREACHABLE] = { "deadline-unreachable", 503 },
  [MQ_REASON_DEADLINE_MISSED] = { "deadline-missed", 504 },
  [MQ_REASON_OVERLOADED] = { "overloaded", 503 },
  [MQ_REASON_ORGANISATION_LIMIT] = { "organisation-limit", 429 },
  [MQ_REASON_NO_PIPELINE] = { "no-pipeline", 503 },
  [MQ_REASON_NO_CONFIGURATION] = { "no-configuration", 503 },
  [MQ_REASON_LEAVING] = { "leaving", 503 },
  [MQ_REASON_PLATFORM_UNAVAILABLE] = { "platform-unavailable", 503 },
  [MQ_REASON_UPSTREAM_FAILED] = { "upstream-failed", 502 },
  [MQ_REASON_UPSTREAM_REFUSED] = { "upstream-refused", 502 },
  [MQ_REASON_QUARANTINED] = { "quarantined", 503 },
  [MQ_REASON_CALLER_GONE] = { "caller-gone", 499 },
};

const char *
mq_outcome_name (mq_outcome outcome)
{
  switch (outcome)
    {
    case MQ_OUTCOME_DONE:
      return "done";
    case MQ_OUTCOME_NOT_RUN:
      return "not-run";
    case MQ_OUTCOME_FAILED:
      return "failed";
    case MQ_OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

const char *
mq_reason_code (mq_reason reason)
{
  return reasons[reason].code;
}

unsigned
mq_reason_status (mq_reason reason)
{
  return reasons[reason].status;
}
