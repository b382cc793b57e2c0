/* Deletes records of the audit trail that are older than the retention period.

   Every router periodically lists the first few days after the retention
   period and deletes their objects one at a time.  Several routers may sweep
   at the same time: deleting an object that is already gone is harmless.

   Internal to this program.  */

#ifndef MQ_AUDIT_SWEEP_H
#define MQ_AUDIT_SWEEP_H

#include "router.h"

typedef struct mq_audit_sweep mq_audit_sweep;

mq_audit_sweep *mq_audit_sweep_new (mq_router *router);
void mq_audit_sweep_free (mq_audit_sweep *sweep);

#endif
