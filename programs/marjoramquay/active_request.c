/* I/O state of requests that are being served: see active_request.h.  */

#include "active_request.h"

#include <stdio.h>

static void
completion_finish (mq_completion *completion)
{
  if (completion->stream != NULL)
    mq_engine_stream_cancel (completion->stream);
  mq_str_unref (completion->service);
  mq_str_unref (completion->prompt);
  g_clear_pointer (&completion->tokens, g_ptr_array_unref);
  if (completion->frame != NULL)
    g_string_free (completion->frame, TRUE);
}

static void
service_finish (mq_service_request *service)
{
  if (service->call != NULL)
    mq_plain_call_cancel (service->call);
  mq_str_unref (service->path);
  if (service->body != NULL)
    g_string_free (service->body, TRUE);
  for (size_t i = 0; i < service->n_headers; i++)
    g_free ((char *)service->headers[i].value.data);
}

static void
request_free (gpointer data)
{
  mq_active_request *r = data;

  switch (r->kind)
    {
    case MQ_ACTIVE_REQUEST_COMPLETION:
      completion_finish (&r->u.completion);
      break;
    case MQ_ACTIVE_REQUEST_SERVICE:
      service_finish (&r->u.service);
      break;
    }
  mq_http_exchange_set_user (r->exchange, NULL);
  mq_http_exchange_unref (r->exchange);
  g_free (r);
}

GHashTable *
mq_active_requests_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                request_free);
}

mq_active_request *
mq_active_request_new (mq_router *router, mq_active_request_kind kind,
                       mq_http_exchange *exchange)
{
  mq_active_request *r = g_new0 (mq_active_request, 1);

  r->router = router;
  r->handle = ++router->last_handle;
  r->exchange = mq_http_exchange_ref (exchange);
  r->kind = kind;
  r->started_us = mq_router_now_us ();
  mq_http_exchange_set_user (exchange, r);
  g_hash_table_insert (router->requests, &r->handle, r);
  return r;
}

mq_active_request *
mq_active_request_find (const mq_router *router, uint64_t handle)
{
  return g_hash_table_lookup (router->requests, &handle);
}

void
mq_active_request_remove (mq_active_request *request)
{
  g_hash_table_remove (request->router->requests, &request->handle);
}

void
mq_active_request_format_id (mq_request_id id, char *text)
{
  (void)snprintf (text, MQ_REQUEST_ID_SIZE,
                  "%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT, id.router,
                  id.sequence);
}

void
mq_active_request_set_id (mq_active_request *request, mq_request_id id)
{
  if (request->id[0] == '\0' && id.router != 0)
    {
      request->number = id;
      mq_active_request_format_id (id, request->id);
    }
}
