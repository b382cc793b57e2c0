/* Membership: who is in the fleet.  See mq/fleet.h for the invariants.

   The members lie in an array sorted by name, so that two routers that know
   the same walk it in the same order.  Each event first checks for a gap in
   our own running (`fleet_check_gap`): whatever a router believed before it
   slept is no ground for a decision after it wakes.  */

#include <mq/fleet.h>
#include <mq/internal/fleet.h>

#include <string.h>

/* Bytes a second, sent and received, for each kind of traffic: together below
   the 8 KB/s that a router may spend on control.  */
#define WATCHER_BUDGET 4500
#define OTHER_BUDGET 1500
#define GATEWAY_BUDGET 800

#define MIN_INTERVAL_US (UINT64_C (400) * 1000)
#define FIRST_PROBE_US (UINT64_C (250) * 1000)
#define MAX_INTERVAL_US (UINT64_C (60) * 1000 * 1000)
#define PROBE_US (UINT64_C (2) * 1000 * 1000) /* To those not heard from.  */
#define FIRST_PROBES_US (UINT64_C (2) * 1000 * 1000) /* Oftener at first.  */
#define SYNC_US (UINT64_C (5) * 1000 * 1000) /* Between two full tellings. */
#define GOODBYE_US (UINT64_C (250) * 1000)   /* Repeats of "leaving".  */
#define FORGET_US                                                             \
  (UINT64_C (60) * 1000 * 1000) /* An unlisted silent member.  */
#define GATEWAYS 2

static const char *const state_names[]
    = { "listed", "live", "suspect", "dead" };

static void
member_free (gpointer data)
{
  mq_member *m = data;

  mq_str_unref (m->vm);
  mq_str_unref (m->peer_address);
  mq_str_unref (m->entry_address);
  mq_str_unref (m->failure_domain);
  mq_str_unref (m->region);
  g_free (m);
}

static void
fleet_action_clear (gpointer data)
{
  mq_fleet_action *a = data;

  if (a->kind == MQ_FLEET_DISCONNECT)
    mq_str_unref (a->u.address);
}

/* Put TEXT into *FIELD, unless it is empty or there already.  */
static void
str_replace (mq_str **field, mq_span text)
{
  if (text.size == 0 || mq_span_equal (mq_str_span (*field), text))
    return;
  mq_str_unref (*field);
  *field = mq_str_new (text);
}

static mq_fleet_action *
fleet_push (GArray *actions, mq_fleet_action_kind kind,
            const mq_member *member)
{
  mq_fleet_action a = { .kind = kind, .member = member };

  g_array_append_val (actions, a);
  return &g_array_index (actions, mq_fleet_action, actions->len - 1);
}

static bool
fleet_same_region (const mq_fleet *fleet, const mq_member *m)
{
  return m->region == NULL
         || mq_span_equal (mq_str_span (m->region),
                           mq_str_span (fleet->self->region));
}

bool
mq_fleet_takes_work (const mq_fleet *fleet, const mq_member *m)
{
  if (m->leaving || m->generation == 0)
    return false;
  if (m == fleet->self)
    return fleet->rejoin_until_us == 0;
  return m->state == MQ_MEMBER_LIVE && fleet_same_region (fleet, m);
}

/* ---- Finding and keeping members.  */

