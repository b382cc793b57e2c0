/* Urgency levels in gateway mode: see mq/internal/gateway_urgency.h.  */

#include <mq/internal/gateway_urgency.h>

#include <mq/log.h>
#include <mq/send_order.h>

/* The share of memory that a request of any level may use, as new requests
   may where levels are not in force.  */
static double
usable_share (void)
{
  return mq_domain_memory_share (MQ_DOMAIN_NEW);
}

static mq_urgency_reserve *
forward_reserve (const mq_forward *forward)
{
  return &mq_gateway_service_state (forward->gateway, forward->service)
              ->urgency;
}

/* ---- Log and metrics.  */

void
mq_gateway_urgency_log_levels (const mq_gateway *gateway)
{
  const mq_routing *r = gateway->routing;

  for (guint i = 0; i < r->services->len; i++)
    {
      const mq_route_service *s
          = &g_array_index (r->services, mq_route_service, i);
      GString *pairs;

      if (s->urgency.n == 0)
        continue;
      pairs = g_string_new (NULL);
      for (unsigned l = 0; l < s->urgency.n; l++)
        g_string_append_printf (pairs, "%s%u:%u", l > 0 ? "," : "",
                                s->urgency.pairs[l].sender,
                                s->urgency.pairs[l].route);
      mq_log (G_LOG_LEVEL_INFO, "urgency.levels",
              "service=%s version=%" G_GUINT64_FORMAT " levels=%u pairs=%s",
              mq_str_cstr (s->name), r->version, s->urgency.n, pairs->str);
      g_string_free (pairs, TRUE);
    }
}

static void
count_outcome (const mq_forward *forward, const char *outcome)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "level=\"%d\",outcome=\"%s\"",
              forward->level, outcome);
  ++*mq_metrics_counter (forward->gateway->metrics,
                         "marjoramquay_urgency_requests_total", labels,
                         "Requests by urgency level.");
}

static void
set_headroom (const mq_forward *forward, double tokens)
{
  char labels[32];

  g_snprintf (labels, sizeof labels, "level=\"%d\"", forward->level);
  *mq_metrics_gauge (forward->gateway->metrics,
                     "marjoramquay_urgency_headroom_tokens", labels,
                     "Memory withheld from the level's last request.")
      = (uint64_t)tokens;
}

void
mq_gateway_urgency_log_limit (mq_forward *forward)
{
  const mq_urgency_limit *l = &forward->urgency_limit;

  if (forward->level == MQ_URGENCY_NONE || (l->limit >= 1 && !l->starved))
    return;
  mq_log_buffer_append (
      &forward->log_buffer, G_LOG_LEVEL_INFO, "urgency.limit",
      "request=%.*s level=%d limit=%.3f headroom=%.0f demand=%.0f held=%.0f"
      " ratio=%.1f admission=%.2f admission-all=%.2f starved=%d",
      MQ_SPAN_ARG (forward->id), forward->level, l->limit, l->headroom,
      l->demand, l->held, forward->urgency_ratio, l->admission,
      l->admission_all, l->starved);
}

/* ---- Observations.  */

void
mq_gateway_urgency_note_request (mq_forward *forward, uint64_t now_us)
{
  mq_forward *f = forward;

  f->level
      = mq_urgency_level (&f->service->urgency, f->route, f->organisation);
  if (f->level != MQ_URGENCY_NONE)
    mq_urgency_reserve_note_request (forward_reserve (f), f->level,
                                     f->need_tokens, now_us);
}

void
mq_gateway_urgency_note_sent (mq_forward *forward, uint64_t now_us)
{
  mq_forward *f = forward;

  if (f->level == MQ_URGENCY_NONE)
    return;
  if (f->path_load != NULL)
    mq_urgency_reserve_note_held (forward_reserve (f), f->level,
                                  f->need_tokens);
  if (f->admitted_us > 0)
    return;
  f->admitted_us = now_us;
  mq_urgency_reserve_note_admitted (forward_reserve (f), f->level, now_us);
  count_outcome (f, "admitted");
}

void
mq_gateway_urgency_note_released (mq_forward *forward)
{
  if (forward->level != MQ_URGENCY_NONE)
    mq_urgency_reserve_note_held (forward_reserve (forward), forward->level,
                                  -forward->need_tokens);
}

void
mq_gateway_urgency_note_rejected (mq_forward *forward)
{
  if (forward->level != MQ_URGENCY_NONE && forward->admitted_us == 0)
    count_outcome (forward, "rejected");
}

void
mq_gateway_urgency_note_end (mq_forward *forward)
{
  if (forward->level != MQ_URGENCY_NONE && forward->admitted_us > 0)
    mq_urgency_reserve_note_stay (forward_reserve (forward), forward->level,
                                  mq_gateway_now_us () - forward->admitted_us);
}

/* ---- Decisions.  */

double
mq_gateway_urgency_limit (mq_forward *forward, const mq_domain_choice *choices,
                          size_t n, uint64_t now_us)
{
  mq_forward *f = forward;
  mq_urgency_memory memory = { .usable = usable_share () };

  if (f->level == MQ_URGENCY_NONE)
    return 1;
  for (size_t i = 0; i < n; i++)
    memory.capacity += choices[i].capacity;
  memory.ratio
      = mq_gateway_cluster_load_ratio (f->gateway, f->service, now_us);
  f->urgency_limit = mq_urgency_reserve_limit (forward_reserve (f), f->level,
                                               &memory, now_us);
  f->urgency_ratio = memory.ratio;
  set_headroom (f, f->urgency_limit.headroom);
  return f->urgency_limit.limit;
}

