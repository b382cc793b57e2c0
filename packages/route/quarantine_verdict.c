/* What the crash records of suspects show: which requests are refused, and
   which are kept apart.  The rules are stated in mq/quarantine.h.

   The verdict on a suspect alone is kept until the records change; only for
   suspects that are tied with others of the same request it depends on what
   the request has.  */

#include <mq/internal/quarantine.h>

#include <mq/str.h>

/* Unexplained crashes after which an element is refused, or kept apart from
   those that it is tied with.  */
#define MIN_CRASHES 3
/* The same of a part when all of them happened within PART_SPAN_US, as
   upstreams that fail together do.  */
#define MIN_PART_CRASHES_AT_ONCE 5
#define PART_SPAN_US ((uint64_t)500 * 1000)
/* By then all routers keep an element apart, and those that ran together
   before have ended.  */
#define APART_DELAY_US ((uint64_t)1500 * 1000)
/* Unexplained crashes since then after which an element is refused also if it
   is tied.  */
#define MAX_CRASHES_APART 2
/* Requests that are kept apart change places after this, in which most have
   begun to run.  */
#define TURN_US ((uint64_t)500 * 1000)
/* Routers that lost requests in one crash report it within this.  No request
   is refused earlier, so that all suspects of the crash are known.  */
#define SETTLE_US ((uint64_t)300 * 1000)
/* A part is tried again this long after the crashes that led to its refusal.
 */
#define FIRST_TRIAL_US ((uint64_t)10 * 1000 * 1000)
/* By how much, as a power of two, each further crash prolongs that.  */
#define TRIAL_BACKOFF_BITS 3
/* All routers know of a crash after this.  */
#define LEARN_US ((uint64_t)2 * 1000 * 1000)
/* The result of a trial is known after this.  */
#define TRIAL_TIMEOUT_US ((uint64_t)5 * 1000 * 1000)

/* ---- Comparison of suspects.  */

/* How little a suspect explains beside one with equally many crashes.  */
typedef enum suspect_class
{
  CLASS_CONTENT,
  CLASS_PART,
  CLASS_PART_THAT_RAN /* A part that ran well before.  */
} suspect_class;

static suspect_class
suspect_classify (const mq_suspect *s)
{
  if (!mq_element_is_part (s->element))
    return CLASS_CONTENT;
  return s->success_us == 0 ? CLASS_PART : CLASS_PART_THAT_RAN;
}

/* Returns a positive number if A is likelier to be the cause of a crash than
   B, 0 if they are equal, and a negative number otherwise.  */
static int
suspect_compare (const mq_suspect *a, const mq_suspect *b)
{
  if (a->n != b->n)
    return a->n > b->n ? 1 : -1;
  return (int)suspect_classify (b) - (int)suspect_classify (a);
}

/* Returns the last crash of A that B is a suspect of as well, or NULL.  */
static const mq_quarantine_crash *
suspects_shared_crash (const mq_suspect *a, const mq_suspect *b)
{
  for (unsigned i = a->n; i > 0; i--)
    if (mq_suspect_is_of_crash (b, a->crashes[i - 1].upstream))
      return &a->crashes[i - 1];
  return NULL;
}

/* Returns true if A and B are suspects of the same crash and equal.  */
static bool
suspects_are_tied (const mq_suspect *a, const mq_suspect *b)
{
  return a != b && suspect_compare (a, b) == 0
         && suspects_shared_crash (a, b) != NULL;
}

/* ---- Verdicts.  */

/* Compares S with the likeliest other suspect of the crash of UPSTREAM that is
   not in SET: returns a positive number if S is likelier or the only one, 0 if
   they are equal, and a negative number otherwise.  */
static int
suspect_compare_at_crash (const mq_quarantine *quarantine, const mq_suspect *s,
                          mq_element_set set, uint64_t upstream)
{
  int result = 1;

  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const mq_suspect *other = mq_quarantine_suspect_at (quarantine, i);
      int c;

      if (other == s || !mq_suspect_is_of_crash (other, upstream)
          || mq_element_set_has (set, other->element))
        continue;
      c = suspect_compare (s, other);
      if (c < result)
        result = c;
    }
  return result;
}

/* Returns true if N unexplained crashes of S, from FIRST to LAST, are enough
   to refuse requests for it.  */
static bool
crashes_are_enough (const mq_suspect *s, unsigned n,
                    const mq_quarantine_crash *first,
                    const mq_quarantine_crash *last)
{
  if (n < MIN_CRASHES)
    return false;
  return !mq_element_is_part (s->element) || n >= MIN_PART_CRASHES_AT_ONCE
         || last->at_us - first->at_us >= PART_SPAN_US;
}

