/* Internal to packages/gateway: the routing face's parts.

   One process serves clients' requests, the platform's check of readiness
   and clients that ask where to connect; it follows the store, hears its
   peers, and one router of the fleet orders layers onto engines.  Decisions
   lie in packages/route; the files here turn events of sockets and timers
   into calls of these and carry out what they say.

   Ownership: the gateway owns all its parts; a forward is owned by the
   gateway's list and ends by mq_forward_free.  */

#ifndef MQ_INTERNAL_GATEWAY_H
#define MQ_INTERNAL_GATEWAY_H

#include <ev.h>
#include <mq/dialect.h>
#include <mq/domain_load.h>
#include <mq/entry_list.h>
#include <mq/event_split.h>
#include <mq/follow.h>
#include <mq/forward_rule.h>
#include <mq/gateway.h>
#include <mq/http_client.h>
#include <mq/http_server.h>
#include <mq/latency_estimate.h>
#include <mq/layer_plan.h>
#include <mq/log.h>
#include <mq/metrics.h>
#include <mq/cluster_message.h>
#include <mq/propagation.h>
#include <mq/peers.h>
#include <mq/processor_meter.h>
#include <mq/quarantine.h>
#include <mq/reach.h>
#include <mq/cluster.h>
#include <mq/send_budget.h>

G_BEGIN_DECLS

typedef enum mq_gateway_mode
{
  MQ_GATEWAY_SERVING,
  MQ_GATEWAY_DRAINING, /* Still serves requests, but asks clients to leave.  */
  MQ_GATEWAY_ENDED
} mq_gateway_mode;

/* What the store is asked for.  */
typedef enum mq_store_purpose
{
  MQ_STORE_MEMBER_WRITE,
  MQ_STORE_MEMBER_SCAN,
  MQ_STORE_ROUTING_SCAN,
  MQ_STORE_ROUTING_FOLLOW,
  MQ_STORE_UPSTREAM_SCAN,
  MQ_STORE_UPSTREAM_FOLLOW,
  MQ_STORE_REFUSAL_WRITE,
  MQ_STORE_REFUSAL_SCAN,
  MQ_STORE_PURPOSES
} mq_store_purpose;

/* What the gateway follows in the store.  */
typedef enum mq_feed_state
{
  MQ_FEED_SCANNING,
  MQ_FEED_FOLLOWING
} mq_feed_state;

typedef struct mq_feed
{
  mq_gateway *gateway; /* Borrowed.  */
  const char *kind;
  mq_follow follow; /* Whether this router goes on after its first scan.  */
  mq_feed_state state;
  mq_platform_call *call; /* Borrowed; NULL between calls.  */
  ev_timer again;
  uint64_t at;         /* Follow from here.  */
  unsigned wait_ms;    /* For which the store may hold the last follow.  */
  mq_str *after;       /* Scan: last name seen, or NULL.  */
  GHashTable *seen;    /* Scan: names so far.  */
  bool scanned;        /* Once, in this process.  */
  unsigned failures;   /* In a row.  */
  uint64_t fresh_us;   /* When the store last answered.  */
  uint64_t resumed_us; /* When this router last began to follow.  */
  uint64_t told_us;    /* When a relay last knew nothing newer.  */
  uint64_t leave_us;   /* It no longer follows, and goes on up to then; 0: it
                          does follow, or has stopped.  */
} mq_feed;

/* What the gateway keeps of a service beside its configuration.  */
typedef struct mq_service_state
{
  mq_send_budget budget;
  uint64_t borrow_us;     /* When others were last asked for sends ...  */
  uint64_t borrow_serial; /* ... in this request ...  */
  unsigned borrow_open;   /* ... of which so many have not come.  */
  mq_layer_plan plan;     /* Of a layered model.  */
} mq_service_state;

/* The load that this router has put on one path, and the latencies that it
   has observed there.  */
typedef struct mq_path_load
{
  double tokens;         /* That the requests in flight will hold.  */
  double prefill_tokens; /* Prompts whose first event has not arrived.  */
  mq_latency_estimate first_event; /* From a send to its first event.  */
  mq_latency_estimate event_gap;   /* Between two events of one run.  */
} mq_path_load;

