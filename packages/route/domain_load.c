/* Load by failure domain: see mq/domain_load.h.  */

#include <mq/domain_load.h>

/* Part of a domain's memory that is given out.  The rest covers what other
   routers admitted since their last heartbeat (0.25 s, at 72 requests a
   second some 17,000 tokens over three domains) and answers that become
   longer than estimated.  */
#define SHARE_GIVEN 0.92
#define SHARE_BEGUN 1.0

/* A domain where a send of the same request failed comes after others that
   are fuller by this: an engine there may be failing unnoticed.  */
#define TRIED_LAG 0.4

/* How much fuller its own domain may be before a router sends elsewhere: an
   answer to another domain costs about a hundredth of its credit.  */
#define LOCAL_LEAD 0.15

/* Mean time that a request holds its memory, for when to come back.  */
#define HOLD_MS 4000.0
#define RETRY_LEAST_MS 200.0
#define RETRY_MOST_MS 3000.0
/* The return is spread over so much of itself, so that those who were
   refused together do not come back together.  */
#define RETRY_SPREAD 0.5

static unsigned
refuse_ms (const mq_domain_choice *choices, size_t n, double need,
           uint64_t draw)
{
  double best = RETRY_MOST_MS;

  for (size_t i = 0; i < n; i++)
    {
      double given = choices[i].room * SHARE_GIVEN;
      double over = choices[i].used + need - given;

      if (given > need)
        best = MIN (best, over / given * HOLD_MS);
    }
  best = CLAMP (best, RETRY_LEAST_MS, RETRY_MOST_MS);
  return (unsigned)(best
                    + best * RETRY_SPREAD * (double)(draw >> 11)
                          / (double)(UINT64_MAX >> 11));
}

mq_domain_verdict
mq_domain_choose (const mq_domain_choice *choices, size_t n, double need,
                  bool begun, uint64_t draw)
{
  mq_domain_verdict v = { -1, 0 };
  double best = 0;

  for (size_t i = 0; i < n; i++)
    {
      double given = choices[i].room * (begun ? SHARE_BEGUN : SHARE_GIVEN);
      double score;

      if (choices[i].used + need > given)
        continue;
      score = (choices[i].used + need) / given
              - (choices[i].local ? LOCAL_LEAD : 0)
              + (choices[i].tried ? TRIED_LAG : 0);
      if (v.chosen < 0 || score < best)
        {
          v.chosen = (int)i;
          best = score;
        }
    }
  if (v.chosen < 0)
    v.retry_ms = refuse_ms (choices, n, need, draw);
  return v;
}

double
mq_domain_need (unsigned prompt, unsigned most, unsigned estimate,
                unsigned usual)
{
  unsigned answer = estimate > 0 ? estimate : usual;

  if (most > 0)
    answer = answer == 0 ? most : MIN (answer, most);
  return (double)prompt + answer;
}
