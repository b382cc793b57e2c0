/* One HTTP call, waited for: see fetch.h.  */

#include "fetch.h"

#define FETCH_MS 5000
#define FETCH_LIMIT ((size_t)256 * 1024 * 1024)

typedef struct fetch
{
  struct ev_loop *loop;
  GString *answer;
  unsigned status;
} fetch;

static void
fetch_sink (void *context, const mq_http_client_event *event)
{
  fetch *f = context;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  if (event->result == MQ_HTTP_OK)
    f->status = event->status;
  if (f->answer != NULL && event->data.size > 0)
    g_string_append_len (f->answer, event->data.data,
                         (gssize)event->data.size);
  ev_break (f->loop, EVBREAK_ONE);
}

unsigned
load_fetch (struct ev_loop *loop, mq_http_client *client, const char *method,
            const char *url, const char *body, GString *answer)
{
  fetch f = { loop, answer, 0 };
  mq_http_call_options o = { .method = mq_span_from (method),
                             .url = mq_span_from (url),
                             .body = mq_span_from (body),
                             .timeout_ms = FETCH_MS,
                             .body_limit = FETCH_LIMIT };

  if (answer != NULL)
    g_string_truncate (answer, 0);
  mq_http_client_start (client, &o, fetch_sink, &f);
  ev_run (loop, 0);
  return f.status;
}