/* The result of the choice of a target for a request.  */
typedef enum mq_place_result
{
  MQ_PLACE_OK,
  MQ_PLACE_NO_ROOM,
  MQ_PLACE_PREFILLING /* There is memory, but the prompts queued there take too
                         long to prefill.  */
} mq_place_result;

/* Values of the metrics, owned by the gateway's mq_metrics.  */
typedef struct mq_gateway_counters
{
  uint64_t *requests;
  uint64_t *answered;
  uint64_t *refused;
  uint64_t *failed;
  uint64_t *disconnected;
  uint64_t *sends;
  uint64_t *retries;
  uint64_t *resumed_streams;
  uint64_t *budget_granted;
  uint64_t *budget_received;
  uint64_t *orders;
  uint64_t *store_calls[MQ_STORE_PURPOSES];
  uint64_t *reports;
  uint64_t *path_probes;
  uint64_t *routing_version;
  uint64_t *routing_age_ms;
  uint64_t *upstreams_age_ms;
  uint64_t *upstreams;
  uint64_t *upstreams_ejected;
  uint64_t *upstreams_rejecting;
  uint64_t *upstreams_slow;
  uint64_t *routers;
  uint64_t *relays;
  uint64_t *serving;
  uint64_t *counts_age_ms;
  uint64_t *peer_messages[MQ_CLUSTER_MESSAGE_KINDS]
                         [2]; /* 0: to the own failure domain, 1: to others. */
  uint64_t *peer_bytes[MQ_CLUSTER_MESSAGE_KINDS][2];
  uint64_t *peer_unreadable;
  uint64_t *crashes;
  uint64_t *suspects;
  uint64_t *quarantined;
  uint64_t *log_lines;
  uint64_t *log_dropped;
} mq_gateway_counters;

typedef struct mq_forward mq_forward;
typedef struct mq_crash_case mq_crash_case;

struct mq_gateway
{
  struct ev_loop *loop;                /* Borrowed.  */
  const mq_dialect *dialect;           /* Borrowed.  */
  const mq_gateway_settings *settings; /* Borrowed.  */
  uint64_t started_us;
  mq_gateway_mode mode;
  mq_http_client *client;
  mq_http_server *clients;
  mq_http_server *readiness;
  mq_http_server *directory;
  mq_http_server *metrics_server; /* NULL when none is wanted.  */
  mq_platform *store;
  mq_routing *routing;  /* NULL until one is known.  */
  mq_str *routing_text; /* As it came, to be passed on.  */
  mq_registry registry;
  mq_entry_list upstream_list; /* Entries as they came.  */
  bool upstreams_known;
  mq_feed routing_feed;
  mq_feed upstream_feed;
  uint64_t routing_since_us; /* When it came into force here.  */
  uint64_t routing_heard;    /* Newest version that a peer's news told of.  */
  mq_lag own_lag;            /* This router's configuration is older.  */
  mq_lag upstreams_lag;      /* Others know newer upstreams.  */
  uint64_t store_back_us; /* When the store last answered after failures.  */
  mq_peers *peers;
  mq_cluster cluster;     /* The other routers.  */
  mq_digest_log digests;  /* Of our list of upstreams, lately.  */
  mq_str *client_address; /* Our own.  */
  ev_timer heartbeat;
  uint64_t ticked_us;       /* When this process last ran.  */
  uint64_t reported_us;     /* When this router last reported.  */
  uint64_t loaded_us;       /* When a request was last in flight.  */
  mq_processor_meter meter; /* What this process uses.  */
  uint64_t member_retry_us; /* When to write our member object.  */
  bool member_written;
  bool member_writing;
  bool members_scanning;
  bool leads;               /* This router gives the orders.  */
  bool orders_due;          /* A report came that orders waited for.  */
  uint64_t members_scan_us; /* When to read the members again.  */
  ev_timer tick;
  ev_timer silence_timer; /* Looks for streams that have fallen silent.  */
  unsigned ticks;
  GQueue early_requests;     /* Came before the configuration; owned.  */
  GQueue forwards;           /* mq_forward, owned.  */
  GHashTable *services;      /* Name -> mq_service_state, owned.  */
  GHashTable *paths;         /* Key of a path -> mq_path_load, owned; none is
                                removed.  */
  unsigned prefilling_ranks; /* A bit each mq_domain_rank that found all paths
                             reading in this tick.  */
  bool drain_closed;         /* No new connection and no new stream.  */
  uint64_t drain_close_us;
  uint64_t drain_last_us; /* No new request at all.  */
  uint64_t drain_until_us;
  uint64_t drain_quiet_us;
  mq_metrics *metrics;
  mq_gateway_counters counters;
  uint64_t random; /* State of the draws.  */
  mq_quarantine quarantine;
  uint64_t crashes_sent_us;    /* Reports last told all of it.  */
  GPtrArray *crash_cases;      /* mq_crash_case, owned.  */
  GPtrArray *path_probes;      /* Under way, owned.  */
  GHashTable *stored_refusals; /* In the store, by request; owned.  */
  bool refusals_scanning;
  bool refusals_scanned;
  uint64_t refusals_scan_us; /* When to read them again.  */
};

