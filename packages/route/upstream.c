/* The registry of upstreams: see mq/upstream.h.  */

#include <mq/upstream.h>

#include <string.h>

/* Consecutive failures after which an upstream is ejected.  A network fault
   may lose one in fifty responses of a sound upstream; two in a row are then
   lost once in 2,500.  */
#define FAILURES_TO_EJECT 2
/* First ejection; doubled each time up to MAX_EJECTION_US.  An incarnation
   that crashed leaves the platform's list after three heartbeats, so longer
   ejections would only delay the return of a sound one.  */
#define FIRST_EJECTION_US ((uint64_t)1000 * 1000)

/* Pause of new work after a rejection, doubled each time.  Some streams of a
   full stage end within the first; the longest is the time in which an engine
   loads a few layers.  */
#define FIRST_REJECTING_US ((uint64_t)200 * 1000)
#define MAX_REJECTING_US ((uint64_t)1600 * 1000)

/* An upstream that is short of memory accepts some request within this time,
   as others end continuously.  One that rejects everything for longer must be
   draining, though the store could not say so.  */
#define LEAVING_AFTER_US ((uint64_t)1000 * 1000)

/* Layers that an engine releases stay in its memory until the requests that
   pass through them ended; most last less than this.  */
#define LAYER_RELEASE_US ((uint64_t)5000 * 1000)
/* Validity of a reported slowdown.  Engines stay slow for at least as long, so
   that a slow one is not chosen again only to detect that it still is.  */
#define SLOWDOWN_VALID_US ((uint64_t)3000 * 1000)
#define MAX_EJECTION_US ((uint64_t)4000 * 1000)
/* A peer's report that an engine rejects work is ignored if the engine
   accepted a request of this router within this time: it had no room for the
   peer's request only.  */
#define RECENT_ACCEPT_US ((uint64_t)300 * 1000)
/* A reported duration is relative to its arrival, so the end that is computed
   from it shifts by the latency of the message.  */
#define PEER_MESSAGE_LAG_US ((uint64_t)50 * 1000)

void
mq_upstream_facts_finish (mq_upstream_facts *facts)
{
  mq_str_unref (facts->id);
  mq_str_unref (facts->service);
  mq_str_unref (facts->address);
  mq_str_unref (facts->domain);
  mq_str_unref (facts->card);
  memset (facts, 0, sizeof *facts);
}

mq_upstream *
mq_upstream_ref (mq_upstream *upstream)
{
  upstream->refs++;
  return upstream;
}

void
mq_upstream_unref (mq_upstream *upstream)
{
  if (upstream == NULL || --upstream->refs > 0)
    return;
  mq_upstream_facts_finish (&upstream->facts);
  g_free (upstream);
}

static void
registry_release (gpointer data)
{
  mq_upstream *u = data;

  u->listed = false;
  mq_upstream_unref (u);
}

static void
group_free (gpointer data)
{
  mq_upstream_group *g = data;

  mq_str_unref (g->domain);
  g_ptr_array_unref (g->upstreams);
  g_free (g);
}

static int
group_compare (gconstpointer a, gconstpointer b)
{
  const mq_upstream_group *x = *(const mq_upstream_group *const *)a;
  const mq_upstream_group *y = *(const mq_upstream_group *const *)b;

  return mq_span_compare (mq_str_span (x->domain), mq_str_span (y->domain));
}

static int
upstream_compare (gconstpointer a, gconstpointer b)
{
  const mq_upstream *x = *(const mq_upstream *const *)a;
  const mq_upstream *y = *(const mq_upstream *const *)b;

  return strcmp (x->facts.id->data, y->facts.id->data);
}

/* The group of UPSTREAM's domain among GROUPS, added when missing.  A linear
   search does, since there are few domains.  */
static mq_upstream_group *
group_find_or_add (GPtrArray *groups, const mq_upstream *upstream)
{
  mq_upstream_group *g;

  for (guint i = 0; i < groups->len; i++)
    {
      g = g_ptr_array_index (groups, i);
      if (mq_span_equal (mq_str_span (g->domain),
                         mq_str_span (upstream->facts.domain)))
        return g;
    }
  g = g_new0 (mq_upstream_group, 1);
  g->domain
      = upstream->facts.domain ? mq_str_ref (upstream->facts.domain) : NULL;
  g->upstreams
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mq_upstream_unref);
  g_ptr_array_add (groups, g);
  return g;
}

