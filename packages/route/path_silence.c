/* Silence of whole paths: see mq/path_silence.h.

   The figures are from all gaps of over 40 ms between events of a path, as the
   routers of halvorsen-fleet saw them on quiet-1 and on scale-1 --seed
   323915425886: with ten streams or more 51 gaps, one of them over 74 ms, and
   with four to nine five over 80 ms, beside those of engines that had died.
   Engines that turn slow make all gaps longer (halvorsen trouble-2 --seed
   492791450403: up to 100 ms), so a path is judged by its own.  */

#include <mq/path_silence.h>

/* Silence lasts so long, and so many times as long as the longest gap.  */
#define RUNNING_MANY 10
#define SILENT_MANY_US 70e3
#define GAP_TIMES_MANY 1.4
/* The same of fewer streams, whose gaps vary more: with the limits of many,
   four to eight were taken for silent 80 times on the calm day of
   tekle-entries-grown, and 7 times with these.  Still fewer are silent by
   chance.  */
#define RUNNING_LEAST 4
#define SILENT_FEW_US 100e3
#define GAP_TIMES_FEW 2.0
/* Longer ones count as this, and those after which the path must have been
   another one as none.  */
#define GAP_MOST_US ((uint64_t)200 * 1000)
#define GAP_BROKEN_US ((uint64_t)400 * 1000)
/* A gap counts for less the longer it is over: half after 3.5 s.  */
#define GAP_FADES_US 5e6
/* Streams that have moved read their prompts again, which slows the path they
   went to: for so long twice the silence is needed.  */
#define MOVED_US ((uint64_t)500 * 1000)
#define MOVED_TIMES 2
/* Another path that had an event within this shows that this router hears.  */
#define HEARS_US ((uint64_t)60 * 1000)
/* Checks that come later than so many times as often as they should: the
   router was stopped meanwhile, and what came is not read yet.  */
#define LATE_TIMES 2

/* The longest gap of ACTIVITY as it counts at NOW_US.  */
static double
activity_gap (const mq_path_activity *activity, uint64_t now_us)
{
  double age = (double)(now_us - activity->heard_us) / GAP_FADES_US;

  return (double)activity->longest_gap_us / (1 + age);
}

void
mq_path_activity_note (mq_path_activity *activity, uint64_t now_us)
{
  uint64_t gap = now_us - activity->heard_us;
  double longest = activity_gap (activity, now_us);

  if (activity->heard_us > 0 && gap < GAP_BROKEN_US)
    longest = MAX (longest, (double)MIN (gap, GAP_MOST_US));
  activity->longest_gap_us = (uint64_t)longest;
  activity->heard_us = now_us;
}

void
mq_path_monitor_check (mq_path_monitor *monitor, uint64_t every_us,
                       uint64_t now_us)
{
  if (now_us > monitor->checked_us + every_us * LATE_TIMES)
    monitor->awake_us = now_us;
  monitor->checked_us = now_us;
}

bool
mq_path_is_silent (const mq_path_activity *activity, unsigned running,
                   uint64_t elsewhere_us, const mq_path_monitor *monitor,
                   uint64_t now_us)
{
  uint64_t since = MAX (activity->heard_us, monitor->awake_us);
  double longest = (double)activity->longest_gap_us;
  double least = running >= RUNNING_MANY
                     ? MAX (longest * GAP_TIMES_MANY, SILENT_MANY_US)
                     : MAX (longest * GAP_TIMES_FEW, SILENT_FEW_US);

  if (monitor->moved_us > 0 && now_us < monitor->moved_us + MOVED_US)
    least *= MOVED_TIMES;
  return running >= RUNNING_LEAST && activity->heard_us > 0
         && (double)(now_us - MIN (since, now_us)) >= least
         && now_us < elsewhere_us + HEARS_US;
}
