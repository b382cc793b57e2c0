/* The entry: the state machine of the requests that callers sent to this
   router.

   The module is pure: it takes typed events that carry the time and returns
   typed actions.  It does no I/O, reads no clock and has no global state;
   jitter comes from a generator that is seeded in mq_entry_new.  For each
   request it records what was sent to upstreams, which tokens the caller has,
   which attempt is awaited, and the outcome.

   Invariants:
   - each CALL, accepted or refused, leads to exactly one END action; after it
     only clean-up actions carry the handle of the call;
   - a token is delivered to the caller only at the next position of its
     request, from the awaited attempt, with receipts that cover every layer
     once;
   - MQ_OUTCOME_NOT_RUN is reported only if nothing that could start work was
     sent to an upstream, or if the upstream reported that it did not run the
     request;
   - a call that may not be repeated is sent again only if the previous send
     is proven not to have run;
   - each REQUEST_LIMIT that was not refused is matched by one RELEASE_LIMIT,
     and each REQUEST_PLAN that was not refused by one RELEASE_PLAN, in the
     same or a later list of actions, no later than END;
   - an OPEN_STREAM that did not end by itself is matched by one
     CANCEL_STREAM; the same holds for SEND and CANCEL_SEND;
   - END is emitted as soon as the outcome is known.

   An outcome describes the call that ends, with one exception.  A call that
   repeats a ticket or key which this router remembers
   (MQ_REASON_TICKET_SPENT, KEY_SPENT, KEY_IN_FLIGHT) receives the outcome of
   the first call, or UNKNOWN while the first call still runs.  */

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

/* How long the outcome of a guarded call is remembered after its end.  The
   lifetime of a ticket must be shorter.  */
#define MQ_ENTRY_GUARD_RETENTION_US (UINT64_C (15) * 60 * 1000000)
/* The lifetime of a claim, during which its key cannot run again.  */
#define MQ_ENTRY_CLAIM_LIFETIME_US (UINT64_C (24) * 3600 * 1000000)

/* How a call is protected from running twice.  */
typedef enum mq_guard_kind
{
  MQ_GUARD_NONE,
  MQ_GUARD_TICKET, /* Issued with a discovery reply; see mq/ticket.h.  */
  MQ_GUARD_KEY     /* The caller's Idempotency-Key; requires a claim.  */
} mq_guard_kind;

typedef struct mq_call
{
  uint64_t handle; /* Chosen by the adapter for this exchange.  */
  mq_span organisation;
  mq_span service;
  uint64_t deadline_us; /* From now; 0: the default of the service.  */
  int32_t priority;     /* -1: the default of the service.  */
  mq_guard_kind guard;
  mq_span guard_value; /* The key, or the number of the opened ticket as
                          text.  */
  uint64_t body_hash;  /* Distinguishes bodies sent under the same key.  */
  uint64_t content;    /* Hash of the request content, identical whenever the
                          caller repeats the request; 0: not known.  */
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
  MQ_CLAIM_WON,        /* This call holds the key and may run.  */
  MQ_CLAIM_LOST,       /* Another call with the same body holds the key.  */
  MQ_CLAIM_MISMATCH,   /* Another call with a different body holds it.  */
  MQ_CLAIM_UNAVAILABLE /* The claim was not decided: do not run.  */
} mq_claim_result;

/* How a send to an upstream failed.  */
typedef struct mq_send_failure
{
  bool maybe_sent;   /* A byte may have reached the upstream.  */
  bool said_not_run; /* The upstream reported that it did not run.  */
  bool timed_out;
} mq_send_failure;

typedef enum mq_entry_event_kind
{
  MQ_ENTRY_CONFIG,
  MQ_ENTRY_CALL,
  MQ_ENTRY_CALLER_DISCONNECTED,
  MQ_ENTRY_PLANNED,     /* The planner's reply to REQUEST_PLAN.  */
  MQ_ENTRY_LIMITED,     /* The limiter's reply to REQUEST_LIMIT.  */
  MQ_ENTRY_CLAIMED,     /* The result of CLAIM.  */
  MQ_ENTRY_STREAM_OPEN, /* The first engine accepted the stream.  */
  MQ_ENTRY_TOKEN,
  MQ_ENTRY_STREAM_END,    /* The first engine sent its final line.  */
  MQ_ENTRY_STREAM_FAILED, /* The connection broke or the response was
                             invalid.  */
  MQ_ENTRY_BACK_PRESSURE, /* Back-pressure from a slow caller pauses the
                             stream, or ends; no engine is at fault.  A new
                             attempt begins without back-pressure.  */
  MQ_ENTRY_REPLY,         /* A plain service sent a complete response.  */
  MQ_ENTRY_SEND_FAILED,   /* A send to a plain service failed.  */
  MQ_ENTRY_DRAIN,         /* Accept no new calls.  */
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
  uint64_t handle;  /* Not set for CONFIG, DRAIN and TICK.  */
  uint32_t attempt; /* Set for the kinds from PLANNED to SEND_FAILED.  */
  union
  {
    mq_config *config; /* Borrowed; the entry takes a reference.  */
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
      uint32_t stage; /* The lost stage; STAGE_LOST only.  */
    } stream_end;
    bool held;               /* BACK_PRESSURE: whether it applies now.  */
    mq_send_failure failure; /* STREAM_FAILED and SEND_FAILED.  */
    unsigned status;         /* REPLY: the HTTP status.  */
  } u;
} mq_entry_event;

