/* One intended request: see request.h.  */

#include "request.h"

#include <standin/reference.h>

#include <stdlib.h>
#include <string.h>

#define TRIES 4
/* For the caller's ask, when it has no other entry to go to.  */
#define PAUSE_S 0.1
#define GRACE_MS 1500 /* Longer than the deadline, to see late answers.  */
#define ERROR_LIMIT 4096

typedef struct request
{
  load_run *run;
  guint index;
  load_caller *caller;
  GString *prompt; /* Completions.  */
  GString *answer; /* The text so far; of a plain call the body.  */
  GString *line;   /* What has come of the next line.  */
  GString *error;  /* The body or event that tells an error.  */
  load_ticket *ticket;
  unsigned status;
  char outcome[16]; /* The header.  */
  bool whole;       /* [DONE] came.  */
  uint64_t last_us; /* Last token.  */
  char *address;    /* Of the last try.  */
  ev_timer pause;   /* Before the next one.  */
} request;

static const load_item *
request_item (const request *r)
{
  return &g_array_index (r->run->items, load_item, r->index);
}

static load_record *
request_record (const request *r)
{
  return &g_array_index (r->run->records.list, load_record, r->index);
}

static const load_kind *
request_kind (const request *r)
{
  return &g_array_index (r->run->scenario->kinds, load_kind,
                         request_item (r)->kind);
}

static const load_service *
request_service (const request *r)
{
  return &g_array_index (r->run->scenario->services, load_service,
                         request_kind (r)->service);
}

static bool
request_is_completion (const request *r)
{
  return request_service (r)->kind == MQ_SERVICE_MODEL;
}

uint64_t
load_run_now (const load_run *run)
{
  return (uint64_t)g_get_monotonic_time () - run->start_us;
}

static void
request_free (request *r)
{
  r->run->open--;
  if (r->prompt != NULL)
    g_string_free (r->prompt, TRUE);
  g_string_free (r->answer, TRUE);
  g_string_free (r->line, TRUE);
  g_string_free (r->error, TRUE);
  load_ticket_free (r->ticket);
  g_free (r->address);
  g_free (r);
}

static void
request_end (request *r, load_end end, const char *reason)
{
  load_record *record = request_record (r);

  record->end = end;
  record->reason = reason == NULL ? NULL : g_intern_string (reason);
  record->end_us = load_run_now (r->run);
  if (end == LOAD_END_WRONG)
    load_records_breach (&r->run->records, "the whole answer to its own",
                         r->index);
  request_free (r);
}

static void request_send (request *r);

/* May a caller send this again when it can't tell what became of it?  */
static bool
request_repeatable (const request *r)
{
  return request_is_completion (r) || request_kind (r)->repeatable
         || request_kind (r)->guard == LOAD_GUARD_KEY;
}

/* Is the text that came the beginning of the reference's answer, or, if
   WHOLE, all of it?  */
static bool
request_answer_right (const request *r, bool whole)
{
  const load_item *item = request_item (r);
  const load_model *m = &g_array_index (r->run->scenario->models, load_model,
                                        request_service (r)->model);
  GString *expected = g_string_new (NULL);
  bool right;

  mq_reference_answer (expected, (mq_span){ r->prompt->str, r->prompt->len },
                       mq_str_span (m->name), mq_str_span (m->version),
                       m->layers, item->tokens);
  right = whole ? g_string_equal (expected, r->answer)
                : g_str_has_prefix (expected->str, r->answer->str);
  g_string_free (expected, TRUE);
  return right;
}

/* The string at KEY in the flat JSON text of an error, copied to VALUE.  */
static bool
error_member (const GString *error, const char *key, char *value, size_t size)
{
  char *quoted = g_strdup_printf ("\"%s\":\"", key);
  const char *at = strstr (error->str, quoted);
  const char *end;

  value[0] = '\0';
  if (at != NULL)
    {
      at += strlen (quoted);
      end = strchr (at, '"');
      if (end != NULL)
        g_strlcpy (value, at, MIN (size, (size_t)(end - at) + 1));
    }
  g_free (quoted);
  return value[0] != '\0';
}

static load_end
end_by_name (const char *name)
{
  if (strcmp (name, "not-run") == 0)
    return LOAD_END_NOT_RUN;
  if (strcmp (name, "failed") == 0)
    return LOAD_END_FAILED;
  return LOAD_END_UNKNOWN;
}

static void
request_pause_over (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  request_send (timer->data);
}

/* Send to the next entry; when all have been tried, give the caller time to
   ask for others.  */
static void
request_send_next (request *r)
{
  if (request_record (r)->tries % MAX (r->caller->entries->len, 1) != 0)
    {
      request_send (r);
      return;
    }
  ev_now_update (r->run->loop);
  ev_timer_init (&r->pause, request_pause_over, PAUSE_S, 0.);
  r->pause.data = r;
  ev_timer_start (r->run->loop, &r->pause);
}

