/* The view that a starting router has of its services: see
   mq/internal/gateway_view.h.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_view.h>
#include <mq/log.h>

/* Limits the time that a client states, which may be any number.  It is longer
   than any request takes.  */
#define MAX_LEFT_MS ((uint64_t)3600 * 1000)
/* Steps of the spread of reads, which a router's name gives.  */
#define SPREAD_STEPS 1000

static mq_view_facts
view_facts (const mq_gateway *gateway)
{
  return (mq_view_facts){ .started_us = gateway->started_us,
                          .list_us = gateway->view.list_us,
                          .source = gateway->view.source,
                          .store_recovered_us = gateway->store_recovered_us,
                          .store_fails
                          = gateway->routing_feed.failures > 0
                            || gateway->upstream_feed.failures > 0 };
}

/* Returns true if GROUP has an instance, or a complete chain, for SERVICE.  */
static bool
group_serves (mq_gateway *gateway, const mq_upstream_group *group,
              const mq_route_service *service, uint64_t now_us)
{
  mq_layer_path path;

  if (service->model.layers > 0)
    {
      bool found
          = mq_layer_path_find (&path, &gateway->registry, service,
                                mq_str_span (group->domain), now_us, NULL);

      if (found)
        mq_layer_path_finish (&path);
      return found;
    }
  for (guint i = 0; i < group->upstreams->len; i++)
    if (!mq_upstream_is_draining (g_ptr_array_index (group->upstreams, i)))
      return true;
  return false;
}

/* Returns true if an engine of GROUP holds layers of MODEL.  */
static bool
group_is_loaded (const mq_upstream_group *group, const mq_layered_model *model)
{
  for (guint i = 0; i < group->upstreams->len; i++)
    {
      const mq_upstream *u = g_ptr_array_index (group->upstreams, i);
      mq_layer_range held = mq_layered_model_range (
          model, u->facts.layer_first, u->facts.layer_end);

      if (held.first < held.end)
        return true;
    }
  return false;
}

/* Returns true if an engine of SERVICE holds layers of its model.  */
static bool
service_is_loaded (mq_gateway *gateway, const mq_route_service *service)
{
  const GPtrArray *groups
      = mq_registry_groups (&gateway->registry, mq_str_span (service->name));

  for (guint i = 0; groups != NULL && i < groups->len; i++)
    if (group_is_loaded (g_ptr_array_index (groups, i), &service->model))
      return true;
  return false;
}

static mq_service_facts
service_facts (mq_gateway *gateway, const mq_route_service *service,
               uint64_t now_us)
{
  const GPtrArray *groups
      = mq_registry_groups (&gateway->registry, mq_str_span (service->name));
  mq_service_facts f = { .layered = service->model.layers > 0 };
  bool listed = false;

  for (guint i = 0; groups != NULL && i < groups->len && !f.served; i++)
    {
      const mq_upstream_group *g = g_ptr_array_index (groups, i);

      listed = listed || g->upstreams->len > 0;
      f.served = group_serves (gateway, g, service, now_us);
    }
  f.unloaded = f.layered && listed && !service_is_loaded (gateway, service);
  return f;
}

static void
view_log (const mq_gateway *gateway, const mq_route_service *service,
          const mq_service_view *view, uint64_t now_us)
{
  mq_log (G_LOG_LEVEL_INFO, "view.state",
          "service=%s state=%s age_ms=%" G_GUINT64_FORMAT
          " expected_ms=%" G_GUINT64_FORMAT " upstreams=%u source=%s"
          " up_ms=%" G_GUINT64_FORMAT " store_recovered=%d reads=%u",
          mq_str_cstr (service->name),
          mq_service_view_state_name (view->state), view->age_us / 1000,
          view->expected_us / 1000,
          g_hash_table_size (gateway->registry.by_id),
          mq_view_source_name (gateway->view.source),
          (now_us - gateway->started_us) / 1000,
          gateway->store_recovered_us > 0, gateway->view.reads.calls);
}

