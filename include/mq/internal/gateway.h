/* Gateway mode: types and functions shared within packages/gateway.

   One process serves clients' requests, the platform's readiness check and
   discovery requests.  It reads configuration and upstreams from the store,
   exchanges gossip with its peers, and, as the leader, orders engines to load
   layers.  packages/route takes the decisions; the files here translate
   socket and timer events into calls to it and carry out the results.

   Ownership: the gateway owns all its components.  A forward is owned by the
   gateway's list until mq_forward_end or mq_forward_free_all.

   Times (_us) are monotonic microseconds unless noted otherwise.  */

#ifndef MQ_INTERNAL_GATEWAY_H
#define MQ_INTERNAL_GATEWAY_H

#include <ev.h>
#include <mq/detour.h>
#include <mq/dialect.h>
#include <mq/domain_load.h>
#include <mq/element.h>
#include <mq/entry_list.h>
#include <mq/event_split.h>
#include <mq/follow.h>
#include <mq/forward_rule.h>
#include <mq/gateway.h>
#include <mq/http_client.h>
#include <mq/http_server.h>
#include <mq/internal/gateway_view.h>
#include <mq/latency_estimate.h>
#include <mq/layer_plan.h>
#include <mq/load_queue.h>
#include <mq/log.h>
#include <mq/metrics.h>
#include <mq/cluster_message.h>
#include <mq/propagation.h>
#include <mq/peers.h>
#include <mq/processor_meter.h>
#include <mq/quarantine.h>
#include <mq/reach.h>
#include <mq/tcp_probe.h>
#include <mq/tunnel_server.h>
#include <mq/cluster.h>
#include <mq/send_budget.h>
#include <mq/urgency_reserve.h>

G_BEGIN_DECLS

typedef enum mq_gateway_mode
{
  MQ_GATEWAY_SERVING,
  MQ_GATEWAY_DRAINING, /* Still serves requests, but asks clients to leave.  */
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

/* Kinds of entries that can't be read, as metrics count them.  */
typedef enum mq_entry_kind
{
  MQ_ENTRY_ROUTING,
  MQ_ENTRY_UPSTREAM,
  MQ_ENTRY_MEMBER,
  MQ_ENTRY_REFUSAL,
  MQ_ENTRY_UNNAMED, /* Its name can't be read either.  */
  MQ_ENTRY_KINDS
} mq_entry_kind;

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
  unsigned wait_ms; /* How long the store may hold the last follow call.  */
  mq_str *after;    /* Scan: last name of the previous page, or NULL.  */
  GHashTable *seen; /* Scan: names so far, owned; or NULL.  */
  bool scanned;     /* A scan has completed in this process.  */
  bool rereads;     /* The scan in progress is one of mq_feed_reread.  */
  uint64_t reread_from;        /* Then: REVISION before it.  */
  unsigned failures;           /* Consecutive failed calls.  */
  unsigned unreadable_replies; /* Replies that could not be read since the last
                                  follow call whose reply was.  */
  uint64_t unnamed_us;    /* Last scan because of entries without a name; 0:
                             none.  */
  uint64_t called_us;     /* When the last call began.  */
  bool logged_overdue;    /* That its reply is overdue was logged.  */
  bool in_doubt;          /* The store may be lost: no reply since one was
                             overdue or calls failed.  */
  bool verifies;          /* The store is not to hold the next follow call.  */
  uint64_t last_reply_us; /* Last successful call; 0: none.  */
  uint64_t resumed_us;    /* When this router last began to follow.  */
  uint64_t confirmed_us;  /* When gossip of a relay of this domain last showed
                             no newer version than ours; 0: never.  */
  uint64_t linger_until_us; /* No longer a follower, but keeps its watch until
                               then; 0: follower, or stopped.  */
} mq_feed;

typedef struct mq_reach_check mq_reach_check;

