/* Creates and settles claims on clients' idempotency keys (mq/claim.h) at the
   platform.

   Internal to this program.  */

#ifndef MQ_CLAIM_IO_H
#define MQ_CLAIM_IO_H

#include "router.h"

mq_claim_io *mq_claim_io_new (mq_router *router);
void mq_claim_io_free (mq_claim_io *io);

/* Starts the claim that the entry's ACTION requests.  The result is posted to
   the entry as MQ_ENTRY_CLAIMED.  */
void mq_claim_io_start (mq_claim_io *io, const mq_entry_action *action);

/* Stores OUTCOME in the claim of the request with HANDLE, which has ended.  */
void mq_claim_io_settle (mq_claim_io *io, uint64_t handle, mq_outcome outcome);

#endif
