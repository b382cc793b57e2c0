/* Internal to packages/decide: one request and its timer.

   A request belongs to the entry (mq/entry.h) that accepted it.  It knows
   what was handed to upstreams, what the caller has and which attempt is
   awaited; from these alone follows what may be said of it at its end.

   Invariants:
   - may_have_run never goes back to false;
   - tokens only grows, by one a delivered token;
   - attempt only grows, by one a plan asked for or a send.  */

#ifndef MQ_INTERNAL_REQUEST_H
#define MQ_INTERNAL_REQUEST_H

#include <mq/entry.h>

G_BEGIN_DECLS

typedef enum mq_request_state
{
  MQ_REQUEST_LIMITING,    /* Waits for the limiter.  */
  MQ_REQUEST_PLANNING,    /* Waits for the planner.  */
  MQ_REQUEST_CLAIMING,    /* Waits for its claim.  */
  MQ_REQUEST_OPENING,     /* The head was sent the stream.  */
  MQ_REQUEST_STREAMING,   /* The head has taken the stream.  */
  MQ_REQUEST_CALLING,     /* A plain service was sent the call.  */
  MQ_REQUEST_BACKING_OFF, /* Waits for its time to try again.  */
  MQ_REQUEST_IDLE,        /* Between two of these, within one event.  */
  MQ_REQUEST_QUEUED,      /* Waits for its turn among those that recover.  */
  MQ_REQUEST_ENDED
} mq_request_state;

/* How many gaps between tokens the estimate of the work is made of.  */
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
  uint64_t deadline_us;    /* In the time of the events.  */
  uint64_t state_since_us; /* When the state or the stream last moved.  */
  uint64_t resume_us;      /* RESTING: when to try again.  */
  size_t heap_index;       /* Place among the timers.  */
  uint64_t heap_us;        /* Due time as the timers know it.  */
  mq_request_state state;
  mq_service_kind kind;
  mq_guard_kind guard;
  int32_t priority;
  uint32_t attempt;
  uint32_t backoffs; /* In a row, for the back-off.  */
  bool guarded;      /* The memory of guarded calls holds it.  */
  bool limit_held;   /* The limiter was asked and did not refuse.  */
  bool claimed;      /* The claim is won.  */
  bool may_have_run; /* An attempt that is over may have started work.  */
  bool seen_running; /* An upstream gave proof of work.  */
  bool
      caller_disconnected; /* Nobody waits; it runs on to learn its outcome. */
  bool replaced_as_slow; /* Model: an attempt was given up for its slowness. */
  bool back_pressure; /* Model: the caller reads slower than tokens come.  */
  bool plan_held;     /* Model: the planner counts the present attempt.  */
  bool cleared;       /* Model: it ran on for a while, so it ended nothing.  */
  bool repeatable;    /* Plain: declared so, or the service honours its key. */

  mq_str *suspect_url; /* Of the last upstream that it may have ended.  */

  /* Of kind model.  */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint32_t tokens; /* With the caller.  */
  uint32_t n_avoid;
  uint64_t prefix_hash;
  mq_plan plan; /* Of the present attempt; empty before.  */
  mq_plan_figures figures;
  mq_str *avoid[MQ_PLAN_MAX_STAGES];
  uint64_t opened_us;              /* Of the present attempt.  */
  uint64_t back_pressure_since_us; /* Since when it is held back.  */
  uint64_t first_token_at_us;      /* Its first token.  */
  uint64_t last_token_at_us;       /* Its last token.  */
  uint32_t
      gaps[MQ_REQUEST_GAP_SAMPLES]; /* Last gaps between its tokens, us.  */
  uint32_t attempt_tokens;          /* Delivered in it.  */
  uint32_t expected_tokens;         /* In the whole answer; 0: not known.  */
  uint64_t plan_requested_us;       /* When its plan was asked for.  */
  uint64_t planned_gap_us;          /* Between tokens, by the planner.  */
  uint32_t lost_attempts;           /* Attempts that were out and failed.  */

  /* Of kind plain.  */
  mq_str *method;
  mq_str *path;
  mq_str *instance; /* That has the present attempt, or NULL.  */
} mq_request;

/* A request for CALL of SERVICE by ORGANISATION, with copies of what it
   borrows.  */
mq_request *mq_request_new (const mq_call *call, const mq_service *service,
                            const mq_organisation *organisation,
                            mq_request_id id, uint64_t now_us);
void mq_request_free (mq_request *request);

/* An attempt is with an upstream.  */
bool mq_request_has_open_attempt (const mq_request *request);
/* What may be said of REQUEST if it ends now without its whole answer.  */
mq_outcome mq_request_outcome (const mq_request *request);
/* Time left until its deadline; 0 when past.  */
uint64_t mq_request_remaining_us (const mq_request *request, uint64_t now_us);
/* All tokens that were asked for are with the caller.  */
bool mq_request_is_complete (const mq_request *request);
/* What its remaining tokens are thought to take; 0 when not known.  */
uint64_t mq_request_work_us (const mq_request *request);
/* Left less work; below 0 when it is late already.  */
int64_t mq_request_slack_us (const mq_request *request, uint64_t now_us);
/* From when on it can't finish by its deadline, also if the estimate of its
   work is too high by a fair margin.  */
uint64_t mq_request_deadline_unreachable_us (const mq_request *request);
bool mq_request_is_deadline_unreachable (const mq_request *request,
                                         uint64_t now_us);
/* Its present attempt is so much slower than planned that it will be late
   even for its longest answer, and another as planned would not be.  */
bool mq_request_is_too_slow (const mq_request *request, uint64_t now_us);
/* Take the planner's FIGURES for the next attempt.  */
void mq_request_note_plan (mq_request *request,
                           const mq_plan_figures *figures);
/* Note that a token came in the present attempt.  */
void mq_request_note_token (mq_request *request, uint64_t now_us);
/* The present attempt is held back, or no longer.  The time between counts
   for no engine.  */
void mq_request_set_back_pressure (mq_request *request, bool held,
                                   uint64_t now_us);
/* Keep ENGINE out of the next plan.  */
void mq_request_avoid (mq_request *request, mq_str *engine);

G_END_DECLS

#endif
