/* Client of the platform's object service: see mq/platform.h.

   Invariant: a call is in CALLS from its start until it has reported or was
   cancelled, and is then freed.  */

#include <mq/platform.h>

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <mq/json.h>

/* A call may wait half a minute for a change.  Keepalive probes detect a dead
   connection within this time.  */
#define MAX_UNACKNOWLEDGED_MS 2000
#define DEFAULT_TIMEOUT_MS 2000
#define ETAG_BYTES 32
/* A page of a scan is about 1 MB, and a single object may be as large.  */
#define MAX_SCAN_BYTES ((size_t)4 * 1024 * 1024)
#define US_PER_S 1000000

#define HTTP_OK 200
#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304
#define HTTP_NOT_FOUND 404
#define HTTP_PRECONDITION_FAILED 412
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVER_ERROR 500
#define HTTP_UNAVAILABLE 503

static const char *const single_headers[] = { "ETag", "Retry-After", NULL };

struct mq_platform
{
  mq_http_client *client; /* Borrowed.  */
  mq_str *url;
  uint64_t timeout_ms;
  const mq_platform_dialect *dialect; /* Borrowed; NULL: /v1/objects.  */
  GHashTable *calls;                  /* Set of mq_platform_call, owned.  */
  mq_platform_counters counters;
};

struct mq_platform_call
{
  mq_platform *platform;
  mq_platform_op op;
  mq_http_call *http; /* Borrowed; invalid once it has ended.  */
  mq_str *prefix;     /* Of the names of a LIST; NULL for other calls.  */
  mq_platform_sink sink;
  void *context;
};

/* A call in the default protocol.  */
typedef struct platform_request
{
  mq_platform_op op;
  char *url;        /* Owned; freed by platform_start.  */
  uint64_t version; /* For If-Match.  */
  mq_span value;
  uint64_t wait_ms; /* How long a watch waits.  */
  mq_span prefix;   /* Of a LIST.  */
} platform_request;

static bool
platform_op_writes (mq_platform_op op)
{
  return op == MQ_PLATFORM_PUT || op == MQ_PLATFORM_CREATE
         || op == MQ_PLATFORM_DELETE;
}

/* Returns the number in an ETag such as "12", or 0 if it is malformed.  */
static uint64_t
platform_version (mq_span etag)
{
  uint64_t version = 0;

  if (etag.size < 2 || etag.data[0] != '"' || etag.data[etag.size - 1] != '"')
    return 0;
  if (mq_span_to_u64 ((mq_span){ etag.data + 1, etag.size - 2 }, &version) < 0)
    return 0;
  return version;
}

/* Returns the result of a call without a valid reply.  */
static mq_platform_result
platform_failed_result (mq_platform_op op, bool maybe_sent)
{
  return platform_op_writes (op) && maybe_sent ? MQ_PLATFORM_UNKNOWN
                                               : MQ_PLATFORM_UNAVAILABLE;
}

static mq_platform_result
platform_classify (mq_platform_op op, const mq_http_client_event *event)
{
  if (event->too_large && !platform_op_writes (op))
    return MQ_PLATFORM_UNREADABLE;
  if (event->result != MQ_HTTP_OK)
    return platform_failed_result (op, event->maybe_sent);
  switch (event->status)
    {
    case HTTP_OK:
    case HTTP_NO_CONTENT:
      return MQ_PLATFORM_OK;
    case HTTP_NOT_MODIFIED:
      return MQ_PLATFORM_UNCHANGED;
    case HTTP_NOT_FOUND:
      return MQ_PLATFORM_MISSING;
    case HTTP_PRECONDITION_FAILED:
      return MQ_PLATFORM_CONFLICT;
    case HTTP_TOO_MANY_REQUESTS:
      return MQ_PLATFORM_BUSY;
    case HTTP_UNAVAILABLE:
      return MQ_PLATFORM_UNAVAILABLE;
    default:
      /* After a server error, a write may or may not have taken effect.  */
      return event->status < HTTP_SERVER_ERROR
                 ? MQ_PLATFORM_REFUSED
                 : platform_failed_result (op, true);
    }
}

