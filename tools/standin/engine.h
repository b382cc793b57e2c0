/* The model engine stand-in: declarations shared by its modules.  Internal to
   tools/standin.

   engine.c         options, HTTP calls, orders and faults
   engine_stream.c  the lifecycle of a stream at one stage
   engine_step.c    continuous batching: the streams of a step and its time
   engine_peer.c    messages between engines

   A plan assigns the layers of a model to the engines of a pipeline, one stage
   each.  The head is the engine of the first stage; a router opens a stream
   there.  Each stage has its own record of the stream, identified by request
   and attempt.  Only the head has the router's exchange, the context and the
   token limit.

   A position is one token of the prompt or of the answer.  Fields ending in
   _us are durations or monotonic times in microseconds.  */

#ifndef MQ_STANDIN_ENGINE_H
#define MQ_STANDIN_ENGINE_H

#include <standin/prefix_cache.h>
#include <standin/common.h>

#include <mq/http_client.h>
#include <mq/plan.h>

G_BEGIN_DECLS

typedef struct engine engine;

/* An engine that receives streams from this head.  */
typedef struct next_hop
{
  uint32_t groups; /* Groups with a pending token.  */
} next_hop;

/* The streams that the head runs in one step and sends to the same engine.
   Freed when the token of each is back or the stream is dropped.  */
typedef struct group
{
  next_hop *next_hop; /* Borrowed.  */
  uint32_t pending;   /* Streams whose token is not back.  */
} group;

typedef struct stream
{
  unsigned refs;
  char *key; /* "REQUEST\tATTEMPT", as in messages between engines.  */
  mq_str *request;
  uint32_t attempt;
  uint32_t stage; /* This engine's index in the plan.  */
  mq_plan plan;
  int priority;
  uint64_t deadline_us;
  uint64_t prefix;
  uint32_t prompt_tokens;
  uint32_t sent_tokens; /* Tokens that earlier attempts produced.  */
  uint32_t prefill;     /* Positions to compute in the next step.  */
  uint32_t positions;   /* Held in the KV cache.  */
  bool opened;          /* The open line to the next stage is queued.  */
  bool began;           /* After the head: POSITION is set.  */
  bool ready;           /* In engine.ready.  */
  bool ended;           /* Dropped here; other references may remain.  */

  /* The position that waits or runs.  */
  uint32_t position;
  uint64_t activation;
  GString *receipts; /* JSON text: which layers have run so far.  */
  uint64_t ready_us; /* When it began to wait.  */
  uint64_t due_us;   /* When its data arrives by the timing model.  */

  /* Only at the head; zero at other stages.  */
  mq_http_exchange *exchange; /* Owned reference.  */
  bool admitted;              /* Has room, is not in engine.waiting.  */
  group *group;               /* NULL unless its token is pending.  */
  uint64_t context;
  uint32_t max_tokens;
} stream;

/* The KV cache of a stream that was dropped or imported, kept for a while so
   that another attempt needn't compute it again.  */
typedef struct kept_kv
{
  uint32_t positions; /* Of the answer; the whole prompt is held, too.  */
  uint64_t context;   /* 0 when not kept by a head.  */
  uint64_t until_us;
} kept_kv;

/* Injected faults, set by POST /fault.  A counter is the number of times that
   the fault still occurs.  */
typedef struct engine_fault
{
  uint64_t hang_until_us; /* A step begun before ends after it.  */
  double slow_factor;     /* Multiplies the time of a step.  */
  uint64_t slow_until_us;
  uint64_t link_us; /* Delay of each message to a peer.  */
  uint64_t link_until_us;
  uint64_t refuse_until_us; /* New streams are refused.  */
  int64_t wrong_layers;     /* Stream steps that leave out the last layer.  */
  int64_t wrong_version; /* Stream steps whose receipt has a false version.  */
  int64_t doubled;       /* Tokens written twice.  */
  int64_t late;    /* Tokens after a false one for the position before.  */
  int64_t crossed; /* Tokens written under another request's name, too.  */
  int64_t cut;     /* Streams whose connection is cut at the next token. */
} engine_fault;

/* Values of the command line; see --help for their meaning.  */
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

/* The load as of the last sample; GET /v1/load replies with it.  */
typedef struct load_report
{
  uint64_t at_us;
  uint32_t queue;
  uint32_t batch;
  uint32_t kv_used;
} load_report;

typedef struct engine_stats
{
  uint64_t tokens; /* Written to routers.  */
  uint64_t steps;  /* Batches run.  */
  uint64_t items;  /* Streams of all batches.  */
  uint64_t opened;
  uint64_t refused;   /* Streams that did not open.  */
  uint64_t lost;      /* Head streams ended because a stage was lost.  */
  uint64_t dropped;   /* Head streams that ended before they were done.  */
  uint64_t posts;     /* Messages to peers.  */
  uint64_t unmatched; /* Lines for an unknown stream or position.  */
} engine_stats;

struct engine
{
  engine_options options;
  struct ev_loop *loop;
  mq_http_server *server;
  mq_http_client *client;

