/* Sends orders to engines: see order_io.h.

   Invariant: an order is sent only while this router holds the lease.  The
   lease's expiry is checked again just before the order is sent.  */

#include "order_io.h"

#include <mq/engine_control.h>
#include <mq/json_text.h>
#include <mq/log.h>
#include <mq/order_scope.h>

#include "audit_io.h"
#include "load_poller.h"
#include "store_io.h"

#define LEASE_DURATION_US UINT64_C (10000000)
#define LEASE_RETRY_INTERVAL_US UINT64_C (2000000)
#define STORE_TIMEOUT_US UINT64_C (3000000)
#define MAX_CLOCK_DRIFT_PERCENT 10
#define MAX_ORDER_FLIGHT_US UINT64_C (3000000)
#define ORDER_TIMEOUT_MS 2000
#define POLL_INTERVAL_US UINT64_C (500000)
#define VERIFY_INTERVAL_US UINT64_C (5000000)
#define LOAD_TIMEOUT_US UINT64_C (120000000)
/* Longer than LOAD_TIMEOUT_US, so that a load is ordered again before its
   target is removed.  */
#define TARGET_TIMEOUT_US UINT64_C (180000000)
#define MAX_CONCURRENT_ORDERS 4

struct mq_order_io
{
  mq_router *router; /* Borrowed.  */
  mq_order_scope *order_scope;
  mq_store_io *store;
  mq_str *lease_name;
  GQueue calls; /* of order_call, owned  */
  mq_ticker ticker;
};

/* An open call to an engine.  */
typedef struct order_call
{
  mq_order_io *io; /* Borrowed.  */
  GList link;
  mq_http_call *http; /* Borrowed.  */
  uint64_t order;
  uint64_t fencing; /* The token that was sent.  */
} order_call;

static void actions_carry_out (mq_order_io *io, GArray *lease_actions,
                               GArray *order_actions);

static void
ordering_step (mq_order_io *io, mq_order_scope_event *event)
{
  GArray *lease_actions = mq_lease_actions_new ();
  GArray *order_actions = mq_orders_actions_new ();
  uint64_t now = mq_router_now_us ();

  if (event == NULL)
    mq_order_scope_tick (io->order_scope, now, lease_actions, order_actions);
  else
    {
      switch (event->kind)
        {
        case MQ_ORDER_SCOPE_LEASE:
          event->u.lease.now_us = now;
          break;
        case MQ_ORDER_SCOPE_ORDERS:
          event->u.orders.now_us = now;
          break;
        }
      mq_order_scope_handle (io->order_scope, event, lease_actions,
                             order_actions);
    }
  actions_carry_out (io, lease_actions, order_actions);
  g_array_unref (lease_actions);
  g_array_unref (order_actions);
  mq_ticker_arm (&io->ticker, mq_order_scope_next_tick (io->order_scope));
}

static void
on_store (void *context, mq_store_tag tag, const mq_store_reply *reply)
{
  mq_order_scope_event event = { .kind = MQ_ORDER_SCOPE_LEASE };

  event.u.lease.kind = MQ_LEASE_REPLY;
  event.u.lease.step = tag.step;
  event.u.lease.reply = *reply;
  ordering_step (context, &event);
}

static void
on_tick (void *context)
{
  ordering_step (context, NULL);
}

/* ---- The lease.  */

static void
lease_carry_out (mq_order_io *io, const mq_lease_action *action)
{
  mq_store_request request = { .name = mq_str_span (io->lease_name),
                               .version = action->version,
                               .value = mq_str_span (action->value),
                               .tag = { 0, action->step } };

  switch (action->kind)
    {
    case MQ_LEASE_READ:
      request.op = MQ_STORE_READ;
      mq_store_io_start (io->store, &request);
      break;
    case MQ_LEASE_WRITE:
      request.op = action->version == 0 ? MQ_STORE_CREATE : MQ_STORE_UPDATE;
      mq_store_io_start (io->store, &request);
      break;
    case MQ_LEASE_HELD:
      mq_log (G_LOG_LEVEL_INFO, "lease.held",
              "name=%s fencing=%" G_GUINT64_FORMAT,
              mq_str_cstr (io->lease_name), action->fencing);
      break;
    case MQ_LEASE_LOST:
      mq_log (G_LOG_LEVEL_WARNING, "lease.lost", "name=%s",
              mq_str_cstr (io->lease_name));
      break;
    }
}

/* ---- The orders.  */

static void
post_sent (mq_order_io *io, uint64_t order, mq_order_reply reply)
{
  mq_order_scope_event event = { .kind = MQ_ORDER_SCOPE_ORDERS };

  event.u.orders.kind = MQ_ORDERS_SEND_REPLY;
  event.u.orders.u.sent.order = order;
  event.u.orders.u.sent.reply = reply;
  ordering_step (io, &event);
}

