/* The verbs that ask routers: status, explain, entries, drain; and the wait
   for a generation to be in force.

   A router's /v1/status names itself and, under "members", the routers that
   it sees with their addresses; so one address is enough to reach all.  */

#include "ctl.h"

#include "table.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_NOT_FOUND 404
#define US_PER_S 1000000
#define WAIT_STEP_US 200000

/* One router as asked directly.  */
typedef struct router_state
{
  char *base;                 /* http://IP:PORT  */
  struct json_object *status; /* NULL when it did not answer.  */
} router_state;

static void
router_state_clear (gpointer data)
{
  router_state *s = data;

  g_free (s->base);
  if (s->status != NULL)
    json_object_put (s->status);
}

static int
router_need (const ctl *c)
{
  if (c->options.routers != NULL && c->options.routers[0] != NULL)
    return 0;
  ctl_complain ("no router address: use --router http://IP:PORT or set "
                "MQ_ROUTER");
  return -1;
}

/* A URL from an address that may lack its scheme; free with g_free.  */
static char *
router_base (const char *address)
{
  char *base = strstr (address, "://")
                   ? g_strdup (address)
                   : g_strconcat ("http://", address, NULL);
  size_t n = strlen (base);

  if (n > 0 && base[n - 1] == '/')
    base[n - 1] = '\0';
  return base;
}

static const char *
router_string (struct json_object *object, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (object, key, &v);
  return json_object_is_type (v, json_type_string) ? json_object_get_string (v)
                                                   : "";
}

static uint64_t
router_number (struct json_object *object, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (object, key, &v);
  return json_object_is_type (v, json_type_int) ? json_object_get_uint64 (v)
                                                : 0;
}

static bool
router_flag (struct json_object *object, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (object, key, &v);
  return json_object_get_boolean (v);
}

/* The members that STATUS names, or NULL.  */
static struct json_object *
router_members (struct json_object *status)
{
  struct json_object *members = NULL;

  json_object_object_get_ex (status, "members", &members);
  return json_object_is_type (members, json_type_array) ? members : NULL;
}

/* Note BASE, which is given up, to be asked, unless it is there already.  */
static void
router_note (GArray *states, char *base)
{
  router_state s = { .base = base };

  for (guint i = 0; i < states->len; i++)
    if (strcmp (g_array_index (states, router_state, i).base, base) == 0)
      {
        g_free (base);
        return;
      }
  g_array_append_val (states, s);
}

static struct json_object *
router_ask_status (ctl *c, const char *base)
{
  ctl_answer answer = ctl_ask (c, "GET", base, "/v1/status");
  struct json_object *status = NULL;

  if (answer.result == MQ_HTTP_OK && answer.status == HTTP_OK)
    status = json_tokener_parse (mq_str_cstr (answer.body));
  if (status != NULL && !json_object_is_type (status, json_type_object))
    g_clear_pointer (&status, json_object_put);
  ctl_answer_finish (&answer);
  return status;
}

/* Note the members that STATUS names and that are not dead.  */
static void
router_note_members (GArray *states, struct json_object *status)
{
  struct json_object *members = router_members (status);
  size_t n = members ? json_object_array_length (members) : 0;

  for (size_t i = 0; i < n; i++)
    {
      struct json_object *m = json_object_array_get_idx (members, i);
      const char *address = router_string (m, "address");

      if (*address != '\0' && strcmp (router_string (m, "state"), "dead") != 0)
        router_note (states, router_base (address));
    }
}

/* Ask all routers that were named and that those name: a GArray of
   router_state.  */
static GArray *
router_ask_all (ctl *c)
{
  GArray *states = g_array_new (FALSE, FALSE, sizeof (router_state));

  g_array_set_clear_func (states, router_state_clear);
  for (char **r = c->options.routers; *r != NULL; r++)
    if (**r != '\0')
      router_note (states, router_base (*r));
  /* The list grows while it is gone through.  */
  for (guint i = 0; i < states->len; i++)
    {
      struct json_object *status = router_ask_status (
          c, g_array_index (states, router_state, i).base);

      g_array_index (states, router_state, i).status = status;
      if (status != NULL)
        router_note_members (states, status);
    }
  return states;
}

