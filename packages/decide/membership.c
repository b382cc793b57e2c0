/* Membership: the routers of the fleet and their states.  See mq/fleet.h for
   the invariants.

   This file handles the events and detects silence, of others and our own. The
   table of members is in member_table.c, the heartbeat intervals are in
   heartbeat_interval.c and the member updates in member_update.c.

   Each event first checks whether this router itself was paused
   (fleet_check_pause): its view from before the pause must not be the basis of
   a decision after it.  */

#include <mq/internal/membership.h>

#define MAX_INTERVAL_US (UINT64_C (60) * 1000 * 1000)
/* Delay until "leaving" is sent again.  */
#define LEAVE_REPEAT_US (UINT64_C (250) * 1000)
/* Until a dead member that is not listed is removed.  */
#define UNLISTED_RETENTION_US (UINT64_C (60) * 1000 * 1000)

/* ---- Pauses of this router.  */

static void
fleet_check_pause (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  uint64_t gap = now - fleet->last_us;
  uint64_t limit = fleet->intervals.watcher_us * MQ_FLEET_SUSPECT_MISSES;

  if (fleet->last_us == 0 || gap < limit)
    {
      fleet->last_us = now;
      return;
    }
  fleet->last_us = now;
  fleet->rejoin_until_us = now + limit;
  fleet->rejoin_sequence = fleet->self->sequence + 1;
  fleet->received_since_pause = 0;
  fleet->stale = true;
  mq_fleet_push (actions, MQ_FLEET_PAUSED, NULL)->u.gap_us = gap;
  /* The silence of others during the pause proves nothing; but only heartbeats
     received from now on make them live again.  */
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      m->received_us = now;
      if (m->state == MQ_MEMBER_LIVE)
        mq_fleet_set_state (fleet, m, MQ_MEMBER_SUSPECT, "we paused", actions);
    }
  mq_fleet_send_heartbeats (fleet, now, true, actions);
}

/* Rejoining ends when every member that was live before the pause was received
   from again, or at the timeout.  */
static void
fleet_check_rejoined (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  uint32_t awaited = 0;

  if (fleet->rejoin_until_us == 0)
    return;
  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);

      awaited += m->state == MQ_MEMBER_SUSPECT;
    }
  if (now < fleet->rejoin_until_us
      && (awaited > 0 || fleet->received_since_pause == 0))
    return;
  fleet->rejoin_until_us = 0;
  fleet->stale = true;
  mq_fleet_push (actions, MQ_FLEET_REJOINED, NULL);
}

/* ---- Events.  */

static bool
fleet_list_contains (const mq_fleet_event *event, mq_span vm)
{
  for (size_t i = 0; i < event->u.list.n; i++)
    if (mq_span_equal (event->u.list.vms[i].vm, vm))
      return true;
  return false;
}

/* Removes members that the list no longer names and that are not alive.  */
static void
fleet_expire_members (mq_fleet *fleet, const mq_fleet_event *event,
                      GArray *actions)
{
  for (guint i = fleet->members->len; i-- > 0;)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      m->listed = fleet_list_contains (event, mq_str_span (m->vm));
      if (m->listed || m->state == MQ_MEMBER_LIVE
          || m->state == MQ_MEMBER_SUSPECT)
        continue;
      if (event->now_us - m->received_us < UNLISTED_RETENTION_US)
        continue;
      mq_fleet_disconnect (m->peer_address, actions);
      g_ptr_array_remove_index (fleet->members, i);
      fleet->stale = true;
    }
}

static void
fleet_on_list (mq_fleet *fleet, const mq_fleet_event *event, GArray *actions)
{
  for (size_t i = 0; i < event->u.list.n; i++)
    {
      const mq_listed_vm *v = &event->u.list.vms[i];
      mq_member *m;

      if (mq_span_equal (v->vm, mq_str_span (fleet->self->vm)))
        {
          if (v->leaving && !fleet->self->leaving)
            mq_fleet_push (actions, MQ_FLEET_LEAVE_REQUESTED, NULL);
          continue;
        }
      m = mq_fleet_lookup (fleet, v->vm);
      if (m == NULL)
        m = mq_fleet_add (fleet, v->vm, v->peer_address, event->now_us,
                          actions);
      else if (m->incarnation == 0)
        mq_fleet_set_address (m, v->peer_address, actions);
      if (!v->leaving || m->leaving)
        continue;
      mq_fleet_set_leaving (fleet, m, "listed as leaving", actions);
      mq_fleet_notify_region (fleet, m, actions);
    }
  fleet_expire_members (fleet, event, actions);
}

