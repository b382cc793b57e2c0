/* Drain and shutdown: see drain.h.  */

#include "drain.h"

#include <mq/log.h>

#include "audit_io.h"
#include "fleet_node.h"
#include "reply.h"
#include "active_request.h"

/* How often to check whether the last responses have been sent.  */
#define CLOSE_POLL_INTERVAL_S 0.02
/* The loop stops after no request has been open for this long, so that a
   client whose connection was accepted last can still send its request.  */
#define MIN_IDLE_S 0.1
/* For clients to read their last responses.  */
#define CLOSE_TIMEOUT_S 30.
#define ABORT_TIMEOUT_S 1.
/* For the last records of the audit trail to be written.  */
#define AUDIT_TIMEOUT_S 2.

static void
close_check (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_router *router = timer->data;
  unsigned open = mq_http_server_open_count (router->server);

  (void)revents;
  if (open > 0)
    router->close_idle_since_s = ev_now (loop);
  if (ev_now (loop) < router->close_idle_since_s + MIN_IDLE_S
      && ev_now (loop) < router->close_deadline_s)
    return;
  if (mq_audit_io_pending (router->audit) > 0
      && ev_now (loop) < router->audit_deadline_s)
    return;
  if (open > 0)
    mq_log (G_LOG_LEVEL_WARNING, "drain.cut", "open=%u", open);
  ev_timer_stop (loop, timer);
  mq_log (G_LOG_LEVEL_INFO, "drain.end", "status=%d", router->exit_status);
  ev_break (loop, EVBREAK_ALL);
}

static void
close_start (mq_router *router, double timeout_s)
{
  router->mode = MQ_ROUTER_CLOSING;
  ev_now_update (router->loop);
  router->close_idle_since_s = ev_now (router->loop);
  router->close_deadline_s = ev_now (router->loop) + timeout_s;
  router->audit_deadline_s
      = ev_now (router->loop) + MIN (timeout_s, AUDIT_TIMEOUT_S);
  mq_http_server_quiesce (router->server);
  mq_audit_io_flush (router->audit);
  ev_timer_stop (router->loop, &router->close_timer);
  ev_timer_set (&router->close_timer, 0., CLOSE_POLL_INTERVAL_S);
  ev_timer_start (router->loop, &router->close_timer);
}

/* Answers REQUEST, which is aborted, with its outcome so far.  */
static void
request_abort (mq_active_request *request)
{
  mq_reply_error error
      = { .outcome = request->sent ? MQ_OUTCOME_UNKNOWN : MQ_OUTCOME_NOT_RUN,
          .reason = MQ_REASON_LEAVING,
          .request = request->id };
  bool head_sent = request->kind == MQ_ACTIVE_REQUEST_COMPLETION
                   && request->u.completion.head_sent;

  ++*request->router->counters.requests_by_outcome[error.outcome];
  if (head_sent)
    mq_reply_stream_error (request->exchange, &error);
  else
    mq_reply_with_error (request->exchange, &error);
}

void
mq_drain_init (mq_router *router)
{
  ev_timer_init (&router->close_timer, close_check, 0., CLOSE_POLL_INTERVAL_S);
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
mq_drain_on_idle (mq_router *router)
{
  if (router->mode == MQ_ROUTER_DRAINING)
    close_start (router, CLOSE_TIMEOUT_S);
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
  close_start (router, ABORT_TIMEOUT_S);
}
