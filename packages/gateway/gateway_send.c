/* One send of a request to an upstream: whether it may be sent now, its
   headers and its HTTP call.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_detour.h>
#include <mq/internal/gateway_reach.h>
#include <mq/internal/gateway_urgency.h>
#include <mq/internal/http_header.h>
#include <mq/log.h>
#include <string.h>

/* Connections inside a region take a few milliseconds; a machine that is down
   never accepts one.  */
#define CONNECT_TIMEOUT_MS 250

/* The engine's time budget ends this long before the client's deadline, so
   that the response still arrives in time.  */
#define ENGINE_RESERVE_MS 10

/* For this long since its last event a stream may wait for a new run, and
   since its arrival a request may wait for the prefill of earlier prompts.
   Clients disconnect after 2 s of silence, and a run takes some 0.2 s to its
   first event.  */
#define MAX_WAIT_US ((uint64_t)1600 * 1000)

/* Retry-After when the retry budget is spent.  A client's retry is a new
   request, which needs no budget, so it only gives the upstreams time to
   recover.  */
#define NO_BUDGET_RETRY_AFTER_MS 500

/* A request whose send was rejected, or that an upstream did not get, may wait
   for so long for budget of other routers, which takes a tick and some ms.
   After that its client, which may repeat it without budget, is told so.  */
#define MAX_REJECTED_WAIT_US ((uint64_t)100 * 1000)

/* Sends in a row without a connection after which a request waits for a check
   whether this router reaches the service, and for how long: a check ends
   within a tenth of a second, and the next may begin only then.  */
#define UNSENT_TRIES_TO_WAIT 2
#define MAX_REACH_WAIT_US ((uint64_t)250 * 1000)

#define US_PER_MS ((uint64_t)1000)
#define MAX_RESPONSE_BYTES ((size_t)16 * 1024 * 1024)

typedef struct send_headers
{
  GArray *list; /* mq_http_header, borrowed from the request or TEXTS. */
  GStringChunk *texts; /* Owns the values added here.  */
} send_headers;

static bool
header_is_named (const mq_http_header *h, const char *name)
{
  return name != NULL && mq_http_header_is (h, name);
}

/* Returns true for a client's header that is not forwarded: it concerns one
   connection, or its value is set here.  */
static bool
header_is_dropped (const mq_dialect_headers *names, const mq_http_header *h)
{
  return mq_http_header_is_hop_by_hop (h)
         || mq_http_header_is (h, "Proxy-Connection")
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
    if (!header_is_dropped (names, &h[i])
        && (forward->level == MQ_URGENCY_NONE
            || !header_is_named (&h[i], names->urgency)))
      g_array_append_val (headers->list, h[i]);
  headers_add_number (headers, names->time_left_ms,
                      left_ms > ENGINE_RESERVE_MS ? left_ms - ENGINE_RESERVE_MS
                                                  : 1);
  headers_add (headers, names->expect_incarnation,
               mq_str_span (forward->upstream->facts.id));
  if (forward->organisation != NULL)
    headers_add (headers, names->organisation,
                 mq_str_span (forward->organisation->name));
  if (forward->level != MQ_URGENCY_NONE)
    headers_add_number (headers, names->urgency, (uint64_t)forward->level);
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
                             .body_stays = true,
                             .connect_ms = CONNECT_TIMEOUT_MS,
                             .streamed = f->route->kind == MQ_ROUTE_STREAM,
                             .no_resend = true,
                             .once = !mq_forward_may_repeat (&f->state),
                             .single = g->dialect->single_headers,
                             .not_run = g->dialect->headers.not_run,
                             .body_limit = MAX_RESPONSE_BYTES,
                             .shares_room = true };

  if (f->id.size > 0)
    {
      o.echo_name = mq_span_from (g->dialect->headers.request_id);
      o.echo_value = f->id;
    }
  headers_fill (&headers, f, now_us);
  o.headers = (const mq_http_header *)(void *)headers.list->data;
  o.n_headers = headers.list->len;
  f->sent_us = now_us;
  if (f->detour != NULL)
    o.tunnel = mq_str_span (f->detour->address);
  f->call = mq_http_client_start (g->client, &o, mq_forward_on_call, f);
  g_array_unref (headers.list);
  g_string_chunk_free (headers.texts);
  g_free (url);
  g_free (target);
}

