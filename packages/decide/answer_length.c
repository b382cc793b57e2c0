/* Learned answer lengths: see mq/internal/answer_length.h.  */

#include <mq/internal/answer_length.h>

/* Weight of the newest answer in the moving average.  */
#define NEWEST_WEIGHT 0.05
/* Answers recorded before an expectation is given.  */
#define MIN_ANSWERS 20

typedef struct answer_length
{
  double fraction; /* Tokens over maximum tokens, smoothed.  */
  uint32_t answers;
} answer_length;

struct mq_answer_lengths
{
  GHashTable *services; /* Hash of name to answer_length, owned.  */
};

static answer_length *
lengths_find (const mq_answer_lengths *lengths, mq_span service)
{
  uint64_t key = mq_span_hash (service);

  return g_hash_table_lookup (lengths->services, &key);
}

static answer_length *
lengths_add (mq_answer_lengths *lengths, mq_span service)
{
  uint64_t *key = g_new (uint64_t, 1);
  answer_length *l = g_new0 (answer_length, 1);

  *key = mq_span_hash (service);
  g_hash_table_insert (lengths->services, key, l);
  return l;
}

mq_answer_lengths *
mq_answer_lengths_new (void)
{
  mq_answer_lengths *l = g_new0 (mq_answer_lengths, 1);

  l->services
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return l;
}

void
mq_answer_lengths_free (mq_answer_lengths *lengths)
{
  if (lengths == NULL)
    return;
  g_hash_table_unref (lengths->services);
  g_free (lengths);
}

void
mq_answer_lengths_note (mq_answer_lengths *lengths, mq_span service,
                        uint32_t tokens, uint32_t max_tokens)
{
  answer_length *l = lengths_find (lengths, service);
  double fraction = max_tokens > 0 ? (double)tokens / max_tokens : 0;

  if (l == NULL)
    l = lengths_add (lengths, service);
  l->answers = MIN (l->answers + 1, MIN_ANSWERS);
  /* A plain mean at first, so that the first answer does not dominate.  */
  l->fraction
      += (fraction - l->fraction) * MAX (NEWEST_WEIGHT, 1.0 / l->answers);
}

uint32_t
mq_answer_lengths_expect (const mq_answer_lengths *lengths, mq_span service,
                          uint32_t max_tokens)
{
  const answer_length *l = lengths_find (lengths, service);

  if (l == NULL || l->answers < MIN_ANSWERS)
    return 0;
  return (uint32_t)(l->fraction * max_tokens);
}
