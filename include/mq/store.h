/* Results of calls to the platform's object store, as packages/decide uses
   them.

   The adapters convert results of the platform client to these types, so that
   packages/decide does not depend on HTTP.  The results distinguish a write
   that can't have taken effect (CONFLICT, ABSENT, REFUSED) from one that may
   have (UNKNOWN).  */

#ifndef MQ_STORE_H
#define MQ_STORE_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_store_result
{
  MQ_STORE_OK,       /* Done; VERSION is the object's.  */
  MQ_STORE_CONFLICT, /* Not written: the object has another version, or exists
                        already.  */
  MQ_STORE_ABSENT,   /* There is no such object.  */
  MQ_STORE_REFUSED,  /* Not done, for example above the rate limit.  */
  MQ_STORE_UNKNOWN   /* No reliable reply: a write may have taken effect, or
                        may still do so.  */
} mq_store_result;

typedef struct mq_store_reply
{
  mq_store_result result;
  uint64_t version; /* OK only.  */
  mq_span value;    /* Of a successful read.  Borrowed.  */
} mq_store_reply;

G_END_DECLS

#endif
