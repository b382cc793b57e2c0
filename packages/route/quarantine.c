/* Elements of requests that are suspected of crashing upstreams: their
   records, see mq/quarantine.h.  quarantine_verdict.c decides what they show.

   It is made for a cause that comes several times a second to any router and
   crashes an upstream each time, while dozens of other requests run there. The
   check of a request costs a lookup for each of its elements.  For a suspect
   of three or more crashes it also costs a walk over all suspects for each
   crash, once after each change of the records.

   Times in the tables are shifted: see mq_quarantine_shift_us.  */

#include <mq/internal/quarantine.h>

#include <mq/str.h>
#include <string.h>

/* A new record goes into all messages for this long: some heartbeats.  */
#define FRESH_US ((uint64_t)1000 * 1000)
/* Suspects with fewer crashes are exported only while their records are new.
 */
#define MIN_CRASHES_EXPORTED 2
#define US_PER_MS ((uint64_t)1000)
/* A part that many requests have runs well several times within this, unless
   it crashes upstreams.  */
#define TRUST_US ((uint64_t)5 * 1000 * 1000)

void
mq_quarantine_init (mq_quarantine *quarantine, uint64_t period_us)
{
  memset (quarantine, 0, sizeof *quarantine);
  quarantine->period_us = period_us;
  quarantine->suspects = g_ptr_array_new_with_free_func (g_free);
  quarantine->by_element = g_hash_table_new (g_int64_hash, g_int64_equal);
  mq_sound_parts_init (&quarantine->sound_parts);
}

void
mq_quarantine_finish (mq_quarantine *quarantine)
{
  mq_sound_parts_finish (&quarantine->sound_parts);
  g_hash_table_unref (quarantine->by_element);
  g_ptr_array_unref (quarantine->suspects);
}

bool
mq_quarantine_is_empty (const mq_quarantine *quarantine)
{
  return quarantine->suspects->len == 0;
}

uint64_t
mq_quarantine_shift_us (const mq_quarantine *quarantine, uint64_t us)
{
  return us + 2 * quarantine->period_us;
}

mq_suspect *
mq_quarantine_suspect_at (const mq_quarantine *quarantine, guint i)
{
  return g_ptr_array_index (quarantine->suspects, i);
}

mq_suspect *
mq_quarantine_lookup (const mq_quarantine *quarantine, uint64_t element)
{
  return g_hash_table_lookup (quarantine->by_element, &element);
}

const mq_suspect *
mq_quarantine_find (const mq_quarantine *quarantine, uint64_t element)
{
  return mq_quarantine_lookup (quarantine, element);
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
  quarantine->epoch++;
  g_hash_table_remove (quarantine->by_element,
                       &mq_quarantine_suspect_at (quarantine, i)->element);
  g_ptr_array_remove_index_fast (quarantine->suspects, i);
}

/* Returns true if A is to be evicted before B.  Among equals a hash with DRAW
   decides: by age, a crash with many suspects would evict all earlier ones,
   and the cause's record with them.  */
static bool
suspect_is_less_important (const mq_suspect *a, const mq_suspect *b,
                           uint64_t draw)
{
  bool a_is_part = mq_element_is_part (a->element);

  if (a->n != b->n)
    return a->n < b->n;
  if (a_is_part != mq_element_is_part (b->element))
    return !a_is_part;
  return mq_hash_mix (a->element, draw) < mq_hash_mix (b->element, draw);
}

static void
quarantine_make_room (mq_quarantine *quarantine)
{
  guint victim = 0;

  if (quarantine->suspects->len < MQ_QUARANTINE_MAX_SUSPECTS)
    return;
  for (guint i = 1; i < quarantine->suspects->len; i++)
    if (suspect_is_less_important (
            mq_quarantine_suspect_at (quarantine, i),
            mq_quarantine_suspect_at (quarantine, victim), quarantine->epoch))
      victim = i;
  quarantine_drop (quarantine, victim);
}

/* Returns the suspect ELEMENT, added if it is missing.  */
static mq_suspect *
quarantine_get_or_add (mq_quarantine *quarantine, uint64_t element)
{
  mq_suspect *s = mq_quarantine_lookup (quarantine, element);

  if (s != NULL)
    return s;
  quarantine_make_room (quarantine);
  s = g_new0 (mq_suspect, 1);
  s->element = element;
  g_ptr_array_add (quarantine->suspects, s);
  g_hash_table_insert (quarantine->by_element, &s->element, s);
  quarantine->epoch++;
  return s;
}

