/* The entry: the life of each request that a caller gave this router.

   Pure: it takes typed events with the time passed in and returns typed
   actions; no I/O, clock, global or random source inside (jitter comes from
   a generator seeded at the start).  It holds the request aggregate: what
   was sent, what the caller has, which attempt is awaited, and the outcome.

   Invariants:
   - each CALL, accepted or refused, ends in exactly one END action, and after
     it no action carries its handle but those that clean up;
   - a token goes to the caller only at the next position of its request, in
     the attempt that is awaited, with receipts that cover every layer once;
   - MQ_OUTCOME_NOT_RUN is said only when nothing that could start work was
     handed to an upstream, or the upstream said that it did not run;
   - a call that may not be repeated is sent at most once, unless the send
     before is proven not to have run;
   - each ASK_LIMIT that was not refused is matched by one RELEASE_LIMIT, each
     ASK_PLAN that was not refused by one RELEASE_PLAN, in the same or a later
     list of actions, and no later than END;
   - an OPEN_STREAM that did not end by itself is matched by one
     CANCEL_STREAM, and the same for SEND and CANCEL_SEND;
   - a final answer is given as soon as it is known: END is never held back.

   What an outcome speaks of.  NOT_RUN, FAILED, DONE and UNKNOWN are said of
   the call that ends, with one exception: a call that repeats a ticket or key
   of this router's memory (MQ_REASON_TICKET_SPENT, KEY_SPENT, KEY_IN_FLIGHT)
   is told what came of the first call, since that is what its caller wants to
   know; UNKNOWN while the first still runs.  */

#ifndef MQ_ENTRY_H
#define MQ_ENTRY_H

#include <glib.h>
#include <mq/config.h>
#include <mq/decision_log.h>
#include <mq/outcome.h>
#include <mq/plan.h>
#include <mq/planner.h>
#include <mq/quarantine.h>

G_BEGIN_DECLS

/* How long the outcome of a guarded call is remembered after its end.  A
   ticket must expire sooner.  */
#define MQ_ENTRY_GUARD_RETENTION_US (UINT64_C (15) * 60 * 1000000)
/* How long a claim guards its key.  */
#define MQ_ENTRY_CLAIM_LIFETIME_US (UINT64_C (24) * 3600 * 1000000)

/* How a call guards itself against running twice.  */
typedef enum mq_guard_kind
{
  MQ_GUARD_NONE,
  MQ_GUARD_TICKET, /* Minted by a router's ask; see mq/ticket.h.  */
  MQ_GUARD_KEY     /* The caller's own Idempotency-Key: needs a claim.  */
} mq_guard_kind;

typedef struct mq_call
{
  uint64_t handle; /* The adapter's name for the caller's exchange. */
  mq_span organisation;
  mq_span service;
  uint64_t deadline_us; /* From now; 0: the service's own.  */
  int32_t priority;     /* -1: the service's own.  */
  mq_guard_kind guard;
  mq_span guard_value; /* The key; or the ticket, already opened: its
                          number as text.  */
  uint64_t body_hash;  /* Tells one body from another under one key.  */
  uint64_t content;    /* Hash of all that it asks, the same each time that its
                          caller sends it; 0: not known.  */
  /* For a service of kind model.  */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint64_t prefix_hash;
  /* For a plain service.  */
  mq_span method;
  mq_span path;
} mq_call;

typedef enum mq_claim_result
{
  MQ_CLAIM_WON,        /* Ours: nobody else runs this key.  */
  MQ_CLAIM_LOST,       /* Somebody else's, for the same body.  */
  MQ_CLAIM_MISMATCH,   /* Somebody else's, for another body.  */
  MQ_CLAIM_UNAVAILABLE /* The platform did not say: do not run.  */
} mq_claim_result;

/* How a send to an upstream went wrong.  */
typedef struct mq_send_failure
{
  bool maybe_sent;   /* A byte may have reached the upstream.  */
  bool said_not_run; /* The upstream itself said it did not run.  */
  bool timed_out;
} mq_send_failure;

