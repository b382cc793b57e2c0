/* Counts of what all other routers have in flight, and the routers that serve:
   see mq/cluster.h.

   A relay adds up the reports of its domain's routers and, for each other
   domain, the best summary of any of its relays.  Any other router uses the
   last digest from a relay.  Tokens count while their router is alive.  Sends
   count for the window in which they were made, even if the router that made
   them has crashed or restarted since.  */

#include <mq/cluster.h>

#include <math.h>

/* Sums are recomputed when they are this old, which is a tick of the gateway.
   They change with time alone, as members time out.  */
#define SUMS_MAX_AGE_US ((uint64_t)50 * 1000)
/* Domains whose summaries are added up; the rest is ignored.  */
#define MAX_DOMAINS 64
/* Routers of other domains that are named to clients for when their own domain
   has too few.  */
#define REMOTE_ADDRESSES_PER_DOMAIN 2
#define MAX_REMOTE_ADDRESSES 8

/* ---- Which gossip counts.  */

static bool
member_is_in_window (const mq_cluster *cluster,
                     const mq_cluster_member *router, uint64_t now_us)
{
  return router->received_us > 0
         && now_us - router->received_us <= cluster->window_us;
}

/* Returns the live relay of this domain whose digest came last, or NULL.  */
static const mq_cluster_member *
cluster_newest_digest (const mq_cluster *cluster, uint64_t now_us)
{
  const mq_cluster_member *best = NULL;
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (r->local && r->kind == MQ_GOSSIP_DIGEST
          && mq_cluster_member_is_alive (r, now_us)
          && (best == NULL || r->received_us > best->received_us))
        best = r;
    }
  return best;
}

typedef struct domain_relays
{
  const mq_cluster_member
      *best[MAX_DOMAINS]; /* One of each domain, borrowed.  */
  size_t n;
} domain_relays;

/* Returns true if the summary from A is to be used rather than that from B.  A
   live relay comes first, then the one with the shorter interval.  */
static bool
relay_is_fresher (const mq_cluster_member *a, const mq_cluster_member *b,
                  uint64_t now_us)
{
  bool a_alive = mq_cluster_member_is_alive (a, now_us);

  if (a_alive != mq_cluster_member_is_alive (b, now_us))
    return a_alive;
  if (a_alive && a->counts_max_age_ms != b->counts_max_age_ms)
    return a->counts_max_age_ms < b->counts_max_age_ms;
  return a->received_us > b->received_us;
}

static void
domain_relays_add (domain_relays *domains, const mq_cluster_member *router,
                   uint64_t now_us)
{
  for (size_t i = 0; i < domains->n; i++)
    if (mq_span_equal (mq_str_span (domains->best[i]->domain),
                       mq_str_span (router->domain)))
      {
        if (relay_is_fresher (router, domains->best[i], now_us))
          domains->best[i] = router;
        return;
      }
  if (domains->n < MAX_DOMAINS)
    domains->best[domains->n++] = router;
}

/* Set DOMAINS to the relay with the best summary of each other domain.  */
static void
cluster_domain_relays (const mq_cluster *cluster, domain_relays *domains,
                       uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  domains->n = 0;
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (!r->local && r->kind == MQ_GOSSIP_SUMMARY
          && member_is_in_window (cluster, r, now_us))
        domain_relays_add (domains, r, now_us);
    }
}

/* ---- Sums.  */

/* At most by this factor are retries beyond the shares of their senders
   multiplied (sends_scale_replaced).  With a factor F, while all requests move
   to other routers, the bound can be exceeded by 1 / (4 F) of it: 3%, less
   than MAX_BUDGET_SHARE of send_budget.c leaves.  */
#define MAX_REPLACED_FACTOR 8.0

static void
add_paths (GArray *sum, const GArray *paths)
{
  for (guint i = 0; i < paths->len; i++)
    {
      const mq_path_tokens *p = &g_array_index (paths, mq_path_tokens, i);

      mq_path_tokens_add (sum, p->path, p->tokens);
    }
}

static void
add_sends (GArray *sum, const GArray *sends)
{
  for (guint i = 0; i < sends->len; i++)
    {
      const mq_service_sends *s = &g_array_index (sends, mq_service_sends, i);

      mq_service_sends_add (sum, s->service, s->counts);
    }
}

