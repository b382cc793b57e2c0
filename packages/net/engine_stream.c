/* Response streams from model engines: see mq/engine_stream.h.

   The adapter splits the response into lines and reports each as an event.
   Invariants: nothing is reported after the last event or a cancel.  A stream
   that is cancelled from its own sink is freed after that sink returns.  The
   end of a complete answer is reported only once the HTTP response is whole
   and holds nothing more of this stream.  */

#include <mq/engine_stream.h>

#include <json-c/json.h>
#include <mq/engine_line.h>
#include <mq/json_message.h>
#include <mq/json_text.h>
#include <string.h>

/* A response with a longer line is malformed.  */
#define MAX_LINE_BYTES ((size_t)64 * 1024)
#define MAX_ERROR_BODY_BYTES 4096
/* Empty lines and lines of other streams between two lines of this one.  Lines
   of a cancelled attempt may still come, but no more than fit into buffers on
   the way.  */
#define MAX_FOREIGN_BYTES ((size_t)1024 * 1024)
#define CONNECT_TIMEOUT_MS 500
/* The first engine ends a stream at its deadline; the router aborts it this
   much later.  */
#define DEADLINE_GRACE_MS 50

struct mq_engine_stream
{
  mq_http_call *call; /* Borrowed; NULL once it has ended.  */
  mq_engine_line_reader *reader;
  mq_str *request;
  uint32_t attempt;
  GString *sent;        /* The body of the request.  */
  GString *partial;     /* An incomplete line, or the body of an error.  */
  size_t foreign_bytes; /* Since the last line of this stream.  */
  unsigned status;      /* 0 before the headers arrive.  */
  bool done;  /* The line that ends a complete answer has been read.  */
  bool ended; /* The last event was reported, or it was cancelled.  */
  bool in_sink;
  mq_engine_stream_sink sink;
  void *context;
  uint64_t *dropped; /* Borrowed, or NULL.  */
};

static void
stream_free (mq_engine_stream *stream)
{
  mq_engine_line_reader_free (stream->reader);
  mq_str_unref (stream->request);
  g_string_free (stream->partial, TRUE);
  g_string_free (stream->sent, TRUE);
  g_free (stream);
}

static void
stream_report (mq_engine_stream *stream, const mq_engine_stream_event *event)
{
  stream->sink (stream->context, event);
}

/* Report the last event.  */
static void
stream_finish (mq_engine_stream *stream, const mq_engine_stream_event *event)
{
  stream->ended = true;
  if (stream->call != NULL)
    g_clear_pointer (&stream->call, mq_http_call_cancel);
  stream_report (stream, event);
}

static void
stream_fail (mq_engine_stream *stream, mq_send_failure failure)
{
  mq_engine_stream_event event
      = { .kind = MQ_ENGINE_STREAM_FAILED, .u.failure = failure };

  stream_finish (stream, &event);
}

static void
stream_report_token (mq_engine_stream *stream, const mq_engine_line *line)
{
  mq_engine_stream_event event = { .kind = MQ_ENGINE_STREAM_TOKEN };

  event.u.token.position = line->position;
  event.u.token.text = line->text;
  event.u.token.receipts = line->receipts;
  event.u.token.n_receipts = line->n_receipts;
  stream_report (stream, &event);
}

static void
stream_report_end (mq_engine_stream *stream, mq_stream_end end, uint32_t stage)
{
  mq_engine_stream_event event = { .kind = MQ_ENGINE_STREAM_END };

  event.u.end.end = end;
  event.u.end.stage = stage;
  stream_finish (stream, &event);
}

static bool
stream_matches (const mq_engine_stream *stream, const mq_engine_line *line)
{
  return line->attempt == stream->attempt
         && mq_span_equal (line->request, mq_str_span (stream->request));
}

static void
stream_fail_malformed (mq_engine_stream *stream)
{
  stream_fail (stream, (mq_send_failure){ .maybe_sent = true });
}