unsigned
mq_gateway_urgency_retry_ms (const mq_forward *forward, unsigned usual_ms)
{
  return forward->level == MQ_URGENCY_NONE
             ? usual_ms
             : mq_urgency_retry_ms (forward->level,
                                    forward->service->urgency.n, usual_ms);
}

/* ---- The order of waiting requests.  */

static mq_send_class
forward_class (const mq_forward *forward)
{
  if (forward->state.response_started)
    return MQ_SEND_CLASS_BEGUN;
  return forward->state.arrived > 0 ? MQ_SEND_CLASS_LOST : MQ_SEND_CLASS_NEW;
}

static mq_send_waiter
forward_waiter (const mq_forward *forward, size_t arrival)
{
  return (mq_send_waiter){ .kind = forward_class (forward),
                           .level = forward->level,
                           .silent_since_us = forward->state.response_started
                                                  ? forward->received_us
                                                  : forward->started_us,
                           .arrival = arrival };
}

/* Returns a more urgent retry of the same service that waits for budget at
   this router, or NULL.  */
static const mq_forward *
find_more_urgent (const mq_forward *forward)
{
  mq_send_waiter self = forward_waiter (forward, 0);

  for (GList *l = forward->gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;
      mq_send_waiter other;

      if (f == forward || !f->waits_for_budget
          || (f->call != NULL && f->stalled_why == NULL)
          || f->level == MQ_URGENCY_NONE
          || !mq_span_equal (mq_str_span (f->service->name),
                             mq_str_span (forward->service->name)))
        continue;
      other = forward_waiter (f, 0);
      if (mq_send_order_yields (&self, &other))
        return f;
    }
  return NULL;
}

bool
mq_gateway_urgency_yields (mq_forward *forward)
{
  const mq_forward *other
      = forward->level == MQ_URGENCY_NONE ? NULL : find_more_urgent (forward);

  if (other == NULL)
    return false;
  if (!forward->yielded)
    mq_log_buffer_append (
        &forward->log_buffer, G_LOG_LEVEL_INFO, "urgency.yield",
        "request=%.*s level=%d class=%d to=%.*s"
        " to-level=%d to-class=%d",
        MQ_SPAN_ARG (forward->id), forward->level, forward_class (forward),
        MQ_SPAN_ARG (other->id), other->level, forward_class (other));
  forward->yielded = true;
  return true;
}

/* Append FORWARD to *WAITING (mq_send_waiter), created by the first call.  */
static void
waiting_add (GArray **waiting, mq_forward *forward)
{
  mq_send_waiter w;

  if (*waiting == NULL)
    *waiting = g_array_new (FALSE, FALSE, sizeof (mq_send_waiter));
  w = forward_waiter (forward, (*waiting)->len);
  w.user = forward;
  g_array_append_val (*waiting, w);
}

static void
waiting_sort (GArray *waiting)
{
  mq_send_order_sort ((mq_send_waiter *)(void *)waiting->data, waiting->len);
}

static mq_forward *
waiting_get (const GArray *waiting, guint i)
{
  return g_array_index (waiting, mq_send_waiter, i).user;
}

/* Tick the forwards, or those that have begun and wait.  A tick frees no other
   forward than its own.  */
static void
tick_in_order (mq_gateway *gateway, bool begun_only, uint64_t now_us)
{
  GArray *waiting = NULL;
  GList *next;

  for (GList *l = gateway->forwards.head; l != NULL; l = next)
    {
      mq_forward *f = l->data;

      next = l->next;
      if (begun_only && (f->call != NULL || !f->state.response_started))
        continue;
      if (f->level == MQ_URGENCY_NONE || f->call != NULL)
        {
          mq_forward_tick (f, now_us);
          continue;
        }
      waiting_add (&waiting, f);
    }
  if (waiting == NULL)
    return;
  waiting_sort (waiting);
  for (guint i = 0; i < waiting->len; i++)
    mq_forward_tick (waiting_get (waiting, i), now_us);
  g_array_unref (waiting);
}

void
mq_gateway_urgency_tick (mq_gateway *gateway, uint64_t now_us)
{
  tick_in_order (gateway, false, now_us);
}

void
mq_gateway_urgency_tick_begun (mq_gateway *gateway, uint64_t now_us)
{
  tick_in_order (gateway, true, now_us);
}

void
mq_gateway_urgency_sort (GPtrArray *forwards)
{
  GArray *waiting = NULL;
  guint n = 0;

  for (guint i = 0; i < forwards->len; i++)
    {
      mq_forward *f = g_ptr_array_index (forwards, i);

      if (f->level == MQ_URGENCY_NONE)
        forwards->pdata[n++] = f;
      else
        waiting_add (&waiting, f);
    }
  if (waiting == NULL)
    return;
  waiting_sort (waiting);
  for (guint i = 0; i < waiting->len; i++)
    forwards->pdata[n++] = waiting_get (waiting, i);
  g_array_unref (waiting);
}
