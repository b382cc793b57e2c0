/* One send of a request to an upstream: its headers and its call.  */

#include <mq/internal/gateway.h>

#include <mq/internal/http_header.h>
#include <mq/log.h>
#include <string.h>

/* Connections inside a region stand within a millisecond or two; a machine
   that is dark never answers.  */
#define CONNECT_MS 250

/* The engine is told to stop so long before the client's time is up, for the
   answer's way back.  */
#define ENGINE_RESERVE_MS 10

/* A stream without a run is ended after so long without an event, and a
   request that waits while prompts are read is refused: clients leave after 2
   s, and a run takes some 0.2 s to its first event.  */
#define MAX_PARK_US ((uint64_t)1600 * 1000)

/* Retry-After for want of budget: what a client sends anew is no further send,
   so it only has to let the upstreams recover for a moment.  */
#define NO_BUDGET_RETRY_MS 500

#define US_PER_MS ((uint64_t)1000)
#define ANSWER_LIMIT ((size_t)16 * 1024 * 1024)

typedef struct send_headers
{
  GArray *list;        /* mq_http_header.  */
  GStringChunk *texts; /* What they borrow, beside the request.  */
} send_headers;

static bool
header_is_named (const mq_http_header *h, const char *name)
{
  return name != NULL && mq_http_header_is (h, name);
}

/* True for a header of the client's that is not passed on: it concerns one
   connection, or is set here.  */
static bool
header_is_ours (const mq_dialect_headers *names, const mq_http_header *h)
{
  return mq_http_header_is_hop (h) || mq_http_header_is (h, "Proxy-Connection")
         || mq_http_header_is (h, "TE") || mq_http_header_is (h, "Expect")
         || header_is_named (h, names->credential)
         || header_is_named (h, names->organisation)
         || header_is_named (h, names->time_left_ms)
         || header_is_named (h, names->expect_incarnation)
         || header_is_named (h, names->path)
         || header_is_named (h, names->last_event_id);
}

static void
headers_add (send_headers *headers, const char *name, mq_span value)
{
  mq_http_header h = { mq_span_from (name),
                       { g_string_chunk_insert_len (headers->texts, value.data,
                                                    (gssize)value.size),
                         value.size } };

  g_array_append_val (headers->list, h);
}

static void
headers_add_number (send_headers *headers, const char *name, uint64_t value)
{
  char text[32];

  g_snprintf (text, sizeof text, "%" G_GUINT64_FORMAT, value);
  headers_add (headers, name, mq_span_from (text));
}

static void
headers_add_path (send_headers *headers, const mq_forward *forward)
{
  const mq_dialect *d = forward->gateway->dialect;
  GString *text = g_string_new (NULL);

  d->path_encode (&forward->path, text);
  headers_add (headers, d->headers.path, (mq_span){ text->str, text->len });
  g_string_free (text, TRUE);
}

static void
headers_fill (send_headers *headers, const mq_forward *forward,
              uint64_t now_us)
{
  const mq_dialect_headers *names = &forward->gateway->dialect->headers;
  uint64_t left_ms = (forward->state.deadline_us - now_us) / 1000;
  size_t n;
  const mq_http_header *h = mq_http_exchange_headers (forward->exchange, &n);

  for (size_t i = 0; i < n; i++)
    if (!header_is_ours (names, &h[i]))
      g_array_append_val (headers->list, h[i]);
  headers_add_number (headers, names->time_left_ms,
                      left_ms > ENGINE_RESERVE_MS ? left_ms - ENGINE_RESERVE_MS
                                                  : 1);
  headers_add (headers, names->expect_incarnation,
               mq_str_span (forward->upstream->facts.id));
  if (forward->organisation != NULL)
    headers_add (headers, names->organisation,
                 mq_str_span (forward->organisation->name));
  if (forward->path.n > 0)
    headers_add_path (headers, forward);
  if (forward->split.last_id > 0)
    headers_add_number (headers, names->last_event_id, forward->split.last_id);
}

static void
send_start (mq_forward *forward, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  mq_forward *f = forward;
  send_headers headers = { g_array_new (FALSE, FALSE, sizeof (mq_http_header)),
                           g_string_chunk_new (512) };
  mq_span path = mq_http_exchange_path (f->exchange);
  mq_span query = mq_http_exchange_query_string (f->exchange);
  char *url = g_strdup_printf ("http://%s/",
                               mq_str_cstr (f->upstream->facts.address));
  char *target
      = g_strdup_printf ("%.*s%s%.*s", MQ_SPAN_ARG (path),
                         query.data != NULL ? "?" : "", MQ_SPAN_ARG (query));
  mq_http_call_options o = { .method = mq_http_exchange_method (f->exchange),
                             .url = mq_span_from (url),
                             .target = mq_span_from (target),
                             .body = mq_http_exchange_body (f->exchange),
                             .connect_ms = CONNECT_MS,
                             .streamed = f->route->kind == MQ_ROUTE_STREAM,
                             .no_resend = true,
                             .once = !mq_forward_may_repeat (&f->state),
                             .body_limit = ANSWER_LIMIT };

  if (f->id.size > 0)
    {
      o.echo_name = mq_span_from (g->dialect->headers.request_id);
      o.echo_value = f->id;
    }
  headers_fill (&headers, f, now_us);
  o.headers = (const mq_http_header *)(void *)headers.list->data;
  o.n_headers = headers.list->len;
  f->sent_us = now_us;
  f->call = mq_http_client_start (g->client, &o, mq_forward_on_call, f);
  g_array_unref (headers.list);
  g_string_chunk_free (headers.texts);
  g_free (url);
  g_free (target);
}

