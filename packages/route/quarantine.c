/* Requests that are suspected of crashing upstreams: see mq/quarantine.h.

   It is made for one request that comes several times a second to any router
   and crashes an upstream each time, while dozens of others run there.  The
   check of a request costs a lookup by its hash.  For a suspect of three or
   more crashes it also costs a walk over all suspects for each crash; such
   requests are rare.

   Times in the tables are shifted: see quarantine_shift_us.  */

#include <mq/quarantine.h>

#include <mq/str.h>
#include <string.h>

/* Unexplained crashes after which a request is refused, or kept apart from
   those that it is tied with.  */
#define MIN_CRASHES 3
/* By then all routers keep a request apart, and those that ran together before
   have ended.  */
#define APART_DELAY_US ((uint64_t)1500 * 1000)
/* Unexplained crashes since then after which a request is refused also if it
   is tied.  */
#define MAX_CRASHES_APART 2
/* Requests that are kept apart change places after this, in which most have
   begun to run.  */
#define TURN_US ((uint64_t)500 * 1000)
/* Routers that lost requests in one crash report it within this.  No request
   is refused earlier, so that all suspects of the crash are known.  */
#define SETTLE_US ((uint64_t)300 * 1000)
/* A new record goes into all messages for this long: some heartbeats.  */
#define FRESH_US ((uint64_t)1000 * 1000)
/* Suspects with fewer crashes are exported only while their records are new.
 */
#define MIN_CRASHES_EXPORTED 2
#define US_PER_MS ((uint64_t)1000)

