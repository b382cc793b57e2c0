/* One trial: see trial.h.  */

#include "trial.h"

#include "fake_fleet.h"

#include <math.h>
#include <mq/planner.h>
#include <string.h>

#define SECOND_US 1000000.0
#define REPORT_US 100000
#define TICK_US 100000
#define PROGRESS_US 250000
/* Until the entry sees that a stage is gone.  */
#define DETECT_US 5000
#define BIN_US 100000
/* Goodput after a fault is averaged over so many bins.  */
#define RECOVERY_BINS 5
#define RECOVERED 0.95
/* Arrivals at the very end meet an emptying fleet: they are not counted.  */
#define TAIL_SECONDS 5.0
/* The large organisation's part of what is offered.  */
#define LARGE_PART 0.55
/* The guess of the step time that the configuration holds for all.  */
#define GUESSED_STEP_US 10000

#define MIN_PROMPT 50
#define MAX_PROMPT 800
#define MIN_TOKENS 20
#define MAX_TOKENS 160
/* The deadline, for each token that may come, and beside.  */
#define MIN_TOKEN_TIME_US 72000
#define MAX_TOKEN_TIME_US 240000
#define EXTRA_TIME_US 500000

enum
{
  TRIAL_ARRIVAL = FAKE_KINDS,
  TRIAL_REPORT,
  TRIAL_TICK,
  TRIAL_PROGRESS,
  TRIAL_FAULT,
  TRIAL_LOST,
  TRIAL_DEADLINE,
  TRIAL_REASK
};

typedef enum request_state
{
  REQUEST_REFUSED,
  REQUEST_LIVE,
  REQUEST_DONE,
  REQUEST_LATE
} request_state;

typedef struct request
{
  mq_request_id id;
  uint32_t attempt;
  request_state state;
  uint32_t organisation;
  uint32_t priority;
  uint32_t prompt;
  uint32_t max_tokens;
  uint32_t tokens; /* That the answer will have.  */
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint32_t sent;       /* Tokens with the caller.  */
  fake_stream *stream; /* NULL between attempts.  */
  uint64_t attempt_us;
  uint64_t first_us; /* Of this attempt, after attempt_us.  */
  uint64_t last_us;
  GArray *bins; /* of uint32_t: when each token came  */
} request;

typedef struct trial
{
  const trial_options *options;
  trial_result *result;
  timeline time;
  fake_fleet fleet;
  dice dice;
  mq_config *config;
  mq_planner *planner;
  GArray *actions;
  GPtrArray *requests; /* of request, owned  */
  GPtrArray *live;     /* of request  */
  GArray *bins;        /* of double: good tokens  */
  double arrivals_per_s;
  double capacity_before;
  uint64_t asks;
  int64_t ask_us;
} trial;

static const char *const domain_names[FAKE_DOMAINS] = { "d0", "d1", "d2" };
static const char *const kind_names[] = { "fast", "middle", "slow" };

static uint32_t
prompt_units (uint32_t tokens)
{
  return (tokens + PROMPT_UNIT - 1) / PROMPT_UNIT;
}

static double
request_work (const request *r)
{
  return prompt_units (r->prompt) + r->tokens - 1;
}

static mq_str *
str_from (const char *text)
{
  return mq_str_new (mq_span_from (text));
}

static void
config_add_engines (mq_config *config, const fake_fleet *fleet)
{
  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      const fake_engine *f = &fleet->engines[i];
      uint32_t layers = FAKE_LAYERS / FAKE_RANGES;
      mq_engine e = { .name = str_from (f->name),
                      .url = str_from (f->name),
                      .model = str_from ("m"),
                      .version = str_from ("v1"),
                      .first = f->range * layers,
                      .end = (f->range + 1) * layers,
                      .accelerator = str_from (kind_names[f->kind]),
                      .failure_domain = str_from (domain_names[f->domain]),
                      .slots = f->slots,
                      .step_us = GUESSED_STEP_US };

      g_array_append_val (config->engines, e);
    }
}

