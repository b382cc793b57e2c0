/* Gateway mode: types and functions shared within packages/gateway.

   One process serves clients' requests, the platform's readiness check and
   discovery requests.  It reads configuration and upstreams from the store,
   exchanges gossip with its peers, and, as the leader, orders engines to load
   layers.  packages/route takes the decisions; the files here translate
   socket and timer events into calls to it and carry out the results.

   Ownership: the gateway owns all its components.  A forward is owned by the
   gateway's list until mq_forward_free.

   Times (_us) are monotonic microseconds unless noted otherwise.  */

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
  MQ_GATEWAY_DRAINING, /* Still serves, but asks clients to leave.  */
  MQ_GATEWAY_ENDED
} mq_gateway_mode;

/* Purposes of calls to the store, as metrics count them.  */
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

/* What the next call of a feed does.  */
typedef enum mq_feed_state
{
  MQ_FEED_SCANNING,
  MQ_FEED_FOLLOWING
} mq_feed_state;

/* One kind of object that the gateway reads from the store.  */
typedef struct mq_feed
{
  mq_gateway *gateway; /* Borrowed; NULL before mq_feed_start.  */
  const char *kind;    /* Borrowed.  */
  mq_follow follow;    /* Whether this router keeps a watch after its scan.  */
  mq_feed_state state;
  mq_platform_call *call; /* Borrowed; NULL between calls.  */
  ev_timer call_timer;    /* Starts the next call.  */
  uint64_t revision;      /* Next follow: changes after this store revision. */
  unsigned wait_ms;  /* How long the store may hold the last follow call.  */
  mq_str *after;     /* Scan: last name of the previous page, or NULL.  */
  GHashTable *seen;  /* Scan: names so far, owned; or NULL.  */
  bool scanned;      /* A scan has completed in this process.  */
  unsigned failures; /* Consecutive failed calls.  */
  uint64_t last_reply_us; /* Last successful call; 0: none.  */
  uint64_t resumed_us;    /* When this router last began to follow.  */
  uint64_t confirmed_us;  /* When gossip of a relay of this domain last showed
                             no newer version than ours; 0: never.  */
  uint64_t linger_until_us; /* No longer a follower, but keeps its watch until
                               then; 0: follower, or stopped.  */
} mq_feed;

/* State of a service besides its configuration.  */
typedef struct mq_service_state
{
  mq_send_budget budget;
  uint64_t budget_requested_us;    /* Last request for budget.  */
  uint64_t budget_request_serial;  /* Its serial.  */
  unsigned budget_request_pending; /* Sends that it has not been granted.  */
  mq_layer_plan plan;              /* Of a layered model.  */
} mq_service_state;

/* What this router has in flight on one path.  */
typedef struct mq_path_load
{
  double tokens;  /* Held, or going to be.  */
  double reading; /* Of prompts whose first event has not come.  */
  mq_latency_estimate first_event; /* From a send to its first event ...  */
  mq_latency_estimate event_gap;   /* ... and between two of a run.  */
} mq_path_load;

/* Why a request was not placed, or that it was.  */
typedef enum mq_placing
{
  MQ_PLACED,
  MQ_PLACING_NO_ROOM,
  MQ_PLACING_PREFILLING /* There is room, but too much is read before.  */
} mq_placing;

