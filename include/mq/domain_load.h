/* How much is in flight in each failure domain, over all routers, and where
   the next request goes.

   Each router counts its own and hears the others' counts every heartbeat.
   Pure; times come in with the calls.  The load it answers: many clients at
   once through several routers, each of which sees a part; without the
   others' counts all send to the same emptiest domain at once, and with counts
   that are old all send to the one that was emptiest then.  */

#ifndef MQ_DOMAIN_LOAD_H
#define MQ_DOMAIN_LOAD_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* A path that could serve a request.  */
typedef struct mq_domain_choice
{
  mq_span domain;          /* Borrowed.  */
  double room;             /* Tokens that its tightest stage holds.  */
  double used;             /* Tokens in flight, of all routers.  */
  double step_ms;          /* Of a token on its path, without load.  */
  bool tried;              /* A send of the same request failed there.  */
  bool local;              /* The router's own domain.  */
  double prefill_queue_ms; /* Until the prompts queued there are prefilled.  */
  double prefill_ms;       /* To prefill the request's own; 0: not known.  */
} mq_domain_choice;

/* What a request is to the router.  */
typedef enum mq_domain_rank
{
  MQ_DOMAIN_RETRY, /* A retry after a rejection; it will be late anyhow.  */
  MQ_DOMAIN_NEW,
  MQ_DOMAIN_STARTED /* Part of its answer was given.  */
} mq_domain_rank;

typedef struct mq_domain_request
{
  double need; /* Tokens that it will hold.  */
  mq_domain_rank rank;
  double target_ms; /* Aim for its first event; 0: none, and it does not wait
                       for what is read before it.  */
  double age_ms;    /* Of others' counts, at most.  */
  uint64_t random;  /* Even over 64 bits.  */
} mq_domain_request;

/* No path has memory for it, or those that have must prefill too much before.
 */
#define MQ_DOMAIN_NO_MEMORY (-1)
#define MQ_DOMAIN_PREFILL_BACKLOG (-2)

/* Choose among N paths for REQUEST: the index of one, or one of the above.  */
int mq_domain_choose (const mq_domain_choice *choices, size_t n,
                      const mq_domain_request *request);

/* Retry-After, in ms, for a rejected client that has LEFT_MS.  DRAW, even
   over 64 bits, spreads those who are refused together.  */
unsigned mq_domain_retry_after_ms (uint64_t left_ms, uint64_t random);

/* Tokens that a request will hold at its end: PROMPT and what is expected of
   an answer of at most MOST tokens, given the client's ESTIMATE (0: none)
   and the usual answer.  */
double mq_domain_expected_tokens (unsigned prompt, unsigned most,
                                  unsigned estimate, unsigned usual);

G_END_DECLS

#endif
