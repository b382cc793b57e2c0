/* Internal to packages/decide: layer ranges that have too few engines.

   When engines are gone for some time, and what they held is short of
   engines, another engine is ordered to load that range: one order at a time
   for a range, and a few at once over all, since weights come from a
   rate-limited store.  An engine that was ordered gets no new work until it
   reports what it holds; after a timeout another is tried.  */

#ifndef MQ_INTERNAL_REPAIR_H
#define MQ_INTERNAL_REPAIR_H

#include <mq/internal/model_state.h>

G_BEGIN_DECLS

typedef struct mq_repairs
{
  GArray *shortages; /* of mq_shortage  */
} mq_repairs;

/* A range that is or was short of engines.  */
typedef struct mq_shortage
{
  mq_str *model;
  uint32_t first;
  uint32_t end;
  uint64_t since_us;
  mq_str *engine;    /* Ordered to help; NULL: none yet.  */
  uint64_t until_us; /* When to give up on it.  */
  bool is_short;     /* In the present review.  */
} mq_shortage;

void mq_repairs_init (mq_repairs *repairs);
void mq_repairs_finish (mq_repairs *repairs);
/* Look at MODEL's ranges and append a REPAIR for each that needs one.  */
void mq_repairs_review (mq_repairs *repairs, const mq_model_state *model,
                        uint64_t now_us, GArray *actions);

G_END_DECLS

#endif
