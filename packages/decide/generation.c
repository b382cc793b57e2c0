/* The generation of a router's configuration: see mq/generation.h.  */

#include <mq/generation.h>

#include <mq/internal/defect.h>

#define FIRST_RETRY_US 250000
#define MAX_RETRY_DOUBLINGS 5

static void
generation_push (GArray *actions, mq_generation_action_kind kind,
                 uint64_t peer, uint64_t generation)
{
  mq_generation_action a = { kind, peer, generation };

  g_array_append_val (actions, a);
}

/* Returns the highest generation to fetch, or 0; sets *PEER to its source.  */
static uint64_t
generation_to_fetch (const mq_generation *g, uint64_t *peer)
{
  uint64_t floor = MAX (g->in_force, g->refused);

  /* Of equal offers the platform's is preferred: its manifest was already
   * read.  */
  if (g->platform > floor && g->platform >= g->best)
    {
      *peer = MQ_GENERATION_PLATFORM;
      return g->platform;
    }
  *peer = g->best_peer;
  return g->best > floor ? g->best : 0;
}

static void
generation_on_offer (mq_generation *g, const mq_generation_event *event)
{
  g->received_us = event->now_us;
  if (event->peer == MQ_GENERATION_PLATFORM)
    {
      if (event->generation < g->in_force)
        g->lower_offers++;
      g->platform = event->generation;
    }
  else if (event->generation > g->best || event->peer == g->best_peer)
    {
      g->best = event->generation;
      g->best_peer = event->peer;
    }
}

static void
generation_on_fetch_failed (mq_generation *g, uint64_t now_us)
{
  uint32_t doublings = MIN (g->failures, (uint32_t)MAX_RETRY_DOUBLINGS);

  g->fetching = false;
  g->failures++;
  g->retry_us = now_us + ((uint64_t)FIRST_RETRY_US << doublings);
  /* The platform may have the generation that this peer did not deliver, and
     other peers will offer it again.  */
  if (g->fetch_peer != MQ_GENERATION_PLATFORM)
    g->best = 0;
}

static void
generation_on_valid (mq_generation *g, const mq_generation_event *event,
                     GArray *actions)
{
  g->fetching = false;
  g->failures = 0;
  if (event->generation <= g->in_force
      && !mq_defect_enabled (MQ_DEFECT_LOWER_GENERATION_TAKEN))
    return;
  g->in_force = event->generation;
  generation_push (actions, MQ_GENERATION_APPLY, g->fetch_peer, g->in_force);
}

static void
generation_fetch (mq_generation *g, uint64_t now_us, GArray *actions)
{
  uint64_t peer;
  uint64_t target = generation_to_fetch (g, &peer);

  if (g->fetching || target == 0 || now_us < g->retry_us)
    return;
  g->fetching = true;
  g->fetch_peer = peer;
  generation_push (actions, MQ_GENERATION_FETCH, peer, target);
}

static bool
generation_is_isolated (const mq_generation *g, uint64_t now_us)
{
  return g->cut_off_us > 0 && g->peers > 0
         && now_us >= g->received_us + g->cut_off_us;
}

static void
generation_update_cut_off (mq_generation *g, uint64_t now_us, GArray *actions)
{
  uint64_t peer;

  if (!g->cut_off && generation_is_isolated (g, now_us))
    {
      g->cut_off = true;
      generation_push (actions, MQ_GENERATION_CUT_OFF, 0, g->in_force);
    }
  else if (g->cut_off && !generation_is_isolated (g, now_us)
           && generation_to_fetch (g, &peer) == 0)
    {
      g->cut_off = false;
      generation_push (actions, MQ_GENERATION_REJOIN, 0, g->in_force);
    }
}

void
mq_generation_init (mq_generation *generation, uint64_t now_us,
                    uint64_t cut_off_us)
{
  *generation
      = (mq_generation){ .received_us = now_us, .cut_off_us = cut_off_us };
}

void
mq_generation_handle (mq_generation *generation,
                      const mq_generation_event *event, GArray *actions)
{
  switch (event->kind)
    {
    case MQ_GENERATION_OFFER:
      generation_on_offer (generation, event);
      break;
    case MQ_GENERATION_PEERS:
      generation->peers = event->count;
      break;
    case MQ_GENERATION_VALID:
      generation_on_valid (generation, event, actions);
      break;
    case MQ_GENERATION_INVALID:
      generation->fetching = false;
      generation->refused = MAX (generation->refused, event->generation);
      break;
    case MQ_GENERATION_FETCH_FAILED:
      generation_on_fetch_failed (generation, event->now_us);
      break;
    case MQ_GENERATION_SET_CUT_OFF:
      generation->cut_off_us = event->cut_off_us;
      break;
    case MQ_GENERATION_TICK:
      break;
    }
  generation_fetch (generation, event->now_us, actions);
  generation_update_cut_off (generation, event->now_us, actions);
}

uint64_t
mq_generation_next_tick (const mq_generation *generation)
{
  uint64_t next = UINT64_MAX;
  uint64_t peer;

  if (!generation->fetching && generation_to_fetch (generation, &peer) > 0)
    next = generation->retry_us;
  if (!generation->cut_off && generation->cut_off_us > 0
      && generation->peers > 0)
    next = MIN (next, generation->received_us + generation->cut_off_us);
  return next;
}
