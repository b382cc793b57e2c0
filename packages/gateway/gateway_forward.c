/* One request on its way: sends, answers, deadlines.

   A forward lives from the whole request to the whole answer, or until its
   client is gone.  At most one send is under way.  What becomes of a send
   that ended is for the rule to say (mq/forward_rule.h).  */

#include <mq/internal/gateway.h>

#include <mq/internal/path_probe.h>
#include <mq/log.h>
#include <string.h>

/* Answers leave so long before the client's patience ends, for the way back
   to the client and a late timer.  */
#define WAY_BACK_MS 15

/* The head of a stream that is silent for so long is asked for a report, and
   its path is probed by then at the latest.  */
#define SILENT_ASK_US ((uint64_t)300 * 1000)
/* The same before the first event, which comes after the prompt's prefill.  */
#define FIRST_ASK_US ((uint64_t)700 * 1000)
/* The path of a stream is probed no sooner.  */
#define MIN_PROBE_MS 50.0
/* Silent for so long, whatever the head says, a stream moves if there is room
   elsewhere: clients leave after 2 s, and a new run takes a while.  */
#define MAX_SILENT_US ((uint64_t)1400 * 1000)

/* A connection that fails within this was refused, by a machine that is there:
   nothing listens.  Lost packets show later.  */
#define REFUSED_WITHIN_US ((uint64_t)100 * 1000)

/* Retry-After when upstreams said that they did not run it: a full queue of a
   plain service empties within a few calls.  */
#define NOT_RUN_RETRY_MS 500

/* A repeatable plain call is given up for another upstream after so many
   times the latency for full credit, but not before the least.  */
#define TRY_TIMEOUT_FACTOR 2
#define MIN_TRY_TIMEOUT_US ((uint64_t)200 * 1000)

static void
forward_drop_send (mq_forward *forward)
{
  if (forward->call != NULL)
    mq_http_call_cancel (forward->call);
  forward->call = NULL;
  if (forward->upstream == NULL)
    return;
  forward->upstream->in_flight--;
  g_clear_pointer (&forward->upstream, mq_upstream_unref);
}

static void
forward_free (mq_forward *forward)
{
  mq_forward *f = forward;

  forward_drop_send (f);
  mq_forward_unplace (f);
  g_queue_unlink (&f->gateway->forwards, &f->link);
  mq_http_exchange_set_user (f->exchange, NULL);
  mq_http_exchange_unref (f->exchange);
  mq_routing_unref (f->routing);
  g_ptr_array_unref (f->tried);
  g_ptr_array_unref (f->ran);
  mq_event_split_finish (&f->split);
  g_string_free (f->failure, TRUE);
  mq_log_buffer_finish (&f->story);
  g_free (f);
}

uint64_t
mq_forward_age_ms (const mq_forward *forward)
{
  return (mq_gateway_now_us () - forward->started_us) / 1000;
}

/* Must FORWARD's story be kept whole?  Only that of a request that went well
   at the first send may be left out.  */
static bool
forward_is_told (const mq_forward *forward, const char *outcome)
{
  const mq_route *r = forward->route;
  uint64_t ms = r->kind == MQ_ROUTE_STREAM ? forward->first_event_ms
                                           : mq_forward_age_ms (forward);

  return strcmp (outcome, "answered") != 0 || forward->state.tries > 1
         || ms > r->target_ms
         || (r->gap_ms > 0 && forward->longest_gap_ms > r->gap_ms);
}

