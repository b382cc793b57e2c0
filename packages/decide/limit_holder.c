/* The holder's side of a limit: admits requests against a share.

   Two token buckets, one of requests and one of tokens, fill at the share's
   rates and hold BURST_S seconds' worth; that of requests holds at least one.
   A request withdraws the most tokens that it may use, and unused ones are
   returned.  The token bucket may go below zero by one request, so that a
   request larger than the bucket can run.

   A request that is not covered waits a few milliseconds if a grant may still
   arrive, and else is refused with a retry time.  A share that is no longer
   used is returned early if other holders need it.  */

#include <mq/internal/limiter.h>

#define US_PER_S 1e6
#define BURST_S 0.5
/* Over which demand is measured.  */
#define DEMAND_WINDOW_US (UINT64_C (500) * 1000)
/* Between two requests for a share.  */
#define MIN_REQUEST_INTERVAL_US (UINT64_C (100) * 1000)
/* The same while the limit is contended.  */
#define CONTENDED_REQUEST_INTERVAL_US (UINT64_C (500) * 1000)
#define FALLBACK_FRACTION 0.5 /* Of an even share, without a grant.  */
#define MAX_WAITING 256
#define MIN_RETRY_US (UINT64_C (100) * 1000)
#define MAX_RETRY_US (UINT64_C (10) * 1000 * 1000)

/* A request that waits for a share.  */
typedef struct limit_waiting
{
  uint64_t handle;
  uint32_t tokens;
  uint64_t until_us;
} limit_waiting;

static bool
holder_has_share (const limit_holder *h, uint64_t now)
{
  return now < h->until_us;
}

/* Returns true if the owner did not answer the last request in time.  */
static bool
holder_is_owner_silent (const limit_holder *h, uint64_t now)
{
  return h->requested_us > h->granted_us
         && now - h->requested_us >= MQ_LIMITER_MAX_WAIT_US;
}

/* Returns the share that is usable now, or without one a conservative part. */
static mq_share
holder_share (const limit_organisation *o, const limit_members *members,
              uint64_t now)
{
  if (holder_has_share (&o->holder, now))
    return o->holder.share;
  return limit_fraction (&o->limits, FALLBACK_FRACTION / members->known);
}

static void
holder_fill (limit_holder *h, const mq_share *share, uint64_t now)
{
  double s = (double)(now - h->filled_us) / US_PER_S;
  double max_requests = MAX (share->requests_per_s * BURST_S, 1);

  h->requests = MIN (h->requests + share->requests_per_s * s, max_requests);
  h->tokens = MIN (h->tokens + share->tokens_per_s * s,
                   share->tokens_per_s * BURST_S);
  h->filled_us = now;
}

/* Closes the demand window when it is over.  */
static void
holder_measure (limit_holder *h, uint64_t now)
{
  double s = (double)(now - h->window_us) / US_PER_S;

  if (now - h->window_us < DEMAND_WINDOW_US)
    return;
  h->demand.requests_per_s = h->seen.requests_per_s / s;
  h->demand.tokens_per_s = h->seen.tokens_per_s / s;
  h->demand.permits = h->seen.permits;
  h->seen = (mq_share){ .permits = h->in_flight };
  h->window_us = now;
}

/* Returns the demand to report: that of the last window, or of the current one
   if that is higher already.  */
static mq_share
holder_demand (const limit_holder *h)
{
  double s = DEMAND_WINDOW_US / US_PER_S;

  return (mq_share){
    .requests_per_s
    = MAX (h->demand.requests_per_s, h->seen.requests_per_s / s),
    .tokens_per_s = MAX (h->demand.tokens_per_s, h->seen.tokens_per_s / s),
    .permits = MAX (h->demand.permits, h->seen.permits),
  };
}

static void
holder_count_demand (limit_holder *h, uint32_t tokens)
{
  uint32_t at_once = h->in_flight + g_queue_get_length (&h->waiting) + 1;

  h->seen.requests_per_s += 1;
  h->seen.tokens_per_s += tokens;
  h->seen.permits = MAX (h->seen.permits, at_once);
}