/* State of a service besides its configuration.  */
typedef struct mq_service_state
{
  mq_send_budget budget;
  uint64_t budget_requested_us;    /* Last request for budget.  */
  uint64_t budget_request_serial;  /* Its serial.  */
  unsigned budget_request_pending; /* Sends that it has not been granted.  */
  unsigned budget_request_sends;   /* Sends that it asked for.  */
  uint64_t budget_interval_us;     /* Until the next request.  */
  mq_layer_plan plan;              /* Of a layered model.  */
  mq_urgency_reserve urgency;      /* Where levels are in force.  */
  mq_gateway_service_view view;    /* Whether its upstreams are known.  */
  mq_load_queue loads;             /* Likewise.  */
  mq_reach reach;              /* Whether this router reaches its upstreams. */
  mq_reach_check *reach_check; /* In progress, owned; NULL: none.  */
  mq_latency_estimate durations[MQ_ROUTE_KINDS]; /* Of requests that were
                                                    answered, in ms.  */
} mq_service_state;

/* The load that this router has put on one path, and the latencies that it
   has observed there.  */
typedef struct mq_path_load
{
  double tokens;         /* Expected of the requests in flight.  */
  double prefill_tokens; /* Prompts whose first event has not arrived.  */
  mq_latency_estimate first_event; /* From a send to its first event.  */
  mq_latency_estimate event_gap;   /* Between two events of one run.  */
} mq_path_load;

/* The result of the choice of a target for a request.  */
typedef enum mq_place_result
{
  MQ_PLACE_OK,
  MQ_PLACE_NO_ROOM,
  MQ_PLACE_PREFILLING, /* There is memory, but the prompts queued there take
                          too long to prefill.  */
  MQ_PLACE_UNKNOWN     /* This router has just started and does not know the
                          upstreams of the service yet.  */
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
  uint64_t *answers_too_large;
  uint64_t *responses[MQ_RESPONSE_FRAMINGS];
  uint64_t *close_checks[2]; /* 1: the upstream had crashed.  */
  uint64_t *response_faults[MQ_RESPONSE_FAULTS];
  uint64_t *stray_responses;
  uint64_t *budget_granted;
  uint64_t *budget_received;
  uint64_t *orders;
  uint64_t *loads_open;
  uint64_t *loads_waiting;
  uint64_t *store_calls[MQ_STORE_PURPOSES];
  uint64_t *unreadable_entries[MQ_ENTRY_KINDS];
  uint64_t *unreadable_replies;
  uint64_t *reports;
  uint64_t *path_probes;
  uint64_t *reach_checks;
  uint64_t *isolated;
  uint64_t *detours;
  uint64_t *tunnels;
  uint64_t *tunnels_open;
  uint64_t *routing_version;
  uint64_t *routing_age_ms;
  uint64_t *upstreams_age_ms;
  uint64_t *connections;
  uint64_t *connection_limit;
  uint64_t *refused_connections;
  uint64_t *upstreams;
  uint64_t *upstreams_ejected;
  uint64_t *upstreams_rejecting;
  uint64_t *upstreams_slow;
  uint64_t *upstreams_limited;
  uint64_t *upstreams_resting;
  uint64_t *routers;
  uint64_t *relays;
  uint64_t *leader;
  uint64_t *behind_routing;
  uint64_t *behind_upstreams;
  uint64_t *behind_ms;
  uint64_t *own_behind_ms;
  uint64_t *store_overdue;
  uint64_t *serving;
  uint64_t *counts_age_ms;
  uint64_t *peer_messages[MQ_CLUSTER_MESSAGE_KINDS]
                         [2]; /* 0: to the own failure domain, 1: to others. */
  uint64_t *peer_bytes[MQ_CLUSTER_MESSAGE_KINDS][2];
  uint64_t *peer_unreadable;
  uint64_t *peer_unreadable_records;
  uint64_t *crashes;
  uint64_t *suspects;
  uint64_t *quarantined;
  uint64_t *log_lines;
  uint64_t *log_dropped;
} mq_gateway_counters;

typedef struct mq_forward mq_forward;
typedef struct mq_crash_case mq_crash_case;
typedef struct mq_standby mq_standby;

