/* A run: see run.h.  */

#include "run.h"

#include "fetch.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How long after the last arrival answers are waited for, at the most.  */
#define TAIL_US ((uint64_t)15 * 1000 * 1000)

typedef struct run_fault
{
  ev_timer timer;
  load_run *run;
  const load_fault *fault; /* Borrowed from the scenario.  */
} run_fault;

static void
run_set_timer (load_run *run, uint64_t at_us)
{
  uint64_t now = load_run_now (run);

  ev_now_update (run->loop);
  ev_timer_stop (run->loop, &run->arrivals);
  ev_timer_set (&run->arrivals, at_us > now ? (double)(at_us - now) / 1e6 : 0.,
                0.);
  ev_timer_start (run->loop, &run->arrivals);
}

/* Start whatever is due; open loop, whether or not answers have come.  */
static void
run_arrive (struct ev_loop *loop, ev_timer *timer, int events)
{
  load_run *run = timer->data;

  (void)loop;
  (void)events;
  while (run->next < run->items->len
         && g_array_index (run->items, load_item, run->next).at_us
                <= load_run_now (run))
    load_request_start (run, run->next++);
  if (run->next < run->items->len)
    run_set_timer (run,
                   g_array_index (run->items, load_item, run->next).at_us);
}

static void
run_strike (struct ev_loop *loop, ev_timer *timer, int events)
{
  run_fault *f = (run_fault *)timer;
  unsigned n = load_cluster_strike (f->run->cluster, f->fault);

  (void)loop;
  (void)events;
  fprintf (stderr, "fault at=%.1fs target=%s processes=%u %s\n",
           (double)f->fault->at_us / 1e6, mq_str_cstr (f->fault->target), n,
           f->fault->body == NULL ? "" : mq_str_cstr (f->fault->body));
  f->run->struck++;
}

static void
run_progress (struct ev_loop *loop, ev_timer *timer, int events)
{
  load_run *run = timer->data;
  unsigned ends[LOAD_ENDS] = { 0 };
  uint64_t now = load_run_now (run);
  guint late = 0;

  (void)events;
  for (guint i = 0; i < run->next; i++)
    {
      const load_record *r
          = &g_array_index (run->records.list, load_record, i);
      const load_item *item = &g_array_index (run->items, load_item, i);

      ends[r->end]++;
      late += r->end == LOAD_END_DONE && !load_record_in_time (r, item);
    }
  fprintf (stderr,
           "t=%.0fs sent=%u open=%u done=%u late=%u refused=%u failed=%u "
           "unknown=%u cut=%u unreachable=%u wrong=%u tokens=%" PRIu64 "\n",
           (double)now / 1e6, run->next, run->open, ends[LOAD_END_DONE], late,
           ends[LOAD_END_NOT_RUN], ends[LOAD_END_FAILED],
           ends[LOAD_END_UNKNOWN], ends[LOAD_END_CUT],
           ends[LOAD_END_UNREACHABLE], ends[LOAD_END_WRONG],
           run->records.tokens);
  if ((run->open == 0 && now >= run->scenario->duration_us)
      || now > run->scenario->duration_us + TAIL_US)
    ev_break (loop, EVBREAK_ONE);
}

static void
run_start_faults (load_run *run)
{
  const GArray *faults = run->scenario->faults;

  run->fault_timers = g_array_new (FALSE, TRUE, sizeof (run_fault));
  g_array_set_size (run->fault_timers, faults->len);
  for (guint i = 0; i < faults->len; i++)
    {
      run_fault *f = &g_array_index (run->fault_timers, run_fault, i);

      f->run = run;
      f->fault = &g_array_index (faults, load_fault, i);
      ev_timer_init (&f->timer, run_strike, (double)f->fault->at_us / 1e6, 0.);
      ev_timer_start (run->loop, &f->timer);
    }
}

/* Count the effect that a plain service tells of; its body holds the number
   of the request.  */
static void
run_count_effect (load_run *run, json_object *effect)
{
  static const char prefix[] = "{\"bench\":\"request-";
  json_object *body;
  const char *text;
  uint64_t n;

  if (!json_object_object_get_ex (effect, "body", &body))
    return;
  text = json_object_get_string (body);
  if (!g_str_has_prefix (text, prefix))
    return;
  n = strtoull (text + sizeof prefix - 1, NULL, 10);
  if (n < run->records.list->len)
    g_array_index (run->records.list, load_record, n).effects++;
}