mq_service_view
mq_gateway_view_decide (mq_gateway *gateway, const mq_route_service *service,
                        uint64_t now_us)
{
  mq_gateway_service_view *s
      = &mq_gateway_service_state (gateway, service)->view;
  mq_view_facts facts = view_facts (gateway);
  mq_service_facts f;
  mq_service_view v;

  if (gateway->view.settled || s->served)
    return (mq_service_view){ MQ_SERVICE_VIEW_UNAVAILABLE, 0, 0 };
  f = service_facts (gateway, service, now_us);
  v = mq_service_view_decide (&facts, &f, now_us);
  if (v.state == MQ_SERVICE_VIEW_KNOWN)
    mq_gateway_view_note_served (gateway, service);
  else if (!s->logged || v.state != s->last.state)
    view_log (gateway, service, &v, now_us);
  s->logged = true;
  s->last = v;
  s->decided_us = now_us;
  return v;
}

void
mq_gateway_view_note_served (mq_gateway *gateway,
                             const mq_route_service *service)
{
  mq_gateway_service_view *s
      = &mq_gateway_service_state (gateway, service)->view;

  uint64_t now = mq_gateway_now_us ();
  mq_service_view known = { MQ_SERVICE_VIEW_KNOWN, 0, 0 };

  if (s->served)
    return;
  s->served = true;
  known.age_us = gateway->view.list_us > 0 ? now - gateway->view.list_us : 0;
  view_log (gateway, service, &known, now);
  if (*gateway->view.known_ms == 0)
    *gateway->view.known_ms = MAX ((now - gateway->started_us) / 1000, 1);
}

void
mq_gateway_view_note_list (mq_gateway *gateway, mq_view_source source)
{
  if (gateway->view.list_us > 0)
    return;
  gateway->view.list_us = mq_gateway_now_us ();
  gateway->view.source = source;
}

/* ---- Requests that wait.  */

static unsigned
view_count_waiting (const mq_gateway *gateway)
{
  return gateway->view.waiting + gateway->early_requests.length;
}

bool
mq_gateway_view_is_decided (const mq_forward *forward, uint64_t now_us)
{
  const mq_gateway_service_view *s
      = &mq_gateway_service_state (forward->gateway, forward->service)->view;

  return forward->view_waits && s->decided_us == now_us
         && s->last.state == MQ_SERVICE_VIEW_UNKNOWN;
}

unsigned
mq_gateway_view_retry_ms (const mq_forward *forward)
{
  mq_gateway *g = forward->gateway;

  return mq_service_view_retry_after_ms (
      &mq_gateway_service_state (g, forward->service)->view.last,
      mq_gateway_random (g));
}

/* Log and count that FORWARD begins to wait.  */
static void
view_note_wait (mq_forward *forward, uint64_t until_us, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  const mq_service_view *v
      = &mq_gateway_service_state (g, forward->service)->view.last;

  forward->view_waits = true;
  forward->view_waited = true;
  g->view.waiting++;
  ++*g->view.waits;
  *g->view.now_waiting = g->view.waiting;
  mq_log_buffer_append (
      &forward->log_buffer, G_LOG_LEVEL_INFO, "request.waits-for-view",
      "request=%.*s state=%s age_ms=%" G_GUINT64_FORMAT
      " expected_ms=%" G_GUINT64_FORMAT
      " upstreams=%u wait_ms=%" G_GUINT64_FORMAT " waiting=%u",
      MQ_SPAN_ARG (forward->id), mq_service_view_state_name (v->state),
      v->age_us / 1000, v->expected_us / 1000,
      g_hash_table_size (g->registry.by_id), (until_us - now_us) / 1000,
      g->view.waiting);
}

bool
mq_gateway_view_may_wait (mq_forward *forward, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  uint64_t until = mq_service_view_wait_until_us (forward->started_us,
                                                  forward->state.deadline_us);

  bool waits = forward->view_waits;
  bool may = mq_service_view_may_wait (until, view_count_waiting (g), waits,
                                       now_us);

  if (may && !waits)
    view_note_wait (forward, until, now_us);
  return may;
}

void
mq_gateway_view_note_rejected (const mq_forward *forward)
{
  if (forward->view_waited && forward->state.arrived == 0)
    ++*forward->gateway->view.rejected;
}

void
mq_gateway_view_stop_waiting (mq_forward *forward)
{
  mq_gateway *g = forward->gateway;

  if (!forward->view_waits)
    return;
  forward->view_waits = false;
  g->view.waiting--;
  *g->view.now_waiting = g->view.waiting;
}

bool
mq_gateway_view_may_wait_early (const mq_gateway *gateway, bool waits,
                                uint64_t arrived_us, uint64_t left_ms,
                                uint64_t now_us)
{
  uint64_t deadline
      = left_ms > 0 ? arrived_us + MIN (left_ms, MAX_LEFT_MS) * 1000 : 0;

  return mq_service_view_may_wait (
      mq_service_view_wait_until_us (arrived_us, deadline),
      view_count_waiting (gateway), waits, now_us);
}