struct mq_forward
{
  mq_gateway *gateway; /* Borrowed.  */
  GList link;
  mq_http_exchange *exchange; /* One reference.  */
  mq_routing *routing;        /* One reference.  */
  const mq_route *route;      /* Borrowed from ROUTING, as the next two.  */
  const mq_route_service *service;
  const mq_route_organisation *organisation; /* NULL: an anonymous client.  */
  mq_forward_state state;
  uint64_t started_us;   /* When the request arrived.  */
  mq_span id;            /* Request id, borrowed from EXCHANGE.  */
  uint64_t content;      /* mq_forward_content; 0: not computed yet.  */
  mq_upstream *upstream; /* Target of the current send, one reference; NULL
                            between sends.  */
  GPtrArray *tried;      /* mq_upstream that were sent to, one reference
                            each.  */
  GPtrArray *ran;        /* mq_upstream that ran it or may have, one reference
                            each.  */
  bool added_to_ran;     /* The current send added the last one of RAN.  */
  mq_layer_path path;    /* Of the current send; empty for plain services.  */
  mq_path_load *path_load; /* Of PATH, borrowed; NULL when it has no path.  */
  double need_tokens;      /* That it will hold at its end.  */
  double prompt_tokens;    /* Of these, the prompt's.  */
  double prefill_tokens;   /* Counted in PATH_LOAD as not prefilled.  */
  double used_tokens;      /* In flight on PATH when it was chosen.  */
  bool waiting;            /* No path could take it; the tick tries again.  */
  mq_http_call *call;      /* Borrowed; NULL between sends.  */
  uint64_t sent_us;        /* When the last send began.  */
  uint64_t received_us;    /* When the last bytes of a response arrived; at
                              first, when forwarding began.  */
  GString *error_body;     /* Body of a stream's response without success.  */
  mq_event_split split;
  unsigned first_event_ms; /* From the request's arrival to its first event. */
  double smoothed_gap_ms;  /* Moving average of the gaps between events.  */
  unsigned longest_gap_ms; /* Between two events.  */
  uint64_t last_event_us;  /* When the last event was written; 0: none.  */
  uint64_t run_began_us;   /* First event of the last run that had one.  */
  bool cleared;            /* A run outlasted MQ_QUARANTINE_STARTUP_US, so the
                              request is not suspected of crashes.  */
  mq_log_buffer log_buffer;
};

/* ---- gateway.c  */
/* Monotonic time.  */
uint64_t mq_gateway_now_us (void);
/* A pseudo-random number, uniform over 64 bits.  */
uint64_t mq_gateway_random (mq_gateway *gateway);
/* The state of SERVICE, created by the first call.  Borrowed.  */
mq_service_state *mq_gateway_service_state (mq_gateway *gateway,
                                            const mq_route_service *service);
/* Returns true if the budget of SERVICE allows one more retry.  */
bool mq_gateway_has_budget (mq_gateway *gateway,
                            const mq_route_service *service, uint64_t now_us);
/* The ratio of all routers' requests for SERVICE to this router's, at most the
   number of routers that have requests.  */
double mq_gateway_cluster_load_ratio (mq_gateway *gateway,
                                      const mq_route_service *service,
                                      uint64_t now_us);
/* Returns true when the gateway serves and knows both its configuration and
   the list of upstreams.  */
bool mq_gateway_is_ready (const mq_gateway *gateway);