struct mq_gateway
{
  struct ev_loop *loop;                /* Borrowed.  */
  const mq_dialect *dialect;           /* Borrowed.  */
  const mq_gateway_settings *settings; /* Borrowed.  */
  uint64_t started_us;
  mq_gateway_mode mode;
  mq_resource_account account;    /* What is held for clients, at all ports. */
  mq_http_client *client;         /* For calls to upstreams.  */
  mq_http_server *clients;        /* Serves clients' requests.  */
  mq_http_server *readiness;      /* Serves the readiness check.  */
  mq_http_server *directory;      /* Serves discovery requests.  */
  mq_http_server *metrics_server; /* NULL when metrics are off.  */
  mq_tunnel_server *tunnels;      /* For other routers.  */
  mq_platform *store;
  mq_routing *routing;  /* Configuration in force; NULL until received.  */
  mq_str *routing_text; /* Its encoded form, for propagation.  */
  mq_registry registry;
  mq_entry_list upstream_list; /* Encoded upstreams, for propagation.  */
  bool upstreams_known;        /* A complete list has been received.  */
  mq_feed routing_feed;
  mq_feed upstream_feed;
  mq_version_log versions;         /* Of ROUTING, lately.  */
  uint64_t newest_routing_version; /* That any gossip named.  */
  mq_gateway_view view;            /* Of all services, after the start.  */
  mq_lag own_routing_lag; /* A peer's configuration is newer than ours.  */
  mq_lag upstreams_lag;   /* A relay knows newer upstreams than we do.  */
  uint64_t upstreams_behind_us; /* Since when one does; 0: none does.  */
  uint64_t store_recovered_us;  /* First reply after failures; 0: none.  */
  mq_peers *peers;
  mq_cluster cluster;         /* The other routers.  */
  mq_digest_log digests;      /* Recent digests of UPSTREAM_LIST.  */
  int64_t first_list_entries; /* First lists may go out while it is positive
                                 (gateway_propagation.c).  */
  mq_str *client_address;     /* This router's own, IP:PORT for clients.  */
  ev_timer heartbeat;
  uint64_t ticked_us;       /* Last tick; shows pauses of the process.  */
  uint64_t looked_us;       /* Last check for silent streams, likewise ...  */
  uint64_t awake_us;        /* ... and the end of the last pause; 0: none.  */
  uint64_t peers_idle_us;   /* Last look for idle connections to routers.  */
  uint64_t reported_us;     /* Last report; 0 makes the next one due.  */
  uint64_t loaded_us;       /* When this router was last loaded; 0: never.  */
  mq_processor_meter meter; /* Processor use of this process.  */
  uint64_t member_retry_us; /* No write of our member object before.  */
  bool member_written;
  bool member_writing;
  bool members_scanning;
  bool members_scan_stale; /* That scan may miss entries of late.  */
  bool leads; /* This router is the leader: it orders layers ... */
  uint64_t leads_since_us;     /* ... and has been for so long.  */
  bool orders_due;             /* A report arrived: order at the next tick.  */
  bool traffic_seen;           /* Clients have sent requests to the fleet.  */
  bool store_doubted;          /* At the last tick a feed was in doubt.  */
  unsigned open_order_reports; /* Requested for order counts.  */
  uint64_t members_scan_us;    /* Next scan of the member objects.  */
  uint64_t doubt_announced_us; /* When the others were last told so.  */
  ev_timer tick;
  ev_timer silence_timer; /* Checks streams for silence.  */
  unsigned ticks;
  unsigned isolated_services; /* Those with reach.isolated.  */
  GQueue early_requests;      /* Arrived before the configuration; owned.  */
  GQueue forwards;            /* mq_forward, owned.  */
  GHashTable *services;       /* Name -> mq_service_state, owned.  */
  GHashTable *paths;          /* Path key -> mq_path_load, owned; none is
                                 removed.  */
  unsigned prefilling_ranks;  /* Bits of mq_domain_rank for which prefill was
                                 found to saturate all paths in this tick.  */
  bool drain_closed;          /* Drain: no new connections accepted.  */
  uint64_t drain_close_us;    /* When that begins.  */
  uint64_t drain_answer_us;   /* What is unanswered is answered then.  */
  uint64_t drain_end_us;      /* Latest end of the drain.  */
  uint64_t drain_idle_us;     /* It ends from then on once nothing is open.  */
  mq_metrics *metrics;
  mq_gateway_counters counters;
  uint64_t random; /* State of mq_gateway_random.  */
  mq_quarantine quarantine;
  uint64_t crashes_reported_us; /* Last report of all crash records.  */
  GPtrArray *crash_cases;       /* mq_crash_case, owned.  */
  GPtrArray *path_probes;       /* In progress, owned.  */
  mq_detour_table detours;
  GHashTable *stored_refusals; /* Written to the store: element ->
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
  const mq_route *route;      /* Borrowed from ROUTING, as the next two.  */
  const mq_route_service *service;
  const mq_route_organisation *organisation; /* NULL: an anonymous client.  */
  mq_forward_state state;
  uint64_t limit_us;   /* The deadline without a drain.  */
  uint64_t started_us; /* When the request arrived.  */
  mq_span id;          /* Request id, borrowed from EXCHANGE.  */
  uint64_t *parts;     /* Elements, owned: the content, 0 until it is
                          computed, and N_PARTS parts of the prompt.  NULL:
                          not computed yet.  */
  size_t n_parts;
  mq_upstream *upstream; /* Target of the current send, one reference; NULL
                            between sends.  */
  GPtrArray *tried;      /* mq_upstream that were sent to, one reference
                            each.  */
  GPtrArray *ran;        /* mq_upstream that ran it or may have, one reference
                            each.  */
  bool added_to_ran;     /* The current send added the last one of RAN.  */
  mq_layer_path path;    /* Of the current send; empty for plain services.  */
  mq_path_load *path_load; /* Of PATH, borrowed; NULL when it has no path.  */
  double need_tokens;      /* mq_domain_expected_tokens.  */
  double prompt_tokens;    /* Of these, the prompt's.  */
  double prefill_tokens;   /* Counted in PATH_LOAD as not prefilled.  */
  double used_tokens;      /* In flight on PATH when it was chosen.  */
  bool nothing_follows;    /* An upstream had no event after the last one.  */
  bool stopped;            /* A drain has brought the deadline forward.  */
  bool limited;            /* An upstream that it could have been sent to has
                              a limit that did not allow it ...  */
  bool resting;            /* ... or accepts nothing from this router.  */
  bool kept_apart;         /* An upstream that it could have been sent to is
                              left to other suspects of the same crashes.  */
  bool waiting;            /* No path could take it; the tick tries again.  */
  bool view_waits;         /* The same, as its service is not known yet.  */
  bool view_waited;        /* It did so at some time.  */
  bool waits_for_budget;   /* The retry budget had no room for its next send.
                            */
  bool run_timed_out;      /* A run of it timed out.  */
  bool awaits_reach;       /* It waits for a check whether its service is
                              reached.  */
  bool yielded;            /* It left budget to a more urgent one.  */
  int level;               /* Its urgency, or MQ_URGENCY_NONE.  */
  mq_send_end lost_end;    /* How the last send ended, if one did ...  */
  uint64_t lost_us;        /* ... then.  */
  const char *stalled_why; /* Something speaks against its run, which it
                              leaves if that stays silent and it can be sent
                              elsewhere: the reason for the log.  Static; NULL:
                              nothing does.  */
  uint64_t stay_until_us;  /* It leaves no silent run before.  */
  mq_standby *standby;     /* A silent run that it left (gateway_standby.h),
                              owned; NULL: none.  */
  struct mq_close_check *close_check; /* Of the current send, whose call has
                                         ended (gateway_close_check.h), owned;
                                         NULL: none.  */
  mq_http_call *call;                 /* Borrowed; NULL between sends.  */
  mq_detour *detour;    /* That the current send goes through, borrowed;
                           NULL: none.  */
  uint64_t sent_us;     /* When the last send began.  */
  uint64_t received_us; /* When the last progress of a response arrived,
                           its head or an event with an id; at first, when
                           forwarding began.  */
  GString *held;        /* Bytes of a stream's response that are not
                           forwarded yet: the body of one without success,
                           or what came without an id after the last event
                           with one.  */
  mq_event_split split;
  bool notice_taken; /* What the upstream states in the headers of the present
                        run's response was applied.  */
  unsigned tunnel_status;      /* As in the end event of the last call.  */
  mq_response_framing framing; /* The same.  */
  mq_response_fault fault;     /* The same.  */
  unsigned unsent_tries;       /* Sends in a row that found no connection.  */
  unsigned first_event_ms; /* From the request's arrival to its first event. */
  double smoothed_gap_ms;  /* Moving average of the gaps between events.  */
  unsigned longest_gap_ms; /* Between two events.  */
  uint64_t last_event_us;  /* When the last event was written; 0: none.  */
  uint64_t run_began_us;   /* First event of the last run that had one.  */
  uint64_t run_us;         /* How long that run has sent events; long gaps
                              count in part.  */
  bool cleared;            /* A run outlasted MQ_QUARANTINE_STARTUP_US, so the
                              request is not suspected of crashes.  */
  uint64_t admitted_us;    /* First send of a request with a level; 0: none. */
  mq_urgency_limit urgency_limit; /* Of its last placement, ...  */
  double urgency_ratio;           /* ... and the ratio that it was for.  */
  mq_log_buffer log_buffer;
};

