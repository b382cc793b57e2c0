/* The planner: admission and placement for the model engines of a region.

   The planner is a pure state machine.  It takes typed events that carry the
   time and returns typed actions.  It does no I/O, reads no clock and uses no
   globals or randomness.

   In each region one router owns a model and runs its planner (see
   mq/fleet.h).  The owner keeps an exact count of the model's attempts in
   flight.  An entry router requests a plan from the owner in one round trip
   and opens the stream to the engines itself.  If the owner does not reply in
   time, the entry router uses the planner in its own process, which has less
   information and is more conservative.

   Ownership is not exclusive: two owners at once, or none, reduce throughput
   but never break correctness, because the entry router verifies which layers
   each engine ran (mq/entry.h).  */

#ifndef MQ_PLANNER_H
#define MQ_PLANNER_H

#include <glib.h>
#include <mq/config.h>
#include <mq/outcome.h>
#include <mq/plan.h>

G_BEGIN_DECLS

/* Identifies one request in the cluster.  */
typedef struct mq_request_id
{
  uint64_t router;   /* Incarnation of the entry router.  */
  uint64_t sequence; /* Assigned by that router.  */
} mq_request_id;

/* A request of an entry router for a plan.  */
typedef struct mq_plan_request
{
  mq_request_id id;
  uint32_t attempt; /* 1, incremented after each failed attempt.  */
  mq_span service;
  mq_span organisation;
  uint32_t prompt_tokens; /* An estimate.  */
  uint32_t sent_tokens;   /* Already delivered to the caller.  */
  uint32_t max_tokens;    /* Upper bound of those still to be made.  */
  int32_t priority;
  uint64_t deadline_us; /* Time left, from the request on.  */
  uint64_t prefix_hash; /* Of the prompt's first part; 0: none.  */
  mq_span avoid[MQ_PLAN_MAX_STAGES]; /* Engines that failed this request.  */
  uint32_t n_avoid;
} mq_plan_request;

/* How an attempt ended, reported by the entry router.  */
typedef enum mq_attempt_end
{
  MQ_ATTEMPT_DONE,
  MQ_ATTEMPT_CANCELLED,
  MQ_ATTEMPT_STAGE_DIED,    /* Connection refused or broken.  */
  MQ_ATTEMPT_STAGE_STALLED, /* No progress in time.  */
  MQ_ATTEMPT_STAGE_REFUSED, /* Rejected before any work.  */
  MQ_ATTEMPT_STAGE_WRONG    /* Ran the wrong layers or version.  */
} mq_attempt_end;

/* Means that no stage is to blame, or that it is not known which one is: a
   hang is visible at the head alone.  */
#define MQ_STAGE_NONE UINT32_MAX

typedef struct mq_plan_release
{
  mq_request_id id;
  uint32_t attempt;
  mq_attempt_end end;
  uint32_t stage;          /* The stage to blame, or MQ_STAGE_NONE.  */
  uint32_t tokens;         /* Generated in this attempt.  */
  uint64_t first_token_us; /* Since the attempt began; 0: no token.  */
  uint64_t mean_gap_us;    /* Between tokens; 0: fewer than two tokens.  */
} mq_plan_release;

/* An engine's load report.  It lags by AGE_US.  */
typedef struct mq_engine_load
{
  mq_span engine;
  mq_span version;
  uint32_t first;
  uint32_t end;
  uint32_t queue; /* Streams that wait.  */
  uint32_t batch; /* Streams in a step, or all streams that it holds.  */
  uint32_t step_us;
  uint64_t kv_used;
  uint64_t kv_limit;
  uint64_t age_us;      /* Age of the values when they were sent.  */
  uint64_t incarnation; /* Changes when the engine restarts.  */
} mq_engine_load;