/* Count bytes that belong to no line of this stream.  */
static void
stream_count_foreign (mq_engine_stream *stream, size_t n)
{
  stream->foreign_bytes += n;
  if (stream->foreign_bytes > MAX_FOREIGN_BYTES)
    stream_fail_malformed (stream);
}

static void
stream_handle_line (mq_engine_stream *stream, mq_span text)
{
  mq_engine_line line;

  if (mq_engine_line_read (stream->reader, text, &line) < 0)
    {
      stream_fail_malformed (stream);
      return;
    }
  if (!stream_matches (stream, &line))
    {
      if (stream->dropped != NULL)
        ++*stream->dropped;
      stream_count_foreign (stream, text.size + 1);
      return;
    }
  stream->foreign_bytes = 0;
  if (stream->done)
    {
      stream_fail_malformed (stream);
      return;
    }
  switch (line.kind)
    {
    case MQ_ENGINE_LINE_TOKEN:
      stream_report_token (stream, &line);
      break;
    case MQ_ENGINE_LINE_END:
      if (line.end == MQ_STREAM_DONE)
        stream->done = true;
      else
        stream_report_end (stream, line.end, line.stage);
      break;
    }
}

/* Split DATA into lines; keep what follows the last newline for later.  */
static void
stream_handle_data (mq_engine_stream *stream, mq_span data)
{
  while (data.size > 0 && !stream->ended)
    {
      const char *newline = memchr (data.data, '\n', data.size);
      size_t n = newline == NULL ? data.size : (size_t)(newline - data.data);
      mq_span line = { data.data, n };

      if (newline == NULL || stream->partial->len > 0)
        {
          g_string_append_len (stream->partial, data.data, (gssize)n);
          line = (mq_span){ stream->partial->str, stream->partial->len };
        }
      if (line.size > MAX_LINE_BYTES)
        {
          stream_fail_malformed (stream);
          return;
        }
      if (newline == NULL)
        return;
      if (line.size > 0)
        stream_handle_line (stream, line);
      else
        stream_count_foreign (stream, 1);
      g_string_truncate (stream->partial, 0);
      data.data += n + 1;
      data.size -= n + 1;
    }
}

static void
stream_handle_headers (mq_engine_stream *stream, unsigned status)
{
  mq_engine_stream_event event = { .kind = MQ_ENGINE_STREAM_OPEN };

  stream->status = status;
  if (status == 200)
    stream_report (stream, &event);
}

static void
stream_append_error_body (mq_engine_stream *stream, mq_span data)
{
  if (stream->partial->len + data.size > MAX_ERROR_BODY_BYTES)
    stream_fail_malformed (stream);
  else
    g_string_append_len (stream->partial, data.data, (gssize)data.size);
}

/* Returns true if the error BODY states that nothing was run: its member "ran"
   is false.  */
static bool
error_says_not_run (const GString *body)
{
  json_object *root
      = mq_json_message_parse ((mq_span){ body->str, body->len });
  bool ran = true;
  bool known = mq_json_message_bool (root, "ran", &ran);

  json_object_put (root);
  return known && !ran;
}

static void
stream_handle_end (mq_engine_stream *stream, const mq_http_client_event *event)
{
  mq_send_failure failure = { .maybe_sent = event->maybe_sent,
                              .timed_out = event->result == MQ_HTTP_TIMEOUT };
  bool whole = event->result == MQ_HTTP_OK;

  stream->call = NULL;
  if (stream->ended)
    return;
  if (whole && stream->done && stream->partial->len == 0)
    {
      stream_report_end (stream, MQ_STREAM_DONE, 0);
      return;
    }
  failure.said_not_run = whole && mq_response_status_rejects (stream->status)
                         && error_says_not_run (stream->partial);
  stream_fail (stream, failure);
}

static void
stream_on_http (void *context, const mq_http_client_event *event)
{
  mq_engine_stream *stream = context;

  stream->in_sink = true;
  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      stream_handle_headers (stream, event->status);
      break;
    case MQ_HTTP_CLIENT_DATA:
      if (stream->status == 200)
        stream_handle_data (stream, event->data);
      else
        stream_append_error_body (stream, event->data);
      break;
    case MQ_HTTP_CLIENT_END:
      stream_handle_end (stream, event);
      break;
    }
  stream->in_sink = false;
  if (stream->ended)
    stream_free (stream);
}

