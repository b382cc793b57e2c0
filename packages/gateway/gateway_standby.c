/* Runs that a request has left because they were silent: see
   mq/internal/gateway_standby.h.

   Ownership: a standby owns its call, until that reports its end, and holds
   the references and the in-flight counts of the send that it was.  */

#include <mq/internal/gateway_standby.h>

#include <mq/internal/gateway_urgency.h>
#include <mq/log.h>

/* Bytes without an event after which a standby is given up.  */
#define MAX_REST_BYTES (MQ_EVENT_MAX_BYTES + (size_t)64 * 1024)

struct mq_standby
{
  mq_http_call *call;      /* Borrowed; NULL once its end was reported.  */
  mq_upstream *upstream;   /* One reference.  */
  mq_detour *detour;       /* Borrowed; NULL: a direct send.  */
  mq_layer_path path;      /* Empty for plain services.  */
  mq_path_load *path_load; /* Of PATH, borrowed, or NULL.  */
  uint64_t sent_us;
  uint64_t received_us;
  GString *rest; /* Bytes of its response after its last event with an id.  */
  bool notice_taken;   /* As of the send that it was.  */
  bool head_is_silent; /* Nothing says which engine of PATH is, so that its
                          head is to be avoided.  */
};

void
mq_standby_drop (mq_forward *forward)
{
  mq_standby *s = g_steal_pointer (&forward->standby);

  if (s == NULL)
    return;
  if (s->call != NULL)
    mq_http_call_cancel (s->call);
  if (s->detour != NULL)
    s->detour->in_flight--;
  s->upstream->in_flight--;
  mq_upstream_unref (s->upstream);
  mq_layer_path_finish (&s->path);
  g_string_free (s->rest, TRUE);
  g_free (s);
}

void
mq_standby_park (mq_forward *forward, bool head_is_silent)
{
  mq_forward *f = forward;
  mq_standby *s = g_new0 (mq_standby, 1);
  mq_span rest = mq_event_split_rest (&f->split);

  mq_standby_drop (f);
  s->call = g_steal_pointer (&f->call);
  s->upstream = g_steal_pointer (&f->upstream);
  s->detour = g_steal_pointer (&f->detour);
  s->path = f->path;
  f->path.n = 0; /* Its references are the standby's now.  */
  s->path_load = f->path_load;
  s->notice_taken = f->notice_taken;
  s->head_is_silent = head_is_silent;
  s->sent_us = f->sent_us;
  s->received_us = f->received_us;
  s->rest = g_string_new_len (f->held->str, (gssize)f->held->len);
  g_string_append_len (s->rest, rest.data, (gssize)rest.size);
  f->standby = s;
  f->stalled_why = NULL;
  f->added_to_ran = false;
  mq_forward_release_path (f);
  mq_event_split_restart (&f->split);
  g_string_truncate (f->held, 0);
}

bool
mq_standby_resume (mq_forward *forward, const char *why)
{
  mq_forward *f = forward;
  mq_standby *s = f->standby;
  uint64_t now = mq_gateway_now_us ();

  if (s == NULL)
    return false;
  mq_forward_drop_send (f);
  mq_forward_release_path (f);
  mq_event_split_restart (&f->split);
  g_string_truncate (f->held, 0);
  f->standby = NULL;
  f->call = s->call;
  f->upstream = s->upstream;
  f->detour = s->detour;
  f->path = s->path;
  f->path_load = s->path_load;
  if (f->path_load != NULL)
    f->path_load->tokens += f->need_tokens;
  mq_gateway_urgency_note_sent (f, now);
  f->notice_taken = s->notice_taken;
  f->sent_us = s->sent_us;
  f->received_us = s->received_us;
  mq_event_split_feed (&f->split, (mq_span){ s->rest->str, s->rest->len });
  f->waiting = false;
  f->waits_for_budget = false;
  f->awaits_reach = false;
  f->unsent_tries = 0;
  f->added_to_ran = false;
  mq_gateway_count_resumed_run (f->gateway, why);
  mq_log_buffer_append (
      &f->log_buffer, G_LOG_LEVEL_INFO, "request.run-resumed",
      "request=%.*s upstream=%s why=%s"
      " silent_ms=%" G_GUINT64_FORMAT,
      MQ_SPAN_ARG (f->id), mq_str_cstr (f->upstream->facts.id), why,
      (now - MAX (s->received_us, s->sent_us)) / 1000);
  g_string_free (s->rest, TRUE);
  g_free (s);
  return true;
}

