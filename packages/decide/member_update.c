/* The news of others: what members tell one another of third ones.

   Only a member's watchers miss its heartbeats soon.  They tell the region,
   so that the time to notice a death does not grow with it; and two routers
   whose views differ for some time tell one another all they know.

   Invariants:
   - news is taken only from a member that was heard of by its incarnation;
   - news of an older incarnation counts for nothing, and a word of suspicion
   or death only from one who heard at least as much of the member;
   - news never makes a member live: only its own heartbeat does.  */

#include <mq/internal/membership.h>

#define MIN_SYNC_INTERVAL_US                                                  \
  (UINT64_C (5) * 1000 * 1000) /* Between two full tellings. */

/* ---- Telling.  */

void
mq_fleet_notify_region (const mq_fleet *fleet, const mq_member *about,
                        GArray *actions)
{
  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);
      mq_fleet_action *a;

      if (m == about || m->state == MQ_MEMBER_DEAD
          || !mq_fleet_is_in_our_region (fleet, m))
        continue;
      a = mq_fleet_push (actions, MQ_FLEET_SEND_MEMBER_UPDATES, m);
      a->u.news.about = about;
      a->u.news.self = about == NULL;
    }
}

/* Two that differ for some time tell one another all they know.  */
void
mq_fleet_compare_views (mq_fleet *fleet, const mq_heartbeat *h, uint64_t now,
                        GArray *actions)
{
  mq_member *m = mq_fleet_lookup_incarnation (fleet, h->incarnation);
  mq_fleet_action *a;

  if (m == NULL || !mq_fleet_is_in_our_region (fleet, m))
    return;
  if (h->members_hash == fleet->hash)
    {
      m->synced_us = now;
      return;
    }
  if (m->synced_us != 0 && now - m->synced_us < MIN_SYNC_INTERVAL_US)
    return;
  m->synced_us = now;
  a = mq_fleet_push (actions, MQ_FLEET_SEND_MEMBER_UPDATES, m);
  a->u.news.about = NULL;
  a->u.news.self = false;
}

/* ---- Being told.  */

/* Others think that we are not alive: show them.  */
static void
fleet_refute (mq_fleet *fleet, const mq_member_update *update)
{
  if (update->incarnation != fleet->self->incarnation
      || update->state == MQ_MEMBER_LIVE)
    return;
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (mq_fleet_is_in_our_region (fleet, m))
        m->next_send_us = 0;
    }
}

static void
fleet_on_update (mq_fleet *fleet, const mq_member_update *update, uint64_t now,
                 GArray *actions)
{
  mq_member *m;

  if (mq_span_equal (update->vm, mq_str_span (fleet->self->vm)))
    {
      fleet_refute (fleet, update);
      return;
    }
  m = mq_fleet_lookup (fleet, update->vm);
  if (m == NULL)
    {
      if (update->state == MQ_MEMBER_LIVE && update->peer_address.size > 0)
        mq_fleet_add (fleet, update->vm, update->peer_address, now, actions);
      return;
    }
  if (update->incarnation < m->incarnation)
    return;
  if (update->incarnation > m->incarnation)
    {
      mq_fleet_set_address (m, update->peer_address, actions);
      mq_fleet_set_incarnation (fleet, m, update->incarnation, actions);
      m->received_us = now;
    }
  if (update->leaving)
    mq_fleet_set_leaving (fleet, m, "told by a peer", actions);
  /* A bad word counts only from one who heard at least as much of it.  */
  if (update->sequence < m->sequence || m->state == MQ_MEMBER_LISTED)
    return;
  if (update->state == MQ_MEMBER_DEAD && m->state != MQ_MEMBER_DEAD)
    mq_fleet_set_state (fleet, m, MQ_MEMBER_DEAD, "told by a peer", actions);
  if (update->state == MQ_MEMBER_SUSPECT && m->state == MQ_MEMBER_LIVE)
    mq_fleet_set_state (fleet, m, MQ_MEMBER_SUSPECT, "told by a peer",
                        actions);
}

void
mq_fleet_on_member_updates (mq_fleet *fleet, const mq_fleet_event *event,
                            GArray *actions)
{
  if (mq_fleet_lookup_incarnation (fleet, event->u.news.sender) == NULL)
    {
      fleet->dropped++;
      return;
    }
  for (size_t i = 0; i < event->u.news.n; i++)
    fleet_on_update (fleet, &event->u.news.items[i], event->now_us, actions);
}
