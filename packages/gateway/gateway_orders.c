/* Orders to engines to load layers, sent by the leader.

   The layers that an engine holds are those that it reports; layers that were
   ordered and are not reported yet count as held for as long as the load may
   take.  Every order names the number of orders that the engine had accepted
   by its last report, so that an engine ignores an order that arrives late or
   comes from a second router.  That count is not in the store: it begins at 0
   in a new incarnation and grows by one with each accepted order.  After an
   order whose outcome is unknown the engine's report is requested.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_detour.h>
#include <mq/internal/gateway_reach.h>
#include <mq/layer_order.h>
#include <mq/log.h>

/* An engine replies to an order within a few ms, or not at all.  */
#define ORDER_TIMEOUT_MS 300
/* Between two reports of an engine that executes an order, while the store is
   not reached or when the order takes longer than expected.  */
#define ORDER_POLL_INTERVAL_US ((uint64_t)300 * 1000)
/* The same of one that has left a query unanswered, or was lost.  */
#define LOST_POLL_INTERVAL_US ((uint64_t)1000 * 1000)
#define ORDER_CONNECT_MS 250
/* Requests for reports that are open at a time.  A new leader has to request
   one of each engine; thousands at once would take all its processor, and time
   out for that reason.  */
#define MAX_OPEN_REPORTS 64
#define STATUS_OK 200
#define STATUS_ACCEPTED 202
#define STATUS_MISDIRECTED 421

typedef struct order_call
{
  mq_gateway *gateway;   /* Borrowed.  */
  mq_upstream *upstream; /* One reference.  */
  mq_detour *detour;     /* Borrowed; NULL: a direct call.  */
  uint64_t sent_us;
} order_call;

/* Apply REPORT, which shows the outcome of the orders to UPSTREAM.  */
static void
order_apply_report (mq_gateway *gateway, mq_upstream *upstream,
                    const mq_engine_report *report)
{
  uint64_t now = mq_gateway_now_us ();

  if (report->has_layers
      && mq_registry_set_layers (&gateway->registry, upstream,
                                 report->layer_first, report->layer_end, now))
    mq_gateway_propagate_layers (gateway, upstream);
  mq_layer_order_reported (upstream, report->orders, report->busy, now);
  gateway->orders_due = true;
}

/* A report that was requested for its order count has arrived or failed.  */
static void
order_on_report (mq_gateway *gateway, mq_upstream *upstream,
                 mq_http_result result, const mq_engine_report *report)
{
  (void)result; /* A missing report is requested again when needed.  */
  upstream->orders_report_pending = false;
  /* Another report may be waiting to be requested.  */
  if (gateway->open_order_reports-- == MAX_OPEN_REPORTS)
    gateway->orders_due = true;
  if (report != NULL)
    order_apply_report (gateway, upstream, report);
}

static void
order_request_count (mq_gateway *gateway, mq_upstream *upstream,
                     uint64_t now_us)
{
  if (upstream->orders_report_pending
      || gateway->open_order_reports >= MAX_OPEN_REPORTS
      || !mq_gateway_may_send (gateway, upstream, MQ_SEND_FOR_CONTROL, now_us))
    return;
  upstream->orders_report_pending = true;
  gateway->open_order_reports++;
  mq_gateway_note_send (gateway, upstream, MQ_SEND_FOR_CONTROL, now_us);
  mq_report_request (gateway, upstream, order_on_report);
}

/* Compares pointers to upstreams by their last report.  */
static int
order_compare_reported (gconstpointer a, gconstpointer b)
{
  const mq_upstream *x = *(const mq_upstream *const *)a;
  const mq_upstream *y = *(const mq_upstream *const *)b;

  if (x->reported_us != y->reported_us)
    return x->reported_us < y->reported_us ? -1 : 1;
  return 0;
}

