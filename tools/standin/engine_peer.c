/* Messages between engines: see engine.h.

   The first line of a stream to a stage carries the plan; later ones only name
   the stream.  The body of POST /v1/activations consists of lines of
   tab-separated fields, so that one message to each peer carries a whole step:

     open  REQUEST ATTEMPT STAGE POSITION DUE ACTIVATION RECEIPTS JSON
     step  REQUEST ATTEMPT STAGE POSITION DUE ACTIVATION RECEIPTS
     token REQUEST ATTEMPT POSITION DUE TEXT RECEIPTS (last stage to head)
     drop  REQUEST ATTEMPT                            (head to all)
     lost  REQUEST ATTEMPT STAGE                      (any stage to head)

   DUE is the time at which the data would arrive if handling took no time, on
   the monotonic clock, which all processes of the machine share; see
   engine_step.c.

   The reply has one line REQUEST ATTEMPT STAGE for each stream that the
   receiver can't run.  A sender that gets no reply treats the stage as
   lost.  */

#include <standin/engine.h>

#include <stdlib.h>
#include <string.h>

#define MAX_FIELDS 9
/* A due time further from now than this is ignored.  */
#define MAX_DUE_OFFSET_US ((uint64_t)100 * 1000)
#define LINE_OPEN "open"
#define LINE_STEP "step"
#define LINE_TOKEN "token"
#define LINE_DROP "drop"
#define LINE_LOST "lost"

/* A message to a peer, from the queued lines until the reply.  */
typedef struct peer_post
{
  engine *engine;
  char *url;
  GString *lines;
} peer_post;

/* A line of a message, split into fields.  */
typedef struct peer_line
{
  mq_span field[MAX_FIELDS]; /* Borrowed; missing ones are empty.  */
  unsigned n;
} peer_line;

static void
post_free (peer_post *post)
{
  g_free (post->url);
  g_string_free (post->lines, TRUE);
  g_free (post);
}

/* Split the next line off TEXT into LINE, which borrows from it.  Returns
   false at the end.  The last field takes the rest of the line.  */
static bool
line_next (mq_span *text, peer_line *line)
{
  const char *end;
  const char *at = text->data;

  memset (line, 0, sizeof *line);
  if (text->size == 0)
    return false;
  end = memchr (text->data, '\n', text->size);
  if (end == NULL)
    end = text->data + text->size;
  while (line->n < MAX_FIELDS && at <= end)
    {
      const char *tab = line->n + 1 == MAX_FIELDS
                            ? NULL
                            : memchr (at, '\t', (size_t)(end - at));

      if (tab == NULL)
        tab = end;
      line->field[line->n++] = (mq_span){ at, (size_t)(tab - at) };
      at = tab + 1;
    }
  end = MIN (end + 1, text->data + text->size);
  text->size -= (size_t)(end - text->data);
  text->data = end;
  return true;
}

/* Return FIELD as a number, 0 when it is malformed.  */
static uint32_t
line_number (const peer_line *line, unsigned field)
{
  uint64_t v;

  if (mq_span_to_u64 (line->field[field], &v) != 0 || v > G_MAXUINT32)
    return 0;
  return (uint32_t)v;
}

static uint64_t
span_hex (mq_span span)
{
  char text[17];

  g_strlcpy (text, span.data == NULL ? "" : span.data,
             MIN (sizeof text, span.size + 1));
  return strtoull (text, NULL, 16);
}

/* Return the time in FIELD, or now when it is malformed or out of range.  */
static uint64_t
line_due (const peer_line *line, unsigned field)
{
  uint64_t now = mq_standin_now_us ();
  uint64_t due;

  if (mq_span_to_u64 (line->field[field], &due) != 0
      || due + MAX_DUE_OFFSET_US < now || due > now + MAX_DUE_OFFSET_US)
    return now;
  return due;
}

static stream *
line_stream (engine *e, const peer_line *line)
{
  return engine_find_stream (e, line->field[1], line_number (line, 2));
}

