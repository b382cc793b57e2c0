/* A scenario: a deployment, the load on it and the faults it meets.

   Read from JSON with comments (docs/MEASURES.md tells the keys).  Plain
   data: nothing in here changes after it was read, but for the load factor
   and the routing that the command line may replace.  */

#ifndef MQ_LOAD_SCENARIO_H
#define MQ_LOAD_SCENARIO_H

#include <json-c/json.h>
#include <mq/config.h>

G_BEGIN_DECLS

/* A group of equal pipelines of one model; engine NAME-P-K is stage K of
   pipeline P, both counted from 1.  */
typedef struct load_engines
{
  mq_str *name;
  uint32_t model; /* Index into the scenario's models.  */
  uint32_t pipelines;
  uint32_t stages;
  GPtrArray *accelerators; /* of mq_str; pipelines take them in turn.  */
  uint32_t slots;
  uint32_t step_us;
  uint32_t stream_us;
  uint32_t prefill_us;
  uint32_t link_us;
  bool checks_fencing;
} load_engines;

typedef struct load_model
{
  mq_str *name;
  mq_str *version;
  uint32_t layers;
} load_model;

typedef struct load_service
{
  mq_str *name;
  mq_service_kind kind;
  uint32_t model; /* MODEL.  */
  uint32_t deadline_ms;
  uint32_t instances; /* PLAIN.  */
  uint32_t work_us;
  bool honours_keys;
} load_service;

typedef struct load_organisation
{
  mq_str *name;
  double share;     /* Of the load, against the other organisations.  */
  uint32_t weight;  /* In the configuration.  */
  uint32_t callers; /* Each asks for its own entries.  */
} load_organisation;

typedef enum load_shape
{
  LOAD_POISSON,
  LOAD_CLOSING /* Piles up until closing time at 4/5 of the run.  */
} load_shape;

typedef enum load_guard
{
  LOAD_GUARD_NONE,
  LOAD_GUARD_KEY,
  LOAD_GUARD_TICKET
} load_guard;

typedef struct load_range
{
  uint32_t min;
  uint32_t max;
} load_range;

/* One kind of request.  */
typedef struct load_kind
{
  mq_str *name;
  uint32_t service;
  double factor; /* Of the pipelines' capacity; 0: PER_S counts.  */
  double per_s;
  double peak; /* CLOSING: how much higher than the mean it gets.  */
  load_shape shape;
  load_range deadline_ms;
  load_range prompt_bytes; /* Model services.  */
  load_range tokens;
  mq_str *method; /* Plain services.  */
  mq_str *path;
  bool repeatable;
  load_guard guard;
} load_kind;

typedef enum load_fault_kind
{
  LOAD_FAULT_POST,   /* Switched on at the stand-in.  */
  LOAD_FAULT_SIGNAL, /* Sent to the process.  */
  LOAD_FAULT_LEAVE,  /* Put on the platform's leaving list.  */
  LOAD_FAULT_RESTART /* Told to end, then started again.  */
} load_fault_kind;

typedef struct load_fault
{
  uint64_t at_us;
  mq_str *target; /* Process names; '*' and '?' match.  */
  load_fault_kind kind;
  int signal;
  mq_str *body;  /* POST: the JSON.  */
  bool measured; /* Recovery is measured from here.  */
  /* What it does to capacity, read from the body or the signal.  */
  uint64_t lasts_us; /* UINT64_MAX: to the end.  */
  double slowdown;   /* 0: no work at all.  1: none.  */
} load_fault;

typedef struct load_scenario
{
  mq_str *name;
  mq_str *region;
  GPtrArray *failure_domains; /* of mq_str  */
  GArray *models;
  GArray *engines;
  GArray *services;
  GArray *organisations;
  GArray *kinds;  /* of load_kind  */
  GArray *faults; /* of load_fault, by time  */
  uint32_t routers;
  uint64_t duration_us;
  uint64_t seed;
  double factor;     /* Replaces 1 in front of all rates.  */
  bool cuts_nothing; /* A request that is cut breaks a promise.  */
  mq_str *routing;
} load_scenario;

/* Read the scenario at PATH.  NULL with ERROR set.  */
load_scenario *load_scenario_read (const char *path, GError **error);
void load_scenario_free (load_scenario *scenario);

/* The name of stage K of pipeline P of GROUP, both from 0.  Free with
   g_free.  */
char *load_engine_name (const load_engines *group, uint32_t p, uint32_t k);

/* The layers [*FIRST, *END) of stage K.  */
void load_engine_layers (const load_scenario *scenario,
                         const load_engines *group, uint32_t k,
                         uint32_t *first, uint32_t *end);

/* The accelerator kind of pipeline P, and its slowness against the fastest. */
const char *load_engine_accelerator (const load_engines *group, uint32_t p);
double load_engine_slowness (const load_engines *group, uint32_t p);

G_END_DECLS

#endif