static uint64_t
order_poll_interval_us (const mq_upstream *upstream)
{
  switch (upstream->proof)
    {
    case MQ_PROOF_NONE:
    case MQ_PROOF_ANSWERED:
      break;
    case MQ_PROOF_SILENT:
    case MQ_PROOF_LOST:
      return LOST_POLL_INTERVAL_US;
    }
  return ORDER_POLL_INTERVAL_US;
}

/* Request reports of UPSTREAMS (mq_upstream), of each at most once in its
   interval.  The one that was asked longest ago comes first, so
   that engines that do not answer leave room for the others.  */
static void
order_poll (mq_gateway *gateway, GPtrArray *upstreams, uint64_t now_us)
{
  g_ptr_array_sort (upstreams, order_compare_reported);
  for (guint i = 0; i < upstreams->len; i++)
    {
      mq_upstream *u = g_ptr_array_index (upstreams, i);

      if (now_us - u->reported_us > order_poll_interval_us (u))
        order_request_count (gateway, u, now_us);
    }
}

/* Returns true when UPSTREAM's order count is unknown and a report would
   settle it.  */
static bool
order_may_resolve (const mq_upstream *upstream, uint64_t now_us)
{
  return upstream->orders_unknown
         && mq_layer_order_may_query (upstream, now_us);
}

static mq_order_answer
order_reply (const mq_http_client_event *event)
{
  if (event->result != MQ_HTTP_OK)
    return MQ_ORDER_UNANSWERED;
  switch (event->status)
    {
    case STATUS_ACCEPTED:
      return MQ_ORDER_STARTED;
    case STATUS_OK:
      return MQ_ORDER_ALREADY_HELD;
    default:
      /* Others than a rejection do not say whether the order has begun.  */
      return mq_response_status_rejects (event->status) ? MQ_ORDER_REFUSED
                                                        : MQ_ORDER_UNANSWERED;
    }
}

/* Note what the end EVENT of CALL shows of the engine itself.  */
static void
order_note_answer (const order_call *call, const mq_http_client_event *event)
{
  if (event->result != MQ_HTTP_OK)
    mq_gateway_note_unanswered (call->gateway, call->upstream, event,
                                call->detour, call->sent_us);
  /* Another engine that has its address gives this status.  */
  else if (event->status != STATUS_MISDIRECTED)
    mq_gateway_note_answered (call->upstream);
}

static void
order_on_call (void *context, const mq_http_client_event *event)
{
  order_call *o = context;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  if (event->result == MQ_HTTP_OK)
    mq_gateway_note_response (o->gateway, o->upstream, event->call, o->sent_us,
                              false);
  if (event->result != MQ_HTTP_OK && o->detour != NULL)
    (void)mq_gateway_note_detour_failure (o->detour, event);
  else if (event->result != MQ_HTTP_OK)
    mq_gateway_reach_suspect (o->gateway, o->upstream);
  order_note_answer (o, event);
  mq_log (G_LOG_LEVEL_INFO, "order.answered",
          "upstream=%s status=%u result=%d",
          mq_str_cstr (o->upstream->facts.id), event->status, event->result);
  mq_layer_order_answered (o->upstream, order_reply (event),
                           mq_gateway_now_us ());
  mq_upstream_unref (o->upstream);
  g_free (o);
}

