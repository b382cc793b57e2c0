/* The audit trail: see mq/audit.h.

   Records are stored as encoded lines.  A batch takes lines from the front and
   keeps its name and text until its write is confirmed, so a repeated write
   finds the object of an earlier one that took effect.  */

#include <mq/audit.h>

#include <inttypes.h>
#include <json-c/json.h>
#include <mq/json_message.h>
#include <string.h>

#define DAY_S 86400

typedef struct line
{
  char *text; /* Owned; ends in a newline.  */
  size_t size;
} line;

struct mq_audit
{
  mq_audit_options options;
  uint64_t sequence;
  GQueue lines;  /* of line, owned; not in a batch yet  */
  size_t bytes;  /* In LINES.  */
  mq_str *name;  /* Of the batch; NULL: none.  */
  mq_str *value; /* Of the batch.  */
  uint32_t batch_records;
  bool reply_pending;  /* A write of the batch is open.  */
  uint64_t due_us;     /* Time of the next write.  */
  uint64_t dropped;    /* Total number of records dropped.  */
  uint64_t unreported; /* Dropped and not yet reported in a record.  */
};

static const char *const kind_names[] = {
  [MQ_AUDIT_CONFIGURATION] = "configuration",
  [MQ_AUDIT_ORDER] = "order",
  [MQ_AUDIT_MEMBERSHIP] = "membership",
  [MQ_AUDIT_MODE] = "mode",
  [MQ_AUDIT_LOST] = "lost",
};

G_DEFINE_QUARK (mq - audit - error, mq_audit_error)

static void
line_free (gpointer data)
{
  line *l = data;

  g_free (l->text);
  g_free (l);
}

/* Adds SPAN as valid UTF-8, cut to MQ_AUDIT_MAX_TEXT_BYTES at a character
   boundary.  */
static void
record_add_text (json_object *root, const char *key, mq_span span)
{
  char *text
      = g_utf8_make_valid (span.size == 0 ? "" : span.data, (gssize)span.size);
  size_t size = strlen (text);

  if (size > MQ_AUDIT_MAX_TEXT_BYTES)
    size = (size_t)(g_utf8_find_prev_char (text,
                                           text + MQ_AUDIT_MAX_TEXT_BYTES + 1)
                    - text);
  json_object_object_add (root, key,
                          json_object_new_string_len (text, (int)size));
  g_free (text);
}

static mq_span
record_text (json_object *root, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (root, key, &value)
      || !json_object_is_type (value, json_type_string))
    return (mq_span){ NULL, 0 };
  return (mq_span){ json_object_get_string (value),
                    (size_t)json_object_get_string_len (value) };
}

static uint64_t
record_number (json_object *root, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (root, key, &value))
    return 0;
  return json_object_get_uint64 (value);
}

static int
record_parse (json_object *root, mq_audit_record *record)
{
  mq_span kind = record_text (root, "kind");
  mq_span router = record_text (root, "router");

  for (size_t i = 0; i < G_N_ELEMENTS (kind_names); i++)
    if (mq_span_equal (kind, mq_span_from (kind_names[i])))
      {
        *record = (mq_audit_record){
          .kind = (mq_audit_kind)i,
          .wall_ms = record_number (root, "time_ms"),
          .router
          = router.size == 0 ? 0 : g_ascii_strtoull (router.data, NULL, 16),
          .who = record_text (root, "who"),
          .what = record_text (root, "what"),
          .why = record_text (root, "why"),
          .before = record_text (root, "before"),
          .after = record_text (root, "after"),
        };
        return 0;
      }
  return -1;
}

static int
line_decode (mq_span text, mq_audit_reader reader, void *context)
{
  json_object *root = mq_json_message_parse (text);
  mq_audit_record record;
  int result = -1;

  if (root != NULL)
    result = record_parse (root, &record);
  if (result == 0)
    reader (context, &record);
  json_object_put (root);
  return result;
}

static line *
line_new (const mq_audit_record *record)
{
  GString *s = g_string_new (NULL);
  line *l = g_new (line, 1);

  mq_audit_encode (record, s);
  l->size = s->len;
  l->text = g_string_free (s, FALSE);
  return l;
}