void
mq_quarantine_init (mq_quarantine *quarantine, uint64_t period_us)
{
  memset (quarantine, 0, sizeof *quarantine);
  quarantine->period_us = period_us;
  quarantine->suspects = g_ptr_array_new_with_free_func (g_free);
  quarantine->by_request = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
mq_quarantine_finish (mq_quarantine *quarantine)
{
  g_hash_table_unref (quarantine->by_request);
  g_ptr_array_unref (quarantine->suspects);
}

bool
mq_quarantine_is_empty (const mq_quarantine *quarantine)
{
  return quarantine->suspects->len == 0;
}

/* Returns US shifted by the age that a record may have, since the records of
   others may be older than this machine's monotonic clock.  */
static uint64_t
quarantine_shift_us (const mq_quarantine *quarantine, uint64_t us)
{
  return us + 2 * quarantine->period_us;
}

static mq_suspect *
quarantine_suspect_at (const mq_quarantine *quarantine, guint i)
{
  return g_ptr_array_index (quarantine->suspects, i);
}

static mq_suspect *
quarantine_lookup (const mq_quarantine *quarantine, uint64_t request)
{
  return g_hash_table_lookup (quarantine->by_request, &request);
}

const mq_suspect *
mq_quarantine_find (const mq_quarantine *quarantine, uint64_t request)
{
  return quarantine_lookup (quarantine, request);
}

/* Returns the time of the last crash or success of S, shifted.  */
static uint64_t
suspect_last_us (const mq_suspect *s)
{
  return MAX (s->n > 0 ? s->crashes[s->n - 1].at_us : 0, s->success_us);
}

static void
quarantine_drop (mq_quarantine *quarantine, guint i)
{
  g_hash_table_remove (quarantine->by_request,
                       &quarantine_suspect_at (quarantine, i)->request);
  g_ptr_array_remove_index_fast (quarantine->suspects, i);
}

/* Returns true if A is to be evicted before B.  */
static bool
suspect_is_less_important (const mq_suspect *a, const mq_suspect *b)
{
  if (a->n != b->n)
    return a->n < b->n;
  return suspect_last_us (a) < suspect_last_us (b);
}

static void
quarantine_make_room (mq_quarantine *quarantine)
{
  guint victim = 0;

  if (quarantine->suspects->len < MQ_QUARANTINE_MAX_SUSPECTS)
    return;
  for (guint i = 1; i < quarantine->suspects->len; i++)
    if (suspect_is_less_important (quarantine_suspect_at (quarantine, i),
                                   quarantine_suspect_at (quarantine, victim)))
      victim = i;
  quarantine_drop (quarantine, victim);
}

/* Returns the suspect of REQUEST, added if it is missing.  */
static mq_suspect *
quarantine_get_or_add (mq_quarantine *quarantine, uint64_t request)
{
  mq_suspect *s = quarantine_lookup (quarantine, request);

  if (s != NULL)
    return s;
  quarantine_make_room (quarantine);
  s = g_new0 (mq_suspect, 1);
  s->request = request;
  g_ptr_array_add (quarantine->suspects, s);
  g_hash_table_insert (quarantine->by_request, &s->request, s);
  return s;
}

static bool
suspect_is_of_crash (const mq_suspect *s, uint64_t upstream)
{
  for (unsigned i = 0; i < s->n; i++)
    if (s->crashes[i].upstream == upstream)
      return true;
  return false;
}

/* Insert CRASH among those of S by its time, and drop the oldest if there are
   too many.  Returns false if that is CRASH itself.  */
static bool
suspect_insert (mq_suspect *s, const mq_quarantine_crash *crash)
{
  unsigned at = s->n;

  while (at > 0 && s->crashes[at - 1].at_us > crash->at_us)
    at--;
  if (s->n < MQ_QUARANTINE_MAX_CRASHES)
    {
      memmove (&s->crashes[at + 1], &s->crashes[at],
               (s->n - at) * sizeof s->crashes[0]);
      s->n++;
    }
  else if (at == 0)
    return false;
  else
    memmove (&s->crashes[0], &s->crashes[1], --at * sizeof s->crashes[0]);
  s->crashes[at] = *crash;
  return true;
}

/* Record that REQUEST is a suspect of CRASH.  Returns the suspect, or NULL if
   CRASH is expired, void or known already.  */
static mq_suspect *
quarantine_add_crash (mq_quarantine *quarantine, uint64_t request,
                      const mq_quarantine_crash *crash, uint64_t now_us)
{
  mq_suspect *s = quarantine_lookup (quarantine, request);

  if (crash->at_us + 2 * quarantine->period_us <= now_us)
    return NULL;
  if (s != NULL
      && (crash->at_us <= s->success_us
          || suspect_is_of_crash (s, crash->upstream)))
    return NULL;
  s = quarantine_get_or_add (quarantine, request);
  return suspect_insert (s, crash) ? s : NULL;
}

bool
mq_quarantine_add (mq_quarantine *quarantine, uint64_t request,
                   uint64_t upstream, uint64_t at_us, uint64_t now_us)
{
  uint64_t now = quarantine_shift_us (quarantine, now_us);
  mq_quarantine_crash crash
      = { upstream, quarantine_shift_us (quarantine, at_us), now };
  mq_suspect *s = quarantine_add_crash (quarantine, request, &crash, now);

  if (s == NULL)
    return false;
  s->own_crash_us = MAX (s->own_crash_us, crash.at_us);
  return true;
}

/* Void the crashes of S up to AT_US, when its request succeeded.  Returns true
   if there were any.  */
static bool
suspect_clear_until (mq_suspect *s, uint64_t at_us, uint64_t now_us)
{
  unsigned kept = 0;
  unsigned before = s->n;

  for (unsigned i = 0; i < s->n; i++)
    if (s->crashes[i].at_us > at_us)
      s->crashes[kept++] = s->crashes[i];
  s->n = kept;
  if (at_us > s->success_us && before > kept)
    s->success_learned_us = now_us;
  s->success_us = MAX (s->success_us, at_us);
  return before > kept;
}

bool
mq_quarantine_note_success (mq_quarantine *quarantine, uint64_t request,
                            uint64_t now_us)
{
  mq_suspect *s = quarantine_lookup (quarantine, request);
  uint64_t now = quarantine_shift_us (quarantine, now_us);

  return s != NULL && suspect_clear_until (s, now, now);
}

/* ---- Refusal.  */

/* Returns the largest number of crashes that any other suspect of the crash of
   UPSTREAM has, or 0 if S is the only suspect.  */
static unsigned
max_crashes_of_others (const mq_quarantine *quarantine, const mq_suspect *s,
                       uint64_t upstream)
{
  unsigned max = 0;

  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const mq_suspect *other = quarantine_suspect_at (quarantine, i);

      if (other != s && other->n > max
          && suspect_is_of_crash (other, upstream))
        max = other->n;
    }
  return max;
}