static void
order_send (mq_gateway *gateway, mq_upstream *upstream,
            const mq_layer_order *order, uint64_t now_us)
{
  order_call *o = g_new0 (order_call, 1);
  GString *body = g_string_new (NULL);
  char *url
      = g_strdup_printf ("http://%s%s", mq_str_cstr (upstream->facts.address),
                         gateway->dialect->order_path);
  mq_http_header headers[]
      = { { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") },
          { mq_span_from (gateway->dialect->headers.expect_incarnation),
            mq_str_span (upstream->facts.id) } };
  mq_http_call_options options
      = { .method = MQ_SPAN ("POST"),
          .url = mq_span_from (url),
          .headers = headers,
          .n_headers = G_N_ELEMENTS (headers),
          .connect_ms = ORDER_CONNECT_MS,
          .timeout_ms = ORDER_TIMEOUT_MS,
          .once = true,
          .single = gateway->dialect->single_headers,
          .not_run = gateway->dialect->headers.not_run,
          .shares_room = true };

  gateway->dialect->order_encode (order->first, order->end, upstream->orders,
                                  body);
  options.body = (mq_span){ body->str, body->len };
  mq_log (G_LOG_LEVEL_INFO, "order.sent",
          "upstream=%s layers=%u-%u held=%u-%u orders=%" G_GUINT64_FORMAT,
          mq_str_cstr (upstream->facts.id), order->first, order->end,
          upstream->facts.layer_first, upstream->facts.layer_end,
          upstream->orders);
  mq_layer_order_sent (upstream, order->first, order->end, now_us);
  mq_gateway_note_send (gateway, upstream, MQ_SEND_FOR_CONTROL, now_us);
  o->gateway = gateway;
  o->sent_us = now_us;
  o->upstream = mq_upstream_ref (upstream);
  o->detour = mq_gateway_choose_detour (gateway, upstream, now_us);
  if (o->detour != NULL)
    options.tunnel = mq_str_span (o->detour->address);
  ++*gateway->counters.orders;
  (void)mq_http_client_start (gateway->client, &options, order_on_call, o);
  g_string_free (body, TRUE);
  g_free (url);
}

/* Log the loads of SERVICE after a selection when some were sent or the reason
   why others wait is no longer BEFORE.  */
static void
orders_log_loads (const mq_route_service *service,
                  const mq_load_counts *counts, mq_load_wait before,
                  bool traffic)
{
  if (counts->sent == 0 && counts->why == before)
    return;
  mq_log (G_LOG_LEVEL_INFO, "order.loads",
          "service=%s open=%u sent=%u waiting=%u why=%s limit=%u chainless=%u "
          "traffic=%d",
          mq_str_cstr (service->name), counts->open, counts->sent,
          counts->waiting, mq_load_wait_name (counts->why), counts->limit,
          counts->chainless, traffic);
}

/* Reduce ORDERS, which were planned for HOLDERS, to those to send now.  */
static void
orders_select_loads (mq_gateway *gateway, const mq_route_service *service,
                     GArray *holders, uint64_t now_us, GArray *orders)
{
  mq_load_queue *q = &mq_gateway_service_state (gateway, service)->loads;
  mq_load_wait before = q->counts.why;

  mq_load_queue_select (q, &service->model,
                        (mq_layer_holder *)(void *)holders->data, holders->len,
                        gateway->traffic_seen, now_us, orders);
  orders_log_loads (service, &q->counts, before, gateway->traffic_seen);
  *gateway->counters.loads_open += q->counts.open;
  *gateway->counters.loads_waiting += q->counts.waiting;
}

static void
orders_plan_service (mq_gateway *gateway, const mq_route_service *service,
                     uint64_t now_us)
{
  GArray *holders = g_array_new (FALSE, FALSE, sizeof (mq_layer_holder));
  GArray *orders = g_array_new (FALSE, FALSE, sizeof (mq_layer_order));
  GPtrArray *polled = g_ptr_array_new ();
  GHashTableIter i;
  gpointer value;
  bool any_held = false;
  bool awaits_empty = false;
  bool awaits_held = false;
  bool store_unreached = !mq_members_store_is_reached (gateway, now_us);
  mq_service_state *state = mq_gateway_service_state (gateway, service);
  uint64_t delay = mq_load_queue_delay_us (&state->loads, now_us);

  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_upstream *u = value;
      mq_layer_standing standing;
      mq_layer_holder h;
      bool ask = false;

      if (!mq_span_equal (mq_str_span (u->facts.service),
                          mq_str_span (service->name))
          || !mq_upstream_is_usable (u, now_us)
          || mq_upstream_is_leaving (u, now_us))
        continue;
      standing = mq_layer_order_standing (u, &service->model,
                                          gateway->leads_since_us, now_us);
      awaits_empty |= standing == MQ_LAYER_STANDING_AWAITED;
      awaits_held |= standing == MQ_LAYER_STANDING_AWAITED_HELD;
      if (standing != MQ_LAYER_STANDING_PLANNED)
        {
          g_ptr_array_add (polled, u);
          continue;
        }
      mq_layer_order_delay (u, delay);
      h = mq_layer_order_view (u, &service->model, now_us, &ask);
      /* Request unknown counts before an order needs them: otherwise a plan
         proceeds without some engines, which get the remaining layers.  */
      if (ask || (store_unreached && h.fixed) || order_may_resolve (u, now_us))
        g_ptr_array_add (polled, u);
      any_held = any_held || h.first < h.end;
      g_array_append_val (holders, h);
    }
  order_poll (gateway, polled, now_us);
  /* A plan for some of the engines alone would be another one.  */
  if (awaits_held || (awaits_empty && !any_held))
    goto out;
  if (!mq_load_queue_may_begin (&state->loads, any_held,
                                gateway->registry.last_added_us, now_us))
    goto out;
  mq_load_queue_reserve (
      &state->loads, (mq_layer_holder *)(void *)holders->data, holders->len);
  mq_layer_plan_compute (&state->plan, &service->model,
                         (mq_layer_holder *)(void *)holders->data,
                         holders->len, now_us, orders);
  orders_select_loads (gateway, service, holders, now_us, orders);
  for (guint n = 0; n < orders->len; n++)
    {
      const mq_layer_order *o = &g_array_index (orders, mq_layer_order, n);

      mq_upstream *u = o->holder->user;

      if (!o->holder->unknown)
        {
          if (mq_gateway_may_send (gateway, u, MQ_SEND_FOR_CONTROL, now_us))
            order_send (gateway, u, o, now_us);
        }
      else if (mq_layer_order_may_query (u, now_us))
        order_request_count (gateway, u, now_us);
    }
out:
  g_ptr_array_unref (polled);
  g_array_unref (holders);
  g_array_unref (orders);
}

