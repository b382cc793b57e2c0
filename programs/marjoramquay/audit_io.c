/* Writes the audit trail to the platform: see audit_io.h.  */

#include "audit_io.h"

#include "audit_sweep.h"
#include "store_io.h"

/* How long a batch waits to fill before it is written.  */
#define LINGER_US UINT64_C (2000000)
#define RETRY_US UINT64_C (1000000)
#define MAX_BATCH_BYTES ((size_t)64 * 1024)
/* Bounds the memory for records while the platform is unreachable.  */
#define MAX_BUFFERED_BYTES ((size_t)1024 * 1024)

struct mq_audit_io
{
  mq_router *router; /* Borrowed.  */
  mq_audit *audit;
  mq_store_io *store;
  GArray *actions; /* of mq_audit_action: scratch  */
  mq_ticker ticker;
  mq_audit_sweep *sweep;
};

static void
action_carry_out (mq_audit_io *io, const mq_audit_action *action)
{
  mq_store_request request = { .op = MQ_STORE_CREATE,
                               .name = mq_str_span (action->name),
                               .value = mq_str_span (action->value) };

  mq_store_io_start (io->store, &request);
}

static void
audit_step (mq_audit_io *io, mq_audit_event *event)
{
  event->now_us = mq_router_now_us ();
  event->wall_ms = (uint64_t)g_get_real_time () / 1000;
  mq_audit_handle (io->audit, event, io->actions);
  for (guint i = 0; i < io->actions->len; i++)
    action_carry_out (io, &g_array_index (io->actions, mq_audit_action, i));
  g_array_set_size (io->actions, 0);
  mq_ticker_arm (&io->ticker, mq_audit_next_tick (io->audit));
}

static void
on_store (void *context, mq_store_tag tag, const mq_store_reply *reply)
{
  mq_audit_event event = { .kind = MQ_AUDIT_REPLY, .result = reply->result };

  (void)tag;
  audit_step (context, &event);
}

static void
on_tick (void *context)
{
  mq_audit_event event = { .kind = MQ_AUDIT_TICK };

  audit_step (context, &event);
}

mq_audit_io *
mq_audit_io_new (mq_router *router)
{
  mq_audit_io *io = g_new0 (mq_audit_io, 1);
  mq_audit_options options = { .router = router->incarnation,
                               .linger_us = LINGER_US,
                               .retry_us = RETRY_US,
                               .batch_bytes = MAX_BATCH_BYTES,
                               .limit_bytes = MAX_BUFFERED_BYTES };

  io->router = router;
  io->audit = mq_audit_new (&options);
  io->store = mq_store_io_new (router->platform, on_store, io);
  io->actions = mq_audit_actions_new ();
  mq_ticker_init (&io->ticker, router->loop, on_tick, io);
  io->sweep = mq_audit_sweep_new (router);
  return io;
}

void
mq_audit_io_free (mq_audit_io *io)
{
  if (io == NULL)
    return;
  mq_audit_sweep_free (io->sweep);
  mq_ticker_finish (&io->ticker);
  mq_store_io_free (io->store);
  mq_audit_free (io->audit);
  g_array_unref (io->actions);
  g_free (io);
}

void
mq_audit_io_add (mq_audit_io *io, mq_audit_kind kind, const char *what,
                 const char *why, const char *before, const char *after)
{
  mq_audit_event event = { .kind = MQ_AUDIT_ADD };

  event.record.kind = kind;
  event.record.who = mq_str_span (io->router->settings->name);
  event.record.what = mq_span_from (what);
  event.record.why = mq_span_from (why);
  event.record.before = mq_span_from (before);
  event.record.after = mq_span_from (after);
  audit_step (io, &event);
}

void
mq_audit_io_flush (mq_audit_io *io)
{
  mq_audit_event event = { .kind = MQ_AUDIT_FLUSH };

  audit_step (io, &event);
}

uint32_t
mq_audit_io_pending (const mq_audit_io *io)
{
  return mq_audit_pending (io->audit);
}
