/* Responses of upstreams and their forwarding to the client: headers, events
   of streams, complete bodies, and responses that must not be forwarded.

   A success is forwarded only when it is signed and belongs to the request;
   the HTTP client checks the latter.  The response to a stream begins with its
   first complete event that has an id, so that a send that fails before it is
   invisible to the client.

   An upstream may send bytes without end.  Only an event with an id is
   progress of a stream; what comes without one is held until the next, or the
   whole response, shows that it belongs to a sound response.  What is held
   has a bound; a run that exceeds it is broken.  */

#include <mq/internal/gateway_close_check.h>
#include <mq/internal/gateway_standby.h>

#include <mq/internal/http_header.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_MULTIPLE_CHOICES 300

/* Weight of the last gap in the smoothed one, which thus follows some five
   events.  */
#define GAP_WEIGHT 0.2
/* When the smoothed gap of a stream exceeds this part of the longest gap that
   its route allows, an engine of its path may be slow.  At full load a gap
   takes a quarter to a half of it.  */
#define SLOW_GAP_RATIO 0.6

/* A gap before an event that is a silence rather than the pace of a path.  */
#define SILENCE_US ((uint64_t)300 * 1000)

/* Bytes of a stream's response that are held: the body of one without success,
   or what follows the last event with an id.  */
#define MAX_HELD_BYTES ((size_t)64 * 1024)

/* A refusal after this means that the head waited for an engine that does not
   respond.  Heads wait 2 s for such an engine; a request that only queued at a
   head is refused after some tenths of a second.  */
#define ENGINE_WAIT_US ((uint64_t)1500 * 1000)

/* ---- Headers of the response.  */

/* Returns true for a header that is not forwarded: it concerns one connection
   only, or the HTTP library writes it.  */
static bool
answer_header_is_dropped (const mq_http_header *h)
{
  return mq_http_header_is_hop_by_hop (h) || mq_http_header_is (h, "Date");
}

/* Returns the headers of HEAD, which begins with the status line, that are
   forwarded (mq_http_header).  They borrow from HEAD.  Free with
   g_array_unref.  */
static GArray *
answer_headers (mq_span head)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (mq_http_header));
  const char *line = memchr (head.data, '\n', head.size);
  const char *end = head.data + head.size;

  for (line = line ? line + 1 : end; line < end;)
    {
      const char *stop = memchr (line, '\n', (size_t)(end - line));
      const char *colon;
      mq_http_header h;

      if (stop == NULL)
        stop = end;
      colon = memchr (line, ':', (size_t)(stop - line));
      if (colon != NULL)
        {
          mq_span value = { colon + 1, (size_t)(stop - colon - 1) };

          h = (mq_http_header){ { line, (size_t)(colon - line) },
                                mq_span_trim (value) };
          if (!answer_header_is_dropped (&h))
            g_array_append_val (out, h);
        }
      line = stop + 1;
    }
  return out;
}

bool
mq_gateway_status_is_success (unsigned status)
{
  return status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
}

static bool
call_is_signed (const mq_forward *forward, const mq_http_call *call)
{
  return mq_http_call_header (call,
                              forward->gateway->dialect->headers.signature)
             .size
         > 0;
}

static bool
answer_is_signed (const mq_forward *forward)
{
  return call_is_signed (forward, forward->call);
}

bool
mq_gateway_response_may_serve (const mq_forward *forward,
                               const mq_http_call *call)
{
  return mq_gateway_status_is_success (mq_http_call_status (call))
         && call_is_signed (forward, call);
}

/* ---- Streams.  */

bool
mq_forward_run_has_begun (const mq_forward *forward)
{
  return forward->last_event_us >= forward->sent_us;
}

/* The client of FORWARD received a 502, since its connection has no room for
   the head of the upstream's response.  Frees FORWARD.  */
static void
forward_end_head_too_large (mq_forward *forward)
{
  ++*forward->gateway->counters.failed;
  mq_forward_end (forward, "failed", MQ_STATUS_BAD_GATEWAY,
                  "response-head-too-large");
}

/* Begin the response.  Returns 0, or -1 when it could not begin, which has
   freed FORWARD.  */
static int
stream_begin (mq_forward *forward, unsigned status)
{
  GArray *headers = answer_headers (mq_http_call_head (forward->call));
  bool begun = mq_http_exchange_begin (
      forward->exchange, status, (const mq_http_header *)(void *)headers->data,
      headers->len);

  g_array_unref (headers);
  if (!begun)
    {
      forward_end_head_too_large (forward);
      return -1;
    }
  forward->state.response_started = true;
  forward->first_event_ms = (unsigned)mq_forward_age_ms (forward);
  mq_gateway_count_first_event (forward->gateway,
                                mq_gateway_now_us () - forward->started_us);
  return 0;
}

