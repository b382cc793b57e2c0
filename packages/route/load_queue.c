/* Order and number of loads: see mq/load_queue.h.

   The orders of each failure domain are divided into levels: those of level 0
   together give every layer one holder, those of level 1 a second one, and so
   on.  */

#include <mq/load_queue.h>

#include <string.h>

/* Loads that may be open without traffic, as a multiple of
   max_concurrent_loads.  A load then takes a tenth of the time, so these are
   done as soon as max_concurrent_loads with traffic: traffic that begins finds
   the store busy for at most the time of one load.  */
#define QUIET_LIMIT_FACTOR 10
/* A domain that holds at least this share of the layers is repaired at once;
   otherwise it is loaded as at a start, since that many loads beyond the limit
   would delay the repairs of others.  */
#define MIN_REPAIR_SHARE 0.5
/* How long the copies of other domains wait for a domain whose loads make no
   progress.  The longest load of one engine, that of all layers with the
   store's full rate, takes about 14 s.  */
#define MAX_STALL_US ((uint64_t)15000 * 1000)
/* How long a domain with open loads of an earlier leader gets no orders, as
   these loads may fill its gaps.  A load with traffic takes 1 to 3 s.  */
#define MAX_REPORTED_WAIT_US ((uint64_t)3000 * 1000)
/* Engines that start together register within a heartbeat (1.2 s).  */
#define REGISTRATION_SETTLE_US ((uint64_t)1500 * 1000)
/* Limit of that wait.  Engines that start together and their last retries have
   registered by then (2.7 s); a fleet that needs longer has enough engines for
   its first chains.  */
#define MAX_REGISTRATION_WAIT_US ((uint64_t)4000 * 1000)

/* Selections further apart than this say nothing of the time between them:
   this router was not the leader.  A leader selects every 100 ms.  */
#define MAX_SELECT_INTERVAL_US ((uint64_t)1000 * 1000)

/* The level of an order that no chain needs.  */
#define LEVEL_NONE UINT_MAX

/* The state of one failure domain between selections.  */
typedef struct load_domain_state
{
  uint64_t engine_set_hash; /* Of the last reservation ...  */
  uint64_t summing_hash;    /* ... and of the one under way.  */
  bool had_chain;           /* It has had a whole chain.  */
  unsigned missing;         /* Layers that no engine held last.  */
  uint64_t progress_us;     /* When that number last fell or was 0.  */
} load_domain_state;

/* A wanted order that waits.  */
typedef struct load_reservation
{
  unsigned first, end;           /* Layers of the order.  */
  unsigned held_first, held_end; /* Layers that the engine holds.  */
  const mq_card *card; /* Of the engine; only compared, since another engine
                          may have come to the same address.  */
} load_reservation;

/* One failure domain during a selection.  */
typedef struct load_domain
{
  mq_span name;
  load_domain_state *state;
  unsigned *held;    /* Engines that hold each layer.  */
  unsigned *planned; /* The same with those that have been ordered to.  */
  unsigned missing;  /* Layers that none holds.  */
  unsigned engines;
  unsigned reported; /* Loads of another leader that are open.  */
  bool used;         /* Requests pass through it.  */
  bool completes;    /* Orders sent and wanted give it a whole chain.  */
  bool repairs;      /* A chain in use lacks layers.  */
} load_domain;

/* A wanted order.  */
typedef struct load_item
{
  mq_layer_order order;
  load_domain *domain;
  bool loads; /* It loads layers that its engine does not hold.  */
  bool moves; /* It also releases layers.  */
  unsigned level;
  unsigned missing; /* Layers that the domain lacks for a chain of LEVEL.  */
  guint sequence;   /* Position in the order in which it is chosen.  */
} load_item;

