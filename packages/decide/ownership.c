/* Ownership: which router decides for a model or an organisation in a region.

   Rendezvous hashing: each live member has a rank for each name, and the
   highest owns it.  When a member disappears only its names move; a new one
   takes over only the names for which it ranks highest.  This needs no
   agreement and no stored state: two routers with the same view compute the
   same owner.  While views differ there may be two owners, which costs
   throughput but not safety.  */

#include <mq/fleet.h>
#include <mq/internal/fleet.h>

#include <stdlib.h>

/* One name in use.  */
typedef struct owned_use
{
  mq_owned_kind kind;
  mq_str *name;
  uint64_t owner; /* Incarnation.  */
} owned_use;

struct mq_ownership
{
  GArray *uses; /* of owned_use, sorted by kind and name  */
};

static void
owned_use_clear (gpointer data)
{
  owned_use *u = data;

  mq_str_unref (u->name);
}

static int
owned_use_compare (const owned_use *use, mq_owned_kind kind, mq_span name)
{
  if (use->kind != kind)
    return use->kind < kind ? -1 : 1;
  return mq_span_compare (mq_str_span (use->name), name);
}

/* Returns the position of the use, or the one at which it would be inserted;
   sets *FOUND accordingly.  */
static guint
ownership_position (const mq_ownership *ownership, mq_owned_kind kind,
                    mq_span name, bool *found)
{
  guint low = 0;
  guint high = ownership->uses->len;

  *found = false;
  while (low < high)
    {
      guint mid = low + (high - low) / 2;
      int c = owned_use_compare (
          &g_array_index (ownership->uses, owned_use, mid), kind, name);

      if (c == 0)
        {
          *found = true;
          return mid;
        }
      if (c < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

uint64_t
mq_owner_rank (mq_owned_kind kind, mq_span name, mq_span vm)
{
  uint64_t thing = mq_hash_mix ((uint64_t)kind + 1, mq_span_hash (name));

  return mq_hash_mix (thing, mq_span_hash (vm));
}

const mq_member *
mq_fleet_owner (const mq_fleet *fleet, mq_owned_kind kind, mq_span name)
{
  const mq_member *best = NULL;
  uint64_t best_rank = 0;

  for (guint i = 0; i <= fleet->members->len; i++)
    {
      const mq_member *m = i == fleet->members->len
                               ? fleet->self
                               : g_ptr_array_index (fleet->members, i);
      uint64_t rank;

      if (!mq_fleet_is_eligible (fleet, m))
        continue;
      rank = mq_owner_rank (kind, name, mq_str_span (m->vm));
      if (best == NULL || rank > best_rank)
        {
          best = m;
          best_rank = rank;
        }
    }
  return best != NULL ? best : fleet->self;
}

/* A member that ranks above us and is not eligible now was the owner until its
   last change.  */
uint64_t
mq_fleet_owner_since (const mq_fleet *fleet, mq_owned_kind kind, mq_span name)
{
  uint64_t mine = mq_owner_rank (kind, name, mq_str_span (fleet->self->vm));
  uint64_t since = fleet->self->changed_us;

  for (guint i = 0; i < fleet->members->len; i++)
    {
      const mq_member *m = g_ptr_array_index (fleet->members, i);

      if (mq_owner_rank (kind, name, mq_str_span (m->vm)) > mine)
        since = MAX (since, m->changed_us);
    }
  return since;
}

mq_ownership *
mq_ownership_new (void)
{
  mq_ownership *o = g_new0 (mq_ownership, 1);

  o->uses = g_array_new (FALSE, TRUE, sizeof (owned_use));
  g_array_set_clear_func (o->uses, owned_use_clear);
  return o;
}

void
mq_ownership_free (mq_ownership *ownership)
{
  if (ownership == NULL)
    return;
  g_array_unref (ownership->uses);
  g_free (ownership);
}

uint64_t
mq_ownership_add (mq_ownership *ownership, const mq_fleet *fleet,
                  mq_owned_kind kind, mq_span name)
{
  bool found;
  guint i = ownership_position (ownership, kind, name, &found);

  if (!found)
    {
      owned_use u = { .kind = kind, .name = mq_str_new (name) };

      u.owner = mq_fleet_owner (fleet, kind, name)->incarnation;
      g_array_insert_val (ownership->uses, i, u);
    }
  return g_array_index (ownership->uses, owned_use, i).owner;
}

void
mq_ownership_remove (mq_ownership *ownership, mq_owned_kind kind, mq_span name)
{
  bool found;
  guint i = ownership_position (ownership, kind, name, &found);

  if (found)
    g_array_remove_index (ownership->uses, i);
}

void
mq_ownership_refresh (mq_ownership *ownership, const mq_fleet *fleet,
                      GArray *changes)
{
  for (guint i = 0; i < ownership->uses->len; i++)
    {
      owned_use *u = &g_array_index (ownership->uses, owned_use, i);
      mq_owner_change c = { .kind = u->kind, .name = mq_str_span (u->name) };

      c.from = u->owner;
      c.to = mq_fleet_owner (fleet, u->kind, c.name)->incarnation;
      if (c.from == c.to)
        continue;
      u->owner = c.to;
      g_array_append_val (changes, c);
    }
}