/* Returns the member that sent H, or NULL if the message is to be dropped.  */
static mq_member *
fleet_sender (mq_fleet *fleet, const mq_heartbeat *h, uint64_t now,
              GArray *actions)
{
  mq_member *m;

  if (h->vm.size == 0)
    m = mq_fleet_lookup_incarnation (fleet, h->incarnation);
  else
    m = mq_fleet_lookup (fleet, h->vm);
  if (m == NULL && h->vm.size > 0 && h->peer_address.size > 0
      && !mq_span_equal (h->vm, mq_str_span (fleet->self->vm)))
    m = mq_fleet_add (fleet, h->vm, h->peer_address, now, actions);
  if (m == NULL || h->incarnation < m->incarnation)
    return NULL;
  if (h->incarnation > m->incarnation)
    mq_fleet_set_incarnation (fleet, m, h->incarnation, actions);
  return h->sequence > m->sequence ? m : NULL;
}

/* Messages buffered during a pause are old: after a pause only a reply to a
   heartbeat sent since then counts.  */
static bool
fleet_is_fresh (const mq_fleet *fleet, const mq_heartbeat *h)
{
  return fleet->rejoin_until_us == 0
         || (h->receiver_incarnation == fleet->self->incarnation
             && h->receiver_sequence >= fleet->rejoin_sequence);
}

static void
fleet_on_heartbeat (mq_fleet *fleet, const mq_fleet_event *event,
                    GArray *actions)
{
  const mq_heartbeat *h = &event->u.heartbeat;
  uint64_t now = event->now_us;
  mq_member *m = fleet_sender (fleet, h, now, actions);
  bool notify;

  if (m == NULL)
    {
      fleet->dropped++;
      return;
    }
  mq_fleet_set_address (m, h->peer_address, actions);
  mq_member_set_text (&m->entry_address, h->entry_address);
  mq_member_set_text (&m->failure_domain, h->failure_domain);
  mq_member_set_text (&m->region, h->region);
  m->sequence = h->sequence;
  fleet->stale |= (m->generation == 0) != (h->generation == 0);
  m->generation = h->generation;
  m->load = h->load;
  m->interval_us = MIN (h->interval_us, MAX_INTERVAL_US);
  m->received_us = now;
  m->has_introduction = h->receiver_incarnation == fleet->self->incarnation;
  if (fleet_is_fresh (fleet, h))
    {
      fleet->received_since_pause++;
      if (m->entry_address != NULL)
        mq_fleet_set_state (fleet, m, MQ_MEMBER_LIVE, "heard", actions);
    }
  notify = h->leaving && !m->leaving;
  if (h->leaving)
    mq_fleet_set_leaving (fleet, m, "says so", actions);
  /* Only the watchers notify the region, as they learn it first.  */
  if (notify && m->interval_us <= fleet->intervals.watcher_us)
    mq_fleet_notify_region (fleet, m, actions);
  /* It does not know us, or does not consider us live: reply soon.  */
  if (!m->has_introduction || h->receiver_state != MQ_MEMBER_LIVE)
    m->next_send_us
        = MIN (m->next_send_us, now + MQ_FLEET_FIRST_PROBE_INTERVAL_US / 2);
}

static void
fleet_check_silence (mq_fleet *fleet, mq_member *m, uint64_t now,
                     GArray *actions)
{
  uint64_t silence = now - m->received_us;
  mq_member_state to = m->state;

  if (m->interval_us == 0
      || (m->state != MQ_MEMBER_LIVE && m->state != MQ_MEMBER_SUSPECT))
    return;
  if (silence > m->interval_us * MQ_FLEET_DEAD_MISSES)
    to = MQ_MEMBER_DEAD;
  else if (silence > m->interval_us * MQ_FLEET_SUSPECT_MISSES)
    to = MQ_MEMBER_SUSPECT;
  if (to == m->state || to == MQ_MEMBER_LIVE)
    return;
  mq_fleet_set_state (fleet, m, to, "silent", actions);
  if (fleet->rejoin_until_us == 0
      && m->interval_us <= fleet->intervals.watcher_us)
    mq_fleet_notify_region (fleet, m, actions);
}

static void
fleet_check_all_silence (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  for (guint i = 0; i < fleet->members->len; i++)
    fleet_check_silence (fleet, g_ptr_array_index (fleet->members, i), now,
                         actions);
}

