/* How much is in flight in each failure domain, over all routers, and where
   the next request goes.

   Each router counts its own and hears the others' counts every heartbeat.
   Pure; times come in with the calls.  The load it answers: many clients at
   once through several routers, each of which sees a part; without the
   others' counts all send to the same emptiest domain at once.  */

#ifndef MQ_DOMAIN_LOAD_H
#define MQ_DOMAIN_LOAD_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* One way to serve a request.  */
typedef struct mq_domain_choice
{
  mq_span domain; /* Borrowed.  */
  double room;    /* Tokens that its tightest stage holds.  */
  double used;    /* Tokens in flight, of all routers.  */
  double step_ms; /* Of a token on its path, without load.  */
  bool tried;     /* A send of the same request failed there.  */
  bool local;     /* The router's own domain.  */
} mq_domain_choice;

typedef struct mq_domain_verdict
{
  int chosen;        /* Index, or -1: refuse.  */
  unsigned retry_ms; /* Refused: when to come back.  */
} mq_domain_verdict;

/* Choose among N ways for a request that will hold NEED tokens.  One that has
   BEGUN, and would be lost, may take what is kept back from new ones.  DRAW,
   even over 64 bits, spreads the returns of those who are refused.  */
mq_domain_verdict mq_domain_choose (const mq_domain_choice *choices, size_t n,
                                    double need, bool begun, uint64_t draw);

/* Tokens that a request will hold at its end: PROMPT and what is expected of
   an answer of at most MOST tokens, given the client's ESTIMATE (0: none)
   and the usual answer.  */
double mq_domain_need (unsigned prompt, unsigned most, unsigned estimate,
                       unsigned usual);

G_END_DECLS

#endif