bool
mq_standby_excludes (const mq_forward *forward, const mq_upstream *head)
{
  return forward->standby != NULL && forward->standby->head_is_silent
         && forward->standby->upstream == head;
}

bool
mq_standby_has_call (const mq_forward *forward, const mq_http_call *call)
{
  return forward->standby != NULL && forward->standby->call == call;
}

/* Returns true if BYTES, of a stream after its event LAST_ID, hold an event
   with an id.  */
static bool
bytes_have_event (const GString *bytes, uint64_t last_id)
{
  mq_event_split split;
  mq_span event;
  bool found;

  mq_event_split_init (&split, last_id);
  mq_event_split_feed (&split, (mq_span){ bytes->str, bytes->len });
  while (split.events == 0
         && mq_event_split_next (&split, &event) == MQ_EVENT_WHOLE)
    ;
  found = split.events > 0;
  mq_event_split_finish (&split);
  return found;
}

/* Keep DATA of the standby's response.  Returns true if its run goes on.  */
static bool
standby_keep (mq_forward *forward, mq_span data)
{
  mq_standby *s = forward->standby;

  g_string_append_len (s->rest, data.data, (gssize)data.size);
  if (bytes_have_event (s->rest, forward->split.last_id))
    return true;
  if (s->rest->len > MAX_REST_BYTES)
    mq_standby_drop (forward);
  return false;
}

/* Returns true if the end of the standby's call, EVENT, is that of a whole
   response.  One without a length and chunks ends with its connection: it is
   whole if its run had begun, as that of a run that was not left.  */
static bool
standby_is_whole (const mq_forward *forward, const mq_http_client_event *event)
{
  const mq_standby *s = forward->standby;
  mq_event_split split;
  mq_span event_text;
  bool is_partial;

  if (event->result != MQ_HTTP_OK
      || !mq_gateway_response_may_serve (forward, event->call))
    return false;
  if (forward->route->kind != MQ_ROUTE_STREAM)
    return true;
  if (event->framing == MQ_RESPONSE_TO_CLOSE
      && forward->last_event_us < s->sent_us)
    return false;
  mq_event_split_init (&split, forward->split.last_id);
  mq_event_split_feed (&split, (mq_span){ s->rest->str, s->rest->len });
  while (mq_event_split_next (&split, &event_text) == MQ_EVENT_WHOLE)
    ;
  is_partial = mq_event_split_has_partial (&split);
  mq_event_split_finish (&split);
  return !is_partial;
}

/* The call of the standby has ended, as EVENT says, without serving the
   request.  */
static void
standby_end (mq_forward *forward, const mq_http_client_event *event)
{
  mq_forward *f = forward;

  f->standby->call = NULL;
  mq_log_buffer_append (
      &f->log_buffer, G_LOG_LEVEL_INFO, "request.run-dropped",
      "request=%.*s upstream=%s result=%d status=%u", MQ_SPAN_ARG (f->id),
      mq_str_cstr (f->standby->upstream->facts.id), event->result,
      event->status);
  if (event->result == MQ_HTTP_OK && !f->standby->notice_taken)
    mq_gateway_note_response (f->gateway, f->standby->upstream, event->call,
                              f->standby->sent_us, true);
  if (event->result == MQ_HTTP_BROKEN)
    mq_crash_note_broken_run (f, f->standby->upstream, mq_gateway_now_us ());
  mq_standby_drop (f);
}

bool
mq_standby_on_call (mq_forward *forward, mq_http_client_event *event)
{
  mq_forward *f = forward;
  mq_standby *s = f->standby;

  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      s->received_us = mq_gateway_now_us ();
      /* Of a rejection the end tells what the upstream states.  */
      if (mq_gateway_status_is_success (event->status)
          && !mq_gateway_response_may_serve (f, event->call))
        mq_standby_drop (f);
      return false;
    case MQ_HTTP_CLIENT_DATA:
      if (!standby_keep (f, event->data)
          || !mq_gateway_response_may_serve (f, event->call))
        return false;
      event->data.size = 0;
      return mq_standby_resume (f, "response");
    case MQ_HTTP_CLIENT_END:
      if (standby_is_whole (f, event))
        return mq_standby_resume (f, "response");
      standby_end (f, event);
      return false;
    }
  return false;
}