static void
registry_index (mq_registry *registry)
{
  GHashTableIter i;
  gpointer value;

  if (registry->indexed_change == registry->change)
    return;
  registry->indexed_change = registry->change;
  g_hash_table_remove_all (registry->groups);
  g_hash_table_iter_init (&i, registry->by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_upstream *u = value;
      GPtrArray *list
          = g_hash_table_lookup (registry->groups, u->facts.service->data);

      if (list == NULL)
        {
          list = g_ptr_array_new_with_free_func (group_free);
          g_hash_table_insert (registry->groups,
                               g_strdup (u->facts.service->data), list);
        }
      g_ptr_array_add (group_find_or_add (list, u)->upstreams,
                       mq_upstream_ref (u));
    }
  g_hash_table_iter_init (&i, registry->groups);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      GPtrArray *list = value;

      g_ptr_array_sort (list, group_compare);
      for (guint k = 0; k < list->len; k++)
        g_ptr_array_sort (
            ((mq_upstream_group *)g_ptr_array_index (list, k))->upstreams,
            upstream_compare);
    }
}

const GPtrArray *
mq_registry_groups (mq_registry *registry, mq_span service)
{
  char *name = g_strndup (service.size ? service.data : "", service.size);
  const GPtrArray *list;

  registry_index (registry);
  list = g_hash_table_lookup (registry->groups, name);
  g_free (name);
  return list;
}

const mq_upstream_group *
mq_registry_group (mq_registry *registry, mq_span service, mq_span domain)
{
  const GPtrArray *list = mq_registry_groups (registry, service);

  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const mq_upstream_group *g = g_ptr_array_index (list, i);

      if (mq_span_equal (mq_str_span (g->domain), domain))
        return g;
    }
  return NULL;
}

void
mq_registry_init (mq_registry *registry)
{
  registry->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                           registry_release);
  registry->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
  registry->indexed_change = 0;
  registry->change = 1;
}

void
mq_registry_finish (mq_registry *registry)
{
  g_hash_table_unref (registry->groups);
  g_hash_table_unref (registry->by_id);
}

static unsigned
facts_layer_count (const mq_upstream_facts *facts)
{
  return facts->layer_end > facts->layer_first
             ? facts->layer_end - facts->layer_first
             : 0;
}

/* Record the present layers of UPSTREAM as retained if FACTS has fewer.  */
static void
upstream_record_release (mq_upstream *upstream, const mq_upstream_facts *facts,
                         uint64_t now_us)
{
  unsigned before = facts_layer_count (&upstream->facts);

  if (facts_layer_count (facts) >= before)
    return;
  upstream->retained_layers = before;
  upstream->retained_until_us = now_us + LAYER_RELEASE_US;
}

/* Discard what was observed of an earlier run of UPSTREAM.  Requests in flight
   stay counted: each ends by itself.  */
static void
upstream_reset (mq_upstream *upstream)
{
  mq_upstream kept = *upstream;

  memset (upstream, 0, sizeof *upstream);
  upstream->refs = kept.refs;
  upstream->facts = kept.facts;
  upstream->listed = kept.listed;
  upstream->in_flight = kept.in_flight;
}

static bool
facts_are_from_new_start (const mq_upstream_facts *facts,
                          const mq_upstream_facts *before)
{
  return facts->born_ms != 0 && before->born_ms != 0
         && facts->born_ms != before->born_ms;
}

/* Mark the count of orders of UPSTREAM as unknown if it holds other layers
   than this router ordered last: another router sent it orders.  */
static void
upstream_check_order_count (mq_upstream *upstream)
{
  const mq_upstream_facts *f = &upstream->facts;

  if (f->layer_first != f->layer_end
      && (f->layer_first != upstream->ordered_first
          || f->layer_end != upstream->ordered_end))
    upstream->orders_unknown = true;
}

unsigned
mq_upstream_resident_layers (const mq_upstream *upstream, uint64_t now_us)
{
  unsigned n = facts_layer_count (&upstream->facts);

  return now_us < upstream->retained_until_us
             ? MAX (n, upstream->retained_layers)
             : n;
}

