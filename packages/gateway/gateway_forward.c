/* The life cycle of a forwarded request: its start, deadline, ends of sends
   and final response.

   A forward exists from the complete request to the complete response, or
   until its client disconnects.  At most one send is in progress,
   beside a silent run that was left and may go on (gateway_standby.c).
   mq_forward_decide decides what follows the end of a send.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_close_check.h>
#include <mq/internal/gateway_detour.h>
#include <mq/internal/gateway_reach.h>
#include <mq/internal/gateway_standby.h>
#include <mq/internal/gateway_urgency.h>
#include <mq/internal/path_probe.h>
#include <mq/log.h>
#include <string.h>

/* Responses are sent this long before the client's time budget ends, to allow
   for the network and a late timer.  */
#define RESPONSE_RESERVE_MS 15

/* After this silence of a stream the head of its path is asked for a report,
   and the path is probed at the latest.  */
#define SILENCE_REPORT_US ((uint64_t)300 * 1000)
/* The same before the first event, which follows the prompt's prefill.  */
#define FIRST_EVENT_REPORT_US ((uint64_t)700 * 1000)
/* The path of a stream is not probed after a shorter silence.  */
#define MIN_PROBE_TIMEOUT_MS 50.0
/* A plain call that has received nothing for this long, and for its route's
   target latency, may have lost its connection.  */
#define MIN_CALL_SILENCE_US ((uint64_t)200 * 1000)
/* After this silence a stream moves to another path that has room, whatever
   the head reports.  Clients disconnect after 2 s of silence, and a new run
   needs time to its first event.  */
#define MAX_SILENCE_US ((uint64_t)1400 * 1000)

/* Silence after which a run that something speaks against may be left: longer
   than most gaps between two events.  */
#define MIN_SILENCE_US ((uint64_t)50 * 1000)

/* A request that has returned to a silent run stays there for this long, so
   that it doesn't leave for the same refusal at each tick.  */
#define STAY_US ((uint64_t)300 * 1000)

/* Reason of a send that ended only because it was silent for so long.  */
#define WHY_SILENT "silent"

/* Retry-After when upstreams replied that they did not run the request.  The
   full queue of a plain service has room again after a few calls.  */
#define NOT_RUN_RETRY_AFTER_MS 500

/* The try timeout of a repeatable call to a plain service, as a multiple of
   the route's target latency, and its minimum.  */
#define TRY_TIMEOUT_FACTOR 2
#define MIN_TRY_TIMEOUT_US ((uint64_t)200 * 1000)

void
mq_forward_drop_send (mq_forward *forward)
{
  mq_close_check_drop (forward);
  if (forward->call != NULL)
    mq_http_call_cancel (forward->call);
  forward->call = NULL;
  mq_http_exchange_set_upstream_bytes (forward->exchange, 0);
  forward->stalled_why = NULL;
  if (forward->detour != NULL)
    forward->detour->in_flight--;
  forward->detour = NULL;
  if (forward->upstream == NULL)
    return;
  forward->upstream->in_flight--;
  g_clear_pointer (&forward->upstream, mq_upstream_unref);
}

static void
forward_free (mq_forward *forward)
{
  mq_forward *f = forward;

  mq_forward_drop_send (f);
  mq_standby_drop (f);
  mq_forward_release_path (f);
  mq_gateway_urgency_note_end (f);
  mq_gateway_view_stop_waiting (f);
  g_queue_unlink (&f->gateway->forwards, &f->link);
  mq_http_exchange_set_user (f->exchange, NULL);
  mq_http_exchange_unref (f->exchange);
  mq_routing_unref (f->routing);
  g_ptr_array_unref (f->tried);
  g_ptr_array_unref (f->ran);
  mq_event_split_finish (&f->split);
  g_string_free (f->held, TRUE);
  g_free (f->parts);
  mq_log_buffer_finish (&f->log_buffer);
  g_free (f);
}

uint64_t
mq_forward_age_ms (const mq_forward *forward)
{
  return (mq_gateway_now_us () - forward->started_us) / 1000;
}

/* Returns true if the log of FORWARD must be written even when the log budget
   is short.  Only that of a request that succeeded at its first send within
   its route's latency targets, with a response that states where it ends, may
   be dropped.  */
