/* The router process: what joins the decisions with the adapters.

   One value of this type lives in main for the whole run, on one libev loop
   and one thread.  The decisions are pure; this program passes the time in,
   turns what arrives on a wire into their events, and carries out their
   actions (router_loop.c).

   Internal to this program.  */

#ifndef MQ_ROUTER_H
#define MQ_ROUTER_H

#include <ev.h>
#include <glib.h>
#include <mq/config.h>
#include <mq/entry.h>
#include <mq/http_client.h>
#include <mq/http_server.h>
#include <mq/metrics.h>
#include <mq/platform.h>
#include <mq/planner.h>
#include <mq/settings.h>

#include "ticker.h"

/* A request id as text: incarnation and number.  */
#define MQ_REQUEST_ID_SIZE 64

typedef struct mq_audit_io mq_audit_io;
typedef struct mq_claim_io mq_claim_io;
typedef struct mq_crash_tracker mq_crash_tracker;
typedef struct mq_fleet_limits mq_fleet_limits;
typedef struct mq_fleet_node mq_fleet_node;
typedef struct mq_fleet_plans mq_fleet_plans;
typedef struct mq_load_poller mq_load_poller;
typedef struct mq_order_io mq_order_io;
typedef struct mq_ticket_io mq_ticket_io;
typedef struct mq_config_feed mq_config_feed;

typedef enum mq_router_mode
{
  MQ_ROUTER_SERVING,
  MQ_ROUTER_DRAINING, /* Takes no new work, finishes what it has.  */
  MQ_ROUTER_CLOSING   /* All has ended; the last answers are being sent.  */
} mq_router_mode;

/* The series that are counted on the hot path; all are borrowed.  */
typedef struct mq_router_counters
{
  uint64_t *requests_by_outcome[4]; /* By mq_outcome.  */
  uint64_t *bad_requests;
  uint64_t *tokens;
  uint64_t *attempts;
  uint64_t *dropped_lines;
  uint64_t *upstream_failures;
  mq_histogram *first_token;
  mq_histogram *token_gap;
  mq_histogram *completion;
  mq_histogram *service;
} mq_router_counters;

typedef struct mq_router
{
  struct ev_loop *loop;
  const mq_settings *settings; /* Borrowed.  */
  uint64_t incarnation;
  char incarnation_text[MQ_REQUEST_ID_SIZE];
  mq_router_mode mode;
  int exit_status;

  mq_config *config; /* In force; NULL before the first.  */
  mq_config_feed *feed;
  bool cut_off; /* From platform and peers alike: take no new work.  */

  mq_crash_tracker *ends; /* Of upstreams, and the quarantine.  */
  mq_entry *entry;
  mq_planner *planner;
  GArray *entry_actions; /* Scratch, of mq_entry_action.  */
  GQueue pending;        /* Events raised while actions are carried out. */
  bool in_step;
  mq_ticker entry_tick;
  ev_timer planner_tick;

  mq_http_server *server;
  mq_http_client *client;
  mq_platform *platform;
  GHashTable
      *requests; /* Handle to mq_active_request, which the table owns.  */
  uint64_t last_handle;

  mq_load_poller *loads;
  mq_fleet_node *fleet;
  mq_fleet_limits *limits;
  mq_fleet_plans *plans;
  mq_audit_io *audit;
  mq_claim_io *claims;
  mq_order_io *orders;
  mq_ticket_io *tickets;
  mq_metrics *metrics;
  mq_router_counters counters;
  ev_timer close_timer;      /* Until the last answers are sent.  */
  double close_idle_since_s; /* On the loop's clock, as the next two.  */
  double close_deadline_s;
  double audit_deadline_s;
} mq_router;

/* A running router, or NULL with ERROR set.  SETTINGS must live longer.  */
mq_router *mq_router_new (struct ev_loop *loop, const mq_settings *settings,
                          GError **error);
void mq_router_free (mq_router *router);

/* CONFIG, of which a new reference is taken, is in force.  */
void mq_router_apply_config (mq_router *router, mq_config *config);

/* IP:PORT where callers reach this router; free with g_free.  */
char *mq_router_client_address (const mq_router *router);

/* The id, as text into TEXT of MQ_REQUEST_ID_SIZE bytes, of a request that was
   refused before the entry gave it a number.  */
void mq_router_format_handle (const mq_router *router, uint64_t handle,
                              char *text);

/* Monotonic time of now.  */
uint64_t mq_router_now_us (void);

/* router_loop.c */

/* Hand EVENT to the entry and carry out what it asks for.  The time is set
   here.  From inside an action the event waits until that step is over, and
   must borrow nothing.  */
void mq_router_post (mq_router *router, mq_entry_event *event);
/* The same for a MQ_ENTRY_PLANNED event whose PLAN (may be NULL) is moved
   into it.  */
void mq_router_post_planned (mq_router *router, mq_entry_event *event,
                             mq_plan *plan);
void mq_router_loop_init (mq_router *router);
void mq_router_loop_finish (mq_router *router);

#endif