/* The place of VM, or where it would be put.  */
static guint
fleet_place (const mq_fleet *fleet, mq_span vm)
{
  guint low = 0;
  guint high = fleet->members->len;

  while (low < high)
    {
      guint mid = low + (high - low) / 2;
      const mq_member *m = g_ptr_array_index (fleet->members, mid);

      if (mq_span_compare (mq_str_span (m->vm), vm) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

static mq_member *
fleet_lookup (const mq_fleet *fleet, mq_span vm)
{
  guint i = fleet_place (fleet, vm);

  if (i < fleet->members->len)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (mq_span_equal (mq_str_span (m->vm), vm))
        return m;
    }
  return NULL;
}

static mq_member *
fleet_lookup_incarnation (const mq_fleet *fleet, uint64_t incarnation)
{
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (m->incarnation == incarnation)
        return m;
    }
  return NULL;
}

/* A new member, not heard from.  Borrowed.  */
static mq_member *
fleet_add (mq_fleet *fleet, mq_span vm, mq_span address, uint64_t now,
           GArray *actions)
{
  mq_member *m = g_new0 (mq_member, 1);

  m->vm = mq_str_new (vm);
  m->peer_address = mq_str_new (address);
  m->state = MQ_MEMBER_LISTED;
  m->heard_us = now;
  m->next_send_us = now;
  g_ptr_array_insert (fleet->members, (gint)fleet_place (fleet, vm), m);
  fleet->stale = true;
  fleet_push (actions, MQ_FLEET_CONNECT, m);
  return m;
}

static void
fleet_disconnect (mq_str *address, GArray *actions)
{
  fleet_push (actions, MQ_FLEET_DISCONNECT, NULL)->u.address
      = mq_str_ref (address);
}

/* Follow M to ADDRESS, where it is another than before.  */
static void
fleet_move (mq_member *m, mq_span address, GArray *actions)
{
  if (address.size == 0
      || mq_span_equal (mq_str_span (m->peer_address), address))
    return;
  fleet_disconnect (m->peer_address, actions);
  str_replace (&m->peer_address, address);
  fleet_push (actions, MQ_FLEET_CONNECT, m);
}

/* ---- States.  */

static void
fleet_tell_region (const mq_fleet *fleet, const mq_member *about,
                   GArray *actions)
{
  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);
      mq_fleet_action *a;

      if (m == about || m->state == MQ_MEMBER_DEAD
          || !fleet_same_region (fleet, m))
        continue;
      a = fleet_push (actions, MQ_FLEET_SEND_NEWS, m);
      a->u.news.about = about;
      a->u.news.self = about == NULL;
    }
}

static void
fleet_set_state (mq_fleet *fleet, mq_member *m, mq_member_state to,
                 const char *why, GArray *actions)
{
  mq_member_state from = m->state;
  mq_fleet_action *a;

  if (from == to)
    return;
  m->state = to;
  /* Another process may run there now, which knows nobody.  */
  if (to != MQ_MEMBER_LIVE)
    m->knows_us = false;
  fleet->stale = true;
  a = fleet_push (actions, MQ_FLEET_CHANGED, m);
  a->u.changed.from = from;
  a->u.changed.to = to;
  a->u.changed.why = why;
  if (to == MQ_MEMBER_DEAD && m->incarnation != 0)
    fleet_push (actions, MQ_FLEET_ROUTER_GONE, m)->u.router = m->incarnation;
}

/* Leaving is sticky: it ends only with the incarnation.  */
static void
fleet_set_leaving (mq_fleet *fleet, mq_member *m, const char *why,
                   GArray *actions)
{
  mq_fleet_action *a;

  if (m->leaving)
    return;
  m->leaving = true;
  fleet->stale = true;
  a = fleet_push (actions, MQ_FLEET_CHANGED, m);
  a->u.changed.from = m->state;
  a->u.changed.to = m->state;
  a->u.changed.why = why;
}

/* Another process runs at M's VM now.  */
static void
fleet_restart (mq_fleet *fleet, mq_member *m, uint64_t incarnation,
               GArray *actions)
{
  if (m->incarnation != 0 && m->state != MQ_MEMBER_DEAD)
    fleet_push (actions, MQ_FLEET_ROUTER_GONE, m)->u.router = m->incarnation;
  m->incarnation = incarnation;
  m->sequence = 0;
  g_clear_pointer (&m->entry_address, mq_str_unref);
  m->leaving = false;
  m->knows_us = false;
  m->generation = 0;
  m->interval_us = 0;
  m->next_send_us = 0;
  fleet->stale = true;
  fleet_set_state (fleet, m, MQ_MEMBER_LISTED, "restarted", actions);
}

/* ---- Pace.  */

static uint32_t
fleet_count_regions (const mq_fleet *fleet)
{
  uint32_t n = 1;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);
      bool seen = fleet_same_region (fleet, m);

      for (guint k = 0; k < i && !seen; k++)
        {
          const mq_member *o = g_ptr_array_index (fleet->members, k);

          seen = mq_span_equal (mq_str_span (o->region),
                                mq_str_span (m->region));
        }
      n += !seen;
    }
  return n;
}