/* Returns true if a successful or negative RESULT may answer OP.  */
static bool
platform_result_fits (mq_platform_op op, mq_platform_result result,
                      unsigned status)
{
  switch (result)
    {
    case MQ_PLATFORM_OK:
      return op == MQ_PLATFORM_DELETE || status == HTTP_OK;
    case MQ_PLATFORM_UNCHANGED:
      return op == MQ_PLATFORM_WATCH;
    case MQ_PLATFORM_MISSING:
      return op != MQ_PLATFORM_LIST && op != MQ_PLATFORM_VMS;
    case MQ_PLATFORM_CONFLICT:
      return platform_op_writes (op);
    default:
      return true;
    }
}

/* Returns true if the head of EVENT's response agrees with the RESULT that its
   status states.  A value whose end only the end of its connection shows may
   be cut.  */
static bool
platform_head_is_sound (mq_platform_op op, mq_platform_result result,
                        const mq_http_client_event *event)
{
  mq_span etag = mq_http_call_header (event->call, "ETag");
  bool has_version = platform_version (etag) > 0;
  bool has_value = op == MQ_PLATFORM_GET || op == MQ_PLATFORM_WATCH;

  if (!platform_result_fits (op, result, event->status)
      || (etag.data != NULL && !has_version))
    return false;
  if (result != MQ_PLATFORM_OK)
    return true;
  if (has_value && event->framing == MQ_RESPONSE_TO_CLOSE)
    return false;
  /* A reply without a version is not from the object service.  */
  return has_version || op == MQ_PLATFORM_DELETE || op == MQ_PLATFORM_LIST
         || op == MQ_PLATFORM_VMS;
}

static void
platform_read_objects (const mq_json *list, mq_span prefix, GArray *objects)
{
  for (size_t i = 0; i < mq_json_size (list); i++)
    {
      mq_platform_object o = { 0 };
      mq_json json;

      if (!mq_json_element (list, i, &json))
        return;
      mq_json_require (&json, "name", "version", NULL);
      o.name = mq_json_span (&json, "name", MQ_SPAN (""));
      o.version = mq_json_u64 (&json, "version", 1, UINT64_MAX, 0);
      if (!mq_span_starts_with (o.name, prefix))
        mq_json_fault (&json, "name", "not of the prefix that was asked for");
      g_array_append_val (objects, o);
    }
}

static void
platform_read_vms (const mq_json *list, GArray *vms)
{
  static const char *const states[] = { "live", "leaving", NULL };

  for (size_t i = 0; i < mq_json_size (list); i++)
    {
      mq_platform_vm vm = { 0 };
      mq_json json;

      if (!mq_json_element (list, i, &json))
        return;
      mq_json_require (&json, "name", "address", "state", NULL);
      vm.name = mq_json_span (&json, "name", MQ_SPAN (""));
      vm.address = mq_json_span (&json, "address", MQ_SPAN (""));
      vm.leaving = mq_json_enum (&json, "state", states, 0) == 1;
      g_array_append_val (vms, vm);
    }
}

/* Decode the reply to a LIST or VMS into ITEMS.  Returns the document that
   ITEMS borrows from, or NULL if the reply is invalid.  */
static mq_json_doc *
platform_read_list (const mq_platform_call *call, mq_span body, GArray *items)
{
  mq_platform_op op = call->op;
  const char *key = op == MQ_PLATFORM_VMS ? "vms" : "objects";
  mq_json_doc *doc = mq_json_parse (MQ_SPAN ("platform"), body, NULL);
  mq_json root;
  mq_json list;

  if (doc == NULL)
    return NULL;
  root = mq_json_root (doc);
  mq_json_require (&root, key, NULL);
  if (mq_json_array (&root, key, &list))
    {
      if (op == MQ_PLATFORM_VMS)
        platform_read_vms (&list, items);
      else
        platform_read_objects (&list, mq_str_span (call->prefix), items);
    }
  if (mq_json_doc_check (doc, NULL) == 0)
    return doc;
  mq_json_doc_free (doc);
  return NULL;
}

static void
platform_call_free (gpointer data)
{
  mq_platform_call *call = data;

  mq_str_unref (call->prefix);
  g_free (call);
}

/* Report REPLY to CALL's sink; frees CALL.  */
static void
platform_report (mq_platform_call *call, const mq_platform_reply *reply)
{
  mq_platform_sink sink = call->sink;
  void *context = call->context;

  call->platform->counters.results[reply->op][reply->result]++;
  g_hash_table_remove (call->platform->calls, call);
  sink (context, reply);
}

