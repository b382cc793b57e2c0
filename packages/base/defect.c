/* Injected defects: see mq/internal/defect.h.  */

#include <mq/internal/defect.h>

static const char *const names[MQ_DEFECT_COUNT] = {
  [MQ_DEFECT_NONE] = "none",
  [MQ_DEFECT_ATTEMPT_NOT_COMPARED] = "attempt-not-compared",
  [MQ_DEFECT_POSITION_NOT_COMPARED] = "position-not-compared",
  [MQ_DEFECT_RECEIPTS_NOT_CHECKED] = "receipts-not-checked",
  [MQ_DEFECT_LAYER_GAP_ALLOWED] = "layer-gap-allowed",
  [MQ_DEFECT_NOT_RUN_AFTER_SEND] = "not-run-after-send",
  [MQ_DEFECT_NON_REPEATABLE_RETRIED] = "non-repeatable-retried",
  [MQ_DEFECT_TICKET_RUN_TWICE] = "ticket-run-twice",
  [MQ_DEFECT_CLAIM_NOT_AWAITED] = "claim-not-awaited",
  [MQ_DEFECT_ENDS_TWICE] = "ends-twice",
  [MQ_DEFECT_STREAM_LEFT_OPEN] = "stream-left-open",
  [MQ_DEFECT_LIMIT_KEPT] = "limit-kept",
  [MQ_DEFECT_DRAIN_TAKES_WORK] = "drain-takes-work",
  [MQ_DEFECT_DEADLINE_IGNORED] = "deadline-ignored",
  [MQ_DEFECT_CHANGE_ID_IGNORED] = "change-id-ignored",
  [MQ_DEFECT_DOUBT_DENIED] = "doubt-denied",
  [MQ_DEFECT_RACE_OVERWRITES] = "race-overwrites",
  [MQ_DEFECT_LOWER_GENERATION_TAKEN] = "lower-generation-taken",
  [MQ_DEFECT_FOREIGN_TICKET] = "foreign-ticket",
  [MQ_DEFECT_LEASE_CLOCK_IGNORED] = "lease-clock-ignored",
  [MQ_DEFECT_CLAIM_LOST_REPLY_WON] = "claim-lost-reply-won",
};

#ifdef MQ_DEFECTS
static mq_defect enabled = MQ_DEFECT_NONE;

bool
mq_defect_enabled (mq_defect defect)
{
  return enabled == defect;
}

void
mq_defect_enable (mq_defect defect)
{
  enabled = defect;
}
#endif

const char *
mq_defect_name (mq_defect defect)
{
  return names[defect];
}
