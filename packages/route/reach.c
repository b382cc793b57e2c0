/* Whether this router reaches the upstreams: see mq/reach.h.  */

#include <mq/reach.h>

/* Between the starts of two checks.  Failures come in bursts.  */
#define CHECK_INTERVAL_US ((uint64_t)50 * 1000)
/* The same while the router is isolated.  */
#define ISOLATED_INTERVAL_US ((uint64_t)200 * 1000)
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
  uint64_t interval
      = reach->isolated ? ISOLATED_INTERVAL_US : CHECK_INTERVAL_US;

  return (reach->suspected || reach->isolated) && !reach->checking
         && (reach->check_began_us == 0
             || now_us - reach->check_began_us >= interval);
}

void
mq_reach_check_began (mq_reach *reach, uint64_t now_us)
{
  reach->checking = true;
  reach->suspected = false;
  reach->check_began_us = now_us;
}

bool
mq_reach_check_ended (mq_reach *reach, const mq_reach_sample *sample)
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
  if (!reach->isolated)
    reach->sound_us = reach->check_began_us;
  return reach->isolated != was_isolated;
}

bool
mq_reach_is_sure (const mq_reach *reach)
{
  return !reach->isolated && !reach->suspected && !reach->checking;
}

bool
mq_reach_confirms (const mq_reach *reach, uint64_t at_us)
{
  return !reach->isolated && reach->sound_us >= at_us;
}