/* Return the lines queued for the peer at URL.  */
static GString *
engine_outbox (engine *e, mq_str *url)
{
  GString *box = g_hash_table_lookup (e->outboxes, mq_str_cstr (url));

  if (box != NULL)
    return box;
  box = g_string_sized_new (4096);
  g_hash_table_insert (e->outboxes, g_strdup (mq_str_cstr (url)), box);
  return box;
}

/* Return a new object with what each stage must know of S: the plan, the
   deadline, the priority and the prompt's prefix and length.  */
static json_object *
stream_open_json (const stream *s)
{
  json_object *json = json_object_new_object ();
  json_object *plan = json_object_new_array ();
  uint64_t now = mq_standin_now_us ();
  char prefix[17];

  for (uint32_t i = 0; i < s->plan.n_stages; i++)
    {
      const mq_stage *k = &s->plan.stages[i];
      json_object *item = json_object_new_object ();

      mq_standin_add_string (item, "engine", mq_str_span (k->engine));
      mq_standin_add_string (item, "url", mq_str_span (k->url));
      mq_standin_add_int (item, "first", k->first);
      mq_standin_add_int (item, "end", k->end);
      json_object_array_add (plan, item);
    }
  g_snprintf (prefix, sizeof prefix, "%016" PRIx64, s->prefix);
  mq_standin_add_string (json, "model", mq_str_span (s->plan.model));
  mq_standin_add_string (json, "version", mq_str_span (s->plan.version));
  mq_standin_add_string (json, "prefix", mq_span_from (prefix));
  mq_standin_add_int (json, "priority", s->priority);
  mq_standin_add_int (json, "deadline_ms",
                      (int64_t)(s->deadline_us - MIN (now, s->deadline_us))
                          / 1000);
  mq_standin_add_int (json, "prompt_tokens", s->prompt_tokens);
  mq_standin_add_int (json, "sent_tokens", s->sent_tokens);
  json_object_object_add (json, "plan", plan);
  return json;
}

int
engine_read_plan (json_object *json, mq_plan *plan)
{
  json_object *list;
  size_t n;

  plan->model = mq_str_new (mq_standin_get_string (json, "model"));
  plan->version = mq_str_new (mq_standin_get_string (json, "version"));
  if (!json_object_object_get_ex (json, "plan", &list)
      || !json_object_is_type (list, json_type_array))
    return -1;
  n = json_object_array_length (list);
  for (size_t i = 0; i < n; i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      mq_str *engine = mq_str_new (mq_standin_get_string (item, "engine"));
      mq_str *url = mq_str_new (mq_standin_get_string (item, "url"));
      int64_t first = mq_standin_get_int (item, "first", 0);
      int64_t end = mq_standin_get_int (item, "end", 0);
      int status
          = mq_plan_add (plan, engine, url, (uint32_t)first, (uint32_t)end);

      mq_str_unref (engine);
      mq_str_unref (url);
      if (status != 0)
        return -1;
    }
  return n == 0 ? -1 : 0;
}

void
engine_queue_step (engine *e, stream *s)
{
  uint32_t next = s->stage + 1;
  GString *box = engine_outbox (e, s->plan.stages[next].url);

  g_string_append_printf (
      box, "%s\t%s\t%u\t%u\t%" PRIu64 "\t%016" PRIx64 "\t%s",
      s->opened ? LINE_STEP : LINE_OPEN, s->key, next, s->position,
      s->due_us + (uint64_t)e->options.link_us, s->activation,
      s->receipts->str);
  if (!s->opened)
    {
      json_object *json = stream_open_json (s);

      g_string_append_c (box, '\t');
      g_string_append (
          box, json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN));
      json_object_put (json);
      s->opened = true;
    }
  g_string_append_c (box, '\n');
}