static bool
holder_has_room (const limit_organisation *o, const mq_share *share)
{
  const limit_holder *h = &o->holder;

  if (o->limits.requests_per_s > 0 && h->requests < 1)
    return false;
  if (o->limits.tokens_per_s > 0 && h->tokens <= 0)
    return false;
  return o->limits.concurrent == 0 || h->in_flight < share->permits;
}

static bool
holder_admit (limit_organisation *o, const limit_members *members,
              uint64_t handle, uint32_t tokens, uint64_t now, GArray *actions)
{
  limit_holder *h = &o->holder;
  mq_share share = holder_share (o, members, now);
  mq_limiter_action a = { .kind = MQ_LIMITER_ALLOW };

  holder_fill (h, &share, now);
  if (!holder_has_room (o, &share))
    return false;
  h->requests -= 1;
  h->tokens -= tokens;
  h->in_flight++;
  a.u.answer.handle = handle;
  g_array_append_val (actions, a);
  return true;
}

/* Returns how long until the buckets may cover a request.  */
static uint64_t
holder_retry_after_us (const limit_organisation *o,
                       const limit_members *members, uint64_t now)
{
  const limit_holder *h = &o->holder;
  mq_share share = holder_share (o, members, now);
  double wait = 0;

  if (share.requests_per_s > 0)
    wait = MAX (wait, (1 - h->requests) / share.requests_per_s);
  if (share.tokens_per_s > 0)
    wait = MAX (wait, -h->tokens / share.tokens_per_s);
  return (uint64_t)CLAMP (wait * US_PER_S, MIN_RETRY_US, MAX_RETRY_US);
}

static void
holder_refuse (const limit_organisation *o, const limit_members *members,
               uint64_t handle, uint64_t now, GArray *actions)
{
  mq_limiter_action a = { .kind = MQ_LIMITER_REFUSE };

  a.u.answer.handle = handle;
  a.u.answer.retry_after_us = holder_retry_after_us (o, members, now);
  g_array_append_val (actions, a);
}

/* Returns when the next request for a share may be sent; later while the limit
   is contended.  */
static uint64_t
holder_next_request_us (const limit_holder *h)
{
  return h->requested_us
         + (h->contended ? CONTENDED_REQUEST_INTERVAL_US
                         : MIN_REQUEST_INTERVAL_US);
}

static void
holder_send_request (limit_organisation *o, uint64_t now, GArray *actions)
{
  limit_holder *h = &o->holder;
  mq_limiter_action a = { .kind = MQ_LIMITER_SEND_REQUEST };

  if (h->requested_us != 0 && now < holder_next_request_us (h))
    return;
  h->requested_us = now;
  a.u.request.organisation = mq_str_span (o->name);
  a.u.request.demand = holder_demand (h);
  if (holder_has_share (h, now))
    a.u.request.held = h->share;
  a.u.request.in_flight = h->in_flight;
  g_array_append_val (actions, a);
}

/* Returns true if a grant may still arrive in time.  */
static bool
holder_should_wait (const limit_holder *h, uint64_t now)
{
  return h->requested_us > h->granted_us && !holder_is_owner_silent (h, now)
         && g_queue_get_length ((GQueue *)&h->waiting) < MAX_WAITING;
}

static void
holder_wait (limit_holder *h, uint64_t handle, uint32_t tokens, uint64_t now)
{
  limit_waiting *w = g_new (limit_waiting, 1);

  w->handle = handle;
  w->tokens = tokens;
  w->until_us = now + MQ_LIMITER_MAX_WAIT_US;
  g_queue_push_tail (&h->waiting, w);
}

/* Answers waiting requests: all of them, or those that have timed out.  */
static void
holder_answer_waiting (limit_organisation *o, const limit_members *members,
                       bool all, uint64_t now, GArray *actions)
{
  limit_holder *h = &o->holder;
  limit_waiting *w;

  while ((w = g_queue_peek_head (&h->waiting)) != NULL
         && (all || w->until_us <= now))
    {
      if (!holder_admit (o, members, w->handle, w->tokens, now, actions))
        holder_refuse (o, members, w->handle, now, actions);
      g_free (g_queue_pop_head (&h->waiting));
    }
}