/* How many of our region outrank VM as a receiver of SENDER's heartbeats.  */
static uint32_t
fleet_watch_rank (const mq_fleet *fleet, mq_span sender, const mq_member *m)
{
  uint64_t s = mq_span_hash (sender);
  uint64_t mine = mq_hash_mix (s, mq_span_hash (mq_str_span (m->vm)));
  uint32_t rank = 0;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *o = g_ptr_array_index (fleet->members, i);

      if (o == m || o->state != MQ_MEMBER_LIVE
          || !fleet_same_region (fleet, o))
        continue;
      rank += mq_hash_mix (s, mq_span_hash (mq_str_span (o->vm))) > mine;
    }
  return rank;
}

/* Is M one of the routers that speak for its region?  */
static bool
fleet_is_gateway (const mq_fleet *fleet, const mq_member *m)
{
  uint64_t mine = mq_span_hash (mq_str_span (m->vm));
  uint32_t rank = 0;

  for (guint i = 0; i <= fleet->members->len; i++)
    {
      const mq_member *o = i == fleet->members->len
                               ? fleet->self
                               : g_ptr_array_index (fleet->members, i);

      if (o == m || o->state != MQ_MEMBER_LIVE
          || !mq_span_equal (mq_str_span (o->region), mq_str_span (m->region)))
        continue;
      rank += mq_span_hash (mq_str_span (o->vm)) > mine;
    }
  return rank < GATEWAYS;
}

/* How long until the next heartbeat to M; 0 when none is sent.  */
static uint64_t
fleet_interval_to (const mq_fleet *fleet, const mq_member *m)
{
  if (!fleet_same_region (fleet, m))
    return fleet_is_gateway (fleet, fleet->self) && fleet_is_gateway (fleet, m)
               ? fleet->pace.gateway_us
               : 0;
  if (m->state == MQ_MEMBER_LISTED
      && fleet->last_us - m->heard_us < FIRST_PROBES_US)
    return FIRST_PROBE_US;
  if (m->state == MQ_MEMBER_LISTED || m->state == MQ_MEMBER_DEAD)
    return MAX (PROBE_US, fleet->pace.watcher_us);
  if (fleet_watch_rank (fleet, mq_str_span (fleet->self->vm), m)
      < MQ_FLEET_WATCHERS)
    return fleet->pace.watcher_us;
  return fleet->pace.other_us;
}

/* A hash of the live members as this router sees them.  A sum, so that it
   does not depend on an order.  */
static uint64_t
fleet_hash (const mq_fleet *fleet)
{
  uint64_t sum = 0;

  for (guint i = 0; i <= fleet->members->len; i++)
    {
      const mq_member *m = i == fleet->members->len
                               ? fleet->self
                               : g_ptr_array_index (fleet->members, i);

      if (m->state != MQ_MEMBER_LIVE || !fleet_same_region (fleet, m))
        continue;
      sum += mq_hash_mix (mq_span_hash (mq_str_span (m->vm)),
                          m->incarnation * 2 + m->leaving);
    }
  return sum;
}

/* Note when M begins or ends to take work; true when it just did.  */
static bool
fleet_note_work (const mq_fleet *fleet, mq_member *m, uint64_t now)
{
  bool takes = mq_fleet_takes_work (fleet, m);

  if (takes == m->took_work)
    return false;
  m->took_work = takes;
  m->changed_us = now;
  return true;
}

/* Work out again what follows from the members.  */
static void
fleet_refresh (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  uint32_t n = 1;
  bool changed = fleet_note_work (fleet, fleet->self, now);

  if (!fleet->stale)
    return;
  fleet->stale = false;
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      n += fleet_same_region (fleet, m) && m->state != MQ_MEMBER_DEAD;
      changed |= fleet_note_work (fleet, m, now);
    }
  fleet->pace = mq_fleet_pace_for (n, fleet_count_regions (fleet),
                                   fleet->heartbeat_bytes);
  if (fleet->fixed_interval_us != 0)
    fleet->pace.watcher_us = fleet->fixed_interval_us;
  fleet->pace.other_us = MAX (fleet->pace.other_us, fleet->pace.watcher_us);
  fleet->hash = fleet_hash (fleet);
  if (changed)
    fleet_push (actions, MQ_FLEET_OWNERS_CHANGED, NULL);
}

