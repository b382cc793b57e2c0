/* Fake engines and links: see fake_fleet.h.  */

#include "fake_fleet.h"

#include <string.h>

/* From the router to any engine.  */
#define ENTRY_LINK_US 300
/* The part of a full batch's step that an empty batch would take.  */
#define EMPTY_STEP 0.7

typedef struct fake_kind
{
  uint32_t engines; /* In each range.  */
  uint32_t slots;
  double full_step_us;
} fake_kind;

static const fake_kind kinds[] = {
  { 4, 8, 5000 },
  { 3, 8, 8000 },
  { 3, 4, 16000 },
};

static const double links[FAKE_DOMAINS][FAKE_DOMAINS] = {
  { 50, 300, 500 },
  { 300, 50, 5000 },
  { 500, 5000, 50 },
};

static void
engine_init (fake_engine *e, uint32_t range, uint32_t kind, uint32_t number)
{
  memset (e, 0, sizeof *e);
  g_snprintf (e->name, sizeof e->name, "e%u-%u", range, number);
  e->range = range;
  e->kind = kind;
  e->domain = (number + range) % FAKE_DOMAINS;
  e->slots = kinds[kind].slots;
  e->full_step_us = kinds[kind].full_step_us;
  e->slow = 1.0;
  e->batch = g_ptr_array_new ();
  for (uint32_t p = 0; p < FAKE_PRIORITIES; p++)
    g_queue_init (&e->queue[p]);
}

uint32_t
fake_prompt_units (uint32_t tokens)
{
  return (tokens + PROMPT_UNIT - 1) / PROMPT_UNIT;
}

void
fake_fleet_init (fake_fleet *fleet, timeline *time)
{
  uint32_t n = 0;

  fleet->time = time;
  fleet->places = false;
  memcpy (fleet->link_us, links, sizeof links);
  for (uint32_t range = 0; range < FAKE_RANGES; range++)
    {
      uint32_t number = 0;

      for (uint32_t kind = 0; kind < G_N_ELEMENTS (kinds); kind++)
        for (uint32_t i = 0; i < kinds[kind].engines; i++)
          engine_init (&fleet->engines[n++], range, kind, number++);
    }
}

static void
engine_drop_all (fake_engine *e)
{
  fake_stream *s;

  for (uint32_t p = 0; p < FAKE_PRIORITIES; p++)
    while ((s = g_queue_pop_head (&e->queue[p])) != NULL)
      fake_stream_unref (s);
  while ((s = g_queue_pop_head (&e->waiting)) != NULL)
    {
      s->waiting = false;
      s->cancelled = true;
      fake_stream_unref (s);
    }
  for (guint i = 0; i < e->batch->len; i++)
    fake_stream_unref (e->batch->pdata[i]);
  g_ptr_array_set_size (e->batch, 0);
  e->queued = 0;
}

void
fake_fleet_finish (fake_fleet *fleet)
{
  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      engine_drop_all (&fleet->engines[i]);
      g_ptr_array_unref (fleet->engines[i].batch);
    }
}

fake_stream *
fake_stream_new (void *owner)
{
  fake_stream *s = g_new0 (fake_stream, 1);

  s->refs = 1;
  s->owner = owner;
  return s;
}

void
fake_stream_unref (fake_stream *stream)
{
  if (--stream->refs == 0)
    g_free (stream);
}

static void
engine_take_one (fake_engine *e, uint32_t *room)
{
  for (uint32_t p = FAKE_PRIORITIES; p-- > 0;)
    {
      fake_stream *s = g_queue_peek_head (&e->queue[p]);
      uint32_t units;

      if (s == NULL)
        continue;
      if (s->cancelled)
        {
          g_queue_pop_head (&e->queue[p]);
          e->queued--;
          fake_stream_unref (s);
          return;
        }
      units = MIN (s->units_left, *room);
      s->units_left -= units;
      *room -= units;
      /* A prompt that does not fit whole goes on in the next step.  */
      if (s->units_left > 0)
        return;
      g_queue_pop_head (&e->queue[p]);
      e->queued--;
      g_ptr_array_add (e->batch, s);
      return;
    }
}

static void
engine_start (fake_fleet *fleet, fake_engine *e, uint64_t now_us)
{
  uint32_t room = e->slots;
  double fill;
  double step;

  while (room > 0 && e->queued > 0)
    engine_take_one (e, &room);
  if (room == e->slots)
    return;
  fill = (double)(e->slots - room) / e->slots;
  step = e->full_step_us * (EMPTY_STEP + (1 - EMPTY_STEP) * fill) * e->slow;
  e->busy = true;
  e->last_step_us = (uint32_t)(e->lies ? step / e->slow : step);
  e->last_batch = e->slots - room;
  timeline_add (fleet->time, now_us + (uint64_t)step, FAKE_STEP_END, e, 0);
}

static void
stream_go (fake_fleet *fleet, fake_stream *s, uint64_t due_us)
{
  s->units_left = s->prompt_units > 0 ? s->prompt_units : 1;
  timeline_add (fleet->time, due_us, FAKE_ARRIVE, s, 0);
}

static void
stream_place (fake_fleet *fleet, fake_stream *s, uint64_t now_us)
{
  s->waiting = false;
  s->stages[0]->placed++;
  for (uint32_t i = 0; i < s->n_stages; i++)
    s->stages[i]->held++;
  stream_go (fleet, s, now_us + ENTRY_LINK_US);
}