bool
mq_suspect_is_of_crash (const mq_suspect *suspect, uint64_t upstream)
{
  for (unsigned i = 0; i < suspect->n; i++)
    if (suspect->crashes[i].upstream == upstream)
      return true;
  return false;
}

/* ---- Successes.  */

/* Returns the time up to which crashes of ELEMENT are void if it last ran well
   at SUCCESS_US, or 0 if that is 0.  */
static uint64_t
element_void_until (uint64_t element, uint64_t success_us)
{
  return success_us > 0 && mq_element_is_part (element) ? success_us + TRUST_US
                                                        : success_us;
}

/* Void the crashes of S that its success at AT_US shows to have another cause.
   Returns true if there were any.  */
static bool
suspect_clear_until (mq_quarantine *quarantine, mq_suspect *s, uint64_t at_us,
                     uint64_t now_us)
{
  uint64_t until = element_void_until (s->element, at_us);
  unsigned kept = 0;
  unsigned before = s->n;
  bool is_first = s->success_us == 0 && mq_element_is_part (s->element);

  for (unsigned i = 0; i < s->n; i++)
    if (s->crashes[i].at_us > until)
      s->crashes[kept++] = s->crashes[i];
  s->n = kept;
  if (at_us > s->success_us && (before > kept || is_first))
    {
      s->success_learned_us = now_us;
      quarantine->epoch++;
    }
  s->success_us = MAX (s->success_us, at_us);
  return before > kept;
}

/* Returns when ELEMENT last ran well on this router, if it is a part and that
   is not too long ago, shifted; else 0.  */
static uint64_t
quarantine_own_success_us (const mq_quarantine *quarantine, uint64_t element,
                           uint64_t now_us)
{
  uint64_t at = mq_element_is_part (element)
                    ? mq_sound_parts_find (&quarantine->sound_parts, element)
                    : 0;

  return at > 0 && at + 2 * quarantine->period_us > now_us ? at : 0;
}

/* Another router does not know that S, a part, ran well at AT_US on this one:
   export it.  */
static void
suspect_announce_success (mq_quarantine *quarantine, mq_suspect *s,
                          uint64_t at_us, uint64_t now_us)
{
  (void)suspect_clear_until (quarantine, s, at_us, now_us);
  s->success_learned_us = now_us;
}

bool
mq_quarantine_note_success (mq_quarantine *quarantine, uint64_t element,
                            uint64_t now_us)
{
  mq_suspect *s = mq_quarantine_lookup (quarantine, element);
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);

  if (mq_element_is_part (element))
    mq_sound_parts_note (&quarantine->sound_parts, element, now);
  return s != NULL && suspect_clear_until (quarantine, s, now, now);
}

/* ---- Crashes.  */

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

/* Record that ELEMENT is a suspect of CRASH.  Returns the suspect, or NULL if
   CRASH is expired, void or known already.  */
static mq_suspect *
quarantine_add_crash (mq_quarantine *quarantine, uint64_t element,
                      const mq_quarantine_crash *crash, uint64_t now_us)
{
  mq_suspect *s = mq_quarantine_lookup (quarantine, element);
  uint64_t own_us = quarantine_own_success_us (quarantine, element, now_us);
  uint64_t success_us = MAX (own_us, s != NULL ? s->success_us : 0);

  if (crash->at_us + 2 * quarantine->period_us <= now_us
      || crash->at_us <= element_void_until (element, success_us)
      || (s != NULL && mq_suspect_is_of_crash (s, crash->upstream)))
    return NULL;
  s = quarantine_get_or_add (quarantine, element);
  if (own_us > s->success_us)
    suspect_announce_success (quarantine, s, own_us, now_us);
  if (!suspect_insert (s, crash))
    return NULL;
  quarantine->epoch++;
  return s;
}

bool
mq_quarantine_add (mq_quarantine *quarantine, uint64_t element,
                   uint64_t upstream, uint64_t at_us, uint64_t now_us)
{
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);
  mq_quarantine_crash crash
      = { upstream, mq_quarantine_shift_us (quarantine, at_us), now };
  mq_suspect *s = quarantine_add_crash (quarantine, element, &crash, now);

  if (s == NULL)
    return false;
  s->own_crash_us = MAX (s->own_crash_us, crash.at_us);
  return true;
}

