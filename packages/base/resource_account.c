/* What a process holds for its clients: see mq/resource_account.h.

   Invariants: HELD, LARGE and HELD_FILES are the sums over the holders in the
   account.  A holder counts towards LARGE as long as it takes more than
   LARGE_BYTES beside what is fixed.  */

#include <mq/resource_account.h>

/* A body of more bytes than this is a large one ...  */
#define LARGE_BYTES ((size_t)64 * 1024)
/* ... and these take at most this part of the memory.  */
#define LARGE_SHARE_NUMERATOR 3
#define LARGE_SHARE_DENOMINATOR 4

/* Returns the bytes of HOLDER that count as large, if it takes BYTES.  */
static size_t
holder_large (const mq_resource_holder *holder, size_t bytes)
{
  return bytes > LARGE_BYTES && !holder->is_pool ? bytes : 0;
}

static size_t
large_limit (const mq_resource_account *account)
{
  return account->memory / LARGE_SHARE_DENOMINATOR * LARGE_SHARE_NUMERATOR;
}

/* Returns true if FIXED and BYTES more, of LARGE_MORE of which are large ones,
   and FILES fit in.  */
static bool
account_has_room (const mq_resource_account *account, size_t more,
                  size_t large_more, unsigned files)
{
  if (account->files > 0 && account->held_files + files > account->files)
    return false;
  if (account->memory == 0)
    return true;
  return account->held + more <= account->memory
         && (large_more == 0
             || account->large + large_more <= large_limit (account));
}

/* The order of evictions: what HOLDER takes if it has BYTES, times how long it
   has waited for its client.  */
static double
holder_weight (const mq_resource_holder *holder, size_t bytes, uint64_t now_us)
{
  uint64_t age_us = now_us > holder->since_us ? now_us - holder->since_us : 0;

  return (double)(holder->fixed + bytes) * (double)(age_us + 1);
}

/* What is evicted, of all that waits for its client.  */
typedef struct eviction_choice
{
  const void *group;              /* NULL: any.  */
  const mq_resource_holder *keep; /* NULL: none.  */
  bool large;                     /* Only what counts as large.  */
} eviction_choice;

static bool
choice_matches (const eviction_choice *choice,
                const mq_resource_holder *holder)
{
  return (choice->group == NULL || holder->group == choice->group)
         && holder != choice->keep
         && (!choice->large || holder_large (holder, holder->bytes) > 0);
}

/* Returns the holder to evict first, or NULL if there is none.  */
static mq_resource_holder *
account_heaviest (const mq_resource_account *account,
                  const eviction_choice *choice, uint64_t now_us)
{
  mq_resource_holder *heaviest = NULL;
  double most = 0;

  for (int state = 0; state < MQ_RESOURCE_BUSY; state++)
    for (GList *l = account->holders[state].head; l != NULL; l = l->next)
      {
        mq_resource_holder *h = l->data;
        double weight;

        if (!choice_matches (choice, h))
          continue;
        weight = holder_weight (h, h->bytes, now_us);
        if (weight <= most)
          continue;
        heaviest = h;
        most = weight;
      }
  return heaviest;
}

static void
account_evict (mq_resource_account *account, mq_resource_holder *holder)
{
  account->evictions[holder->state]++;
  mq_resource_holder_leave (holder);
  holder->evict (holder);
}

/* What is to fit in.  */
typedef struct room_request
{
  const mq_resource_holder *holder; /* That grows; NULL: a new one.  */
  size_t bytes;                     /* That HOLDER has then.  */
  size_t more;
  size_t large_more; /* Of these, large ones.  */
  unsigned files;
} room_request;

/* Returns true if HOLDER is to be evicted for ROOM, as it comes before what
   grows would.  */
static bool
room_goes_before (const room_request *room, const mq_resource_holder *holder,
                  uint64_t now_us)
{
  const mq_resource_holder *h = room->holder;

  return h == NULL || h->state == MQ_RESOURCE_BUSY
         || holder_weight (h, room->bytes, now_us)
                <= holder_weight (holder, holder->bytes, now_us);
}

/* Evict holders until ROOM fits in.  Returns false if it can't.  */
static bool
account_make_room (mq_resource_account *account, const room_request *room,
                   uint64_t now_us)
{
  while (
      !account_has_room (account, room->more, room->large_more, room->files))
    {
      eviction_choice choice = { .keep = room->holder,
                                 .large = account_has_room (
                                     account, room->more, 0, room->files) };
      mq_resource_holder *h = account_heaviest (account, &choice, now_us);

      if (h == NULL || !room_goes_before (room, h, now_us))
        {
          account->refusals++;
          return false;
        }
      account_evict (account, h);
    }
  return true;
}