/* Try the next entry, if another try is left and still makes sense.  */
static bool
request_again (request *r)
{
  const load_item *item = request_item (r);
  uint64_t deadline = item->at_us + (uint64_t)item->deadline_ms * 1000;

  load_caller_disappointed (r->caller, r->address);
  if (request_record (r)->tries >= TRIES || load_run_now (r->run) >= deadline
      || (r->ticket != NULL && request_record (r)->maybe_ran))
    return false;
  /* Nothing ran: another guard may be taken, a key where no ticket is left. */
  if (r->ticket != NULL)
    {
      load_ticket_free (r->ticket);
      r->ticket = load_caller_ticket (r->caller);
    }
  request_send_next (r);
  return true;
}

/* Does CODE tell of this entry alone, so that another may take the call?  */
static bool
request_code_is_elsewhere (const char *code)
{
  return strcmp (code, "leaving") == 0
         || strcmp (code, "no-configuration") == 0;
}

/* The router was started again since it gave the ticket, and says so
   ("ticket-spent") or does not know it ("wrong-router").  It can't know what
   came of the ticket, but its caller does: each ticket goes with one request,
   and this request was sent to no one who could run it.  */
static bool
request_ticket_is_void (const request *r, const char *code)
{
  return r->ticket != NULL && !request_record (r)->maybe_ran
         && (strcmp (code, "wrong-router") == 0
             || strcmp (code, "ticket-spent") == 0);
}

/* Judge an answer that tells an error.  */
static void
request_judge_error (request *r)
{
  char code[64];
  char name[16];
  load_end end;

  error_member (r->error, "code", code, sizeof code);
  if (!error_member (r->error, "outcome", name, sizeof name))
    g_strlcpy (name, r->outcome, sizeof name);
  end = end_by_name (name);
  if (end == LOAD_END_NOT_RUN && request_code_is_elsewhere (code)
      && request_again (r))
    return;
  if (request_ticket_is_void (r, code) && request_again (r))
    return;
  if (end == LOAD_END_UNKNOWN)
    request_record (r)->maybe_ran = true;
  if (r->answer->len > 0 && request_is_completion (r)
      && !request_answer_right (r, false))
    end = LOAD_END_WRONG;
  request_end (r, end, code);
}

static void
request_judge_completion (request *r)
{
  if (r->status != 200 || !r->whole)
    request_judge_error (r);
  else if (request_answer_right (r, true))
    request_end (r, LOAD_END_DONE, NULL);
  else
    request_end (r, LOAD_END_WRONG, NULL);
}

static void
request_judge_plain (request *r)
{
  if (r->status / 100 == 2 && strcmp (r->outcome, "done") == 0)
    request_end (r, LOAD_END_DONE, NULL);
  else
    {
      g_string_assign (r->error, r->answer->str);
      request_judge_error (r);
    }
}

/* The connection failed.  */
static void
request_broken (request *r, const mq_http_client_event *event)
{
  if (event->result == MQ_HTTP_CONNECT_FAILED)
    {
      if (!request_again (r))
        request_end (r,
                     request_record (r)->maybe_ran ? LOAD_END_UNKNOWN
                                                   : LOAD_END_UNREACHABLE,
                     "no-connection");
      return;
    }
  request_record (r)->maybe_ran = true;
  if (request_is_completion (r) && !request_answer_right (r, false))
    request_end (r, LOAD_END_WRONG, NULL);
  else if (!request_repeatable (r) || !request_again (r))
    request_end (r, LOAD_END_CUT,
                 event->result == MQ_HTTP_TIMEOUT ? "timeout" : "broken");
}

/* Take the text of a token.  */
static void
request_token (request *r, const char *text, size_t size)
{
  load_record *record = request_record (r);
  uint64_t now = load_run_now (r->run);

  g_string_append_len (r->answer, text, (gssize)size);
  record->tokens++;
  load_records_token (&r->run->records, now,
                      r->last_us == 0 ? 0 : MAX (now - r->last_us, 1));
  if (record->first_us == 0)
    record->first_us = now;
  r->last_us = now;
}

/* Take one line of a stream of server-sent events.  */
static void
request_line (request *r, const char *line)
{
  static const char key[] = "\"text\":\"";
  const char *text;
  const char *end;

  if (!g_str_has_prefix (line, "data: "))
    return;
  line += strlen ("data: ");
  if (strcmp (line, "[DONE]") == 0)
    {
      r->whole = true;
      return;
    }
  if (strstr (line, "\"error\"") != NULL)
    {
      g_string_assign (r->error, line);
      return;
    }
  text = strstr (line, key);
  if (text == NULL)
    return;
  text += sizeof key - 1;
  end = strchr (text, '"');
  if (end != NULL && end > text)
    request_token (r, text, (size_t)(end - text));
}

static void
request_take_stream (request *r, mq_span data)
{
  while (data.size > 0)
    {
      const char *end = memchr (data.data, '\n', data.size);
      size_t n = end == NULL ? data.size : (size_t)(end - data.data);

      g_string_append_len (r->line, data.data, (gssize)n);
      if (end == NULL)
        return;
      request_line (r, r->line->str);
      g_string_truncate (r->line, 0);
      data.data += n + 1;
      data.size -= n + 1;
    }
}