static bool
forward_needs_log (const mq_forward *forward, const char *outcome)
{
  const mq_route *r = forward->route;
  uint64_t ms = r->kind == MQ_ROUTE_STREAM ? forward->first_event_ms
                                           : mq_forward_age_ms (forward);

  return strcmp (outcome, "answered") != 0 || forward->state.tries > 1
         || forward->fault != MQ_RESPONSE_SOUND
         || forward->framing == MQ_RESPONSE_TO_CLOSE || ms > r->target_ms
         || (r->gap_ms > 0 && forward->longest_gap_ms > r->gap_ms);
}

void
mq_forward_end (mq_forward *forward, const char *outcome, unsigned status,
                const char *why)
{
  mq_forward *f = forward;

  mq_log_buffer_append (
      &f->log_buffer, G_LOG_LEVEL_INFO, "request.end",
      "request=%.*s outcome=%s status=%u why=%s route=%s"
      " version=%" G_GUINT64_FORMAT
      " sends=%u events=%u first_ms=%u gap_ms=%u framing=%s fault=%s"
      " ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (f->id), outcome, status, why, mq_str_cstr (f->route->name),
      f->routing->version, f->state.tries, f->split.events, f->first_event_ms,
      f->longest_gap_ms, mq_response_framing_name (f->framing),
      mq_response_fault_name (f->fault), mq_forward_age_ms (f));
  if (strcmp (outcome, "answered") == 0)
    mq_gateway_drain_note_duration (f);
  mq_gateway_count_end (f->gateway, f->route, outcome, why,
                        mq_gateway_now_us () - f->started_us);
  mq_log_buffer_flush (&f->log_buffer, forward_needs_log (f, outcome),
                       mq_span_hash (f->id));
  forward_free (f);
}

/* How long the run of FORWARD has been silent.  Time during which this router
   did not run, or did not read as its client is slow, does not count.  */
static uint64_t
forward_silent_us (const mq_forward *forward, uint64_t now_us)
{
  uint64_t since = MAX (MAX (forward->received_us, forward->sent_us),
                        forward->gateway->awake_us);

  if (forward->call != NULL && mq_http_call_is_paused (forward->call))
    return 0;
  return now_us - since;
}

static void
forward_refuse (mq_forward *forward, unsigned status, unsigned retry_ms,
                const char *why)
{
  bool refused = status == MQ_STATUS_UNAVAILABLE;

  ++*(refused ? forward->gateway->counters.refused
              : forward->gateway->counters.failed);
  if (refused)
    mq_gateway_urgency_note_rejected (forward);
  /* Retry-After promises that the request did not run.  */
  if (refused)
    mq_gateway_reply_status (forward->exchange, status, retry_ms);
  else
    mq_gateway_reply_unknown (forward->exchange, status, why);
  mq_forward_end (forward, refused ? "refused" : "failed", status, why);
}

static void
forward_abort (mq_forward *forward, const char *why)
{
  ++*forward->gateway->counters.failed;
  mq_http_exchange_abort (forward->exchange);
  mq_forward_end (forward, "aborted", 0, why);
}

/* ---- Ends of sends.  */

/* No upstream took the connection of the current send of FORWARD, or no router
   opened a tunnel for it.  */
static void
forward_note_unsent (mq_forward *forward, uint64_t now_us)
{
  bool refused = forward->detour != NULL
                     ? forward->tunnel_status == MQ_TUNNEL_UNREACHABLE
                     : now_us - forward->sent_us < MQ_CONNECT_REFUSED_US;

  if (forward->detour != NULL
      && !mq_gateway_tunnel_blames_upstream (forward->tunnel_status))
    mq_detour_failed (forward->detour, now_us);
  else if (refused)
    mq_upstream_unreachable (forward->upstream, now_us);
  else
    mq_upstream_failed (forward->upstream, now_us);
}

/* The current send of FORWARD failed as END: hold that against its upstream or
   its detour.  */
static void
forward_note_fault_of (mq_forward *forward, mq_send_end end, uint64_t now_us)
{
  switch (end)
    {
    case MQ_SEND_NOT_SENT:
      forward_note_unsent (forward, now_us);
      break;
    case MQ_SEND_BROKEN:
      mq_crash_note_broken_run (forward, forward->upstream, now_us);
      if (forward->detour != NULL)
        {
          mq_detour_failed (forward->detour, now_us);
          break;
        }
      /* Fall through.  */
    case MQ_SEND_TIMED_OUT:
      /* Any engine of a path may be at fault; the head's report names it
         (gateway_stall.c).  */
      if (forward->path.n <= 1)
        mq_upstream_failed (forward->upstream, now_us);
      break;
    case MQ_SEND_REPLIED:
    case MQ_SEND_NOT_RUN:
      break;
    }
}