/* ---- gateway_listeners.c  */
/* Sinks of the HTTP servers; CONTEXT is the gateway.  */
void mq_gateway_on_client (void *context, const mq_http_server_event *event);
/* Route the requests that arrived before the configuration, or refuse them
   once they have waited for too long.  */
void mq_gateway_route_early_requests (mq_gateway *gateway, uint64_t now_us);
/* Free the queue of such requests.  */
void mq_gateway_free_early_requests (mq_gateway *gateway);
void mq_gateway_on_readiness (void *context,
                              const mq_http_server_event *event);
void mq_gateway_on_directory (void *context,
                              const mq_http_server_event *event);
/* Reply with BODY, whose content type is TYPE.  */
void mq_gateway_reply_text (mq_http_exchange *exchange, unsigned status,
                            const char *type, mq_span body);
/* Reply with STATUS and no body; with Retry-After unless RETRY_MS is 0.  */
void mq_gateway_reply_status (mq_http_exchange *exchange, unsigned status,
                              unsigned retry_ms);

/* ---- gateway_metrics.c  */
void mq_gateway_metrics_init (mq_gateway *gateway);
/* Count a request of ROUTE (NULL: none matched) that ended after US
   microseconds.  OUTCOME and REASON are the words of the log.  */
void mq_gateway_count_end (mq_gateway *gateway, const mq_route *route,
                           const char *outcome, const char *reason,
                           uint64_t us);
/* Count and log a call to the store.  */
void mq_gateway_count_store_call (mq_gateway *gateway,
                                  mq_store_purpose purpose);
/* Observe the latency US, in microseconds, of a stream's first event.  */
void mq_gateway_count_first_event (mq_gateway *gateway, uint64_t us);
void mq_gateway_on_metrics (void *context, const mq_http_server_event *event);

/* ---- gateway_forward.c  */
/* Start to forward EXCHANGE, which arrived at ARRIVED_US, by ROUTE of the
   configuration in force.  ORGANISATION is NULL for an anonymous client.  */
void mq_forward_start (mq_gateway *gateway, mq_http_exchange *exchange,
                       const mq_route *route,
                       const mq_route_organisation *organisation,
                       uint64_t arrived_us);
/* End FORWARD, whose client has disconnected.  Frees FORWARD.  */
void mq_forward_cancel (mq_forward *forward);
/* Handle the end of the current send: retry, or end the request.  STATUS is
   the upstream's (0: none), WHY the reason for the log.  May free FORWARD.  */
void mq_forward_send_ended (mq_forward *forward, mq_send_end end,
                            unsigned status, const char *why);
/* Log and count how FORWARD ended, and free it.  */
void mq_forward_end (mq_forward *forward, const char *outcome, unsigned status,
                     const char *why);
/* Time since the request arrived.  */
uint64_t mq_forward_age_ms (const mq_forward *forward);
/* End FORWARD, which no upstream can take: reply with an error and
   Retry-After, or abort a response that has begun.  Frees FORWARD.  */
void mq_forward_reject (mq_forward *forward, unsigned retry_ms,
                        const char *why);
/* Check the deadline and the try timeout, and send a request that waits.  May
   free FORWARD.  */
void mq_forward_tick (mq_forward *forward, uint64_t now_us);
/* Probe the path of FORWARD when its stream has been silent for longer than
   the path's latency estimate allows.  */
void mq_forward_check_silence (mq_forward *forward, uint64_t now_us);
/* End all sends that pass through the upstream at ADDRESS, which is down or
   stalled; WHY is the reason for the log.  */
void mq_forward_fail_all_through (mq_gateway *gateway, mq_span address,
                                  const char *why);
void mq_forward_free_all (mq_gateway *gateway);

/* ---- gateway_content.c  */
/* What FORWARD asks, the same for each time that a client sends it, at any
   router; never 0.  */
uint64_t mq_forward_content (mq_forward *forward);

/* ---- gateway_crash.c  */
/* An event of FORWARD is about to be passed on.  */
void mq_crash_note_event (mq_forward *forward, uint64_t now_us);
/* The run of FORWARD broke off, and UPSTREAM (NULL: none) may have ended,
   maybe under it.  */
void mq_crash_run_broke (mq_forward *forward, mq_upstream *upstream,
                         uint64_t now_us);