/* ---- gateway.c  */
/* Monotonic time.  */
uint64_t mq_gateway_now_us (void);
/* A pseudo-random number, uniform over 64 bits.  */
uint64_t mq_gateway_random (mq_gateway *gateway);
/* A pseudo-random number in [0, 1).  */
double mq_gateway_random_unit (mq_gateway *gateway);
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
/* Has all ports keep the LIMITS of a configuration.  */
void mq_gateway_set_limits (mq_gateway *gateway,
                            const mq_route_limits *limits);

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
/* Reply with STATUS, a failure of the request because of WHY.  The body says
   that the outcome is unknown.  */
void mq_gateway_reply_unknown (mq_http_exchange *exchange, unsigned status,
                               const char *why);
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
/* Count a run that this router ends for REASON, a word of the log, though its
   connection is open, so that the upstream may be at work.  */
void mq_gateway_count_left_run (mq_gateway *gateway, const char *reason);
/* Count such a run that its request returned to for REASON.  */
void mq_gateway_count_resumed_run (mq_gateway *gateway, const char *reason);
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
/* The head of a response to FORWARD, or an event with an id, has arrived.  */
void mq_forward_note_received (mq_forward *forward);
/* Probe the path of FORWARD when its stream has been silent for longer than
   the path's latency estimate allows.  */