/* Returns true if a stream that has begun waits for budget of the service of
   FORWARD.  */
static bool
send_begun_waits (const mq_forward *forward)
{
  for (GList *l = forward->gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;

      if (f->waits_for_budget && f->state.response_started
          && mq_span_equal (mq_str_span (f->service->name),
                            mq_str_span (forward->service->name)))
        return true;
    }
  return false;
}

/* Checked at each send, as requests that waited for room are sent together.
   Streams that have begun come first: their clients have part of a response,
   which is lost with them.  */
bool
mq_forward_is_in_budget (mq_forward *forward, uint64_t now_us)
{
  if (forward->state.arrived == 0)
    return true;
  return mq_gateway_has_budget (forward->gateway, forward->service, now_us)
         && (forward->state.response_started || !send_begun_waits (forward))
         && !mq_gateway_urgency_yields (forward);
}

/* Count the upstream of FORWARD among those that may have run it.  */
static void
send_count_upstream (mq_forward *forward)
{
  mq_forward *f = forward;

  f->added_to_ran = !g_ptr_array_find (f->ran, f->upstream, NULL);
  if (!f->added_to_ran)
    return;
  g_ptr_array_add (f->ran, mq_upstream_ref (f->upstream));
  f->state.sent++;
}

/* Place FORWARD, unless it waits for prefill, may wait on, and another request
   of its rank found all paths prefilling in this tick.  Many requests may
   wait, and each search for paths takes time.  One that waits for a view was
   never placed, and a service without layers has no prefill.  */
static mq_place_result
send_place (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_gateway *g = forward->gateway;
  unsigned rank = 1u << mq_forward_rank (forward);
  bool may_wait = forward->waiting && !forward->view_waits
                  && forward->service->model.layers > 0
                  && mq_forward_may_wait_for_prefill (forward, now_us);
  mq_place_result result;

  if (mq_gateway_view_is_decided (forward, now_us))
    {
      *retry_ms = mq_gateway_view_retry_ms (forward);
      return MQ_PLACE_UNKNOWN;
    }
  if (may_wait && (g->prefilling_ranks & rank) != 0)
    return MQ_PLACE_PREFILLING;
  result = mq_forward_place (forward, now_us, retry_ms);
  if (result == MQ_PLACE_PREFILLING)
    g->prefilling_ranks |= rank;
  return result;
}

/* Returns true if the response of FORWARD has begun and its client still waits
   for the next event.  Until then it waits for room and for budget, and each
   tick tries to send it.  */
static bool
send_begun_may_wait (const mq_forward *forward, uint64_t now_us)
{
  return forward->state.response_started
         && now_us - forward->received_us <= MAX_WAIT_US;
}

bool
mq_forward_may_wait_for_budget (const mq_forward *forward, uint64_t now_us)
{
  if (forward->state.response_started)
    return send_begun_may_wait (forward, now_us);
  if (forward->lost_end == MQ_SEND_REPLIED)
    return false; /* The upstream's response is delivered.  */
  if (forward->state.may_have_run)
    return mq_forward_may_repeat (&forward->state)
           && now_us - forward->started_us <= MAX_WAIT_US;
  return now_us - forward->lost_us <= MAX_REJECTED_WAIT_US;
}

/* Returns true if FORWARD, whose placement gave RESULT, may wait.  Any request
   may wait for the prefill of earlier prompts, which ends before clients give
   up, for its turn among suspects of the same crashes, and for the first view
   of its service, since nothing was sent.  */
static bool
send_may_wait (mq_forward *forward, mq_place_result result, uint64_t now_us)
{
  if (forward->state.response_started)
    return send_begun_may_wait (forward, now_us);
  if (result == MQ_PLACE_UNKNOWN)
    return mq_gateway_view_may_wait (forward, now_us);
  return (result == MQ_PLACE_PREFILLING || forward->kept_apart)
         && now_us - forward->started_us <= MAX_WAIT_US;
}

/* Why FORWARD, which was not placed, has to be rejected.  */
static const char *
send_place_failure (const mq_forward *forward, mq_place_result result)
{
  if (result == MQ_PLACE_UNKNOWN)
    return "not-known-yet";
  if (forward->kept_apart)
    return "kept-apart";
  if (forward->resting)
    return "resting";
  return forward->limited ? "limited" : "no-room";
}

