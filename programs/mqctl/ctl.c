/* Shared by all verbs: see ctl.h.  */

#include "ctl.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define US_PER_S 1000000
#define ROUTER_TIMEOUT_MS 2000

/* A platform call whose reply is awaited.  */
typedef struct ctl_pending_call
{
  ctl *c;
  bool done;
  mq_platform_result result;
  uint64_t version;
  mq_str *value;
  GPtrArray *names;
} ctl_pending_call;

/* A request to a router whose response is awaited.  */
typedef struct ctl_pending_request
{
  ctl *c;
  bool done;
  ctl_response response;
} ctl_pending_request;

static void
ctl_str_free (gpointer data)
{
  mq_str_unref (data);
}

static void
ctl_on_reply (void *context, const mq_platform_reply *reply)
{
  ctl_pending_call *w = context;

  w->done = true;
  w->result = reply->result;
  w->version = reply->version;
  if (reply->value.data != NULL)
    w->value = mq_str_new (reply->value);
  if (reply->op == MQ_PLATFORM_LIST)
    {
      w->names = g_ptr_array_new_with_free_func (ctl_str_free);
      for (size_t i = 0; i < reply->n_objects; i++)
        g_ptr_array_add (w->names, mq_str_new (reply->objects[i].name));
    }
  ev_break (w->c->loop, EVBREAK_ALL);
}

static void
ctl_await (ctl *c, const ctl_pending_call *w)
{
  while (!w->done)
    ev_run (c->loop, 0);
}

static void
ctl_on_http (void *context, const mq_http_client_event *event)
{
  ctl_pending_request *w = context;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  w->done = true;
  w->response.result = event->result;
  w->response.status = event->status;
  w->response.body = mq_str_new (event->data);
  ev_break (w->c->loop, EVBREAK_ALL);
}

static void
ctl_on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static gint
ctl_compare_names (gconstpointer a, gconstpointer b)
{
  const mq_str *const *x = a;
  const mq_str *const *y = b;

  return mq_span_compare (mq_str_span (*x), mq_str_span (*y));
}

/* Returns a new reference to the text of FILE from LOCAL, the cache or the
   platform; NULL if it can't be fetched, or has another digest.  */
static mq_str *
ctl_fetch_text (ctl *c, const mq_manifest_file *file, const GArray *local)
{
  const mq_file *own
      = local ? mq_files_find (local, mq_str_span (file->name)) : NULL;
  char digest[MQ_DIGEST_SIZE];
  mq_str *text;
  mq_str *name;

  if (own != NULL)
    {
      mq_file_digest (mq_str_span (own->text), digest);
      if (strcmp (digest, file->digest.hex) == 0)
        return mq_str_ref (own->text);
    }
  text = g_hash_table_lookup (c->texts, file->digest.hex);
  if (text != NULL)
    return mq_str_ref (text);
  name = mq_manifest_file_object (&file->digest);
  if (ctl_get (c, mq_str_span (name), NULL, &text) == MQ_PLATFORM_OK)
    {
      mq_file_digest (mq_str_span (text), digest);
      if (strcmp (digest, file->digest.hex) == 0)
        g_hash_table_insert (c->texts, g_strdup (file->digest.hex),
                             mq_str_ref (text));
      else
        g_clear_pointer (&text, mq_str_unref);
    }
  mq_str_unref (name);
  return text;
}

void
ctl_init (ctl *c)
{
  c->loop = ev_loop_new (EVFLAG_AUTO);
  c->http = mq_http_client_new (c->loop, MQ_SPAN (""));
  c->platform = NULL;
  c->texts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, ctl_str_free);
}

void
ctl_finish (ctl *c)
{
  mq_platform_free (c->platform);
  mq_http_client_free (c->http);
  ev_loop_destroy (c->loop);
  g_hash_table_unref (c->texts);
}

void
ctl_print_error (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fputs ("mqctl: ", stderr);
  vfprintf (stderr, format, args);
  fputc ('\n', stderr);
  va_end (args);
}

int
ctl_require_platform (ctl *c)
{
  if (c->platform != NULL)
    return 0;
  if (c->options.platform == NULL)
    {
      ctl_print_error ("no platform address: use --platform http://IP:PORT or "
                       "set MQ_PLATFORM");
      return -1;
    }
  c->platform
      = mq_platform_new (c->http, mq_span_from (c->options.platform), 0);
  return 0;
}

mq_platform_result
ctl_get (ctl *c, mq_span name, uint64_t *version, mq_str **value)
{
  ctl_pending_call w = { .c = c };

  mq_platform_get (c->platform, name, ctl_on_reply, &w);
  ctl_await (c, &w);
  if (version != NULL)
    *version = w.version;
  *value = w.result == MQ_PLATFORM_OK ? w.value : NULL;
  if (*value == NULL)
    mq_str_unref (w.value);
  return w.result;
}

