/* Heartbeat intervals: how often each member receives a heartbeat, and its
   content.

   A router's control traffic stays within a byte budget, however large the
   fleet.  So a few members of the region, its watchers, receive its heartbeats
   at a short interval and the others at a long one; between regions only the
   region relays exchange heartbeats.

   Invariants:
   - the budgets below hold at any size, except for probes to members without a
     received heartbeat and where the options fix the interval;
   - watchers and region relays are chosen by a rank from hashes, so that two
     routers with the same view agree without a message;
   - a heartbeat states the interval until the next one; 0 states none;
   - the intervals, the hash and the owners are recomputed together, and only
     while the fleet is stale.  */

#include <mq/internal/membership.h>

/* Sent and received, for each kind of traffic; together below the 8 KB/s that
   a router may spend on control traffic.  */
#define WATCHER_BUDGET_BYTES_PER_S 4500
#define OTHER_BUDGET_BYTES_PER_S 1500
#define REGION_RELAY_BUDGET_BYTES_PER_S 800

#define MIN_INTERVAL_US (UINT64_C (400) * 1000)
/* To members without a received heartbeat.  */
#define PROBE_INTERVAL_US (UINT64_C (2) * 1000 * 1000)
/* How long a new member is probed at MQ_FLEET_FIRST_PROBE_INTERVAL_US.  */
#define FAST_PROBE_PERIOD_US (UINT64_C (2) * 1000 * 1000)
#define RELAYS_PER_REGION 2

/* ---- Receivers and intervals.  */

static uint32_t
fleet_count_regions (const mq_fleet *fleet)
{
  uint32_t n = 1;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);
      bool seen = mq_fleet_is_in_our_region (fleet, m);

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

/* Returns how many members of our region rank above M as receivers of SENDER's
   heartbeats.  */
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
          || !mq_fleet_is_in_our_region (fleet, o))
        continue;
      rank += mq_hash_mix (s, mq_span_hash (mq_str_span (o->vm))) > mine;
    }
  return rank;
}

/* Returns true if M is one of the relays of its region.  */
static bool
fleet_is_region_relay (const mq_fleet *fleet, const mq_member *m)
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
  return rank < RELAYS_PER_REGION;
}

bool
mq_fleet_is_region_relay (const mq_fleet *fleet)
{
  return fleet_is_region_relay (fleet, fleet->self);
}

mq_heartbeat_intervals
mq_heartbeat_intervals_for (uint32_t members, uint32_t regions,
                            uint32_t heartbeat_bytes)
{
  uint64_t second = UINT64_C (1000) * 1000;
  uint64_t cost = 2 * (uint64_t)heartbeat_bytes; /* Sent and received.  */
  uint64_t others = members > 0 ? members - 1 : 0;
  uint64_t watchers = MIN (others, MQ_FLEET_MAX_WATCHERS);
  uint64_t rest = others - watchers;
  uint64_t relays = regions > 1 ? (regions - 1) * RELAYS_PER_REGION : 0;
  mq_heartbeat_intervals p;

  p.watcher_us = watchers * cost * second / WATCHER_BUDGET_BYTES_PER_S;
  p.watcher_us = MAX (p.watcher_us, MIN_INTERVAL_US);
  p.other_us
      = MAX (rest * cost * second / OTHER_BUDGET_BYTES_PER_S, p.watcher_us);
  p.region_relay_us
      = MAX (relays * cost * second / REGION_RELAY_BUDGET_BYTES_PER_S, second);
  return p;
}