typedef enum mq_entry_event_kind
{
  MQ_ENTRY_CONFIG,
  MQ_ENTRY_CALL,
  MQ_ENTRY_CALLER_DISCONNECTED,
  MQ_ENTRY_PLANNED,     /* The planner's answer to an ask.  */
  MQ_ENTRY_LIMITED,     /* The limiter's answer.  */
  MQ_ENTRY_CLAIMED,     /* What came of a claim.  */
  MQ_ENTRY_STREAM_OPEN, /* The head took the stream.  */
  MQ_ENTRY_TOKEN,
  MQ_ENTRY_STREAM_END,    /* The head's own last line.  */
  MQ_ENTRY_STREAM_FAILED, /* The connection or the answer broke.  */
  MQ_ENTRY_BACK_PRESSURE, /* The stream is held back, or no longer, since the
                    caller reads slowly; no engine is at fault.  A new attempt
                    begins as not held.  */
  MQ_ENTRY_REPLY,         /* A plain service answered whole.  */
  MQ_ENTRY_SEND_FAILED,   /* A plain service did not.  */
  MQ_ENTRY_DRAIN,         /* Take no new work.  */
  MQ_ENTRY_TICK
} mq_entry_event_kind;

typedef enum mq_stream_end
{
  MQ_STREAM_DONE,
  MQ_STREAM_CANCELLED,
  MQ_STREAM_DEADLINE,
  MQ_STREAM_STAGE_LOST,
  MQ_STREAM_EVICTED
} mq_stream_end;

typedef struct mq_entry_event
{
  mq_entry_event_kind kind;
  uint64_t now_us;  /* Monotonic.  */
  uint64_t handle;  /* All but CONFIG, DRAIN and TICK.  */
  uint32_t attempt; /* PLANNED to SEND_FAILED.  */
  union
  {
    mq_config *config; /* Borrowed.  */
    mq_call call;
    struct
    {
      bool admitted;
      const mq_plan *plan; /* Borrowed.  */
      mq_reason reason;
      uint64_t retry_after_us;
      mq_plan_figures figures;
    } planned;
    struct
    {
      bool allowed;
      uint64_t retry_after_us;
    } limited;
    mq_claim_result claim;
    struct
    {
      uint32_t position;
      mq_span text;
      const mq_receipt *receipts;
      size_t n_receipts;
    } token;
    struct
    {
      mq_stream_end end;
      uint32_t stage; /* STAGE_LOST.  */
    } stream_end;
    bool held;
    mq_send_failure failure; /* STREAM_FAILED and SEND_FAILED.  */
    unsigned status;         /* REPLY.  */
  } u;
} mq_entry_event;

typedef enum mq_entry_action_kind
{
  MQ_ENTRY_REQUEST_LIMIT, /* May this organisation run one more?  */
  MQ_ENTRY_REQUEST_PLAN,
  MQ_ENTRY_RELEASE_PLAN, /* Tell the planner that an attempt is over.  */
  MQ_ENTRY_RELEASE_LIMIT,
  MQ_ENTRY_CLAIM, /* Create the claim object if absent.  */
  MQ_ENTRY_OPEN_STREAM,
  MQ_ENTRY_CANCEL_STREAM,
  MQ_ENTRY_SEND, /* To an instance of a plain service.  */
  MQ_ENTRY_CANCEL_SEND,
  MQ_ENTRY_DELIVER,       /* One token to the caller.  */
  MQ_ENTRY_SUSPECT,       /* The upstream may have ended under the request.  */
  MQ_ENTRY_FORWARD_REPLY, /* The plain service's reply to the caller.  */
  MQ_ENTRY_END,           /* The last word on a request.  */
  MQ_ENTRY_DRAINED        /* Nothing is in flight any more; said once.  */
} mq_entry_action_kind;