/* What the unexplained crashes of a suspect show.  */
typedef struct suspect_verdict
{
  unsigned unexplained;
  unsigned refused_after; /* How many of its crashes led to its refusal; 0: it
                             is not to be refused.  */
} suspect_verdict;

static suspect_verdict
suspect_judge (const mq_quarantine *quarantine, const mq_suspect *s)
{
  suspect_verdict v = { 0, 0 };
  bool is_top_suspect = false;
  uint64_t apart_us = UINT64_MAX;
  unsigned apart = 0;

  for (unsigned i = 0; i < s->n; i++)
    {
      const mq_quarantine_crash *c = &s->crashes[i];
      unsigned max = max_crashes_of_others (quarantine, s, c->upstream);

      if (max > s->n)
        continue;
      v.unexplained++;
      if (max < s->n)
        is_top_suspect = true;
      if (v.unexplained == MIN_CRASHES)
        apart_us = c->at_us + APART_DELAY_US;
      if (c->at_us >= apart_us && ++apart == MAX_CRASHES_APART)
        v.refused_after = i + 1;
    }
  if (v.unexplained >= MIN_CRASHES && is_top_suspect)
    v.refused_after = MIN_CRASHES;
  return v;
}

static uint64_t
suspect_remaining_us (const mq_quarantine *quarantine, const mq_suspect *s,
                      uint64_t now_us)
{
  uint64_t until;
  unsigned needed;

  if (s->n < MIN_CRASHES)
    return 0;
  until = s->crashes[s->n - 1].at_us + quarantine->period_us;
  if (now_us >= until)
    return 0;
  needed = suspect_judge (quarantine, s).refused_after;
  if (needed == 0 || now_us < s->crashes[needed - 1].at_us + SETTLE_US)
    return 0;
  return until - now_us;
}

uint64_t
mq_quarantine_remaining_us (const mq_quarantine *quarantine, uint64_t request,
                            uint64_t now_us)
{
  const mq_suspect *s = quarantine_lookup (quarantine, request);

  return s != NULL ? suspect_remaining_us (
             quarantine, s, quarantine_shift_us (quarantine, now_us))
                   : 0;
}

/* ---- Keeping tied suspects apart.  */

/* Returns the last crash of A that B is a suspect of as well, or NULL.  */
static const mq_quarantine_crash *
suspects_shared_crash (const mq_suspect *a, const mq_suspect *b)
{
  for (unsigned i = a->n; i > 0; i--)
    if (suspect_is_of_crash (b, a->crashes[i - 1].upstream))
      return &a->crashes[i - 1];
  return NULL;
}

/* Returns true if A and B are suspects of the same crash and have equally
   many.  */
static bool
suspects_are_tied (const mq_suspect *a, const mq_suspect *b)
{
  return a != b && a->n == b->n && suspects_shared_crash (a, b) != NULL;
}

static unsigned
suspect_count_tied (const mq_quarantine *quarantine, const mq_suspect *s)
{
  unsigned n = 0;

  for (guint i = 0; i < quarantine->suspects->len; i++)
    n += suspects_are_tied (s, quarantine_suspect_at (quarantine, i));
  return n;
}

/* Returns true if A goes before B at UPSTREAM in TURN.  */
static bool
suspect_goes_before (const mq_suspect *a, const mq_suspect *b,
                     uint64_t upstream, uint64_t turn)
{
  uint64_t place = mq_hash_mix (upstream, turn);

  return mq_hash_mix (a->request, place) > mq_hash_mix (b->request, place);
}

bool
mq_quarantine_may_run_at (const mq_quarantine *quarantine, uint64_t request,
                          uint64_t upstream, bool pending, uint64_t now_us)
{
  const mq_suspect *s = quarantine_lookup (quarantine, request);
  uint64_t now = quarantine_shift_us (quarantine, now_us);

  if (s == NULL || s->n < MIN_CRASHES
      || suspect_judge (quarantine, s).unexplained < MIN_CRASHES)
    return true;
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const mq_suspect *other = quarantine_suspect_at (quarantine, i);
      const mq_quarantine_crash *shared;

      if (!suspects_are_tied (s, other))
        continue;
      shared = suspects_shared_crash (s, other);
      if (pending
          || !suspect_goes_before (s, other, upstream,
                                   (now - shared->at_us) / TURN_US))
        return false;
    }
  return true;
}

