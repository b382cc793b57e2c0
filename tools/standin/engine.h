/* The model engine's stand-in, shared by its own modules.  Internal to
   tools/standin.

   engine.c         options, HTTP calls, orders and faults
   engine_stream.c  the life of a stream at one stage
   engine_step.c    continuous batching: what runs in a step and its time
   engine_peer.c    what engines say to one another

   A stream has one record at each stage of its plan, named by request and
   attempt.  The head also holds the router's exchange, the context and the
   place in the answer.  */

#ifndef MQ_STANDIN_ENGINE_H
#define MQ_STANDIN_ENGINE_H

#include <standin/prefix_cache.h>
#include <standin/common.h>

#include <mq/http_client.h>
#include <mq/plan.h>

G_BEGIN_DECLS

typedef struct engine engine;

/* The way from the head to one next engine.  */
typedef struct next_hop
{
  uint32_t groups; /* Under way.  */
} next_hop;

/* The streams of one step that go the same way; they come back together.  */
typedef struct group
{
  next_hop *next_hop; /* Borrowed.  */
  uint32_t pending;
} group;

typedef struct stream
{
  unsigned refs;
  char *key; /* "REQUEST\tATTEMPT", the name on the wire.  */
  mq_str *request;
  uint32_t attempt;
  uint32_t stage; /* Our place in the plan.  */
  mq_plan plan;
  int priority;
  uint64_t deadline_us;
  uint64_t prefix;
  uint32_t prompt_tokens;
  uint32_t sent_tokens; /* Positions done before this attempt.  */
  uint32_t prefill;     /* Positions to compute before the next step.  */
  uint32_t positions;   /* Held in the KV cache.  */
  bool opened;          /* The next stage knows the stream.  */
  bool began;           /* Behind the head: POSITION is set.  */
  bool ready;           /* Waits for a step.  */
  bool ended;

  /* The work that waits or runs: position, activation, receipts so far.  */
  uint32_t position;
  uint64_t activation;
  GString *receipts; /* JSON text of the receipts.  */
  uint64_t ready_us;
  uint64_t due_us; /* When its data is there by the model.  */

  /* Only at the head.  */
  mq_http_exchange *exchange; /* Owned reference; NULL elsewhere.  */
  bool admitted;              /* Does not wait for room.  */
  group *group;               /* While its token is awaited.  */
  uint64_t context;
  uint32_t max_tokens;
} stream;

/* The KV cache of a stream that was lost or imported, kept for a while so
   that another attempt needn't compute it again.  */
typedef struct kept_kv
{
  uint32_t positions; /* Of the answer; the prompt is covered besides.  */
  uint64_t context;
  uint64_t until_us;
} kept_kv;

/* What POST /fault has switched on.  */
typedef struct engine_fault
{
  uint64_t hang_until_us;
  double slow_factor;
  uint64_t slow_until_us;
  uint64_t link_us; /* Added before each message to a peer.  */
  uint64_t link_until_us;
  uint64_t refuse_until_us;
  int64_t wrong_layers;  /* Steps that leave out the last layer.  */
  int64_t wrong_version; /* Steps that claim another version.  */
  int64_t doubled;       /* Tokens told twice.  */
  int64_t late;          /* Tokens followed by the one before them.  */
  int64_t crossed;       /* Tokens told under another request's name.  */
  int64_t cut;           /* Streams cut at their next token.  */
} engine_fault;

typedef struct engine_options
{
  char *listen;
  char *name;
  char *model;
  char *version;
  char *layers;
  char *accelerator;
  char *weights_url;
  int slots;
  int queue;
  int step_us;
  int stream_us;
  int prefill_us;
  int kv_limit;
  int cache_limit;
  int load_lag_ms;
  int event_lag_ms;
  int event_gap_percent;
  int layer_load_ms;
  int peer_timeout_ms;
  int link_us;
  int seed;
  gboolean fencing;
} engine_options;

/* The figures of a load report, as they were when it was taken.  */
typedef struct load_report
{
  uint64_t at_us;
  uint32_t queue;
  uint32_t batch;
  uint32_t kv_used;
} load_report;

typedef struct engine_stats
{
  uint64_t tokens; /* Told to routers.  */
  uint64_t steps;
  uint64_t items; /* Stream steps run.  */
  uint64_t opened;
  uint64_t refused;
  uint64_t lost;
  uint64_t dropped; /* Streams cancelled or past their deadline.  */
  uint64_t posts;
  uint64_t unmatched; /* Messages for no stream that we hold.  */
} engine_stats;

