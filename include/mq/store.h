/* What the platform's object store said, as the decisions see it.

   The adapters turn the platform client's results into these; the decisions
   never see HTTP.  The one thing that matters most is told apart: whether a
   write can't have taken effect (CONFLICT, ABSENT, REFUSED) or may have
   (UNKNOWN).  */

#ifndef MQ_STORE_H
#define MQ_STORE_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_store_result
{
  MQ_STORE_OK,       /* Done; VERSION is the object's.  */
  MQ_STORE_CONFLICT, /* Not written: the object has another version, or is
                        there already.  */
  MQ_STORE_ABSENT,   /* There is no such object.  */
  MQ_STORE_REFUSED,  /* Not done, for instance above the rate.  */
  MQ_STORE_UNKNOWN   /* No reply that can be trusted: a write may have taken
                        effect, or may still do so.  */
} mq_store_result;

typedef struct mq_store_reply
{
  mq_store_result result;
  uint64_t version; /* OK only.  */
  mq_span value;    /* Of a read that is OK.  Borrowed.  */
} mq_store_reply;

G_END_DECLS

#endif
