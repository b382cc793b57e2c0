/* Internal to packages/decide: one request and its timer.

   A request belongs to the entry (mq/entry.h) that accepted it.  It records
   what was sent to upstreams, what the caller has received and which attempt
   is awaited; its outcome follows from these alone.

   Invariants:
   - may_have_run never returns to false;
   - tokens increases by one for each delivered token and never decreases;
   - each plan requested and each call sent has an attempt number of its own,
     higher than those before; attempt never decreases.  */

#ifndef MQ_INTERNAL_REQUEST_H
#define MQ_INTERNAL_REQUEST_H

#include <mq/entry.h>

G_BEGIN_DECLS

typedef enum mq_request_state
{
  MQ_REQUEST_LIMITING,    /* Waits for the limiter.  */
  MQ_REQUEST_PLANNING,    /* Waits for the planner.  */
  MQ_REQUEST_CLAIMING,    /* Waits for its claim.  */
  MQ_REQUEST_OPENING,     /* The stream was sent to the first engine.  */
  MQ_REQUEST_STREAMING,   /* The first engine accepted the stream.  */
  MQ_REQUEST_CALLING,     /* The call was sent to a plain service.  */
  MQ_REQUEST_BACKING_OFF, /* Waits until resume_us to try again.  */
  MQ_REQUEST_IDLE,        /* Between two states, within one event.  */
  MQ_REQUEST_QUEUED,      /* Waits for the next replanning window.  */
  MQ_REQUEST_ENDED
} mq_request_state;

/* The search for a replacement of an attempt that is silent.  The attempt goes
   on meanwhile.  */
typedef enum mq_replacement_state
{
  MQ_REPLACEMENT_NONE,
  MQ_REPLACEMENT_QUEUED,     /* Waits for the next replanning window.  */
  MQ_REPLACEMENT_PLANNING,   /* Waits for the planner.  */
  MQ_REPLACEMENT_BACKING_OFF /* Waits to ask the planner again.  */
} mq_replacement_state;

/* Number of gaps between tokens from which the remaining work is
   estimated.  */
#define MQ_REQUEST_GAP_SAMPLES 8

typedef struct mq_request
{
  mq_request_id id;
  uint64_t handle;
  mq_str *organisation;
  mq_str *service;
  mq_str *guard_value;
  uint64_t body_hash;
  uint64_t content; /* As in the call.  */
  uint64_t started_us;
  uint64_t deadline_us;    /* On the clock of the events.  */
  uint64_t state_since_us; /* Time of the last state change or token.  */
  uint64_t resume_us;      /* BACKING_OFF: when to try again.  */
  size_t heap_index;       /* Index in the heap of timers, or SIZE_MAX.  */
  uint64_t heap_us;        /* Due time stored in the heap.  */
  mq_request_state state;
  mq_replacement_state replacement; /* Model.  */
  mq_service_kind kind;
  mq_guard_kind guard;
  int32_t priority;
  uint32_t attempt;
  uint32_t last_attempt;    /* Model: the highest number given.  */
  uint32_t backoffs;        /* Consecutive back-offs.  */
  bool guarded;             /* The entry's table of guarded calls holds it.  */
  bool limit_held;          /* The limiter was asked and did not refuse.  */
  bool claimed;             /* The claim is won.  */
  bool may_have_run;        /* A past attempt may have started work.  */
  bool seen_running;        /* An upstream has sent proof of work.  */
  bool caller_disconnected; /* It continues, to learn its outcome.  */
  bool replaced_as_slow;    /* Model: an attempt was found too slow.  */
  bool replacing_slow; /* Model: it, and not a silent one, is replaced.  */
  bool back_pressure;  /* Model: the caller reads too slowly.  */
  bool plan_held;      /* Model: the planner counts the current attempt.  */
  bool cleared;        /* Model: it is no longer suspected of crashes.  */
  bool repeatable;     /* Plain: see mq_service_call_is_repeatable.  */

  mq_str *suspect_url; /* The last upstream that it may have crashed.  */

  /* For kind model.  */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t tokens; /* Delivered to the caller.  */
  uint32_t n_avoid;
  uint64_t prefix_hash;
  mq_plan plan; /* Of the current attempt; empty before the first.  */
  mq_plan_figures figures;
  mq_str *avoid[MQ_PLAN_MAX_STAGES];
  uint64_t opened_us;              /* When the current attempt was opened.  */
  uint64_t back_pressure_since_us; /* Valid while back_pressure is true.  */
  uint64_t first_token_at_us;      /* Of the current attempt.  */
  uint64_t last_token_at_us;       /* Of the current attempt.  */
  uint32_t gaps[MQ_REQUEST_GAP_SAMPLES]; /* Last gaps between tokens, us.  */
  uint32_t ignored_tokens;      /* Dropped in a row in the current attempt.  */
  uint32_t attempt_tokens;      /* Delivered in the current attempt.  */
  uint32_t expected_tokens;     /* In the complete answer; 0: not known.  */
  uint64_t plan_requested_us;   /* When its plan was requested.  */
  uint64_t planned_gap_us;      /* By the plan; 0: not known.  */
  uint32_t lost_attempts;       /* Opened attempts that failed.  */
  uint32_t replacement_attempt; /* PLANNING: its number.  */
  uint64_t replacement_due_us;  /* PLANNING: when the reply is overdue;
                                   BACKING_OFF: when to ask again.  */

  /* For kind plain.  */
  mq_str *method;
  mq_str *path;
  mq_str *instance; /* URL that the call was sent to, or NULL.  */
} mq_request;

