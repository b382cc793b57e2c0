/* What of requests is suspected of crashing upstreams, and which requests are
   to be refused for it.

   A client may send a request that crashes each upstream that starts to run
   it, and send it again as a new one to any router.  Or clients send requests
   of which no two are alike, but whose prompts have a part that crashes
   upstreams.  So the cause is one *element* of a request (mq/element.h): its
   whole content, or a part of its prompt that other requests may have as well.

   When an upstream crashes, each request that had just started there is a
   suspect with all its elements: one of them may be the cause, the others were
   there by chance.  A crash record says that an element was a suspect of the
   crash of an upstream (a hash of one start of it).

   The records of all routers are merged as a set, so their order and
   repetition do not matter, and routers with the same records decide alike:
   - An element that ran well did not cause its earlier crashes: its records up
     to then are void.  A part that ran well is no suspect of crashes soon
   after that either, since many requests have it; so the parts that sound
   requests use are suspects only while none of these runs.
   - A crash is *explained* for a suspect if another suspect of it is likelier:
     it has more records; or equally many, and it is a content and the other a
     part, or it never ran well and the other, a part too, did.
   - A request is refused for an element of it if three of its crashes are not
     explained, and in one of these it is likelier than any suspect that the
     request does not have itself.  So of parts that have only come together,
     the requests that have all of them are refused.  More crashes are needed
     of a part if all happened at once, as upstreams may fail together for
     another reason.
   - Suspects that have the same crashes are tied.  From the third one on they
     are kept apart: no two of them are sent to the same upstream at the same
     time, and none while the outcome of its last run is not known, so that
     the next crash is a record of the cause alone.  Those that still crash
     upstreams together are refused.  A part that ran well before is neither.

   A refusal lasts from the last crash for the period of the settings.  Records
   are kept twice as long, so that one more crash in that time renews the
   refusal.  A part concerns many requests, so a false finding would cost more:
   after a while, which grows with each crash, a router that saw the last crash
   lets a single request through.  If it runs well, the records are void.

   The number of suspects is bounded; those with the fewest crashes, of these
   contents before parts, and then by chance, are evicted first.

   The module is pure: it does no I/O, and times come in with the calls, in
   monotonic microseconds.  */

#ifndef MQ_QUARANTINE_H
#define MQ_QUARANTINE_H

#include <glib.h>
#include <mq/element.h>
#include <mq/sound_parts.h>
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
/* Requests that a router records as suspects of one crash by their content.
   More of them can have started there only if all waited for their prefill. */
#define MQ_QUARANTINE_MAX_SUSPECTS_PER_CRASH 16
/* Records in one message to another router.  */
#define MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE 64

/* A crash record as routers exchange it.  */
typedef struct mq_quarantine_record
{
  uint64_t element;  /* Not 0.  */
  uint64_t upstream; /* Hash of the start that crashed; 0: a request with the
                        element ran well.  */
  uint64_t age_ms;   /* Time since then.  */
} mq_quarantine_record;

/* One crash that an element is a suspect of.  */
typedef struct mq_quarantine_crash
{
  uint64_t upstream;
  uint64_t at_us;
  uint64_t learned_us; /* When this router saw it or received the record.  */
} mq_quarantine_crash;

/* What the crashes of a suspect show, whatever else a request has.  */
typedef struct mq_suspect_verdict
{
  unsigned unexplained;   /* Crashes that no other suspect explains.  */
  unsigned refused_after; /* How many of its crashes led to its refusal; 0: it
                             is not to be refused.  */
  unsigned tied;          /* Suspects that it has to be kept apart from.  */
} mq_suspect_verdict;

/* An element with crash records.  Times in it are shifted: see
   mq/internal/quarantine.h.  */
typedef struct mq_suspect
{
  uint64_t element;
  mq_quarantine_crash
      crashes[MQ_QUARANTINE_MAX_CRASHES]; /* The oldest first.  */
  unsigned n;                             /* Crashes in CRASHES.  */
  uint64_t success_us;         /* When it last succeeded; 0: not known to.  */
  uint64_t success_learned_us; /* When this router learned of it.  */
  uint64_t own_crash_us;       /* Last crash that this router saw itself; 0:
                                  none.  */
  uint64_t trial_us;           /* When this router last let a request through
                                  in spite of the refusal; 0: never.  */
  bool refused;                /* As of the last tick.  */
  mq_suspect_verdict verdict;  /* As of JUDGED_EPOCH.  */
  uint64_t judged_epoch;
} mq_suspect;