typedef struct mq_gateway_counters
{
  uint64_t *requests;
  uint64_t *answered;
  uint64_t *refused;
  uint64_t *failed;
  uint64_t *gone;
  uint64_t *sends;
  uint64_t *further_sends;
  uint64_t *resumed;
  uint64_t *budget_lent;
  uint64_t *budget_borrowed;
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
                         [2]; /* To own, to other domains. */
  uint64_t *peer_bytes[MQ_CLUSTER_MESSAGE_KINDS][2];
  uint64_t *peer_unreadable;
  uint64_t *crashes;
  uint64_t *suspects;
  uint64_t *quarantined;
  uint64_t *log_lines;
  uint64_t *log_left_out;
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
  mq_http_client *client;         /* For calls to upstreams.  */
  mq_http_server *clients;        /* Serves clients' requests.  */
  mq_http_server *readiness;      /* Serves the readiness check.  */
  mq_http_server *directory;      /* Serves discovery requests.  */
  mq_http_server *metrics_server; /* NULL when metrics are off.  */
  mq_platform *store;
  mq_routing *routing;  /* Configuration in force; NULL until received.  */
  mq_str *routing_text; /* Its encoded form, for propagation.  */
  mq_registry registry;
  mq_entry_list upstream_list; /* Encoded upstreams, for propagation.  */
  bool upstreams_known;        /* A complete list has been received.  */
  mq_feed routing_feed;
  mq_feed upstream_feed;
  uint64_t routing_since_us;       /* When ROUTING came into force here.  */
  uint64_t newest_routing_version; /* That any gossip named.  */
  mq_lag own_routing_lag; /* A peer's configuration is newer than ours.  */
  mq_lag upstreams_lag;   /* A relay knows newer upstreams than we do.  */
  uint64_t store_recovered_us; /* First reply after failures; 0: none.  */
  mq_peers *peers;
  mq_cluster cluster;     /* The other routers.  */
  mq_digest_log digests;  /* Recent digests of UPSTREAM_LIST.  */
  mq_str *client_address; /* This router's own, IP:PORT for clients.  */
  ev_timer heartbeat;
  uint64_t ticked_us;       /* Last tick; shows pauses of the process.  */
  uint64_t reported_us;     /* Last report; 0 makes the next one due.  */
  uint64_t loaded_us;       /* When this router was last loaded; 0: never.  */
  mq_processor_meter meter; /* Processor use of this process.  */
  uint64_t member_retry_us; /* No write of our member object before.  */
  bool member_written;
  bool member_writing;
  bool members_scanning;
  bool leads;               /* This router is the leader: it orders layers.  */
  bool orders_due;          /* A report arrived: order at the next tick.  */
  uint64_t members_scan_us; /* Next scan of the member objects.  */
  ev_timer tick;
  ev_timer silence_timer; /* Checks streams for silence.  */
  unsigned ticks;
  GQueue early_requests;     /* Arrived before the configuration; owned.  */
  GQueue forwards;           /* mq_forward, owned.  */
  GHashTable *services;      /* Name -> mq_service_state, owned.  */
  GHashTable *paths;         /* Path key -> mq_path_load, owned; none is
                                removed.  */
  unsigned prefilling_ranks; /* Bits of mq_domain_rank for which prefill was
                                found to saturate all paths in this tick.  */
  bool drain_closed; /* Drain: no new connections or streams accepted.  */
  uint64_t drain_close_us; /* When that begins.  */
  uint64_t drain_last_us;  /* Requests are rejected from then on.  */
  uint64_t drain_until_us; /* Latest end of the drain.  */
  uint64_t drain_quiet_us; /* It ends from then on once nothing is open.  */
  mq_metrics *metrics;
  mq_gateway_counters counters;
  uint64_t random; /* State of mq_gateway_random.  */
  mq_quarantine quarantine;
  uint64_t crashes_reported_us; /* Last report of all crash records.  */
  GPtrArray *crash_cases;       /* mq_crash_case, owned.  */
  GPtrArray *path_probes;       /* In progress, owned.  */
  GHashTable *stored_refusals;  /* Written to the store: content hash ->
                                   stored_refusal, owned.  */
  bool refusals_scanning;
  bool refusals_scanned;
  uint64_t refusals_scan_us; /* No scan of refusals before.  */
};

struct mq_forward
{
  mq_gateway *gateway; /* Borrowed.  */
  GList link;
  mq_http_exchange *exchange; /* One reference.  */
  mq_routing *routing;        /* One reference.  */
  const mq_route *route;      /* Of the routing.  */
  const mq_route_service *service;
  const mq_route_organisation *organisation; /* NULL: none.  */
  mq_forward_state state;
  uint64_t started_us;
  mq_span id;              /* Of the exchange.  */
  uint64_t content;        /* What it asks; 0: not worked out yet.  */
  mq_upstream *upstream;   /* The one sent to, one reference; NULL: none.  */
  GPtrArray *tried;        /* mq_upstream, one reference each.  */
  GPtrArray *ran;          /* Those that ran it, or may have; the same.  */
  bool ran_anew;           /* The last of these is that of this send.  */
  mq_layer_path path;      /* Empty for plain services.  */
  mq_path_load *path_load; /* Of PATH where it is placed, borrowed, or NULL. */
  double need;             /* Tokens.  */
  double prompt;           /* Of these, the prompt's.  */
  double reading;          /* The prompt, until its send's first event.  */
  double used;             /* In flight there when it was placed.  */
  bool waits;              /* For a path; it was not placed yet.  */
  mq_http_call *call;      /* Borrowed; NULL between sends.  */
  uint64_t sent_us;        /* Of the last send.  */
  uint64_t received_us;    /* Last byte of the answer, or the send.  */
  GString *failure;        /* Body of an answer that is no stream.  */
  mq_event_split split;
  unsigned first_event_ms; /* From the request to its first event.  */
  double usual_gap_ms; /* Between events of this run, the late ones most.  */
  unsigned longest_gap_ms; /* Between two events.  */
  uint64_t passed_us;      /* When the last event was passed on.  */
  uint64_t run_began_us;   /* First event of the last run that had any.  */
  bool innocent;           /* A run went on for a while: what ends upstreams
                              does so as it begins.  */
  mq_log_buffer story;
};