/* Add the requests of a router whose sends exceed its share, by service.  */
static void
add_overdrawn (GArray *overdrawn, const GArray *sends)
{
  for (guint i = 0; i < sends->len; i++)
    {
      const mq_service_sends *s = &g_array_index (sends, mq_service_sends, i);

      if (s->counts.replaced > 0)
        mq_service_sends_add (overdrawn, s->service, s->counts);
    }
}

/* Scale the retries in SUM that no share covers.  All routers deduct them in
   proportion to their requests, but those with the requests OVERDRAWN have
   nothing left to deduct them from, so that the others have to deduct more.
 */
static void
sends_scale_replaced (GArray *sum, const GArray *overdrawn)
{
  for (guint i = 0; i < sum->len; i++)
    {
      mq_service_sends *s = &g_array_index (sum, mq_service_sends, i);
      double all = s->counts.requests;
      double able
          = all - mq_service_sends_get (overdrawn, s->service).requests;

      if (s->counts.replaced > 0 && all > 0)
        s->counts.replaced = (unsigned)ceil (
            s->counts.replaced
            * MIN (all / MAX (able, 1), MAX_REPLACED_FACTOR));
    }
}

/* The same for the previous incarnation of a router.  */
static void
add_previous_sends (GArray *sum, const GArray *sends)
{
  for (guint i = 0; i < sends->len; i++)
    {
      const mq_service_sends *s = &g_array_index (sends, mq_service_sends, i);
      mq_send_counts c = s->counts;

      c.replaced = c.retries;
      mq_service_sends_add (sum, s->service, c);
    }
}

static bool
sends_has_any (const GArray *sends)
{
  for (guint i = 0; i < sends->len; i++)
    {
      const mq_send_counts *c
          = &g_array_index (sends, mq_service_sends, i).counts;

      if (c->requests > 0 || c->retries > 0)
        return true;
    }
  return false;
}

/* Sums under construction.  */
typedef struct load_sum
{
  GArray *paths; /* mq_path_tokens, borrowed.  */
  GArray *sends; /* mq_service_sends, borrowed.  */
  unsigned busy;
} load_sum;

static void
sum_add_router (load_sum *sum, const mq_cluster *cluster,
                const mq_cluster_member *router, uint64_t now_us)
{
  if (router->previous_sends != NULL
      && now_us - router->replaced_us <= cluster->window_us)
    add_previous_sends (sum->sends, router->previous_sends);
  if (router->kind != MQ_GOSSIP_REPORT
      || !member_is_in_window (cluster, router, now_us))
    return;
  add_sends (sum->sends, router->sends);
  sum->busy += sends_has_any (router->sends);
  if (mq_cluster_member_is_alive (router, now_us))
    add_paths (sum->paths, router->paths);
}

/* Add the reports of this domain's other routers.  SUM holds nothing but what
   this router itself has in flight, or nothing.  */
static void
sum_add_domain (load_sum *sum, const mq_cluster *cluster, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  GArray *overdrawn = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));

  add_overdrawn (overdrawn, sum->sends);
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (!r->local)
        continue;
      sum_add_router (sum, cluster, r, now_us);
      if (r->kind == MQ_GOSSIP_REPORT
          && member_is_in_window (cluster, r, now_us))
        add_overdrawn (overdrawn, r->sends);
      if (r->previous_sends != NULL
          && now_us - r->replaced_us <= cluster->window_us)
        add_sends (overdrawn, r->previous_sends);
    }
  sends_scale_replaced (sum->sends, overdrawn);
  g_array_unref (overdrawn);
}

/* Add the sums in the last digest or summary of ROUTER.  */
static void
sum_add_received (load_sum *sum, const mq_cluster_member *router,
                  uint64_t now_us)
{
  add_sends (sum->sends, router->sends);
  sum->busy += router->busy;
  if (mq_cluster_member_is_alive (router, now_us))
    add_paths (sum->paths, router->paths);
}

