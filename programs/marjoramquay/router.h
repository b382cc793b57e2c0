/* The router process in native mode: connects the decision modules with I/O.

   The process has one mq_router, on one libev loop and one thread.  The
   decision modules (mq/entry.h, mq/planner.h and others) do no I/O and read no
   clock.  This program passes them the time, turns input into their events,
   and carries out their actions (router_loop.c).

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

/* Size in bytes of a buffer for a request id as text.  */
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
  MQ_ROUTER_DRAINING, /* Rejects new work, finishes requests in flight.  */
  MQ_ROUTER_CLOSING   /* No request in flight; sends the last responses.  */
} mq_router_mode;

/* The metrics updated on the hot path, borrowed from the registry.  */
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

  mq_config *config; /* In force, an owned reference; NULL at first.  */
  mq_config_feed *config_feed;
  bool cut_off; /* No contact with platform and peers: reject new work.  */

  mq_crash_tracker *crash_tracker;
  mq_entry *entry;
  mq_planner *planner;
  GArray *entry_actions; /* of mq_entry_action: scratch  */
  GQueue pending_events; /* Posted while in_step is set.  */
  bool in_step;          /* Actions of the entry are being carried out.  */
  mq_ticker entry_tick;
  ev_timer planner_tick;

  mq_resource_account account; /* What is held for callers.  */
  mq_http_server *server;
  mq_http_client *client;
  mq_platform *platform;
  GHashTable
      *requests; /* Handle to mq_active_request, which the table owns.  */
  uint64_t last_handle;

  mq_load_poller *load_poller;
  mq_fleet_node *fleet;
  mq_fleet_limits *limits;
  mq_fleet_plans *plans;
  mq_audit_io *audit;
  mq_claim_io *claims;
  mq_order_io *orders;
  mq_ticket_io *tickets;
  mq_metrics *metrics;
  mq_router_counters counters;
  ev_timer close_timer;      /* Polls until the last responses are sent.  */
  double close_idle_since_s; /* On the loop's clock, as the next two.  */
  double close_deadline_s;
  double audit_deadline_s;
} mq_router;

/* Returns a running router, or NULL with ERROR set.  SETTINGS must outlive
   it.  */
mq_router *mq_router_new (struct ev_loop *loop, const mq_settings *settings,
                          GError **error);
void mq_router_free (mq_router *router);

/* Puts CONFIG in force and takes a new reference to it.  */
void mq_router_apply_config (mq_router *router, mq_config *config);

/* Returns the IP:PORT at which clients reach this router; free it with
   g_free.  */
char *mq_router_client_address (const mq_router *router);

/* Formats the id of a request that was rejected before the entry assigned it a
   number into TEXT, a buffer of MQ_REQUEST_ID_SIZE bytes.  */
void mq_router_format_handle (const mq_router *router, uint64_t handle,
                              char *text);

/* Returns the current monotonic time.  */
uint64_t mq_router_now_us (void);

/* The rest is in router_loop.c.  */

/* Passes EVENT to the entry, with its time set here, and carries out the
   resulting actions.  While an action is being carried out the event is queued
   until that step is over; then it must not hold borrowed data.  */
void mq_router_post (mq_router *router, mq_entry_event *event);
/* Does the same for a MQ_ENTRY_PLANNED event.  PLAN, which may be NULL, is
   moved into it.  */
void mq_router_post_planned (mq_router *router, mq_entry_event *event,
                             mq_plan *plan);
void mq_router_loop_init (mq_router *router);
void mq_router_loop_finish (mq_router *router);

#endif
