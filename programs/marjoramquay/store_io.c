/* Reads and writes platform objects: see store_io.h.  */

#include "store_io.h"

struct mq_store_io
{
  mq_platform *platform; /* Borrowed.  */
  mq_store_sink sink;
  void *context;
  GQueue calls; /* of store_call, owned  */
};

typedef struct store_call
{
  mq_store_io *io; /* Borrowed.  */
  GList link;      /* In IO's calls.  */
  mq_store_tag tag;
  mq_platform_call *call; /* Borrowed.  */
} store_call;

static mq_store_result
store_result (mq_platform_result result)
{
  switch (result)
    {
    case MQ_PLATFORM_OK:
      return MQ_STORE_OK;
    case MQ_PLATFORM_MISSING:
      return MQ_STORE_ABSENT;
    case MQ_PLATFORM_CONFLICT:
      return MQ_STORE_CONFLICT;
    case MQ_PLATFORM_UNCHANGED:
    case MQ_PLATFORM_REFUSED:
    case MQ_PLATFORM_BUSY:
    case MQ_PLATFORM_UNAVAILABLE:
    case MQ_PLATFORM_UNREADABLE:
      return MQ_STORE_REFUSED;
    case MQ_PLATFORM_UNKNOWN:
    case MQ_PLATFORM_HISTORY_EXPIRED:
    case MQ_PLATFORM_RESULTS:
      return MQ_STORE_UNKNOWN;
    }
  return MQ_STORE_UNKNOWN;
}

static void
on_reply (void *context, const mq_platform_reply *reply)
{
  store_call *call = context;
  mq_store_io *io = call->io;
  mq_store_tag tag = call->tag;
  mq_store_reply r = { .result = store_result (reply->result),
                       .version = reply->version,
                       .value = reply->value };

  g_queue_unlink (&io->calls, &call->link);
  g_free (call);
  io->sink (io->context, tag, &r);
}

mq_store_io *
mq_store_io_new (mq_platform *platform, mq_store_sink sink, void *context)
{
  mq_store_io *io = g_new0 (mq_store_io, 1);

  io->platform = platform;
  io->sink = sink;
  io->context = context;
  g_queue_init (&io->calls);
  return io;
}

void
mq_store_io_free (mq_store_io *io)
{
  GList *l;

  if (io == NULL)
    return;
  while ((l = g_queue_pop_head_link (&io->calls)) != NULL)
    {
      store_call *call = l->data;

      mq_platform_cancel (call->call);
      g_free (call);
    }
  g_free (io);
}

void
mq_store_io_start (mq_store_io *io, const mq_store_request *request)
{
  store_call *call = g_new0 (store_call, 1);
  mq_platform *p = io->platform;

  call->io = io;
  call->tag = request->tag;
  call->link.data = call;
  g_queue_push_tail_link (&io->calls, &call->link);
  switch (request->op)
    {
    case MQ_STORE_READ:
      call->call = mq_platform_get (p, request->name, on_reply, call);
      break;
    case MQ_STORE_CREATE:
      call->call = mq_platform_create (p, request->name, request->value,
                                       on_reply, call);
      break;
    case MQ_STORE_UPDATE:
      call->call = mq_platform_put (p, request->name, request->version,
                                    request->value, on_reply, call);
      break;
    case MQ_STORE_DELETE:
      call->call = mq_platform_delete (p, request->name, request->version,
                                       on_reply, call);
      break;
    }
}

guint
mq_store_io_count_open (const mq_store_io *io)
{
  return io->calls.length;
}
