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
typedef struct mq_path_ear
{
  uint64_t heard_us; /* The last event; 0: none yet.  */
  uint64_t lull_us;  /* The longest time between two lately; it shrinks.  */
} mq_path_ear;

/* An event of one of them came at NOW_US.  */
void mq_path_ear_hear (mq_path_ear *ear, uint64_t now_us);

/* The router that listens.  */
typedef struct mq_path_listener
{
  uint64_t looked_us; /* When it last looked; 0: never.  */
  uint64_t awake_us;  /* Since when it has run without a pause of its own.  */
  uint64_t moved_us;  /* When it last moved streams between paths.  */
} mq_path_listener;

/* A look at NOW_US; looks come each EVERY_US.  */
void mq_path_listener_look (mq_path_listener *listener, uint64_t every_us,
                            uint64_t now_us);

/* Does a path of EAR not work any more?  RUNNING of its streams have had an
   event since they were sent.  ELSEWHERE_US: the last event of any stream on
   another path, 0: none.  When all paths are silent, the fault is more likely
   to be this router's or its network's.  */
bool mq_path_is_silent (const mq_path_ear *ear, unsigned running,
                        uint64_t elsewhere_us,
                        const mq_path_listener *listener, uint64_t now_us);

G_END_DECLS

#endif