void mq_forward_check_silence (mq_forward *forward, uint64_t now_us);
/* The upstream at ADDRESS may be down, for the reason WHY, static: of the
   requests that pass through it, those that are silent and can be sent
   elsewhere now leave it, the others as soon as that holds.  None is ended, as
   only the connection of a run shows that it is lost: an upstream may be
   silent, or refuse connections, and go on.  */
void mq_forward_leave_all_through (mq_gateway *gateway, mq_span address,
                                   const char *why);
/* The client of FORWARD takes more of the response again.  */
void mq_forward_note_drained (mq_forward *forward);
/* Cancel the call of the current send of FORWARD, if there is one, and release
   its upstream.  */
void mq_forward_drop_send (mq_forward *forward);
/* A check whether this router reaches SERVICE has ended: send the requests
   that waited for it, and if SERVICE is not reached, send those again that
   still wait for a connection.  */
void mq_forward_note_reach (mq_gateway *gateway, const mq_str *service);
void mq_forward_free_all (mq_gateway *gateway);

/* ---- gateway_content.c  */
/* The content of FORWARD as an element, equal for repetitions of the same
   request at any router.  Computed on first use.  */
uint64_t mq_forward_content (mq_forward *forward);
/* The parts of FORWARD's prompt that other requests may have as well.  */
mq_element_set mq_forward_parts (mq_forward *forward);
/* All elements of FORWARD.  */
mq_element_set mq_forward_elements (mq_forward *forward);