/* Returns true if FORWARD waits until it is known whether this router reaches
   its service: several upstreams in a row could not be connected to, and the
   next one might be refused as well.  */
static bool
send_awaits_reach (const mq_forward *forward, uint64_t now_us)
{
  mq_upstream *last
      = forward->tried->len > 0
            ? g_ptr_array_index (forward->tried, forward->tried->len - 1)
            : NULL;

  return forward->unsent_tries >= UNSENT_TRIES_TO_WAIT && last != NULL
         && now_us - forward->lost_us < MAX_REACH_WAIT_US
         && mq_gateway_reach_is_in_doubt (forward->gateway, last);
}

/* Log that FORWARD, which was not placed, begins to wait for its turn.  */
static void
send_log_kept_apart (mq_forward *forward)
{
  if (!forward->kept_apart || forward->waiting)
    return;
  mq_log_buffer_append (
      &forward->log_buffer, G_LOG_LEVEL_INFO, "request.kept-apart",
      "request=%.*s content=%016" G_GINT64_MODIFIER "x",
      MQ_SPAN_ARG (forward->id), mq_forward_content (forward));
}

void
mq_forward_send (mq_forward *forward, uint64_t now_us)
{
  mq_forward *f = forward;
  mq_gateway *g = f->gateway;
  unsigned retry_ms = 0;
  uint64_t refused_us;
  mq_place_result result;

  if (!mq_gateway_drain_takes (f, now_us))
    {
      mq_forward_reject (f, MQ_DRAIN_RETRY_AFTER_MS, "draining");
      return;
    }
  f->awaits_reach = send_awaits_reach (f, now_us);
  if (f->awaits_reach)
    return;
  /* Checked at each send, as other routers may have reported crashes since the
     last one.  */
  refused_us = mq_gateway_quarantine_remaining_us (f, now_us);
  if (refused_us > 0)
    {
      mq_forward_reject (f, (unsigned)(refused_us / US_PER_MS), "quarantined");
      return;
    }
  if (!mq_forward_is_in_budget (f, now_us))
    {
      if (mq_forward_may_wait_for_budget (f, now_us))
        {
          f->waits_for_budget = true;
          return;
        }
      mq_forward_reject (f, NO_BUDGET_RETRY_AFTER_MS, "no-budget");
      return;
    }
  f->waits_for_budget = false;
  result = send_place (f, now_us, &retry_ms);
  if (result != MQ_PLACE_UNKNOWN)
    mq_gateway_view_stop_waiting (f);
  if (result != MQ_PLACE_OK)
    {
      send_log_kept_apart (f);
      f->waiting = send_may_wait (f, result, now_us);
      if (!f->waiting)
        mq_forward_reject (f, retry_ms, send_place_failure (f, result));
      return;
    }
  f->waiting = false;
  mq_gateway_quarantine_note_sent (f, now_us);
  mq_gateway_urgency_note_sent (f, now_us);
  if (f->state.arrived > 0)
    {
      mq_send_budget_note_retry (
          &mq_gateway_service_state (g, f->service)->budget, now_us);
      ++*g->counters.retries;
      if (f->state.response_started)
        ++*g->counters.resumed_streams;
    }
  send_count_upstream (f);
  f->state.arrived++;
  f->state.tries++;
  ++*g->counters.sends;
  f->tunnel_status = 0;
  f->notice_taken = false;
  f->framing = MQ_RESPONSE_NO_HEAD;
  f->fault = MQ_RESPONSE_SOUND;
  f->detour = mq_gateway_choose_detour (g, f->upstream, now_us);
  if (f->detour != NULL)
    f->detour->in_flight++;
  mq_log_buffer_append (
      &f->log_buffer, G_LOG_LEVEL_INFO, "request.send",
      "request=%.*s upstream=%s via=%s domain=%s parts=%u room=%.0f"
      " used=%.0f"
      " need=%.0f after-event=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
      " store_age_ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (f->id), mq_str_cstr (f->upstream->facts.id),
      f->detour ? mq_str_cstr (f->detour->address) : "none",
      mq_str_cstr (f->upstream->facts.domain), f->path.n, f->path.tokens,
      f->used_tokens, f->need_tokens, f->split.last_id, f->routing->version,
      mq_feed_age_ms (&g->upstream_feed, now_us));
  send_start (f, now_us);
}
