/* What a process holds for its clients, in one account.

   Each client's connection is a holder, which states how much memory and how
   many descriptors it takes: its buffers, what has arrived of its request, the
   request while it waits or runs, and what its client has not read of the
   response.  The account adds these up over all ports and states.  Where there
   is no room for more, it evicts holders that wait for their clients, in the
   order of what they hold times how long they have, so that a client that
   progresses outlasts one that doesn't.  A request that has arrived is never
   evicted while it waits or runs; what can't be held beside those is refused
   when it arrives.

   Requests with large bodies may take a part of the memory only, so that there
   is room for others beside them.

   Times are in microseconds, of the caller's clock.  The account does no input
   or output and allocates nothing.  */

#ifndef MQ_RESOURCE_ACCOUNT_H
#define MQ_RESOURCE_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_resource_account mq_resource_account;
typedef struct mq_resource_holder mq_resource_holder;

/* What a holder waits for.  */
typedef enum mq_resource_state
{
  MQ_RESOURCE_IDLE,     /* The next request.  */
  MQ_RESOURCE_ARRIVING, /* The rest of a request.  */
  MQ_RESOURCE_UNREAD,   /* Its client to read the response.  */
  MQ_RESOURCE_AHEAD,    /* A response, and its client has sent much more.  */
  MQ_RESOURCE_BUSY,     /* A response; it is not evicted.  */
  MQ_RESOURCE_STATES
} mq_resource_state;

/* Gives up all that HOLDER holds.  The account has already taken it out.  May
   not call the account.  */
typedef void (*mq_resource_evict) (mq_resource_holder *holder);

struct mq_resource_holder
{
  mq_resource_account *account; /* Borrowed; NULL: in none, or evicted.  */
  GList link;                   /* In the account's list of its state.  */
  mq_resource_state state;
  const void *group; /* Its port, for mq_resource_account_evict.  */
  size_t fixed;      /* Bytes that it takes as long as it lives.  */
  size_t bytes;      /* Others.  */
  unsigned files;
  bool is_pool;      /* Of many small parts: never counts as large.  */
  uint64_t since_us; /* When it entered its state.  */
  mq_resource_evict evict;
  void *context; /* For EVICT.  */
};

struct mq_resource_account
{
  size_t memory;  /* Limit of all bytes; 0: none.  */
  unsigned files; /* Limit of descriptors; 0: none.  */
  size_t held;
  size_t large; /* Of those, bytes of holders with many.  */
  unsigned held_files;
  GQueue holders[MQ_RESOURCE_STATES]; /* mq_resource_holder, borrowed.  */
  uint64_t evictions[MQ_RESOURCE_STATES];
  uint64_t refusals; /* What was not let in, as nothing could be evicted.  */
  uint64_t logged_evictions; /* For the caller's log: as last written.  */
  uint64_t logged_refusals;
};

/* Initialise ACCOUNT with room for MEMORY bytes and FILES descriptors; 0 means
   no limit.  */
void mq_resource_account_init (mq_resource_account *account, size_t memory,
                               unsigned files);

/* Make room for a new holder with FIXED bytes and FILES descriptors.  Returns
   false if there is none, which counts as a refusal.  */
bool mq_resource_account_admit (mq_resource_account *account, size_t fixed,
                                unsigned files, uint64_t now_us);

/* Evict the holder of GROUP, or of all if that is NULL, that comes first.
   Returns false if there is none.
 */
bool mq_resource_account_evict (mq_resource_account *account,
                                const void *group, uint64_t now_us);

/* Returns the number of evictions so far.  */
uint64_t mq_resource_account_evictions (const mq_resource_account *account);

/* Returns the name of STATE, as it stands in the log and the metrics.  */
const char *mq_resource_state_name (mq_resource_state state);

/* Enter HOLDER, whose GROUP, FIXED, FILES, EVICT and CONTEXT are set and whose
   other members are zeros, into ACCOUNT, as idle.  */
void mq_resource_holder_enter (mq_resource_holder *holder,
                               mq_resource_account *account, uint64_t now_us);

/* Take HOLDER out of its account, if it is in one.  */
void mq_resource_holder_leave (mq_resource_holder *holder);

/* HOLDER waits for something else now.  */
void mq_resource_holder_set_state (mq_resource_holder *holder,
                                   mq_resource_state state, uint64_t now_us);

/* HOLDER takes BYTES beside what is fixed, whether there is room or not.  */
void mq_resource_holder_set (mq_resource_holder *holder, size_t bytes);

/* The same if there is room, or if others are to make it rather than HOLDER.
   Returns false, with what HOLDER takes unchanged, if not, which counts as a
   refusal; and if HOLDER was evicted before.  */
bool mq_resource_holder_grow (mq_resource_holder *holder, size_t bytes,
                              uint64_t now_us);

/* Evict holders while more is held than may be, but not KEEP, if that is not
   NULL.  */
void mq_resource_account_reclaim (mq_resource_account *account,
                                  const mq_resource_holder *keep,
                                  uint64_t now_us);

G_END_DECLS

#endif