static void
config_add_links (mq_config *config, const fake_fleet *fleet)
{
  for (uint32_t a = 0; a < FAKE_DOMAINS; a++)
    for (uint32_t b = a; b < FAKE_DOMAINS; b++)
      {
        mq_link l = { str_from (domain_names[a]), str_from (domain_names[b]),
                      (uint32_t)fleet->link_us[a][b], 10000 };

        g_array_append_val (config->links, l);
      }
}

static mq_config *
trial_config (const trial *t)
{
  mq_config *c = mq_config_new (1);
  mq_model m = { str_from ("m"), str_from ("v1"), FAKE_LAYERS, 4096, 16384 };
  mq_service s = { .name = str_from ("s"), .kind = MQ_SERVICE_MODEL };

  c->policy.routing = t->options->routing;
  s.u.model.model = str_from ("m");
  s.u.model.max_tokens = MAX_TOKENS;
  g_array_append_val (c->models, m);
  g_array_append_val (c->services, s);
  for (uint32_t i = 0; i < TRIAL_ORGANISATIONS; i++)
    {
      mq_organisation o = { .name = mq_str_printf ("o%u", i), .weight = 1 };

      g_array_append_val (c->organisations, o);
    }
  config_add_engines (c, &t->fleet);
  config_add_links (c, &t->fleet);
  return c;
}

static void
planner_tell (trial *t, const mq_planner_event *event)
{
  g_array_set_size (t->actions, 0);
  mq_planner_handle (t->planner, event, t->actions);
}

static bool
trial_counts (const trial *t, const request *r)
{
  const trial_options *o = t->options;

  return r->arrived_us >= o->warm_seconds * SECOND_US
         && r->arrived_us < (o->seconds - TAIL_SECONDS) * SECOND_US;
}

static void
request_release (trial *t, request *r, mq_attempt_end end, uint32_t stage,
                 uint64_t now_us)
{
  mq_planner_event e = { .kind = MQ_PLANNER_RELEASE, .now_us = now_us };
  mq_plan_release *release = &e.u.release;
  fake_stream *s = r->stream;

  release->id = r->id;
  release->attempt = r->attempt;
  release->end = end;
  release->stage = stage;
  release->tokens = s->tokens;
  if (s->tokens > 0)
    release->first_token_us = r->first_us;
  if (s->tokens > 1)
    release->mean_gap_us
        = (r->last_us - r->attempt_us - r->first_us) / (s->tokens - 1);
  fake_fleet_close (&t->fleet, s, now_us);
  fake_stream_unref (s);
  r->stream = NULL;
  planner_tell (t, &e);
}

static void
request_end (trial *t, request *r, request_state state)
{
  r->state = state;
  g_ptr_array_remove_fast (t->live, r);
  if (state != REQUEST_DONE)
    return;
  for (guint i = 0; i < r->bins->len; i++)
    {
      uint32_t bin = g_array_index (r->bins, uint32_t, i);

      if (bin >= t->bins->len)
        g_array_set_size (t->bins, bin + 1);
      g_array_index (t->bins, double, bin) += 1;
    }
}

static void
request_start (trial *t, request *r, const mq_plan *plan, uint64_t now_us)
{
  fake_stream *s = fake_stream_new (r);

  s->n_stages = plan->n_stages;
  for (uint32_t i = 0; i < plan->n_stages; i++)
    s->stages[i]
        = fake_fleet_find (&t->fleet, mq_str_cstr (plan->stages[i].engine));
  s->prompt_units = prompt_units (r->prompt + r->sent);
  s->priority = r->priority;
  r->stream = s;
  r->attempt_us = now_us;
  r->first_us = 0;
  fake_fleet_open (&t->fleet, s, now_us);
}