static void
forward_note_failure (mq_forward *forward, mq_send_end end, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;

  if (forward->upstream == NULL || end == MQ_SEND_REPLIED
      || end == MQ_SEND_NOT_RUN)
    return;
  if (forward->detour == NULL)
    {
      if (mq_gateway_has_detour (g, forward->upstream, now_us))
        return;
      if (end == MQ_SEND_TIMED_OUT)
        mq_gateway_reach_note_silence (g, forward->upstream);
      else
        mq_gateway_reach_suspect (g, forward->upstream);
    }
  forward_note_fault_of (forward, end, now_us);
}

/* Log the elements of FORWARD if its run, which ended as END, may have failed
   because of one of them.  */
static void
forward_log_elements (mq_forward *forward, mq_send_end end)
{
  mq_element_set parts = mq_forward_parts (forward);
  GString *text;
  char element[MQ_ELEMENT_TEXT_SIZE];

  if (end != MQ_SEND_BROKEN && end != MQ_SEND_TIMED_OUT)
    return;
  text = g_string_new (NULL);
  for (size_t i = 0; i < parts.n; i++)
    g_string_append_printf (
        text, "%s%s", i > 0 ? "," : "",
        strchr (mq_element_format (parts.ids[i], element), '=') + 1);
  mq_log_buffer_append (
      &forward->log_buffer, G_LOG_LEVEL_INFO, "request.run-lost",
      "request=%.*s upstream=%s %s prompt_parts=%s", MQ_SPAN_ARG (forward->id),
      forward->upstream ? mq_str_cstr (forward->upstream->facts.id) : "none",
      mq_element_format (mq_forward_content (forward), element),
      parts.n > 0 ? text->str : "none");
  g_string_free (text, TRUE);
}

/* Take the current send's upstream off the list of those that ran FORWARD: the
   send is known not to have run.  */
static void
forward_uncount_upstream (mq_forward *forward)
{
  if (forward->added_to_ran)
    g_ptr_array_set_size (forward->ran, (gint)forward->ran->len - 1);
  forward->added_to_ran = false;
}

/* Count the upstreams that ran FORWARD towards its route's limit.  One that
   has crashed or shut down since does not count.  Absence from the platform's
   list alone does not exempt an upstream, as it may still serve for a while.
 */
static void
forward_count_upstreams (mq_forward *forward)
{
  forward->state.sent = 0;
  for (guint i = 0; i < forward->ran->len; i++)
    {
      const mq_upstream *u = g_ptr_array_index (forward->ran, i);

      if (u->listed || !u->crashed)
        forward->state.sent++;
    }
}

/* FORWARD can't be sent elsewhere, because of WHY: return to the silent run
   that it left, if that may still go on.  */
static bool
forward_return (mq_forward *forward, const char *why)
{
  if (!mq_standby_resume (forward, "retry-failed"))
    return false;
  forward->stalled_why = why;
  forward->stay_until_us = mq_gateway_now_us () + STAY_US;
  return true;
}

