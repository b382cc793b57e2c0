/* Organisation limits across routers: see fleet_limits.h.

   Invariant: the limiter is not called while its actions are being carried
   out.  Events posted meanwhile, such as this router's request for a share
   from itself, are queued until all actions of the step are done.  */

#include "fleet_limits.h"

#include <mq/limiter.h>

#include "fleet_node.h"

/* A request that the limiter allowed or has not answered yet.  */
typedef struct limit_use
{
  uint64_t handle;
  uint32_t tokens; /* Requested.  */
  bool allowed;
} limit_use;

/* A queued event, with a copy of the text that its sender owns.  */
typedef struct limit_queued
{
  mq_limiter_event event;
  mq_str *organisation;
} limit_queued;

struct mq_fleet_limits
{
  mq_router *router; /* Borrowed.  */
  mq_limiter *limiter;
  GHashTable *uses; /* &handle in the value -> owned limit_use  */
  GQueue queue;     /* of limit_queued, owned  */
  bool in_step;
  mq_ticker tick;
};

static void
queued_free (gpointer data)
{
  limit_queued *q = data;

  mq_str_unref (q->organisation);
  g_free (q);
}

/* Queues EVENT.  The name in an event of the entry is copied, since it may be
   freed with its request.  Names in requests and grants of shares are owned by
   the limiter and stay valid.  */
static void
event_enqueue (mq_fleet_limits *limits, const mq_limiter_event *event)
{
  limit_queued *q = g_new0 (limit_queued, 1);

  q->event = *event;
  if (event->kind == MQ_LIMITER_ACQUIRE)
    {
      q->organisation = mq_str_new (event->u.acquire.organisation);
      q->event.u.acquire.organisation = mq_str_span (q->organisation);
    }
  if (event->kind == MQ_LIMITER_RELEASE)
    {
      q->organisation = mq_str_new (event->u.release.organisation);
      q->event.u.release.organisation = mq_str_span (q->organisation);
    }
  g_queue_push_tail (&limits->queue, q);
}

static void
result_post (mq_fleet_limits *limits, const mq_limiter_action *action)
{
  mq_entry_event event
      = { .kind = MQ_ENTRY_LIMITED, .handle = action->u.answer.handle };
  limit_use *use
      = g_hash_table_lookup (limits->uses, &action->u.answer.handle);

  event.u.limited.allowed = action->kind == MQ_LIMITER_ALLOW;
  event.u.limited.retry_after_us = action->u.answer.retry_after_us;
  if (use != NULL && event.u.limited.allowed)
    use->allowed = true;
  else
    g_hash_table_remove (limits->uses, &action->u.answer.handle);
  mq_router_post (limits->router, &event);
}

/* Queues a request for a share from this router, which owns the limit.  */
static void
own_share_request (mq_fleet_limits *limits, const mq_limit_request *request)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (limits->router->fleet);
  mq_limiter_event event = { .kind = MQ_LIMITER_SHARE_REQUEST };

  event.u.share_request.holder = limits->router->incarnation;
  event.u.share_request.request = *request;
  if (fleet != NULL)
    event.u.share_request.owner_since_us = mq_fleet_owner_since (
        fleet, MQ_OWNED_ORGANISATION, request->organisation);
  event_enqueue (limits, &event);
}

static void
request_send (mq_fleet_limits *limits, const mq_limit_request *request)
{
  const mq_member *owner = mq_fleet_node_owner (
      limits->router->fleet, MQ_OWNED_ORGANISATION, request->organisation);
  mq_peer_message m = { .kind = MQ_PEER_LIMIT_REQUEST };

  if (owner == NULL)
    {
      if (mq_fleet_node_may_own (limits->router->fleet))
        own_share_request (limits, request);
      return;
    }
  m.u.limit_request = *request;
  (void)mq_fleet_node_send (limits->router->fleet, owner->incarnation, &m);
}

static void
grant_send (mq_fleet_limits *limits, uint64_t holder,
            const mq_limit_grant *grant)
{
  mq_peer_message m = { .kind = MQ_PEER_LIMIT_GRANT };
  mq_limiter_event event = { .kind = MQ_LIMITER_SHARE_GRANT };

  if (holder == limits->router->incarnation)
    {
      event.u.share_grant = *grant;
      event_enqueue (limits, &event);
      return;
    }
  m.u.limit_grant = *grant;
  (void)mq_fleet_node_send (limits->router->fleet, holder, &m);
}

static void
limiter_step (mq_fleet_limits *limits, mq_limiter_event *event)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_limiter_action));

  event->now_us = mq_router_now_us ();
  mq_limiter_handle (limits->limiter, event, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      mq_limiter_action *a = &g_array_index (actions, mq_limiter_action, i);

      switch (a->kind)
        {
        case MQ_LIMITER_ALLOW:
        case MQ_LIMITER_REFUSE:
          result_post (limits, a);
          break;
        case MQ_LIMITER_SEND_REQUEST:
          request_send (limits, &a->u.request);
          break;
        case MQ_LIMITER_SEND_GRANT:
          grant_send (limits, a->u.grant.holder, &a->u.grant.grant);
          break;
        }
    }
  g_array_unref (actions);
}