void
mq_registry_put (mq_registry *registry, mq_upstream_facts *facts,
                 uint64_t now_us)
{
  mq_upstream *u = g_hash_table_lookup (registry->by_id, facts->id->data);

  registry->change++;
  if (u == NULL)
    {
      u = g_new0 (mq_upstream, 1);
      u->refs = 1;
      u->listed = true;
      u->listed_us = now_us;
      registry->last_added_us = now_us;
      u->facts = *facts;
      g_hash_table_insert (registry->by_id, u->facts.id->data, u);
    }
  else
    {
      /* The hash table's key points into the old id, so that is kept.  */
      mq_str *id = facts->id;

      if (facts_are_from_new_start (facts, &u->facts))
        {
          upstream_reset (u);
          u->listed_us = now_us;
          u->restarted_us = now_us;
          registry->last_added_us = now_us;
        }
      else
        upstream_record_release (u, facts, now_us);
      if (facts->layer_first != u->facts.layer_first
          || facts->layer_end != u->facts.layer_end)
        u->platform_layers_us = now_us;
      facts->id = u->facts.id;
      u->facts.id = NULL;
      mq_upstream_facts_finish (&u->facts);
      u->facts = *facts;
      mq_str_unref (id);
    }
  upstream_check_order_count (u);
  memset (facts, 0, sizeof *facts);
}

bool
mq_registry_set_layers (mq_registry *registry, mq_upstream *upstream,
                        unsigned first, unsigned end, uint64_t now_us)
{
  mq_upstream_facts f = upstream->facts;

  if (first > end || (f.layer_first == first && f.layer_end == end))
    return false;
  if (upstream->platform_layers_us > 0
      && now_us < upstream->platform_layers_us + MQ_UPSTREAM_MAX_REPORT_LAG_US)
    return false;
  f.layer_first = first;
  f.layer_end = end;
  upstream_record_release (upstream, &f, now_us);
  upstream->facts = f; /* The references to strings move along.  */
  upstream_check_order_count (upstream);
  registry->change++;
  return true;
}

void
mq_registry_remove (mq_registry *registry, mq_span id)
{
  char *text = g_strndup (id.data, id.size);

  if (g_hash_table_remove (registry->by_id, text))
    registry->change++;
  g_free (text);
}

void
mq_registry_retain (mq_registry *registry, GHashTable *keep)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, registry->by_id);
  while (g_hash_table_iter_next (&i, &key, NULL))
    if (!g_hash_table_contains (keep, key))
      {
        g_hash_table_iter_remove (&i);
        registry->change++;
      }
}

mq_upstream *
mq_registry_find (const mq_registry *registry, mq_span id)
{
  char *text = g_strndup (id.size ? id.data : "", id.size);
  mq_upstream *u = g_hash_table_lookup (registry->by_id, text);

  g_free (text);
  return u;
}

mq_upstream *
mq_registry_find_address (const mq_registry *registry, mq_span address)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, registry->by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_upstream *u = value;

      if (mq_span_equal (mq_str_span (u->facts.address), address))
        return u;
    }
  return NULL;
}

double
mq_upstream_slowdown (const mq_upstream *upstream, uint64_t now_us)
{
  return now_us < upstream->slowdown_until_us ? MAX (upstream->slowdown, 1)
                                              : 1;
}

bool
mq_upstream_slowdown_is_news (const mq_upstream *upstream, uint64_t now_us)
{
  return mq_upstream_slowdown (upstream, now_us) > 1;
}

void
mq_upstream_set_slowdown (mq_upstream *upstream, double slowdown,
                          uint64_t now_us)
{
  upstream->slowdown = slowdown;
  upstream->slowdown_source = (mq_finding_source){ 0, false };
  upstream->slowdown_until_us = now_us + SLOWDOWN_VALID_US;
}

void
mq_upstream_apply_peer_slowdown (mq_upstream *upstream, double slowdown,
                                 uint64_t duration_us, mq_finding_source by,
                                 uint64_t now_us)
{
  if (now_us < upstream->slowdown_until_us)
    return;
  mq_upstream_set_slowdown (upstream, slowdown, now_us);
  upstream->slowdown_source = by;
  /* A report that is propagated must not outlive the original.  */
  upstream->slowdown_until_us = now_us + MIN (duration_us, SLOWDOWN_VALID_US);
}