static void
call_free (order_call *call)
{
  g_queue_unlink (&call->io->calls, &call->link);
  g_free (call);
}

static void
on_sent (void *context, const mq_http_client_event *event)
{
  order_call *call = context;
  mq_order_io *io = call->io;
  uint64_t order = call->order;
  mq_order_reply reply;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  reply = mq_engine_control_order (event, call->fencing);
  call_free (call);
  post_sent (io, order, reply);
}

static void
on_holds (void *context, const mq_http_client_event *event)
{
  order_call *call = context;
  mq_order_io *io = call->io;
  mq_order_scope_event e = { .kind = MQ_ORDER_SCOPE_ORDERS };
  json_object *message;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  message = mq_engine_control_read (event);
  e.u.orders.kind = MQ_ORDERS_READ_REPLY;
  e.u.orders.u.holds.order = call->order;
  e.u.orders.u.holds.known
      = mq_engine_control_holds (message, &e.u.orders.u.holds.holds);
  call_free (call);
  ordering_step (io, &e);
  json_object_put (message);
}

/* Calls PATH at the engine of ACTION: POST with a BODY, else GET.  Returns
   false when the engine is not configured.  */
static bool
engine_call (mq_order_io *io, const mq_orders_action *action, const char *path,
             mq_span body, mq_http_client_sink sink)
{
  const mq_engine *engine
      = mq_config_engine (io->router->config, mq_str_span (action->engine));
  const mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") };
  mq_http_call_options options = { .connect_ms = ORDER_TIMEOUT_MS,
                                   .timeout_ms = ORDER_TIMEOUT_MS,
                                   .body = body };
  order_call *call;
  char *url;

  if (engine == NULL)
    return false;
  call = g_new0 (order_call, 1);
  call->io = io;
  call->order = action->order;
  call->fencing = action->fencing;
  call->link.data = call;
  g_queue_push_tail_link (&io->calls, &call->link);
  url = g_strconcat (mq_str_cstr (engine->url), path, NULL);
  options.url = mq_span_from (url);
  if (body.size > 0)
    {
      options.method = MQ_SPAN ("POST");
      options.headers = &type;
      options.n_headers = 1;
      options.once = true;
    }
  call->http = mq_http_client_start (io->router->client, &options, sink, call);
  g_free (url);
  return true;
}

/* Returns an id of the order that is unique among all routers; free it with
   g_free.  */
static char *
order_id (const mq_order_io *io, const mq_orders_action *action)
{
  return g_strdup_printf ("%s-%" G_GUINT64_FORMAT,
                          io->router->incarnation_text, action->order);
}

static void
order_body (const mq_order_io *io, const mq_orders_action *action,
            GString *out)
{
  char *id = order_id (io, action);

  g_string_append_c (out, '{');
  mq_json_text_member (out, "order", mq_span_from (id));
  mq_json_text_number (out, "fencing", action->fencing);
  mq_json_text_key (out, "want");
  g_string_append_c (out, '{');
  mq_json_text_member (out, "model", mq_str_span (action->model));
  mq_json_text_member (out, "version", mq_str_span (action->version));
  mq_json_text_number (out, "first", action->first);
  mq_json_text_number (out, "end", action->end);
  g_string_append (out, "}}");
  g_free (id);
}

/* Logs RESULT of the order in ACTION and records it in the audit trail.  */
static void
order_record (mq_order_io *io, const mq_orders_action *action,
              const char *result)
{
  char *id = order_id (io, action);
  char *after = g_strdup_printf (
      "%s %s [%u, %u), %s", mq_str_cstr (action->model),
      mq_str_cstr (action->version), action->first, action->end, result);

  mq_log (G_LOG_LEVEL_INFO, "order",
          "order=%s engine=%s fencing=%" G_GUINT64_FORMAT " after=%s", id,
          mq_log_quote (mq_str_cstr (action->engine)), action->fencing,
          mq_log_quote (after));
  mq_audit_io_add (io->router->audit, MQ_AUDIT_ORDER,
                   mq_str_cstr (action->engine),
                   "a range of layers had too few engines",
                   mq_str_cstr (action->before), after);
  g_free (after);
  g_free (id);
}

static void
order_send (mq_order_io *io, const mq_orders_action *action)
{
  GString *body = g_string_new (NULL);
  bool sent = false;

  order_body (io, action, body);
  if (mq_router_now_us () < action->until_us)
    sent = engine_call (io, action, "/v1/orders",
                        (mq_span){ body->str, body->len }, on_sent);
  g_string_free (body, TRUE);
  if (sent)
    order_record (io, action, "ordered");
  else
    post_sent (io, action->order, MQ_ORDER_NO_REPLY);
}