/* ---- gateway.c  */
uint64_t mq_gateway_now_us (void);
uint64_t mq_gateway_random (mq_gateway *gateway);
mq_service_state *mq_gateway_service (mq_gateway *gateway,
                                      const mq_route_service *service);
/* Has SERVICE budget for one more send beyond the first of a request?  */
bool mq_gateway_has_budget (mq_gateway *gateway,
                            const mq_route_service *service, uint64_t now_us);
/* How many times as many requests for SERVICE all routers have as this one. */
double mq_gateway_shares (mq_gateway *gateway, const mq_route_service *service,
                          uint64_t now_us);
bool mq_gateway_is_ready (const mq_gateway *gateway);

/* ---- gateway_front.c  */
void mq_gateway_on_client (void *context, const mq_http_server_event *event);
/* Route or refuse requests that came before the configuration.  */
void mq_front_tick (mq_gateway *gateway, uint64_t now_us);
void mq_front_finish (mq_gateway *gateway);
void mq_gateway_on_readiness (void *context,
                              const mq_http_server_event *event);
void mq_gateway_on_directory (void *context,
                              const mq_http_server_event *event);
/* Answer with BODY of that content TYPE.  */
void mq_gateway_answer_text (mq_http_exchange *exchange, unsigned status,
                             const char *type, mq_span body);
/* Answer with STATUS and, unless 0, Retry-After.  */
void mq_gateway_refuse (mq_http_exchange *exchange, unsigned status,
                        unsigned retry_ms);

/* ---- gateway_metrics.c  */
void mq_gateway_metrics_init (mq_gateway *gateway);
/* A request of ROUTE (NULL: of none) ended after US microseconds.  OUTCOME and
   REASON are those of the log.  */
void mq_gateway_count_end (mq_gateway *gateway, const mq_route *route,
                           const char *outcome, const char *reason,
                           uint64_t us);
/* The store is asked, in a call that is priced.  */
void mq_gateway_count_store_call (mq_gateway *gateway,
                                  mq_store_purpose purpose);
/* A stream's first event came after US microseconds.  */
void mq_gateway_count_first_event (mq_gateway *gateway, uint64_t us);
void mq_gateway_on_metrics (void *context, const mq_http_server_event *event);

/* ---- gateway_forward.c  */
/* Begin to serve EXCHANGE, which came at ARRIVED_US; the other arguments are
   as in the structure.  */
void mq_forward_start (mq_gateway *gateway, mq_http_exchange *exchange,
                       const mq_route *route,
                       const mq_route_organisation *organisation,
                       uint64_t arrived_us);
/* The client is gone.  */
void mq_forward_cancel (mq_forward *forward);
/* The send under way ended as END.  May free FORWARD.  */
void mq_forward_send_ended (mq_forward *forward, mq_send_end end,
                            unsigned status, const char *why);
/* Log how FORWARD ended and free it.  */
void mq_forward_end (mq_forward *forward, const char *outcome, unsigned status,
                     const char *why);
/* How long ago it came.  */
uint64_t mq_forward_age_ms (const mq_forward *forward);
/* No upstream can take FORWARD: answer it.  Frees FORWARD.  */
void mq_forward_reject (mq_forward *forward, unsigned retry_ms,
                        const char *why);
/* Look at deadlines and patience.  May free FORWARD.  */
void mq_forward_tick (mq_forward *forward, uint64_t now_us);
/* Probe the path of FORWARD when its stream has been silent for unusually
   long.  */
void mq_forward_check_silence (mq_forward *forward, uint64_t now_us);
/* Fail all sends that pass through the upstream at ADDRESS.  */
void mq_forward_fail_all_through (mq_gateway *gateway, mq_span address,
                                  const char *why);
void mq_forward_free_all (mq_gateway *gateway);

/* ---- gateway_content.c  */
/* Hash of what FORWARD requests, equal for repetitions of the same request at
   any router; never 0.  Computed on first use.  */
uint64_t mq_forward_content_hash (mq_forward *forward);

/* ---- gateway_crash.c  */
/* An event of FORWARD is about to be sent to the client.  */
void mq_crash_note_event (mq_forward *forward, uint64_t now_us);
/* The run of FORWARD broke off.  UPSTREAM, unless NULL, may have crashed, and
   FORWARD may be the cause.  */