void
mq_forward_send_ended (mq_forward *forward, mq_send_end end, unsigned status,
                       const char *why)
{
  mq_forward *f = forward;
  uint64_t now = mq_gateway_now_us ();
  mq_forward_verdict v;
  bool budget;
  bool open = f->call != NULL && mq_http_call_is_open (f->call)
              && mq_http_call_maybe_sent (f->call);

  f->state.now_us = now;
  switch (end)
    {
    case MQ_SEND_NOT_SENT:
      forward_uncount_upstream (f);
      f->state.arrived--;
      break;
    case MQ_SEND_NOT_RUN:
      forward_uncount_upstream (f);
      break;
    case MQ_SEND_REPLIED:
    case MQ_SEND_BROKEN:
    case MQ_SEND_TIMED_OUT:
      f->state.may_have_run = true;
      break;
    }
  forward_count_upstreams (f);
  forward_note_failure (f, end, now);
  f->lost_end = end;
  f->lost_us = now;
  f->unsent_tries = end == MQ_SEND_NOT_SENT ? f->unsent_tries + 1 : 0;
  f->run_timed_out |= end == MQ_SEND_TIMED_OUT;
  /* It may wait for budget (mq_forward_send).  */
  budget = f->state.response_started || mq_forward_may_wait_for_budget (f, now)
           || mq_forward_is_in_budget (f, now);
  v = mq_forward_decide (&f->state, end, status, budget);
  mq_log_buffer_append (
      &f->log_buffer, G_LOG_LEVEL_INFO, "request.send-ended",
      "request=%.*s upstream=%s via=%s tunnel_status=%u end=%d status=%u"
      " why=%s open=%d bytes=%" G_GUINT64_FORMAT
      " framing=%s fault=%s verdict=%d limit=%s"
      " events=%u silent_ms=%" G_GUINT64_FORMAT " ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (f->id),
      f->upstream ? mq_str_cstr (f->upstream->facts.id) : "none",
      f->detour ? mq_str_cstr (f->detour->address) : "none", f->tunnel_status,
      end, status, why, open, f->call ? mq_http_call_received (f->call) : 0,
      mq_response_framing_name (f->framing), mq_response_fault_name (f->fault),
      v.verb,
      mq_forward_limit_name (mq_forward_limit_of (&f->state, end, budget)),
      f->split.events, forward_silent_us (f, now) / 1000,
      mq_forward_age_ms (f));
  forward_log_elements (f, end);
  if (open)
    mq_gateway_count_left_run (f->gateway, why);
  /* A run that is broken, or whose response can't serve, is given up.  */
  if (open && v.verb == MQ_FORWARD_RETRY && end == MQ_SEND_TIMED_OUT
      && (mq_http_call_head (f->call).size == 0
          || mq_gateway_response_may_serve (f, f->call)))
    mq_standby_park (f, strcmp (why, WHY_SILENT) == 0);
  mq_forward_drop_send (f);
  mq_forward_release_path (f);
  mq_event_split_restart (&f->split);
  g_string_truncate (f->held, 0);
  if (v.verb != MQ_FORWARD_RETRY && forward_return (f, why))
    return;
  switch (v.verb)
    {
    case MQ_FORWARD_RETRY:
      mq_forward_send (f, now);
      break;
    case MQ_FORWARD_ABORT:
      forward_abort (f, why);
      break;
    case MQ_FORWARD_DELIVER:
      /* Complete responses were forwarded before this call; this one can't be
         forwarded.  */
      forward_refuse (f, MQ_STATUS_BAD_GATEWAY, 0, why);
      break;
    case MQ_FORWARD_REJECT:
      forward_refuse (f, v.status, NOT_RUN_RETRY_AFTER_MS, why);
      break;
    }
}

/* ---- Deadlines and silence.  */

/* The deadline of FORWARD has passed.  */
static void
forward_give_up (mq_forward *forward)
{
  const char *why = forward->stopped ? "drain-ended" : "deadline";
  mq_forward_verdict v;

  if (forward->call != NULL && mq_http_call_maybe_sent (forward->call))
    forward->state.may_have_run = true;
  mq_gateway_drain_note_duration (forward);
  v = mq_forward_give_up (&forward->state, true);
  if (v.verb == MQ_FORWARD_ABORT)
    forward_abort (forward, why);
  else
    forward_refuse (forward, v.status,
                    forward->stopped ? MQ_DRAIN_RETRY_AFTER_MS : 0, why);
}

/* Returns true if the current send has received any bytes.  */
static bool
forward_has_received (const mq_forward *forward)
{
  return forward->received_us > forward->sent_us;
}

/* Silence after which the head of FORWARD's path is asked for a report.  */
static uint64_t
forward_report_delay_us (const mq_forward *forward)
{
  return forward_has_received (forward) ? SILENCE_REPORT_US
                                        : FIRST_EVENT_REPORT_US;
}

/* Silence after which the path of FORWARD, which must have one, is probed.  */
static uint64_t
forward_probe_delay_us (const mq_forward *forward)
{
  const mq_latency_estimate *e = forward_has_received (forward)
                                     ? &forward->path_load->event_gap
                                     : &forward->path_load->first_event;

  return (uint64_t)(mq_latency_estimate_timeout_ms (
                        e, MIN_PROBE_TIMEOUT_MS,
                        (double)forward_report_delay_us (forward) / 1000)
                    * 1000);
}