/* Returns a new request for CALL to SERVICE by ORGANISATION.  Copies what CALL
   borrows.  */
mq_request *mq_request_new (const mq_call *call, const mq_service *service,
                            const mq_organisation *organisation,
                            mq_request_id id, uint64_t now_us);
void mq_request_free (mq_request *request);

/* Returns true if an attempt is at an upstream.  */
bool mq_request_has_open_attempt (const mq_request *request);
/* Returns the outcome of REQUEST if it ends now with an incomplete answer.  */
mq_outcome mq_request_outcome (const mq_request *request);
/* Returns the time until the deadline, or 0 if it has passed.  */
uint64_t mq_request_remaining_us (const mq_request *request, uint64_t now_us);
/* Returns true if the caller has received the maximum number of tokens.  */
bool mq_request_is_complete (const mq_request *request);
/* Returns the estimated time for the remaining tokens, or 0 if not known.  */
uint64_t mq_request_work_us (const mq_request *request);
/* Returns the time until the deadline less the remaining work; negative if
   REQUEST is expected to be late.  */
int64_t mq_request_slack_us (const mq_request *request, uint64_t now_us);
/* Returns the time after which REQUEST cannot finish by its deadline, even if
   only the assured share of the estimated work remains.  */
uint64_t mq_request_deadline_unreachable_us (const mq_request *request);
bool mq_request_is_deadline_unreachable (const mq_request *request,
                                         uint64_t now_us);
/* Returns true if the current attempt is so much slower than planned that a
   response of maximum length would miss the deadline, while a new attempt at
   the planned speed would meet it.  */
bool mq_request_is_too_slow (const mq_request *request, uint64_t now_us);
/* Record the planner's FIGURES for the next attempt.  */
void mq_request_note_plan (mq_request *request,
                           const mq_plan_figures *figures);
/* Record that a token of the current attempt arrived.  */
void mq_request_note_token (mq_request *request, uint64_t now_us);
/* Record that back-pressure begins or ends.  The paused time is not counted
   against the engines.  */
void mq_request_set_back_pressure (mq_request *request, bool active,
                                   uint64_t now_us);
/* Add ENGINE to those that the next plan must avoid; when the list is full,
   the oldest is dropped.  */
void mq_request_avoid (mq_request *request, mq_str *engine);

G_END_DECLS

#endif