static void
audit_add (mq_audit *audit, const mq_audit_event *event)
{
  mq_audit_record record = event->record;
  line *l;

  record.wall_ms = event->wall_ms;
  record.router = audit->options.router;
  l = line_new (&record);
  if (audit->name == NULL && g_queue_is_empty (&audit->lines))
    audit->due_us = event->now_us + audit->options.linger_us;
  g_queue_push_tail (&audit->lines, l);
  audit->bytes += l->size;
  while (audit->bytes > audit->options.limit_bytes)
    {
      l = g_queue_pop_head (&audit->lines);
      audit->bytes -= l->size;
      audit->dropped++;
      audit->unreported++;
      line_free (l);
    }
}

/* Inserts a record in front that states how many were dropped.  */
static void
audit_add_loss_record (mq_audit *audit, const mq_audit_event *event)
{
  char what[64];
  mq_audit_record record = { .kind = MQ_AUDIT_LOST,
                             .wall_ms = event->wall_ms,
                             .router = audit->options.router,
                             .why = MQ_SPAN ("the platform was away") };
  line *l;

  if (audit->unreported == 0)
    return;
  g_snprintf (what, sizeof what, "%" PRIu64 " records", audit->unreported);
  record.what = mq_span_from (what);
  audit->unreported = 0;
  l = line_new (&record);
  g_queue_push_head (&audit->lines, l);
  audit->bytes += l->size;
}

static mq_str *
audit_name (mq_audit *audit, uint64_t wall_ms)
{
  GString *prefix = g_string_new (NULL);
  mq_str *name;

  mq_audit_day_prefix (wall_ms, 0, prefix);
  name
      = mq_str_printf ("%s%013" PRIu64 "-%016" PRIx64 "-%" PRIu64, prefix->str,
                       wall_ms, audit->options.router, ++audit->sequence);
  g_string_free (prefix, TRUE);
  return name;
}

/* Moves lines from the front into the next batch.  */
static void
audit_fill (mq_audit *audit, const mq_audit_event *event)
{
  GString *s = g_string_new (NULL);
  line *l;

  audit_add_loss_record (audit, event);
  audit->batch_records = 0;
  while ((l = g_queue_peek_head (&audit->lines)) != NULL
         && (s->len == 0 || s->len + l->size <= audit->options.batch_bytes))
    {
      g_string_append_len (s, l->text, (gssize)l->size);
      audit->bytes -= l->size;
      audit->batch_records++;
      line_free (g_queue_pop_head (&audit->lines));
    }
  audit->name = audit_name (audit, event->wall_ms);
  audit->value = mq_str_new ((mq_span){ s->str, s->len });
  g_string_free (s, TRUE);
}

static void
audit_write (mq_audit *audit, const mq_audit_event *event, GArray *actions)
{
  mq_audit_action a;

  if (audit->name == NULL && g_queue_is_empty (&audit->lines))
    return;
  if (audit->name == NULL)
    audit_fill (audit, event);
  a.name = mq_str_ref (audit->name);
  a.value = mq_str_ref (audit->value);
  g_array_append_val (actions, a);
  audit->reply_pending = true;
}

static void
audit_reply (mq_audit *audit, const mq_audit_event *event)
{
  if (!audit->reply_pending)
    return;
  audit->reply_pending = false;
  switch (event->result)
    {
    case MQ_STORE_OK:
    case MQ_STORE_CONFLICT:
      /* A conflict means that an earlier attempt took effect.  */
      mq_str_unref (audit->name);
      mq_str_unref (audit->value);
      audit->name = NULL;
      audit->value = NULL;
      audit->batch_records = 0;
      audit->due_us = event->now_us + audit->options.linger_us;
      break;
    case MQ_STORE_ABSENT:
    case MQ_STORE_REFUSED:
    case MQ_STORE_UNKNOWN:
      audit->due_us = event->now_us + audit->options.retry_us;
      break;
    }
}