/* Returns true if the way of the current send of FORWARD is lost: this router
   no longer reaches the service, or another one through which it went does
   not.  Open connections may live on, so that only silence tells.  */
static bool
forward_way_is_lost (const mq_forward *forward, uint64_t now_us)
{
  const mq_gateway *g = forward->gateway;

  if (forward->upstream == NULL
      || forward_silent_us (forward, now_us)
             < forward_report_delay_us (forward))
    return false;
  return forward->detour != NULL
             ? mq_gateway_detour_is_lost (g, forward->detour,
                                          forward->upstream, now_us)
             : mq_gateway_has_detour (g, forward->upstream, now_us);
}

/* Returns true if something speaks against the run of FORWARD and it is
   silent.  */
static bool
forward_may_leave (const mq_forward *forward, uint64_t now_us)
{
  return forward->stalled_why != NULL && forward->call != NULL
         && mq_http_call_maybe_sent (forward->call)
         && forward_silent_us (forward, now_us) >= MIN_SILENCE_US;
}

static void
forward_tick_stream (mq_forward *forward, uint64_t now_us)
{
  uint64_t silent = forward_silent_us (forward, now_us);

  if (forward_may_leave (forward, now_us)
      && mq_forward_can_leave (forward, now_us))
    {
      mq_forward_send_ended (forward, MQ_SEND_TIMED_OUT, 0,
                             forward->stalled_why);
      return;
    }
  forward->waits_for_budget
      = forward->stalled_why != NULL && mq_forward_may_repeat (&forward->state)
        && !mq_gateway_has_budget (forward->gateway, forward->service, now_us);
  if (forward_way_is_lost (forward, now_us)
      && mq_forward_can_retry (forward, now_us))
    {
      mq_forward_send_ended (forward, MQ_SEND_TIMED_OUT, 0, "way-lost");
      return;
    }
  if (silent > MAX_SILENCE_US && !forward->nothing_follows
      && mq_forward_can_move (forward, now_us))
    {
      mq_forward_send_ended (forward, MQ_SEND_TIMED_OUT, 0, WHY_SILENT);
      return;
    }
  if (silent > forward_report_delay_us (forward) && forward->upstream != NULL)
    mq_stall_request_report (forward->gateway, forward->upstream);
}

void
mq_forward_check_silence (mq_forward *forward, uint64_t now_us)
{
  if (forward->call == NULL || forward->detour != NULL)
    return;
  if (forward->path_load == NULL)
    {
      if (forward_silent_us (forward, now_us) > MAX (
              (uint64_t)forward->route->target_ms * 1000, MIN_CALL_SILENCE_US))
        mq_gateway_reach_note_silence (forward->gateway, forward->upstream);
    }
  else if (forward_silent_us (forward, now_us)
           > forward_probe_delay_us (forward))
    mq_path_probe_start (forward->gateway, &forward->path);
}

static void
forward_tick_call (mq_forward *forward, uint64_t now_us)
{
  uint64_t try_timeout_us
      = MAX ((uint64_t)forward->route->target_ms * 1000 * TRY_TIMEOUT_FACTOR,
             MIN_TRY_TIMEOUT_US);

  bool lost;

  if (!mq_forward_may_repeat (&forward->state)
      || forward->state.sent >= forward->state.attempts)
    return;
  lost = forward_way_is_lost (forward, now_us)
         && mq_forward_can_retry (forward, now_us);
  if (lost
      || (now_us - MAX (forward->sent_us, forward->gateway->awake_us)
              >= try_timeout_us
          && mq_forward_can_leave (forward, now_us)))
    mq_forward_send_ended (forward, MQ_SEND_TIMED_OUT, 0,
                           lost ? "way-lost" : "slow");
}

void
mq_forward_tick (mq_forward *forward, uint64_t now_us)
{
  if (now_us >= forward->state.deadline_us)
    {
      forward_give_up (forward);
      return;
    }
  if (forward->close_check != NULL)
    return;
  if (forward->call == NULL)
    {
      mq_forward_send (forward, now_us);
      return;
    }
  if (forward->route->kind == MQ_ROUTE_STREAM)
    forward_tick_stream (forward, now_us);
  else
    forward_tick_call (forward, now_us);
}

/* Returns true if the current send of FORWARD passes through the upstream at
   ADDRESS.  */