static void
request_take_headers (request *r, const mq_http_client_event *event)
{
  mq_span outcome = mq_http_call_header (event->call, "Marjoramquay-Outcome");

  r->status = event->status;
  g_strlcpy (r->outcome, outcome.data == NULL ? "" : outcome.data,
             MIN (sizeof r->outcome, outcome.size + 1));
}

static void
request_take_data (request *r, mq_span data)
{
  if (r->status == 200)
    request_take_stream (r, data);
  else if (r->error->len < ERROR_LIMIT)
    g_string_append_len (r->error, data.data, (gssize)data.size);
}

static void
request_sink (void *context, const mq_http_client_event *event)
{
  request *r = context;

  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      request_take_headers (r, event);
      return;
    case MQ_HTTP_CLIENT_DATA:
      request_take_data (r, event->data);
      return;
    case MQ_HTTP_CLIENT_END:
      break;
    }
  if (event->result != MQ_HTTP_OK)
    request_broken (r, event);
  else if (request_is_completion (r))
    request_judge_completion (r);
  else
    {
      g_string_append_len (r->answer, event->data.data,
                           (gssize)event->data.size);
      request_judge_plain (r);
    }
}

/* Forget what came of the last try.  */
static void
request_clear (request *r)
{
  g_string_truncate (r->answer, 0);
  g_string_truncate (r->line, 0);
  g_string_truncate (r->error, 0);
  r->status = 0;
  r->outcome[0] = '\0';
  r->whole = false;
  r->last_us = 0;
  request_record (r)->tokens = 0;
  request_record (r)->tries++;
}

static char *
request_body (const request *r)
{
  if (!request_is_completion (r))
    return g_strdup_printf ("{\"bench\":\"request-%u\"}", r->index);
  return g_strdup_printf (
      "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%u,"
      "\"stream\":true}",
      mq_str_cstr (request_service (r)->name), r->prompt->str,
      request_item (r)->tokens);
}

static char *
request_url (const request *r, const char *address)
{
  if (request_is_completion (r))
    return g_strdup_printf ("http://%s/v1/completions", address);
  return g_strdup_printf ("http://%s/v1/services/%s%s", address,
                          mq_str_cstr (request_service (r)->name),
                          mq_str_cstr (request_kind (r)->path));
}

/* Send to ADDRESS, with LEFT_MS to the deadline.  */
static void
request_call (request *r, const char *address, uint64_t left_ms)
{
  const load_kind *k = request_kind (r);
  char *body = request_body (r);
  char *url = request_url (r, address);
  char *deadline = g_strdup_printf ("%" PRIu64, left_ms);
  char *key = g_strdup_printf ("bench-%u", r->index);
  mq_http_header h[4]
      = { { MQ_SPAN ("Authorization"),
            mq_span_from (r->caller->authorization) },
          { MQ_SPAN ("Marjoramquay-Deadline-Ms"), mq_span_from (deadline) },
          { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") },
          { MQ_SPAN ("Idempotency-Key"), mq_span_from (key) } };
  mq_http_call_options o = { .method = mq_str_span (k->method),
                             .url = mq_span_from (url),
                             .headers = h,
                             .n_headers = k->guard == LOAD_GUARD_NONE ? 3 : 4,
                             .body = mq_span_from (body),
                             .timeout_ms = left_ms + GRACE_MS,
                             .streamed = request_is_completion (r),
                             .once = true };

  if (r->ticket != NULL)
    h[3] = (mq_http_header){ MQ_SPAN ("Marjoramquay-Ticket"),
                             mq_span_from (r->ticket->text) };
  if (mq_span_equal (o.method, MQ_SPAN ("GET")))
    o.body = (mq_span){ NULL, 0 };
  mq_http_client_start (r->run->client, &o, request_sink, r);
  g_free (key);
  g_free (deadline);
  g_free (url);
  g_free (body);
}

static void
request_send (request *r)
{
  const load_item *item = request_item (r);
  uint64_t deadline = item->at_us + (uint64_t)item->deadline_ms * 1000;
  uint64_t now = load_run_now (r->run);
  const char *address
      = load_caller_entry (r->caller, request_record (r)->tries);

  if (r->ticket != NULL)
    address = r->ticket->address;
  request_clear (r);
  if (address == NULL || now >= deadline)
    request_end (r, LOAD_END_UNREACHABLE,
                 address == NULL ? "no-entry" : "too-late");
  else
    {
      g_free (r->address);
      r->address = g_strdup (address);
      request_call (r, r->address, MAX ((deadline - now) / 1000, 1));
    }
}

void
load_request_start (load_run *run, guint index)
{
  request *r = g_new0 (request, 1);
  const load_item *item = &g_array_index (run->items, load_item, index);

  r->run = run;
  r->index = index;
  r->answer = g_string_new (NULL);
  r->line = g_string_new (NULL);
  r->error = g_string_new (NULL);
  run->open++;
  r->caller
      = load_callers_get (&run->callers, item->organisation, item->caller);
  if (request_is_completion (r))
    r->prompt = load_prompt_new (run->scenario, item);
  if (request_kind (r)->guard == LOAD_GUARD_TICKET)
    r->ticket = load_caller_ticket (r->caller);
  request_send (r);
}