/* ---- Records of others.  */

bool
mq_quarantine_merge (mq_quarantine *quarantine,
                     const mq_quarantine_record *record, uint64_t now_us)
{
  uint64_t now = quarantine_shift_us (quarantine, now_us);
  uint64_t max_age_ms = 2 * quarantine->period_us / US_PER_MS;
  mq_quarantine_crash crash
      = { record->upstream, now - record->age_ms * US_PER_MS, now };
  mq_suspect *s;

  if (record->request == 0 || record->age_ms >= max_age_ms)
    return false;
  if (record->upstream != 0)
    return quarantine_add_crash (quarantine, record->request, &crash, now)
           != NULL;
  s = quarantine_lookup (quarantine, record->request);
  return s != NULL && suspect_remaining_us (quarantine, s, now) == 0
         && suspect_clear_until (s, crash.at_us, now);
}

/* ---- Export.  */

static bool
is_fresh (uint64_t learned_us, uint64_t now_us)
{
  return learned_us > 0 && now_us < learned_us + FRESH_US;
}

static void
export_record (GArray *records, uint64_t request, uint64_t upstream,
               uint64_t at_us, uint64_t now_us)
{
  mq_quarantine_record r = { request, upstream, (now_us - at_us) / US_PER_MS };

  if (records->len < MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE)
    g_array_append_val (records, r);
}

static void
export_suspect (const mq_suspect *s, bool all, GArray *records,
                uint64_t now_us)
{
  bool export_all = all && s->n >= MIN_CRASHES_EXPORTED;

  for (unsigned i = 0; i < s->n; i++)
    if (export_all || is_fresh (s->crashes[i].learned_us, now_us))
      export_record (records, s->request, s->crashes[i].upstream,
                     s->crashes[i].at_us, now_us);
  if (is_fresh (s->success_learned_us, now_us))
    export_record (records, s->request, 0, s->success_us, now_us);
}

void
mq_quarantine_export (mq_quarantine *quarantine, bool all, GArray *records,
                      uint64_t now_us)
{
  guint n = quarantine->suspects->len;
  uint64_t now = quarantine_shift_us (quarantine, now_us);

  /* Each message continues where the last was full, so that all records are
     sent in turn.  */
  for (guint i = 0; i < n; i++)
    {
      guint at = (quarantine->next_export + i) % n;

      export_suspect (quarantine_suspect_at (quarantine, at), all, records,
                      now);
      if (records->len < MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE)
        continue;
      quarantine->next_export = at;
      return;
    }
}

bool
mq_quarantine_is_fresh (const mq_quarantine *quarantine, uint64_t now_us)
{
  uint64_t now = quarantine_shift_us (quarantine, now_us);

  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const mq_suspect *s = quarantine_suspect_at (quarantine, i);

      if (is_fresh (s->success_learned_us, now))
        return true;
      for (unsigned k = 0; k < s->n; k++)
        if (is_fresh (s->crashes[k].learned_us, now))
          return true;
    }
  return false;
}

/* ---- Ticks.  */

static void
tick_suspect (mq_quarantine *quarantine, mq_suspect *s, GArray *changes,
              uint64_t now_us)
{
  bool refused = suspect_remaining_us (quarantine, s, now_us) > 0;
  mq_quarantine_change c = { s->request, refused, false, s->n, 0 };

  if (refused == s->refused)
    return;
  c.own = s->own_crash_us > 0 && s->n > 0
          && s->own_crash_us >= s->crashes[s->n - 1].at_us;
  c.tied = suspect_count_tied (quarantine, s);
  s->refused = refused;
  g_array_append_val (changes, c);
}

void
mq_quarantine_tick (mq_quarantine *quarantine, GArray *changes,
                    uint64_t now_us)
{
  uint64_t now = quarantine_shift_us (quarantine, now_us);

  quarantine->refused = 0;
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      mq_suspect *s = quarantine_suspect_at (quarantine, i);

      tick_suspect (quarantine, s, changes, now);
      quarantine->refused += s->refused;
    }
  for (guint i = quarantine->suspects->len; i > 0; i--)
    if (suspect_last_us (quarantine_suspect_at (quarantine, i - 1))
            + 2 * quarantine->period_us
        <= now)
      quarantine_drop (quarantine, i - 1);
}