/* ---- Sending.  */

static void
fleet_send (mq_fleet *fleet, mq_member *m, uint64_t now, GArray *actions)
{
  uint64_t interval = fleet_interval_to (fleet, m);
  mq_heartbeat *h
      = &fleet_push (actions, MQ_FLEET_SEND_HEARTBEAT, m)->u.heartbeat;

  if (!m->knows_us)
    {
      h->vm = mq_str_span (fleet->self->vm);
      h->peer_address = mq_str_span (fleet->self->peer_address);
      h->entry_address = mq_str_span (fleet->self->entry_address);
      h->failure_domain = mq_str_span (fleet->self->failure_domain);
      h->region = mq_str_span (fleet->self->region);
    }
  h->incarnation = fleet->self->incarnation;
  h->sequence = fleet->self->sequence;
  h->generation = fleet->self->generation;
  h->interval_us = interval;
  h->members_hash = fleet->hash;
  /* 0 asks for an introduction, also where news named the incarnation.  */
  h->receiver_incarnation = m->entry_address != NULL ? m->incarnation : 0;
  h->receiver_sequence = m->sequence;
  h->receiver_state = m->state;
  h->load = fleet->self->load;
  h->leaving = fleet->self->leaving;
  if (interval == 0)
    m->next_send_us = m->knows_us ? UINT64_MAX : now + PROBE_US;
  else
    m->next_send_us = now + interval;
}

static void
fleet_send_due (mq_fleet *fleet, uint64_t now, bool all, GArray *actions)
{
  bool counted = false;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (!all && m->next_send_us > now)
        continue;
      if (!counted)
        fleet->self->sequence++;
      counted = true;
      fleet_send (fleet, m, now, actions);
    }
}

/* ---- Our own pauses.  */

static void
fleet_check_gap (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  uint64_t gap = now - fleet->last_us;
  uint64_t limit = fleet->pace.watcher_us * MQ_FLEET_SUSPECT_MISSES;

  if (fleet->last_us == 0 || gap < limit)
    {
      fleet->last_us = now;
      return;
    }
  fleet->last_us = now;
  fleet->rejoin_until_us = now + limit;
  fleet->rejoin_sequence = fleet->self->sequence + 1;
  fleet->heard_since_pause = 0;
  fleet->stale = true;
  fleet_push (actions, MQ_FLEET_PAUSED, NULL)->u.gap_us = gap;
  /* Others' silence while we slept says nothing about them; but only what
     they say from now on makes them live again.  */
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      m->heard_us = now;
      if (m->state == MQ_MEMBER_LIVE)
        fleet_set_state (fleet, m, MQ_MEMBER_SUSPECT, "we paused", actions);
    }
  fleet_send_due (fleet, now, true, actions);
}

/* Over when all whom we knew to be alive were heard again, or have been
   given time for it.  */
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
      && (awaited > 0 || fleet->heard_since_pause == 0))
    return;
  fleet->rejoin_until_us = 0;
  fleet->stale = true;
  fleet_push (actions, MQ_FLEET_REJOINED, NULL);
}

/* ---- Events.  */

static bool
list_names (const mq_fleet_event *event, mq_span vm)
{
  for (size_t i = 0; i < event->u.list.n; i++)
    if (mq_span_equal (event->u.list.vms[i].vm, vm))
      return true;
  return false;
}

/* Members that the list no longer names and nobody hears are forgotten.  */
static void
fleet_forget (mq_fleet *fleet, const mq_fleet_event *event, GArray *actions)
{
  for (guint i = fleet->members->len; i-- > 0;)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      m->listed = list_names (event, mq_str_span (m->vm));
      if (m->listed || m->state == MQ_MEMBER_LIVE
          || m->state == MQ_MEMBER_SUSPECT)
        continue;
      if (event->now_us - m->heard_us < FORGET_US)
        continue;
      fleet_disconnect (m->peer_address, actions);
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
            fleet_push (actions, MQ_FLEET_TOLD_TO_LEAVE, NULL);
          continue;
        }
      m = fleet_lookup (fleet, v->vm);
      if (m == NULL)
        m = fleet_add (fleet, v->vm, v->peer_address, event->now_us, actions);
      else if (m->incarnation == 0)
        fleet_move (m, v->peer_address, actions);
      if (!v->leaving || m->leaving)
        continue;
      fleet_set_leaving (fleet, m, "listed as leaving", actions);
      fleet_tell_region (fleet, m, actions);
    }
  fleet_forget (fleet, event, actions);
}

