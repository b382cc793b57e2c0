/* Internal to packages/decide: repair of layer ranges that have too few
   engines.

   When a range has been short of engines for some time, an engine of another
   range is ordered to load it.  A range has at most one order at a time, and
   all ranges together have a few, since weights come from a rate-limited
   store.  An ordered engine gets no new work until it reports the range.
   After a timeout another engine is ordered.  */

#ifndef MQ_INTERNAL_REPAIR_H
#define MQ_INTERNAL_REPAIR_H

#include <mq/internal/model_state.h>

G_BEGIN_DECLS

typedef struct mq_repairs
{
  GArray *shortages; /* of mq_shortage  */
} mq_repairs;

/* A layer range [first, end) that is short of engines.  */
typedef struct mq_shortage
{
  mq_str *model;
  uint32_t first;
  uint32_t end;
  uint64_t since_us;
  mq_str *engine;    /* Ordered to load the range; NULL: none.  */
  uint64_t until_us; /* Timeout of the order.  */
  bool is_short;     /* In the current review.  */
} mq_shortage;

void mq_repairs_init (mq_repairs *repairs);
void mq_repairs_finish (mq_repairs *repairs);
/* Reviews MODEL's layer ranges and appends to ACTIONS a REPAIR for each range
   that needs an engine, and a CANCEL_REPAIR for each order that is
   obsolete.  */
void mq_repairs_review (mq_repairs *repairs, const mq_model_state *model,
                        uint64_t now_us, GArray *actions);

G_END_DECLS

#endif
