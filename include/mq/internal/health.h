/* Internal to packages/decide: engines that fail or are slow.

   An engine at fault is left alone for a back-off that doubles with each
   fault in a row, and for as long as it has not reported since.  One that
   works but is slow against its peers (a grey failure) is put aside, then
   tried with a few streams, and taken back when it has kept up.  Never more
   engines are put aside than the policy's percentage, nor the last one of a
   layer range: when all seem slow, it is not they who are ill.  */

#ifndef MQ_INTERNAL_HEALTH_H
#define MQ_INTERNAL_HEALTH_H

#include <mq/internal/engine_table.h>

G_BEGIN_DECLS

/* An attempt went well there.  */
void mq_health_note_success (mq_engine_state *engine, uint64_t now_us);
/* An attempt ended by its fault.  */
void mq_health_note_fault (mq_engine_state *engine, mq_attempt_end end,
                           uint64_t now_us);
/* Put aside, try again and take back.  */
void mq_health_review (mq_engine_table *table, uint32_t max_ejected_percent,
                       uint64_t now_us);

G_END_DECLS

#endif