/* Add the summaries of other domains.  */
static void
sum_add_remote (load_sum *sum, const mq_cluster *cluster, uint64_t now_us)
{
  domain_relays domains;

  cluster_domain_relays (cluster, &domains, now_us);
  for (size_t i = 0; i < domains.n; i++)
    sum_add_received (sum, domains.best[i], now_us);
}

void
mq_cluster_update_sums (mq_cluster *cluster, uint64_t now_us)
{
  load_sum sum = { cluster->other_paths, cluster->other_sends, 0 };
  const mq_cluster_member *digest
      = cluster->relays ? NULL : cluster_newest_digest (cluster, now_us);

  if (cluster->summed_us > 0 && now_us - cluster->summed_us < SUMS_MAX_AGE_US)
    return;
  g_array_set_size (sum.paths, 0);
  g_array_set_size (sum.sends, 0);
  if (digest != NULL)
    sum_add_received (&sum, digest, now_us);
  else
    {
      sum_add_domain (&sum, cluster, now_us);
      sum_add_remote (&sum, cluster, now_us);
    }
  cluster->other_busy = sum.busy;
  cluster->summed_us = now_us;
}

double
mq_cluster_other_tokens (mq_cluster *cluster, uint64_t path, uint64_t now_us)
{
  mq_cluster_update_sums (cluster, now_us);
  return mq_path_tokens_get (cluster->other_paths, path);
}

mq_send_counts
mq_cluster_other_sends (mq_cluster *cluster, uint64_t service, uint64_t now_us)
{
  mq_cluster_update_sums (cluster, now_us);
  return mq_service_sends_get (cluster->other_sends, service);
}

unsigned
mq_cluster_count_busy (mq_cluster *cluster, uint64_t now_us)
{
  mq_cluster_update_sums (cluster, now_us);
  return cluster->other_busy + 1;
}

unsigned
mq_cluster_counts_age_ms (const mq_cluster *cluster, uint64_t now_us)
{
  const mq_cluster_member *digest
      = cluster->relays ? NULL : cluster_newest_digest (cluster, now_us);
  unsigned age = MQ_CLUSTER_HEARTBEAT_MS; /* Of the reports.  */
  domain_relays domains;

  if (digest != NULL)
    return digest->counts_max_age_ms;
  cluster_domain_relays (cluster, &domains, now_us);
  for (size_t i = 0; i < domains.n; i++)
    if (mq_cluster_member_is_alive (domains.best[i], now_us))
      age = MAX (age, domains.best[i]->counts_max_age_ms);
  return age;
}

/* ---- Sums in this router's own gossip.  */

/* Add what this router has in flight.  */
static void
sum_add_self (load_sum *sum, const mq_cluster *cluster)
{
  add_paths (sum->paths, cluster->paths);
  add_sends (sum->sends, cluster->sends);
  sum->busy += sends_has_any (cluster->sends);
}

void
mq_cluster_add_domain_sums (mq_cluster *cluster, mq_gossip *gossip,
                            uint64_t now_us)
{
  load_sum sum = { gossip->paths, gossip->sends, 0 };

  sum_add_self (&sum, cluster);
  sum_add_domain (&sum, cluster, now_us);
  gossip->busy = sum.busy;
}

/* Subtract what TO reported from the sums in GOSSIP.  */
static void
gossip_subtract (mq_gossip *gossip, const mq_cluster_member *to)
{
  for (guint i = 0; i < to->paths->len; i++)
    {
      const mq_path_tokens *p = &g_array_index (to->paths, mq_path_tokens, i);

      mq_path_tokens_add (gossip->paths, p->path, -p->tokens);
    }
  for (guint i = 0; i < to->sends->len; i++)
    {
      const mq_service_sends *s
          = &g_array_index (to->sends, mq_service_sends, i);

      mq_service_sends_subtract (gossip->sends, s->service, s->counts);
    }
  if (sends_has_any (to->sends) && gossip->busy > 0)
    gossip->busy--;
}

void
mq_cluster_add_sums_except (mq_cluster *cluster, const mq_cluster_member *to,
                            mq_gossip *gossip, uint64_t now_us)
{
  load_sum sum = { gossip->paths, gossip->sends, 0 };

  mq_cluster_update_sums (cluster, now_us);
  sum_add_self (&sum, cluster);
  add_paths (sum.paths, cluster->other_paths);
  add_sends (sum.sends, cluster->other_sends);
  gossip->busy = sum.busy + cluster->other_busy;
  if (to->kind == MQ_GOSSIP_REPORT)
    gossip_subtract (gossip, to);
}