static void
status_add_row (ctl_table *table, const router_state *s)
{
  struct json_object *members;

  if (s->status == NULL)
    {
      ctl_table_add (table, "?", s->base, "no answer", "", "", "", "");
      return;
    }
  members = router_members (s->status);
  ctl_table_cell (table, "%s", router_string (s->status, "name"));
  ctl_table_cell (table, "%s", s->base);
  ctl_table_cell (table, "%s",
                  router_flag (s->status, "draining") ? "leaving" : "serving");
  ctl_table_cell (table, "%" PRIu64, router_number (s->status, "generation"));
  ctl_table_cell (table, "%" PRIu64, router_number (s->status, "in_flight"));
  ctl_table_cell (table, "%zu",
                  members ? json_object_array_length (members) : 0);
  ctl_table_cell (table, "%s", router_string (s->status, "failure_domain"));
}

static void
status_print (const GArray *states)
{
  ctl_table table;

  ctl_table_init (&table, 7, "VM", "ADDRESS", "STATE", "GENERATION",
                  "IN FLIGHT", "MEMBERS", "FAILURE DOMAIN");
  for (guint i = 0; i < states->len; i++)
    status_add_row (&table, &g_array_index (states, router_state, i));
  ctl_table_print (&table);
  ctl_table_finish (&table);
}