/* Look for signs of what has ended.  */
void mq_crash_tick (mq_gateway *gateway, uint64_t now_us);
/* Of type GDestroyNotify.  */
void mq_crash_case_free (gpointer data);

/* ---- gateway_quarantine.c  */
void mq_gateway_quarantine_init (mq_gateway *gateway);
void mq_gateway_quarantine_finish (mq_gateway *gateway);
void mq_gateway_quarantine_tick (mq_gateway *gateway, uint64_t now_us);
/* REQUEST, a content, stood at the end of UPSTREAM, whose START is a hash. */
void mq_gateway_note_crash (mq_gateway *gateway, uint64_t request,
                            const mq_upstream *upstream, uint64_t start,
                            uint64_t at_us);
/* FORWARD ran well.  */
void mq_gateway_note_success (mq_forward *forward);
/* FROM tells of ENDS (mq_quarantine_record).  */
void mq_gateway_merge_crashes (mq_gateway *gateway, const GArray *ends,
                               const mq_cluster_member *from, uint64_t now_us);
/* For how long a request of CONTENT is refused; 0: it is not.  */
uint64_t mq_gateway_quarantine_remaining_us (const mq_gateway *gateway,
                                             uint64_t content,
                                             uint64_t now_us);

/* ---- gateway_response.c  */
/* The sink of a send's HTTP call; CONTEXT is the mq_forward.  */
void mq_forward_on_call (void *context, const mq_http_client_event *event);

/* ---- gateway_placement.c  */
/* Choose the upstream, and for a layered model the path, of the next send of
   FORWARD.  Sets *RETRY_MS, for Retry-After, when the result is not
   MQ_PLACE_OK.  */
mq_place_result mq_forward_place (mq_forward *forward, uint64_t now_us,
                                  unsigned *retry_ms);
/* Stop counting the prompt of FORWARD as queued for prefill: the first event
   of its send has arrived.  */
void mq_forward_note_prefilled (mq_forward *forward);
/* The rank of FORWARD in the choice of a path.  */
mq_domain_rank mq_forward_rank (const mq_forward *forward);
/* Returns true while FORWARD may wait for the prefill of earlier prompts.  */
bool mq_forward_may_wait_for_prefill (const mq_forward *forward,
                                      uint64_t now_us);
/* Returns true if FORWARD may be sent again and a path with another head has
   room for it now.  */
bool mq_forward_can_move (mq_forward *forward, uint64_t now_us);
/* Release the path of FORWARD, if it has one, and its share of the load.  */
void mq_forward_release_path (mq_forward *forward);

/* ---- gateway_send.c  */
/* Send FORWARD to an upstream.  When the retry budget or the paths have no
   room, it waits for the next tick or is rejected; a quarantined request is
   rejected.  May free FORWARD.  */
void mq_forward_send (mq_forward *forward, uint64_t now_us);

/* ---- gateway_feed.c  */
/* Read all of KIND once; go on following it when this router does.  */
void mq_feed_start (mq_feed *feed, mq_gateway *gateway, const char *kind);
void mq_feed_stop (mq_feed *feed);
/* Since the store last answered, or a relay showed that it knows no more.  */
uint64_t mq_feed_age_ms (const mq_feed *feed, uint64_t now_us);
/* Leave off, once all others know that they have to tell this router.  */
void mq_feed_leave (mq_feed *feed);
void mq_feed_tick (mq_feed *feed, uint64_t now_us);
/* Follow from now on, from where it was left when that was a moment ago.  */
void mq_feed_resume (mq_feed *feed);
/* Give up the call that waits, which may hang, and follow anew.  */
void mq_feed_restart (mq_feed *feed);
/* Read all of it anew, whatever it waits for.  */
void mq_feed_refresh (mq_feed *feed);
/* Take a configuration or a list of upstreams that a peer passed on.  */
void mq_gateway_take_routing (mq_gateway *gateway, mq_span text,
                              const char *source, mq_propagation_scope scope);
/* SEEN, a set of ids, names all upstreams that there were at revision AT of
   the store: drop all others that are no younger.  */
void mq_gateway_end_list (mq_gateway *gateway, GHashTable *seen, uint64_t at);
/* Take what the store, or a peer, told of an upstream.  Returns true when it
   was news.  */
