/* Silence of whole paths: see mq/path_silence.h.

   The figures are from all gaps of over 40 ms between events of a path, as the
   routers of halvorsen-fleet saw them on quiet-1 and on scale-1 --seed
   323915425886: with ten streams or more 51 gaps, one of them over 74 ms, and
   with four to nine five over 80 ms, beside those of engines that had died.
   Engines that turn slow make all gaps longer (halvorsen trouble-2 --seed
   492791450403: up to 100 ms), so a path is judged by its own.  */

#include <mq/path_silence.h>

/* Silence lasts so long, and so many times as long as the longest lull.  */
#define RUNNING_MANY 10
#define SILENT_MANY_US 70e3
#define LULL_TIMES_MANY 1.4
/* The same of fewer streams, whose lulls vary more: with the limits of many,
   four to eight were taken for silent 80 times on the calm day of
   tekle-entries-grown, and 7 times with these.  Still fewer are silent by
   chance.  */
#define RUNNING_LEAST 4
#define SILENT_FEW_US 100e3
#define LULL_TIMES_FEW 2.0
/* Longer ones count as this, and those after which the path must have been
   another one as none.  */
#define LULL_MOST_US ((uint64_t)200 * 1000)
#define LULL_BROKEN_US ((uint64_t)400 * 1000)
/* A lull counts for less the longer it is over: half after 3.5 s.  */
#define LULL_FADES_US 5e6
/* Streams that have moved read their prompts again, which slows the path they
   went to: for so long twice the silence is needed.  */
#define MOVED_US ((uint64_t)500 * 1000)
#define MOVED_TIMES 2
/* Another path that had an event within this shows that this router hears.  */
#define HEARS_US ((uint64_t)60 * 1000)
/* Looks that come later than so many times as often as they should: the
   router was stopped meanwhile, and what came is not read yet.  */
#define LATE_TIMES 2

/* The lull of EAR as it counts at NOW_US.  */
static double
ear_lull (const mq_path_ear *ear, uint64_t now_us)
{
  double age = (double)(now_us - ear->heard_us) / LULL_FADES_US;

  return (double)ear->lull_us / (1 + age);
}

void
mq_path_ear_hear (mq_path_ear *ear, uint64_t now_us)
{
  uint64_t gap = now_us - ear->heard_us;
  double lull = ear_lull (ear, now_us);

  if (ear->heard_us > 0 && gap < LULL_BROKEN_US)
    lull = MAX (lull, (double)MIN (gap, LULL_MOST_US));
  ear->lull_us = (uint64_t)lull;
  ear->heard_us = now_us;
}

void
mq_path_listener_look (mq_path_listener *listener, uint64_t every_us,
                       uint64_t now_us)
{
  if (now_us > listener->looked_us + every_us * LATE_TIMES)
    listener->awake_us = now_us;
  listener->looked_us = now_us;
}

bool
mq_path_is_silent (const mq_path_ear *ear, unsigned running,
                   uint64_t elsewhere_us, const mq_path_listener *listener,
                   uint64_t now_us)
{
  uint64_t since = MAX (ear->heard_us, listener->awake_us);
  double lull = (double)ear->lull_us;
  double least = running >= RUNNING_MANY
                     ? MAX (lull * LULL_TIMES_MANY, SILENT_MANY_US)
                     : MAX (lull * LULL_TIMES_FEW, SILENT_FEW_US);

  if (listener->moved_us > 0 && now_us < listener->moved_us + MOVED_US)
    least *= MOVED_TIMES;
  return running >= RUNNING_LEAST && ear->heard_us > 0
         && (double)(now_us - MIN (since, now_us)) >= least
         && now_us < elsewhere_us + HEARS_US;
}
