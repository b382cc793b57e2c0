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
  MQ_GATEWAY_DRAINING, /* Answers what comes, and tells clients to leave.  */
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
  uint64_t at;            /* Follow from here.  */
  unsigned wait_ms;       /* For which the store may hold the last follow.  */
  mq_str *after;          /* Scan: last name seen, or NULL.  */
  GHashTable *seen;       /* Scan: names so far.  */
  bool scanned;           /* Once, in this process.  */
  unsigned failures;      /* In a row.  */
  uint64_t last_reply_us; /* When the store last answered.  */
  uint64_t resumed_us;    /* When this router last began to follow.  */
  uint64_t told_us;       /* When a relay last knew nothing newer.  */
  uint64_t linger_until_us; /* It no longer follows, and goes on up to then; 0:
                        it does follow, or has stopped.  */
} mq_feed;

/* What the gateway keeps of a service beside its configuration.  */
typedef struct mq_service_state
{
  mq_send_budget budget;
  uint64_t budget_requested_us; /* When others were last asked for sends ... */
  uint64_t budget_request_serial;  /* ... in this request ...  */
  unsigned budget_request_pending; /* ... of which so many have not come.  */
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
  uint64_t
      newest_routing_version; /* Newest version that a peer's news told of.  */
  mq_lag own_routing_lag;     /* This router's configuration is older.  */
  mq_lag upstreams_lag;       /* Others know newer upstreams.  */
  uint64_t
      store_recovered_us; /* When the store last answered after failures.  */
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
  uint64_t crashes_reported_us; /* Reports last told all of it.  */
  GPtrArray *crash_cases;       /* mq_crash_case, owned.  */
  GPtrArray *path_probes;       /* Under way, owned.  */
  GHashTable *stored_refusals;  /* In the store, by request; owned.  */
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
/* What FORWARD asks, the same for each time that a client sends it, at any
   router; never 0.  */
uint64_t mq_forward_content_hash (mq_forward *forward);

/* ---- gateway_crash.c  */
/* An event of FORWARD is about to be passed on.  */
void mq_crash_note_event (mq_forward *forward, uint64_t now_us);
/* The run of FORWARD broke off, and UPSTREAM (NULL: none) may have ended,
   maybe under it.  */
void mq_crash_note_broken_run (mq_forward *forward, mq_upstream *upstream,
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
void mq_gateway_note_suspect (mq_gateway *gateway, uint64_t request,
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
/* Read all of KIND once; go on following it when this router does.  */
void mq_feed_start (mq_feed *feed, mq_gateway *gateway, const char *kind);
void mq_feed_stop (mq_feed *feed);
/* Since the store last answered, or a relay showed that it knows no more.  */
uint64_t mq_feed_age_ms (const mq_feed *feed, uint64_t now_us);
/* Leave off, once all others know that they have to tell this router.  */
void mq_feed_stop_later (mq_feed *feed);
void mq_feed_tick (mq_feed *feed, uint64_t now_us);
/* Follow from now on, from where it was left when that was a moment ago.  */
void mq_feed_resume (mq_feed *feed);
/* Give up the call that waits, which may hang, and follow anew.  */
void mq_feed_restart (mq_feed *feed);
/* Read all of it anew, whatever it waits for.  */
void mq_feed_refresh (mq_feed *feed);
/* Take a configuration or a list of upstreams that a peer passed on.  */
void mq_gateway_apply_routing (mq_gateway *gateway, mq_span text,
                               const char *source, mq_propagation_scope scope);
/* SEEN, a set of ids, names all upstreams that there were at revision AT of
   the store: drop all others that are no younger.  */
void mq_gateway_prune_upstreams (mq_gateway *gateway, GHashTable *seen,
                                 uint64_t at);
/* Take what the store, or a peer, told of an upstream.  Returns true when it
   was news.  */
bool mq_gateway_apply_upstream (mq_gateway *gateway,
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
bool mq_members_is_leader (const mq_gateway *gateway, uint64_t now_us);

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
void mq_stall_request_report (mq_gateway *gateway, mq_upstream *head);
/* A stream on PATH goes on slowly: ask its engines for their paces.  */
void mq_stall_request_slowdowns (mq_gateway *gateway,
                                 const mq_layer_path *path);
/* ENGINE can't be connected to: all requests through it go on elsewhere.  */
void mq_stall_mark_down (mq_gateway *gateway, mq_upstream *engine,
                         const char *why);
/* Ask again those that were slow.  */
void mq_stall_tick (mq_gateway *gateway, uint64_t now_us);

G_END_DECLS

#endif