static bool
forward_passes_through (const mq_forward *forward, mq_span address)
{
  if (forward->call == NULL)
    return false;
  for (unsigned i = 0; i < forward->path.n; i++)
    if (mq_span_equal (
            mq_str_span (forward->path.stages[i].upstream->facts.address),
            address))
      return true;
  return mq_span_equal (mq_str_span (forward->upstream->facts.address),
                        address);
}

void
mq_forward_note_received (mq_forward *forward)
{
  forward->received_us = mq_gateway_now_us ();
  if (forward->stalled_why == NULL)
    return;
  forward->stalled_why = NULL;
  forward->waits_for_budget = false;
}

void
mq_forward_note_drained (mq_forward *forward)
{
  if (forward->call == NULL || !mq_http_call_is_paused (forward->call))
    return;
  forward->received_us = mq_gateway_now_us ();
  mq_http_call_pause (forward->call, false);
  mq_http_exchange_set_upstream_bytes (forward->exchange, 0);
}

void
mq_forward_leave_all_through (mq_gateway *gateway, mq_span address,
                              const char *why)
{
  mq_upstream *u = mq_registry_find_address (&gateway->registry, address);
  uint64_t now = mq_gateway_now_us ();
  GPtrArray *list = g_ptr_array_new ();

  for (GList *l = gateway->forwards.head; l != NULL; l = l->next)
    if (forward_passes_through (l->data, address))
      g_ptr_array_add (list, l->data);
  /* Each may use up the last of the retry budget.  The end of a send frees no
     other forward than its own.  */
  mq_gateway_urgency_sort (list);
  for (guint i = 0; i < list->len; i++)
    {
      mq_forward *f = g_ptr_array_index (list, i);

      /* Only once: a later break would refute the earlier one.  */
      if (f->stalled_why == NULL)
        mq_crash_note_broken_run (f, u, now);
      f->stalled_why = why;
      if (!mq_forward_may_repeat (&f->state))
        continue;
      if (forward_may_leave (f, now) && mq_forward_can_leave (f, now))
        mq_forward_send_ended (f, MQ_SEND_TIMED_OUT, 0, why);
    }
  g_ptr_array_unref (list);
}

/* Returns true if the current send of FORWARD is a direct one that has no
   connection yet.  */
static bool
forward_is_connecting (const mq_forward *forward)
{
  return forward->call != NULL && forward->detour == NULL
         && !mq_http_call_maybe_sent (forward->call);
}

void
mq_forward_note_reach (mq_gateway *gateway, const mq_str *service)
{
  uint64_t now = mq_gateway_now_us ();
  GPtrArray *list = g_ptr_array_new ();

  for (GList *l = gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;

      if (mq_span_equal (mq_str_span (f->service->name), mq_str_span (service))
          && (f->awaits_reach
              || (forward_is_connecting (f)
                  && mq_gateway_has_detour (gateway, f->upstream, now))))
        g_ptr_array_add (list, l->data);
    }
  /* The end of a send frees no other forward than its own.  */
  mq_gateway_urgency_sort (list);
  for (guint i = 0; i < list->len; i++)
    {
      mq_forward *f = g_ptr_array_index (list, i);

      if (f->awaits_reach)
        {
          mq_forward_send (f, now);
          continue;
        }
      f->state.tries--;
      mq_forward_send_ended (f, MQ_SEND_NOT_SENT, 0, "isolated");
    }
  g_ptr_array_unref (list);
}

/* ---- Start and end.  */

static uint64_t
request_header_number (mq_http_exchange *exchange, const char *name,
                       uint64_t fallback)
{
  uint64_t n;

  return mq_span_to_u64 (mq_http_exchange_header (exchange, name), &n) == 0
             ? n
             : fallback;
}

/* Estimate FORWARD's tokens from its headers, or else from the model's usual
   counts.  */
static void
forward_set_need (mq_forward *forward)
{
  const mq_dialect_headers *h = &forward->gateway->dialect->headers;
  const mq_layered_model *m = &forward->service->model;
  mq_span counts
      = mq_http_exchange_header (forward->exchange, h->token_counts);
  const char *comma
      = counts.size > 0 ? memchr (counts.data, ',', counts.size) : NULL;
  uint64_t prompt = m->mean_prompt_tokens;
  uint64_t max_answer = 0;

  if (comma != NULL)
    {
      size_t n = (size_t)(comma - counts.data);

      (void)mq_span_to_u64 ((mq_span){ counts.data, n }, &prompt);
      (void)mq_span_to_u64 ((mq_span){ comma + 1, counts.size - n - 1 },
                            &max_answer);
    }
  forward->prompt_tokens = (double)prompt;
  forward->need_tokens = mq_domain_expected_tokens (
      (unsigned)prompt, (unsigned)max_answer,
      (unsigned)request_header_number (forward->exchange, h->answer_estimate,
                                       0),
      m->mean_answer_tokens);
}

