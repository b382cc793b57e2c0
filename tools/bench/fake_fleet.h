/* Fake engines and links in virtual time; see trial.h for the model.

   A stream is in one place at a time: on a link, in an engine's queue or in
   the batch of a step.  That place and the owner hold a reference each.  */

#ifndef BENCH_FAKE_FLEET_H
#define BENCH_FAKE_FLEET_H

#include "timeline.h"

#include <mq/plan.h>

G_BEGIN_DECLS

#define FAKE_DOMAINS 3
#define FAKE_RANGES 4
#define FAKE_LAYERS 32
#define FAKE_ENGINES_A_RANGE 10
#define FAKE_ENGINES (FAKE_RANGES * FAKE_ENGINES_A_RANGE)
#define FAKE_PRIORITIES 10
/* Tokens of a prompt that make one unit of work.  */
#define PROMPT_UNIT 128

/* Kinds of timeline items below this are the fleet's.  */
enum
{
  FAKE_ARRIVE,
  FAKE_STEP_END,
  FAKE_KINDS
};

typedef struct fake_engine fake_engine;

typedef struct fake_stream
{
  unsigned refs;
  void *owner;
  uint32_t n_stages;
  fake_engine *stages[MQ_PLAN_MAX_STAGES];
  uint32_t stage; /* Where it is or goes.  */
  uint32_t prompt_units;
  uint32_t units_left; /* At this stage.  */
  uint32_t priority;
  uint32_t tokens; /* Made in this attempt.  */
  bool cancelled;
  bool waiting; /* For a place at its head.  */
} fake_stream;

/* What an engine would say of itself.  */
typedef struct fake_report
{
  uint64_t at_us;
  uint32_t queue;
  uint32_t batch;
  uint32_t step_us;
} fake_report;

struct fake_engine
{
  char name[16];
  uint32_t range;
  uint32_t kind; /* Accelerator.  */
  uint32_t domain;
  uint32_t slots;
  double full_step_us;
  double slow; /* Factor on the step time.  */
  bool dead;
  bool busy;
  bool lies;                     /* Reports its usual step time.  */
  GQueue queue[FAKE_PRIORITIES]; /* of fake_stream  */
  uint32_t queued;
  GPtrArray *batch; /* of fake_stream  */
  GQueue waiting;   /* of fake_stream: for a place  */
  uint32_t placed;  /* Streams that have a place, as their head.  */
  uint32_t held;    /* Streams that have a place, at any stage.  */
  uint32_t last_step_us;
  uint32_t last_batch;
  fake_report report;  /* What is told: the taking before the last, ...  */
  fake_report pending; /* ... so that it lags.  */
};

typedef struct fake_fleet
{
  timeline *time;
  fake_engine engines[FAKE_ENGINES];
  double link_us[FAKE_DOMAINS][FAKE_DOMAINS];
  /* An engine takes no more streams than it has slots as their head; the
     others wait for a place.  Else only steps are limited.  */
  bool places;
  void (*on_token) (void *context, fake_stream *stream, uint64_t now_us);
  void *context;
} fake_fleet;

/* Units of work that a prompt makes at each stage.  */
uint32_t fake_prompt_units (uint32_t tokens);

void fake_fleet_init (fake_fleet *fleet, timeline *time);
void fake_fleet_finish (fake_fleet *fleet);

fake_stream *fake_stream_new (void *owner);
void fake_stream_unref (fake_stream *stream);

/* Start STREAM, whose stages are set, from the router.  */
void fake_fleet_open (fake_fleet *fleet, fake_stream *stream, uint64_t now_us);
/* STREAM is over, or is to be.  */
void fake_fleet_close (fake_fleet *fleet, fake_stream *stream,
                       uint64_t now_us);
void fake_fleet_handle (fake_fleet *fleet, const timeline_item *item);
void fake_fleet_kill (fake_fleet *fleet, fake_engine *engine);
fake_engine *fake_fleet_find (fake_fleet *fleet, const char *name);

/* Units a second that the engines of the scarcest range can carry with full
   batches.  */
double fake_fleet_capacity (const fake_fleet *fleet);

/* Take down what each engine would report now.  */
void fake_fleet_report (fake_fleet *fleet, uint64_t now_us);

G_END_DECLS

#endif
