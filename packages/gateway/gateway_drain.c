/* The drain of a router that was told to stop.

   Each request that it has taken ends with a response that the client sees, as
   long as the grace period allows.  In the order of time:
   - the directory no longer names the router, and new requests are refused if
     they may not end in time (mq/drain_rule.h);
   - it stops listening;
   - when it has been idle for a moment, it ends;
   - at the latest, what is unanswered is answered: 503 if it has not run, else
     502 or 504, and a stream that has begun is broken off;
   - then responses are still written until shortly before the process is
     killed.

   Invariant: no deadline of a request is after the time of that answer.  */

#include <mq/internal/gateway.h>

#include <mq/drain_rule.h>
#include <mq/log.h>

/* What is unanswered is answered this long before the process is killed ... */
#define DRAIN_ANSWER_MS ((uint64_t)700)
/* ... and the drain ends this long before it.  */
#define DRAIN_END_MS ((uint64_t)250)
/* A drain lasts at least until clients have dropped this router's address.  */
#define MIN_DRAIN_MS ((uint64_t)2500)
/* New connections are accepted for this long, for clients that queried the
   directory just before the drain.  */
#define DRAIN_ACCEPT_MS ((uint64_t)2300)
/* The drain ends when nothing has been open for this long.  */
#define DRAIN_IDLE_MS ((uint64_t)700)
/* For the responses of an aborted drain to be written.  */
#define DRAIN_ABORT_MS ((uint64_t)1000)

#define US_PER_MS ((uint64_t)1000)

/* Returns the time from the signal until MARGIN_MS before the end of the grace
   period; a short one is shared in the same order.  */
static uint64_t
grace_without_us (const mq_gateway *gateway, uint64_t margin_ms)
{
  uint64_t grace_ms = gateway->settings->grace_ms;
  uint64_t share_ms = grace_ms * margin_ms / (2 * DRAIN_ANSWER_MS);

  return (grace_ms - MIN (margin_ms, share_ms)) * US_PER_MS;
}

/* Have all requests end by the time at which what is unanswered is answered.
 */
static void
drain_limit_all (mq_gateway *gateway)
{
  for (GList *l = gateway->forwards.head; l != NULL; l = l->next)
    mq_gateway_drain_limit (l->data);
}

void
mq_gateway_drain_limit (mq_forward *forward)
{
  const mq_gateway *g = forward->gateway;

  if (g->mode == MQ_GATEWAY_SERVING
      || forward->state.deadline_us <= g->drain_answer_us)
    return;
  forward->state.deadline_us = g->drain_answer_us;
  forward->stopped = true;
}

/* The time until what is unanswered is answered; UINT64_MAX while this router
   serves.  */
static uint64_t
drain_left_us (const mq_gateway *gateway, uint64_t now_us)
{
  if (gateway->mode == MQ_GATEWAY_SERVING)
    return UINT64_MAX;
  return gateway->drain_answer_us > now_us ? gateway->drain_answer_us - now_us
                                           : 0;
}

bool
mq_gateway_drain_takes_unknown (const mq_gateway *gateway, uint64_t now_us)
{
  static const mq_latency_estimate none = { 0 };
  mq_drain_request r = { .limit_us = UINT64_MAX, .durations = &none };

  return mq_drain_takes (&r, drain_left_us (gateway, now_us),
                         gateway->settings->grace_ms * US_PER_MS);
}

bool
mq_gateway_drain_takes (const mq_forward *forward, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  const mq_forward_state *s = &forward->state;
  uint64_t left_us = drain_left_us (g, now_us);
  mq_drain_request r;

  if (g->mode == MQ_GATEWAY_SERVING)
    return true;
  /* How much of the stream is missing is not known.  */
  if (s->response_started)
    return left_us >= forward->route->target_ms * US_PER_MS;
  r = (mq_drain_request){
    .limit_us = forward->limit_us > now_us ? forward->limit_us - now_us : 0,
    .repeatable = mq_forward_may_repeat (s),
    .durations
    = &mq_gateway_service_state (g, forward->service)->durations[s->kind]
  };
  /* Once it has begun, a stream can only be broken off.  */
  if (s->kind == MQ_ROUTE_STREAM && forward->started_us >= g->drain_close_us)
    return r.limit_us <= left_us;
  return mq_drain_takes (&r, left_us, g->settings->grace_ms * US_PER_MS);
}