static void
limiter_run (mq_fleet_limits *limits, mq_limiter_event *event)
{
  limit_queued *q;

  if (limits->in_step)
    {
      event_enqueue (limits, event);
      return;
    }
  limits->in_step = true;
  limiter_step (limits, event);
  while ((q = g_queue_pop_head (&limits->queue)) != NULL)
    {
      limiter_step (limits, &q->event);
      queued_free (q);
    }
  limits->in_step = false;
  mq_ticker_arm (&limits->tick, mq_limiter_next_tick (limits->limiter));
}

static void
on_tick (void *context)
{
  mq_limiter_event event = { .kind = MQ_LIMITER_TICK };

  limiter_run (context, &event);
}

mq_fleet_limits *
mq_fleet_limits_new (mq_router *router)
{
  mq_fleet_limits *l = g_new0 (mq_fleet_limits, 1);

  l->router = router;
  l->limiter = mq_limiter_new ();
  l->uses = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&l->queue);
  mq_ticker_init (&l->tick, router->loop, on_tick, l);
  return l;
}

void
mq_fleet_limits_free (mq_fleet_limits *limits)
{
  if (limits == NULL)
    return;
  mq_ticker_finish (&limits->tick);
  g_queue_clear_full (&limits->queue, queued_free);
  g_hash_table_unref (limits->uses);
  mq_limiter_free (limits->limiter);
  g_free (limits);
}

void
mq_fleet_limits_apply_config (mq_fleet_limits *limits, mq_config *config)
{
  mq_limiter_event event = { .kind = MQ_LIMITER_CONFIG };

  event.u.config = config;
  limiter_run (limits, &event);
}

void
mq_fleet_limits_request (mq_fleet_limits *limits,
                         const mq_entry_action *action)
{
  mq_limiter_event event = { .kind = MQ_LIMITER_ACQUIRE };
  limit_use *use = g_new0 (limit_use, 1);

  use->handle = action->handle;
  use->tokens = action->u.limit.tokens;
  g_hash_table_replace (limits->uses, &use->handle, use);
  event.u.acquire.handle = action->handle;
  event.u.acquire.organisation = action->u.limit.organisation;
  event.u.acquire.tokens = action->u.limit.tokens;
  limiter_run (limits, &event);
}

void
mq_fleet_limits_release (mq_fleet_limits *limits,
                         const mq_entry_action *action)
{
  const limit_use *use = g_hash_table_lookup (limits->uses, &action->handle);
  mq_limiter_event event = { .kind = MQ_LIMITER_RELEASE };

  if (use == NULL)
    return;
  if (use->allowed)
    {
      event.u.release.organisation = action->u.limit.organisation;
      event.u.release.tokens_reserved = use->tokens;
      event.u.release.tokens_used = action->u.limit.tokens;
    }
  else
    {
      event.kind = MQ_LIMITER_CANCEL;
      event.u.handle = action->handle;
    }
  g_hash_table_remove (limits->uses, &action->handle);
  limiter_run (limits, &event);
}

/* Handles another router's request for a share.  It is ignored if, by this
   router's member list, another router owns the limit: then the two routers'
   views differ, and the sender gets no share from here until they agree.  */
static void
on_request (mq_fleet_limits *limits, const mq_peer_message *message)
{
  mq_fleet_node *node = limits->router->fleet;
  mq_span name = message->u.limit_request.organisation;
  mq_limiter_event event = { .kind = MQ_LIMITER_SHARE_REQUEST };

  if (!mq_fleet_node_may_own (node)
      || mq_fleet_node_owner (node, MQ_OWNED_ORGANISATION, name) != NULL)
    return;
  event.u.share_request.holder = message->sender;
  event.u.share_request.request = message->u.limit_request;
  event.u.share_request.owner_since_us = mq_fleet_owner_since (
      mq_fleet_node_fleet (node), MQ_OWNED_ORGANISATION, name);
  limiter_run (limits, &event);
}

void
mq_fleet_limits_on_message (mq_fleet_limits *limits,
                            const mq_peer_message *message)
{
  mq_limiter_event event = { .kind = MQ_LIMITER_SHARE_GRANT };

  if (message->kind == MQ_PEER_LIMIT_REQUEST)
    {
      on_request (limits, message);
      return;
    }
  event.u.share_grant = message->u.limit_grant;
  limiter_run (limits, &event);
}

void
mq_fleet_limits_set_members (mq_fleet_limits *limits, uint32_t live,
                             uint32_t known)
{
  mq_limiter_event event = { .kind = MQ_LIMITER_MEMBERS };

  event.u.members.live = live;
  event.u.members.known = known;
  limiter_run (limits, &event);
}

void
mq_fleet_limits_remove_holder (mq_fleet_limits *limits, uint64_t router)
{
  mq_limiter_event event = { .kind = MQ_LIMITER_HOLDER_ENDED };

  event.u.holder = router;
  limiter_run (limits, &event);
}
