/* Requests under which upstreams end, and which of these are to be refused.

   A client may send a request that ends each upstream that begins to run it,
   and send it again as a new one, to any router.  When an upstream ends, each
   request that had just begun to run there is a *suspect*: one may be the
   cause, the others stood near.  A record says that a request (a hash of what
   it asks) was a suspect of the end of an upstream (a hash of one start).

   Records of all routers are merged as a set, so neither order nor repetition
   matters, and routers that know the same records judge alike:
   - an end is *explained* for a suspect when another suspect of it stood at
     more ends;
   - a request is refused when three ends are not explained, and it was the
     one that stands at most ends in one of them; suspects that always stood
     together are told apart by a fourth;
   - a request that ran well ended nothing: its records up to then are void.

   A refusal lasts for the period of the settings from the last end.  Records
   are kept for as long again, so that one more end in that time renews it.
   All that is remembered is bounded, by dropping first what stands at fewest
   ends and was last seen longest ago.

   Pure; times come in with the calls, in monotonic microseconds.  */

#ifndef MQ_QUARANTINE_H
#define MQ_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Requests that are remembered.  */
#define MQ_QUARANTINE_MAX_SUSPECTS 512
/* Ends remembered of each, the last ones: they explain the same ends of others
   that stood near.  */
#define MQ_QUARANTINE_MAX_CRASHES 16
/* What runs on for so long from its first event did not end its upstream by
   beginning, and is no suspect of what comes later.  */
#define MQ_QUARANTINE_STARTUP_US ((uint64_t)500 * 1000)
/* Connections that break because one upstream ended are noticed within this,
   also by a VM with a tenth of a processor.  */
#define MQ_QUARANTINE_SAME_CRASH_US ((uint64_t)200 * 1000)
/* Suspects of one end that a router tells of.  More had just begun there only
   when all of them waited to be read.  */
#define MQ_QUARANTINE_MAX_SUSPECTS_PER_CRASH 16
/* Records in one message to another router.  */
#define MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE 64

/* As routers tell one another.  */
typedef struct mq_quarantine_record
{
  uint64_t request;  /* Hash of what it asks; not 0.  */
  uint64_t upstream; /* Hash of the start that ended; 0: the request ran well.
                      */
  uint64_t age_ms;   /* Since then.  */
} mq_quarantine_record;

/* One end of an upstream that a request stood at.  */
typedef struct mq_quarantine_crash
{
  uint64_t upstream;
  uint64_t at_us;
  uint64_t learned_us; /* When this router heard of it.  */
} mq_quarantine_crash;

/* Times in it are the module's own.  */
typedef struct mq_suspect
{
  uint64_t request;
  mq_quarantine_crash
      ends[MQ_QUARANTINE_MAX_CRASHES]; /* By time, the oldest first.  */
  unsigned n;
  uint64_t success_us;         /* It last ran well; 0: not known to.  */
  uint64_t success_learned_us; /* When this router heard of it.  */
  uint64_t own_crash_us;       /* Last end that this router saw; 0: none.  */
  bool refused;                /* As of the last tick.  */
} mq_suspect;

typedef struct mq_quarantine
{
  uint64_t period_us;
  GPtrArray *suspects;    /* mq_suspect, owned.  */
  GHashTable *by_request; /* Key of a suspect -> the same, borrowed.  */
  unsigned refused;       /* Suspects that are refused, as of the last tick. */
  guint next_export;      /* Where the next message goes on.  */
} mq_quarantine;

/* PERIOD_US: how long a request is refused.  */
void mq_quarantine_init (mq_quarantine *quarantine, uint64_t period_us);
void mq_quarantine_finish (mq_quarantine *quarantine);

/* Is nothing remembered?  Then no request needs to be looked up.  */
bool mq_quarantine_is_empty (const mq_quarantine *quarantine);

/* REQUEST stood at the end of UPSTREAM at AT_US, as this router saw itself.
   Returns false when that is void or was known.  */
bool mq_quarantine_add (mq_quarantine *quarantine, uint64_t request,
                        uint64_t upstream, uint64_t at_us, uint64_t now_us);
/* REQUEST ran well, as this router saw itself.  Nothing unless it is
   remembered.  Returns true when it had stood at an end.  */
bool mq_quarantine_note_success (mq_quarantine *quarantine, uint64_t request,
                                 uint64_t now_us);
/* Take what another router, or the store, tells.  That a request ran well
   counts only while it is not refused here, so that nobody can take back a
   refusal by a false message.  Returns true when it was news.  */
bool mq_quarantine_merge (mq_quarantine *quarantine,
                          const mq_quarantine_record *record, uint64_t now_us);

/* For how long REQUEST is to be refused; 0: it may be sent.  */
uint64_t mq_quarantine_remaining_us (const mq_quarantine *quarantine,
                                     uint64_t request, uint64_t now_us);
/* Borrowed until the next change; NULL when not remembered.  */
const mq_suspect *mq_quarantine_find (const mq_quarantine *quarantine,
                                      uint64_t request);

/* Append to RECORDS (mq_quarantine_record) what is to be told now: what was
   learned within a second; and with ALL, what may still lead to a refusal or
   did.  */
void mq_quarantine_export (mq_quarantine *quarantine, bool all,
                           GArray *records, uint64_t now_us);
/* Was anything learned within a second?  */
bool mq_quarantine_is_fresh (const mq_quarantine *quarantine, uint64_t now_us);

/* A request that is refused from now on, or no more.  */
typedef struct mq_quarantine_change
{
  uint64_t request;
  bool refused;
  bool own; /* This router saw the last end.  */
  unsigned ends;
} mq_quarantine_change;

/* Forget what is over, and append to CHANGES (mq_quarantine_change).  */
void mq_quarantine_tick (mq_quarantine *quarantine, GArray *changes,
                         uint64_t now_us);

G_END_DECLS

#endif