bool
mq_cluster_member_is_active (const mq_cluster_member *router)
{
  return router->kind == MQ_GOSSIP_REPORT
         && router->interval_ms <= MQ_CLUSTER_HEARTBEAT_MS;
}

/* ---- Which routers serve.  */

/* A router of this domain that clients may be sent to.  */
typedef struct serving_router
{
  mq_gossip_router router;
  bool isolated;
} serving_router;

static void
serving_add (GArray *serving, const mq_gossip_router *router, bool isolated)
{
  serving_router r = { *router, isolated };

  if (isolated)
    r.router.tunnel_port = 0;
  g_array_append_val (serving, r);
}

static int
serving_compare (gconstpointer a, gconstpointer b)
{
  const serving_router *x = a;
  const serving_router *y = b;

  if (x->isolated != y->isolated)
    return x->isolated ? 1 : -1;
  return mq_cluster_compare_rank (x->router.capacity, x->router.name,
                                  y->router.capacity, y->router.name);
}

/* Append to SERVING as many of CANDIDATES (serving_router), which are in the
   order of preference, as the domain's demand needs.  USED is its present
   value.  Isolated routers serve through others, so that they are needed only
   where these can't serve all clients themselves.  */
static void
serving_take (mq_cluster *cluster, const GArray *candidates, GArray *serving,
              double used, uint64_t now_us)
{
  unsigned *capacities = g_new (unsigned, candidates->len + 1);
  size_t preferred = 0;
  size_t n;

  for (guint i = 0; i < candidates->len; i++)
    {
      const serving_router *r = &g_array_index (candidates, serving_router, i);

      capacities[i] = r->router.capacity;
      preferred += !r->isolated;
    }
  if (preferred == 0)
    preferred = candidates->len;
  mq_serving_demand_update (&cluster->demand, used, now_us);
  n = mq_serving_count (capacities, candidates->len, preferred,
                        cluster->demand.used);
  for (size_t i = 0; i < n; i++)
    g_array_append_val (serving,
                        g_array_index (candidates, serving_router, i).router);
  g_free (capacities);
}

/* Fill SERVING with the routers of this domain that serve, as computed from
   their reports.  */
static void
serving_compute (mq_cluster *cluster, GArray *serving, uint64_t now_us)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (serving_router));
  mq_gossip_router self = { .name = mq_str_span (cluster->name),
                            .client = mq_str_span (cluster->client),
                            .capacity = cluster->capacity,
                            .tunnel_port = cluster->tunnel_port };
  GHashTableIter i;
  gpointer value;
  double used = cluster->self.used;

  if (cluster->self.ready && !cluster->self.draining)
    serving_add (candidates, &self, cluster->isolated->len > 0);
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;
      mq_gossip_router x = { .name = mq_str_span (r->name),
                             .client = mq_str_span (r->client),
                             .capacity = r->capacity,
                             .tunnel_port = r->tunnel_port };

      if (!r->local || !mq_cluster_member_is_alive (r, now_us))
        continue;
      used += r->used;
      if (r->ready && !r->draining)
        serving_add (candidates, &x, mq_cluster_member_is_isolated (r));
    }
  g_array_sort (candidates, serving_compare);
  serving_take (cluster, candidates, serving, used, now_us);
  g_array_unref (candidates);
}

/* Append the first routers that serve in each other domain.  */
static void
serving_add_remote (const mq_cluster *cluster, GArray *elsewhere,
                    uint64_t now_us)
{
  domain_relays domains;

  cluster_domain_relays (cluster, &domains, now_us);
  for (size_t i = 0; i < domains.n && elsewhere->len < MAX_REMOTE_ADDRESSES;
       i++)
    if (mq_cluster_member_is_alive (domains.best[i], now_us))
      g_array_append_vals (
          elsewhere, domains.best[i]->serving->data,
          MIN (domains.best[i]->serving->len, REMOTE_ADDRESSES_PER_DOMAIN));
}