/* Report the reply BODY to a LIST or VMS.  */
static void
platform_report_list (mq_platform_call *call, mq_platform_reply *reply,
                      mq_span body)
{
  bool vms = call->op == MQ_PLATFORM_VMS;
  GArray *items = g_array_new (FALSE, FALSE,
                               vms ? sizeof (mq_platform_vm)
                                   : sizeof (mq_platform_object));
  mq_json_doc *doc = platform_read_list (call, body, items);

  if (doc == NULL)
    reply->result = MQ_PLATFORM_UNAVAILABLE;
  else if (vms)
    {
      reply->vms = (const mq_platform_vm *)(void *)items->data;
      reply->n_vms = items->len;
    }
  else
    {
      reply->objects = (const mq_platform_object *)(void *)items->data;
      reply->n_objects = items->len;
    }
  platform_report (call, reply);
  mq_json_doc_free (doc);
  g_array_unref (items);
}

static void
platform_on_http (void *context, const mq_http_client_event *event)
{
  mq_platform_call *call = context;
  mq_platform_reply reply = { .op = call->op };
  uint64_t seconds = 0;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  reply.result = platform_classify (call->op, event);
  if (event->result == MQ_HTTP_OK)
    {
      if (!platform_head_is_sound (call->op, reply.result, event))
        reply.result = platform_failed_result (call->op, true);
      reply.version
          = platform_version (mq_http_call_header (event->call, "ETag"));
    }
  if (reply.result == MQ_PLATFORM_BUSY
      && mq_span_to_u64 (mq_http_call_header (event->call, "Retry-After"),
                         &seconds)
             == 0)
    reply.retry_after_us = seconds * US_PER_S;
  if (reply.result == MQ_PLATFORM_OK)
    {
      if (call->op == MQ_PLATFORM_LIST || call->op == MQ_PLATFORM_VMS)
        {
          platform_report_list (call, &reply, event->data);
          return;
        }
      if (call->op == MQ_PLATFORM_GET || call->op == MQ_PLATFORM_WATCH)
        reply.value = event->data;
    }
  platform_report (call, &reply);
}

/* Handle the end of a call in a dialect.  */
static void
platform_on_dialect (void *context, const mq_http_client_event *event)
{
  mq_platform_call *call = context;
  const mq_platform_dialect *dialect = call->platform->dialect;
  mq_platform_reply reply = { .op = call->op };
  void *decoded = NULL;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  reply.result = platform_classify (call->op, event);
  if (event->result == MQ_HTTP_OK)
    decoded = dialect->decode (call->op, event->status, event->data, &reply);
  platform_report (call, &reply);
  if (decoded != NULL)
    dialect->free_decoded (decoded);
}

static const char *
platform_method (mq_platform_op op)
{
  switch (op)
    {
    case MQ_PLATFORM_PUT:
    case MQ_PLATFORM_CREATE:
      return "PUT";
    case MQ_PLATFORM_DELETE:
      return "DELETE";
    case MQ_PLATFORM_GET:
    case MQ_PLATFORM_LIST:
    case MQ_PLATFORM_WATCH:
    case MQ_PLATFORM_VMS:
    case MQ_PLATFORM_SCAN:
    case MQ_PLATFORM_FOLLOW:
    case MQ_PLATFORM_OPS:
      break;
    }
  return "GET";
}

static mq_platform_call *
platform_start (mq_platform *p, const platform_request *request,
                mq_platform_sink sink, void *context)
{
  mq_platform_call *call = g_new0 (mq_platform_call, 1);
  char etag[ETAG_BYTES];
  mq_http_header condition;
  mq_http_call_options options
      = { .method = mq_span_from (platform_method (request->op)),
          .url = mq_span_from (request->url),
          .headers = &condition,
          .n_headers = platform_op_writes (request->op) ? 1 : 0,
          .single = single_headers,
          .body = request->value,
          .timeout_ms = p->timeout_ms + request->wait_ms,
          .body_limit = MQ_PLATFORM_MAX_VALUE_BYTES };

  if (request->op == MQ_PLATFORM_CREATE)
    condition = (mq_http_header){ MQ_SPAN ("If-None-Match"), MQ_SPAN ("*") };
  else
    {
      snprintf (etag, sizeof etag, "\"%" PRIu64 "\"", request->version);
      condition
          = (mq_http_header){ MQ_SPAN ("If-Match"), mq_span_from (etag) };
    }
  call->platform = p;
  call->op = request->op;
  if (request->op == MQ_PLATFORM_LIST)
    call->prefix = mq_str_new (request->prefix);
  call->sink = sink;
  call->context = context;
  p->counters.calls[request->op]++;
  g_hash_table_add (p->calls, call);
  call->http
      = mq_http_client_start (p->client, &options, platform_on_http, call);
  g_free (request->url);
  return call;
}

