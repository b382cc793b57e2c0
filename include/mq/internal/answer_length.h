/* Internal to packages/decide: how long the answers of a service come out.

   Callers ask for a most, and answers are often shorter; work reckoned from
   the most alone would end requests that can still make it.  Learned from
   answers that came whole.  Those that were ended early don't count, which
   makes the estimate err on the short side: a request is then kept rather
   than ended.  */

#ifndef MQ_INTERNAL_ANSWER_LENGTH_H
#define MQ_INTERNAL_ANSWER_LENGTH_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_answer_lengths mq_answer_lengths;

mq_answer_lengths *mq_answer_lengths_new (void);
void mq_answer_lengths_free (mq_answer_lengths *lengths);

/* A whole answer of SERVICE had TOKENS of at most MOST.  */
void mq_answer_lengths_note (mq_answer_lengths *lengths, mq_span service,
                             uint32_t tokens, uint32_t max_tokens);
/* How many tokens an answer of SERVICE of at most MOST is thought to have; 0
   before enough answers were seen.  */
uint32_t mq_answer_lengths_expect (const mq_answer_lengths *lengths,
                                   mq_span service, uint32_t max_tokens);

G_END_DECLS

#endif