void mq_crash_note_broken_run (mq_forward *forward, mq_upstream *upstream,
                               uint64_t now_us);
/* Confirm or dismiss suspected crashes.  */
void mq_crash_tick (mq_gateway *gateway, uint64_t now_us);
/* Cancels the case's probe.  Of type GDestroyNotify.  */
void mq_crash_case_free (gpointer data);

/* ---- gateway_quarantine.c  */
void mq_gateway_quarantine_init (mq_gateway *gateway);
void mq_gateway_quarantine_finish (mq_gateway *gateway);
void mq_gateway_quarantine_tick (mq_gateway *gateway, uint64_t now_us);
/* REQUEST, a content hash, is suspected of the crash of UPSTREAM at AT_US.
   START is a hash of that instance of UPSTREAM.  */
void mq_gateway_note_suspect (mq_gateway *gateway, uint64_t request,
                              const mq_upstream *upstream, uint64_t start,
                              uint64_t at_us);
/* FORWARD succeeded, which clears it of earlier suspicions.  */
void mq_gateway_note_success (mq_forward *forward);
/* Merge the crash records ENDS (mq_quarantine_record) that FROM reported.  */
void mq_gateway_merge_crashes (mq_gateway *gateway, const GArray *ends,
                               const mq_cluster_member *from, uint64_t now_us);
/* How long requests with the hash CONTENT stay refused; 0: they are not.  */
uint64_t mq_gateway_quarantine_remaining_us (const mq_gateway *gateway,
                                             uint64_t content,
                                             uint64_t now_us);

/* ---- gateway_answer.c  */
/* The sink of a send's call.  */
void mq_forward_on_call (void *context, const mq_http_client_event *event);

/* ---- gateway_place.c  */
/* Choose where FORWARD goes.  Unless it is placed, *RETRY_MS is set.  */
mq_placing mq_forward_place (mq_forward *forward, uint64_t now_us,
                             unsigned *retry_ms);
/* The first event of FORWARD's send came: its prompt has been read.  */
void mq_forward_note_prefilled (mq_forward *forward);
/* What FORWARD is to the choice of a path.  */
mq_domain_rank mq_forward_rank (const mq_forward *forward);
/* Does FORWARD still wait while prompts are read that came before it?  */
bool mq_forward_may_wait_for_prefill (const mq_forward *forward,
                                      uint64_t now_us);
/* May FORWARD leave its run, and is there another head that would take it
   now?  */
bool mq_forward_can_move (mq_forward *forward, uint64_t now_us);
/* Give up the place.  */
void mq_forward_unplace (mq_forward *forward);

/* ---- gateway_send.c  */
void mq_forward_send (mq_forward *forward, uint64_t now_us);

/* ---- gateway_feed.c  */
/* Scan all objects of KIND once, then follow its changes while FEED->follow
   says so.  KIND is borrowed.  */
void mq_feed_start (mq_feed *feed, mq_gateway *gateway, const char *kind);
/* Cancel the call in progress and the timer.  May be called at any time.  */
void mq_feed_stop (mq_feed *feed);
/* Time since the store last replied or a relay confirmed our version.  */
uint64_t mq_feed_age_ms (const mq_feed *feed, uint64_t now_us);
/* Stop following after a delay, in which the others learn that they must send
   updates to this router.  */
void mq_feed_stop_later (mq_feed *feed);
/* Complete mq_feed_stop_later when its delay has passed.  */
void mq_feed_tick (mq_feed *feed, uint64_t now_us);
/* Begin to follow, from the last revision if that is recent, else after a new
   scan.  */
void mq_feed_resume (mq_feed *feed);
/* Cancel the call in progress, which may hang, and call again.  */
void mq_feed_restart (mq_feed *feed);
/* Cancel the call in progress and scan again.  */
void mq_feed_refresh (mq_feed *feed);
/* Decode the configuration TEXT from SOURCE (a word for the log), put it in
   force when it is newer, and propagate it as far as SCOPE says.  */
void mq_gateway_apply_routing (mq_gateway *gateway, mq_span text,
                               const char *source, mq_propagation_scope scope);
/* Remove the upstreams that are not in SEEN, the set of all ids at revision AT
   of the store, unless their entry is newer than AT.  Adds the newer ones to
   SEEN.  */
void mq_gateway_prune_upstreams (mq_gateway *gateway, GHashTable *seen,
                                 uint64_t at);
/* Apply ENTRY, an upstream as the store or a peer sent it.  Returns true when
   it was newer than what was known.  */
bool mq_gateway_apply_upstream (mq_gateway *gateway,
                                const mq_platform_entry *entry);