/* ---- gateway_crash.c  */
/* An event of FORWARD is about to be sent to the client.  */
void mq_crash_note_event (mq_forward *forward, uint64_t now_us);
/* The run of FORWARD broke off.  UPSTREAM, unless NULL, may have crashed, and
   FORWARD may be the cause.  */
void mq_crash_note_broken_run (mq_forward *forward, mq_upstream *upstream,
                               uint64_t now_us);
/* The response to FORWARD, a stream, ended with its connection and has no
   other end.  Its engine may have crashed, unless it ran for long before.  */
void mq_crash_note_unframed_end (mq_forward *forward, uint64_t now_us);
/* Returns true if a run of a request with CONTENT broke, and whether its
   upstream crashed is not known yet.  */
bool mq_crash_is_pending (const mq_gateway *gateway, uint64_t content);
/* Confirm or dismiss suspected crashes.  */
void mq_crash_tick (mq_gateway *gateway, uint64_t now_us);
/* Cancels the case's probe.  Of type GDestroyNotify.  */
void mq_crash_case_free (gpointer data);

/* ---- gateway_quarantine.c  */
void mq_gateway_quarantine_init (mq_gateway *gateway);
void mq_gateway_quarantine_finish (mq_gateway *gateway);
void mq_gateway_quarantine_tick (mq_gateway *gateway, uint64_t now_us);
/* ELEMENT is suspected of the crash of UPSTREAM at AT_US.  START is a hash of
   that instance of UPSTREAM.  */
void mq_gateway_note_suspect (mq_gateway *gateway, uint64_t element,
                              const mq_upstream *upstream, uint64_t start,
                              uint64_t at_us);
/* FORWARD ran well, which clears its elements of earlier suspicions.  */
void mq_gateway_note_success (mq_forward *forward);
/* Merge the crash records CRASHES (mq_quarantine_record) that FROM reported.
 */
void mq_gateway_merge_crashes (mq_gateway *gateway, const GArray *crashes,
                               const mq_cluster_member *from, uint64_t now_us);
/* Returns true if FORWARD may be sent to UPSTREAM now, as far as other
   suspects of the same crashes are concerned.  */
bool mq_gateway_quarantine_allows (mq_forward *forward,
                                   const mq_upstream *upstream,
                                   uint64_t now_us);
/* How long FORWARD stays refused; 0: it is not.  */
uint64_t mq_gateway_quarantine_remaining_us (mq_forward *forward,
                                             uint64_t now_us);
/* FORWARD is sent.  */
void mq_gateway_quarantine_note_sent (mq_forward *forward, uint64_t now_us);

/* ---- gateway_notice.c  */
/* Apply what UPSTREAM states in the headers of its response to CALL, which was
   sent at SENT_US.  The response is whole, or an event of it is passed on.
   OF_REQUEST: the call was a client's request, rather than an order or a
   request for a report.  */
void mq_gateway_note_response (mq_gateway *gateway, mq_upstream *upstream,
                               const mq_http_call *call, uint64_t sent_us,
                               bool of_request);
/* Apply that UPSTREAM stated at AT_US, in a response to the router BY, a limit
   of PER_S requests a second, 0 for none.  */
void mq_gateway_apply_limit (mq_gateway *gateway, mq_upstream *upstream,
                             double per_s, uint64_t at_us,
                             mq_finding_source by);
/* Apply that UPSTREAM said in a response to the router BY that it is leaving.
 */
void mq_gateway_apply_leaving (mq_gateway *gateway, mq_upstream *upstream,
                               mq_finding_source by);
/* Returns true if UPSTREAM accepts one more send for PURPOSE from this router
   now.  Each call to an upstream is subject to this, and counted by
   mq_gateway_note_send.  */
bool mq_gateway_may_send (mq_gateway *gateway, mq_upstream *upstream,
                          mq_send_purpose purpose, uint64_t now_us);
void mq_gateway_note_send (mq_gateway *gateway, mq_upstream *upstream,
                           mq_send_purpose purpose, uint64_t now_us);

/* ---- gateway_response.c  */
/* Returns true if the current send of FORWARD, a stream, has received an
   event.  */
