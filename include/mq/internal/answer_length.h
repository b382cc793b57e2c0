/* Internal to packages/decide: learned lengths of the answers of a service.

   Answers are often shorter than the maximum that the caller requests.  An
   estimate of the remaining work from the maximum alone would end requests
   that can still meet their deadline.  The estimate is learned from complete
   answers only; leaving out those that ended early biases it towards short
   answers, so that a request is kept rather than ended.  */

#ifndef MQ_INTERNAL_ANSWER_LENGTH_H
#define MQ_INTERNAL_ANSWER_LENGTH_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_answer_lengths mq_answer_lengths;

mq_answer_lengths *mq_answer_lengths_new (void);
void mq_answer_lengths_free (mq_answer_lengths *lengths);

/* Record a complete answer of SERVICE with TOKENS out of MAX_TOKENS.  */
void mq_answer_lengths_note (mq_answer_lengths *lengths, mq_span service,
                             uint32_t tokens, uint32_t max_tokens);
/* Returns the expected number of tokens in an answer of SERVICE with at most
   MAX_TOKENS, or 0 before enough answers were recorded.  */
uint32_t mq_answer_lengths_expect (const mq_answer_lengths *lengths,
                                   mq_span service, uint32_t max_tokens);

G_END_DECLS

#endif
