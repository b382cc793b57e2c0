/* Deletes what is too old of the audit trail.  Internal to this program.

   Every router looks now and then at a few days past the last one that is
   kept, and deletes what it finds, one object after another.  Two that meet
   there do no harm: the second finds nothing.  */

#ifndef MQ_AUDIT_SWEEP_H
#define MQ_AUDIT_SWEEP_H

#include "router.h"

typedef struct mq_audit_sweep mq_audit_sweep;

mq_audit_sweep *mq_audit_sweep_new (mq_router *router);
void mq_audit_sweep_free (mq_audit_sweep *sweep);

#endif
