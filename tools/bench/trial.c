/* One trial: see trial.h.  */

#include "trial.h"

#include "fake_router.h"

#include <math.h>
#include <string.h>

#define SECOND_US 1000000.0
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
#define MOST_DEADLINE_MS 60000

enum
{
  TRIAL_ARRIVAL = ROUTER_KINDS,
  TRIAL_FAULT
};

typedef struct trial
{
  const trial_options *options;
  trial_result *result;
  timeline time;
  fake_fleet fleet;
  fake_router router;
  dice dice;
  mq_config *config;
  GArray *bins; /* of double: good tokens  */
  double arrivals_per_s;
  double capacity_before;
} trial;

static const char *const domain_names[FAKE_DOMAINS] = { "d0", "d1", "d2" };
static const char *const kind_names[] = { "fast", "middle", "slow" };

static double
request_work (const request *r)
{
  return fake_prompt_units (r->prompt) + r->tokens - 1;
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
  mq_service s = { .name = str_from ("s"),
                   .kind = MQ_SERVICE_MODEL,
                   .deadline_ms = MOST_DEADLINE_MS,
                   .max_deadline_ms = MOST_DEADLINE_MS };

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

static bool
trial_counts (const trial *t, const request *r)
{
  const trial_options *o = t->options;

  return r->arrived_us >= o->warm_seconds * SECOND_US
         && r->arrived_us < (o->seconds - TAIL_SECONDS) * SECOND_US;
}

static request *
trial_draw (dice *d, uint64_t now_us)
{
  request *r = g_new0 (request, 1);

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
      = EXTRA_TIME_US
        + (uint64_t)(r->max_tokens
                     * dice_range (d, MIN_TOKEN_TIME_US, MAX_TOKEN_TIME_US));
  r->bins = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  return r;
}

static void
trial_arrival (trial *t, uint64_t now_us)
{
  request *r = trial_draw (&t->dice, now_us);
  uint64_t next
      = now_us + (uint64_t)dice_wait (&t->dice, SECOND_US / t->arrivals_per_s);

  if (next < t->options->seconds * SECOND_US)
    timeline_add (&t->time, next, TRIAL_ARRIVAL, NULL, 0);
  fake_router_call (&t->router, r, now_us);
}

static void
trial_cut_domain (trial *t, uint64_t now_us)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      fake_engine *e = &t->fleet.engines[i];

      if (e->domain == 0 && n++ % 3 == 0)
        fake_router_kill (&t->router, e, now_us);
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
      fake_router_kill (&t->router, e, now_us);
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
    case TRIAL_OWNER_DIES:
      fake_router_lose_owner (&t->router, now_us);
      break;
    }
}

static void
trial_handle (trial *t, const timeline_item *item)
{
  switch (item->kind)
    {
    case TRIAL_ARRIVAL:
      trial_arrival (t, item->due_us);
      break;
    case TRIAL_FAULT:
      trial_fault_now (t, item->due_us);
      break;
    default:
      fake_router_handle (&t->router, item);
    }
}

/* Mean work and tokens of a request, from a draw of their own.  */
static void
trial_means (double *work, double *tokens)
{
  const int draws = 20000;
  dice d = { 1 };

  *work = 0;
  *tokens = 0;
  for (int i = 0; i < draws; i++)
    {
      request *r = trial_draw (&d, 0);

      *work += request_work (r) / draws;
      *tokens += (double)r->tokens / draws;
      g_array_unref (r->bins);
      g_free (r);
    }
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
        work += i == 0 ? fake_prompt_units (r->prompt) : 1;
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
  const GPtrArray *requests = t->router.requests;

  for (guint i = 0; i < requests->len; i++)
    {
      const request *r = requests->pdata[i];
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
      res->replaced += r->opened - 1;
      res->late += r->state != REQUEST_DONE;
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
  if (t->router.asks > 0)
    res->decide_us = (double)t->router.ask_us / t->router.asks;
}

/* Count the tokens of good answers by when they came.  */
static void
trial_fill_bins (trial *t)
{
  const GPtrArray *requests = t->router.requests;

  for (guint i = 0; i < requests->len; i++)
    {
      const request *r = requests->pdata[i];

      for (guint k = 0; r->state == REQUEST_DONE && k < r->bins->len; k++)
        {
          uint32_t bin = g_array_index (r->bins, uint32_t, k);

          if (bin >= t->bins->len)
            g_array_set_size (t->bins, bin + 1);
          g_array_index (t->bins, double, bin) += 1;
        }
    }
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
  t->bins = g_array_new (FALSE, TRUE, sizeof (double));
  t->config = trial_config (t);
  fake_router_init (&t->router, &t->time, &t->fleet, t->config,
                    options->planners, options->seed,
                    (uint64_t)(options->seconds * SECOND_US));
  t->router.no_progress = options->no_progress;
  t->router.no_reports = options->no_reports;
  t->capacity_before = fake_fleet_capacity (&t->fleet);
}

static void
trial_finish (trial *t)
{
  fake_router_finish (&t->router);
  g_array_unref (t->bins);
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
    case TRIAL_OWNER_DIES:
      return "the model's owner is replaced";
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
  trial_means (&work, &tokens);
  t.arrivals_per_s = options->load * t.capacity_before / work;
  timeline_add (&t.time, 1, TRIAL_ARRIVAL, NULL, 0);
  if (options->fault != TRIAL_NO_FAULT)
    timeline_add (&t.time, (uint64_t)(options->fault_at_seconds * SECOND_US),
                  TRIAL_FAULT, NULL, 0);
  while (timeline_next (&t.time, &item))
    trial_handle (&t, &item);
  trial_count (&t);
  trial_fill_bins (&t);
  if (options->fault != TRIAL_NO_FAULT)
    trial_measure_recovery (&t, tokens / work);
  trial_finish (&t);
}