/* ---- gateway_members.c  */
/* Join the cluster.  Returns 0; or -1 with ERROR set when the peer address
   can't be used.  */
int mq_members_start (mq_gateway *gateway, GError **error);
void mq_members_stop (mq_gateway *gateway);
void mq_members_tick (mq_gateway *gateway, uint64_t now_us);
/* Returns true when this router follows something in the store and the store
   replied recently.  */
bool mq_members_store_is_reached (const mq_gateway *gateway, uint64_t now_us);
/* Returns true when this router follows something in the store and its calls
   fail.  */
bool mq_members_store_fails (const mq_gateway *gateway);
/* Returns true when this router is to order layers now.  */
bool mq_members_is_leader (const mq_gateway *gateway, uint64_t now_us);

/* ---- gateway_gossip.c  */
/* Send gossip to all its receivers at once, without waiting for the next
   heartbeat.  */
void mq_gateway_gossip_broadcast (mq_gateway *gateway);
/* Start and stop sending gossip at each heartbeat.  */
void mq_gateway_gossip_start (mq_gateway *gateway);
void mq_gateway_gossip_stop (mq_gateway *gateway);
/* Send ROUTER the encoded message BYTES of KIND.  */
void mq_gateway_gossip_send (mq_gateway *gateway, mq_cluster_member *router,
                             mq_cluster_message_kind kind,
                             const GString *bytes);
/* Encode MESSAGE and send it to ROUTER.  */
void mq_gateway_send_message (mq_gateway *gateway, mq_cluster_member *router,
                              const mq_cluster_message *message);
/* A message of a peer arrived.  CONTEXT is the gateway.  */
void mq_gateway_gossip_on_message (void *context, mq_span bytes);

/* ---- gateway_propagation.c  */
/* Send all routers the layers that UPSTREAM reported.  */
void mq_gateway_propagate_layers (mq_gateway *gateway,
                                  const mq_upstream *upstream);
/* Send N changed ENTRIES of upstreams, read from the store, to the routers
   that do not follow it.  */
void mq_gateway_propagate_upstreams (mq_gateway *gateway,
                                     const mq_platform_entry *entries,
                                     size_t n);
/* Send the configuration in force as far as SCOPE says, but no further than
   this domain.  */
void mq_gateway_propagate_routing (mq_gateway *gateway,
                                   mq_propagation_scope scope);
/* Read from the store again what peers have and this router lacks, since its
   watch may hang.  */
void mq_gateway_refresh_stale_feeds (mq_gateway *gateway, uint64_t now_us);
/* Send again what other routers have not received in time.  */
void mq_gateway_propagation_tick (mq_gateway *gateway, uint64_t now_us);
/* Apply and propagate an engine's layers as a peer sent them.  */
void mq_gateway_receive_layers (mq_gateway *gateway,
                                const mq_cluster_message *message);
/* Apply and propagate upstreams as a peer sent them.  */
void mq_gateway_receive_upstreams (mq_gateway *gateway,
                                   const mq_cluster_message *message);

/* ---- gateway_orders.c  */
/* As the leader, order engines to load layers.  */
void mq_orders_tick (mq_gateway *gateway, uint64_t now_us);

/* ---- gateway_report.c  */
/* A report request to UPSTREAM ended with RESULT.  REPORT is borrowed, and
   NULL when no valid report was received.  */
typedef void (*mq_report_sink) (mq_gateway *gateway, mq_upstream *upstream,
                                mq_http_result result,
                                const mq_engine_report *report);
/* Request a report from UPSTREAM, record its slowdown and run SINK, which is
   never called from inside this function.  */
void mq_report_request (mq_gateway *gateway, mq_upstream *upstream,
                        mq_report_sink sink);

/* ---- gateway_stall.c  */
/* Request a report from HEAD, the head of a silent path, unless one is in
   progress or recent.  An engine that it names as stalled is marked down.  */
void mq_stall_request_report (mq_gateway *gateway, mq_upstream *head);
/* A stream on PATH is slow: request reports from the engines of PATH whose
   slowdown is unknown or out of date.  */
void mq_stall_request_slowdowns (mq_gateway *gateway,
                                 const mq_layer_path *path);
/* ENGINE is stalled or unreachable: eject it and move all requests through it
   to other paths.  WHY is a word for the log.  */
void mq_stall_mark_down (mq_gateway *gateway, mq_upstream *engine,
                         const char *why);
/* Request reports from slow engines before their slowdown expires.  */
void mq_stall_tick (mq_gateway *gateway, uint64_t now_us);

G_END_DECLS

#endif
