/* Status of all routers: see routers.h.

   The /v1/status of a router lists, under "members", the routers that it knows
   with their addresses, so a single address is enough to reach all.  */

#include "routers.h"

#include <mq/json_message.h>
#include <string.h>

#define HTTP_OK 200

static void
routers_clear_router (gpointer data)
{
  ctl_router *s = data;

  g_free (s->base);
  if (s->status != NULL)
    json_object_put (s->status);
}

int
ctl_routers_require (const ctl *c)
{
  if (c->options.routers != NULL && c->options.routers[0] != NULL)
    return 0;
  ctl_print_error ("no router address: use --router http://IP:PORT or set "
                   "MQ_ROUTER");
  return -1;
}

char *
ctl_router_base (const char *address)
{
  char *base = strstr (address, "://")
                   ? g_strdup (address)
                   : g_strconcat ("http://", address, NULL);
  size_t n = strlen (base);

  if (n > 0 && base[n - 1] == '/')
    base[n - 1] = '\0';
  return base;
}

const char *
ctl_json_string (struct json_object *object, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (object, key, &v);
  return json_object_is_type (v, json_type_string) ? json_object_get_string (v)
                                                   : "";
}

uint64_t
ctl_json_number (struct json_object *object, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (object, key, &v);
  return json_object_is_type (v, json_type_int) ? json_object_get_uint64 (v)
                                                : 0;
}

bool
ctl_json_flag (struct json_object *object, const char *key)
{
  bool v = false;

  return mq_json_message_bool (object, key, &v) && v;
}

struct json_object *
ctl_router_members (struct json_object *status)
{
  struct json_object *members = NULL;

  json_object_object_get_ex (status, "members", &members);
  return json_object_is_type (members, json_type_array) ? members : NULL;
}

/* Add a router at BASE to ROUTERS unless it is there.  Takes ownership of
   BASE.  */
static void
routers_add (GArray *routers, char *base)
{
  ctl_router s = { .base = base };

  for (guint i = 0; i < routers->len; i++)
    if (strcmp (g_array_index (routers, ctl_router, i).base, base) == 0)
      {
        g_free (base);
        return;
      }
  g_array_append_val (routers, s);
}

/* Returns true if STATUS, which may be NULL, has what the verbs rely on.  */
static bool
routers_check_status (struct json_object *status)
{
  struct json_object *members = NULL;
  mq_span text;
  uint64_t number;
  bool flag;

  if (!mq_json_message_span (status, "name", &text)
      || !mq_json_message_u64 (status, "generation", &number)
      || !mq_json_message_u64 (status, "in_flight", &number)
      || !mq_json_message_bool (status, "draining", &flag))
    return false;
  if (!json_object_object_get_ex (status, "members", &members))
    return true;
  if (!json_object_is_type (members, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (members); i++)
    {
      struct json_object *m = json_object_array_get_idx (members, i);

      if (!mq_json_message_span (m, "address", &text)
          || !mq_json_message_span (m, "state", &text))
        return false;
    }
  return true;
}

static struct json_object *
routers_fetch_status (ctl *c, const char *base)
{
  ctl_response response = ctl_send_request (c, "GET", base, "/v1/status");
  struct json_object *status = NULL;

  if (response.result == MQ_HTTP_OK && response.status == HTTP_OK)
    status = mq_json_message_parse (mq_str_span (response.body));
  if (!routers_check_status (status))
    g_clear_pointer (&status, json_object_put);
  ctl_response_finish (&response);
  return status;
}

/* Add the members in STATUS that are not dead to ROUTERS.  */
static void
routers_add_members (GArray *routers, struct json_object *status)
{
  struct json_object *members = ctl_router_members (status);
  size_t n = members ? json_object_array_length (members) : 0;

  for (size_t i = 0; i < n; i++)
    {
      struct json_object *m = json_object_array_get_idx (members, i);
      const char *address = ctl_json_string (m, "address");

      if (*address != '\0'
          && strcmp (ctl_json_string (m, "state"), "dead") != 0)
        routers_add (routers, ctl_router_base (address));
    }
}

GArray *
ctl_routers_query (ctl *c)
{
  GArray *routers = g_array_new (FALSE, FALSE, sizeof (ctl_router));

  g_array_set_clear_func (routers, routers_clear_router);
  for (char **r = c->options.routers; *r != NULL; r++)
    if (**r != '\0')
      routers_add (routers, ctl_router_base (*r));
  /* The array grows during the iteration.  */
  for (guint i = 0; i < routers->len; i++)
    {
      struct json_object *status = routers_fetch_status (
          c, g_array_index (routers, ctl_router, i).base);

      g_array_index (routers, ctl_router, i).status = status;
      if (status != NULL)
        routers_add_members (routers, status);
    }
  return routers;
}