uint64_t
mq_quarantine_crash_age_ms (const mq_quarantine *quarantine,
                            const mq_quarantine_crash *crash, uint64_t now_us)
{
  return (mq_quarantine_shift_us (quarantine, now_us) - crash->at_us)
         / US_PER_MS;
}

/* ---- Records of others.  */

/* Merge CRASH of ELEMENT, which another router reported.  Returns true if it
   was new.  */
static bool
quarantine_merge_crash (mq_quarantine *quarantine, uint64_t element,
                        const mq_quarantine_crash *crash, uint64_t now_us)
{
  uint64_t own_us = quarantine_own_success_us (quarantine, element, now_us);

  if (quarantine_add_crash (quarantine, element, crash, now_us) != NULL)
    return true;
  if (own_us > 0 && crash->at_us <= element_void_until (element, own_us))
    suspect_announce_success (quarantine,
                              quarantine_get_or_add (quarantine, element),
                              own_us, now_us);
  return false;
}

/* Merge that S ran well at AT_US, which another router reported.  */
static bool
quarantine_merge_success (mq_quarantine *quarantine, mq_suspect *s,
                          uint64_t at_us, uint64_t now_us)
{
  if (mq_suspect_remaining_us (quarantine, s, now_us) > 0
      && !mq_suspect_may_be_tried (quarantine, s, now_us))
    return false;
  return suspect_clear_until (quarantine, s, at_us, now_us);
}

bool
mq_quarantine_merge (mq_quarantine *quarantine,
                     const mq_quarantine_record *record, uint64_t now_us)
{
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);
  uint64_t max_age_ms = 2 * quarantine->period_us / US_PER_MS;
  mq_quarantine_crash crash
      = { record->upstream, now - record->age_ms * US_PER_MS, now };
  mq_suspect *s;

  if (record->element == 0 || record->age_ms >= max_age_ms)
    return false;
  if (record->upstream != 0)
    return quarantine_merge_crash (quarantine, record->element, &crash, now);
  s = mq_quarantine_lookup (quarantine, record->element);
  return s != NULL
         && quarantine_merge_success (quarantine, s, crash.at_us, now);
}

/* ---- Export.  */

static bool
is_fresh (uint64_t learned_us, uint64_t now_us)
{
  return learned_us > 0 && now_us < learned_us + FRESH_US;
}

static void
export_record (GArray *records, uint64_t element, uint64_t upstream,
               uint64_t at_us, uint64_t now_us)
{
  mq_quarantine_record r = { element, upstream, (now_us - at_us) / US_PER_MS };

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
      export_record (records, s->element, s->crashes[i].upstream,
                     s->crashes[i].at_us, now_us);
  if (is_fresh (s->success_learned_us, now_us))
    export_record (records, s->element, 0, s->success_us, now_us);
}

void
mq_quarantine_export (mq_quarantine *quarantine, bool all, GArray *records,
                      uint64_t now_us)
{
  guint n = quarantine->suspects->len;
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);

  /* Each message continues where the last was full, so that all records are
     sent in turn.  */
  for (guint i = 0; i < n; i++)
    {
      guint at = (quarantine->next_export + i) % n;

      export_suspect (mq_quarantine_suspect_at (quarantine, at), all, records,
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
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);

  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const mq_suspect *s = mq_quarantine_suspect_at (quarantine, i);

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
  bool refused = mq_suspect_remaining_us (quarantine, s, now_us) > 0;
  mq_quarantine_change c = { s->element, refused, false, s->n, 0 };

  if (refused == s->refused)
    return;
  c.own = s->own_crash_us > 0 && s->n > 0
          && s->own_crash_us >= s->crashes[s->n - 1].at_us;
  c.tied = mq_suspect_judge (quarantine, s).tied;
  s->refused = refused;
  g_array_append_val (changes, c);
}

void
mq_quarantine_tick (mq_quarantine *quarantine, GArray *changes,
                    uint64_t now_us)
{
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);

  quarantine->refused = 0;
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      mq_suspect *s = mq_quarantine_suspect_at (quarantine, i);

      tick_suspect (quarantine, s, changes, now);
      quarantine->refused += s->refused;
    }
  for (guint i = quarantine->suspects->len; i > 0; i--)
    if (suspect_last_us (mq_quarantine_suspect_at (quarantine, i - 1))
            + 2 * quarantine->period_us
        <= now)
      quarantine_drop (quarantine, i - 1);
}