/* Returns the interval of heartbeats to M; 0 when none are sent.  */
static uint64_t
fleet_interval_to (const mq_fleet *fleet, const mq_member *m)
{
  if (!mq_fleet_is_in_our_region (fleet, m))
    return fleet_is_region_relay (fleet, fleet->self)
                   && fleet_is_region_relay (fleet, m)
               ? fleet->intervals.region_relay_us
               : 0;
  if (m->state == MQ_MEMBER_LISTED
      && fleet->last_us - m->received_us < FAST_PROBE_PERIOD_US)
    return MQ_FLEET_FIRST_PROBE_INTERVAL_US;
  if (m->state == MQ_MEMBER_LISTED || m->state == MQ_MEMBER_DEAD)
    return MAX (PROBE_INTERVAL_US, fleet->intervals.watcher_us);
  if (fleet_watch_rank (fleet, mq_str_span (fleet->self->vm), m)
      < MQ_FLEET_MAX_WATCHERS)
    return fleet->intervals.watcher_us;
  return fleet->intervals.other_us;
}

/* ---- Recomputing the derived state.  */

/* A sum, so that it does not depend on the order of the members.  */
uint64_t
mq_fleet_hash_live (const mq_fleet *fleet)
{
  uint64_t sum = 0;

  for (guint i = 0; i <= fleet->members->len; i++)
    {
      const mq_member *m = i == fleet->members->len
                               ? fleet->self
                               : g_ptr_array_index (fleet->members, i);

      if (m->state != MQ_MEMBER_LIVE || !mq_fleet_is_in_our_region (fleet, m))
        continue;
      sum += mq_hash_mix (mq_span_hash (mq_str_span (m->vm)),
                          m->incarnation * 2 + m->leaving);
    }
  return sum;
}

/* Records when M becomes or ceases to be eligible for work; returns true if it
   just did.  */
static bool
fleet_update_eligibility (const mq_fleet *fleet, mq_member *m, uint64_t now)
{
  bool takes = mq_fleet_is_eligible (fleet, m);

  if (takes == m->was_eligible)
    return false;
  m->was_eligible = takes;
  m->changed_us = now;
  return true;
}

void
mq_fleet_refresh (mq_fleet *fleet, uint64_t now, GArray *actions)
{
  uint32_t n = 1;
  bool changed = fleet_update_eligibility (fleet, fleet->self, now);

  if (!fleet->stale)
    return;
  fleet->stale = false;
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      n += mq_fleet_is_in_our_region (fleet, m) && m->state != MQ_MEMBER_DEAD;
      changed |= fleet_update_eligibility (fleet, m, now);
    }
  fleet->intervals = mq_heartbeat_intervals_for (
      n, fleet_count_regions (fleet), fleet->heartbeat_bytes);
  if (fleet->fixed_interval_us != 0)
    fleet->intervals.watcher_us = fleet->fixed_interval_us;
  fleet->intervals.other_us
      = MAX (fleet->intervals.other_us, fleet->intervals.watcher_us);
  fleet->hash = mq_fleet_hash_live (fleet);
  if (changed)
    mq_fleet_push (actions, MQ_FLEET_OWNERS_CHANGED, NULL);
}

/* ---- Sending.  */

static void
fleet_send_heartbeat (mq_fleet *fleet, mq_member *m, uint64_t now,
                      GArray *actions)
{
  uint64_t interval = fleet_interval_to (fleet, m);
  mq_heartbeat *h
      = &mq_fleet_push (actions, MQ_FLEET_SEND_HEARTBEAT, m)->u.heartbeat;

  if (!m->has_introduction)
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
  /* 0 requests an introduction, also where only an update named the
   * incarnation.  */
  h->receiver_incarnation = m->entry_address != NULL ? m->incarnation : 0;
  h->receiver_sequence = m->sequence;
  h->receiver_state = m->state;
  h->load = fleet->self->load;
  h->leaving = fleet->self->leaving;
  if (interval == 0)
    m->next_send_us
        = m->has_introduction ? UINT64_MAX : now + PROBE_INTERVAL_US;
  else
    m->next_send_us = now + interval;
}

void
mq_fleet_send_heartbeats (mq_fleet *fleet, uint64_t now, bool all,
                          GArray *actions)
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
      fleet_send_heartbeat (fleet, m, now, actions);
    }
}
