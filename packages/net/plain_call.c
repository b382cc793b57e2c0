/* Calls of plain services: see mq/plain_call.h.  */

#include <mq/plain_call.h>

#include <string.h>

#define CONNECT_TIMEOUT_MS 500
#define MAX_REQUEST_HEADERS 16
/* By this header with the value "no" an instance states that it did not run
   the call.  */
#define RAN_HEADER "Marjoramquay-Ran"

/* The end-to-end headers of a response that are forwarded.  */
static const char *const forwarded_headers[]
    = { "Content-Type",  "Cache-Control", "ETag",
        "Last-Modified", "Location",      "Retry-After" };
G_STATIC_ASSERT (G_N_ELEMENTS (forwarded_headers)
                 <= MQ_PLAIN_CALL_MAX_HEADERS);

static const char *const single_headers[] = { RAN_HEADER, NULL };

struct mq_plain_call
{
  mq_http_call *call; /* Borrowed.  */
  mq_plain_call_sink sink;
  void *context;
};

static void
reply_headers (const mq_http_call *call, mq_plain_call_event *event)
{
  for (size_t i = 0; i < G_N_ELEMENTS (forwarded_headers); i++)
    {
      mq_span value = mq_http_call_header (call, forwarded_headers[i]);
      mq_http_header *h = &event->u.reply.headers[event->u.reply.n_headers];

      if (value.data == NULL)
        continue;
      h->name = mq_span_from (forwarded_headers[i]);
      h->value = value;
      event->u.reply.n_headers++;
    }
}

static void
event_from_end (const mq_http_client_event *end, mq_plain_call_event *event)
{
  mq_span ran = mq_http_call_header (end->call, RAN_HEADER);
  bool denies_run
      = end->result == MQ_HTTP_OK && mq_span_equal (ran, MQ_SPAN ("no"));

  if (end->result != MQ_HTTP_OK || denies_run)
    {
      event->kind = MQ_PLAIN_CALL_FAILED;
      event->u.failure.maybe_sent = end->maybe_sent;
      event->u.failure.said_not_run
          = denies_run && mq_response_status_rejects (end->status);
      event->u.failure.timed_out = end->result == MQ_HTTP_TIMEOUT;
      return;
    }
  event->kind = MQ_PLAIN_CALL_REPLY;
  event->u.reply.status = end->status;
  event->u.reply.body = end->data;
  reply_headers (end->call, event);
}

static void
plain_call_on_http (void *context, const mq_http_client_event *end)
{
  mq_plain_call *call = context;
  mq_plain_call_event event = { 0 };

  if (end->kind != MQ_HTTP_CLIENT_END)
    return;
  call->call = NULL;
  event_from_end (end, &event);
  call->sink (call->context, &event);
  g_free (call);
}

static char *
target_url (const mq_plain_call_options *options)
{
  GString *url = g_string_new_len (options->instance.data,
                                   (gssize)options->instance.size);

  g_string_append_len (url, options->path.data, (gssize)options->path.size);
  if (options->query.size > 0)
    {
      g_string_append_c (url, '?');
      g_string_append_len (url, options->query.data,
                           (gssize)options->query.size);
    }
  return g_string_free (url, FALSE);
}

mq_plain_call *
mq_plain_call_new (mq_http_client *client,
                   const mq_plain_call_options *options,
                   mq_plain_call_sink sink, void *context)
{
  mq_plain_call *call = g_new0 (mq_plain_call, 1);
  mq_http_header headers[MAX_REQUEST_HEADERS];
  size_t n = MIN (options->n_headers, MAX_REQUEST_HEADERS - 1);
  char *url = target_url (options);
  mq_http_call_options http = {
    .method = options->method,
    .url = mq_span_from (url),
    .headers = headers,
    .n_headers = n + 1,
    .single = single_headers,
    .body = options->body,
    .body_stays = true,
    .shares_room = true,
    .connect_ms = CONNECT_TIMEOUT_MS,
    .timeout_ms = MAX (options->deadline_us / 1000, 1),
    .body_limit = options->body_limit,
    .once = true,
  };

  if (n > 0)
    memcpy (headers, options->headers, n * sizeof *headers);
  headers[n].name = MQ_SPAN ("Marjoramquay-Request");
  headers[n].value = options->request;
  call->sink = sink;
  call->context = context;
  call->call = mq_http_client_start (client, &http, plain_call_on_http, call);
  g_free (url);
  return call;
}

void
mq_plain_call_cancel (mq_plain_call *call)
{
  if (call->call != NULL)
    mq_http_call_cancel (call->call);
  g_free (call);
}