/* Ask for a plan; avoid ENGINE when it is not NULL.  */
static void
request_ask (trial *t, request *r, const char *engine, uint64_t now_us)
{
  mq_planner_event e = { .kind = MQ_PLANNER_ASK, .now_us = now_us };
  mq_plan_ask *ask = &e.u.ask;
  const mq_planner_action *answer;
  char organisation[8];
  int64_t began;

  g_snprintf (organisation, sizeof organisation, "o%u", r->organisation);
  ask->id = r->id;
  ask->attempt = ++r->attempt;
  ask->service = MQ_SPAN ("s");
  ask->organisation = mq_span_from (organisation);
  ask->prompt_tokens = r->prompt;
  ask->sent_tokens = r->sent;
  ask->max_tokens = r->max_tokens - r->sent;
  ask->priority = (int32_t)r->priority;
  ask->deadline_us = r->deadline_us - now_us;
  if (engine != NULL)
    {
      ask->avoid[0] = mq_span_from (engine);
      ask->n_avoid = 1;
    }
  began = g_get_monotonic_time ();
  planner_tell (t, &e);
  t->ask_us += g_get_monotonic_time () - began;
  t->asks++;
  answer = &g_array_index (t->actions, mq_planner_action, 0);
  if (answer->kind == MQ_PLANNER_ADMIT)
    request_start (t, r, &answer->u.plan, now_us);
  else if (r->attempt > 1)
    {
      uint64_t due = now_us + MAX (answer->u.refuse.retry_after_us, 1000);

      if (due < r->deadline_us)
        timeline_add (&t->time, due, TRIAL_REASK, r, 0);
    }
}

static request *
trial_draw (trial *t, uint64_t now_us)
{
  request *r = g_new0 (request, 1);
  dice *d = &t->dice;

  r->id = (mq_request_id){ 1, t->requests->len + 1 };
  if (dice_unit (d) >= LARGE_PART)
    r->organisation
        = 1 + (uint32_t)(dice_unit (d) * (TRIAL_ORGANISATIONS - 1));
  r->priority = dice_unit (d) < 0.8 ? 4 : 6;
  r->prompt = (uint32_t)dice_range (d, MIN_PROMPT, MAX_PROMPT);
  r->max_tokens = (uint32_t)dice_range (d, MIN_TOKENS, MAX_TOKENS);
  r->tokens = (uint32_t)(r->max_tokens * dice_range (d, 0.5, 1.0)) + 1;
  r->tokens = MIN (r->tokens, r->max_tokens);
  r->arrived_us = now_us;
  r->deadline_us
      = now_us + EXTRA_TIME_US
        + (uint64_t)(r->max_tokens
                     * dice_range (d, MIN_TOKEN_TIME_US, MAX_TOKEN_TIME_US));
  r->bins = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_ptr_array_add (t->requests, r);
  return r;
}

static void
trial_arrival (trial *t, uint64_t now_us)
{
  request *r = trial_draw (t, now_us);
  uint64_t next
      = now_us + (uint64_t)dice_wait (&t->dice, SECOND_US / t->arrivals_per_s);

  if (next < t->options->seconds * SECOND_US)
    timeline_add (&t->time, next, TRIAL_ARRIVAL, NULL, 0);
  request_ask (t, r, NULL, now_us);
  if (r->stream == NULL)
    return;
  r->state = REQUEST_LIVE;
  g_ptr_array_add (t->live, r);
  timeline_add (&t->time, r->deadline_us, TRIAL_DEADLINE, r, 0);
}

static void
trial_token (void *context, fake_stream *s, uint64_t now_us)
{
  trial *t = context;
  request *r = s->owner;
  uint32_t bin = (uint32_t)(now_us / BIN_US);

  if (s->tokens == 1)
    r->first_us = now_us - r->attempt_us;
  r->last_us = now_us;
  r->sent++;
  g_array_append_val (r->bins, bin);
  if (r->sent < r->tokens)
    return;
  request_release (t, r, MQ_ATTEMPT_DONE, 0, now_us);
  request_end (t, r, REQUEST_DONE);
}