typedef struct mq_quarantine
{
  uint64_t period_us;
  GPtrArray *suspects;    /* mq_suspect, owned.  */
  GHashTable *by_element; /* Element of a suspect -> the suspect, borrowed.  */
  mq_sound_parts sound_parts; /* Parts that ran well on this router.  */
  uint64_t epoch;             /* Grows whenever a verdict may change.  */
  unsigned refused;  /* Suspects that are refused, as of the last tick. */
  guint next_export; /* Suspect that the next message starts at.  */
} mq_quarantine;

/* PERIOD_US: how long a request is refused.  */
void mq_quarantine_init (mq_quarantine *quarantine, uint64_t period_us);
void mq_quarantine_finish (mq_quarantine *quarantine);

/* Returns true if there are no suspects, so that no request needs to be looked
   up.  */
bool mq_quarantine_is_empty (const mq_quarantine *quarantine);

/* Record that ELEMENT is a suspect of the crash of UPSTREAM at AT_US, which
   this router saw itself.  Returns false if that is void or known already.  */
bool mq_quarantine_add (mq_quarantine *quarantine, uint64_t element,
                        uint64_t upstream, uint64_t at_us, uint64_t now_us);
/* A request with ELEMENT ran well on this router.  Returns true if this voided
   a crash record.  */
bool mq_quarantine_note_success (mq_quarantine *quarantine, uint64_t element,
                                 uint64_t now_us);
/* Merge a record from another router or from the store.  A success is ignored
   while ELEMENT is refused here and no router may try it, so that a forged
   message cannot cancel a refusal.  Returns true if RECORD changed anything.
 */
bool mq_quarantine_merge (mq_quarantine *quarantine,
                          const mq_quarantine_record *record, uint64_t now_us);

/* Returns for how long a request with the elements SET is still refused, or 0
   if it may be sent.  */
uint64_t mq_quarantine_remaining_us (const mq_quarantine *quarantine,
                                     mq_element_set set, uint64_t now_us);
/* A request with the elements SET, which is not refused, was sent.  */
void mq_quarantine_note_sent (mq_quarantine *quarantine, mq_element_set set,
                              uint64_t now_us);
/* Returns true if a request with the elements SET has to be kept apart from
   others, so that mq_quarantine_may_run_at has to be asked.  */
bool mq_quarantine_keeps_apart (const mq_quarantine *quarantine,
                                mq_element_set set);
/* Returns true if a request with the elements SET, which is not refused, may
   be sent to UPSTREAM (a hash of its id) now.  Returns false if one of them is
   tied with another suspect, and either that is the turn of the other, or
   PENDING: a run of the request broke, and whether its upstream crashed is not
   known yet. All routers with the same records agree on the turns, as far as
   their clocks do on the time since a crash.  */
bool mq_quarantine_may_run_at (const mq_quarantine *quarantine,
                               mq_element_set set, uint64_t upstream,
                               bool pending, uint64_t now_us);
/* Returns the suspect ELEMENT, borrowed until the next change, or NULL.  */
const mq_suspect *mq_quarantine_find (const mq_quarantine *quarantine,
                                      uint64_t element);
/* Returns how long ago CRASH was, in milliseconds.  */
uint64_t mq_quarantine_crash_age_ms (const mq_quarantine *quarantine,
                                     const mq_quarantine_crash *crash,
                                     uint64_t now_us);
/* Append to RECORDS (mq_quarantine_record) what is to be sent to other routers
   now: what was learned within the last second, and with ALL also the records
   of suspects that may come to be refused or are.  */
void mq_quarantine_export (mq_quarantine *quarantine, bool all,
                           GArray *records, uint64_t now_us);
/* Returns true if anything was learned within the last second.  */
bool mq_quarantine_is_fresh (const mq_quarantine *quarantine, uint64_t now_us);

/* An element for which refusals began or ended.  */
typedef struct mq_quarantine_change
{
  uint64_t element;
  bool refused;     /* Refused from now on; false: no longer.  */
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
