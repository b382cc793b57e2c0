/* The table of members: the routers that this one knows, and their states.

   Heartbeats, member updates and the platform's list all refer to the members
   of this one table.  Only this file changes a member's state, its leaving
   flag or its incarnation, so that each change is reported.

   Invariants:
   - the members are in an array sorted by name, so that two routers with the
     same members iterate in the same order; the router itself is not among
     them;
   - each change of state or of leaving pushes MQ_FLEET_MEMBER_CHANGED and
     marks the fleet stale; a death, and a restart of one that was not dead,
     also pushes MQ_FLEET_ROUTER_ENDED;
   - leaving is never revoked within one incarnation;
   - each address in the table was announced by MQ_FLEET_CONNECT, and each one
     replaced by MQ_FLEET_DISCONNECT.  */

#include <mq/internal/membership.h>

static const char *const state_names[]
    = { "listed", "live", "suspect", "dead" };

/* ---- Actions.  */

static void
fleet_action_clear (gpointer data)
{
  mq_fleet_action *a = data;

  if (a->kind == MQ_FLEET_DISCONNECT)
    mq_str_unref (a->u.address);
}

GArray *
mq_fleet_actions_new (void)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (mq_fleet_action));

  g_array_set_clear_func (a, fleet_action_clear);
  return a;
}

mq_fleet_action *
mq_fleet_push (GArray *actions, mq_fleet_action_kind kind,
               const mq_member *member)
{
  mq_fleet_action a = { .kind = kind, .member = member };

  g_array_append_val (actions, a);
  return &g_array_index (actions, mq_fleet_action, actions->len - 1);
}

/* ---- Lookup and removal of members.  */

void
mq_member_free (gpointer data)
{
  mq_member *m = data;

  mq_str_unref (m->vm);
  mq_str_unref (m->peer_address);
  mq_str_unref (m->entry_address);
  mq_str_unref (m->failure_domain);
  mq_str_unref (m->region);
  g_free (m);
}

void
mq_member_set_text (mq_str **field, mq_span text)
{
  if (text.size == 0 || mq_span_equal (mq_str_span (*field), text))
    return;
  mq_str_unref (*field);
  *field = mq_str_new (text);
}

bool
mq_fleet_is_in_our_region (const mq_fleet *fleet, const mq_member *m)
{
  return m->region == NULL
         || mq_span_equal (mq_str_span (m->region),
                           mq_str_span (fleet->self->region));
}

bool
mq_fleet_is_eligible (const mq_fleet *fleet, const mq_member *m)
{
  if (m->leaving || m->generation == 0)
    return false;
  if (m == fleet->self)
    return fleet->rejoin_until_us == 0;
  return m->state == MQ_MEMBER_LIVE && mq_fleet_is_in_our_region (fleet, m);
}

/* Returns the position of VM, or the one at which it would be inserted.  */
static guint
fleet_position (const mq_fleet *fleet, mq_span vm)
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

mq_member *
mq_fleet_lookup (const mq_fleet *fleet, mq_span vm)
{
  guint i = fleet_position (fleet, vm);

  if (i < fleet->members->len)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (mq_span_equal (mq_str_span (m->vm), vm))
        return m;
    }
  return NULL;
}

mq_member *
mq_fleet_lookup_incarnation (const mq_fleet *fleet, uint64_t incarnation)
{
  for (guint i = 0; i < fleet->members->len; i++)
    {
      mq_member *m = g_ptr_array_index (fleet->members, i);

      if (m->incarnation == incarnation)
        return m;
    }
  return NULL;
}

mq_member *
mq_fleet_add (mq_fleet *fleet, mq_span vm, mq_span address, uint64_t now,
              GArray *actions)
{
  mq_member *m = g_new0 (mq_member, 1);

  m->vm = mq_str_new (vm);
  m->peer_address = mq_str_new (address);
  m->state = MQ_MEMBER_LISTED;
  m->received_us = now;
  m->next_send_us = now;
  g_ptr_array_insert (fleet->members, (gint)fleet_position (fleet, vm), m);
  fleet->stale = true;
  mq_fleet_push (actions, MQ_FLEET_CONNECT, m);
  return m;
}

