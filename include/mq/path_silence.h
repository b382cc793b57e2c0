/* Has a whole path fallen silent?

   An engine that dies stalls all streams that pass through it, and the head of
   their path tells who it is after 0.5 s only.  A client counts a stream as
   late after a pause of 0.2 s.  But all streams of a path together are never
   silent for long while it works: their events come at different moments.  So
   silence of the path is seen long before that of one stream can be.  Pure. */

#ifndef MQ_PATH_SILENCE_H
#define MQ_PATH_SILENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* What one router hears of the streams whose paths have the same head.  */
typedef struct mq_path_activity
{
  uint64_t heard_us; /* The last event; 0: none yet.  */
  uint64_t
      longest_gap_us; /* The longest time between two lately; it shrinks.  */
} mq_path_activity;

/* An event of one of them came at NOW_US.  */
void mq_path_activity_note (mq_path_activity *activity, uint64_t now_us);

/* The router that watches its paths.  */
typedef struct mq_path_monitor
{
  uint64_t checked_us; /* When it last checked; 0: never.  */
  uint64_t awake_us;   /* Since when it has run without a pause of its own.  */
  uint64_t moved_us;   /* When it last moved streams between paths.  */
} mq_path_monitor;

/* A check at NOW_US; checks come each EVERY_US.  */
void mq_path_monitor_check (mq_path_monitor *monitor, uint64_t every_us,
                            uint64_t now_us);

/* Does a path of ACTIVITY not work any more?  RUNNING of its streams have had
   an event since they were sent.  ELSEWHERE_US: the last event of any stream
   on another path, 0: none.  When all paths are silent, the fault is more
   likely to be this router's or its network's.  */
bool mq_path_is_silent (const mq_path_activity *activity, unsigned running,
                        uint64_t elsewhere_us, const mq_path_monitor *monitor,
                        uint64_t now_us);

G_END_DECLS

#endif
