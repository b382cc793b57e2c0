/* What a request asks, as one number.

   Clients send the same request again as a new one, under another id and to
   any router.  Its content tells that it is the same.  The hash is a
   cryptographic one, so that nobody can make a request that passes for
   another's.  */

#ifndef MQ_CONTENT_HASH_H
#define MQ_CONTENT_HASH_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* A hash of the N TEXTS in order, the same in each process; never 0.  */
uint64_t mq_content_hash (const mq_span *texts, size_t n);

G_END_DECLS

#endif