/* Add the time to the first event, or the gap since the last one, to the
   estimates of FORWARD's path.  */
static void
stream_note_latency (const mq_forward *forward, uint64_t now_us)
{
  mq_path_load *load = forward->path_load;

  if (load == NULL)
    return;
  if (!mq_forward_run_has_begun (forward))
    mq_latency_estimate_add (&load->first_event,
                             (double)(now_us - forward->sent_us) / 1000);
  else
    mq_latency_estimate_add (&load->event_gap,
                             (double)(now_us - forward->last_event_us) / 1000);
}

/* The run of FORWARD goes on after a silence, so each engine of its path does,
   whatever spoke against it.  */
static void
stream_note_alive (const mq_forward *forward)
{
  uint64_t now = mq_gateway_now_us ();

  for (unsigned i = 0; i < forward->path.n; i++)
    if (!mq_upstream_is_usable (forward->path.stages[i].upstream, now))
      mq_upstream_succeeded (forward->path.stages[i].upstream,
                             forward->sent_us);
}

/* Apply what the upstream of FORWARD states in the headers of its response,
   once for each run.  */
static void
answer_note_headers (mq_forward *forward)
{
  if (!forward->notice_taken)
    mq_gateway_note_response (forward->gateway, forward->upstream,
                              forward->call, forward->sent_us, true);
  forward->notice_taken = true;
}

/* Update what is known of FORWARD and its path by an event that is about to be
   forwarded.  */
static void
stream_note_event (mq_forward *forward)
{
  uint64_t now = mq_gateway_now_us ();
  double gap_ms = (double)(now - forward->last_event_us) / 1000;

  stream_note_latency (forward, now);
  mq_forward_note_prefilled (forward);
  if (!mq_forward_run_has_begun (forward))
    for (unsigned i = 0; i < forward->path.n; i++)
      mq_upstream_accepted (forward->path.stages[i].upstream,
                            forward->sent_us);
  mq_standby_drop (forward);
  if (now - MAX (forward->last_event_us, forward->sent_us) >= SILENCE_US)
    stream_note_alive (forward);
  for (unsigned i = 0; i < forward->path.n; i++)
    forward->path.stages[i].upstream->progress_us = now;
  if (forward->last_event_us > 0)
    {
      forward->longest_gap_ms
          = MAX (forward->longest_gap_ms, (unsigned)gap_ms);
      forward->smoothed_gap_ms
          += (gap_ms - forward->smoothed_gap_ms) * GAP_WEIGHT;
    }
  mq_crash_note_event (forward, now);
  mq_forward_note_received (forward);
  forward->last_event_us = now;
  if (forward->route->gap_ms > 0
      && forward->smoothed_gap_ms > forward->route->gap_ms * SLOW_GAP_RATIO)
    mq_stall_request_slowdowns (forward->gateway, &forward->path);
}

/* Append BYTES to what is held of FORWARD's response.  Returns 0, or -1 when
   there is no room, which ends the send as broken because of WHY and may free
   FORWARD.  */
static int
stream_hold (mq_forward *forward, mq_span bytes, unsigned status,
             const char *why)
{
  if (bytes.size <= MAX_HELD_BYTES - forward->held->len)
    {
      g_string_append_len (forward->held, bytes.data, (gssize)bytes.size);
      return 0;
    }
  /* The head itself sends this, whatever the other engines of its path do.  */
  if (forward->path.n > 1 && forward->detour == NULL)
    mq_upstream_failed (forward->upstream, mq_gateway_now_us ());
  mq_forward_send_ended (forward, MQ_SEND_BROKEN, status, why);
  return -1;
}

/* Write what is held to the client, whose response has begun.  */
static void
stream_release (mq_forward *forward)
{
  (void)mq_http_exchange_write (
      forward->exchange, (mq_span){ forward->held->str, forward->held->len });
  g_string_truncate (forward->held, 0);
}

/* Forward EVENT, which has an id, and what is held before it.  Returns 0, or
   -1 when the response could not begin, which has freed FORWARD.  */