/* The member that sent H, or NULL when the message is to be dropped.  */
static mq_member *
fleet_sender (mq_fleet *fleet, const mq_heartbeat *h, uint64_t now,
              GArray *actions)
{
  mq_member *m;

  if (h->vm.size == 0)
    m = fleet_lookup_incarnation (fleet, h->incarnation);
  else
    m = fleet_lookup (fleet, h->vm);
  if (m == NULL && h->vm.size > 0 && h->peer_address.size > 0
      && !mq_span_equal (h->vm, mq_str_span (fleet->self->vm)))
    m = fleet_add (fleet, h->vm, h->peer_address, now, actions);
  if (m == NULL || h->incarnation < m->incarnation)
    return NULL;
  if (h->incarnation > m->incarnation)
    fleet_restart (fleet, m, h->incarnation, actions);
  return h->sequence > m->sequence ? m : NULL;
}

/* What lay in our buffers while we slept is old: after a pause only an answer
   to what we have sent since counts.  */
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
  bool tell;

  if (m == NULL)
    {
      fleet->dropped++;
      return;
    }
  fleet_move (m, h->peer_address, actions);
  str_replace (&m->entry_address, h->entry_address);
  str_replace (&m->failure_domain, h->failure_domain);
  str_replace (&m->region, h->region);
  m->sequence = h->sequence;
  fleet->stale |= (m->generation == 0) != (h->generation == 0);
  m->generation = h->generation;
  m->load = h->load;
  m->interval_us = MIN (h->interval_us, MAX_INTERVAL_US);
  m->heard_us = now;
  m->knows_us = h->receiver_incarnation == fleet->self->incarnation;
  if (fleet_is_fresh (fleet, h))
    {
      fleet->heard_since_pause++;
      if (m->entry_address != NULL)
        fleet_set_state (fleet, m, MQ_MEMBER_LIVE, "heard", actions);
    }
  tell = h->leaving && !m->leaving;
  if (h->leaving)
    fleet_set_leaving (fleet, m, "says so", actions);
  /* The first to hear tells the rest; the watchers hear first.  */
  if (tell && m->interval_us <= fleet->pace.watcher_us)
    fleet_tell_region (fleet, m, actions);
  /* It does not know us, or holds us for dead: answer at once.  */
  if (!m->knows_us || h->receiver_state != MQ_MEMBER_LIVE)
    m->next_send_us = MIN (m->next_send_us, now + FIRST_PROBE_US / 2);
}

/* Two that differ for some time tell one another all they know.  */
static void
fleet_compare (mq_fleet *fleet, const mq_heartbeat *h, uint64_t now,
               GArray *actions)
{
  mq_member *m = fleet_lookup_incarnation (fleet, h->incarnation);
  mq_fleet_action *a;

  if (m == NULL || !fleet_same_region (fleet, m))
    return;
  if (h->members_hash == fleet->hash)
    {
      m->synced_us = now;
      return;
    }
  if (m->synced_us != 0 && now - m->synced_us < SYNC_US)
    return;
  m->synced_us = now;
  a = fleet_push (actions, MQ_FLEET_SEND_NEWS, m);
  a->u.news.about = NULL;
  a->u.news.self = false;
}

/* Others think that we are not alive: show them.  */
static void
fleet_refute (mq_fleet *fleet, const mq_member_news *news)
{
  if (news->incarnation != fleet->self->incarnation
      || news->state == MQ_MEMBER_LIVE)
    return;
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (fleet_same_region (fleet, m))
        m->next_send_us = 0;
    }
}