static void
trial_deadline (trial *t, request *r, uint64_t now_us)
{
  if (r->state != REQUEST_LIVE)
    return;
  if (r->stream != NULL)
    request_release (t, r, MQ_ATTEMPT_CANCELLED, 0, now_us);
  request_end (t, r, REQUEST_LATE);
}

static void
trial_report (trial *t, uint64_t now_us)
{
  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      const fake_engine *f = &t->fleet.engines[i];
      uint32_t layers = FAKE_LAYERS / FAKE_RANGES;
      mq_planner_event e = { .kind = MQ_PLANNER_LOAD, .now_us = now_us };

      if (f->dead || f->report.at_us == 0 || t->options->no_reports)
        continue;
      e.u.load = (mq_engine_load){ .engine = mq_span_from (f->name),
                                   .version = MQ_SPAN ("v1"),
                                   .first = f->range * layers,
                                   .end = (f->range + 1) * layers,
                                   .queue = f->report.queue,
                                   .batch = f->report.batch,
                                   .step_us = f->report.step_us,
                                   .age_us = now_us - f->report.at_us,
                                   .incarnation = 1 };
      planner_tell (t, &e);
    }
  fake_fleet_report (&t->fleet, now_us);
}

static void
trial_progress (trial *t, uint64_t now_us)
{
  for (guint i = 0; i < t->live->len && !t->options->no_progress; i++)
    {
      const request *r = t->live->pdata[i];
      mq_planner_event e = { .kind = MQ_PLANNER_PROGRESS, .now_us = now_us };
      uint32_t tokens;

      if (r->stream == NULL || r->stream->tokens < 2)
        continue;
      tokens = r->stream->tokens;
      e.u.progress.id = r->id;
      e.u.progress.attempt = r->attempt;
      e.u.progress.tokens = tokens;
      e.u.progress.mean_gap_us
          = (r->last_us - r->attempt_us - r->first_us) / (tokens - 1);
      planner_tell (t, &e);
    }
}

static void
trial_kill (trial *t, fake_engine *e, uint64_t now_us)
{
  fake_fleet_kill (&t->fleet, e);
  timeline_add (&t->time, now_us + DETECT_US, TRIAL_LOST, e, 0);
}

static void
trial_cut_domain (trial *t, uint64_t now_us)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      fake_engine *e = &t->fleet.engines[i];

      if (e->domain == 0 && n++ % 3 == 0)
        trial_kill (t, e, now_us);
    }
}

static void
trial_fault_now (trial *t, uint64_t now_us)
{
  fake_engine *e = fake_fleet_find (&t->fleet, "e1-0");

  switch (t->options->fault)
    {
    case TRIAL_NO_FAULT:
      break;
    case TRIAL_STAGE_DIES:
      trial_kill (t, e, now_us);
      break;
    case TRIAL_LINK_SLOWS:
      t->fleet.link_us[0][2] *= 10;
      t->fleet.link_us[2][0] *= 10;
      break;
    case TRIAL_DOMAIN_CUT:
      trial_cut_domain (t, now_us);
      break;
    case TRIAL_ENGINE_SLOWS:
      e->slow = 10;
      e->lies = true;
      break;
    }
}

static gint
request_compare_slack (gconstpointer a, gconstpointer b)
{
  const request *x = *(request *const *)a;
  const request *y = *(request *const *)b;

  if (x->deadline_us != y->deadline_us)
    return x->deadline_us < y->deadline_us ? -1 : 1;
  return x->id.sequence < y->id.sequence ? -1 : 1;
}

static int
stream_stage_at (const fake_stream *s, const fake_engine *e)
{
  for (uint32_t k = 0; k < s->n_stages; k++)
    if (s->stages[k] == e)
      return (int)k;
  return -1;
}

/* The entry sees that E is gone: release what ran there, then ask anew,
   least slack first.  */