static int
stream_forward_event (mq_forward *forward, mq_span event, unsigned status)
{
  if (!forward->state.response_started && stream_begin (forward, status) < 0)
    return -1;
  answer_note_headers (forward);
  stream_note_event (forward);
  stream_release (forward);
  if (mq_http_exchange_write (forward->exchange, event)
      >= MQ_HTTP_STREAM_HIGH_WATER_BYTES)
    {
      mq_http_call_pause (forward->call, true);
      mq_http_exchange_set_upstream_bytes (forward->exchange,
                                           MQ_HTTP_MAX_PAUSED_BYTES);
    }
  return 0;
}

/* Forward the complete events.  Returns 0, or -1 when the send was ended,
   which may have freed FORWARD.  */
static int
stream_pass (mq_forward *forward, unsigned status)
{
  mq_event_result r;
  mq_span event;
  unsigned before = forward->split.events;

  while ((r = mq_event_split_next (&forward->split, &event)) == MQ_EVENT_WHOLE)
    {
      int result = forward->split.events > before
                       ? stream_forward_event (forward, event, status)
                       : stream_hold (forward, event, status, "no-events");

      if (result < 0)
        return -1;
      before = forward->split.events;
    }
  if (r == MQ_EVENT_NONE)
    return 0;
  mq_forward_send_ended (forward, MQ_SEND_BROKEN, status, "wrong-event");
  return -1;
}

static void
stream_data (mq_forward *forward, const mq_http_client_event *event)
{
  if (!mq_gateway_status_is_success (event->status))
    {
      (void)stream_hold (forward, event->data, event->status,
                         "error-too-large");
      return;
    }
  mq_event_split_feed (&forward->split, event->data);
  (void)stream_pass (forward, event->status);
}

/* The response to FORWARD, a stream, is whole.  Frees FORWARD.  */
static void
stream_complete (mq_forward *forward, unsigned status)
{
  mq_gateway *g = forward->gateway;

  for (unsigned i = 0; i < forward->path.n; i++)
    mq_upstream_succeeded (forward->path.stages[i].upstream, forward->sent_us);
  mq_upstream_succeeded (forward->upstream, forward->sent_us);
  if (forward->framing == MQ_RESPONSE_TO_CLOSE)
    mq_crash_note_unframed_end (forward, mq_gateway_now_us ());
  else
    mq_gateway_note_success (forward);
  if (!forward->state.response_started && stream_begin (forward, status) < 0)
    return;
  stream_release (forward);
  mq_http_exchange_end (forward->exchange);
  ++*g->counters.answered;
  mq_forward_end (forward, "answered", status, "whole");
}

/* ---- Ends of sends.  */

/* Forward RESPONSE, which is whole.  Frees FORWARD.  */
static void
forward_pass (mq_forward *forward, const mq_held_response *response)
{
  mq_gateway *g = forward->gateway;
  GArray *headers = answer_headers (response->head);
  unsigned status = response->status;
  bool sent;

  if (forward->route->kind == MQ_ROUTE_STREAM
      && mq_gateway_status_is_success (status))
    {
      g_array_unref (headers);
      stream_complete (forward, status);
      return;
    }
  if (mq_gateway_status_is_success (status))
    {
      mq_upstream_succeeded (forward->upstream, forward->sent_us);
      mq_gateway_note_success (forward);
    }
  sent = mq_http_exchange_reply (forward->exchange, status,
                                 (const mq_http_header *)(void *)headers->data,
                                 headers->len, response->body);

  g_array_unref (headers);
  if (!sent)
    {
      forward_end_head_too_large (forward);
      return;
    }
  ++*g->counters.answered;
  mq_forward_end (forward, "answered", status, "whole");
}

/* Forward the response to FORWARD's call with STATUS and BODY, which has
   ended, once it is sure to be whole.  May free FORWARD.  */
static void
forward_finish (mq_forward *forward, unsigned status, mq_span body)
{
  const mq_held_response r
      = { status, mq_http_call_head (forward->call), body };

  if (!mq_close_check_start (forward, &r, forward_pass))
    forward_pass (forward, &r);
}

/* Returns true if the upstream states that it did not run the request.  */
static bool
answer_is_not_run (const mq_forward *forward)
{
  return mq_http_call_header (forward->call,
                              forward->gateway->dialect->headers.not_run)
             .size
         > 0;
}

/* Record the fault of the engine because of which the request was not run.  An
   engine that is down or unreachable is named after its head waited for it;
   one that refuses at once is alive.  */
