/* Discovery: the entries that a client should use, best first.

   Weighted rendezvous hashing: the hash of a client and an entry gives a
   number u in (0, 1), and entries are sorted by -ln (u) / weight.  An entry of
   weight w then comes first with probability w over the sum of all weights,
   independently for each client.  A client keeps its order while the weights
   stay the same, and the clients of a dead entry are spread over the others by
   weight.  No entry is the best for all, so an outdated load report causes no
   herding.

   In a large region each organisation uses a few entries only (a subset by
   rendezvous hashing of its name), so that its burst does not reach all and
   few routers share its limit; small organisations use different subsets.  */

#include <mq/fleet.h>
#include <mq/internal/fleet.h>

#include <math.h>
#include <string.h>

#define FULL_LOAD 1000
/* So that a saturated entry keeps a few clients.  */
#define MIN_WEIGHT 50
/* Factor on the weight of entries in the client's failure domain.  */
#define SAME_DOMAIN_FACTOR 4
#define MIN_SUBSET_ENTRIES 8 /* Entries for a small organisation.  */
#define TTL_JITTER_PERCENT 20

/* An entry that could be listed.  */
typedef struct candidate
{
  const mq_member *member;
  double key; /* Lowest first.  */
  uint32_t weight;
} candidate;

static int
candidate_compare (gconstpointer a, gconstpointer b)
{
  const candidate *x = a;
  const candidate *y = b;

  return (x->key > y->key) - (x->key < y->key);
}

/* Maps HASH to a number in (0, 1).  */
static double
unit_from_hash (uint64_t hash)
{
  return ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
}

static uint32_t
member_weight (const mq_member *m)
{
  uint32_t load = MIN (m->load, FULL_LOAD);

  return MAX (FULL_LOAD - load, MIN_WEIGHT);
}

/* Keeps the SIZE members that rank highest for the organisation.  */
static void
candidates_limit (GArray *candidates, mq_span organisation, guint size)
{
  if (candidates->len <= size)
    return;
  for (guint i = 0; i < candidates->len; i++)
    {
      candidate *c = &g_array_index (candidates, candidate, i);

      c->key = -(double)(mq_owner_rank (MQ_OWNED_ORGANISATION, organisation,
                                        mq_str_span (c->member->vm))
                         >> 11);
    }
  g_array_sort (candidates, candidate_compare);
  g_array_set_size (candidates, size);
}

static void
candidates_collect (GArray *candidates, const mq_fleet *fleet)
{
  for (guint i = 0; i <= fleet->members->len; i++)
    {
      const mq_member *m = i == fleet->members->len
                               ? fleet->self
                               : g_ptr_array_index (fleet->members, i);
      candidate c = { .member = m, .weight = member_weight (m) };

      if (mq_fleet_is_eligible (fleet, m) && m->entry_address != NULL)
        g_array_append_val (candidates, c);
    }
}

static guint
subset_size (const mq_discovery *request, guint n)
{
  double size = ceil (2.0 * request->organisation_share * n);

  return MAX (MIN_SUBSET_ENTRIES, (guint)size);
}

static void
candidates_order (GArray *candidates, const mq_discovery *request)
{
  for (guint i = 0; i < candidates->len; i++)
    {
      candidate *c = &g_array_index (candidates, candidate, i);
      uint64_t h = mq_hash_mix (request->caller,
                                mq_span_hash (mq_str_span (c->member->vm)));
      double weight = c->weight;

      if (request->failure_domain.size > 0
          && mq_span_equal (request->failure_domain,
                            mq_str_span (c->member->failure_domain)))
        weight *= SAME_DOMAIN_FACTOR;
      c->key = -log (unit_from_hash (h)) / weight;
    }
  g_array_sort (candidates, candidate_compare);
}

/* Returns the policy's time to live, reduced by a jitter from the client's
   hash.  */
static uint32_t
jitter_ttl (const mq_discovery *request)
{
  uint64_t h = mq_hash_mix (request->caller, request->ttl_ms);
  uint32_t max_cut_ms = request->ttl_ms / 100 * TTL_JITTER_PERCENT;

  return request->ttl_ms - (uint32_t)(unit_from_hash (h) * max_cut_ms);
}

void
mq_discovery_reply_fill (mq_discovery_reply *reply, const mq_fleet *fleet,
                         const mq_discovery *request)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (candidate));

  memset (reply, 0, sizeof *reply);
  reply->ttl_ms = jitter_ttl (request);
  candidates_collect (candidates, fleet);
  candidates_limit (candidates, request->organisation,
                    subset_size (request, candidates->len));
  candidates_order (candidates, request);
  for (guint i = 0; i < candidates->len && i < MQ_DISCOVERY_MAX_ENTRIES; i++)
    {
      const candidate *c = &g_array_index (candidates, candidate, i);
      mq_discovery_entry *e = &reply->entries[reply->n++];

      e->vm = c->member->vm;
      e->address = c->member->entry_address;
      e->failure_domain = c->member->failure_domain;
      e->weight = c->weight;
    }
  g_array_unref (candidates);
}
