/* Orders of layers to engines, by the one router that leads.

   What engines hold is taken from what they report; what was ordered and is
   not reported yet counts as held for the time that a load may take.  Every
   order names the number of orders that the engine had accepted by its last
   report, so that an order that arrives late, or a second router's, does
   nothing.  That number is not in the store: a new incarnation begins at 0,
   each order that is accepted adds one, and after an order whose fate is open
   the engine is asked.  */

#include <mq/internal/gateway.h>

#include <mq/layer_plan.h>
#include <mq/log.h>

/* Beside the load itself: the order's way, a report's lag (0.2 s) and the
   store's news of it.  */
#define ORDER_SLACK_US ((uint64_t)1500 * 1000)
/* Engines answer an order within a few ms, or not at all.  */
#define ORDER_TIMEOUT_MS 300
/* How often an engine with an order under way is asked, while the store does
   not tell or when the order takes longer than it should.  */
#define ORDER_POLL_US ((uint64_t)300 * 1000)
#define ORDER_CONNECT_MS 250
#define STATUS_OK 200
#define STATUS_ACCEPTED 202
#define US_PER_S 1e6

/* An engine that refused an order gets none for so long: what it does just
   now, a load or the wait for requests that pass, takes a second or some.  */
#define REFUSED_HOLD_US ((uint64_t)1000 * 1000)

/* One that says that it is busy gets none for so long, and is asked again
   meanwhile; so one that can't be asked any more is not waited for.  */
#define BUSY_HOLD_US ((uint64_t)1000 * 1000)

/* Engines that start together register within a heartbeat (1.2 s).  As long
   as new ones come, none is given layers, unless some hold any: a chain over
   the first few would have little memory for requests.  */
#define SETTLE_US ((uint64_t)1500 * 1000)

typedef struct order_call
{
  mq_gateway *gateway;   /* Borrowed.  */
  mq_upstream *upstream; /* One reference.  */
} order_call;

/* Learn from REPORT what became of the orders to UPSTREAM.  */
static void
order_take_report (mq_gateway *gateway, mq_upstream *upstream,
                   const mq_engine_report *report)
{
  uint64_t now = mq_gateway_now_us ();

  /* The last order did not begin.  Should it still be carried out later, the
     count that it names is wrong by then or the engine does what was meant. */
  if (upstream->orders_unknown && report->orders == upstream->orders
      && !report->busy)
    upstream->ordered_us = 0;
  if (mq_registry_set_layers (&gateway->registry, upstream,
                              report->layer_first, report->layer_end, now))
    mq_news_tell_layers (gateway, upstream);
  upstream->orders = report->orders;
  upstream->orders_unknown = false;
  upstream->order_hold_us = report->busy ? now + BUSY_HOLD_US : 0;
  gateway->orders_due = true;
}

/* The engine was asked for its count.  */
static void
order_on_report (mq_gateway *gateway, mq_upstream *upstream,
                 mq_http_result result, const mq_engine_report *report)
{
  (void)result; /* Without a report it is asked again when it matters.  */
  upstream->asked = false;
  if (report != NULL)
    order_take_report (gateway, upstream, report);
}

static void
order_ask_count (mq_gateway *gateway, mq_upstream *upstream)
{
  if (upstream->asked)
    return;
  upstream->asked = true;
  mq_report_ask (gateway, upstream, order_on_report);
}

/* The same, but not in a hurry.  */
static void
order_poll (mq_gateway *gateway, mq_upstream *upstream, uint64_t now_us)
{
  if (now_us - upstream->reported_us > ORDER_POLL_US)
    order_ask_count (gateway, upstream);
}

static void
order_on_call (void *context, const mq_http_client_event *event)
{
  order_call *o = context;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  mq_log (G_LOG_LEVEL_INFO, "order.answered",
          "upstream=%s status=%u result=%d",
          mq_str_cstr (o->upstream->facts.id), event->status, event->result);
  if (event->result == MQ_HTTP_OK && event->status == STATUS_ACCEPTED)
    o->upstream->orders++;
  else if (event->result != MQ_HTTP_OK || event->status != STATUS_OK)
    {
      o->upstream->orders_unknown = true;
      order_ask_count (o->gateway, o->upstream);
    }
  if (event->result == MQ_HTTP_OK && event->status != STATUS_OK
      && event->status != STATUS_ACCEPTED)
    {
      /* Refused: another order is under way there, or the count is old.  */
      o->upstream->ordered_us = 0;
      o->upstream->order_hold_us = mq_gateway_now_us () + REFUSED_HOLD_US;
    }
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
  mq_http_call_options options = { .method = MQ_SPAN ("POST"),
                                   .url = mq_span_from (url),
                                   .headers = headers,
                                   .n_headers = G_N_ELEMENTS (headers),
                                   .connect_ms = ORDER_CONNECT_MS,
                                   .timeout_ms = ORDER_TIMEOUT_MS,
                                   .once = true };

  gateway->dialect->order_encode (order->first, order->end, upstream->orders,
                                  body);
  options.body = (mq_span){ body->str, body->len };
  mq_log (G_LOG_LEVEL_INFO, "order.sent",
          "upstream=%s layers=%u-%u held=%u-%u orders=%" G_GUINT64_FORMAT,
          mq_str_cstr (upstream->facts.id), order->first, order->end,
          upstream->facts.layer_first, upstream->facts.layer_end,
          upstream->orders);
  upstream->ordered_us = now_us;
  upstream->ordered_first = order->first;
  upstream->ordered_end = order->end;
  o->gateway = gateway;
  o->upstream = mq_upstream_ref (upstream);
  ++*gateway->counters.orders;
  (void)mq_http_client_start (gateway->client, &options, order_on_call, o);
  g_string_free (body, TRUE);
  g_free (url);
}