static void
plan_append (GString *out, const mq_plan *plan)
{
  mq_json_text_key (out, "plan");
  g_string_append_c (out, '[');
  for (uint32_t i = 0; i < plan->n_stages; i++)
    {
      const mq_stage *s = &plan->stages[i];

      g_string_append (out, i == 0 ? "{" : ",{");
      mq_json_text_member (out, "engine", mq_str_span (s->engine));
      mq_json_text_member (out, "url", mq_str_span (s->url));
      mq_json_text_number (out, "first", s->first);
      mq_json_text_number (out, "end", s->end);
      g_string_append_c (out, '}');
    }
  g_string_append_c (out, ']');
}

static void
sent_append (GString *out, const mq_engine_stream_options *options)
{
  mq_json_text_key (out, "sent");
  g_string_append_c (out, '[');
  for (size_t i = 0; i < options->n_sent; i++)
    {
      if (i > 0)
        g_string_append_c (out, ',');
      mq_json_text_string (out, options->sent[i]);
    }
  g_string_append_c (out, ']');
}

/* Returns the body of the request.  A prompt may be large, so that the text is
   written directly rather than from a tree of values with another copy.  */
static GString *
request_text (const mq_engine_stream_options *options)
{
  GString *out = g_string_sized_new (options->prompt.size);

  g_string_append_c (out, '{');
  mq_json_text_member (out, "request", options->request);
  mq_json_text_number (out, "attempt", options->attempt);
  mq_json_text_member (out, "router", options->router);
  mq_json_text_member (out, "model", mq_str_span (options->plan->model));
  mq_json_text_member (out, "version", mq_str_span (options->plan->version));
  mq_json_text_member (out, "prompt", options->prompt);
  sent_append (out, options);
  mq_json_text_number (out, "max_tokens", options->max_tokens);
  mq_json_text_key (out, "priority");
  g_string_append_printf (out, "%d", options->priority);
  mq_json_text_number (out, "deadline_ms", options->deadline_us / 1000);
  plan_append (out, options->plan);
  g_string_append_c (out, '}');
  return out;
}

static void
stream_start (mq_engine_stream *stream, mq_http_client *client,
              const mq_engine_stream_options *options)
{
  const mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") };
  char *url = g_strconcat (mq_str_cstr (options->plan->stages[0].url),
                           "/v1/streams", NULL);
  mq_http_call_options call = {
    .method = MQ_SPAN ("POST"),
    .url = mq_span_from (url),
    .headers = &type,
    .n_headers = 1,
    .body = { stream->sent->str, stream->sent->len },
    .body_stays = true,
    .connect_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = options->deadline_us / 1000 + DEADLINE_GRACE_MS,
    .streamed = true,
    .once = true,
  };

  stream->call = mq_http_client_start (client, &call, stream_on_http, stream);
  g_free (url);
}

mq_engine_stream *
mq_engine_stream_new (mq_http_client *client,
                      const mq_engine_stream_options *options,
                      mq_engine_stream_sink sink, void *context,
                      uint64_t *dropped)
{
  mq_engine_stream *s = g_new0 (mq_engine_stream, 1);

  s->reader = mq_engine_line_reader_new ();
  s->request = mq_str_new (options->request);
  s->attempt = options->attempt;
  s->partial = g_string_new (NULL);
  s->sent = request_text (options);
  s->sink = sink;
  s->context = context;
  s->dropped = dropped;
  stream_start (s, client, options);
  return s;
}

void
mq_engine_stream_cancel (mq_engine_stream *stream)
{
  stream->ended = true;
  if (stream->call != NULL)
    g_clear_pointer (&stream->call, mq_http_call_cancel);
  if (!stream->in_sink)
    stream_free (stream);
}

void
mq_engine_stream_pause (mq_engine_stream *stream, bool paused)
{
  if (stream->call != NULL)
    mq_http_call_pause (stream->call, paused);
}
