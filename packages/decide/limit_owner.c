/* The owner's side of a limit: grants shares whose sum never exceeds the pool.

   While the demands fit, each holder gets its demand and an even part of the
   rest, with one part reserved for a new holder.  While they do not fit,
   shares are max-min fair: no holder gets more than its demand, and what small
   demands leave is divided evenly among the large ones.  A share is cut to
   what the others' unexpired shares leave, so a shift of demand takes effect
   as they renew, within MQ_LIMITER_SHORT_LIFETIME_US.  */

#include <mq/internal/limiter.h>

#include <math.h>

/* Divisor of an even share: what a new owner grants to a holder that it does
   not know, until the shares of its predecessor have expired.  */
#define SETTLE_DIVISOR 8

/* Period after which a permit that can't be divided evenly moves to another
   holder.  */
#define PERMIT_ROTATION_US (UINT64_C (4) * 1000 * 1000)

/* If a larger fraction of the pool is in demand, shares are short-lived.  */
#define BUSY_FRACTION 0.5

/* The share of one holder.  */
typedef struct limit_allocation
{
  uint64_t holder;
  mq_share demand;
  mq_share granted;
  uint32_t in_flight;
  uint64_t until_us;
} limit_allocation;

/* One of the three quantities of a share, over all allocations.  */
typedef struct limit_resource
{
  double pool;
  double demand; /* Of the requesting holder.  */
  double others; /* Granted to others and not expired.  */
  double sum;    /* Of all demands.  */
  GArray *demands;
} limit_resource;