static void
run_fetch_effects (load_run *run, const load_process *p)
{
  char *url = g_strdup_printf ("http://%s/effects", p->address);
  GString *text = g_string_new (NULL);
  json_object *json = NULL;
  json_object *list;

  if (load_fetch (run->loop, run->client, "GET", url, NULL, text) == 200)
    json = json_tokener_parse (text->str);
  else
    fprintf (stderr, "no effects from %s: its calls are not checked\n",
             p->name);
  if (json_object_object_get_ex (json, "effects", &list))
    for (size_t i = 0; i < json_object_array_length (list); i++)
      run_count_effect (run, json_object_array_get_idx (list, i));
  json_object_put (json);
  g_string_free (text, TRUE);
  g_free (url);
}

/* Compare what the callers were told with what the plain services did.  */
static void
run_judge_effects (load_run *run)
{
  for (guint i = 0; i < run->items->len; i++)
    {
      const load_item *item = &g_array_index (run->items, load_item, i);
      const load_kind *k
          = &g_array_index (run->scenario->kinds, load_kind, item->kind);
      const load_service *v
          = &g_array_index (run->scenario->services, load_service, k->service);
      const load_record *r
          = &g_array_index (run->records.list, load_record, i);

      /* A GET has no body to tell it by; it may run more than once.  */
      if (v->kind != MQ_SERVICE_PLAIN || k->repeatable)
        continue;
      if (r->effects > 1)
        load_records_breach (&run->records, "at most once", i);
      if (r->end == LOAD_END_DONE && r->effects == 0)
        load_records_breach (&run->records, "done means done", i);
      if (r->effects > 0 && !r->maybe_ran
          && (r->end == LOAD_END_NOT_RUN || r->end == LOAD_END_UNREACHABLE))
        load_records_breach (&run->records, "not-run never ran", i);
    }
}

/* Could ITEM meet a process of the scenario that slept or was killed?  */
static bool
run_item_excused (const load_scenario *scenario, const load_item *item)
{
  uint64_t end = item->at_us + (uint64_t)item->deadline_ms * 1000;

  for (guint i = 0; i < scenario->faults->len; i++)
    {
      const load_fault *f = &g_array_index (scenario->faults, load_fault, i);

      if (f->kind == LOAD_FAULT_SIGNAL && f->signal != SIGCONT
          && f->at_us <= end
          && (f->lasts_us == UINT64_MAX
              || item->at_us <= f->at_us + f->lasts_us))
        return true;
    }
  return false;
}

/* Where the scenario's restarts may cut nothing, whatever is not answered as
   it should breaks a promise.  Refusals and lateness depend on the load.  */
static void
run_judge_cuts (load_run *run)
{
  for (guint i = 0; i < run->items->len; i++)
    {
      if (run_item_excused (run->scenario,
                            &g_array_index (run->items, load_item, i)))
        continue;
      switch (g_array_index (run->records.list, load_record, i).end)
        {
        case LOAD_END_NONE:
        case LOAD_END_FAILED:
        case LOAD_END_UNKNOWN:
        case LOAD_END_CUT:
        case LOAD_END_UNREACHABLE:
          load_records_breach (&run->records, "no request is cut", i);
          break;
        default:
          break;
        }
    }
}

void
load_run_init (load_run *run, load_cluster *cluster, const GArray *items)
{
  memset (run, 0, sizeof *run);
  run->loop = cluster->loop;
  run->client = cluster->client;
  run->scenario = cluster->scenario;
  run->cluster = cluster;
  run->items = items;
  load_callers_init (&run->callers, cluster);
  load_records_init (&run->records, run->scenario, items);
}

void
load_run_go (load_run *run)
{
  load_callers_prime (&run->callers);
  load_cluster_measure (run->cluster);
  run->start_us = (uint64_t)g_get_monotonic_time ();
  ev_now_update (run->loop);
  run_start_faults (run);
  ev_timer_init (&run->arrivals, run_arrive, 0., 0.);
  run->arrivals.data = run;
  ev_timer_start (run->loop, &run->arrivals);
  ev_timer_init (&run->progress, run_progress, 1., 1.);
  run->progress.data = run;
  ev_timer_start (run->loop, &run->progress);
  ev_run (run->loop, 0);
  ev_timer_stop (run->loop, &run->arrivals);
  ev_timer_stop (run->loop, &run->progress);
  load_cluster_measure (run->cluster);
  for (guint i = 0; i < run->cluster->processes->len; i++)
    {
      const load_process *p = g_ptr_array_index (run->cluster->processes, i);

      if (p->role == LOAD_ROLE_PLAIN)
        run_fetch_effects (run, p);
    }
  run_judge_effects (run);
  if (run->scenario->cuts_nothing)
    run_judge_cuts (run);
}

void
load_run_finish (load_run *run)
{
  for (guint i = 0; i < run->fault_timers->len; i++)
    ev_timer_stop (run->loop,
                   &g_array_index (run->fault_timers, run_fault, i).timer);
  g_array_unref (run->fault_timers);
  load_records_finish (&run->records);
  load_callers_finish (&run->callers);
}
