/* Content hash of a request.

   A client may repeat a request under another id and to any router; routers
   recognise the repetition by the hash of its content.  The hash is
   cryptographic, so that nobody can craft a request whose hash equals that of
   another client's request.  */

#ifndef MQ_CONTENT_HASH_H
#define MQ_CONTENT_HASH_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Returns the hash of the N TEXTS in their order.  It is the same in every
   process and never 0.  */
uint64_t mq_content_hash (const mq_span *texts, size_t n);

G_END_DECLS

#endif