typedef struct mq_entry_action
{
  mq_entry_action_kind kind;
  uint64_t handle;
  uint32_t attempt;
  mq_request_id id;
  union
  {
    mq_plan_request ask; /* Spans are borrowed from the request, which
                        lives until its END action is carried out. */
    mq_plan_release release;
    struct
    {
      mq_span organisation;
      uint32_t tokens; /* Asked for, or used when released.  */
    } limit;
    struct
    {
      mq_span organisation;
      mq_span key;
      uint64_t body_hash;
      uint64_t lifetime_us;
    } claim;
    struct
    {
      const mq_plan *plan;  /* Borrowed from the request.  */
      uint32_t sent_tokens; /* The adapter holds their text.  */
      uint32_t max_tokens;  /* Over all attempts.  */
      int32_t priority;
      uint64_t deadline_us; /* Left.  */
    } open;
    struct
    {
      mq_span url;          /* Of the instance.  */
      uint64_t deadline_us; /* Left.  */
    } send;
    struct
    {
      uint64_t content; /* Of the call.  */
      mq_span url;      /* Of the upstream.  */
    } suspect;
    struct
    {
      uint32_t position;
      mq_span text; /* Borrowed from the event.  */
    } deliver;
    struct
    {
      mq_outcome outcome;
      mq_reason reason;
      uint64_t retry_after_us; /* 0: no use in coming back.  */
      uint32_t tokens;         /* With the caller.  */
    } end;
  } u;
} mq_entry_action;

/* What an entry counted since it was made.  */
typedef struct mq_entry_counters
{
  uint64_t calls;                         /* Taken, accepted or not.  */
  uint64_t refused;                       /* Ended before any send.  */
  uint64_t ended[MQ_OUTCOME_UNKNOWN + 1]; /* By outcome, refused too.  */
  uint64_t reasons[MQ_REASON_COUNT];      /* By reason, refused too.  */
  uint64_t late;             /* Accepted, then ended for their deadline.  */
  uint64_t ended_early;      /* Of those: before the deadline, as hopeless.  */
  uint64_t tokens;           /* Delivered.  */
  uint64_t stale_events;     /* Events of an attempt that is not awaited.  */
  uint64_t duplicate_tokens; /* Tokens that are with the caller already.  */
  uint64_t position_gaps;    /* Tokens left out: the attempt is given up.  */
  uint64_t wrong_receipts;   /* Layers or versions not as planned.  */
  uint64_t streams;          /* Opened.  */
  uint64_t stalls;
  uint64_t slow_attempts;  /* Attempts given up because they were too slow.  */
  uint64_t replans;        /* Plans asked for after the first.  */
  uint64_t queued_replans; /* Of those: had to wait for their turn.  */
  uint64_t sends;          /* To plain services, retries too.  */
  uint64_t retries;        /* Of those: repeated sends.  */
  uint64_t retries_denied; /* By a retry budget.  */
  uint64_t guard_hits;     /* Repeated tickets and keys.  */
} mq_entry_counters;

typedef struct mq_entry mq_entry;

typedef struct mq_entry_options
{
  uint64_t router; /* Incarnation of this process.  */
  uint64_t seed;   /* For jitter.  */
  mq_span failure_domain;
  mq_quarantine *quarantine; /* Borrowed; NULL: nothing is refused for what
                                ended under it.  */
} mq_entry_options;

mq_entry *mq_entry_new (const mq_entry_options *options);
void mq_entry_free (mq_entry *entry);

/* Take EVENT and append the actions it calls for to ACTIONS (a GArray of
   mq_entry_action, cleared by the caller before).  What actions borrow stays
   valid until the next call.  */
void mq_entry_handle (mq_entry *entry, const mq_entry_event *event,
                      GArray *actions);

/* The counters; borrowed, valid while ENTRY lives.  */
const mq_entry_counters *mq_entry_read_counters (const mq_entry *entry);

/* The record of what was decided of late; borrowed.  */
const mq_decision_log *mq_entry_decisions (const mq_entry *entry);

/* Requests that have not ended.  */
uint32_t mq_entry_in_flight (const mq_entry *entry);

/* When the next TICK is due, in the time of the events; UINT64_MAX: none. */
uint64_t mq_entry_next_tick (const mq_entry *entry);

G_END_DECLS

#endif
