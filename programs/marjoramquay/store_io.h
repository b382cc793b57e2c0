/* Reads and writes platform objects for the decision modules.

   Converts the results of the platform client into mq_store_reply, the form
   that the decision modules use.  Internal to this program.  */

#ifndef MQ_STORE_IO_H
#define MQ_STORE_IO_H

#include <mq/store.h>

#include "router.h"

typedef enum mq_store_op
{
  MQ_STORE_READ,
  MQ_STORE_CREATE, /* Only if the object does not exist.  */
  MQ_STORE_UPDATE, /* Only if the object has VERSION.  */
  MQ_STORE_DELETE  /* Only if the object has VERSION.  */
} mq_store_op;

/* Chosen by the user to match a reply with its request.  */
typedef struct mq_store_tag
{
  uint64_t number;
  uint32_t step;
} mq_store_tag;

typedef struct mq_store_request
{
  mq_store_op op;
  mq_span name;
  uint64_t version; /* UPDATE and DELETE.  */
  mq_span value;    /* CREATE and UPDATE; copied.  */
  mq_store_tag tag;
} mq_store_request;

typedef void (*mq_store_sink) (void *context, mq_store_tag tag,
                               const mq_store_reply *reply);

/* The open calls of one user.  */
typedef struct mq_store_io mq_store_io;

mq_store_io *mq_store_io_new (mq_platform *platform, mq_store_sink sink,
                              void *context);
/* Cancels all open calls; the sink is not called any more.  */
void mq_store_io_free (mq_store_io *io);

/* Starts the call that REQUEST describes.  Its reply is passed to the sink,
   never before this function returns.  */
void mq_store_io_start (mq_store_io *io, const mq_store_request *request);

/* Returns the number of open calls.  */
guint mq_store_io_count_open (const mq_store_io *io);

#endif