void
mq_gateway_drain_note_duration (const mq_forward *forward)
{
  if (forward->service != NULL)
    mq_latency_estimate_add (
        &mq_gateway_service_state (forward->gateway, forward->service)
             ->durations[forward->state.kind],
        (double)mq_forward_age_ms (forward));
}

/* Log the request of EXCHANGE, whose response is not complete at the end.  */
static void
drain_log_cut (void *context, const mq_http_exchange *exchange)
{
  const mq_gateway *g = context;
  mq_span id
      = mq_http_exchange_header (exchange, g->dialect->headers.request_id);

  mq_log (G_LOG_LEVEL_WARNING, "request.cut", "request=%.*s answered=%d",
          MQ_SPAN_ARG (id), mq_http_exchange_is_answered (exchange));
}

static void
drain_end (mq_gateway *gateway)
{
  mq_log (G_LOG_LEVEL_INFO, "router.drained", "open=%u unwritten=%u",
          gateway->forwards.length,
          mq_http_server_open_count (gateway->clients));
  mq_http_server_visit_open (gateway->clients, drain_log_cut, gateway);
  gateway->mode = MQ_GATEWAY_ENDED;
  ev_break (gateway->loop, EVBREAK_ALL);
}

void
mq_gateway_drain_tick (mq_gateway *gateway, uint64_t now_us)
{
  bool busy;

  if (gateway->mode != MQ_GATEWAY_DRAINING)
    return;
  busy = gateway->forwards.length > 0 || gateway->early_requests.length > 0
         || mq_http_server_open_count (gateway->clients) > 0
         || mq_tunnel_server_count_busy (gateway->tunnels,
                                         DRAIN_IDLE_MS * US_PER_MS)
                > 0;
  if (now_us >= gateway->drain_close_us && !gateway->drain_closed)
    {
      gateway->drain_closed = true;
      mq_http_server_quiesce (gateway->clients);
    }
  if (busy)
    gateway->drain_idle_us
        = MAX (gateway->drain_idle_us, now_us + DRAIN_IDLE_MS * US_PER_MS);
  if (now_us >= gateway->drain_end_us
      || (!busy && now_us >= gateway->drain_idle_us))
    drain_end (gateway);
}

void
mq_gateway_drain (mq_gateway *gateway)
{
  uint64_t now = mq_gateway_now_us ();

  if (gateway->mode != MQ_GATEWAY_SERVING)
    {
      mq_log (G_LOG_LEVEL_INFO, "router.drain-again", "open=%u",
              gateway->forwards.length);
      return;
    }
  gateway->mode = MQ_GATEWAY_DRAINING;
  gateway->drain_answer_us = now + grace_without_us (gateway, DRAIN_ANSWER_MS);
  gateway->drain_end_us = now + grace_without_us (gateway, DRAIN_END_MS);
  gateway->drain_close_us = now + DRAIN_ACCEPT_MS * US_PER_MS;
  gateway->drain_idle_us = now + MIN_DRAIN_MS * US_PER_MS;
  mq_log (G_LOG_LEVEL_INFO, "router.drain",
          "open=%u grace_ms=%" G_GUINT64_FORMAT, gateway->forwards.length,
          gateway->settings->grace_ms);
  drain_limit_all (gateway);
  mq_http_server_announce_close (gateway->clients);
  mq_gateway_gossip_broadcast (gateway);
}

bool
mq_gateway_is_draining (const mq_gateway *gateway)
{
  return gateway->mode == MQ_GATEWAY_DRAINING;
}

void
mq_gateway_drain_abort (mq_gateway *gateway)
{
  uint64_t now = mq_gateway_now_us ();

  mq_gateway_drain (gateway);
  gateway->drain_answer_us = MIN (gateway->drain_answer_us, now);
  gateway->drain_end_us
      = MIN (gateway->drain_end_us, now + DRAIN_ABORT_MS * US_PER_MS);
  gateway->drain_idle_us = now;
  drain_limit_all (gateway);
}