static void
forward_init_state (mq_forward *forward, uint64_t arrived_us)
{
  mq_forward *f = forward;
  uint64_t left = request_header_number (
      f->exchange, f->gateway->dialect->headers.time_left_ms, 0);
  uint64_t ms = f->route->timeout_ms;

  if (left > 0)
    ms = MIN (ms, left > RESPONSE_RESERVE_MS ? left - RESPONSE_RESERVE_MS : 1);
  f->state = (mq_forward_state){ .kind = f->route->kind,
                                 .resumable = f->route->resumable,
                                 .attempts = f->route->attempts,
                                 .now_us = arrived_us,
                                 .deadline_us = arrived_us + ms * 1000 };
  f->limit_us = f->state.deadline_us;
  mq_gateway_drain_limit (f);
}

void
mq_forward_start (mq_gateway *gateway, mq_http_exchange *exchange,
                  const mq_route *route,
                  const mq_route_organisation *organisation,
                  uint64_t arrived_us)
{
  uint64_t now = mq_gateway_now_us ();
  mq_forward *f = g_new0 (mq_forward, 1);
  const mq_dialect_headers *h = &gateway->dialect->headers;

  f->gateway = gateway;
  f->link.data = f;
  f->level = MQ_URGENCY_NONE;
  f->exchange = mq_http_exchange_ref (exchange);
  f->routing = mq_routing_ref (gateway->routing);
  f->route = route;
  f->organisation = organisation;
  f->service = mq_routing_choose_service (f->routing, route,
                                          mq_gateway_random (gateway));
  f->started_us = arrived_us;
  f->received_us = now;
  f->id = mq_http_exchange_header (exchange, h->request_id);
  f->tried
      = g_ptr_array_new_with_free_func ((GDestroyNotify)mq_upstream_unref);
  f->ran = g_ptr_array_new_with_free_func ((GDestroyNotify)mq_upstream_unref);
  f->held = g_string_new (NULL);
  mq_log_buffer_init (&f->log_buffer);
  mq_event_split_init (&f->split,
                       request_header_number (exchange, h->last_event_id, 0));
  forward_init_state (f, arrived_us);
  g_queue_push_tail_link (&gateway->forwards, &f->link);
  mq_http_exchange_set_user (exchange, f);
  if (f->service == NULL)
    {
      forward_refuse (f, MQ_STATUS_UNAVAILABLE, NOT_RUN_RETRY_AFTER_MS,
                      "no-service");
      return;
    }
  if (now >= f->state.deadline_us)
    {
      forward_give_up (f);
      return;
    }
  if (!mq_gateway_drain_takes (f, now))
    {
      forward_refuse (f, MQ_STATUS_UNAVAILABLE, MQ_DRAIN_RETRY_AFTER_MS,
                      "draining");
      return;
    }
  forward_set_need (f);
  mq_gateway_urgency_note_request (f, now);
  mq_send_budget_note_request (
      &mq_gateway_service_state (gateway, f->service)->budget,
      mq_cluster_count_alive (&gateway->cluster, now) + 1, now);
  mq_forward_send (f, now);
}

void
mq_forward_reject (mq_forward *forward, unsigned retry_ms, const char *why)
{
  mq_forward_verdict v
      = mq_forward_give_up (&forward->state, forward->run_timed_out);

  if (forward_return (forward, why))
    return;
  mq_gateway_view_note_rejected (forward);
  if (v.verb == MQ_FORWARD_ABORT)
    forward_abort (forward, why);
  else
    forward_refuse (forward, v.status, retry_ms, why);
}

void
mq_forward_cancel (mq_forward *forward)
{
  ++*forward->gateway->counters.disconnected;
  mq_forward_end (forward, "gone", 0, "client-left");
}

void
mq_forward_free_all (mq_gateway *gateway)
{
  mq_forward *f;

  while ((f = g_queue_peek_head (&gateway->forwards)) != NULL)
    forward_abort (f, "stopped");
}