/* Returns the URL of NAME under PATH; free with g_free.  */
static char *
platform_url (const mq_platform *p, const char *path, mq_span name)
{
  char *text = g_strndup (name.size ? name.data : "", name.size);
  char *escaped = g_uri_escape_string (text, "/", FALSE);
  char *url = g_strconcat (mq_str_cstr (p->url), path, escaped, NULL);

  g_free (escaped);
  g_free (text);
  return url;
}

mq_platform *
mq_platform_new (mq_http_client *client, mq_span url, uint64_t timeout_ms)
{
  mq_platform *p = g_new0 (mq_platform, 1);

  while (url.size > 0 && url.data[url.size - 1] == '/')
    url.size--;
  p->client = client;
  p->url = mq_str_new (url);
  p->timeout_ms = timeout_ms ? timeout_ms : DEFAULT_TIMEOUT_MS;
  p->calls = g_hash_table_new_full (NULL, NULL, platform_call_free, NULL);
  return p;
}

void
mq_platform_free (mq_platform *platform)
{
  GHashTableIter iter;
  gpointer key;

  if (platform == NULL)
    return;
  g_hash_table_iter_init (&iter, platform->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    mq_http_call_cancel (((mq_platform_call *)key)->http);
  g_hash_table_unref (platform->calls);
  mq_str_unref (platform->url);
  g_free (platform);
}

mq_platform *
mq_platform_new_dialect (mq_http_client *client, mq_span url,
                         uint64_t timeout_ms,
                         const mq_platform_dialect *dialect)
{
  mq_platform *p = mq_platform_new (client, url, timeout_ms);

  p->dialect = dialect;
  return p;
}

mq_platform_call *
mq_platform_get (mq_platform *platform, mq_span name, mq_platform_sink sink,
                 void *context)
{
  platform_request r
      = { .op = MQ_PLATFORM_GET,
          .url = platform_url (platform, "/v1/objects/", name) };

  return platform_start (platform, &r, sink, context);
}

mq_platform_call *
mq_platform_put (mq_platform *platform, mq_span name, uint64_t version,
                 mq_span value, mq_platform_sink sink, void *context)
{
  platform_request r = { .op = MQ_PLATFORM_PUT,
                         .url = platform_url (platform, "/v1/objects/", name),
                         .version = version,
                         .value = value };

  return platform_start (platform, &r, sink, context);
}

mq_platform_call *
mq_platform_create (mq_platform *platform, mq_span name, mq_span value,
                    mq_platform_sink sink, void *context)
{
  platform_request r = { .op = MQ_PLATFORM_CREATE,
                         .url = platform_url (platform, "/v1/objects/", name),
                         .value = value };

  return platform_start (platform, &r, sink, context);
}

mq_platform_call *
mq_platform_delete (mq_platform *platform, mq_span name, uint64_t version,
                    mq_platform_sink sink, void *context)
{
  platform_request r = { .op = MQ_PLATFORM_DELETE,
                         .url = platform_url (platform, "/v1/objects/", name),
                         .version = version };

  return platform_start (platform, &r, sink, context);
}

mq_platform_call *
mq_platform_list (mq_platform *platform, mq_span prefix, mq_platform_sink sink,
                  void *context)
{
  platform_request r
      = { .op = MQ_PLATFORM_LIST,
          .url = platform_url (platform, "/v1/objects?prefix=", prefix),
          .prefix = prefix };

  return platform_start (platform, &r, sink, context);
}

mq_platform_call *
mq_platform_watch (mq_platform *platform, mq_span name, uint64_t after,
                   uint64_t wait_ms, mq_platform_sink sink, void *context)
{
  char *path = platform_url (platform, "/v1/watch/", name);
  platform_request r
      = { .op = MQ_PLATFORM_WATCH,
          .url = g_strdup_printf ("%s?after=%" PRIu64 "&wait_ms=%" PRIu64,
                                  path, after, wait_ms),
          .wait_ms = wait_ms };

  g_free (path);
  return platform_start (platform, &r, sink, context);
}

mq_platform_call *
mq_platform_vms (mq_platform *platform, mq_platform_sink sink, void *context)
{
  platform_request r
      = { .op = MQ_PLATFORM_VMS,
          .url = platform_url (platform, "/v1/vms", MQ_SPAN ("")) };

  return platform_start (platform, &r, sink, context);
}

mq_platform_call *
mq_platform_request_start (mq_platform *platform,
                           const mq_platform_request *request,
                           mq_platform_sink sink, void *context)
{
  const mq_http_header type
      = { MQ_SPAN ("Content-Type"), MQ_SPAN ("application/json") };
  mq_platform_call *call = g_new0 (mq_platform_call, 1);
  mq_platform_wire wire = { "GET", g_string_new (NULL), g_string_new (NULL) };
  mq_http_call_options options
      = { .headers = &type,
          .timeout_ms = platform->timeout_ms + request->wait_ms,
          .unacknowledged_limit_ms = MAX_UNACKNOWLEDGED_MS,
          .body_limit = MAX_SCAN_BYTES };

  platform->dialect->encode (request, &wire);
  g_string_prepend_len (wire.path, platform->url->data,
                        (gssize)platform->url->size);
  options.method = mq_span_from (wire.method);
  options.url = (mq_span){ wire.path->str, wire.path->len };
  options.body = (mq_span){ wire.body->str, wire.body->len };
  options.n_headers = wire.body->len > 0 ? 1 : 0;
  call->platform = platform;
  call->op = request->op;
  call->sink = sink;
  call->context = context;
  platform->counters.calls[request->op]++;
  g_hash_table_add (platform->calls, call);
  call->http = mq_http_client_start (platform->client, &options,
                                     platform_on_dialect, call);
  g_string_free (wire.path, TRUE);
  g_string_free (wire.body, TRUE);
  return call;
}

void
mq_platform_cancel (mq_platform_call *call)
{
  mq_http_call_cancel (call->http);
  g_hash_table_remove (call->platform->calls, call);
}

const mq_platform_counters *
mq_platform_get_counters (const mq_platform *platform)
{
  return &platform->counters;
}

mq_store_reply
mq_platform_store_reply (const mq_platform_reply *reply)
{
  static const mq_store_result results[MQ_PLATFORM_RESULTS]
      = { [MQ_PLATFORM_OK] = MQ_STORE_OK,
          [MQ_PLATFORM_MISSING] = MQ_STORE_ABSENT,
          [MQ_PLATFORM_CONFLICT] = MQ_STORE_CONFLICT,
          [MQ_PLATFORM_UNCHANGED] = MQ_STORE_REFUSED,
          [MQ_PLATFORM_REFUSED] = MQ_STORE_REFUSED,
          [MQ_PLATFORM_BUSY] = MQ_STORE_REFUSED,
          [MQ_PLATFORM_UNAVAILABLE] = MQ_STORE_REFUSED,
          [MQ_PLATFORM_UNKNOWN] = MQ_STORE_UNKNOWN,
          [MQ_PLATFORM_UNREADABLE] = MQ_STORE_REFUSED,
          [MQ_PLATFORM_HISTORY_EXPIRED] = MQ_STORE_REFUSED };

  return (mq_store_reply){ .result = results[reply->result],
                           .version = reply->version,
                           .value = reply->value };
}

const char *
mq_platform_op_name (mq_platform_op op)
{
  static const char *const names[MQ_PLATFORM_OPS]
      = { "get",   "put", "create", "delete", "list",
          "watch", "vms", "scan",   "follow" };

  return names[op];
}

const char *
mq_platform_result_name (mq_platform_result result)
{
  static const char *const names[MQ_PLATFORM_RESULTS]
      = { "ok",   "missing",     "conflict", "unchanged",  "refused",
          "busy", "unavailable", "unknown",  "unreadable", "forgotten" };

  return names[result];
}