bool mq_forward_run_has_begun (const mq_forward *forward);
bool mq_gateway_status_is_success (unsigned status);
/* Returns true if the response of CALL, whose head has arrived, may serve
   FORWARD: a signed success.  */
bool mq_gateway_response_may_serve (const mq_forward *forward,
                                    const mq_http_call *call);
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
/* Returns true if FORWARD may be sent again now, after a silence.  */
bool mq_forward_can_retry (mq_forward *forward, uint64_t now_us);
/* The same if also an upstream or a path would take it now.  */
bool mq_forward_can_leave (mq_forward *forward, uint64_t now_us);
/* The same if also a path with another head has room for it.  */
bool mq_forward_can_move (mq_forward *forward, uint64_t now_us);
/* Release the path of FORWARD, if it has one, and its share of the load.  */
void mq_forward_release_path (mq_forward *forward);

/* ---- gateway_send.c  */
/* Send FORWARD to an upstream.  When the retry budget or the paths have no
   room, it waits for the next tick or is rejected; a quarantined request is
   rejected.  May free FORWARD.  */
void mq_forward_send (mq_forward *forward, uint64_t now_us);
/* Returns true if the retry budget allows one more send of FORWARD now.  */
bool mq_forward_is_in_budget (mq_forward *forward, uint64_t now_us);
/* Returns true if FORWARD, a send of which ended, may wait for retry budget.
 */
bool mq_forward_may_wait_for_budget (const mq_forward *forward,
                                     uint64_t now_us);

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
/* Returns true if FEED follows the store, which may no longer answer.  */
bool mq_feed_is_in_doubt (const mq_feed *feed);
/* Returns true if the store owes FEED a reply for longer than it usually takes
   to send one.  */
bool mq_feed_is_overdue (const mq_feed *feed, uint64_t now_us);
/* Begin to follow, from the last revision if that is recent, else after a new
   scan.  */
void mq_feed_resume (mq_feed *feed);
/* Cancel the call in progress, which may hang, and call again.  */
void mq_feed_restart (mq_feed *feed);
/* Returns true if nothing is in progress or scheduled that mq_feed_reread
   would take the place of, such as the first scan, which is retried.  */
bool mq_feed_may_reread (const mq_feed *feed);
/* Scan once more, if mq_feed_may_reread; an answer that is some seconds old
   suffices.  A call that fails is not repeated, and pages that exceed the
   additional calls are not read, unless this router follows the feed by
   then.  */
void mq_feed_reread (mq_feed *feed);
/* Cancel the call in progress and scan again.  */
void mq_feed_refresh (mq_feed *feed);
/* Decode the configuration TEXT from SOURCE (a word for the log), put it in
   force when it is newer, and propagate it as far as SCOPE says.  */
void mq_gateway_apply_routing (mq_gateway *gateway, mq_span text,
                               const char *source, mq_propagation_scope scope);
/* Remove the upstreams that are not in SEEN, the set of all ids at revision AT
   of the store, unless their entry is newer than AT.  Adds the newer ones to
   SEEN.  SOURCE is for the log.  */
void mq_gateway_prune_upstreams (mq_gateway *gateway, GHashTable *seen,
                                 uint64_t at, const char *source);
/* Apply ENTRY, an upstream as SOURCE ("store", "peer" or "list") sent it.
   Returns true when it was newer than what was known.  If its value can't be
   used, the upstream is removed and the value set to an empty one, which is
   what other routers are to receive.  */
bool mq_gateway_apply_upstream (mq_gateway *gateway, mq_platform_entry *entry,
                                const char *source);
/* Count and log REPLY of the store about objects of KIND, which can't be read
   as a whole, IN_A_ROW as such.  */
void mq_gateway_note_unreadable (mq_gateway *gateway, const char *kind,
                                 const mq_platform_reply *reply,
                                 unsigned in_a_row);
/* Count and log the entries of REPLY, about objects of KIND, without a valid
   name.  */
void mq_gateway_note_unnamed (mq_gateway *gateway, const char *kind,
                              const mq_platform_reply *reply);

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
/* Encode MESSAGE for any number of receivers.  Free with
   mq_peers_shared_free.  */