typedef enum mq_planner_event_kind
{
  MQ_PLANNER_CONFIG, /* A new configuration generation.  */
  MQ_PLANNER_REQUEST,
  MQ_PLANNER_REGISTER, /* An attempt that another planner placed.  */
  MQ_PLANNER_PROGRESS, /* An attempt received tokens.  */
  MQ_PLANNER_RELEASE,
  MQ_PLANNER_LOAD,
  MQ_PLANNER_ENGINE_DOWN, /* Its load report request failed.  */
  MQ_PLANNER_LEAVING,     /* The platform lists an engine's VM as leaving.  */
  MQ_PLANNER_CACHE,       /* A hint: an engine stored or evicted a prefix.  */
  MQ_PLANNER_ROUTER_REMOVED, /* Closes all attempts of a router.  */
  MQ_PLANNER_TICK
} mq_planner_event_kind;

typedef struct mq_planner_event
{
  mq_planner_event_kind kind;
  uint64_t now_us; /* Monotonic.  */
  union
  {
    mq_config *config; /* Borrowed; the planner takes its own reference.  */
    mq_plan_request request;
    struct
    {
      mq_plan_request request; /* With the remaining deadline.  */
      const mq_plan *plan;     /* Borrowed.  */
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
    uint64_t router; /* ROUTER_REMOVED.  */
  } u;
} mq_planner_event;

/* The values on which an admission decision was based, kept for `mqctl
   explain`.  */
typedef struct mq_plan_figures
{
  uint64_t predicted_first_us;
  uint64_t predicted_finish_us;
  uint64_t margin_us;
  uint64_t deadline_us;
  uint32_t in_flight;
  uint32_t capacity;
  uint32_t share; /* Streams that the organisation may have in flight.  */
  uint32_t held;  /* Streams that it has in flight.  */
} mq_plan_figures;

typedef enum mq_planner_action_kind
{
  MQ_PLANNER_ADMIT,        /* Grant a plan.  */
  MQ_PLANNER_REFUSE,       /* Refuse, with a reason.  */
  MQ_PLANNER_REPAIR,       /* A layer range has too few engines: order one to
                              load it.  */
  MQ_PLANNER_CANCEL_REPAIR /* Cancel an earlier REPAIR: the range has enough
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
      uint64_t retry_after_us; /* 0: do not retry.  */
    } refuse;
    struct
    {
      mq_str *engine; /* To order; owned by the action, as are MODEL and
                         VERSION.  */
      mq_str *model;
      mq_str *version;
      uint32_t first;
      uint32_t end;
    } repair; /* REPAIR and CANCEL_REPAIR.  */
  } u;
} mq_planner_action;

typedef struct mq_planner mq_planner;

/* Creates a planner for a VM in FAILURE_DOMAIN.  ROUTER is the incarnation of
   the router that runs it.  The planner refuses every request before its first
   CONFIG event.  Free it with mq_planner_free.  */
mq_planner *mq_planner_new (mq_span failure_domain, uint64_t router);
void mq_planner_free (mq_planner *planner);

/* Handles EVENT and appends the resulting actions to ACTIONS, a GArray of
   mq_planner_action from mq_planner_actions_new.  A REQUEST event produces
   exactly one ADMIT or REFUSE: the planner does not queue requests.  A
   repeated REQUEST event for an attempt in flight produces the same plan.
   EVENT need not outlive the call.  */
void mq_planner_handle (mq_planner *planner, const mq_planner_event *event,
                        GArray *actions);

/* Returns an empty array that frees what its elements own when they are
   removed.  Release it with g_array_unref.  */
GArray *mq_planner_actions_new (void);

/* Returns the number of attempts in flight.  */
uint32_t mq_planner_in_flight (const mq_planner *planner);

/* The planner's view of one engine, for status output and tests.  */
typedef struct mq_engine_view
{
  uint32_t first; /* Layers [first, end) that it holds.  */
  uint32_t end;
  uint32_t in_flight;
  double load;            /* 1: batches are full and no stream waits.  */
  double step_us;         /* Expected for a full batch.  */
  double slowdown_factor; /* Observed time over reported time.  */
  bool usable;            /* May receive new work.  */
  bool ejected;           /* Removed from service as slower than its peers.  */
} mq_engine_view;

/* Fills VIEW for ENGINE as of NOW_US.  Returns 0, or -1 if ENGINE is not
   configured in the planner's region.  */
int mq_planner_engine (const mq_planner *planner, mq_span engine,
                       uint64_t now_us, mq_engine_view *view);

G_END_DECLS

#endif