bool mq_gateway_take_upstream (mq_gateway *gateway,
                               const mq_platform_entry *entry);

/* ---- gateway_members.c  */
int mq_members_start (mq_gateway *gateway, GError **error);
void mq_members_stop (mq_gateway *gateway);
void mq_members_tick (mq_gateway *gateway, uint64_t now_us);
/* Did the store answer lately?  False at a router that follows nothing there.
 */
bool mq_members_store_is_reached (const mq_gateway *gateway, uint64_t now_us);
/* Does it ask the store in vain?  */
bool mq_members_store_fails (const mq_gateway *gateway);
/* Does this router give the orders just now?  */
bool mq_members_we_lead (const mq_gateway *gateway, uint64_t now_us);

/* ---- gateway_news.c  */
/* Send news to all who get any, at once: when something turns.  */
void mq_gateway_gossip_broadcast (mq_gateway *gateway);
/* Begin and leave off sending news at each heartbeat.  */
void mq_gateway_gossip_start (mq_gateway *gateway);
void mq_gateway_gossip_stop (mq_gateway *gateway);
/* Send ROUTER the BYTES of a parcel of KIND.  */
void mq_gateway_gossip_send (mq_gateway *gateway, mq_cluster_member *router,
                             mq_cluster_message_kind kind,
                             const GString *bytes);
/* The same of a parcel that goes to one router.  */
void mq_gateway_send_message (mq_gateway *gateway, mq_cluster_member *router,
                              const mq_cluster_message *parcel);
/* A message of a peer came.  */
void mq_gateway_gossip_on_message (void *context, mq_span bytes);

/* ---- gateway_pass_on.c  */
/* Tell all routers what UPSTREAM says that it holds.  */
void mq_gateway_propagate_layers (mq_gateway *gateway,
                                  const mq_upstream *upstream);
/* N ENTRIES of upstreams, which the store told, were news: tell those that do
   not follow it.  */
void mq_gateway_propagate_upstreams (mq_gateway *gateway,
                                     const mq_platform_entry *entries,
                                     size_t n);
/* A newer configuration is in force here; SCOPE: as far as it is to go.  */
void mq_gateway_propagate_routing (mq_gateway *gateway,
                                   mq_propagation_scope scope);
/* Ask the store for what peers have and this router lacks: its watch may hang.
 */
void mq_gateway_refresh_stale_feeds (mq_gateway *gateway, uint64_t now_us);
/* Pass on what others have not learnt in time.  */
void mq_gateway_propagation_tick (mq_gateway *gateway, uint64_t now_us);
/* What an engine told a peer that it holds.  */
void mq_gateway_receive_layers (mq_gateway *gateway,
                                const mq_cluster_message *parcel);
/* What a peer passed on of upstreams.  */
void mq_gateway_receive_upstreams (mq_gateway *gateway,
                                   const mq_cluster_message *parcel);

/* ---- gateway_orders.c  */
void mq_orders_tick (mq_gateway *gateway, uint64_t now_us);

/* ---- gateway_report.c  */
/* UPSTREAM was asked; REPORT is NULL when none came that can be read, and
   borrowed else.  RESULT is that of the call.  */
typedef void (*mq_report_sink) (mq_gateway *gateway, mq_upstream *upstream,
                                mq_http_result result,
                                const mq_engine_report *report);
/* Ask UPSTREAM how it does.  Its pace is noted before SINK runs, which is
   never from inside this function.  */
void mq_report_request (mq_gateway *gateway, mq_upstream *upstream,
                        mq_report_sink sink);

/* ---- gateway_stall.c  */
/* FORWARD has heard nothing for long: ask the head of its path.  */
void mq_stall_ask_head (mq_gateway *gateway, mq_upstream *head);
/* A stream on PATH goes on slowly: ask its engines for their paces.  */
void mq_stall_ask_paces (mq_gateway *gateway, const mq_layer_path *path);
/* ENGINE can't be connected to: all requests through it go on elsewhere.  */
void mq_stall_found_down (mq_gateway *gateway, mq_upstream *engine,
                          const char *why);
/* Ask again those that were slow.  */
void mq_stall_tick (mq_gateway *gateway, uint64_t now_us);

G_END_DECLS

#endif