void
mq_forward_end (mq_forward *forward, const char *outcome, unsigned status,
                const char *why)
{
  mq_forward *f = forward;

  mq_log_buffer_append (
      &f->story, G_LOG_LEVEL_INFO, "request.end",
      "request=%.*s outcome=%s status=%u why=%s route=%s"
      " version=%" G_GUINT64_FORMAT
      " sends=%u events=%u first_ms=%u gap_ms=%u ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (f->id), outcome, status, why, mq_str_cstr (f->route->name),
      f->routing->version, f->state.tries, f->split.events, f->first_event_ms,
      f->longest_gap_ms, mq_forward_age_ms (f));
  mq_gateway_count_end (f->gateway, f->route, outcome, why,
                        mq_gateway_now_us () - f->started_us);
  mq_log_buffer_flush (&f->story, forward_is_told (f, outcome),
                       mq_span_hash (f->id));
  forward_free (f);
}

static uint64_t
forward_silent_us (const mq_forward *forward, uint64_t now_us)
{
  return now_us - MAX (forward->received_us, forward->sent_us);
}

static void
forward_refuse (mq_forward *forward, unsigned status, unsigned retry_ms,
                const char *why)
{
  bool refused = status == MQ_STATUS_UNAVAILABLE;

  ++*(refused ? forward->gateway->counters.refused
              : forward->gateway->counters.failed);
  /* Only a promise that it did not run has Retry-After.  */
  mq_gateway_refuse (forward->exchange, status, refused ? retry_ms : 0);
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

static void
forward_note_failure (mq_forward *forward, mq_send_end end, uint64_t now_us)
{
  if (forward->upstream == NULL)
    return;
  switch (end)
    {
    case MQ_SEND_NOT_SENT:
      if (now_us - forward->sent_us < REFUSED_WITHIN_US)
        mq_upstream_unreachable (forward->upstream, now_us);
      else
        mq_upstream_failed (forward->upstream, now_us);
      break;
    case MQ_SEND_BROKEN:
      mq_crash_run_broke (forward, forward->upstream, now_us);
      /* Fall through.  */
    case MQ_SEND_TIMED_OUT:
      /* On a path the fault may lie with any of its engines; the head's
         report tells (gateway_stall.c).  */
      if (forward->path.n <= 1)
        mq_upstream_failed (forward->upstream, now_us);
      break;
    case MQ_SEND_REPLIED:
    case MQ_SEND_NOT_RUN:
      break;
    }
}

/* The content of FORWARD for the log, when its run broke off as END; 0 when
   that tells nothing.  */
static uint64_t
forward_logged_content (mq_forward *forward, mq_send_end end)
{
  return end == MQ_SEND_BROKEN || end == MQ_SEND_TIMED_OUT
             ? mq_forward_content (forward)
             : 0;
}

/* The last send is known not to have run.  */
static void
forward_uncount_upstream (mq_forward *forward)
{
  if (forward->ran_anew)
    g_ptr_array_set_size (forward->ran, (gint)forward->ran->len - 1);
  forward->ran_anew = false;
}

/* Count the upstreams that ran FORWARD; one that has ended meanwhile takes no
   part in what a route allows.  That it is off the platform's list is not
   enough: some serve on for a while that have not said that they leave.  */
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

void
mq_forward_send_ended (mq_forward *forward, mq_send_end end, unsigned status,
                       const char *why)
{
  mq_forward *f = forward;
  uint64_t now = mq_gateway_now_us ();
  mq_forward_verdict v;
  bool budget;

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
  /* A stream that has begun waits for budget as it does for room.  */
  budget = f->state.response_started
           || mq_gateway_has_budget (f->gateway, f->service, now);
  v = mq_forward_decide (&f->state, end, status, budget);
  mq_log_buffer_append (
      &f->story, G_LOG_LEVEL_INFO, "request.send-ended",
      "request=%.*s upstream=%s end=%d status=%u why=%s verdict=%d limit=%s"
      " events=%u content=%016" G_GINT64_MODIFIER
      "x silent_ms=%" G_GUINT64_FORMAT " ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (f->id),
      f->upstream ? mq_str_cstr (f->upstream->facts.id) : "none", end, status,
      why, v.verb,
      mq_forward_limit_name (mq_forward_limit_of (&f->state, end, budget)),
      f->split.events, forward_logged_content (f, end),
      forward_silent_us (f, now) / 1000, mq_forward_age_ms (f));
  forward_drop_send (f);
  mq_forward_unplace (f);
  mq_event_split_restart (&f->split);
  g_string_truncate (f->failure, 0);
  switch (v.verb)
    {
    case MQ_FORWARD_RETRY:
      mq_forward_send (f, now);
      break;
    case MQ_FORWARD_ABORT:
      forward_abort (f, why);
      break;
    case MQ_FORWARD_DELIVER:
      /* Only a whole reply is passed, and that is done above.  */
      forward_refuse (f, MQ_STATUS_BAD_GATEWAY, 0, why);
      break;
    case MQ_FORWARD_REJECT:
      forward_refuse (f, v.status, NOT_RUN_RETRY_MS, why);
      break;
    }
}

/* ---- Time.  */

static void
forward_give_up (mq_forward *forward, bool silent, const char *why)
{
  mq_forward_verdict v;

  if (forward->call != NULL && mq_http_call_maybe_sent (forward->call))
    forward->state.may_have_run = true;
  v = mq_forward_give_up (&forward->state, silent);
  if (v.verb == MQ_FORWARD_ABORT)
    forward_abort (forward, why);
  else
    forward_refuse (forward, v.status, 0, why);
}

/* Has the send under way been heard?  */
static bool
forward_is_heard (const mq_forward *forward)
{
  return forward->received_us > forward->sent_us;
}

/* After how long a silence the head of FORWARD's path is asked.  */
static uint64_t
forward_ask_us (const mq_forward *forward)
{
  return forward_is_heard (forward) ? SILENT_ASK_US : FIRST_ASK_US;
}

/* After how long a silence the path of FORWARD, which is placed on one, is
   probed.  */
static uint64_t
forward_probe_us (const mq_forward *forward)
{
  const mq_latency_estimate *e = forward_is_heard (forward)
                                     ? &forward->path_load->event_gap
                                     : &forward->path_load->first_event;

  return (
      uint64_t)(mq_latency_estimate_timeout_ms (
                    e, MIN_PROBE_MS, (double)forward_ask_us (forward) / 1000)
                * 1000);
}

static void
forward_tick_stream (mq_forward *forward, uint64_t now_us)
{
  uint64_t silent = forward_silent_us (forward, now_us);

  if (silent > MAX_SILENT_US && mq_forward_can_move (forward, now_us))
    {
      mq_forward_send_ended (forward, MQ_SEND_TIMED_OUT, 0, "silent");
      return;
    }
  if (silent > forward_ask_us (forward) && forward->upstream != NULL)
    mq_stall_ask_head (forward->gateway, forward->upstream);
}

void
mq_forward_check_silence (mq_forward *forward, uint64_t now_us)
{
  if (forward->call != NULL && forward->path_load != NULL
      && forward_silent_us (forward, now_us) > forward_probe_us (forward))
    mq_path_probe_start (forward->gateway, &forward->path);
}

static void
forward_tick_call (mq_forward *forward, uint64_t now_us)
{
  uint64_t patience
      = MAX ((uint64_t)forward->route->target_ms * 1000 * TRY_TIMEOUT_FACTOR,
             MIN_TRY_TIMEOUT_US);

  if (now_us - forward->sent_us < patience
      || !mq_forward_may_repeat (&forward->state)
      || forward->state.sent >= forward->state.attempts)
    return;
  mq_forward_send_ended (forward, MQ_SEND_TIMED_OUT, 0, "slow");
}

void
mq_forward_tick (mq_forward *forward, uint64_t now_us)
{
  if (now_us >= forward->state.deadline_us)
    {
      forward_give_up (forward, true, "deadline");
      return;
    }
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

/* Does FORWARD's send pass through the upstream at ADDRESS?  */
static bool
forward_passes (const mq_forward *forward, mq_span address)
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
mq_forward_fail_all_through (mq_gateway *gateway, mq_span address,
                             const char *why)
{
  mq_upstream *u = mq_registry_find_address (&gateway->registry, address);
  GList *next;

  if (u != NULL)
    u->crashed = true;
  for (GList *l = gateway->forwards.head; l != NULL; l = next)
    {
      mq_forward *f = l->data;

      next = l->next;
      if (!forward_passes (f, address))
        continue;
      mq_crash_run_broke (f, u, mq_gateway_now_us ());
      mq_forward_send_ended (f, MQ_SEND_TIMED_OUT, 0, why);
    }
}

/* ---- Begin and end.  */

static uint64_t
request_number (mq_http_exchange *exchange, const char *name,
                uint64_t fallback)
{
  uint64_t n;

  return mq_span_to_u64 (mq_http_exchange_header (exchange, name), &n) == 0
             ? n
             : fallback;
}

/* Note the tokens of FORWARD's prompt, and those that it will hold.  */
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
  uint64_t most = 0;

  if (comma != NULL)
    {
      size_t n = (size_t)(comma - counts.data);

      (void)mq_span_to_u64 ((mq_span){ counts.data, n }, &prompt);
      (void)mq_span_to_u64 ((mq_span){ comma + 1, counts.size - n - 1 },
                            &most);
    }
  forward->prompt = (double)prompt;
  forward->need = mq_domain_expected_tokens (
      (unsigned)prompt, (unsigned)most,
      (unsigned)request_number (forward->exchange, h->answer_estimate, 0),
      m->mean_answer_tokens);
}

static void
forward_init_state (mq_forward *forward, uint64_t arrived_us)
{
  mq_forward *f = forward;
  uint64_t left = request_number (
      f->exchange, f->gateway->dialect->headers.time_left_ms, 0);
  uint64_t ms = f->route->timeout_ms;

  if (left > 0)
    ms = MIN (ms, left > WAY_BACK_MS ? left - WAY_BACK_MS : 1);
  f->state = (mq_forward_state){ .kind = f->route->kind,
                                 .resumable = f->route->resumable,
                                 .attempts = f->route->attempts,
                                 .now_us = arrived_us,
                                 .deadline_us = arrived_us + ms * 1000 };
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
  f->failure = g_string_new (NULL);
  mq_log_buffer_init (&f->story);
  mq_event_split_init (&f->split,
                       request_number (exchange, h->last_event_id, 0));
  forward_init_state (f, arrived_us);
  g_queue_push_tail_link (&gateway->forwards, &f->link);
  mq_http_exchange_set_user (exchange, f);
  if (f->service == NULL)
    {
      forward_refuse (f, MQ_STATUS_UNAVAILABLE, NOT_RUN_RETRY_MS,
                      "no-service");
      return;
    }
  if (now >= f->state.deadline_us)
    {
      forward_give_up (f, true, "deadline");
      return;
    }
  forward_set_need (f);
  mq_send_budget_request (&mq_gateway_service (gateway, f->service)->budget,
                          mq_cluster_count_alive (&gateway->cluster, now) + 1,
                          now);
  mq_forward_send (f, now);
}

void
mq_forward_reject (mq_forward *forward, unsigned retry_ms, const char *why)
{
  mq_forward_verdict v = mq_forward_give_up (&forward->state, false);

  if (v.verb == MQ_FORWARD_ABORT)
    forward_abort (forward, why);
  else
    forward_refuse (forward, v.status, retry_ms, why);
}

void
mq_forward_cancel (mq_forward *forward)
{
  ++*forward->gateway->counters.gone;
  mq_forward_end (forward, "gone", 0, "client-left");
}

void
mq_forward_free_all (mq_gateway *gateway)
{
  mq_forward *f;

  while ((f = g_queue_peek_head (&gateway->forwards)) != NULL)
    forward_free (f);
}