static void
trial_lost (trial *t, fake_engine *e, uint64_t now_us)
{
  GPtrArray *hit = g_ptr_array_new ();

  for (guint i = 0; i < t->live->len; i++)
    {
      request *r = t->live->pdata[i];

      if (r->stream != NULL && stream_stage_at (r->stream, e) >= 0)
        g_ptr_array_add (hit, r);
    }
  g_ptr_array_sort (hit, request_compare_slack);
  for (guint i = 0; i < hit->len; i++)
    {
      request *r = hit->pdata[i];
      int stage = stream_stage_at (r->stream, e);

      request_release (t, r, MQ_ATTEMPT_STAGE_DIED, (uint32_t)stage, now_us);
    }
  for (guint i = 0; i < hit->len; i++)
    request_ask (t, hit->pdata[i], e->name, now_us);
  g_ptr_array_unref (hit);
}

static void
trial_again (trial *t, int kind, uint64_t due_us)
{
  if (due_us < t->options->seconds * SECOND_US)
    timeline_add (&t->time, due_us, kind, NULL, 0);
}

static void
trial_handle (trial *t, const timeline_item *item)
{
  uint64_t now = item->due_us;
  request *r = item->what;

  switch (item->kind)
    {
    case TRIAL_ARRIVAL:
      trial_arrival (t, now);
      break;
    case TRIAL_REPORT:
      trial_report (t, now);
      trial_again (t, TRIAL_REPORT, now + REPORT_US);
      break;
    case TRIAL_TICK:
      planner_tell (
          t, &(mq_planner_event){ .kind = MQ_PLANNER_TICK, .now_us = now });
      trial_again (t, TRIAL_TICK, now + TICK_US);
      break;
    case TRIAL_PROGRESS:
      trial_progress (t, now);
      trial_again (t, TRIAL_PROGRESS, now + PROGRESS_US);
      break;
    case TRIAL_FAULT:
      trial_fault_now (t, now);
      break;
    case TRIAL_LOST:
      trial_lost (t, item->what, now);
      break;
    case TRIAL_DEADLINE:
      trial_deadline (t, r, now);
      break;
    case TRIAL_REASK:
      if (r->state == REQUEST_LIVE && r->stream == NULL)
        request_ask (t, r, NULL, now);
      break;
    default:
      fake_fleet_handle (&t->fleet, item);
    }
}

/* Mean work and tokens of a request, from a draw of their own.  */
static void
trial_means (const trial *t, double *work, double *tokens)
{
  trial probe = { .options = t->options };
  const int draws = 20000;

  probe.dice.state = 1;
  probe.requests = g_ptr_array_new ();
  *work = 0;
  *tokens = 0;
  for (int i = 0; i < draws; i++)
    {
      request *r = trial_draw (&probe, 0);

      *work += request_work (r) / draws;
      *tokens += (double)r->tokens / draws;
      g_array_unref (r->bins);
      g_free (r);
    }
  g_ptr_array_unref (probe.requests);
}

/* What the scarcest range can carry with full batches in the counted time. */
static double
trial_capacity (const trial *t)
{
  const trial_options *o = t->options;
  double from = o->warm_seconds;
  double to = o->seconds - TAIL_SECONDS;
  double cut = CLAMP (o->fault_at_seconds, from, to);

  if (o->fault == TRIAL_NO_FAULT)
    return t->capacity_before * (to - from);
  return t->capacity_before * (cut - from)
         + fake_fleet_capacity (&t->fleet) * (to - cut);
}

/* The part of R's work that was done in the counted time.  */
static double
request_work_counted (const trial *t, const request *r)
{
  const trial_options *o = t->options;
  uint32_t from = (uint32_t)(o->warm_seconds * SECOND_US / BIN_US);
  uint32_t to = (uint32_t)((o->seconds - TAIL_SECONDS) * SECOND_US / BIN_US);
  double work = 0;

  for (guint i = 0; i < r->bins->len; i++)
    {
      uint32_t bin = g_array_index (r->bins, uint32_t, i);

      if (bin >= from && bin < to)
        work += i == 0 ? prompt_units (r->prompt) : 1;
    }
  return work;
}