/* May FORWARD be sent now, as far as the budget of further sends goes?  Asked
   at each send, also when it was granted before: what waited for room goes
   out together.  */
static bool
send_is_in_budget (const mq_forward *forward, uint64_t now_us)
{
  return forward->state.arrived == 0
         || mq_gateway_has_budget (forward->gateway, forward->service, now_us);
}

/* For how long FORWARD is refused, since upstreams ended under what it asks;
   0: it is not.  Asked at each send: others may have found it out meanwhile.
 */
static uint64_t
send_refused_us (mq_forward *forward, uint64_t now_us)
{
  const mq_gateway *g = forward->gateway;

  if (mq_quarantine_is_empty (&g->quarantine))
    return 0;
  return mq_gateway_quarantine_remaining_us (g, mq_forward_content (forward),
                                             now_us);
}

/* The upstream of FORWARD may run it from now on.  */
static void
send_count_upstream (mq_forward *forward)
{
  mq_forward *f = forward;

  f->ran_anew = !g_ptr_array_find (f->ran, f->upstream, NULL);
  if (!f->ran_anew)
    return;
  g_ptr_array_add (f->ran, mq_upstream_ref (f->upstream));
  f->state.sent++;
}

/* Place FORWARD, unless another of its rank that waits found all paths reading
   in this tick: hundreds may wait, and each search for paths takes time.  */
static mq_placing
send_place (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_gateway *g = forward->gateway;
  unsigned rank = 1u << mq_forward_rank (forward);
  bool waits
      = forward->waits && mq_forward_may_wait_for_prefill (forward, now_us);
  mq_placing placing;

  if (waits && (g->prefilling_ranks & rank) != 0)
    return MQ_PLACING_PREFILLING;
  placing = mq_forward_place (forward, now_us, retry_ms);
  if (placing == MQ_PLACING_PREFILLING)
    g->prefilling_ranks |= rank;
  return placing;
}

/* Does the client of FORWARD, whose answer has begun, still wait for it to go
   on?  It waits for room and for budget so long; the tick sends it then.  */
static bool
send_is_parked (const mq_forward *forward, uint64_t now_us)
{
  return forward->state.response_started
         && now_us - forward->received_us <= MAX_PARK_US;
}

/* May FORWARD, which was not placed, wait?  All do while prompts are read,
   which takes no longer than a client waits.  */
static bool
send_may_wait (const mq_forward *forward, mq_placing placing, uint64_t now_us)
{
  if (forward->state.response_started)
    return send_is_parked (forward, now_us);
  return placing == MQ_PLACING_PREFILLING
         && now_us - forward->started_us <= MAX_PARK_US;
}

void
mq_forward_send (mq_forward *forward, uint64_t now_us)
{
  mq_forward *f = forward;
  mq_gateway *g = f->gateway;
  unsigned retry_ms = 0;
  mq_placing placing;

  if (send_refused_us (f, now_us) > 0)
    {
      mq_forward_reject (f,
                         (unsigned)(send_refused_us (f, now_us) / US_PER_MS),
                         "quarantined");
      return;
    }
  if (!send_is_in_budget (f, now_us))
    {
      if (send_is_parked (f, now_us))
        return;
      mq_forward_reject (f, NO_BUDGET_RETRY_MS, "no-budget");
      return;
    }
  placing = send_place (f, now_us, &retry_ms);
  if (placing != MQ_PLACED)
    {
      f->waits = send_may_wait (f, placing, now_us);
      if (!f->waits)
        mq_forward_reject (f, retry_ms, "no-room");
      return;
    }
  f->waits = false;
  if (f->state.arrived > 0)
    {
      mq_send_budget_spend (&mq_gateway_service (g, f->service)->budget,
                            now_us);
      ++*g->counters.further_sends;
      if (f->state.response_started)
        ++*g->counters.resumed;
    }
  send_count_upstream (f);
  f->state.arrived++;
  f->state.tries++;
  ++*g->counters.sends;
  mq_log_buffer_append (
      &f->story, G_LOG_LEVEL_INFO, "request.send",
      "request=%.*s upstream=%s domain=%s parts=%u room=%.0f used=%.0f"
      " need=%.0f after-event=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
      " store_age_ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (f->id), mq_str_cstr (f->upstream->facts.id),
      mq_str_cstr (f->upstream->facts.domain), f->path.n, f->path.tokens,
      f->used, f->need, f->split.last_id, f->routing->version,
      mq_feed_age_ms (&g->upstream_feed, now_us));
  send_start (f, now_us);
}