static void
fleet_on_news_item (mq_fleet *fleet, const mq_member_news *news, uint64_t now,
                    GArray *actions)
{
  mq_member *m;

  if (mq_span_equal (news->vm, mq_str_span (fleet->self->vm)))
    {
      fleet_refute (fleet, news);
      return;
    }
  m = fleet_lookup (fleet, news->vm);
  if (m == NULL)
    {
      if (news->state == MQ_MEMBER_LIVE && news->peer_address.size > 0)
        fleet_add (fleet, news->vm, news->peer_address, now, actions);
      return;
    }
  if (news->incarnation < m->incarnation)
    return;
  if (news->incarnation > m->incarnation)
    {
      fleet_move (m, news->peer_address, actions);
      fleet_restart (fleet, m, news->incarnation, actions);
      m->heard_us = now;
    }
  if (news->leaving)
    fleet_set_leaving (fleet, m, "told by a peer", actions);
  /* A bad word counts only from one who heard at least as much of it.  */
  if (news->sequence < m->sequence || m->state == MQ_MEMBER_LISTED)
    return;
  if (news->state == MQ_MEMBER_DEAD && m->state != MQ_MEMBER_DEAD)
    fleet_set_state (fleet, m, MQ_MEMBER_DEAD, "told by a peer", actions);
  if (news->state == MQ_MEMBER_SUSPECT && m->state == MQ_MEMBER_LIVE)
    fleet_set_state (fleet, m, MQ_MEMBER_SUSPECT, "told by a peer", actions);
}

static void
fleet_on_news (mq_fleet *fleet, const mq_fleet_event *event, GArray *actions)
{
  if (fleet_lookup_incarnation (fleet, event->u.news.sender) == NULL)
    {
      fleet->dropped++;
      return;
    }
  for (size_t i = 0; i < event->u.news.n; i++)
    fleet_on_news_item (fleet, &event->u.news.items[i], event->now_us,
                        actions);
}

static void
fleet_judge (mq_fleet *fleet, mq_member *m, uint64_t now, GArray *actions)
{
  uint64_t silence = now - m->heard_us;
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
  fleet_set_state (fleet, m, to, "silent", actions);
  if (fleet->rejoin_until_us == 0 && m->interval_us <= fleet->pace.watcher_us)
    fleet_tell_region (fleet, m, actions);
}

static void
fleet_judge_all (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  for (guint i = 0; i < fleet->members->len; i++)
    fleet_judge (fleet, g_ptr_array_index (fleet->members, i), now, actions);
}

static void
fleet_on_leave (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  if (fleet->self->leaving)
    return;
  fleet->self->leaving = true;
  fleet->stale = true;
  fleet_tell_region (fleet, NULL, actions);
  fleet_send_due (fleet, now, true, actions);
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (fleet_same_region (fleet, m))
        m->next_send_us = now + GOODBYE_US;
    }
}

/* ---- Public.  */

const char *
mq_member_state_name (mq_member_state state)
{
  return state_names[state];
}

uint64_t
mq_fleet_incarnation (uint64_t epoch_ms, uint64_t random)
{
  return ((epoch_ms + 1) << 20) | (random & ((1U << 20) - 1));
}

mq_fleet_pace
mq_fleet_pace_for (uint32_t members, uint32_t regions,
                   uint32_t heartbeat_bytes)
{
  uint64_t second = UINT64_C (1000) * 1000;
  uint64_t cost = 2 * (uint64_t)heartbeat_bytes; /* Sent and received.  */
  uint64_t others = members > 0 ? members - 1 : 0;
  uint64_t watchers = MIN (others, MQ_FLEET_WATCHERS);
  uint64_t rest = others - watchers;
  uint64_t gateways = regions > 1 ? (regions - 1) * GATEWAYS : 0;
  mq_fleet_pace p;

  p.watcher_us = watchers * cost * second / WATCHER_BUDGET;
  p.watcher_us = MAX (p.watcher_us, MIN_INTERVAL_US);
  p.other_us = MAX (rest * cost * second / OTHER_BUDGET, p.watcher_us);
  p.gateway_us = MAX (gateways * cost * second / GATEWAY_BUDGET, second);
  return p;
}