void
mq_registry_note_leaving (mq_registry *registry, mq_upstream *upstream,
                          mq_finding_source by)
{
  if (upstream->announced_leaving)
    return;
  upstream->announced_leaving = true;
  upstream->announced_leaving_source = by;
  registry->change++;
}

bool
mq_upstream_is_draining (const mq_upstream *upstream)
{
  return upstream->facts.draining || upstream->announced_leaving;
}

bool
mq_upstream_is_usable (const mq_upstream *upstream, uint64_t now_us)
{
  return upstream->listed && !mq_upstream_is_draining (upstream)
         && now_us >= upstream->ejected_until_us;
}

bool
mq_upstream_accepts_work (const mq_upstream *upstream, uint64_t now_us)
{
  return mq_upstream_is_usable (upstream, now_us)
         && now_us >= upstream->rejected_us + upstream->rejecting_duration_us
         && now_us >= upstream->peer_rejecting_until_us;
}

void
mq_upstream_apply_limit (mq_upstream *upstream, double per_s, uint64_t at_us,
                         mq_finding_source by, double phase)
{
  if (at_us >= upstream->restarted_us
      && mq_upstream_limit_set (&upstream->limit, per_s, at_us, phase))
    upstream->limit_source = by;
}

void
mq_upstream_apply_rest (mq_upstream *upstream, uint64_t duration_us,
                        uint64_t now_us)
{
  upstream->rest_until_us
      = MAX (upstream->rest_until_us, now_us + duration_us);
}

bool
mq_upstream_is_resting (const mq_upstream *upstream, uint64_t now_us)
{
  return now_us < upstream->rest_until_us;
}

bool
mq_upstream_is_leaving (const mq_upstream *upstream, uint64_t now_us)
{
  return upstream->rejecting_since_us > 0
         && upstream->rejected_us
                > upstream->rejecting_since_us + LEAVING_AFTER_US
         && now_us < upstream->rejected_us + upstream->rejecting_duration_us
                         + MAX_REJECTING_US;
}

void
mq_upstream_rejected (mq_upstream *upstream, uint64_t now_us)
{
  uint64_t until = upstream->rejected_us + upstream->rejecting_duration_us;

  /* Rejections during the pause have the same cause and count once.  */
  if (now_us < until)
    return;
  if (upstream->rejecting_duration_us == 0
      || now_us > until + MAX_REJECTING_US)
    upstream->rejecting_since_us = now_us;
  upstream->rejecting_duration_us
      = upstream->rejecting_duration_us == 0
                || now_us > until + MAX_REJECTING_US
            ? FIRST_REJECTING_US
            : MIN (upstream->rejecting_duration_us * 2, MAX_REJECTING_US);
  upstream->rejected_us = now_us;
}

void
mq_upstream_accepted (mq_upstream *upstream, uint64_t sent_us)
{
  upstream->accepted_us = MAX (upstream->accepted_us, sent_us);
  /* A request sent before the rejection does not show that there is memory for
     more.  */
  if (sent_us <= upstream->rejected_us)
    return;
  upstream->peer_rejecting_until_us = 0;
  upstream->rejecting_duration_us = 0;
  upstream->rejecting_since_us = 0;
}

void
mq_upstream_succeeded (mq_upstream *upstream, uint64_t sent_us)
{
  mq_upstream_accepted (upstream, sent_us);
  upstream->peer_ejection_refuted_us = MAX (upstream->peer_ejection_refuted_us,
                                            upstream->peer_ejected_until_us);
  upstream->crashed = false;
  if (upstream->proof == MQ_PROOF_LOST)
    upstream->proof = MQ_PROOF_ANSWERED;
  upstream->failures = 0;
  upstream->ejected_until_us = 0;
  upstream->reported_down_until_us = 0;
  upstream->peer_ejected_until_us = 0;
  upstream->ejection_duration_us = 0;
}

uint64_t
mq_upstream_rejecting_us (const mq_upstream *upstream, uint64_t now_us)
{
  uint64_t until = upstream->rejected_us + upstream->rejecting_duration_us;

  return upstream->rejecting_duration_us > FIRST_REJECTING_US && until > now_us
             ? until - now_us
             : 0;
}

