/* Writes the audit trail (mq/audit.h) to the platform.

   Internal to this program.  */

#ifndef MQ_AUDIT_IO_H
#define MQ_AUDIT_IO_H

#include <mq/audit.h>

#include "router.h"

mq_audit_io *mq_audit_io_new (mq_router *router);
void mq_audit_io_free (mq_audit_io *io);

/* Records that this router changed WHAT, or saw it change, from BEFORE to
   AFTER.  All texts are copied.  */
void mq_audit_io_add (mq_audit_io *io, mq_audit_kind kind, const char *what,
                      const char *why, const char *before, const char *after);

/* Writes the buffered records without waiting for a full batch.  Used before
   the router exits.  */
void mq_audit_io_flush (mq_audit_io *io);

/* Returns the number of records whose write has not been confirmed.  */
uint32_t mq_audit_io_pending (const mq_audit_io *io);

#endif