void
mq_load_queue_init (mq_load_queue *queue)
{
  memset (queue, 0, sizeof *queue);
  queue->domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  queue->waiting = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

void
mq_load_queue_finish (mq_load_queue *queue)
{
  g_clear_pointer (&queue->domains, g_hash_table_unref);
  g_clear_pointer (&queue->waiting, g_hash_table_unref);
}

bool
mq_load_queue_may_begin (mq_load_queue *queue, bool any_held,
                         uint64_t last_added_us, uint64_t now_us)
{
  if (any_held || now_us - last_added_us >= REGISTRATION_SETTLE_US)
    {
      queue->waits_since_us = 0;
      return true;
    }
  if (queue->waits_since_us == 0)
    queue->waits_since_us = now_us;
  return now_us - queue->waits_since_us >= MAX_REGISTRATION_WAIT_US;
}

uint64_t
mq_load_queue_delay_us (const mq_load_queue *queue, uint64_t now_us)
{
  const mq_load_counts *c = &queue->counts;
  uint64_t us = now_us - queue->selected_us;

  if (c->limit == 0 || c->loading <= c->limit || us > MAX_SELECT_INTERVAL_US)
    return 0;
  return us - us * c->limit / c->loading;
}

/* ---- Domains.  */

static load_domain_state *
queue_domain_state (mq_load_queue *queue, mq_span name)
{
  char *key = g_strndup (name.size > 0 ? name.data : "", name.size);
  load_domain_state *s = g_hash_table_lookup (queue->domains, key);

  if (s != NULL)
    {
      g_free (key);
      return s;
    }
  s = g_new0 (load_domain_state, 1);
  s->missing = G_MAXUINT;
  g_hash_table_insert (queue->domains, key, s);
  return s;
}

/* Returns true if the reservation of HOLDER still holds: the engines of its
   domain are the same, and it may get the order.  */
static bool
reservation_is_valid (const load_reservation *r, const mq_layer_holder *holder,
                      const load_domain_state *domain)
{
  return domain->summing_hash == domain->engine_set_hash && !holder->fixed
         && holder->first == r->held_first && holder->end == r->held_end
         && holder->card == r->card;
}

void
mq_load_queue_reserve (mq_load_queue *queue, mq_layer_holder *holders,
                       size_t n)
{
  GHashTableIter i;
  gpointer value;

  for (size_t k = 0; k < n; k++)
    queue_domain_state (queue, holders[k].domain)->summing_hash
        += mq_hash_mix (1, (uintptr_t)holders[k].user);
  for (size_t k = 0; k < n && g_hash_table_size (queue->waiting) > 0; k++)
    {
      mq_layer_holder *h = &holders[k];
      load_reservation *r = g_hash_table_lookup (queue->waiting, h->user);

      if (r == NULL)
        continue;
      if (!reservation_is_valid (r, h, queue_domain_state (queue, h->domain)))
        {
          g_hash_table_remove (queue->waiting, h->user);
          continue;
        }
      h->first = r->first;
      h->end = r->end;
      h->fixed = true;
      h->awaited = true;
    }
  g_hash_table_iter_init (&i, queue->domains);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      load_domain_state *s = value;

      s->engine_set_hash = s->summing_hash;
      s->summing_hash = 0;
    }
}

/* Undo the reservations in the N HOLDERS, and add what waited to ORDERS.  */
static void
queue_restore (mq_load_queue *queue, mq_layer_holder *holders, size_t n,
               GArray *orders)
{
  for (size_t k = 0; k < n; k++)
    {
      mq_layer_holder *h = &holders[k];
      const load_reservation *r
          = g_hash_table_lookup (queue->waiting, h->user);
      mq_layer_order o;

      if (r == NULL)
        continue;
      o = (mq_layer_order){ h, r->first, r->end };
      g_array_append_val (orders, o);
      h->first = r->held_first;
      h->end = r->held_end;
      h->fixed = false;
      h->awaited = false;
    }
  g_hash_table_remove_all (queue->waiting);
}

static void
load_domain_free (gpointer data)
{
  load_domain *d = data;

  g_free (d->held);
  g_free (d->planned);
  g_free (d);
}

/* Returns the domain called NAME in DOMAINS (load_domain), added if it is
   missing.  */
