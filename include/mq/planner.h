/* The planner: admission and placement for the model engines of a region.

   Pure: it takes typed events with the time passed in and returns typed
   actions; no I/O, clock, global or random source inside.  One router, the
   soft owner of a model in its region (see mq/fleet.h), runs the planner for
   that model against its own exact count of what is in flight; the entry
   router asks it in one round trip and opens the stream itself.  Two owners
   for a moment, or none, cost throughput and never safety: what an engine
   ran is checked by the entry (mq/entry.h).

   Where no owner answers in time the entry asks the planner in its own
   process, which knows less and is more careful.  */

#ifndef MQ_PLANNER_H
#define MQ_PLANNER_H

#include <glib.h>
#include <mq/config.h>
#include <mq/outcome.h>
#include <mq/plan.h>

G_BEGIN_DECLS

/* Names one request in the whole fleet.  */
typedef struct mq_request_id
{
  uint64_t router;   /* Incarnation of the entry router.  */
  uint64_t sequence; /* Counted by that router.  */
} mq_request_id;

/* What an entry asks a planner.  */
typedef struct mq_plan_request
{
  mq_request_id id;
  uint32_t attempt; /* 1, or more after a stage was lost.  */
  mq_span service;
  mq_span organisation;
  uint32_t prompt_tokens; /* An estimate.  */
  uint32_t sent_tokens;   /* Already with the caller.  */
  uint32_t max_tokens;    /* Still to come at the most.  */
  int32_t priority;
  uint64_t deadline_us;          /* Left when asked.  */
  uint64_t prefix_hash;          /* Of the prompt's first part; 0: none.  */
  mq_span avoid[MQ_PLAN_STAGES]; /* Engines that just failed this request. */
  uint32_t n_avoid;
} mq_plan_request;

/* What came of one attempt, told by the entry when it is over.  */
typedef enum mq_attempt_end
{
  MQ_ATTEMPT_DONE,
  MQ_ATTEMPT_CANCELLED,
  MQ_ATTEMPT_STAGE_DIED,    /* Connection refused or broken.  */
  MQ_ATTEMPT_STAGE_STALLED, /* No progress in time.  */
  MQ_ATTEMPT_STAGE_REFUSED, /* Said no before any work.  */
  MQ_ATTEMPT_STAGE_WRONG    /* Ran other layers or another version.  */
} mq_attempt_end;

/* The stage at fault where it is not known which one is (a hang shows at the
   head alone) or where none is.  */
#define MQ_STAGE_NONE UINT32_MAX

typedef struct mq_plan_release
{
  mq_request_id id;
  uint32_t attempt;
  mq_attempt_end end;
  uint32_t stage;          /* The one at fault, or MQ_STAGE_NONE.  */
  uint32_t tokens;         /* Made in this attempt.  */
  uint64_t first_token_us; /* 0: none came.  */
  uint64_t mean_gap_us;    /* Between tokens; 0: fewer than two came.  */
} mq_plan_release;

/* An engine's own, lagging report.  */
typedef struct mq_engine_load
{
  mq_span engine;
  mq_span version;
  uint32_t first;
  uint32_t end;
  uint32_t queue;
  uint32_t batch;
  uint32_t step_us;
  uint64_t kv_used;
  uint64_t kv_limit;
  uint64_t age_us;      /* How old the figures were when sent.  */
  uint64_t incarnation; /* Changes when the engine restarts.  */
} mq_engine_load;

typedef enum mq_planner_event_kind
{
  MQ_PLANNER_CONFIG, /* A generation is in force.  */
  MQ_PLANNER_REQUEST,
  MQ_PLANNER_REGISTER, /* An attempt that another planner placed.  */
  MQ_PLANNER_PROGRESS, /* Some tokens of an attempt came.  */
  MQ_PLANNER_RELEASE,
  MQ_PLANNER_LOAD,
  MQ_PLANNER_ENGINE_DOWN, /* Does not answer its load report.  */
  MQ_PLANNER_LEAVING, /* An engine's VM is on the platform's leaving list */
  MQ_PLANNER_CACHE,   /* A hint: an engine stored or evicted a prefix.  */
  MQ_PLANNER_ROUTER_REMOVED, /* All that router's attempts are over.  */
  MQ_PLANNER_TICK
} mq_planner_event_kind;