/* Judge S as an element of a request with the elements SET.  */
static mq_suspect_verdict
suspect_judge_in (const mq_quarantine *quarantine, const mq_suspect *s,
                  mq_element_set set)
{
  mq_suspect_verdict v = { 0, 0, 0 };
  const mq_quarantine_crash *first = NULL;
  bool is_top_suspect = false;
  uint64_t apart_us = UINT64_MAX;
  unsigned apart = 0;
  unsigned needed = 0;

  for (unsigned i = 0; i < s->n; i++)
    {
      const mq_quarantine_crash *c = &s->crashes[i];
      int compared
          = suspect_compare_at_crash (quarantine, s, set, c->upstream);

      if (compared < 0)
        continue;
      if (compared > 0)
        is_top_suspect = true;
      if (first == NULL)
        first = c;
      v.unexplained++;
      if (v.unexplained == MIN_CRASHES)
        apart_us = c->at_us + APART_DELAY_US;
      if (needed == 0 && crashes_are_enough (s, v.unexplained, first, c))
        needed = i + 1;
      if (c->at_us >= apart_us && ++apart == MAX_CRASHES_APART
          && suspect_classify (s) != CLASS_PART_THAT_RAN)
        v.refused_after = i + 1;
    }
  if (needed > 0 && is_top_suspect)
    v.refused_after = needed;
  return v;
}

/* Returns how many suspects S has to be kept apart from.  */
static unsigned
suspect_count_tied (const mq_quarantine *quarantine, const mq_suspect *s)
{
  unsigned n = 0;

  if (suspect_classify (s) == CLASS_PART_THAT_RAN)
    return 0;
  for (guint i = 0; i < quarantine->suspects->len; i++)
    n += suspects_are_tied (s, mq_quarantine_suspect_at (quarantine, i));
  return n;
}

mq_suspect_verdict
mq_suspect_judge (const mq_quarantine *quarantine, mq_suspect *suspect)
{
  mq_element_set alone = { &suspect->element, 1 };

  if (suspect->n < MIN_CRASHES)
    return (mq_suspect_verdict){ 0, 0, 0 };
  if (suspect->judged_epoch != quarantine->epoch)
    {
      suspect->verdict = suspect_judge_in (quarantine, suspect, alone);
      suspect->verdict.tied = suspect_count_tied (quarantine, suspect);
      suspect->judged_epoch = quarantine->epoch;
    }
  return suspect->verdict;
}

/* ---- Refusal.  */

/* Returns how long requests are refused for S, of whose crashes NEEDED led to
   that.  */
static uint64_t
suspect_refusal_us (const mq_quarantine *quarantine, const mq_suspect *s,
                    unsigned needed, uint64_t now_us)
{
  uint64_t until;

  if (needed == 0 || now_us < s->crashes[needed - 1].at_us + SETTLE_US)
    return 0;
  until = s->crashes[s->n - 1].at_us + quarantine->period_us;
  return until > now_us ? until - now_us : 0;
}

uint64_t
mq_suspect_remaining_us (const mq_quarantine *quarantine, mq_suspect *suspect,
                         uint64_t now_us)
{
  return suspect_refusal_us (
      quarantine, suspect,
      mq_suspect_judge (quarantine, suspect).refused_after, now_us);
}

/* Returns how many crashes of S, which is refused since the crash at place
   LED, happened when all routers knew of that.  */
static unsigned
suspect_count_tried (const mq_suspect *s, unsigned led)
{
  unsigned n = 0;

  for (unsigned i = led; i < s->n; i++)
    n += s->crashes[i].at_us > s->crashes[led - 1].at_us + LEARN_US;
  return n;
}

bool
mq_suspect_may_be_tried (const mq_quarantine *quarantine, mq_suspect *suspect,
                         uint64_t now_us)
{
  unsigned led = mq_suspect_judge (quarantine, suspect).refused_after;
  uint64_t delay;

  if (!mq_element_is_part (suspect->element) || led == 0)
    return false;
  delay = FIRST_TRIAL_US << (suspect_count_tried (suspect, led)
                             * TRIAL_BACKOFF_BITS);
  return now_us >= suspect->crashes[suspect->n - 1].at_us
                       + MIN (delay, quarantine->period_us);
}

/* Returns true if this router may let a request through now that is refused
   for S.  */
static bool
suspect_is_tried_here (const mq_quarantine *quarantine, mq_suspect *s,
                       uint64_t now_us)
{
  return s->own_crash_us >= s->crashes[s->n - 1].at_us
         && now_us >= s->trial_us + TRIAL_TIMEOUT_US
         && mq_suspect_may_be_tried (quarantine, s, now_us);
}