unsigned
mq_gateway_view_early_retry_ms (mq_gateway *gateway, uint64_t now_us)
{
  static const mq_service_facts none = { .layered = true };
  mq_view_facts facts = view_facts (gateway);
  mq_service_view v;

  facts.list_us = 0;
  v = mq_service_view_decide (&facts, &none, now_us);
  return mq_service_view_retry_after_ms (&v, mq_gateway_random (gateway));
}

/* ---- The first view.  */

/* Returns true if a service of the configuration is unknown.  */
static bool
view_is_incomplete (mq_gateway *gateway, uint64_t now_us)
{
  const GArray *services
      = gateway->routing != NULL ? gateway->routing->services : NULL;
  bool incomplete = false;

  for (guint i = 0; services != NULL && i < services->len; i++)
    {
      const mq_route_service *s
          = &g_array_index (services, mq_route_service, i);

      if (mq_gateway_view_decide (gateway, s, now_us).state
          == MQ_SERVICE_VIEW_UNKNOWN)
        incomplete = true;
    }
  return incomplete;
}

/* Returns true if there are signs that engines with layers are running.  */
static bool
view_is_running (mq_gateway *gateway)
{
  const GArray *services
      = gateway->routing != NULL ? gateway->routing->services : NULL;

  if (gateway->store_recovered_us > 0)
    return true;
  for (guint i = 0; services != NULL && i < services->len; i++)
    if (service_is_loaded (gateway,
                           &g_array_index (services, mq_route_service, i)))
      return true;
  return false;
}

static void
view_note_read (mq_gateway *gateway, const char *how)
{
  ++*gateway->view.read;
  mq_log (G_LOG_LEVEL_INFO, "view.read", "how=%s calls=%u upstreams=%u", how,
          gateway->view.reads.calls,
          g_hash_table_size (gateway->registry.by_id));
}

void
mq_gateway_view_tick (mq_gateway *gateway, uint64_t now_us)
{
  mq_gateway *g = gateway;
  mq_view_facts facts = view_facts (g);
  double spread = (double)(g->cluster.name_hash % SPREAD_STEPS) / SPREAD_STEPS;
  bool incomplete;

  if (g->view.settled || g->routing == NULL || facts.list_us == 0)
    return;
  incomplete = view_is_incomplete (g, now_us);
  g->view.settled = !incomplete;
  if (!mq_feed_may_reread (&g->upstream_feed)
      || !mq_service_view_read_is_due (&g->view.reads, &facts, incomplete,
                                       view_is_running (g), spread, now_us))
    return;
  view_note_read (g, "scan");
  mq_feed_reread (&g->upstream_feed);
}

bool
mq_gateway_view_may_read_page (mq_gateway *gateway)
{
  if (!mq_service_view_take_call (&gateway->view.reads))
    return false;
  view_note_read (gateway, "page");
  return true;
}

bool
mq_gateway_view_gather_is_short (mq_gateway *gateway, uint64_t now_us)
{
  mq_gateway *g = gateway;
  mq_view_facts facts = view_facts (g);

  if (g->view.settled
      || !mq_service_view_gather_is_short (&g->view.reads, &facts,
                                           view_is_incomplete (g, now_us),
                                           view_is_running (g), now_us))
    return false;
  view_note_read (g, "gather");
  return true;
}

void
mq_gateway_view_init (mq_gateway *gateway)
{
  mq_metrics *m = gateway->metrics;
  mq_gateway_view *v = &gateway->view;

  v->waits
      = mq_metrics_counter (m, "marjoramquay_view_waits_total", "end=\"any\"",
                            "Requests that waited for a starting router to "
                            "learn of upstreams.");
  v->rejected = mq_metrics_counter (m, "marjoramquay_view_waits_total",
                                    "end=\"rejected\"", "");
  v->read = mq_metrics_counter (m, "marjoramquay_view_store_calls_total", "",
                                "Additional calls to the store for the first "
                                "view of the upstreams.");
  v->now_waiting = mq_metrics_gauge (m, "marjoramquay_view_waiting", "",
                                     "Requests that wait at present.");
  v->known_ms = mq_metrics_gauge (m, "marjoramquay_view_known_ms", "",
                                  "From the start to the first service that "
                                  "could be served; 0: none yet.");
}