struct engine
{
  engine_options options;
  struct ev_loop *loop;
  mq_http_server *server;
  mq_http_client *client;

  /* What it holds.  */
  mq_str *model;
  mq_str *version;
  uint32_t first;
  uint32_t end;
  uint64_t weights;
  bool loading;
  uint64_t fencing; /* The highest number seen.  */
  uint64_t load_sequence;

  GHashTable *streams; /* key -> stream, owned reference  */
  GHashTable *kept;    /* request -> kept_kv, both owned  */
  GQueue waiting; /* Head streams for which there is no room; borrowed.  */
  uint32_t admitted;
  mq_prefix_cache *cache;

  GHashTable *next_hops; /* url -> lane, both owned  */
  GPtrArray *ready;      /* of stream, owned references  */
  GPtrArray *batch;      /* Running; of stream, owned references.  */
  int step_fd; /* Timer: libev's own are only good to a millisecond.  */
  uint64_t step_end_us; /* Of the step that runs or ran last, by the model. */
  ev_io step;
  uint64_t step_us; /* Moving average of the time of a step.  */
  double accelerator;

  GHashTable *outboxes; /* url -> GString, both owned  */
  load_report load;
  ev_timer load_timer;
  ev_timer deadline_timer;
  uint64_t incarnation;
  engine_fault fault;
  engine_stats stats;
};

/* How a head stream ends; the names of the wire.  */
#define END_DONE "done"
#define END_CANCELLED "cancelled"
#define END_DEADLINE "deadline"
#define END_EVICTED "evicted"
#define END_STAGE_LOST "stage-lost"

/* engine_stream.c */

/* A new stream with one reference, held by nobody yet.  */
stream *stream_new (mq_span request, uint32_t attempt);
stream *stream_ref (stream *s);
void stream_unref (stream *s);
stream *engine_find_stream (engine *e, mq_span request, uint32_t attempt);
stream *engine_find_stream_by_key (engine *e, mq_span key);
/* Take over the reference to S, whose plan is set, and work out what must be
   computed before its first step.  */
void engine_add_stream (engine *e, stream *s);
/* Take S in, or let it wait for room.  */
void engine_admit (engine *e, stream *s);
/* The head ends S towards the router and drops it at all stages.  */
void engine_end_stream (engine *e, stream *s, const char *end, uint32_t stage);
/* Drop S here, keeping its KV cache for a while if KEEP.  */
void engine_drop_stream (engine *e, stream *s, bool keep);
/* Drop whatever is past its deadline.  */
void engine_drop_expired (engine *e);
/* Positions in use by streams, kept KV and prefixes.  */
uint32_t engine_kv_used (const engine *e);
/* Make room when the KV cache is over its limit.  */
void engine_limit_kv (engine *e);
/* The head has the token TEXT for S at POSITION with its receipts.  */
void engine_handle_token (engine *e, stream *s, uint32_t position,
                          mq_span text, mq_span receipts);
/* Does the engine hold the layers that PLAN gives to STAGE, in its version? */
bool engine_holds_stage (const engine *e, const mq_plan *plan, uint32_t stage);
/* True, and one fewer to come, when the fault counted by LEFT strikes.  */
bool fault_consume (int64_t *remaining);

/* engine_step.c */

/* S has work: POSITION and activation are set.  */
void engine_make_ready (engine *e, stream *s);
/* The token of S is here, or S is dropped: its group waits for it no more. */
void engine_leave_group (stream *s);
/* Start a step if none runs and there is work.  */
void engine_start_step (engine *e);
void engine_step_init (engine *e);
void engine_step_finish (engine *e);

/* engine_peer.c */

/* Queue lines for a peer; engine_flush sends one message to each.  */
void engine_queue_step (engine *e, stream *s);
void engine_queue_token (engine *e, stream *s, mq_span text);
void engine_queue_drop (engine *e, const stream *s);
void engine_queue_stage_lost (engine *e, const stream *s, uint32_t stage);
void engine_flush (engine *e);
/* POST /v1/activations.  */
void engine_handle_activations (engine *e, mq_http_exchange *exchange);
/* Read the member "plan" of JSON with "model" and "version" into PLAN, made
   by mq_plan_init.  Returns 0 or -1.  */
int engine_read_plan (json_object *json, mq_plan *plan);

G_END_DECLS

#endif