/* Of one organisation, or of all.  */
typedef struct tally
{
  double asked;  /* Work that arrived in the counted time, ...  */
  double served; /* ... the part of it that was done in time, ...  */
  double worked; /* ... and good work done in the counted time.  */
} tally;

/* Below capacity each arrival could be served; above it, the engines could
   work without a pause.  Both are upper bounds for what is held against
   them.  */
static double
tally_done (const tally *of, bool overloaded)
{
  return overloaded ? of->worked : of->served;
}

static void
trial_tally (const trial *t, tally *of, trial_result *res)
{
  for (guint i = 0; i < t->requests->len; i++)
    {
      const request *r = t->requests->pdata[i];
      tally *mine = &of[r->organisation];
      double work = request_work (r);

      if (r->state == REQUEST_DONE)
        mine->worked += request_work_counted (t, r);
      if (!trial_counts (t, r))
        continue;
      res->arrived++;
      mine->asked += work;
      if (r->state == REQUEST_REFUSED)
        continue;
      res->accepted++;
      res->replaced += r->attempt - 1;
      res->late += r->state == REQUEST_LATE;
      if (r->state != REQUEST_DONE)
        continue;
      res->done++;
      mine->served += work;
    }
}

static void
trial_count (trial *t)
{
  trial_result *res = t->result;
  tally of[TRIAL_ORGANISATIONS] = { { 0 } };
  tally all = { 0 };
  double capacity = trial_capacity (t);
  bool overloaded;

  trial_tally (t, of, res);
  for (uint32_t i = 0; i < TRIAL_ORGANISATIONS; i++)
    {
      all.asked += of[i].asked;
      all.served += of[i].served;
      all.worked += of[i].worked;
    }
  overloaded = all.asked > capacity;
  res->arrived_work = all.asked;
  res->bound_work = MIN (all.asked, capacity);
  res->done_work = tally_done (&all, overloaded);
  res->goodput = res->done_work / res->bound_work;
  res->goodput_count
      = res->done / (res->arrived * res->bound_work / res->arrived_work);
  res->accepted_share = (double)res->accepted / res->arrived;
  res->late_share = res->accepted > 0 ? (double)res->late / res->accepted : 0;
  res->small_share = 1.0;
  for (uint32_t i = 0; i < TRIAL_ORGANISATIONS; i++)
    {
      double fair = MIN (of[i].asked, res->bound_work / TRIAL_ORGANISATIONS);
      double part = fair > 0 ? tally_done (&of[i], overloaded) / fair : 1;

      if (i == 0)
        res->large_share = part;
      else
        res->small_share = MIN (res->small_share, part);
    }
  res->decide_us = t->asks > 0 ? (double)t->ask_us / t->asks : 0;
}

/* Good tokens a second over the bins [FROM, FROM + N).  */
static double
trial_rate (const trial *t, guint from, guint n)
{
  double sum = 0;

  for (guint i = from; i < from + n && i < t->bins->len; i++)
    sum += g_array_index (t->bins, double, i);
  return sum * SECOND_US / ((double)n * BIN_US);
}

static double
trial_recovery (const trial *t, double wanted)
{
  guint fault = (guint)(t->options->fault_at_seconds * SECOND_US / BIN_US);
  guint end
      = (guint)((t->options->seconds - TAIL_SECONDS) * SECOND_US / BIN_US);

  for (guint i = fault; i + RECOVERY_BINS <= end; i++)
    if (trial_rate (t, i, RECOVERY_BINS) >= wanted)
      return (i - fault) * BIN_US / SECOND_US;
  return -1;
}