static void
status_print_json (const GArray *states)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < states->len; i++)
    {
      const router_state *s = &g_array_index (states, router_state, i);
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
status_count_silent (const GArray *states)
{
  guint n = 0;

  for (guint i = 0; i < states->len; i++)
    if (g_array_index (states, router_state, i).status == NULL)
      n++;
  return n;
}

int
ctl_status (ctl *c, int argc, char **argv)
{
  GArray *states;
  int status;

  (void)argc;
  (void)argv;
  if (router_need (c) < 0)
    return CTL_USAGE;
  states = router_ask_all (c);
  if (c->options.json)
    status_print_json (states);
  else
    status_print (states);
  status = status_count_silent (states) > 0 ? CTL_UNAVAILABLE : CTL_OK;
  g_array_unref (states);
  return status;
}

/* Does this router lag behind GENERATION?  One that is leaving takes no new
   work, so it need not follow.  */
static bool
wait_lags (const router_state *s, uint64_t generation)
{
  if (s->status == NULL)
    return true;
  return router_number (s->status, "generation") < generation
         && !router_flag (s->status, "draining");
}

static void
wait_name_laggards (const GArray *states, uint64_t generation)
{
  for (guint i = 0; i < states->len; i++)
    {
      const router_state *s = &g_array_index (states, router_state, i);

      if (!wait_lags (s, generation))
        continue;
      if (s->status == NULL)
        ctl_complain ("%s does not answer", s->base);
      else
        ctl_complain ("%s (%s) is at generation %" PRIu64,
                      router_string (s->status, "name"), s->base,
                      router_number (s->status, "generation"));
    }
}

int
ctl_wait (ctl *c, uint64_t generation)
{
  uint64_t start = ctl_now_us (c);
  uint64_t limit = start + (uint64_t)(c->options.timeout_s * US_PER_S);

  if (router_need (c) < 0)
    return CTL_USAGE;
  for (;;)
    {
      /* A round that began in time may hold old answers when it ends. */
      bool late = ctl_now_us (c) >= limit;
      GArray *states = router_ask_all (c);
      guint lagging = 0;
      guint n = states->len;

      for (guint i = 0; i < n; i++)
        if (wait_lags (&g_array_index (states, router_state, i), generation))
          lagging++;
      if (lagging > 0 && late)
        wait_name_laggards (states, generation);
      g_array_unref (states);
      if (lagging == 0)
        {
          if (!c->options.json)
            printf ("in force on %u routers after %.1f s\n", n,
                    (double)(ctl_now_us (c) - start) / US_PER_S);
          return CTL_OK;
        }
      if (late)
        return CTL_LAGGING;
      ctl_sleep (c, WAIT_STEP_US);
    }
}

/* Print an answer's JSON, indented for people.  */
static void
router_print_body (const ctl *c, const mq_str *body)
{
  struct json_object *o
      = c->options.json ? NULL : json_tokener_parse (mq_str_cstr (body));

  if (o == NULL)
    fputs (mq_str_cstr (body), stdout);
  else
    puts (json_object_to_json_string_ext (
        o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
  if (o != NULL)
    json_object_put (o);
}

/* Print what GET PATH gives at BASE.  */
static int
router_show (ctl *c, const char *base, const char *path)
{
  ctl_answer answer = ctl_ask (c, "GET", base, path);
  int status = CTL_UNAVAILABLE;

  if (answer.result != MQ_HTTP_OK)
    ctl_complain ("%s does not answer", base);
  else if (answer.status == HTTP_OK)
    {
      router_print_body (c, answer.body);
      status = CTL_OK;
    }
  else if (answer.status == HTTP_NOT_FOUND)
    status = CTL_CONFLICT;
  else
    ctl_complain ("%s answers %u: %s", base, answer.status,
                  mq_str_cstr (answer.body));
  ctl_answer_finish (&answer);
  return status;
}

/* The change whose id or generation is ID.  Returns CTL_CONFLICT when there is
   none.  */
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

/* Any router may have had the request, so all are asked until one knows.  */
static int
explain_request (ctl *c, const char *id)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strconcat ("/v1/explain/", escaped, NULL);
  GArray *states = router_ask_all (c);
  int status = CTL_CONFLICT;

  for (guint i = 0; i < states->len && status != CTL_OK; i++)
    {
      int one = router_show (c, g_array_index (states, router_state, i).base,
                             path);

      /* One that does not answer might have known.  */
      if (one != CTL_CONFLICT)
        status = one;
    }
  g_array_unref (states);
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
  if (!routers && ctl_need_platform (c) < 0)
    return CTL_USAGE;
  if (c->options.platform != NULL && ctl_need_platform (c) == 0)
    status = explain_change (c, argv[0]);
  if (status != CTL_OK && routers)
    status = explain_request (c, argv[0]);
  if (status == CTL_CONFLICT)
    ctl_complain ("nothing is known of %s any more", argv[0]);
  return status;
}

int
ctl_entries (ctl *c, int argc, char **argv)
{
  int status = CTL_UNAVAILABLE;

  (void)argc;
  (void)argv;
  if (router_need (c) < 0)
    return CTL_USAGE;
  for (char **r = c->options.routers; *r != NULL && status != CTL_OK; r++)
    {
      char *base = router_base (*r);

      status = router_show (c, base, "/v1/entries");
      g_free (base);
    }
  return status;
}

/* The router that calls itself NAME, or NULL; borrowed.  */
static const router_state *
drain_find (const GArray *states, const char *name)
{
  for (guint i = 0; i < states->len; i++)
    {
      const router_state *s = &g_array_index (states, router_state, i);

      if (s->status != NULL
          && strcmp (router_string (s->status, "name"), name) == 0)
        return s;
    }
  return NULL;
}

int
ctl_drain (ctl *c, int argc, char **argv)
{
  GArray *states;
  const router_state *target;
  ctl_answer answer;
  int status = CTL_CONFLICT;

  (void)argc;
  if (router_need (c) < 0)
    return CTL_USAGE;
  states = router_ask_all (c);
  target = drain_find (states, argv[0]);
  if (target == NULL)
    ctl_complain ("no router that answers is called %s", argv[0]);
  else
    {
      answer = ctl_ask (c, "POST", target->base, "/v1/drain");
      if (answer.result == MQ_HTTP_OK
          && (answer.status == HTTP_ACCEPTED || answer.status == HTTP_OK))
        {
          router_print_body (c, answer.body);
          status = CTL_OK;
        }
      else
        {
          ctl_complain ("%s did not take it: %u %s", argv[0], answer.status,
                        mq_str_cstr (answer.body));
          status = CTL_UNAVAILABLE;
        }
      ctl_answer_finish (&answer);
    }
  g_array_unref (states);
  return status;
}
