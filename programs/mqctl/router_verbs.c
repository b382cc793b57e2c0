/* The verbs that send requests to routers: status, explain, entries, drain. */

#include "routers.h"

#include "table.h"
#include <inttypes.h>
#include <mq/json_message.h>
#include <stdio.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_NOT_FOUND 404

static void
status_add_row (ctl_table *table, const ctl_router *s)
{
  struct json_object *members;

  if (s->status == NULL)
    {
      ctl_table_add (table, "?", s->base, "no answer", "", "", "", "");
      return;
    }
  members = ctl_router_members (s->status);
  ctl_table_cell (table, "%s", ctl_json_string (s->status, "name"));
  ctl_table_cell (table, "%s", s->base);
  ctl_table_cell (table, "%s",
                  ctl_json_flag (s->status, "draining") ? "leaving"
                                                        : "serving");
  ctl_table_cell (table, "%" PRIu64,
                  ctl_json_number (s->status, "generation"));
  ctl_table_cell (table, "%" PRIu64, ctl_json_number (s->status, "in_flight"));
  ctl_table_cell (table, "%zu",
                  members ? json_object_array_length (members) : 0);
  ctl_table_cell (table, "%s", ctl_json_string (s->status, "failure_domain"));
}

static void
status_print (const GArray *routers)
{
  ctl_table table;

  ctl_table_init (&table, 7, "VM", "ADDRESS", "STATE", "GENERATION",
                  "IN FLIGHT", "MEMBERS", "FAILURE DOMAIN");
  for (guint i = 0; i < routers->len; i++)
    status_add_row (&table, &g_array_index (routers, ctl_router, i));
  ctl_table_print (&table);
  ctl_table_finish (&table);
}