static void
trial_measure_recovery (trial *t, double tokens_per_work)
{
  const trial_options *o = t->options;
  trial_result *res = t->result;
  guint fault = (guint)(o->fault_at_seconds * SECOND_US / BIN_US);
  guint warm = (guint)(o->warm_seconds * SECOND_US / BIN_US);
  guint end = (guint)((o->seconds - TAIL_SECONDS) * SECOND_US / BIN_US);
  guint settled = fault + (end - fault) / 2;
  double counted = o->seconds - TAIL_SECONDS - o->warm_seconds;
  double offered = res->arrived_work / counted;
  double before = MIN (offered, t->capacity_before) * tokens_per_work;
  double after
      = MIN (offered, fake_fleet_capacity (&t->fleet)) * tokens_per_work;

  res->level_before = trial_rate (t, warm, fault - warm) / before;
  res->level_after = trial_rate (t, settled, end - settled) / after;
  res->recovery = trial_recovery (t, RECOVERED * after);
  res->recovery_level
      = trial_recovery (t, RECOVERED * res->level_before * after);
}

static void
trial_init (trial *t, const trial_options *options, trial_result *result)
{
  memset (t, 0, sizeof *t);
  memset (result, 0, sizeof *result);
  t->options = options;
  t->result = result;
  t->dice.state = options->seed;
  timeline_init (&t->time);
  fake_fleet_init (&t->fleet, &t->time);
  t->fleet.places = options->places;
  t->fleet.on_token = trial_token;
  t->fleet.context = t;
  t->requests = g_ptr_array_new ();
  t->live = g_ptr_array_new ();
  t->bins = g_array_new (FALSE, TRUE, sizeof (double));
  t->actions = mq_planner_actions_new ();
  t->config = trial_config (t);
  t->planner = mq_planner_new (MQ_SPAN ("d0"), 1);
  t->capacity_before = fake_fleet_capacity (&t->fleet);
}

static void
trial_finish (trial *t)
{
  for (guint i = 0; i < t->requests->len; i++)
    {
      request *r = t->requests->pdata[i];

      if (r->stream != NULL)
        fake_stream_unref (r->stream);
      g_array_unref (r->bins);
      g_free (r);
    }
  g_ptr_array_unref (t->requests);
  g_ptr_array_unref (t->live);
  g_array_unref (t->bins);
  g_array_unref (t->actions);
  mq_planner_free (t->planner);
  mq_config_unref (t->config);
  fake_fleet_finish (&t->fleet);
  timeline_finish (&t->time);
}

const char *
trial_fault_name (trial_fault fault)
{
  switch (fault)
    {
    case TRIAL_NO_FAULT:
      return "none";
    case TRIAL_STAGE_DIES:
      return "stage dies";
    case TRIAL_LINK_SLOWS:
      return "link slows tenfold";
    case TRIAL_DOMAIN_CUT:
      return "a third of a failure domain goes";
    case TRIAL_ENGINE_SLOWS:
      return "engine slows tenfold, unreported";
    }
  return "?";
}

void
trial_run (const trial_options *options, trial_result *result)
{
  trial t;
  timeline_item item;
  double work, tokens;

  trial_init (&t, options, result);
  trial_means (&t, &work, &tokens);
  t.arrivals_per_s = options->load * t.capacity_before / work;
  planner_tell (&t, &(mq_planner_event){ .kind = MQ_PLANNER_CONFIG,
                                         .u.config = t.config });
  timeline_add (&t.time, 1, TRIAL_ARRIVAL, NULL, 0);
  timeline_add (&t.time, 2, TRIAL_REPORT, NULL, 0);
  timeline_add (&t.time, 3, TRIAL_TICK, NULL, 0);
  timeline_add (&t.time, 4, TRIAL_PROGRESS, NULL, 0);
  if (options->fault != TRIAL_NO_FAULT)
    timeline_add (&t.time, (uint64_t)(options->fault_at_seconds * SECOND_US),
                  TRIAL_FAULT, NULL, 0);
  while (timeline_next (&t.time, &item))
    trial_handle (&t, &item);
  trial_count (&t);
  if (options->fault != TRIAL_NO_FAULT)
    trial_measure_recovery (&t, tokens / work);
  trial_finish (&t);
}
