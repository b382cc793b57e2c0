/* Carries the decisions' reads and writes of platform objects out.

   The decisions speak of mq_store_reply; this turns the platform client's
   results into it.  Internal to this program.  */

#ifndef MQ_STORE_IO_H
#define MQ_STORE_IO_H

#include <mq/store.h>

#include "router.h"

typedef enum mq_store_op
{
  MQ_STORE_READ,
  MQ_STORE_CREATE, /* If there is none.  */
  MQ_STORE_UPDATE, /* If it has VERSION.  */
  MQ_STORE_DELETE  /* If it has VERSION.  */
} mq_store_op;

/* What the reply belongs to, in the words of whoever asked.  */
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

/* The calls of one user.  */
typedef struct mq_store_io mq_store_io;

mq_store_io *mq_store_io_new (mq_platform *platform, mq_store_sink sink,
                              void *context);
/* Forget all calls: nothing more is reported.  */
void mq_store_io_free (mq_store_io *io);

/* Never reports from inside this function.  */
void mq_store_io_start (mq_store_io *io, const mq_store_request *request);

/* Calls that have not been answered.  */
guint mq_store_io_count_open (const mq_store_io *io);

#endif
