/* Leaving: see drain.h.  */

#include "drain.h"

#include <mq/log.h>

#include "audit_io.h"
#include "fleet_node.h"
#include "reply.h"
#include "caller.h"

/* How often to look whether the last answers have been sent.  */
#define CLOSE_POLL_S 0.02
/* How long no request may have been open before the end, so that a caller
   whose connection was taken last is heard.  */
#define CLOSE_QUIET_S 0.1
/* The longest that a caller may take to read its last answer.  */
#define CLOSE_LIMIT_S 30.
#define ABORT_LIMIT_S 1.
/* The longest that the last records of the audit trail may take.  */
#define AUDIT_LIMIT_S 2.

static void
close_check (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_router *router = timer->data;
  unsigned open = mq_http_server_open_count (router->server);

  (void)revents;
  if (open > 0)
    router->close_quiet_since = ev_now (loop);
  if (ev_now (loop) < router->close_quiet_since + CLOSE_QUIET_S
      && ev_now (loop) < router->close_limit)
    return;
  if (mq_audit_io_pending (router->audit) > 0
      && ev_now (loop) < router->audit_limit)
    return;
  if (open > 0)
    mq_log (G_LOG_LEVEL_WARNING, "drain.cut", "open=%u", open);
  ev_timer_stop (loop, timer);
  mq_log (G_LOG_LEVEL_INFO, "drain.end", "status=%d", router->exit_status);
  ev_break (loop, EVBREAK_ALL);
}

static void
close_start (mq_router *router, double limit_s)
{
  router->mode = MQ_ROUTER_CLOSING;
  ev_now_update (router->loop);
  router->close_quiet_since = ev_now (router->loop);
  router->close_limit = ev_now (router->loop) + limit_s;
  router->audit_limit = ev_now (router->loop) + MIN (limit_s, AUDIT_LIMIT_S);
  mq_http_server_quiesce (router->server);
  mq_audit_io_flush (router->audit);
  ev_timer_stop (router->loop, &router->close_timer);
  ev_timer_set (&router->close_timer, 0., CLOSE_POLL_S);
  ev_timer_start (router->loop, &router->close_timer);
}

/* What is known of a request that is cut now.  */
static void
request_abort (mq_caller *caller)
{
  mq_reply_error error
      = { .outcome = caller->sent ? MQ_OUTCOME_UNKNOWN : MQ_OUTCOME_NOT_RUN,
          .reason = MQ_REASON_LEAVING,
          .request = caller->id };
  bool begun
      = caller->kind == MQ_CALLER_COMPLETION && caller->u.completion.begun;

  ++*caller->router->counters.requests_by_outcome[error.outcome];
  if (begun)
    mq_reply_stream_error (caller->exchange, &error);
  else
    mq_reply_with_error (caller->exchange, &error);
}

void
mq_drain_init (mq_router *router)
{
  ev_timer_init (&router->close_timer, close_check, 0., CLOSE_POLL_S);
  router->close_timer.data = router;
}

void
mq_drain_begin (mq_router *router, const char *why)
{
  mq_entry_event event = { .kind = MQ_ENTRY_DRAIN };

  if (router->mode != MQ_ROUTER_SERVING)
    return;
  router->mode = MQ_ROUTER_DRAINING;
  mq_log (G_LOG_LEVEL_INFO, "drain.begin", "why=%s in_flight=%u",
          mq_log_quote (why), mq_entry_in_flight (router->entry));
  mq_audit_io_add (router->audit, MQ_AUDIT_MODE,
                   mq_str_cstr (router->settings->name), why, "serving",
                   "draining");
  mq_fleet_node_leave (router->fleet);
  mq_http_server_announce_close (router->server);
  mq_router_post (router, &event);
}

void
mq_drain_all_ended (mq_router *router)
{
  if (router->mode == MQ_ROUTER_DRAINING)
    close_start (router, CLOSE_LIMIT_S);
}

void
mq_drain_abort (mq_router *router)
{
  GHashTableIter iter;
  gpointer value;

  mq_log (G_LOG_LEVEL_WARNING, "drain.abort", "in_flight=%u",
          mq_entry_in_flight (router->entry));
  g_hash_table_iter_init (&iter, router->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      request_abort (value);
      g_hash_table_iter_remove (&iter);
    }
  router->exit_status = 1;
  close_start (router, ABORT_LIMIT_S);
}