static void
forward_note_fault (mq_forward *forward, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  mq_span a
      = mq_http_call_header (forward->call, g->dialect->headers.at_fault);
  /* Without a name it is the head itself, which serves as many requests as it
     can.  */
  mq_upstream *u = a.size > 0 ? mq_registry_find_address (&g->registry, a)
                              : forward->upstream;
  uint64_t waited_us = now_us - forward->sent_us;

  if (u == NULL || forward->path.n == 0)
    return;
  mq_log_buffer_append (
      &forward->log_buffer, G_LOG_LEVEL_INFO, "upstream.blamed",
      "request=%.*s upstream=%s waited_ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (forward->id), mq_str_cstr (u->facts.id), waited_us / 1000);
  if (waited_us < ENGINE_WAIT_US)
    {
      mq_upstream_rejected (u, now_us);
      return;
    }
  mq_crash_note_broken_run (forward, u, now_us);
  mq_upstream_reported_down (u, now_us, 0);
}

/* Handle a complete response.  */
static void
forward_answered (mq_forward *forward, const mq_http_client_event *event)
{
  mq_forward *f = forward;
  bool stream = f->route->kind == MQ_ROUTE_STREAM;
  mq_span body
      = stream ? (mq_span){ f->held->str, f->held->len } : event->data;

  if (answer_is_not_run (f))
    {
      forward_note_fault (f, mq_gateway_now_us ());
      mq_forward_send_ended (f, MQ_SEND_NOT_RUN, event->status, "not-run");
      return;
    }
  if (!answer_is_signed (f) && mq_gateway_status_is_success (event->status))
    {
      mq_forward_send_ended (f, MQ_SEND_BROKEN, event->status, "unsigned");
      return;
    }
  if (!mq_gateway_status_is_success (event->status))
    {
      mq_forward_verdict v
          = mq_forward_decide (&f->state, MQ_SEND_REPLIED, event->status,
                               mq_gateway_has_budget (f->gateway, f->service,
                                                      mq_gateway_now_us ()));

      if (v.verb != MQ_FORWARD_DELIVER)
        mq_forward_send_ended (f, MQ_SEND_REPLIED, event->status, "error");
      else
        forward_finish (f, event->status, body);
      return;
    }
  if (!stream)
    forward_finish (f, event->status, body);
  else if (mq_event_split_has_partial (&f->split))
    mq_forward_send_ended (f, MQ_SEND_BROKEN, event->status, "half-event");
  else if (f->framing == MQ_RESPONSE_TO_CLOSE && !mq_forward_run_has_begun (f))
    {
      /* Nothing follows the last event of the run that was left: its end is
         what is missing.  */
      f->nothing_follows = f->state.response_started;
      if (!f->nothing_follows || !mq_standby_resume (f, "nothing-follows"))
        mq_forward_send_ended (f, MQ_SEND_BROKEN, event->status, "no-event");
    }
  else
    forward_finish (f, event->status, (mq_span){ NULL, 0 });
}

static void
forward_on_call_end (mq_forward *forward, const mq_http_client_event *event)
{
  forward->tunnel_status = event->tunnel_status;
  forward->framing = event->framing;
  forward->fault = event->fault;
  switch (event->result)
    {
    case MQ_HTTP_OK:
      answer_note_headers (forward);
      forward_answered (forward, event);
      break;
    case MQ_HTTP_CONNECT_FAILED:
      mq_forward_send_ended (forward, MQ_SEND_NOT_SENT, 0, "no-connection");
      break;
    case MQ_HTTP_TIMEOUT:
      mq_forward_send_ended (forward, MQ_SEND_TIMED_OUT, event->status,
                             "timeout");
      break;
    case MQ_HTTP_BROKEN:
      if (event->too_large)
        ++*forward->gateway->counters.answers_too_large;
      mq_forward_send_ended (forward, MQ_SEND_BROKEN, event->status,
                             event->too_large ? "answer-too-large" : "broken");
      break;
    }
}

void
mq_forward_on_call (void *context, const mq_http_client_event *event)
{
  mq_forward *f = context;
  mq_http_client_event rest = *event;

  if (mq_standby_has_call (f, event->call))
    {
      if (!mq_standby_on_call (f, &rest))
        return;
      event = &rest;
    }
  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      mq_forward_note_received (f);
      if (mq_gateway_status_is_success (event->status)
          && f->route->kind == MQ_ROUTE_STREAM && !answer_is_signed (f))
        mq_forward_send_ended (f, MQ_SEND_BROKEN, event->status, "unsigned");
      break;
    case MQ_HTTP_CLIENT_DATA:
      stream_data (f, event);
      break;
    case MQ_HTTP_CLIENT_END:
      forward_on_call_end (f, event);
      break;
    }
}
