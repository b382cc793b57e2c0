/* Requests that are suspected of crashing upstreams, and which of them are to
   be refused.

   A client may send a request that crashes each upstream that starts to run
   it, and send it again as a new one to any router.  When an upstream crashes,
   each request that had just started there is a *suspect*: one may be the
   cause, the others were there by chance.  A crash record says that a request
   (a hash of its content) was a suspect of the crash of an upstream (a hash
   of one start of it).

   The records of all routers are merged as a set, so their order and
   repetition do not matter, and routers with the same records decide alike:
   - A crash is *explained* for a suspect if another suspect of it has more
     crash records.
   - A request is refused if three of its crashes are not explained and in one
     of these it has more records than any other suspect.
   - Suspects that have the same crashes are tied.  From the third one on they
     are kept apart: no two of them are sent to the same upstream at the same
     time, and none while the outcome of its last run is not known, so that
     the next crash is a record of the cause alone.  Those that still crash
     upstreams together are refused.
   - A request that succeeded did not cause its earlier crashes: its records up
     to then are void.

   A refusal lasts from the last crash for the period of the settings.  Records
   are kept twice as long, so that one more crash in that time renews the
   refusal.  The number of suspects is bounded; those with the fewest crashes,
   and of these the oldest, are evicted first.

   The module is pure: it does no I/O, and times come in with the calls, in
   monotonic microseconds.  */

#ifndef MQ_QUARANTINE_H
#define MQ_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Suspects kept at most.  */
#define MQ_QUARANTINE_MAX_SUSPECTS 512
/* Crashes kept of each suspect, the latest ones.  They explain the same
   crashes for other suspects.  */
#define MQ_QUARANTINE_MAX_CRASHES 16
/* A request that runs for this long after its first event did not crash its
   upstream by starting, and is no suspect of a later crash.  */
#define MQ_QUARANTINE_STARTUP_US ((uint64_t)500 * 1000)
/* Connections that break because of one crash are noticed within this, even on
   a VM with a tenth of a processor.  */
#define MQ_QUARANTINE_SAME_CRASH_US ((uint64_t)200 * 1000)
/* Suspects of one crash that a router records.  More of them can have started
   there only if all waited for their prefill.  */
#define MQ_QUARANTINE_MAX_SUSPECTS_PER_CRASH 16
/* Records in one message to another router.  */
#define MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE 64

/* A crash record as routers exchange it.  */
typedef struct mq_quarantine_record
{
  uint64_t request;  /* Hash of its content; not 0.  */
  uint64_t upstream; /* Hash of the start that crashed; 0: the request
                        succeeded.  */
  uint64_t age_ms;   /* Time since then.  */
} mq_quarantine_record;

/* One crash that a request is a suspect of.  */
typedef struct mq_quarantine_crash
{
  uint64_t upstream;
  uint64_t at_us;
  uint64_t learned_us; /* When this router saw it or received the record.  */
} mq_quarantine_crash;

/* A request with crash records.  Times in it are shifted: see quarantine.c. */
typedef struct mq_suspect
{
  uint64_t request;
  mq_quarantine_crash
      crashes[MQ_QUARANTINE_MAX_CRASHES]; /* The oldest first.  */
  unsigned n;                             /* Crashes in CRASHES.  */
  uint64_t success_us;         /* When it last succeeded; 0: not known to.  */
  uint64_t success_learned_us; /* When this router learned of it.  */
  uint64_t own_crash_us;       /* Last crash that this router saw itself; 0:
                                  none.  */
  bool refused;                /* As of the last tick.  */
} mq_suspect;

typedef struct mq_quarantine
{
  uint64_t period_us;
  GPtrArray *suspects;    /* mq_suspect, owned.  */
  GHashTable *by_request; /* Request of a suspect -> the suspect, borrowed.  */
  unsigned refused;       /* Suspects that are refused, as of the last tick. */
  guint next_export;      /* Suspect that the next message starts at.  */
} mq_quarantine;

/* PERIOD_US: how long a request is refused.  */
void mq_quarantine_init (mq_quarantine *quarantine, uint64_t period_us);
void mq_quarantine_finish (mq_quarantine *quarantine);

/* Returns true if there are no suspects, so that no request needs to be looked
   up.  */
bool mq_quarantine_is_empty (const mq_quarantine *quarantine);

/* Record that REQUEST is a suspect of the crash of UPSTREAM at AT_US, which
   this router saw itself.  Returns false if that is void or known already.  */
bool mq_quarantine_add (mq_quarantine *quarantine, uint64_t request,
                        uint64_t upstream, uint64_t at_us, uint64_t now_us);
/* REQUEST succeeded on this router.  Does nothing unless it is a suspect.
   Returns true if this voided a crash record.  */
bool mq_quarantine_note_success (mq_quarantine *quarantine, uint64_t request,
                                 uint64_t now_us);
/* Merge a record from another router or from the store.  A success is ignored
   while the request is refused here, so that a forged message cannot cancel a
   refusal.  Returns true if RECORD changed anything.  */
bool mq_quarantine_merge (mq_quarantine *quarantine,
                          const mq_quarantine_record *record, uint64_t now_us);

/* Returns for how long REQUEST is still refused, or 0 if it may be sent.  */
uint64_t mq_quarantine_remaining_us (const mq_quarantine *quarantine,
                                     uint64_t request, uint64_t now_us);
/* Returns true if REQUEST, which is not refused, may be sent to UPSTREAM (a
   hash of its id) now.  Returns false if it is tied, and either that is the
   turn of another request that it is tied with, or PENDING: a run of it broke,
   and whether its upstream crashed is not known yet.  All routers with the
   same records agree on the turns, as far as their clocks do on the time since
   a crash.  */
bool mq_quarantine_may_run_at (const mq_quarantine *quarantine,
                               uint64_t request, uint64_t upstream,
                               bool pending, uint64_t now_us);
/* Returns the suspect of REQUEST, borrowed until the next change, or NULL.  */
const mq_suspect *mq_quarantine_find (const mq_quarantine *quarantine,
                                      uint64_t request);

/* Append to RECORDS (mq_quarantine_record) what is to be sent to other routers
   now: what was learned within the last second, and with ALL also the records
   of suspects that may come to be refused or are.  */
void mq_quarantine_export (mq_quarantine *quarantine, bool all,
                           GArray *records, uint64_t now_us);
/* Returns true if anything was learned within the last second.  */
bool mq_quarantine_is_fresh (const mq_quarantine *quarantine, uint64_t now_us);

/* A request whose refusal began or ended.  */
typedef struct mq_quarantine_change
{
  uint64_t request;
  bool refused;     /* It is refused from now on; false: no longer.  */
  bool own;         /* This router saw the last crash itself.  */
  unsigned crashes; /* Its crash records.  */
  unsigned tied;    /* Other suspects of one of its crashes that have as
                       many.  */
} mq_quarantine_change;

/* Append to CHANGES (mq_quarantine_change) what changed since the last tick,
   and remove expired suspects.  */
void mq_quarantine_tick (mq_quarantine *quarantine, GArray *changes,
                         uint64_t now_us);

G_END_DECLS

#endif