/* Has an order to UPSTREAM not been reported as done yet?  */
static bool
order_is_open (const mq_upstream *upstream)
{
  const mq_upstream_facts *f = &upstream->facts;

  return upstream->ordered_us > 0
         && (f->layer_first != upstream->ordered_first
             || f->layer_end != upstream->ordered_end);
}

/* Is the order to UPSTREAM open for longer than its load should take?  An
   engine that gives up layers first waits for what passes through them, which
   took 7 s under full load.  So it is asked, and gets no other order until it
   says that nothing is under way; meanwhile others may get those layers.  */
static bool
order_is_overdue (const mq_upstream *upstream, const mq_layered_model *model,
                  uint64_t now_us)
{
  double share = (double)(upstream->ordered_end - upstream->ordered_first)
                 / model->layers;
  uint64_t load
      = (uint64_t)(model->load_s * share * US_PER_S) * 2 + ORDER_SLACK_US;

  return now_us >= upstream->ordered_us + load;
}

/* What the plan sees of UPSTREAM.  Asks it where that is open for too long. */
static mq_layer_holder
order_holder (mq_gateway *gateway, mq_upstream *upstream,
              const mq_layered_model *model, uint64_t now_us)
{
  const mq_upstream_facts *f = &upstream->facts;
  mq_layer_holder h
      = { .domain = mq_str_span (f->domain),
          .card = mq_layered_model_card (model, mq_str_span (f->card)),
          .first = f->layer_first,
          .end = f->layer_end,
          .fixed = now_us < upstream->order_hold_us,
          .user = upstream };

  if (h.fixed)
    order_poll (gateway, upstream, now_us);
  if (!order_is_open (upstream))
    return h;
  h.fixed = true;
  if (order_is_overdue (upstream, model, now_us))
    {
      upstream->orders_unknown = true;
      order_poll (gateway, upstream, now_us);
    }
  else
    {
      h.first = upstream->ordered_first;
      h.end = upstream->ordered_end;
    }
  return h;
}

static void
order_service (mq_gateway *gateway, const mq_route_service *service,
               uint64_t now_us)
{
  GArray *holders = g_array_new (FALSE, FALSE, sizeof (mq_layer_holder));
  GArray *orders = g_array_new (FALSE, FALSE, sizeof (mq_layer_order));
  GHashTableIter i;
  gpointer value;
  bool any_held = false;
  bool blind = !mq_members_store_is_reached (gateway, now_us);

  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_upstream *u = value;
      mq_layer_holder h;

      if (!mq_span_equal (mq_str_span (u->facts.service),
                          mq_str_span (service->name))
          || !mq_upstream_is_usable (u, now_us))
        continue;
      h = order_holder (gateway, u, &service->model, now_us);
      if (blind && h.fixed)
        order_poll (gateway, u, now_us);
      any_held = any_held || h.first < h.end;
      g_array_append_val (holders, h);
    }
  if (!any_held && now_us - gateway->registry.newest_us < SETTLE_US)
    goto out;
  mq_layer_plan_work (&service->model,
                      (mq_layer_holder *)(void *)holders->data, holders->len,
                      orders);
  for (guint n = 0; n < orders->len; n++)
    {
      const mq_layer_order *o = &g_array_index (orders, mq_layer_order, n);

      mq_upstream *u = o->holder->user;

      if (u->orders_unknown)
        order_ask_count (gateway, u);
      else
        order_send (gateway, u, o, now_us);
    }
out:
  g_array_unref (holders);
  g_array_unref (orders);
}

/* Another router may have given orders until now.  */
static void
orders_take_over (mq_gateway *gateway)
{
  GHashTableIter i;
  gpointer value;

  mq_log (G_LOG_LEVEL_INFO, "order.lead", "vm=%s",
          mq_str_cstr (gateway->settings->name));
  g_hash_table_iter_init (&i, gateway->registry.by_id);
  while (g_hash_table_iter_next (&i, NULL, &value))
    ((mq_upstream *)value)->orders_unknown = true;
}

void
mq_orders_tick (mq_gateway *gateway, uint64_t now_us)
{
  bool leads = gateway->routing != NULL && gateway->upstreams_known
               && mq_members_we_lead (gateway, now_us);

  if (leads && !gateway->leads)
    orders_take_over (gateway);
  gateway->leads = leads;
  gateway->orders_due = false;
  if (!leads)
    return;
  for (guint i = 0; i < gateway->routing->services->len; i++)
    {
      const mq_route_service *s
          = &g_array_index (gateway->routing->services, mq_route_service, i);

      if (s->model.layers > 0)
        order_service (gateway, s, now_us);
    }
}