void
mq_cluster_list_serving (mq_cluster *cluster, GArray *serving,
                         GArray *elsewhere, uint64_t now_us)
{
  const mq_cluster_member *digest
      = cluster->relays ? NULL : cluster_newest_digest (cluster, now_us);

  if (digest != NULL && digest->serving->len > 0)
    {
      g_array_append_vals (serving, digest->serving->data,
                           digest->serving->len);
      g_array_append_vals (elsewhere, digest->elsewhere->data,
                           digest->elsewhere->len);
      return;
    }
  serving_compute (cluster, serving, now_us);
  serving_add_remote (cluster, elsewhere, now_us);
}

/* Returns true if the last digest names this router among those that serve.
 */
static bool
cluster_self_serves (mq_cluster *cluster, uint64_t now_us)
{
  const mq_cluster_member *digest = cluster_newest_digest (cluster, now_us);

  for (guint i = 0; digest != NULL && i < digest->serving->len; i++)
    if (mq_span_equal (
            g_array_index (digest->serving, mq_gossip_router, i).client,
            mq_str_span (cluster->client)))
      return true;
  return false;
}

bool
mq_cluster_is_active (mq_cluster *cluster, uint64_t now_us)
{
  return cluster->relays || cluster->self.loaded
         || cluster_self_serves (cluster, now_us);
}

/* Returns true if a live member has the client address CLIENT.  */
static bool
cluster_receives_from (const mq_cluster *cluster, mq_span client,
                       uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (mq_span_equal (mq_str_span (r->client), client)
          && mq_cluster_member_is_alive (r, now_us))
        return true;
    }
  return false;
}

/* Returns true if SERVICE is in ISOLATED (uint64_t).  */
static bool
isolated_from (const GArray *isolated, uint64_t service)
{
  for (guint i = 0; i < isolated->len; i++)
    if (g_array_index (isolated, uint64_t, i) == service)
      return true;
  return false;
}

static bool
tunnels_have (const GArray *routers, mq_span client)
{
  for (guint i = 0; i < routers->len; i++)
    if (mq_span_equal (g_array_index (routers, mq_gossip_router, i).client,
                       client))
      return true;
  return false;
}

/* Append to ROUTERS those of LIST (mq_gossip_router) that open tunnels, which
   are isolated from no service.  What a router says of itself goes before the
   list.  */
static void
tunnels_add_list (const mq_cluster *cluster, GArray *routers,
                  const GArray *list, uint64_t now_us)
{
  for (guint i = 0; i < list->len; i++)
    {
      const mq_gossip_router *x = &g_array_index (list, mq_gossip_router, i);

      if (x->tunnel_port > 0
          && !mq_span_equal (x->client, mq_str_span (cluster->client))
          && !tunnels_have (routers, x->client)
          && !cluster_receives_from (cluster, x->client, now_us))
        g_array_append_val (routers, *x);
    }
}

/* Append to ROUTERS the live members that open tunnels to SERVICE, as they say
   themselves: those that are draining, or those that are not.  */
static void
tunnels_add_members (const mq_cluster *cluster, GArray *routers,
                     uint64_t service, bool draining, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;
      mq_gossip_router x = { .client = mq_str_span (r->client),
                             .domain = mq_str_span (r->domain),
                             .capacity = r->capacity,
                             .tunnel_port = r->tunnel_port };

      if (r->tunnel_port > 0 && mq_cluster_member_is_alive (r, now_us)
          && !isolated_from (r->isolated, service) && r->draining == draining
          && (r->ready || draining))
        g_array_append_val (routers, x);
    }
}

void
mq_cluster_list_tunnels (const mq_cluster *cluster, uint64_t service,
                         GArray *routers, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  tunnels_add_members (cluster, routers, service, false, now_us);
  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const mq_cluster_member *r = value;

      if (!mq_cluster_member_is_alive (r, now_us))
        continue;
      tunnels_add_list (cluster, routers, r->serving, now_us);
      tunnels_add_list (cluster, routers, r->elsewhere, now_us);
    }
  if (routers->len == 0)
    tunnels_add_members (cluster, routers, service, true, now_us);
}
