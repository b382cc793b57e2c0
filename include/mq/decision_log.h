/* A ring buffer of recent decisions about requests, for `mqctl explain`.

   Each record holds the figures on which the decision was based.  A full ring
   overwrites its oldest record.  */

#ifndef MQ_DECISION_LOG_H
#define MQ_DECISION_LOG_H

#include <glib.h>
#include <mq/outcome.h>
#include <mq/planner.h>

G_BEGIN_DECLS

typedef enum mq_decision_kind
{
  MQ_DECISION_REFUSED,  /* Ended before an upstream may have run it.  */
  MQ_DECISION_ADMITTED, /* First stream opened, or first send.  */
  MQ_DECISION_MOVED,    /* An attempt was abandoned for another.  */
  MQ_DECISION_RETRIED,  /* A plain call was sent again.  */
  MQ_DECISION_ENDED     /* Ended after an upstream may have run it.  */
} mq_decision_kind;

typedef struct mq_decision
{
  mq_decision_kind kind;
  uint64_t at_us;   /* Monotonic, of the event.  */
  mq_request_id id; /* Sequence 0: refused before it was numbered.  */
  uint64_t handle;
  uint32_t attempt;
  uint32_t tokens;         /* Delivered to the caller.  */
  mq_attempt_end lost;     /* MOVED: how the attempt ended.  */
  uint32_t stage;          /* MOVED: the stage at fault, or MQ_STAGE_NONE.  */
  mq_outcome outcome;      /* REFUSED and ENDED.  */
  mq_reason reason;        /* REFUSED and ENDED.  */
  uint64_t left_us;        /* Time to the deadline.  */
  uint64_t work_us;        /* Estimated remaining work; 0: not known.  */
  uint64_t retry_after_us; /* REFUSED and ENDED; 0: a retry cannot help.  */
  mq_plan_figures figures; /* From the planner; zero if it was not asked.  */
} mq_decision;

typedef struct mq_decision_log mq_decision_log;

/* Returns a new log of the last CAPACITY records; CAPACITY is above 0.  */
mq_decision_log *mq_decision_log_new (uint32_t capacity);
void mq_decision_log_free (mq_decision_log *log);

/* Append a copy of DECISION.  */
void mq_decision_log_add (mq_decision_log *log, const mq_decision *decision);

/* Returns the number of records.  */
uint32_t mq_decision_log_count (const mq_decision_log *log);
/* Returns record I, oldest first; borrowed until the next addition.  */
const mq_decision *mq_decision_log_at (const mq_decision_log *log, uint32_t i);

/* Returns "refused", "admitted", "moved", "retried" or "ended"; static.  */
const char *mq_decision_kind_name (mq_decision_kind kind);

G_END_DECLS

#endif
