/* Which routers follow the store: see mq/follow.h.  */

#include <mq/follow.h>

/* Enough others must have followed for so long: longer than a router that has
   died goes unnoticed at most places, and than a round of restarts takes to
   show.  */
#define ENOUGH_US ((uint64_t)3000 * 1000)
#define TELLERS 2

bool
mq_follow_tick (mq_follow *follow, unsigned before, unsigned wanted,
                uint64_t now_us)
{
  if (before < wanted)
    {
      bool turned = follow->told;

      *follow = (mq_follow){ false, 0 };
      return turned;
    }
  if (follow->told)
    return false;
  if (follow->enough_us == 0)
    follow->enough_us = now_us;
  follow->told = now_us >= follow->enough_us + ENOUGH_US;
  return follow->told;
}

bool
mq_follow_tells (const mq_follow *follow, unsigned before)
{
  return !follow->told && before < TELLERS;
}