GArray *
mq_fleet_actions_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (mq_fleet_action));

  g_array_set_clear_func (a, fleet_action_clear);
  return a;
}

mq_fleet *
mq_fleet_new (const mq_fleet_options *options)
{
  mq_fleet *f = g_new0 (mq_fleet, 1);

  f->members = g_ptr_array_new_with_free_func (member_free);
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
  f->pace = mq_fleet_pace_for (1, 1, f->heartbeat_bytes);
  f->hash = fleet_hash (f);
  return f;
}

void
mq_fleet_free (mq_fleet *fleet)
{
  if (fleet == NULL)
    return;
  g_ptr_array_unref (fleet->members);
  member_free (fleet->self);
  g_free (fleet);
}

void
mq_fleet_handle (mq_fleet *fleet, const mq_fleet_event *event, GArray *actions)
{
  uint64_t now = event->now_us;

  fleet_check_gap (fleet, now, actions);
  switch (event->kind)
    {
    case MQ_FLEET_LIST:
      fleet_on_list (fleet, event, actions);
      break;
    case MQ_FLEET_HEARTBEAT:
      fleet_on_heartbeat (fleet, event, actions);
      break;
    case MQ_FLEET_NEWS:
      fleet_on_news (fleet, event, actions);
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
  fleet_judge_all (fleet, now, actions);
  fleet_check_rejoined (fleet, now, actions);
  fleet_refresh (fleet, now, actions);
  if (event->kind == MQ_FLEET_HEARTBEAT)
    fleet_compare (fleet, &event->u.heartbeat, now, actions);
  fleet_send_due (fleet, now, false, actions);
}

/* When M's silence will change its state; UINT64_MAX: never.  */
static uint64_t
member_judged_us (const mq_member *m)
{
  if (m->interval_us == 0)
    return UINT64_MAX;
  if (m->state == MQ_MEMBER_LIVE)
    return m->heard_us + m->interval_us * MQ_FLEET_SUSPECT_MISSES + 1;
  if (m->state == MQ_MEMBER_SUSPECT)
    return m->heard_us + m->interval_us * MQ_FLEET_DEAD_MISSES + 1;
  return UINT64_MAX;
}

uint64_t
mq_fleet_next_tick (const mq_fleet *fleet)
{
  uint64_t next = fleet->last_us + fleet->pace.watcher_us;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);

      next = MIN (next, m->next_send_us);
      next = MIN (next, member_judged_us (m));
    }
  return MAX (next, fleet->last_us + 1000);
}

size_t
mq_fleet_size (const mq_fleet *fleet)
{
  return fleet->members->len;
}

const mq_member *
mq_fleet_member (const mq_fleet *fleet, size_t index)
{
  return g_ptr_array_index (fleet->members, index);
}

const mq_member *
mq_fleet_find (const mq_fleet *fleet, mq_span vm)
{
  return fleet_lookup (fleet, vm);
}

const mq_member *
mq_fleet_find_incarnation (const mq_fleet *fleet, uint64_t incarnation)
{
  return fleet_lookup_incarnation (fleet, incarnation);
}

const mq_member *
mq_fleet_self (const mq_fleet *fleet)
{
  return fleet->self;
}

bool
mq_fleet_may_own (const mq_fleet *fleet)
{
  return fleet->rejoin_until_us == 0;
}

bool
mq_fleet_is_gateway (const mq_fleet *fleet)
{
  return fleet_is_gateway (fleet, fleet->self);
}

uint32_t
mq_fleet_live_count (const mq_fleet *fleet)
{
  uint32_t n = mq_fleet_takes_work (fleet, fleet->self);

  for (guint i = 0; i < fleet->members->len; i++)
    n += mq_fleet_takes_work (fleet, g_ptr_array_index (fleet->members, i));
  return n;
}

uint32_t
mq_fleet_known_count (const mq_fleet *fleet)
{
  uint32_t n = 1;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);

      n += fleet_same_region (fleet, m) && !m->leaving
           && (m->listed || m->state == MQ_MEMBER_LIVE
               || m->state == MQ_MEMBER_SUSPECT);
    }
  return n;
}

uint64_t
mq_fleet_dropped (const mq_fleet *fleet)
{
  return fleet->dropped;
}