static void
fleet_on_leave (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  if (fleet->self->leaving)
    return;
  fleet->self->leaving = true;
  fleet->stale = true;
  mq_fleet_notify_region (fleet, NULL, actions);
  mq_fleet_send_heartbeats (fleet, now, true, actions);
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (mq_fleet_is_in_our_region (fleet, m))
        m->next_send_us = now + LEAVE_REPEAT_US;
    }
}

/* ---- Public.  */

uint64_t
mq_fleet_incarnation (uint64_t epoch_ms, uint64_t random)
{
  return ((epoch_ms + 1) << 20) | (random & ((1U << 20) - 1));
}

mq_fleet *
mq_fleet_new (const mq_fleet_options *options)
{
  mq_fleet *f = g_new0 (mq_fleet, 1);

  f->members = g_ptr_array_new_with_free_func (mq_member_free);
  f->self = g_new0 (mq_member, 1);
  f->self->vm = mq_str_new (options->vm);
  f->self->peer_address = mq_str_new (options->peer_address);
  f->self->entry_address = mq_str_new (options->entry_address);
  f->self->failure_domain = mq_str_new (options->failure_domain);
  f->self->region = mq_str_new (options->region);
  f->self->incarnation = options->incarnation;
  f->self->state = MQ_MEMBER_LIVE;
  f->self->listed = true;
  f->heartbeat_bytes = options->heartbeat_bytes != 0 ? options->heartbeat_bytes
                                                     : MQ_HEARTBEAT_WIRE_BYTES;
  f->fixed_interval_us = options->interval_us;
  f->intervals = mq_heartbeat_intervals_for (1, 1, f->heartbeat_bytes);
  f->hash = mq_fleet_hash_live (f);
  return f;
}

void
mq_fleet_free (mq_fleet *fleet)
{
  if (fleet == NULL)
    return;
  g_ptr_array_unref (fleet->members);
  mq_member_free (fleet->self);
  g_free (fleet);
}

void
mq_fleet_handle (mq_fleet *fleet, const mq_fleet_event *event, GArray *actions)
{
  uint64_t now = event->now_us;

  fleet_check_pause (fleet, now, actions);
  switch (event->kind)
    {
    case MQ_FLEET_LIST:
      fleet_on_list (fleet, event, actions);
      break;
    case MQ_FLEET_HEARTBEAT:
      fleet_on_heartbeat (fleet, event, actions);
      break;
    case MQ_FLEET_MEMBER_UPDATES:
      mq_fleet_on_member_updates (fleet, event, actions);
      break;
    case MQ_FLEET_SELF:
      fleet->stale |= fleet->self->generation == 0;
      fleet->self->load = event->u.self.load;
      fleet->self->generation = event->u.self.generation;
      break;
    case MQ_FLEET_LEAVE:
      fleet_on_leave (fleet, now, actions);
      break;
    case MQ_FLEET_TICK:
      break;
    }
  fleet_check_all_silence (fleet, now, actions);
  fleet_check_rejoined (fleet, now, actions);
  mq_fleet_refresh (fleet, now, actions);
  if (event->kind == MQ_FLEET_HEARTBEAT)
    mq_fleet_compare_views (fleet, &event->u.heartbeat, now, actions);
  mq_fleet_send_heartbeats (fleet, now, false, actions);
}

/* Returns when M's silence changes its state; UINT64_MAX: never.  */
static uint64_t
member_silence_deadline_us (const mq_member *m)
{
  if (m->interval_us == 0)
    return UINT64_MAX;
  if (m->state == MQ_MEMBER_LIVE)
    return m->received_us + m->interval_us * MQ_FLEET_SUSPECT_MISSES + 1;
  if (m->state == MQ_MEMBER_SUSPECT)
    return m->received_us + m->interval_us * MQ_FLEET_DEAD_MISSES + 1;
  return UINT64_MAX;
}

uint64_t
mq_fleet_next_tick (const mq_fleet *fleet)
{
  uint64_t next = fleet->last_us + fleet->intervals.watcher_us;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);

      next = MIN (next, m->next_send_us);
      next = MIN (next, member_silence_deadline_us (m));
    }
  return MAX (next, fleet->last_us + 1000);
}

bool
mq_fleet_may_own (const mq_fleet *fleet)
{
  return fleet->rejoin_until_us == 0;
}

uint64_t
mq_fleet_dropped (const mq_fleet *fleet)
{
  return fleet->dropped;
}