mq_peers_shared *mq_gateway_encode_message (const mq_cluster_message *message);
/* Send ROUTER the encoded message BYTES of KIND.  Returns false if it was
   dropped, since there is no connection yet.  */
bool mq_gateway_gossip_send (mq_gateway *gateway, mq_cluster_member *router,
                             mq_cluster_message_kind kind,
                             const mq_peers_shared *bytes);
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
/* Propagate N upstreams that another router had sent before this one read them
   from the store.  This router's domain has them; those of others may not.  */
void mq_gateway_propagate_confirmed (mq_gateway *gateway,
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

/* ---- gateway_drain.c  */
/* Check whether a drain has to go on.  */
void mq_gateway_drain_tick (mq_gateway *gateway, uint64_t now_us);
/* Returns true unless FORWARD, which would be sent now, is not expected to end
   before the drain does.  */
bool mq_gateway_drain_takes (const mq_forward *forward, uint64_t now_us);
/* The same for a request that nothing is known of.  */
bool mq_gateway_drain_takes_unknown (const mq_gateway *gateway,
                                     uint64_t now_us);
/* Have FORWARD end by the end of a drain.  */
void mq_gateway_drain_limit (mq_forward *forward);
/* Note how long FORWARD has taken, which ends.  */
void mq_gateway_drain_note_duration (const mq_forward *forward);
/* Retry-After of what a drain refuses: other routers serve.  */
#define MQ_DRAIN_RETRY_AFTER_MS 20

/* ---- gateway_report.c  */
/* A report request to UPSTREAM ended with RESULT.  REPORT is borrowed, and
   NULL when no valid report was received.  RESULT is MQ_HTTP_OK also when the
   way to UPSTREAM failed, which says nothing about it.  */
typedef void (*mq_report_sink) (mq_gateway *gateway, mq_upstream *upstream,
                                mq_http_result result,
                                const mq_engine_report *report);
/* Request a report from UPSTREAM, record its slowdown and run SINK, which is
   never called from inside this function.  */
void mq_report_request (mq_gateway *gateway, mq_upstream *upstream,
                        mq_report_sink sink);

/* A connection that fails within this was refused: the machine is up, but
   nothing listens.  Packet loss shows only after a longer time.  */
#define MQ_CONNECT_REFUSED_US ((uint64_t)100 * 1000)
/* Note that UPSTREAM answered a call for control.  */
void mq_gateway_note_answered (mq_upstream *upstream);
/* Note the end EVENT of a call for control to UPSTREAM that was sent at
   SENT_US and failed.  DETOUR: the way that it took, NULL for the direct one.
 */
void mq_gateway_note_unanswered (mq_gateway *gateway, mq_upstream *upstream,
                                 const mq_http_client_event *event,
                                 const mq_detour *detour, uint64_t sent_us);

/* ---- gateway_stall.c  */
/* Request a report from HEAD, the head of a silent path, unless one is in
   progress or recent.  An engine that it names as stalled is marked down.  */
void mq_stall_request_report (mq_gateway *gateway, mq_upstream *head);
/* A stream on PATH is slow: request reports from the engines of PATH whose
   slowdown is unknown or out of date.  */
void mq_stall_request_slowdowns (mq_gateway *gateway,
                                 const mq_layer_path *path);
/* What WHY, a word of mq_stall_mark_down, said against UPSTREAM no longer
   holds: end an ejection that rests on it.  */
void mq_stall_refute (mq_upstream *upstream, const char *why);
/* ENGINE seems to be stalled, silent or unreachable since SINCE_US: eject it,
   and let the requests through it leave for other paths
   (mq_forward_leave_all_through).  Does nothing if a run through it has
   received something since.  WHY is a word for the log, static.  */
void mq_stall_mark_down (mq_gateway *gateway, mq_upstream *engine,
                         uint64_t since_us, const char *why);
/* Request reports from slow engines before their slowdown expires.  */
void mq_stall_tick (mq_gateway *gateway, uint64_t now_us);

G_END_DECLS

#endif