void
limit_holder_init (limit_holder *holder)
{
  g_queue_init (&holder->waiting);
  holder->requests
      = 1; /* So that the first request can run without a share.  */
  holder->tokens = 1;
  holder->renew_us = UINT64_MAX;
}

void
limit_holder_finish (limit_holder *holder)
{
  g_queue_clear_full (&holder->waiting, g_free);
}

void
limit_holder_acquire (limit_organisation *o, const limit_members *members,
                      const mq_limiter_event *event, GArray *actions)
{
  limit_holder *h = &o->holder;
  uint64_t now = event->now_us;
  uint64_t handle = event->u.acquire.handle;
  uint32_t tokens = event->u.acquire.tokens;
  bool usable = holder_has_share (h, now) || holder_is_owner_silent (h, now);

  holder_measure (h, now);
  holder_count_demand (h, tokens);
  if (usable && g_queue_is_empty (&h->waiting)
      && holder_admit (o, members, handle, tokens, now, actions))
    {
      if (!holder_has_share (h, now) || h->renew_us == UINT64_MAX)
        holder_send_request (o, now, actions);
      return;
    }
  holder_send_request (o, now, actions);
  if (holder_should_wait (h, now))
    holder_wait (h, handle, tokens, now);
  else if (!holder_admit (o, members, handle, tokens, now, actions))
    holder_refuse (o, members, handle, now, actions);
}

void
limit_holder_release (limit_organisation *o, const mq_limiter_event *event)
{
  limit_holder *h = &o->holder;
  uint32_t reserved = event->u.release.tokens_reserved;
  uint32_t used = event->u.release.tokens_used;

  if (h->in_flight > 0)
    h->in_flight--;
  if (reserved > used)
    h->tokens += reserved - used;
}

void
limit_holder_cancel (limit_organisation *o, uint64_t handle)
{
  for (GList *l = o->holder.waiting.head; l != NULL; l = l->next)
    {
      limit_waiting *w = l->data;

      if (w->handle != handle)
        continue;
      g_queue_delete_link (&o->holder.waiting, l);
      g_free (w);
      return;
    }
}

void
limit_holder_on_grant (limit_organisation *o, const limit_members *members,
                       const mq_limiter_event *event, GArray *actions)
{
  limit_holder *h = &o->holder;
  const mq_limit_grant *g = &event->u.share_grant;
  uint64_t now = event->now_us;
  mq_share before = holder_share (o, members, now);

  holder_fill (h, &before, now);
  h->share = g->share;
  h->until_us = now + g->lifetime_us;
  h->renew_us = now + g->lifetime_us / 2;
  h->contended = g->contended;
  h->granted_us = now;
  holder_answer_waiting (o, members, true, now, actions);
}

/* Returns the share: reports it to the owner and stops using it.  */
static void
holder_return_share (limit_organisation *o, uint64_t now, GArray *actions)
{
  limit_holder *h = &o->holder;

  h->share = (mq_share){ 0 };
  h->until_us = now;
  holder_send_request (o, now, actions);
  h->granted_us = now; /* No request waits for this answer.  */
}

void
limit_holder_tick (limit_organisation *o, const limit_members *members,
                   uint64_t now, GArray *actions)
{
  limit_holder *h = &o->holder;
  mq_share d;

  holder_measure (h, now);
  holder_answer_waiting (o, members, false, now, actions);
  if (now < h->renew_us)
    return;
  d = holder_demand (h);
  if (holder_has_share (h, now) && (d.requests_per_s > 0 || h->in_flight > 0))
    {
      holder_send_request (o, now, actions);
      return;
    }
  if (holder_has_share (h, now) && h->contended)
    holder_return_share (o, now, actions);
  h->renew_us = UINT64_MAX;
}

uint64_t
limit_holder_next_tick (const limit_organisation *o)
{
  const limit_holder *h = &o->holder;
  const limit_waiting *w = g_queue_peek_head ((GQueue *)&h->waiting);
  uint64_t next = UINT64_MAX;

  if (h->renew_us != UINT64_MAX)
    next = MAX (h->renew_us, holder_next_request_us (h));
  if (w != NULL)
    next = MIN (next, w->until_us);
  return next;
}