void
engine_queue_token (engine *e, stream *s, mq_span text)
{
  g_string_append_printf (engine_outbox (e, s->plan.stages[0].url),
                          LINE_TOKEN "\t%s\t%u\t%" PRIu64 "\t%.*s\t%s\n",
                          s->key, s->position,
                          s->due_us + (uint64_t)e->options.link_us,
                          MQ_SPAN_ARG (text), s->receipts->str);
}

void
engine_queue_drop (engine *e, const stream *s)
{
  for (uint32_t i = 1; i < s->plan.n_stages; i++)
    g_string_append_printf (engine_outbox (e, s->plan.stages[i].url),
                            LINE_DROP "\t%s\n", s->key);
}

void
engine_queue_stage_lost (engine *e, const stream *s, uint32_t stage)
{
  g_string_append_printf (engine_outbox (e, s->plan.stages[0].url),
                          LINE_LOST "\t%s\t%u\n", s->key, stage);
}

/* Handle the loss of STAGE, which S needs: the head ends S, another stage
   drops S and notifies the head.  */
static void
stream_stage_lost (engine *e, stream *s, uint32_t stage)
{
  if (s->exchange != NULL)
    engine_end_stream (e, s, END_STAGE_LOST, stage);
  else
    {
      engine_queue_stage_lost (e, s, stage);
      engine_drop_stream (e, s, true);
    }
}

/* Handle a message that the peer did not accept: the stages of its open and
   step lines are lost.  */
static void
post_failed (const peer_post *post)
{
  engine *e = post->engine;
  mq_span text = { post->lines->str, post->lines->len };
  peer_line line;

  while (line_next (&text, &line))
    {
      stream *s = line_stream (e, &line);

      if (s == NULL)
        continue;
      if (mq_span_equal (line.field[0], MQ_SPAN (LINE_OPEN))
          || mq_span_equal (line.field[0], MQ_SPAN (LINE_STEP)))
        stream_stage_lost (e, s, line_number (&line, 3));
      else if (s->exchange == NULL)
        engine_drop_stream (e, s, true);
    }
}

/* Handle the reply of a peer, which lists the streams that it can't run.  */
static void
post_refused (engine *e, mq_span reply)
{
  peer_line line;

  while (line_next (&reply, &line))
    {
      stream *s
          = engine_find_stream (e, line.field[0], line_number (&line, 1));

      if (s != NULL)
        stream_stage_lost (e, s, line_number (&line, 2));
    }
}

static void
post_sink (void *context, const mq_http_client_event *event)
{
  peer_post *post = context;
  engine *e = post->engine;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  if (event->result != MQ_HTTP_OK || event->status != 200)
    post_failed (post);
  else
    post_refused (e, event->data);
  post_free (post);
  engine_flush (e);
  engine_start_step (e);
}

static void
post_send (void *context)
{
  peer_post *post = context;
  engine *e = post->engine;
  mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("text/tab-separated-values") };
  mq_http_call_options o = {
    .method = MQ_SPAN ("POST"),
    .url = mq_span_from (post->url),
    .headers = &type,
    .n_headers = 1,
    .body = { post->lines->str, post->lines->len },
    .timeout_ms = (uint64_t)e->options.peer_timeout_ms,
  };

  e->stats.posts++;
  mq_http_client_start (e->client, &o, post_sink, post);
}

void
engine_flush (engine *e)
{
  uint64_t delay = 0;
  GHashTableIter iter;
  gpointer url;
  gpointer value;

  if (mq_standin_now_us () < e->fault.link_until_us)
    delay = e->fault.link_us;
  g_hash_table_iter_init (&iter, e->outboxes);
  while (g_hash_table_iter_next (&iter, &url, &value))
    {
      GString *box = value;
      peer_post *post;

      if (box->len == 0)
        continue;
      post = g_new0 (peer_post, 1);
      post->engine = e;
      post->url = g_strconcat (url, "/v1/activations", NULL);
      post->lines = g_string_new_len (box->str, (gssize)box->len);
      g_string_truncate (box, 0);
      if (delay == 0)
        post_send (post);
      else
        mq_standin_call_after (e->loop, delay, post_send, post);
    }
}

