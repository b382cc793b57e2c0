/* The callers of a run: see callers.h.  */

#include "callers.h"

#include <string.h>

#define ASK_MS 1000
#define FALLBACK_TTL_MS 2000
#define PRIME_TURNS 200
/* Tickets that a caller asks for each time.  */
#define TICKETS "16"

void
load_ticket_free (load_ticket *ticket)
{
  if (ticket == NULL)
    return;
  g_free (ticket->text);
  g_free (ticket->address);
  g_free (ticket);
}

static void
caller_drop_tickets (load_caller *c)
{
  load_ticket *t;

  while ((t = g_queue_pop_head (&c->tickets)) != NULL)
    load_ticket_free (t);
}

static void
caller_free (gpointer data)
{
  load_caller *c = data;

  g_ptr_array_unref (c->entries);
  caller_drop_tickets (c);
  g_free (c->asked);
  g_free (c->authorization);
  g_free (c);
}

static json_object *
member (json_object *json, const char *key, json_type type)
{
  json_object *v;

  if (!json_object_object_get_ex (json, key, &v)
      || !json_object_is_type (v, type))
    return NULL;
  return v;
}

static void
caller_take_entries (load_caller *c, json_object *list)
{
  g_ptr_array_set_size (c->entries, 0);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *a = member (json_object_array_get_idx (list, i), "address",
                               json_type_string);

      if (a != NULL)
        g_ptr_array_add (c->entries, g_strdup (json_object_get_string (a)));
    }
}

static void
caller_take_tickets (load_caller *c, json_object *list)
{
  caller_drop_tickets (c);
  for (size_t i = 0; list != NULL && i < json_object_array_length (list); i++)
    {
      json_object *v = json_object_array_get_idx (list, i);
      load_ticket *t;

      if (!json_object_is_type (v, json_type_string))
        continue;
      t = g_new0 (load_ticket, 1);
      t->text = g_strdup (json_object_get_string (v));
      t->address = g_strdup (c->asked);
      g_queue_push_tail (&c->tickets, t);
    }
}

static void
caller_take_answer (load_caller *c, mq_span text)
{
  char *copy = g_strndup (text.data, text.size);
  json_object *json = json_tokener_parse (copy);
  json_object *entries = member (json, "entries", json_type_array);
  json_object *ttl = member (json, "ttl_ms", json_type_int);
  int64_t ttl_ms = ttl == NULL ? FALLBACK_TTL_MS : json_object_get_int64 (ttl);

  if (entries != NULL && json_object_array_length (entries) > 0)
    {
      caller_take_entries (c, entries);
      caller_take_tickets (c, member (json, "tickets", json_type_array));
    }
  c->expires_us = (uint64_t)g_get_monotonic_time () + (uint64_t)ttl_ms * 1000;
  json_object_put (json);
  g_free (copy);
}

static void
caller_sink (void *context, const mq_http_client_event *event)
{
  load_caller *c = context;

  if (event->kind != MQ_HTTP_CLIENT_END)
    return;
  c->asking = false;
  if (event->result == MQ_HTTP_OK && event->status == 200)
    {
      caller_take_answer (c, event->data);
      return;
    }
  c->callers->failed++;
  c->expires_us = 0;
}

/* Whom to ask: the entries in turn; all routers for one who has none or whose
   asks fail.  */
static const char *
caller_ask_address (const load_caller *c)
{
  const GPtrArray *all = c->callers->cluster->processes;
  uint32_t routers = c->callers->cluster->scenario->routers;
  uint32_t n = c->asks;

  if (c->entries->len > 0 && n % 2 == 0)
    return g_ptr_array_index (c->entries, (n / 2) % c->entries->len);
  return ((const load_process *)g_ptr_array_index (all,
                                                   all->len - 1 - n % routers))
      ->address;
}

static void
caller_ask (load_caller *c)
{
  char *url;
  mq_http_header h
      = { MQ_SPAN ("Authorization"), mq_span_from (c->authorization) };
  mq_http_call_options o
      = { .headers = &h, .n_headers = 1, .timeout_ms = ASK_MS };

  if (c->asking)
    return;
  c->asking = true;
  g_free (c->asked);
  c->asked = g_strdup (caller_ask_address (c));
  url = g_strdup_printf ("http://%s/v1/entries?tickets=" TICKETS, c->asked);
  o.url = mq_span_from (url);
  c->asks++;
  c->callers->asked++;
  mq_http_client_start (c->callers->cluster->client, &o, caller_sink, c);
  g_free (url);
}

static void
callers_add (load_callers *callers, uint32_t organisation)
{
  const load_organisation *o
      = &g_array_index (callers->cluster->scenario->organisations,
                        load_organisation, organisation);
  char *token = load_token (o);

  for (uint32_t i = 0; i < o->callers; i++)
    {
      load_caller *c = g_new0 (load_caller, 1);

      c->callers = callers;
      c->organisation = organisation;
      c->entries = g_ptr_array_new_with_free_func (g_free);
      c->asks = callers->list->len * 2 + 1; /* Not all at one router.  */
      c->authorization = g_strdup_printf ("Bearer %s", token);
      g_queue_init (&c->tickets);
      g_ptr_array_add (callers->list, c);
    }
  g_free (token);
}

void
load_callers_init (load_callers *callers, const load_cluster *cluster)
{
  const GArray *organisations = cluster->scenario->organisations;

  memset (callers, 0, sizeof *callers);
  callers->cluster = cluster;
  callers->list = g_ptr_array_new_with_free_func (caller_free);
  callers->first = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < organisations->len; i++)
    {
      g_array_append_val (callers->first, callers->list->len);
      callers_add (callers, i);
    }
}

void
load_callers_finish (load_callers *callers)
{
  g_ptr_array_unref (callers->list);
  g_array_unref (callers->first);
}

static bool
callers_wait (const load_callers *callers)
{
  for (guint i = 0; i < callers->list->len; i++)
    if (((load_caller *)g_ptr_array_index (callers->list, i))->asking)
      return true;
  return false;
}

void
load_callers_prime (load_callers *callers)
{
  for (guint i = 0; i < callers->list->len; i++)
    caller_ask (g_ptr_array_index (callers->list, i));
  for (int i = 0; i < PRIME_TURNS && callers_wait (callers); i++)
    ev_run (callers->cluster->loop, EVRUN_ONCE);
}

load_caller *
load_callers_get (load_callers *callers, uint32_t organisation,
                  uint32_t number)
{
  load_caller *c = g_ptr_array_index (
      callers->list,
      g_array_index (callers->first, guint, organisation) + number);

  if (c->expires_us <= (uint64_t)g_get_monotonic_time ())
    caller_ask (c);
  return c;
}

const char *
load_caller_entry (const load_caller *caller, uint32_t turn)
{
  if (caller->entries->len == 0)
    return NULL;
  return g_ptr_array_index (caller->entries, turn % caller->entries->len);
}

void
load_caller_disappointed (load_caller *caller, const char *address)
{
  GQueue kept = G_QUEUE_INIT;
  load_ticket *t;

  while ((t = g_queue_pop_head (&caller->tickets)) != NULL)
    if (strcmp (t->address, address) == 0)
      load_ticket_free (t);
    else
      g_queue_push_tail (&kept, t);
  caller->tickets = kept;
  caller->expires_us = 0;
  caller_ask (caller);
}

load_ticket *
load_caller_ticket (load_caller *caller)
{
  return g_queue_pop_head (&caller->tickets);
}
