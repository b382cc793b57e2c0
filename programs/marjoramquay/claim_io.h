/* Claims on callers' own Idempotency-Keys (mq/claim.h), carried out at the
   platform.  Internal to this program.  */

#ifndef MQ_CLAIM_IO_H
#define MQ_CLAIM_IO_H

#include "router.h"

mq_claim_io *mq_claim_io_new (mq_router *router);
void mq_claim_io_free (mq_claim_io *io);

/* The entry asks for a claim; the result is posted to it.  */
void mq_claim_io_start (mq_claim_io *io, const mq_entry_action *action);

/* The request of HANDLE, which had asked for a claim, has ended.  */
void mq_claim_io_settle (mq_claim_io *io, uint64_t handle, mq_outcome outcome);

#endif