void
fake_fleet_open (fake_fleet *fleet, fake_stream *stream, uint64_t now_us)
{
  fake_engine *head = stream->stages[0];

  stream->refs++;
  stream->stage = 0;
  if (!fleet->places || head->placed < head->slots)
    {
      stream_place (fleet, stream, now_us);
      return;
    }
  stream->waiting = true;
  g_queue_push_tail (&head->waiting, stream);
}

void
fake_fleet_close (fake_fleet *fleet, fake_stream *stream, uint64_t now_us)
{
  fake_engine *head = stream->stages[0];
  fake_stream *next;

  stream->cancelled = true;
  if (stream->waiting)
    {
      g_queue_remove (&head->waiting, stream);
      fake_stream_unref (stream);
      return;
    }
  head->placed--;
  for (uint32_t i = 0; i < stream->n_stages; i++)
    stream->stages[i]->held--;
  if (fleet->places && !head->dead && head->placed < head->slots
      && (next = g_queue_pop_head (&head->waiting)) != NULL)
    stream_place (fleet, next, now_us);
}

static void
fleet_arrive (fake_fleet *fleet, fake_stream *s, uint64_t now_us)
{
  fake_engine *e = s->stages[s->stage];

  if (s->cancelled || e->dead)
    {
      fake_stream_unref (s);
      return;
    }
  g_queue_push_tail (&e->queue[s->priority], s);
  e->queued++;
  if (!e->busy)
    engine_start (fleet, e, now_us);
}

/* S has run at its stage: send it on.  */
static void
stream_advance (fake_fleet *fleet, fake_stream *s, uint64_t now_us)
{
  const fake_engine *from = s->stages[s->stage];
  const fake_engine *to;

  s->stage++;
  if (s->stage == s->n_stages)
    {
      s->stage = 0;
      s->prompt_units = 0;
      s->tokens++;
      fleet->on_token (fleet->context, s, now_us);
      if (s->cancelled)
        {
          fake_stream_unref (s);
          return;
        }
    }
  to = s->stages[s->stage];
  stream_go (fleet, s,
             now_us + (uint64_t)fleet->link_us[from->domain][to->domain]);
}

static void
fleet_step_end (fake_fleet *fleet, fake_engine *e, uint64_t now_us)
{
  GPtrArray *ran = e->batch;

  if (e->dead)
    return;
  e->busy = false;
  e->batch = g_ptr_array_new ();
  for (guint i = 0; i < ran->len; i++)
    {
      fake_stream *s = ran->pdata[i];

      if (s->cancelled)
        fake_stream_unref (s);
      else
        stream_advance (fleet, s, now_us);
    }
  g_ptr_array_unref (ran);
  if (!e->busy)
    engine_start (fleet, e, now_us);
}

void
fake_fleet_handle (fake_fleet *fleet, const timeline_item *item)
{
  switch (item->kind)
    {
    case FAKE_ARRIVE:
      fleet_arrive (fleet, item->what, item->due_us);
      break;
    case FAKE_STEP_END:
      fleet_step_end (fleet, item->what, item->due_us);
      break;
    default:
      g_assert_not_reached ();
    }
}

void
fake_fleet_kill (fake_fleet *fleet, fake_engine *engine)
{
  (void)fleet;
  engine->dead = true;
  engine_drop_all (engine);
}

fake_engine *
fake_fleet_find (fake_fleet *fleet, const char *name)
{
  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    if (strcmp (fleet->engines[i].name, name) == 0)
      return &fleet->engines[i];
  return NULL;
}

/* Steps a second, were every batch full.  */
static double
fleet_step_capacity (const fake_fleet *fleet)
{
  double range[FAKE_RANGES] = { 0 };
  double least = 0;

  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      const fake_engine *e = &fleet->engines[i];

      if (!e->dead)
        range[e->range] += e->slots * 1e6 / (e->full_step_us * e->slow);
    }
  for (uint32_t r = 0; r < FAKE_RANGES; r++)
    least = r == 0 ? range[r] : MIN (least, range[r]);
  return least;
}

/* The shortest step in RANGE.  */
static double
fleet_shortest_us (const fake_fleet *fleet, uint32_t range)
{
  double least = 0;

  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      const fake_engine *e = &fleet->engines[i];
      double us = e->full_step_us * e->slow * EMPTY_STEP;

      if (e->range == range && !e->dead && (least == 0 || us < least))
        least = us;
    }
  return least;
}

/* Steps a second, were every place taken by a stream that goes round in the
   shortest time.  */
static double
fleet_place_capacity (const fake_fleet *fleet)
{
  double others = 0;
  double sum = 0;

  for (uint32_t r = 1; r < FAKE_RANGES; r++)
    others += fleet_shortest_us (fleet, r);
  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      const fake_engine *e = &fleet->engines[i];

      if (e->range == 0 && !e->dead)
        sum += e->slots * 1e6
               / (others + e->full_step_us * e->slow * EMPTY_STEP);
    }
  return sum;
}

double
fake_fleet_capacity (const fake_fleet *fleet)
{
  double steps = fleet_step_capacity (fleet);

  return fleet->places ? MIN (steps, fleet_place_capacity (fleet)) : steps;
}

void
fake_fleet_report (fake_fleet *fleet, uint64_t now_us)
{
  for (uint32_t i = 0; i < FAKE_ENGINES; i++)
    {
      fake_engine *e = &fleet->engines[i];

      e->report = e->pending;
      e->pending
          = (fake_report){ now_us, e->queued, e->last_batch, e->last_step_us };
      if (fleet->places)
        {
          e->pending.queue = e->waiting.length;
          e->pending.batch = e->held;
        }
    }
}