static load_domain *
domains_get (GPtrArray *domains, mq_load_queue *queue,
             const mq_layered_model *model, mq_span name)
{
  load_domain *d;

  for (guint i = 0; i < domains->len; i++)
    {
      d = g_ptr_array_index (domains, i);
      if (mq_span_equal (d->name, name))
        return d;
    }
  d = g_new0 (load_domain, 1);
  d->name = name;
  d->state = queue_domain_state (queue, name);
  d->held = g_new0 (unsigned, model->layers);
  d->planned = g_new0 (unsigned, model->layers);
  g_ptr_array_add (domains, d);
  return d;
}

static void
cover_add (unsigned *cover, const mq_layered_model *model, unsigned first,
           unsigned end)
{
  for (unsigned l = first; l < MIN (end, model->layers); l++)
    cover[l]++;
}

/* Returns the number of layers that at most LEVEL engines hold.  */
static unsigned
cover_count_missing (const unsigned *cover, const mq_layered_model *model,
                     unsigned level)
{
  unsigned n = 0;

  for (unsigned l = 0; l < model->layers; l++)
    n += cover[l] <= level;
  return n;
}

static void
domain_add_holder (load_domain *domain, const mq_layered_model *model,
                   const mq_layer_holder *holder)
{
  domain->engines++;
  cover_add (domain->planned, model, holder->first, holder->end);
  if (!holder->awaited)
    cover_add (domain->held, model, holder->first, holder->end);
  domain->reported += holder->loading && !holder->awaited;
  domain->used = domain->used || holder->used;
}

/* Complete DOMAIN after all its holders were added.  */
static void
domain_update_state (load_domain *domain, const mq_layered_model *model,
                     bool traffic, uint64_t now_us)
{
  load_domain_state *s = domain->state;
  bool gap = cover_count_missing (domain->planned, model, 0) > 0;

  domain->missing = cover_count_missing (domain->held, model, 0);
  if (domain->missing == 0)
    s->had_chain = true;
  if (domain->missing < s->missing || domain->missing == 0)
    s->progress_us = now_us;
  s->missing = domain->missing;
  domain->repairs
      = traffic && gap && (s->had_chain || domain->used)
        && domain->missing <= model->layers * (1 - MIN_REPAIR_SHARE);
}

/* ---- Levels.  */

/* Returns true if A is the better one of two orders to cover LAYER.  A layout
   divides the layers of each chain, so an order that begins at LAYER wastes
   none; of these, the shortest load ends first.  Otherwise the order that
   extends furthest leaves the fewest to follow.  */
static bool
order_is_better (const mq_layer_order *a, const mq_layer_order *b,
                 unsigned layer)
{
  if ((a->first == layer) != (b->first == layer))
    return a->first == layer;
  return a->first == layer ? a->end < b->end : a->end > b->end;
}

/* Take the best one that covers LAYER out of ITEMS (load_item), those of one
   domain that load layers and have no level yet.  Returns NULL if there is
   none.  */
static load_item *
items_take_best (GPtrArray *items, unsigned layer)
{
  load_item *best = NULL;
  guint at = 0;

  for (guint i = 0; i < items->len; i++)
    {
      load_item *t = g_ptr_array_index (items, i);

      if (t->order.first > layer || layer >= t->order.end
          || (best != NULL
              && !order_is_better (&t->order, &best->order, layer)))
        continue;
      best = t;
      at = i;
    }
  if (best != NULL)
    g_ptr_array_remove_index_fast (items, at);
  return best;
}

/* Assign LEVEL to those of the ITEMS of a domain that give each layer a holder
   more than LEVEL, take them out, and add them to COVER.  Returns the number
   of items.  */
static guint
items_assign_level (GPtrArray *items, const mq_layered_model *model,
                    unsigned *cover, unsigned level, guint sequence)
{
  unsigned missing = cover_count_missing (cover, model, level);
  guint n = 0;

  for (unsigned l = 0; l < model->layers; l++)
    {
      load_item *t = cover[l] <= level ? items_take_best (items, l) : NULL;

      if (t == NULL)
        continue;
      t->level = level;
      t->missing = missing;
      t->sequence = sequence + n++;
      cover_add (cover, model, t->order.first, t->order.end);
    }
  return n;
}

