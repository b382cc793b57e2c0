/* The limiter: the table of organisations and the list of those that need
   ticks.  The rules are in limit_holder.c and limit_owner.c, the overview is
   in mq/limiter.h.  */

#include <mq/internal/limiter.h>
#include <mq/internal/span_table.h>
#include <mq/limiter.h>

#include <string.h>

struct mq_limiter
{
  GHashTable *organisations; /* name -> limit_organisation, owned  */
  GPtrArray *active;         /* of limit_organisation, borrowed  */
  limit_members members;
};

static void
organisation_free (gpointer data)
{
  limit_organisation *o = data;

  limit_holder_finish (&o->holder);
  limit_owner_finish (&o->owner);
  mq_str_unref (o->name);
  g_free (o);
}

static limit_organisation *
limiter_find (const mq_limiter *limiter, mq_span name)
{
  return mq_span_table_find (limiter->organisations, name);
}

/* Returns the organisation NAME, borrowed; creates it if it is missing.  */
static limit_organisation *
limiter_ensure (mq_limiter *limiter, mq_str *name)
{
  limit_organisation *o = limiter_find (limiter, mq_str_span (name));

  if (o != NULL)
    return o;
  o = g_new0 (limit_organisation, 1);
  o->name = mq_str_ref (name);
  limit_holder_init (&o->holder);
  limit_owner_init (&o->owner);
  mq_span_table_add (limiter->organisations, o->name, o);
  return o;
}

static bool
limits_is_any_set (const mq_limits *limits)
{
  return limits->requests_per_s > 0 || limits->tokens_per_s > 0
         || limits->concurrent > 0;
}

static void
limiter_mark_active (mq_limiter *limiter, limit_organisation *o)
{
  if (o->active || limit_holder_next_tick (o) == UINT64_MAX)
    return;
  o->active = true;
  g_ptr_array_add (limiter->active, o);
}

/* An organisation that the configuration no longer names has its limits
   cleared, and its requests in flight end normally.  */
static void
limiter_on_config (mq_limiter *limiter, const mq_config *config)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, limiter->organisations);
  while (g_hash_table_iter_next (&i, NULL, &value))
    memset (&((limit_organisation *)value)->limits, 0, sizeof (mq_limits));
  for (guint k = 0; k < config->organisations->len; k++)
    {
      const mq_organisation *c
          = &g_array_index (config->organisations, mq_organisation, k);

      limiter_ensure (limiter, c->name)->limits = c->limits;
    }
}

static void
limiter_on_acquire (mq_limiter *limiter, const mq_limiter_event *event,
                    GArray *actions)
{
  limit_organisation *o
      = limiter_find (limiter, event->u.acquire.organisation);
  mq_limiter_action allow = { .kind = MQ_LIMITER_ALLOW };

  if (o != NULL && limits_is_any_set (&o->limits))
    {
      limit_holder_acquire (o, &limiter->members, event, actions);
      limiter_mark_active (limiter, o);
      return;
    }
  if (o != NULL)
    o->holder.in_flight++;
  allow.u.answer.handle = event->u.acquire.handle;
  g_array_append_val (actions, allow);
}

static void
limiter_on_holder_ended (mq_limiter *limiter, uint64_t holder)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, limiter->organisations);
  while (g_hash_table_iter_next (&i, NULL, &value))
    limit_owner_remove_holder (value, holder);
}

static void
limiter_on_tick (mq_limiter *limiter, uint64_t now, GArray *actions)
{
  for (guint i = limiter->active->len; i-- > 0;)
    {
      limit_organisation *o = g_ptr_array_index (limiter->active, i);

      limit_holder_tick (o, &limiter->members, now, actions);
      if (limit_holder_next_tick (o) != UINT64_MAX)
        continue;
      o->active = false;
      g_ptr_array_remove_index_fast (limiter->active, i);
    }
}

static void
limiter_on_cancel (mq_limiter *limiter, uint64_t handle)
{
  for (guint i = 0; i < limiter->active->len; i++)
    limit_holder_cancel (g_ptr_array_index (limiter->active, i), handle);
}

mq_limiter *
mq_limiter_new (void)
{
  mq_limiter *l = g_new0 (mq_limiter, 1);

  l->organisations = mq_span_table_new (organisation_free);
  l->active = g_ptr_array_new ();
  l->members = (limit_members){ .live = 1, .known = 1 };
  return l;
}

void
mq_limiter_free (mq_limiter *limiter)
{
  if (limiter == NULL)
    return;
  g_ptr_array_unref (limiter->active);
  g_hash_table_unref (limiter->organisations);
  g_free (limiter);
}

void
mq_limiter_handle (mq_limiter *limiter, const mq_limiter_event *event,
                   GArray *actions)
{
  limit_organisation *o;

  switch (event->kind)
    {
    case MQ_LIMITER_CONFIG:
      limiter_on_config (limiter, event->u.config);
      break;
    case MQ_LIMITER_ACQUIRE:
      limiter_on_acquire (limiter, event, actions);
      break;
    case MQ_LIMITER_RELEASE:
      o = limiter_find (limiter, event->u.release.organisation);
      if (o != NULL)
        limit_holder_release (o, event);
      break;
    case MQ_LIMITER_CANCEL:
      limiter_on_cancel (limiter, event->u.handle);
      break;
    case MQ_LIMITER_SHARE_REQUEST:
      o = limiter_find (limiter, event->u.share_request.request.organisation);
      if (o != NULL)
        limit_owner_on_request (o, &limiter->members, event, actions);
      break;
    case MQ_LIMITER_SHARE_GRANT:
      o = limiter_find (limiter, event->u.share_grant.organisation);
      if (o != NULL)
        {
          limit_holder_on_grant (o, &limiter->members, event, actions);
          limiter_mark_active (limiter, o);
        }
      break;
    case MQ_LIMITER_MEMBERS:
      limiter->members.live = MAX (event->u.members.live, 1);
      limiter->members.known
          = MAX (event->u.members.known, limiter->members.live);
      break;
    case MQ_LIMITER_HOLDER_ENDED:
      limiter_on_holder_ended (limiter, event->u.holder);
      break;
    case MQ_LIMITER_TICK:
      limiter_on_tick (limiter, event->now_us, actions);
      break;
    }
}

uint64_t
mq_limiter_next_tick (const mq_limiter *limiter)
{
  uint64_t next = UINT64_MAX;

  for (guint i = 0; i < limiter->active->len; i++)
    next = MIN (
        next, limit_holder_next_tick (g_ptr_array_index (limiter->active, i)));
  return next;
}
