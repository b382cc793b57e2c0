/* What quarantine.c and quarantine_verdict.c share.

   Times in the tables are shifted by the age that a record may have, since the
   records of others may be older than this machine's monotonic clock.  */

#ifndef MQ_INTERNAL_QUARANTINE_H
#define MQ_INTERNAL_QUARANTINE_H

#include <mq/quarantine.h>

G_BEGIN_DECLS

/* Returns US, shifted.  */
uint64_t mq_quarantine_shift_us (const mq_quarantine *quarantine, uint64_t us);
mq_suspect *mq_quarantine_suspect_at (const mq_quarantine *quarantine,
                                      guint i);
/* Returns the suspect ELEMENT, borrowed, or NULL.  */
mq_suspect *mq_quarantine_lookup (const mq_quarantine *quarantine,
                                  uint64_t element);
bool mq_suspect_is_of_crash (const mq_suspect *suspect, uint64_t upstream);

/* ---- quarantine_verdict.c; times are shifted.  */
/* Returns what the crashes of SUSPECT show now.  */
mq_suspect_verdict mq_suspect_judge (const mq_quarantine *quarantine,
                                     mq_suspect *suspect);
/* Returns for how long requests are still refused for SUSPECT alone, or 0.  */
uint64_t mq_suspect_remaining_us (const mq_quarantine *quarantine,
                                  mq_suspect *suspect, uint64_t now_us);
/* Returns true if a router that saw the last crash of SUSPECT, which is
   refused, may let a request through.  */
bool mq_suspect_may_be_tried (const mq_quarantine *quarantine,
                              mq_suspect *suspect, uint64_t now_us);

G_END_DECLS

#endif