void
mq_resource_account_init (mq_resource_account *account, size_t memory,
                          unsigned files)
{
  *account = (mq_resource_account){ .memory = memory, .files = files };
  for (int i = 0; i < MQ_RESOURCE_STATES; i++)
    g_queue_init (&account->holders[i]);
}

bool
mq_resource_account_admit (mq_resource_account *account, size_t fixed,
                           unsigned files, uint64_t now_us)
{
  room_request room = { .more = fixed, .files = files };

  return account_make_room (account, &room, now_us);
}

bool
mq_resource_account_evict (mq_resource_account *account, const void *group,
                           uint64_t now_us)
{
  eviction_choice choice = { .group = group };
  mq_resource_holder *h = account_heaviest (account, &choice, now_us);

  if (h == NULL)
    return false;
  account_evict (account, h);
  return true;
}

void
mq_resource_account_reclaim (mq_resource_account *account,
                             const mq_resource_holder *keep, uint64_t now_us)
{
  while (account->memory > 0
         && (account->held > account->memory
             || account->large > large_limit (account)))
    {
      eviction_choice choice
          = { .keep = keep, .large = account->held <= account->memory };
      mq_resource_holder *h = account_heaviest (account, &choice, now_us);

      if (h == NULL)
        return;
      account_evict (account, h);
    }
}

uint64_t
mq_resource_account_evictions (const mq_resource_account *account)
{
  uint64_t n = 0;

  for (int i = 0; i < MQ_RESOURCE_STATES; i++)
    n += account->evictions[i];
  return n;
}

const char *
mq_resource_state_name (mq_resource_state state)
{
  switch (state)
    {
    case MQ_RESOURCE_IDLE:
      return "idle";
    case MQ_RESOURCE_ARRIVING:
      return "arriving";
    case MQ_RESOURCE_UNREAD:
      return "unread";
    case MQ_RESOURCE_AHEAD:
      return "ahead";
    case MQ_RESOURCE_BUSY:
      return "busy";
    case MQ_RESOURCE_STATES:
      break;
    }
  return "none";
}

void
mq_resource_holder_enter (mq_resource_holder *holder,
                          mq_resource_account *account, uint64_t now_us)
{
  holder->account = account;
  holder->link.data = holder;
  holder->state = MQ_RESOURCE_IDLE;
  holder->since_us = now_us;
  g_queue_push_tail_link (&account->holders[holder->state], &holder->link);
  account->held += holder->fixed;
  account->held_files += holder->files;
}

void
mq_resource_holder_leave (mq_resource_holder *holder)
{
  mq_resource_account *a = holder->account;

  if (a == NULL)
    return;
  mq_resource_holder_set (holder, 0);
  g_queue_unlink (&a->holders[holder->state], &holder->link);
  a->held -= holder->fixed;
  a->held_files -= holder->files;
  holder->account = NULL;
}

void
mq_resource_holder_set_state (mq_resource_holder *holder,
                              mq_resource_state state, uint64_t now_us)
{
  mq_resource_account *a = holder->account;

  if (a == NULL || holder->state == state)
    return;
  g_queue_unlink (&a->holders[holder->state], &holder->link);
  holder->state = state;
  holder->since_us = now_us;
  g_queue_push_tail_link (&a->holders[state], &holder->link);
}

void
mq_resource_holder_set (mq_resource_holder *holder, size_t bytes)
{
  mq_resource_account *a = holder->account;

  if (a == NULL)
    return;
  a->held += bytes - holder->bytes;
  a->large
      += holder_large (holder, bytes) - holder_large (holder, holder->bytes);
  holder->bytes = bytes;
}

bool
mq_resource_holder_grow (mq_resource_holder *holder, size_t bytes,
                         uint64_t now_us)
{
  room_request room = { .holder = holder, .bytes = bytes };

  if (holder->account == NULL)
    return false;
  if (bytes > holder->bytes)
    {
      room.more = bytes - holder->bytes;
      room.large_more = holder_large (holder, bytes)
                        - holder_large (holder, holder->bytes);
      if (!account_make_room (holder->account, &room, now_us))
        return false;
    }
  mq_resource_holder_set (holder, bytes);
  return true;
}
