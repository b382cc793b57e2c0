/* Member updates: what members report to one another about others.

   Only a member's watchers detect missed heartbeats quickly.  They notify the
   region, so the detection time does not grow with it.  Two routers whose
   views differ for some time send each other all members.

   Invariants:
   - updates are accepted only from a sender whose incarnation is known;
   - updates about an older incarnation are ignored, and a suspicion or death
     counts only if the reporter received at least as many of the member's
     heartbeats;
   - an update never makes a member live: only its own heartbeat does.  */

#include <mq/internal/membership.h>

#define MIN_SYNC_INTERVAL_US                                                  \
  (UINT64_C (5) * 1000 * 1000) /* Between two exchanges of all members.  */

/* ---- Sending.  */

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
      a->u.updates.about = about;
      a->u.updates.self = about == NULL;
    }
}

/* Two routers whose views differ for some time send each other all members. */
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
  a->u.updates.about = NULL;
  a->u.updates.self = false;
}

/* ---- Receiving.  */

/* Refutes an update that says that this router is not live, by sending
   heartbeats at once.  */
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
  /* Suspicion and death count only if the reporter has received at least the
     heartbeats that we have.  */
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
  if (mq_fleet_lookup_incarnation (fleet, event->u.updates.sender) == NULL)
    {
      fleet->dropped++;
      return;
    }
  for (size_t i = 0; i < event->u.updates.n; i++)
    fleet_on_update (fleet, &event->u.updates.items[i], event->now_us,
                     actions);
}
