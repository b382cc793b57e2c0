/* Internal to packages/decide: health of engines.

   An engine that causes a failed attempt receives no new work during a
   back-off, which doubles with each consecutive fault, nor until it has
   reported again.  An engine that responds but is slower than its peers (a
   grey failure) is ejected, then put on probation with a few streams, and
   restored once it keeps up.

   The policy limits the percentage of engines that are ejected at once, and
   the last usable engine of a layer range is never ejected: when all engines
   look slow, the cause lies elsewhere.  */

#ifndef MQ_INTERNAL_HEALTH_H
#define MQ_INTERNAL_HEALTH_H

#include <mq/internal/engine_table.h>

G_BEGIN_DECLS

/* Records an attempt that succeeded on ENGINE.  */
void mq_health_note_success (mq_engine_state *engine, uint64_t now_us);
/* Records an attempt that failed because of ENGINE.  END is the way in which
   it failed.  */
void mq_health_note_fault (mq_engine_state *engine, mq_attempt_end end,
                           uint64_t now_us);
/* Ejects slow engines, puts ejected ones on probation and restores those that
   passed it.  At most MAX_EJECTED_PERCENT of the engines are ejected.  */
void mq_health_review (mq_engine_table *table, uint32_t max_ejected_percent,
                       uint64_t now_us);

G_END_DECLS

#endif