/* This router has become the leader.  Another one may have given orders until
   now, so all order counts are in doubt.  */
static void
orders_begin_lead (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  mq_log (G_LOG_LEVEL_INFO, "order.lead", "vm=%s",
          mq_str_cstr (gateway->settings->name));
  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    mq_layer_order_mark_unknown (value, now_us);
}

/* Note whether any router has received requests.  Loads take longer from then
   on, also while there are none.  */
static void
orders_note_traffic (mq_gateway *gateway, uint64_t now_us)
{
  if (gateway->traffic_seen)
    return;
  gateway->traffic_seen
      = *gateway->counters.requests > 0
        || mq_cluster_count_busy (&gateway->cluster, now_us) > 1;
}

void
mq_orders_tick (mq_gateway *gateway, uint64_t now_us)
{
  bool leads = gateway->routing != NULL && gateway->upstreams_known
               && gateway->upstream_feed.follow.follows
               && mq_members_is_leader (gateway, now_us);

  if (leads && !gateway->leads)
    {
      gateway->leads_since_us = now_us;
      orders_begin_lead (gateway, now_us);
    }
  gateway->leads = leads;
  gateway->orders_due = false;
  *gateway->counters.loads_open = 0;
  *gateway->counters.loads_waiting = 0;
  orders_note_traffic (gateway, now_us);
  if (!leads)
    return;
  for (guint i = 0; i < gateway->routing->services->len; i++)
    {
      const mq_route_service *s
          = &g_array_index (gateway->routing->services, mq_route_service, i);

      if (s->model.layers > 0)
        orders_plan_service (gateway, s, now_us);
    }
}