static int
double_compare (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Returns the level up to which max-min fairness serves the demands.  */
static double
resource_fair_level (limit_resource *r)
{
  double left = r->pool;
  guint n = r->demands->len;

  g_array_sort (r->demands, double_compare);
  for (guint i = 0; i < n; i++)
    {
      double even = left / (n - i);
      double d = g_array_index (r->demands, double, i);

      if (d > even)
        return even;
      left -= d;
    }
  return r->pool;
}

/* Returns the requesting holder's part.  */
static double
resource_grant (limit_resource *r)
{
  double n = r->demands->len;
  double amount;

  if (r->sum <= r->pool)
    amount = r->demand + (r->pool - r->sum) / (n + 1);
  else
    amount = MIN (r->demand, resource_fair_level (r));
  return CLAMP (amount, 0, MAX (r->pool - r->others, 0));
}

/* The same in whole permits.  If the fair level is not whole, the remaining
   permits go to some holders in rotation; TURN is the requester's position. */
static uint32_t
resource_grant_whole (limit_resource *r, guint turn)
{
  double base;
  double left = r->pool;
  double amount;

  if (r->sum <= r->pool)
    return (uint32_t)resource_grant (r);
  base = floor (resource_fair_level (r));
  for (guint i = 0; i < r->demands->len; i++)
    left -= MIN (g_array_index (r->demands, double, i), base);
  amount = MIN (r->demand, turn < left ? base + 1 : base);
  return (uint32_t)CLAMP (amount, 0, MAX (r->pool - r->others, 0));
}

/* Returns the requester's position among the allocations, which rotates with
   time so that each holder is first at times.  */
static guint
owner_turn (const limit_owner *owner, const limit_allocation *requester,
            uint64_t now)
{
  guint position = (guint)(now / PERMIT_ROTATION_US);

  for (guint i = 0; i < owner->allocations->len; i++)
    position += g_array_index (owner->allocations, limit_allocation, i).holder
                < requester->holder;
  return position % MAX (owner->allocations->len, 1);
}

static void
resource_init (limit_resource *r, double pool)
{
  *r = (limit_resource){ .pool = pool };
  r->demands = g_array_new (FALSE, FALSE, sizeof (double));
}

/* Adds one holder.  A DEMAND above the pool counts as the pool.  */
static void
resource_add (limit_resource *r, bool requester, double demand, double granted)
{
  double d = MIN (demand, r->pool);

  r->sum += d;
  if (requester)
    r->demand = d;
  else
    r->others += granted;
  g_array_append_val (r->demands, d);
}

static limit_allocation *
owner_find_or_add (limit_owner *owner, uint64_t holder)
{
  limit_allocation added = { .holder = holder };

  for (guint i = 0; i < owner->allocations->len; i++)
    {
      limit_allocation *allocation
          = &g_array_index (owner->allocations, limit_allocation, i);

      if (allocation->holder == holder)
        return allocation;
    }
  g_array_append_val (owner->allocations, added);
  return &g_array_index (owner->allocations, limit_allocation,
                         owner->allocations->len - 1);
}

static void
owner_expire (limit_owner *owner, uint64_t now)
{
  for (guint i = owner->allocations->len; i-- > 0;)
    if (g_array_index (owner->allocations, limit_allocation, i).until_us
        <= now)
      g_array_remove_index_fast (owner->allocations, i);
}

/* Computes REQUESTER's share from POOL and all allocations.  Sets *BUSY if the
   short lifetime applies and *CONTENDED if the demand exceeds the pool.  */
static mq_share
owner_divide (const limit_owner *owner, const limit_allocation *requester,
              const mq_share *pool, uint64_t now, bool *busy, bool *contended)
{
  limit_resource resources[3];
  mq_share s;

  resource_init (&resources[0], pool->requests_per_s);
  resource_init (&resources[1], pool->tokens_per_s);
  resource_init (&resources[2], pool->permits);
  for (guint i = 0; i < owner->allocations->len; i++)
    {
      const limit_allocation *allocation
          = &g_array_index (owner->allocations, limit_allocation, i);
      bool own = allocation == requester;

      resource_add (&resources[0], own, allocation->demand.requests_per_s,
                    allocation->granted.requests_per_s);
      resource_add (&resources[1], own, allocation->demand.tokens_per_s,
                    allocation->granted.tokens_per_s);
      /* Requests in flight use permits, also after a smaller grant.  */
      resource_add (&resources[2], own, allocation->demand.permits,
                    MAX (allocation->granted.permits, allocation->in_flight));
    }
  *busy = false;
  *contended = false;
  for (int i = 0; i < 3; i++)
    {
      if (resources[i].pool <= 0)
        continue;
      *busy |= resources[i].sum > resources[i].pool * BUSY_FRACTION;
      *contended |= resources[i].sum > resources[i].pool;
    }
  s.requests_per_s = resource_grant (&resources[0]);
  s.tokens_per_s = resource_grant (&resources[1]);
  s.permits = resource_grant_whole (&resources[2],
                                    owner_turn (owner, requester, now));
  for (int i = 0; i < 3; i++)
    g_array_unref (resources[i].demands);
  return s;
}

/* Limits a new owner's first grant to the holder's current share or a small
   one.  */
static void
share_limit_new_holder (mq_share *share, const mq_share *held,
                        const mq_share *pool, uint32_t known)
{
  double part = 1.0 / ((double)known * SETTLE_DIVISOR);
  uint32_t permits = MAX ((uint32_t)(pool->permits * part), 1);

  share->requests_per_s
      = MIN (share->requests_per_s,
             MAX (held->requests_per_s, pool->requests_per_s * part));
  share->tokens_per_s
      = MIN (share->tokens_per_s,
             MAX (held->tokens_per_s, pool->tokens_per_s * part));
  share->permits = MIN (share->permits, MAX (held->permits, permits));
}

/* The same for a holder that has requested before: its share may grow only
   within the part of the pool of the holders known so far.  The others may
   still have shares from the former owner.  */
static void
share_limit_growth (mq_share *share, const mq_share *held,
                    const mq_share *known)
{
  share->requests_per_s
      = MIN (share->requests_per_s,
             MAX (held->requests_per_s, known->requests_per_s));
  share->tokens_per_s = MIN (share->tokens_per_s,
                             MAX (held->tokens_per_s, known->tokens_per_s));
  share->permits = MIN (share->permits, MAX (held->permits, known->permits));
}

mq_share
limit_fraction (const mq_limits *limits, double part)
{
  return (mq_share){ .requests_per_s = limits->requests_per_s * part,
                     .tokens_per_s = limits->tokens_per_s * part,
                     .permits = (uint32_t)(limits->concurrent * part) };
}

void
limit_owner_init (limit_owner *owner)
{
  owner->allocations = NULL;
}

void
limit_owner_finish (limit_owner *owner)
{
  g_clear_pointer (&owner->allocations, g_array_unref);
}

void
limit_owner_remove_holder (limit_organisation *o, uint64_t holder)
{
  if (o->owner.allocations == NULL)
    return;
  for (guint i = o->owner.allocations->len; i-- > 0;)
    if (g_array_index (o->owner.allocations, limit_allocation, i).holder
        == holder)
      g_array_remove_index_fast (o->owner.allocations, i);
}

void
limit_owner_on_request (limit_organisation *o, const limit_members *members,
                        const mq_limiter_event *event, GArray *actions)
{
  const mq_limit_request *request = &event->u.share_request.request;
  uint64_t now = event->now_us;
  uint64_t since = event->u.share_request.owner_since_us;
  mq_share pool
      = limit_fraction (&o->limits, (double)members->live / members->known);
  mq_limiter_action a = { .kind = MQ_LIMITER_SEND_GRANT };
  mq_limit_grant *g = &a.u.grant.grant;
  limit_allocation *allocation;
  bool settling = since != 0 && now - since < MQ_LIMITER_SETTLE_US;
  bool is_new;
  bool busy;

  if (o->owner.allocations == NULL)
    o->owner.allocations
        = g_array_new (FALSE, TRUE, sizeof (limit_allocation));
  owner_expire (&o->owner, now);
  allocation = owner_find_or_add (&o->owner, event->u.share_request.holder);
  is_new = allocation->until_us == 0;
  allocation->demand = request->demand;
  allocation->in_flight = request->in_flight;
  g->organisation = mq_str_span (o->name);
  g->share
      = owner_divide (&o->owner, allocation, &pool, now, &busy, &g->contended);
  g->lifetime_us
      = busy ? MQ_LIMITER_SHORT_LIFETIME_US : MQ_LIMITER_LONG_LIFETIME_US;
  if (settling && is_new)
    {
      share_limit_new_holder (&g->share, &request->held, &pool,
                              members->known);
      g->lifetime_us = MQ_LIMITER_SHORT_LIFETIME_US;
    }
  else if (settling)
    {
      double part = (double)o->owner.allocations->len / members->known;
      mq_share known_pool = limit_fraction (&o->limits, MIN (part, 1));
      mq_share known = owner_divide (&o->owner, allocation, &known_pool, now,
                                     &busy, &g->contended);

      share_limit_growth (&g->share, &request->held, &known);
    }
  allocation->granted = g->share;
  allocation->until_us = now + g->lifetime_us;
  a.u.grant.holder = event->u.share_request.holder;
  g_array_append_val (actions, a);
}