static void
action_clear (gpointer data)
{
  mq_audit_action *a = data;

  mq_str_unref (a->name);
  mq_str_unref (a->value);
}

const char *
mq_audit_kind_name (mq_audit_kind kind)
{
  return kind_names[kind];
}

void
mq_audit_day_prefix (uint64_t wall_ms, unsigned days_ago, GString *prefix)
{
  gint64 seconds = (gint64)(wall_ms / 1000) - (gint64)days_ago * DAY_S;
  GDateTime *t = g_date_time_new_from_unix_utc (seconds);
  char *day = t == NULL ? g_strdup ("0000-00-00")
                        : g_date_time_format (t, "%Y-%m-%d");

  g_string_printf (prefix, "audit/%s/", day);
  g_free (day);
  if (t != NULL)
    g_date_time_unref (t);
}

void
mq_audit_encode (const mq_audit_record *record, GString *text)
{
  json_object *root = json_object_new_object ();
  char router[20];

  g_snprintf (router, sizeof router, "%016" PRIx64, record->router);
  json_object_object_add (root, "time_ms",
                          json_object_new_uint64 (record->wall_ms));
  json_object_object_add (root, "kind",
                          json_object_new_string (kind_names[record->kind]));
  if (record->router != 0)
    json_object_object_add (root, "router", json_object_new_string (router));
  record_add_text (root, "who", record->who);
  record_add_text (root, "what", record->what);
  record_add_text (root, "why", record->why);
  record_add_text (root, "before", record->before);
  record_add_text (root, "after", record->after);
  g_string_append (
      text, json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  g_string_append_c (text, '\n');
  json_object_put (root);
}

int
mq_audit_decode (mq_span text, mq_audit_reader reader, void *context,
                 GError **error)
{
  unsigned number = 0;

  while (text.size > 0)
    {
      const char *end = memchr (text.data, '\n', text.size);
      size_t size = end == NULL ? text.size : (size_t)(end - text.data);
      mq_span one = { text.data, size };

      number++;
      /* Each record ends in a newline; without it the text was cut.  */
      if (end == NULL || line_decode (one, reader, context) < 0)
        {
          g_set_error (error, MQ_AUDIT_ERROR, MQ_AUDIT_ERROR_FORM,
                       "line %u is not an audit record", number);
          return -1;
        }
      size = MIN (size + 1, text.size);
      text.data += size;
      text.size -= size;
    }
  return 0;
}

mq_audit *
mq_audit_new (const mq_audit_options *options)
{
  mq_audit *audit = g_new0 (mq_audit, 1);

  audit->options = *options;
  g_queue_init (&audit->lines);
  return audit;
}

void
mq_audit_free (mq_audit *audit)
{
  if (audit == NULL)
    return;
  g_queue_clear_full (&audit->lines, line_free);
  mq_str_unref (audit->name);
  mq_str_unref (audit->value);
  g_free (audit);
}

GArray *
mq_audit_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_audit_action));

  g_array_set_clear_func (actions, action_clear);
  return actions;
}

void
mq_audit_handle (mq_audit *audit, const mq_audit_event *event, GArray *actions)
{
  switch (event->kind)
    {
    case MQ_AUDIT_ADD:
      audit_add (audit, event);
      break;
    case MQ_AUDIT_REPLY:
      audit_reply (audit, event);
      break;
    case MQ_AUDIT_FLUSH:
      if (!audit->reply_pending)
        audit_write (audit, event, actions);
      return;
    case MQ_AUDIT_TICK:
      break;
    }
  if (!audit->reply_pending && event->now_us >= audit->due_us)
    audit_write (audit, event, actions);
}

uint32_t
mq_audit_pending (const mq_audit *audit)
{
  return audit->lines.length + audit->batch_records;
}

uint64_t
mq_audit_dropped (const mq_audit *audit)
{
  return audit->dropped;
}

uint64_t
mq_audit_next_tick (const mq_audit *audit)
{
  if (audit->reply_pending
      || (audit->name == NULL && g_queue_is_empty ((GQueue *)&audit->lines)))
    return UINT64_MAX;
  return audit->due_us;
}