void
mq_upstream_apply_peer_rejecting (mq_upstream *upstream, uint64_t duration_us,
                                  mq_finding_source by, uint64_t now_us)
{
  uint64_t until = now_us + MIN (duration_us, MAX_REJECTING_US);

  if (upstream->accepted_us + RECENT_ACCEPT_US > now_us
      || until <= upstream->peer_rejecting_until_us)
    return;
  upstream->peer_rejecting_until_us = until;
  upstream->peer_rejecting_source = by;
}

void
mq_upstream_eject (mq_upstream *upstream, uint64_t now_us,
                   uint64_t duration_us)
{
  uint64_t until = now_us + MAX (duration_us, upstream->ejection_duration_us);

  upstream->proof = MQ_PROOF_LOST;
  upstream->ejected_until_us = MAX (upstream->ejected_until_us, until);
}

void
mq_upstream_apply_peer_ejection (mq_upstream *upstream, uint64_t duration_us,
                                 mq_finding_source by, uint64_t now_us)
{
  /* Peers repeat a report until it expires, also after it was refuted.  */
  if (now_us + duration_us
      <= upstream->peer_ejection_refuted_us + PEER_MESSAGE_LAG_US)
    return;
  mq_upstream_eject (upstream, now_us, duration_us);
  if (now_us + duration_us <= upstream->peer_ejected_until_us)
    return;
  upstream->peer_ejected_until_us = now_us + duration_us;
  upstream->peer_ejection_source = by;
}

static void
upstream_lengthen_ejection (mq_upstream *upstream)
{
  upstream->ejection_duration_us
      = upstream->ejection_duration_us == 0
            ? FIRST_EJECTION_US
            : MIN (upstream->ejection_duration_us * 2, MAX_EJECTION_US);
}

void
mq_upstream_reported_down (mq_upstream *upstream, uint64_t now_us,
                           uint64_t min_us)
{
  /* Reports during the ejection have the same cause and count once.  */
  if (now_us >= upstream->ejected_until_us)
    upstream_lengthen_ejection (upstream);
  mq_upstream_eject (upstream, now_us, min_us);
  upstream->reported_down_until_us = upstream->ejected_until_us;
  upstream->unreachable_us = 0;
}

void
mq_upstream_failed (mq_upstream *upstream, uint64_t now_us)
{
  if (++upstream->failures < FAILURES_TO_EJECT)
    return;
  upstream_lengthen_ejection (upstream);
  mq_upstream_eject (upstream, now_us, upstream->ejection_duration_us);
}

void
mq_upstream_unreachable (mq_upstream *upstream, uint64_t now_us)
{
  bool reported = now_us < upstream->reported_down_until_us;

  mq_upstream_failed (upstream, now_us);
  if (upstream->failures < FAILURES_TO_EJECT)
    return;
  upstream->reported_down_until_us = upstream->ejected_until_us;
  if (!reported)
    upstream->unreachable_us = now_us;
}

void
mq_upstream_answered (mq_upstream *upstream)
{
  upstream->proof = MQ_PROOF_ANSWERED;
}

void
mq_upstream_unanswered (mq_upstream *upstream)
{
  if (upstream->proof == MQ_PROOF_NONE)
    upstream->proof = MQ_PROOF_SILENT;
}

void
mq_upstream_refused (mq_upstream *upstream, uint64_t now_us)
{
  if (upstream->proof != MQ_PROOF_ANSWERED)
    upstream->failures = MAX (upstream->failures, FAILURES_TO_EJECT - 1);
  upstream->proof = MQ_PROOF_LOST;
  mq_upstream_unreachable (upstream, now_us);
}

void
mq_upstream_retract_failures (mq_upstream *upstream)
{
  if (upstream->proof == MQ_PROOF_LOST
      && upstream->peer_ejected_until_us < upstream->ejected_until_us)
    upstream->proof = MQ_PROOF_SILENT;
  upstream->crashed = false;
  upstream->failures = 0;
  upstream->ejected_until_us = upstream->peer_ejected_until_us;
  upstream->reported_down_until_us = 0;
  upstream->unreachable_us = 0;
  upstream->ejection_duration_us = 0;
}