typedef enum mq_entry_action_kind
{
  MQ_ENTRY_REQUEST_LIMIT, /* Request one place in the organisation's limit.  */
  MQ_ENTRY_REQUEST_PLAN,
  MQ_ENTRY_RELEASE_PLAN, /* Report to the planner that an attempt ended.  */
  MQ_ENTRY_RELEASE_LIMIT,
  MQ_ENTRY_CLAIM, /* Create the claim object if absent.  */
  MQ_ENTRY_OPEN_STREAM,
  MQ_ENTRY_CANCEL_STREAM,
  MQ_ENTRY_SEND, /* To an instance of a plain service.  */
  MQ_ENTRY_CANCEL_SEND,
  MQ_ENTRY_DELIVER,       /* Send one token to the caller.  */
  MQ_ENTRY_SUSPECT,       /* The request may have crashed the upstream.  */
  MQ_ENTRY_FORWARD_REPLY, /* Send the plain reply to the caller.  */
  MQ_ENTRY_END,           /* The request has ended.  */
  MQ_ENTRY_DRAINED        /* No request is in flight; emitted once.  */
} mq_entry_action_kind;

typedef struct mq_entry_action
{
  mq_entry_action_kind kind;
  uint64_t handle;
  uint32_t attempt;
  mq_request_id id;
  union
  {
    mq_plan_request request; /* Its spans are borrowed from the request, which
                                lives until its END action is carried out.  */
    mq_plan_release release;
    struct
    {
      mq_span organisation;
      uint32_t tokens; /* Requested; on release: delivered.  */
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
      uint32_t sent_tokens; /* Already delivered; the adapter keeps their
                               text.  */
      uint32_t max_tokens;  /* Over all attempts.  */
      int32_t priority;
      uint64_t deadline_us; /* Time remaining.  */
    } open;
    struct
    {
      mq_span url;          /* Of the instance.  */
      uint64_t deadline_us; /* Time remaining.  */
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
      uint64_t retry_after_us; /* 0: a retry would not help.  */
      uint32_t tokens;         /* Delivered to the caller.  */
    } end;
  } u;
} mq_entry_action;

/* Counters since mq_entry_new.  */
typedef struct mq_entry_counters
{
  uint64_t calls;   /* Received, accepted or not.  */
  uint64_t refused; /* Ended before an upstream may have run it.  */
  uint64_t ended[MQ_OUTCOME_UNKNOWN + 1]; /* By outcome, with refused.  */
  uint64_t reasons[MQ_REASON_COUNT];      /* By reason, with refused.  */
  uint64_t late;             /* Accepted, then ended for their deadline.  */
  uint64_t ended_early;      /* Of LATE: ended before the deadline, which had
                                become unreachable.  */
  uint64_t tokens;           /* Delivered.  */
  uint64_t stale_events;     /* Dropped: not of the awaited attempt.  */
  uint64_t duplicate_tokens; /* Dropped: delivered before, or beyond the
                                maximum.  */
  uint64_t position_gaps;    /* Attempts abandoned for a skipped position.  */
  uint64_t wrong_receipts;   /* Attempts abandoned for layers or versions
                                other than planned.  */
  uint64_t streams;          /* Opened.  */
  uint64_t stalls;
  uint64_t slow_attempts;  /* Attempts abandoned as too slow.  */
  uint64_t replans;        /* Plan requests after the first of a request.  */
  uint64_t queued_replans; /* Replans that waited in the queue.  */
  uint64_t sends;          /* To plain services, with retries.  */
  uint64_t retries;        /* Of SENDS: repeated sends.  */
  uint64_t retries_denied; /* By a retry budget.  */
  uint64_t guard_hits;     /* Calls refused for a repeated ticket or key.  */
} mq_entry_counters;

typedef struct mq_entry mq_entry;

typedef struct mq_entry_options
{
  uint64_t router; /* Incarnation of this process.  */
  uint64_t seed;   /* For jitter.  */
  mq_span failure_domain;
  mq_quarantine *quarantine; /* Borrowed; must outlive the entry.  NULL: no
                                request is refused or suspected for
                                crashes.  */
} mq_entry_options;

mq_entry *mq_entry_new (const mq_entry_options *options);
void mq_entry_free (mq_entry *entry);

/* Handle EVENT and append the resulting actions to ACTIONS, a GArray of
   mq_entry_action that the caller has cleared.  What the actions borrow stays
   valid until the next call.  */
void mq_entry_handle (mq_entry *entry, const mq_entry_event *event,
                      GArray *actions);

/* Returns the counters, borrowed; valid until ENTRY is freed.  */
const mq_entry_counters *mq_entry_read_counters (const mq_entry *entry);

/* Returns the log of recent decisions, borrowed.  */
const mq_decision_log *mq_entry_decisions (const mq_entry *entry);

/* Returns the number of requests that have not ended.  */
uint32_t mq_entry_in_flight (const mq_entry *entry);

/* Returns when the next TICK is due, on the clock of the events, or
   UINT64_MAX if none is due.  */
uint64_t mq_entry_next_tick (const mq_entry *entry);

G_END_DECLS

#endif