  /* The layers [FIRST, END) that are loaded.  */
  mq_str *model;
  mq_str *version;
  uint32_t first;
  uint32_t end;
  uint64_t weights;
  bool loading;
  uint64_t fencing;       /* The highest fencing token received.  */
  uint64_t load_sequence; /* Of the latest order to load.  */

  GHashTable *streams; /* key -> stream, owned reference  */
  GHashTable *kept;    /* request -> kept_kv, both owned  */
  GQueue waiting;      /* Head streams that wait for room; borrowed.  */
  uint32_t admitted;   /* Head streams that don't wait for room.  */
  mq_prefix_cache *cache;

  GHashTable *next_hops; /* url -> next_hop, both owned  */
  GPtrArray *ready;      /* of stream, owned references  */
  GPtrArray *batch;      /* Runs now; of stream, owned references.  */
  int step_fd; /* timerfd: libev's timers have a resolution of 1 ms.  */
  uint64_t step_end_us; /* Of the current or last step, by the timing model. */
  ev_io step;
  uint64_t step_us;   /* Moving average of the time of a step.  */
  double accelerator; /* Factor on the time of a step.  */

  GHashTable *outboxes; /* url -> GString, both owned  */
  load_report load;
  ev_timer load_timer;
  ev_timer deadline_timer;
  uint64_t incarnation; /* Start time of the process.  */
  engine_fault fault;
  engine_stats stats;
};

/* How a head stream ends: values of "end" in the last line of a response.  */
#define END_DONE "done"
#define END_CANCELLED "cancelled"
#define END_DEADLINE "deadline"
#define END_EVICTED "evicted"
#define END_STAGE_LOST "stage-lost"

/* engine_stream.c */

/* Return a new stream with one reference, which the caller owns.  It belongs
   to no engine yet.  */
stream *stream_new (mq_span request, uint32_t attempt);
stream *stream_ref (stream *s);
void stream_unref (stream *s);
/* Return a stream of E, borrowed, or NULL.  */
stream *engine_find_stream (engine *e, mq_span request, uint32_t attempt);
stream *engine_find_stream_by_key (engine *e, mq_span key);
/* Add S, whose plan is set, to E and compute the length of its prefill.  Takes
   over a reference to S.  */
void engine_add_stream (engine *e, stream *s);
/* Start the head stream S, or queue it until there is room.  */
void engine_admit (engine *e, stream *s);
/* End the head stream S: write END, one of END_*, to the router and drop S at
   all stages.  STAGE is the lost one for END_STAGE_LOST.  Without effect when
   S has ended.  */
void engine_end_stream (engine *e, stream *s, const char *end, uint32_t stage);
/* Remove S from this engine.  If KEEP, its KV cache is kept for a while.
   Without effect when S has ended.  */
void engine_drop_stream (engine *e, stream *s, bool keep);
/* Drop the streams past their deadline and the kept KV caches past their
   lifetime.  */
void engine_drop_expired (engine *e);
/* Return the positions held by streams and by the prefix cache.  Kept KV
   caches are not counted.  */
uint32_t engine_kv_used (const engine *e);
/* When the KV cache is over its limit, evict prefixes and, if these don't
   suffice, one head stream.  */
void engine_limit_kv (engine *e);
/* Handle the token TEXT for the head stream S at POSITION.  RECEIPTS is JSON
   text.  A token for another position is counted and ignored.  */
void engine_handle_token (engine *e, stream *s, uint32_t position,
                          mq_span text, mq_span receipts);
/* Return true if E has loaded the layers of STAGE of PLAN, of the plan's model
   and version.  */
bool engine_holds_stage (const engine *e, const mq_plan *plan, uint32_t stage);
/* Return true and decrement *REMAINING if the fault that it counts occurs now,
   that is, if it is above 0.  */
bool fault_consume (int64_t *remaining);

/* engine_step.c */

/* Queue S for a step.  Its position and activation are set.  */
void engine_make_ready (engine *e, stream *s);
/* Remove S from its group, if it is in one, because its token is back or S is
   dropped.  */
void engine_leave_group (stream *s);
/* Start a step if none runs and a stream is ready.  */
void engine_start_step (engine *e);
void engine_step_init (engine *e);
void engine_step_finish (engine *e);

/* engine_peer.c */

/* Queue lines for peers: a step goes to the next stage, a token and a lost
   stage to the head, a drop to all stages after the head.  engine_flush sends
   the queued lines, one message to each peer.  */
void engine_queue_step (engine *e, stream *s);
void engine_queue_token (engine *e, stream *s, mq_span text);
void engine_queue_drop (engine *e, const stream *s);
void engine_queue_stage_lost (engine *e, const stream *s, uint32_t stage);
void engine_flush (engine *e);
/* Handle POST /v1/activations, the message from a peer.  */
void engine_handle_activations (engine *e, mq_http_exchange *exchange);
/* Read the members "plan", "model" and "version" of JSON into PLAN, which
   mq_plan_init initialised.  Returns 0, or -1 when the plan is missing, empty
   or malformed.  */
int engine_read_plan (json_object *json, mq_plan *plan);

G_END_DECLS

#endif