mq_platform_result
ctl_create (ctl *c, mq_span name, mq_span value)
{
  ctl_pending_call w = { .c = c };

  mq_platform_create (c->platform, name, value, ctl_on_reply, &w);
  ctl_await (c, &w);
  mq_str_unref (w.value);
  return w.result;
}

mq_platform_result
ctl_put (ctl *c, mq_span name, uint64_t version, mq_span value)
{
  ctl_pending_call w = { .c = c };

  mq_platform_put (c->platform, name, version, value, ctl_on_reply, &w);
  ctl_await (c, &w);
  mq_str_unref (w.value);
  return w.result;
}

mq_platform_result
ctl_delete (ctl *c, mq_span name, uint64_t version)
{
  ctl_pending_call w = { .c = c };

  mq_platform_delete (c->platform, name, version, ctl_on_reply, &w);
  ctl_await (c, &w);
  mq_str_unref (w.value);
  return w.result;
}

GPtrArray *
ctl_list (ctl *c, const char *prefix)
{
  ctl_pending_call w = { .c = c };

  mq_platform_list (c->platform, mq_span_from (prefix), ctl_on_reply, &w);
  ctl_await (c, &w);
  if (w.result == MQ_PLATFORM_OK)
    {
      g_ptr_array_sort (w.names, ctl_compare_names);
      return w.names;
    }
  if (w.names != NULL)
    g_ptr_array_unref (w.names);
  return NULL;
}

void
ctl_sleep_until (ctl *c, uint64_t when_us)
{
  uint64_t now = ctl_now_us (c);

  if (when_us > now)
    ctl_sleep (c, when_us - now);
}

void
ctl_sleep (ctl *c, uint64_t us)
{
  ev_timer timer;

  ev_timer_init (&timer, ctl_on_timer, (double)us / US_PER_S, 0);
  ev_timer_start (c->loop, &timer);
  while (ev_is_active (&timer))
    ev_run (c->loop, 0);
}

uint64_t
ctl_now_us (const ctl *c)
{
  (void)c;
  return (uint64_t)g_get_monotonic_time ();
}

ctl_response
ctl_send_request (ctl *c, const char *method, const char *base,
                  const char *path)
{
  ctl_pending_request w = { .c = c };
  char *url = g_strconcat (base, path, NULL);
  char *token = g_strconcat ("Bearer ", c->options.token, NULL);
  mq_http_header header = { MQ_SPAN ("Authorization"), mq_span_from (token) };
  mq_http_call_options options = { .method = mq_span_from (method),
                                   .url = mq_span_from (url),
                                   .headers = &header,
                                   .n_headers = c->options.token ? 1 : 0,
                                   .timeout_ms = ROUTER_TIMEOUT_MS };

  mq_http_client_start (c->http, &options, ctl_on_http, &w);
  while (!w.done)
    ev_run (c->loop, 0);
  g_free (token);
  g_free (url);
  return w.response;
}

void
ctl_response_finish (ctl_response *response)
{
  mq_str_unref (response->body);
}

ctl_exit
ctl_read_manifest (ctl *c, mq_manifest *manifest)
{
  mq_str *value = NULL;
  GError *error = NULL;
  mq_platform_result result
      = ctl_get (c, MQ_SPAN (MQ_MANIFEST_OBJECT), NULL, &value);
  ctl_exit status = CTL_OK;

  if (result == MQ_PLATFORM_MISSING)
    mq_manifest_init (manifest);
  else if (result != MQ_PLATFORM_OK)
    {
      ctl_print_error (
          "can't read the configuration manifest from the platform: %s",
          mq_platform_result_name (result));
      status = CTL_UNAVAILABLE;
    }
  else if (mq_manifest_decode (mq_str_span (value), manifest, &error) < 0)
    {
      ctl_print_error ("the platform's configuration manifest is invalid: %s",
                       error->message);
      g_error_free (error);
      status = CTL_UNAVAILABLE;
    }
  mq_str_unref (value);
  return status;
}

GArray *
ctl_fetch_files (ctl *c, const mq_manifest *manifest, const GArray *local)
{
  GArray *files = mq_files_new ();

  for (guint i = 0; i < manifest->files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (manifest->files, mq_manifest_file, i);
      mq_str *text = ctl_fetch_text (c, f, local);

      if (text == NULL)
        {
          g_array_unref (files);
          return NULL;
        }
      mq_files_put (files, f->name, text);
      mq_str_unref (text);
    }
  return files;
}
