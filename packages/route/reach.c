/* Whether this router reaches the upstreams: see mq/reach.h.  */

#include <mq/reach.h>

/* Between the starts of two checks.  Failures come in bursts.  */
#define CHECK_INTERVAL_US ((uint64_t)200 * 1000)
/* Checks in a row that must find the links up.  A link that is about to fail
   again may let single connections through.  */
#define CHECKS_TO_RESTORE 2

void
mq_reach_suspect (mq_reach *reach)
{
  reach->suspected = true;
}

bool
mq_reach_check_is_due (const mq_reach *reach, uint64_t now_us)
{
  return (reach->suspected || reach->isolated) && !reach->checking
         && (reach->check_began_us == 0
             || now_us - reach->check_began_us >= CHECK_INTERVAL_US);
}

void
mq_reach_check_began (mq_reach *reach, uint64_t now_us)
{
  reach->checking = true;
  reach->suspected = false;
  reach->check_began_us = now_us;
}

bool
mq_reach_check_ended (mq_reach *reach, const mq_reach_sample *sample,
                      uint64_t now_us)
{
  unsigned n = sample->open + sample->refused + sample->silent;
  bool up = sample->open * 2 >= n;
  bool was_isolated = reach->isolated;

  reach->checking = false;
  if (n == 0)
    return false;
  reach->restored = up ? reach->restored + 1 : 0;
  reach->isolated
      = !up || (was_isolated && reach->restored < CHECKS_TO_RESTORE);
  if (reach->isolated == was_isolated)
    return false;
  reach->changed_us = now_us;
  return true;
}

bool
mq_reach_is_sure (const mq_reach *reach)
{
  return !reach->isolated && !reach->suspected && !reach->checking;
}