/* Assign levels to the ITEMS of DOMAIN, and take them out.  No layer has more
   holders than there are engines.  */
static void
domain_assign_levels (load_domain *domain, GPtrArray *items,
                      const mq_layered_model *model)
{
  unsigned *cover
      = g_memdup2 (domain->planned, model->layers * sizeof *domain->planned);
  guint sequence = 0;

  sequence += items_assign_level (items, model, cover, 0, sequence);
  domain->completes = cover_count_missing (cover, model, 0) == 0;
  for (unsigned level = 1; items->len > 0 && level <= domain->engines; level++)
    sequence += items_assign_level (items, model, cover, level, sequence);
  g_free (cover);
}

/* ---- Selection.  */

/* The first sort key of an item: what never waits, then the loads that
   complete a chain, then all others.  */
static int
item_class (const load_item *item)
{
  if (!item->loads || (item->domain->repairs && item->level == 0))
    return 0;
  if (item->level == 0 && item->domain->completes)
    return 1;
  return 2;
}

/* Compares items (load_item) by the order in which they are to be sent.  */
static int
item_compare (gconstpointer a, gconstpointer b)
{
  const load_item *x = a;
  const load_item *y = b;
  int c = item_class (x) - item_class (y);

  if (c != 0)
    return c;
  if (x->level != y->level)
    return x->level < y->level ? -1 : 1;
  if (x->missing != y->missing)
    return x->missing < y->missing ? -1 : 1;
  c = mq_span_compare (x->domain->name, y->domain->name);
  if (c != 0)
    return c;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* Returns true if the copies of all domains wait for DOMAIN.  */
static bool
domain_holds_back (const load_domain *domain, uint64_t now_us)
{
  return domain->missing > 0 && domain->completes
         && now_us < domain->state->progress_us + MAX_STALL_US;
}

/* Returns true if DOMAIN waits for the loads of an earlier leader.  */
static bool
domain_waits_for_reports (const load_domain *domain, uint64_t now_us)
{
  return domain->reported > 0 && domain->missing > 0 && !domain->repairs
         && now_us < domain->state->progress_us + MAX_REPORTED_WAIT_US;
}

/* Whether ITEM is sent now: MQ_LOAD_WAIT_NONE; otherwise why not.  */
static mq_load_wait
item_decide (const load_item *item, const mq_load_counts *counts, bool traffic,
             bool chains_first, uint64_t now_us)
{
  int class = item_class (item);
  /* Moves of one new layout are not divided, nor are they a start.  */
  bool rebuilds = class == 1 && item->moves;

  if (class == 0 || rebuilds || counts->limit == 0
      || item->order.holder->unknown)
    return MQ_LOAD_WAIT_NONE;
  if (domain_waits_for_reports (item->domain, now_us))
    return MQ_LOAD_WAIT_REPORTS;
  if (class == 2 && chains_first)
    return MQ_LOAD_WAIT_CHAINS;
  if (counts->open >= counts->limit && (traffic || class == 2))
    return MQ_LOAD_WAIT_SLOTS;
  return MQ_LOAD_WAIT_NONE;
}

static void
queue_add_waiting (mq_load_queue *queue, const load_item *item)
{
  const mq_layer_order *o = &item->order;
  load_reservation *r = g_new (load_reservation, 1);

  *r = (load_reservation){ o->first, o->end, o->holder->first, o->holder->end,
                           o->holder->card };
  g_hash_table_insert (queue->waiting, o->holder->user, r);
}

/* Fill ORDERS with those of ITEMS (load_item, sorted) that are sent now.  The
   others wait.  */
static void
queue_select_items (mq_load_queue *queue, GArray *items, bool traffic,
                    bool chains_first, uint64_t now_us, GArray *orders)
{
  mq_load_counts *counts = &queue->counts;

  g_array_set_size (orders, 0);
  for (guint i = 0; i < items->len; i++)
    {
      const load_item *t = &g_array_index (items, load_item, i);
      mq_load_wait why
          = item_decide (t, counts, traffic, chains_first, now_us);

      if (why == MQ_LOAD_WAIT_NONE)
        {
          g_array_append_val (orders, t->order);
          if (!t->loads || t->order.holder->unknown)
            continue;
          counts->open++;
          counts->loading += !t->order.holder->used;
          counts->sent++;
          continue;
        }
      if (counts->waiting++ == 0)
        counts->why = why;
      queue_add_waiting (queue, t);
    }
}

static load_item
item_make (const mq_layer_order *order, load_domain *domain)
{
  const mq_layer_holder *h = order->holder;
  bool holds = h->first < h->end;

  return (load_item){
    .order = *order,
    .domain = domain,
    .loads = order->first < order->end
             && (!holds || order->first < h->first || order->end > h->end),
    .moves = holds && (order->first > h->first || order->end < h->end),
    .level = LEVEL_NONE,
    .sequence = G_MAXUINT,
  };
}

/* Assign levels to ITEMS (load_item), each domain for itself.  */
static void
items_assign_levels (GArray *items, GPtrArray *domains,
                     const mq_layered_model *model)
{
  for (guint i = 0; i < domains->len; i++)
    {
      load_domain *d = g_ptr_array_index (domains, i);
      GPtrArray *own = g_ptr_array_new ();

      for (guint k = 0; k < items->len; k++)
        {
          load_item *t = &g_array_index (items, load_item, k);

          if (t->domain == d && t->loads)
            g_ptr_array_add (own, t);
        }
      domain_assign_levels (d, own, model);
      g_ptr_array_unref (own);
    }
}

void
mq_load_queue_select (mq_load_queue *queue, const mq_layered_model *model,
                      mq_layer_holder *holders, size_t n, bool traffic,
                      uint64_t now_us, GArray *orders)
{
  GPtrArray *domains = g_ptr_array_new_with_free_func (load_domain_free);
  GArray *items = g_array_new (FALSE, FALSE, sizeof (load_item));
  mq_load_counts *c = &queue->counts;
  bool chains_first = false;
  unsigned wanted = 0;

  queue_restore (queue, holders, n, orders);
  *c = (mq_load_counts){ .limit = model->max_concurrent_loads
                                  * (traffic ? 1 : QUIET_LIMIT_FACTOR) };
  for (size_t i = 0; i < n; i++)
    {
      domain_add_holder (
          domains_get (domains, queue, model, holders[i].domain), model,
          &holders[i]);
      c->open += holders[i].loading;
      c->loading += holders[i].loading && !holders[i].used;
    }
  for (guint i = 0; i < domains->len; i++)
    domain_update_state (g_ptr_array_index (domains, i), model, traffic,
                         now_us);
  for (guint i = 0; i < orders->len; i++)
    {
      const mq_layer_order *o = &g_array_index (orders, mq_layer_order, i);
      load_item t = item_make (
          o, domains_get (domains, queue, model, o->holder->domain));

      wanted += t.loads;
      g_array_append_val (items, t);
    }
  items_assign_levels (items, domains, model);
  for (guint i = 0; i < domains->len; i++)
    {
      const load_domain *d = g_ptr_array_index (domains, i);

      c->chainless += d->missing > 0;
      chains_first = chains_first || domain_holds_back (d, now_us);
    }
  if (c->open + wanted <= c->limit)
    chains_first = false;
  g_array_sort (items, item_compare);
  queue_select_items (queue, items, traffic, chains_first, now_us, orders);
  queue->selected_us = now_us;
  g_array_unref (items);
  g_ptr_array_unref (domains);
}

const char *
mq_load_wait_name (mq_load_wait wait)
{
  switch (wait)
    {
    case MQ_LOAD_WAIT_NONE:
      return "none";
    case MQ_LOAD_WAIT_SLOTS:
      return "slots";
    case MQ_LOAD_WAIT_CHAINS:
      return "chains";
    case MQ_LOAD_WAIT_REPORTS:
      return "reports";
    }
  return "none";
}