static void
order_read (mq_order_io *io, const mq_orders_action *action)
{
  mq_order_scope_event event = { .kind = MQ_ORDER_SCOPE_ORDERS };

  if (engine_call (io, action, "/v1/holds", (mq_span){ NULL, 0 }, on_holds))
    return;
  event.u.orders.kind = MQ_ORDERS_READ_REPLY;
  event.u.orders.u.holds.order = action->order;
  ordering_step (io, &event);
}

static void
order_carry_out (mq_order_io *io, const mq_orders_action *action)
{
  switch (action->kind)
    {
    case MQ_ORDERS_SEND:
      order_send (io, action);
      break;
    case MQ_ORDERS_READ:
      order_read (io, action);
      break;
    case MQ_ORDERS_REACHED:
      order_record (io, action, "reached");
      mq_load_poller_poll_next (io->router->load_poller, action->engine);
      break;
    case MQ_ORDERS_STOPPED:
      order_record (io, action, "stopped by a higher fencing token");
      break;
    case MQ_ORDERS_NEED_LEASE:
    case MQ_ORDERS_IDLE:
      break;
    }
}

static void
actions_carry_out (mq_order_io *io, GArray *lease_actions,
                   GArray *order_actions)
{
  for (guint i = 0; i < lease_actions->len; i++)
    lease_carry_out (io, &g_array_index (lease_actions, mq_lease_action, i));
  for (guint i = 0; i < order_actions->len; i++)
    order_carry_out (io, &g_array_index (order_actions, mq_orders_action, i));
}

mq_order_io *
mq_order_io_new (mq_router *router)
{
  mq_order_io *io = g_new0 (mq_order_io, 1);
  mq_order_scope_options options
      = { .lease = { .router = router->incarnation,
                     .duration_us = LEASE_DURATION_US,
                     .retry_us = LEASE_RETRY_INTERVAL_US,
                     .timeout_us = STORE_TIMEOUT_US,
                     .margin_percent = MAX_CLOCK_DRIFT_PERCENT },
          .orders = { .max_in_flight_us = MAX_ORDER_FLIGHT_US,
                      .poll_interval_us = POLL_INTERVAL_US,
                      .verify_interval_us = VERIFY_INTERVAL_US,
                      .concurrent = MAX_CONCURRENT_ORDERS,
                      .load_timeout_us = LOAD_TIMEOUT_US,
                      .target_timeout_us = TARGET_TIMEOUT_US } };

  io->router = router;
  io->order_scope = mq_order_scope_new (&options);
  io->store = mq_store_io_new (router->platform, on_store, io);
  io->lease_name = mq_str_printf ("leases/orders/%s",
                                  mq_str_cstr (router->settings->region));
  g_queue_init (&io->calls);
  mq_ticker_init (&io->ticker, router->loop, on_tick, io);
  return io;
}

void
mq_order_io_free (mq_order_io *io)
{
  GList *l;

  if (io == NULL)
    return;
  while ((l = g_queue_peek_head_link (&io->calls)) != NULL)
    {
      order_call *call = l->data;

      mq_http_call_cancel (call->http);
      call_free (call);
    }
  mq_ticker_finish (&io->ticker);
  mq_store_io_free (io->store);
  mq_order_scope_free (io->order_scope);
  mq_str_unref (io->lease_name);
  g_free (io);
}

void
mq_order_io_cancel_repair (mq_order_io *io, const mq_planner_action *action)
{
  mq_order_scope_event event = { .kind = MQ_ORDER_SCOPE_ORDERS };

  event.u.orders.kind = MQ_ORDERS_CANCEL;
  event.u.orders.u.engine = mq_str_span (action->u.repair.engine);
  ordering_step (io, &event);
}

void
mq_order_io_request_repair (mq_order_io *io, const mq_planner_action *action)
{
  mq_order_scope_event event = { .kind = MQ_ORDER_SCOPE_ORDERS };
  mq_order_target *target = &event.u.orders.u.target;
  mq_span name = mq_str_span (action->u.repair.engine);
  const mq_engine *engine = mq_config_engine (io->router->config, name);

  if (engine == NULL)
    return;
  event.u.orders.kind = MQ_ORDERS_SET_TARGET;
  target->engine = name;
  target->model = mq_str_span (action->u.repair.model);
  target->version = mq_str_span (action->u.repair.version);
  target->first = action->u.repair.first;
  target->end = action->u.repair.end;
  target->checks_fencing = engine->checks_fencing;
  ordering_step (io, &event);
}

uint32_t
mq_order_io_pending (const mq_order_io *io)
{
  return mq_order_scope_pending (io->order_scope);
}
