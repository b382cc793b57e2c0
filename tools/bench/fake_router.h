/* One router's decisions over the fake fleet, in virtual time: the entry and
   the planner as they are, joined as the router joins them.  */

#ifndef BENCH_FAKE_ROUTER_H
#define BENCH_FAKE_ROUTER_H

#include "fake_fleet.h"

#include <mq/entry.h>
#include <mq/planner.h>

G_BEGIN_DECLS

/* Kinds of timeline items that are the router's.  */
enum
{
  ROUTER_ENTRY_TICK = FAKE_KINDS,
  ROUTER_PLANNER_TICK,
  ROUTER_REPORT,
  ROUTER_PROGRESS,
  ROUTER_LOST,
  ROUTER_KINDS
};

/* Time is counted in bins of this.  */
#define BIN_US 100000

/* Owners of the model at the same time; see fake_router_init.  */
#define MOST_PLANNERS 64

typedef enum request_state
{
  REQUEST_NEW,
  REQUEST_REFUSED,
  REQUEST_LIVE, /* Accepted: a stream was opened.  */
  REQUEST_DONE,
  REQUEST_FAILED /* Accepted, and not done in time.  */
} request_state;

/* A request, and what became of it.  */
typedef struct request
{
  uint64_t handle; /* Its place in the router's list, from 1.  */
  request_state state;
  uint32_t organisation;
  uint32_t priority;
  uint32_t prompt;
  uint32_t max_tokens;
  uint32_t tokens; /* That the answer will have.  */
  uint64_t arrived_us;
  uint64_t deadline_us; /* From then.  */
  uint32_t opened;      /* Streams.  */
  GArray *bins;         /* of uint32_t: when each token came  */
  /* The stream that is open, or NULL.  */
  fake_stream *stream;
  uint32_t attempt;
  uint32_t base; /* Tokens with the caller when it was opened.  */
  uint64_t first_us;
  uint64_t last_us;
} request;

typedef struct fake_router
{
  timeline *time;
  fake_fleet *fleet;
  mq_config *config;
  mq_entry *entry;
  mq_planner *planners[MOST_PLANNERS]; /* Requests go to them in turn.  */
  uint32_t n_planners;
  GPtrArray *requests;    /* of request, owned  */
  GPtrArray *live;        /* of request, borrowed: with an open stream  */
  GArray *answers;        /* of mq_planner_action  */
  GQueue pending;         /* Events for the entry, owned.  */
  uint64_t entry_tick_us; /* When the next one is due.  */
  uint64_t until_us;      /* No reports or ticks after that.  */
  bool no_progress;
  bool no_reports;
  uint64_t asks;
  int64_t ask_us; /* Processor time that they took.  */
} fake_router;

/* CONFIG is borrowed and put in force.  With one planner it stands for the
   model's owner, which all ask; with N, for N entries that plan by themselves
   and see what the others do in the load reports only.  */
void fake_router_init (fake_router *router, timeline *time, fake_fleet *fleet,
                       mq_config *config, uint32_t n_planners, uint64_t seed,
                       uint64_t until_us);
void fake_router_finish (fake_router *router);

/* Take on a request; the router owns it.  */
void fake_router_call (fake_router *router, request *r, uint64_t now_us);
/* ENGINE goes; the router sees it a little later.  */
void fake_router_kill (fake_router *router, fake_engine *engine,
                       uint64_t now_us);
/* The model's owner dies; another takes over that knows nothing.  */
void fake_router_lose_owner (fake_router *router, uint64_t now_us);
void fake_router_handle (fake_router *router, const timeline_item *item);

G_END_DECLS

#endif