/* Add the stream that LINE opens.  Returns it, borrowed from E, or NULL when E
   can't run it.  */
static stream *
engine_open_stream_from_line (engine *e, const peer_line *line)
{
  json_object *json = mq_standin_parse_json (line->field[8]);
  stream *s = stream_new (line->field[1], line_number (line, 2));

  s->stage = line_number (line, 3);
  if (json == NULL || engine_read_plan (json, &s->plan) != 0
      || !engine_holds_stage (e, &s->plan, s->stage))
    {
      stream_unref (s);
      s = NULL;
      goto out;
    }
  s->priority = (int)mq_standin_get_int (json, "priority", 0);
  s->deadline_us
      = mq_standin_now_us ()
        + (uint64_t)mq_standin_get_int (json, "deadline_ms", 0) * 1000;
  s->prefix = span_hex (mq_standin_get_string (json, "prefix"));
  s->prompt_tokens = (uint32_t)mq_standin_get_int (json, "prompt_tokens", 0);
  s->sent_tokens = (uint32_t)mq_standin_get_int (json, "sent_tokens", 0);
  engine_add_stream (e, s);
out:
  json_object_put (json);
  return s;
}

/* Queue S for a step with the activation in LINE.  A line for any position but
   the next one is counted and ignored.  */
static void
engine_handle_step (engine *e, stream *s, const peer_line *line)
{
  uint32_t position = line_number (line, 4);

  if (s->exchange != NULL || line_number (line, 3) != s->stage
      || (s->began && position != s->position + 1))
    {
      e->stats.unmatched++;
      return;
    }
  s->began = true;
  s->position = position;
  s->due_us = line_due (line, 5);
  s->activation = span_hex (line->field[6]);
  g_string_truncate (s->receipts, 0);
  if (line->field[7].size > 0)
    g_string_append_len (s->receipts, line->field[7].data,
                         (gssize)line->field[7].size);
  engine_make_ready (e, s);
}

/* Handle one line.  Append to REPLY when its stream can't run here.  */
static void
engine_handle_line (engine *e, const peer_line *line, GString *reply)
{
  stream *s = line_stream (e, line);
  bool open = mq_span_equal (line->field[0], MQ_SPAN (LINE_OPEN));

  if (open && s == NULL)
    s = engine_open_stream_from_line (e, line);
  if (open || mq_span_equal (line->field[0], MQ_SPAN (LINE_STEP)))
    {
      if (s != NULL)
        engine_handle_step (e, s, line);
      else
        g_string_append_printf (
            reply, "%.*s\t%.*s\t%.*s\n", MQ_SPAN_ARG (line->field[1]),
            MQ_SPAN_ARG (line->field[2]), MQ_SPAN_ARG (line->field[3]));
    }
  else if (s == NULL)
    e->stats.unmatched++;
  else if (mq_span_equal (line->field[0], MQ_SPAN (LINE_TOKEN)))
    {
      s->due_us = line_due (line, 4);
      engine_handle_token (e, s, line_number (line, 3), line->field[5],
                           line->field[6]);
    }
  else if (mq_span_equal (line->field[0], MQ_SPAN (LINE_DROP)))
    engine_drop_stream (e, s, true);
  else if (mq_span_equal (line->field[0], MQ_SPAN (LINE_LOST))
           && s->exchange != NULL)
    engine_end_stream (e, s, END_STAGE_LOST, line_number (line, 3));
}

void
engine_handle_activations (engine *e, mq_http_exchange *exchange)
{
  mq_span text = mq_http_exchange_body (exchange);
  GString *reply = g_string_new (NULL);
  peer_line line;

  while (line_next (&text, &line))
    engine_handle_line (e, &line, reply);
  mq_http_exchange_reply (exchange, 200, NULL, 0,
                          (mq_span){ reply->str, reply->len });
  g_string_free (reply, TRUE);
  engine_flush (e);
  engine_start_step (e);
}