static void
status_print_json (const GArray *routers)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < routers->len; i++)
    {
      const ctl_router *s = &g_array_index (routers, ctl_router, i);
      struct json_object *o = json_object_new_object ();

      json_object_object_add (o, "address", json_object_new_string (s->base));
      json_object_object_add (o, "status",
                              s->status ? json_object_get (s->status) : NULL);
      json_object_array_add (list, o);
    }
  json_object_object_add (root, "routers", list);
  puts (json_object_to_json_string_ext (root, JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
}

static guint
status_count_unreachable (const GArray *routers)
{
  guint n = 0;

  for (guint i = 0; i < routers->len; i++)
    if (g_array_index (routers, ctl_router, i).status == NULL)
      n++;
  return n;
}

int
ctl_status (ctl *c, int argc, char **argv)
{
  GArray *routers;
  int status;

  (void)argc;
  (void)argv;
  if (ctl_routers_require (c) < 0)
    return CTL_USAGE;
  routers = ctl_routers_query (c);
  if (c->options.json)
    status_print_json (routers);
  else
    status_print (routers);
  status = status_count_unreachable (routers) > 0 ? CTL_UNAVAILABLE : CTL_OK;
  g_array_unref (routers);
  return status;
}

/* Print BODY, indented unless the output is for programs (--json).  Returns 0,
   or -1 with nothing printed if it is no JSON object.  */
static int
router_print_body (const ctl *c, const mq_str *body)
{
  struct json_object *o = mq_json_message_parse (mq_str_span (body));

  if (o == NULL)
    return -1;
  if (c->options.json)
    fputs (mq_str_cstr (body), stdout);
  else
    puts (json_object_to_json_string_ext (
        o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (o);
  return 0;
}

/* Print the response to GET PATH from the router at BASE.  Returns an exit
   code: CTL_CONFLICT, with nothing printed, if the status is 404.  */
static int
router_show (ctl *c, const char *base, const char *path)
{
  ctl_response response = ctl_send_request (c, "GET", base, path);
  int status = CTL_UNAVAILABLE;

  if (response.result == MQ_HTTP_BROKEN)
    ctl_print_error ("the response of %s is cut or malformed", base);
  else if (response.result != MQ_HTTP_OK)
    ctl_print_error ("%s does not answer", base);
  else if (response.status == HTTP_OK)
    {
      if (router_print_body (c, response.body) == 0)
        status = CTL_OK;
      else
        ctl_print_error ("the response of %s is cut or malformed", base);
    }
  else if (response.status == HTTP_NOT_FOUND)
    status = CTL_CONFLICT;
  else
    ctl_print_error ("%s returned status %u: %s", base, response.status,
                     mq_str_cstr (response.body));
  ctl_response_finish (&response);
  return status;
}

/* Print the change whose id or generation is ID.  Returns an exit code:
   CTL_CONFLICT if there is none.  */
static int
explain_change (ctl *c, const char *id)
{
  GArray *changes = mq_change_records_new ();
  guint missing = 0;
  uint64_t generation = 0;
  int status = (int)ctl_read_history (c, changes, &missing);

  if (status == CTL_OK)
    status = missing > 0 ? CTL_UNAVAILABLE : CTL_CONFLICT;
  (void)mq_span_to_u64 (mq_span_from (id), &generation);
  for (guint i = 0; i < changes->len; i++)
    {
      const mq_change_record *r
          = &g_array_index (changes, mq_change_record, i);
      struct json_object *o;

      if (r->generation != generation
          && !mq_span_equal (mq_str_span (r->id), mq_span_from (id)))
        continue;
      o = ctl_change_json (r);
      puts (json_object_to_json_string_ext (
          o, JSON_C_TO_STRING_NOSLASHESCAPE
                 | (c->options.json ? 0 : JSON_C_TO_STRING_PRETTY)));
      json_object_put (o);
      status = CTL_OK;
    }
  g_array_unref (changes);
  return status;
}

/* Query all routers until one knows the request ID, which any of them may have
   served.  Returns an exit code.  */
static int
explain_request (ctl *c, const char *id)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strconcat ("/v1/explain/", escaped, NULL);
  GArray *routers = ctl_routers_query (c);
  int status = CTL_CONFLICT;

  for (guint i = 0; i < routers->len && status != CTL_OK; i++)
    {
      int one
          = router_show (c, g_array_index (routers, ctl_router, i).base, path);

      /* A router that does not respond may have known it.  */
      if (one != CTL_CONFLICT)
        status = one;
    }
  g_array_unref (routers);
  g_free (path);
  g_free (escaped);
  return status;
}

int
ctl_explain (ctl *c, int argc, char **argv)
{
  bool routers = c->options.routers != NULL;
  int status = CTL_CONFLICT;

  (void)argc;
  if (c->options.logs != NULL)
    return ctl_explain_log (c, argv[0]);
  if (!routers && ctl_require_platform (c) < 0)
    return CTL_USAGE;
  if (c->options.platform != NULL && ctl_require_platform (c) == 0)
    status = explain_change (c, argv[0]);
  if (status != CTL_OK && routers)
    status = explain_request (c, argv[0]);
  if (status == CTL_CONFLICT)
    ctl_print_error ("no record of a request or change %s was found", argv[0]);
  return status;
}

int
ctl_entries (ctl *c, int argc, char **argv)
{
  int status = CTL_UNAVAILABLE;

  (void)argc;
  (void)argv;
  if (ctl_routers_require (c) < 0)
    return CTL_USAGE;
  for (char **r = c->options.routers; *r != NULL && status != CTL_OK; r++)
    {
      char *base = ctl_router_base (*r);

      status = router_show (c, base, "/v1/entries");
      g_free (base);
    }
  return status;
}

/* Returns the router whose status has the name NAME, borrowed, or NULL.  */
static const ctl_router *
drain_find_router (const GArray *routers, const char *name)
{
  for (guint i = 0; i < routers->len; i++)
    {
      const ctl_router *s = &g_array_index (routers, ctl_router, i);

      if (s->status != NULL
          && strcmp (ctl_json_string (s->status, "name"), name) == 0)
        return s;
    }
  return NULL;
}

/* Ask the router at BASE, which has the name NAME, to drain.  Returns an exit
   code.  */
static int
drain_router (ctl *c, const char *base, const char *name)
{
  ctl_response response = ctl_send_request (c, "POST", base, "/v1/drain");
  int status = CTL_UNAVAILABLE;

  if (response.result == MQ_HTTP_CONNECT_FAILED)
    ctl_print_error ("%s does not answer", name);
  else if (response.result != MQ_HTTP_OK)
    status = CTL_UNKNOWN;
  else if (response.status != HTTP_ACCEPTED && response.status != HTTP_OK)
    ctl_print_error ("%s did not accept the drain request: status %u: %s",
                     name, response.status, mq_str_cstr (response.body));
  else
    status = router_print_body (c, response.body) == 0 ? CTL_OK : CTL_UNKNOWN;
  if (status == CTL_UNKNOWN)
    ctl_print_error ("no complete response from %s; it may be draining: see "
                     "`mqctl status`",
                     name);
  ctl_response_finish (&response);
  return status;
}

int
ctl_drain (ctl *c, int argc, char **argv)
{
  GArray *routers;
  const ctl_router *target;
  int status = CTL_CONFLICT;

  (void)argc;
  if (ctl_routers_require (c) < 0)
    return CTL_USAGE;
  routers = ctl_routers_query (c);
  target = drain_find_router (routers, argv[0]);
  if (target == NULL)
    ctl_print_error ("no reachable router has the name %s", argv[0]);
  else
    status = drain_router (c, target->base, argv[0]);
  g_array_unref (routers);
  return status;
}