void
mq_fleet_disconnect (mq_str *address, GArray *actions)
{
  mq_fleet_push (actions, MQ_FLEET_DISCONNECT, NULL)->u.address
      = mq_str_ref (address);
}

void
mq_fleet_set_address (mq_member *m, mq_span address, GArray *actions)
{
  if (address.size == 0
      || mq_span_equal (mq_str_span (m->peer_address), address))
    return;
  mq_fleet_disconnect (m->peer_address, actions);
  mq_member_set_text (&m->peer_address, address);
  mq_fleet_push (actions, MQ_FLEET_CONNECT, m);
}

/* ---- States.  */

void
mq_fleet_set_state (mq_fleet *fleet, mq_member *m, mq_member_state to,
                    const char *why, GArray *actions)
{
  mq_member_state from = m->state;
  mq_fleet_action *a;

  if (from == to)
    return;
  m->state = to;
  /* Another process, which knows no member, may run there now.  */
  if (to != MQ_MEMBER_LIVE)
    m->has_introduction = false;
  fleet->stale = true;
  a = mq_fleet_push (actions, MQ_FLEET_MEMBER_CHANGED, m);
  a->u.changed.from = from;
  a->u.changed.to = to;
  a->u.changed.why = why;
  if (to == MQ_MEMBER_DEAD && m->incarnation != 0)
    mq_fleet_push (actions, MQ_FLEET_ROUTER_ENDED, m)->u.router
        = m->incarnation;
}

/* Leaving ends only with the incarnation.  */
void
mq_fleet_set_leaving (mq_fleet *fleet, mq_member *m, const char *why,
                      GArray *actions)
{
  mq_fleet_action *a;

  if (m->leaving)
    return;
  m->leaving = true;
  fleet->stale = true;
  a = mq_fleet_push (actions, MQ_FLEET_MEMBER_CHANGED, m);
  a->u.changed.from = m->state;
  a->u.changed.to = m->state;
  a->u.changed.why = why;
}

void
mq_fleet_set_incarnation (mq_fleet *fleet, mq_member *m, uint64_t incarnation,
                          GArray *actions)
{
  if (m->incarnation != 0 && m->state != MQ_MEMBER_DEAD)
    mq_fleet_push (actions, MQ_FLEET_ROUTER_ENDED, m)->u.router
        = m->incarnation;
  m->incarnation = incarnation;
  m->sequence = 0;
  g_clear_pointer (&m->entry_address, mq_str_unref);
  m->leaving = false;
  m->has_introduction = false;
  m->generation = 0;
  m->interval_us = 0;
  m->next_send_us = 0;
  fleet->stale = true;
  mq_fleet_set_state (fleet, m, MQ_MEMBER_LISTED, "restarted", actions);
}

/* ---- Accessors.  */

const char *
mq_member_state_name (mq_member_state state)
{
  return state_names[state];
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
  return mq_fleet_lookup (fleet, vm);
}

const mq_member *
mq_fleet_find_incarnation (const mq_fleet *fleet, uint64_t incarnation)
{
  return mq_fleet_lookup_incarnation (fleet, incarnation);
}

const mq_member *
mq_fleet_self (const mq_fleet *fleet)
{
  return fleet->self;
}

uint32_t
mq_fleet_live_count (const mq_fleet *fleet)
{
  uint32_t n = mq_fleet_is_eligible (fleet, fleet->self);

  for (guint i = 0; i < fleet->members->len; i++)
    n += mq_fleet_is_eligible (fleet, g_ptr_array_index (fleet->members, i));
  return n;
}

uint32_t
mq_fleet_known_count (const mq_fleet *fleet)
{
  uint32_t n = 1;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);

      n += mq_fleet_is_in_our_region (fleet, m) && !m->leaving
           && (m->listed || m->state == MQ_MEMBER_LIVE
               || m->state == MQ_MEMBER_SUSPECT);
    }
  return n;
}