/* Returns true if another element of SET is as likely as S.  */
static bool
set_has_equal (const mq_quarantine *quarantine, mq_element_set set,
               const mq_suspect *s)
{
  for (size_t i = 0; i < set.n; i++)
    {
      const mq_suspect *other = mq_quarantine_lookup (quarantine, set.ids[i]);

      if (other != NULL && suspects_are_tied (s, other))
        return true;
    }
  return false;
}

/* Returns how long a request with the elements SET is refused for S, one of
   them.  */
static uint64_t
suspect_remaining_in_us (const mq_quarantine *quarantine, mq_suspect *s,
                         mq_element_set set, uint64_t now_us)
{
  uint64_t left = mq_suspect_remaining_us (quarantine, s, now_us);

  if (left == 0 && s->n >= MIN_CRASHES && set_has_equal (quarantine, set, s))
    left = suspect_refusal_us (
        quarantine, s, suspect_judge_in (quarantine, s, set).refused_after,
        now_us);
  return left > 0 && !suspect_is_tried_here (quarantine, s, now_us) ? left : 0;
}

uint64_t
mq_quarantine_remaining_us (const mq_quarantine *quarantine,
                            mq_element_set set, uint64_t now_us)
{
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);
  uint64_t max = 0;

  for (size_t i = 0; i < set.n; i++)
    {
      mq_suspect *s = mq_quarantine_lookup (quarantine, set.ids[i]);

      if (s != NULL)
        max = MAX (max, suspect_remaining_in_us (quarantine, s, set, now));
    }
  return max;
}

void
mq_quarantine_note_sent (mq_quarantine *quarantine, mq_element_set set,
                         uint64_t now_us)
{
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);

  for (size_t i = 0; i < set.n; i++)
    {
      mq_suspect *s = mq_quarantine_lookup (quarantine, set.ids[i]);

      if (s != NULL && mq_suspect_may_be_tried (quarantine, s, now))
        s->trial_us = now;
    }
}

/* ---- Keeping tied suspects apart.  */

/* Returns true if A goes before B at UPSTREAM in TURN.  */
static bool
suspect_goes_before (const mq_suspect *a, const mq_suspect *b,
                     uint64_t upstream, uint64_t turn)
{
  uint64_t place = mq_hash_mix (upstream, turn);

  return mq_hash_mix (a->element, place) > mq_hash_mix (b->element, place);
}

/* Returns true if S has to be kept apart from others.  */
static bool
suspect_is_kept_apart (const mq_quarantine *quarantine, mq_suspect *s)
{
  mq_suspect_verdict v = mq_suspect_judge (quarantine, s);

  return v.unexplained >= MIN_CRASHES && v.tied > 0;
}

/* Returns true if a request with the elements SET, of which S is one that is
   kept apart, may run at UPSTREAM as far as S is concerned.  */
static bool
suspect_may_run_at (const mq_quarantine *quarantine, const mq_suspect *s,
                    mq_element_set set, uint64_t upstream, bool pending,
                    uint64_t now_us)
{
  for (guint i = 0; i < quarantine->suspects->len; i++)
    {
      const mq_suspect *other = mq_quarantine_suspect_at (quarantine, i);
      const mq_quarantine_crash *shared;

      if (!suspects_are_tied (s, other)
          || mq_element_set_has (set, other->element))
        continue;
      shared = suspects_shared_crash (s, other);
      if (pending
          || !suspect_goes_before (s, other, upstream,
                                   (now_us - shared->at_us) / TURN_US))
        return false;
    }
  return true;
}

bool
mq_quarantine_keeps_apart (const mq_quarantine *quarantine, mq_element_set set)
{
  for (size_t i = 0; i < set.n; i++)
    {
      mq_suspect *s = mq_quarantine_lookup (quarantine, set.ids[i]);

      if (s != NULL && suspect_is_kept_apart (quarantine, s))
        return true;
    }
  return false;
}

bool
mq_quarantine_may_run_at (const mq_quarantine *quarantine, mq_element_set set,
                          uint64_t upstream, bool pending, uint64_t now_us)
{
  uint64_t now = mq_quarantine_shift_us (quarantine, now_us);

  for (size_t i = 0; i < set.n; i++)
    {
      mq_suspect *s = mq_quarantine_lookup (quarantine, set.ids[i]);

      if (s != NULL && suspect_is_kept_apart (quarantine, s)
          && !suspect_may_run_at (quarantine, s, set, upstream, pending, now))
        return false;
    }
  return true;
}