typedef struct mq_planner_event
{
  mq_planner_event_kind kind;
  uint64_t now_us; /* Monotonic.  */
  union
  {
    mq_config *config; /* Borrowed; the planner takes its own reference.  */
    mq_plan_request ask;
    struct
    {
      mq_plan_request ask; /* With the deadline that is left.  */
      const mq_plan *plan; /* Borrowed.  */
    } registered;
    struct
    {
      mq_request_id id;
      uint32_t attempt;
      uint32_t tokens; /* In this attempt so far.  */
      uint64_t mean_gap_us;
    } progress;
    mq_plan_release release;
    mq_engine_load load;
    mq_span engine; /* ENGINE_DOWN and LEAVING.  */
    struct
    {
      mq_span engine;
      uint64_t prefix_hash;
      bool stored;
    } cache;
    uint64_t router; /* ROUTER_GONE.  */
  } u;
} mq_planner_event;

/* The figures on which an ask was decided, kept for `mqctl explain`.  */
typedef struct mq_plan_figures
{
  uint64_t predicted_first_us;
  uint64_t predicted_finish_us;
  uint64_t margin_us;
  uint64_t deadline_us;
  uint32_t in_flight;
  uint32_t capacity;
  uint32_t share; /* Of the organisation, in streams.  */
  uint32_t held;  /* By the organisation, in streams.  */
} mq_plan_figures;

typedef enum mq_planner_action_kind
{
  MQ_PLANNER_ADMIT,        /* Answer the ask with a plan.  */
  MQ_PLANNER_REFUSE,       /* Answer the ask with a reason.  */
  MQ_PLANNER_REPAIR,       /* A layer range has too few engines: order one.  */
  MQ_PLANNER_CANCEL_REPAIR /* An earlier REPAIR is off: the range has enough
                         engines again, or another engine is ordered.  */
} mq_planner_action_kind;

typedef struct mq_planner_action
{
  mq_planner_action_kind kind;
  mq_request_id id; /* ADMIT and REFUSE.  */
  uint32_t attempt;
  mq_plan_figures figures;
  union
  {
    mq_plan plan; /* ADMIT; owned by the action.  */
    struct
    {
      mq_reason reason;
      uint64_t retry_after_us; /* When to come back.  */
    } refuse;
    struct
    {
      mq_str *engine; /* The one to order; owned by the action.  */
      mq_str *model;
      mq_str *version;
      uint32_t first;
      uint32_t end;
    } repair; /* REPAIR and REPAIRED.  */
  } u;
} mq_planner_action;

typedef struct mq_planner mq_planner;

/* A new planner for a VM in FAILURE_DOMAIN; ROUTER is the incarnation of its
   process.  It serves nothing before its first CONFIG event.  */
mq_planner *mq_planner_new (mq_span failure_domain, uint64_t router);
void mq_planner_free (mq_planner *planner);

/* Take EVENT and append the actions it calls for to ACTIONS (a GArray of
   mq_planner_action made by mq_planner_actions_new).  An ASK is answered at
   once with exactly one ADMIT or REFUSE: nothing waits in the planner.  */
void mq_planner_handle (mq_planner *planner, const mq_planner_event *event,
                        GArray *actions);

/* An empty list whose elements are cleared when they are removed.  */
GArray *mq_planner_actions_new (void);

/* Attempts that hold a place.  */
uint32_t mq_planner_in_flight (const mq_planner *planner);

/* What the planner thinks of one engine, for status and tests.  */
typedef struct mq_engine_view
{
  uint32_t first; /* Layers [first, end) that it holds.  */
  uint32_t end;
  uint32_t in_flight;
  double load;            /* 1: its batches are just full.  */
  double step_us;         /* Expected for a full batch.  */
  double slowdown_factor; /* Time it takes over what it reports.  */
  bool usable;            /* May be given new work.  */
  bool ejected;           /* Slow against its peers.  */
} mq_engine_view;

/* Fill VIEW for ENGINE as of NOW_US.  Returns 0, or -1 when the planner has
   no engine of that name in its region.  */
int mq_planner_engine (const mq_planner *planner, mq_span engine,
                       uint64_t now_us, mq_engine_view *view);

G_END_DECLS

#endif
