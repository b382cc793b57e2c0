/* The quarantine of this router: local and received crash records, and the
   refusals in the store.

   Crash records travel with gossip, also to routers that start later.  Since
   all routers may be killed at once, a refusal is also written to the
   platform's store, by the router that saw the last crash; a router reads the
   refusals when it becomes a relay.  An object is deleted by its writer when
   the refusal has expired, or by a relay that finds it too old.  */

#include <mq/internal/gateway.h>

#include <mq/json.h>
#include <mq/json_text.h>
#include <mq/log.h>
#include <string.h>

/* Delay after a failed call to the store.  */
#define STORE_RETRY_US ((uint64_t)1000 * 1000)
/* A router reads the refusals after it has been a relay for this long: when
   hundreds start at once, twice as many consider themselves relays for a
   moment.  */
#define RELAY_SETTLE_US ((uint64_t)400 * 1000)
/* Refusals that this router keeps in the store at the same time.  */
#define MAX_STORED_REFUSALS 64
#define HEX_DIGITS 16
#define US_PER_MS ((uint64_t)1000)

typedef enum stored_state
{
  STORED_DUE,     /* Write or delete the object at RETRY_US.  */
  STORED_WRITING, /* A call is in progress.  */
  STORED_DONE
} stored_state;

/* A refusal that this router writes to the store and deletes there.  */
typedef struct stored_refusal
{
  mq_gateway *gateway; /* Borrowed.  */
  uint64_t element;    /* The key in the table.  */
  stored_state state;
  uint64_t retry_us;
  bool expired; /* Delete the object.  */
} stored_refusal;

static uint64_t
now_wall_ms (void)
{
  return (uint64_t)(g_get_real_time () / (gint64)US_PER_MS);
}

/* ---- Writing refusals to the store.  */

static void
on_stored_reply (void *context, const mq_platform_reply *reply)
{
  stored_refusal *s = context;
  mq_gateway *g = s->gateway;
  bool deleted = reply->op == MQ_PLATFORM_DELETE;
  char element[MQ_ELEMENT_TEXT_SIZE];

  switch (reply->result)
    {
    case MQ_PLATFORM_OK:
    case MQ_PLATFORM_CONFLICT: /* Another router has written it.  */
    case MQ_PLATFORM_MISSING:
      if (deleted && s->expired)
        g_hash_table_remove (g->stored_refusals, &s->element);
      else
        s->state = deleted == s->expired ? STORED_DONE : STORED_DUE;
      break;
    default:
      mq_log (G_LOG_LEVEL_WARNING, "quarantine.not-stored", "%s result=%s",
              mq_element_format (s->element, element),
              mq_platform_result_name (reply->result));
      s->state = STORED_DUE;
      s->retry_us = mq_gateway_now_us () + STORE_RETRY_US;
      break;
    }
}

static void
append_hex (GString *text, uint64_t n)
{
  g_string_append_printf (text, "%016" G_GINT64_MODIFIER "x", n);
}

/* Append to OUT an object value with the crashes of SUSPECT.  */
static void
refusal_encode (const mq_gateway *gateway, const mq_suspect *suspect,
                GString *out)
{
  GString *crashes = g_string_new (NULL);
  GString *ages = g_string_new (NULL);

  for (unsigned i = 0; i < suspect->n; i++)
    {
      append_hex (crashes, suspect->crashes[i].upstream);
      append_hex (ages, mq_quarantine_crash_age_ms (&gateway->quarantine,
                                                    &suspect->crashes[i],
                                                    mq_gateway_now_us ()));
    }
  g_string_append_c (out, '{');
  mq_json_text_member (out, "ends", (mq_span){ crashes->str, crashes->len });
  mq_json_text_member (out, "ages_ms", (mq_span){ ages->str, ages->len });
  mq_json_text_number (out, "at_ms", now_wall_ms ());
  g_string_append_c (out, '}');
  g_string_free (crashes, TRUE);
  g_string_free (ages, TRUE);
}

static void
stored_start_call (stored_refusal *stored)
{
  mq_gateway *g = stored->gateway;
  const mq_suspect *suspect
      = mq_quarantine_find (&g->quarantine, stored->element);
  GString *value = g_string_new (NULL);
  char name[HEX_DIGITS + 1];
  mq_platform_request request
      = { .op = stored->expired ? MQ_PLATFORM_DELETE : MQ_PLATFORM_CREATE,
          .kind = mq_span_from (g->dialect->kinds.refusals) };

  g_snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x",
              stored->element);
  request.name = mq_span_from (name);
  if (!stored->expired && suspect != NULL)
    refusal_encode (g, suspect, value);
  request.value = (mq_span){ value->str, value->len };
  stored->state = STORED_WRITING;
  mq_gateway_count_store_call (g, MQ_STORE_REFUSAL_WRITE);
  (void)mq_platform_request_start (g->store, &request, on_stored_reply,
                                   stored);
  g_string_free (value, TRUE);
}

/* Schedule writing the refusal of ELEMENT or, when it has EXPIRED, deleting
   it.  */
static void
store_refusal (mq_gateway *gateway, uint64_t element, bool expired)
{
  stored_refusal *s = g_hash_table_lookup (gateway->stored_refusals, &element);

  if (s == NULL
      && (expired
          || g_hash_table_size (gateway->stored_refusals)
                 >= MAX_STORED_REFUSALS))
    return;
  if (s == NULL)
    {
      s = g_new0 (stored_refusal, 1);
      s->gateway = gateway;
      s->element = element;
      g_hash_table_insert (gateway->stored_refusals, &s->element, s);
    }
  if (s->expired == expired && s->state != STORED_DUE)
    return;
  s->expired = expired;
  s->retry_us = 0;
  if (s->state == STORED_DONE)
    s->state = STORED_DUE;
}

static void
stored_tick (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->stored_refusals);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      stored_refusal *s = value;

      if (!s->expired
          && mq_quarantine_find (&gateway->quarantine, s->element) == NULL)
        store_refusal (gateway, s->element, true);
      if (s->state == STORED_DUE && now_us >= s->retry_us)
        stored_start_call (s);
    }
}

/* ---- Reading refusals from the store.  */

static int
hex_decode (mq_span text, uint64_t *n)
{
  if (text.size != HEX_DIGITS)
    return -1;
  *n = 0;
  for (size_t i = 0; i < HEX_DIGITS; i++)
    {
      int digit = g_ascii_xdigit_value (text.data[i]);

      if (digit < 0)
        return -1;
      *n = *n * 16 + (uint64_t)digit;
    }
  return 0;
}

/* Returns the number at place I of TEXT, a list of numbers in HEX_DIGITS
   digits, in *N.  Returns -1 if it is malformed.  */
static int
hex_list_decode (mq_span text, size_t i, uint64_t *n)
{
  mq_span hex = { text.data + i * HEX_DIGITS, HEX_DIGITS };

  return (i + 1) * HEX_DIGITS <= text.size ? hex_decode (hex, n) : -1;
}

/* Merge the crashes in ENDS, of which ELEMENT was suspected at the AGES in
   milliseconds, written AGE_MS ago.  Objects of earlier versions have no AGES.
   Returns -1, and merges none, when a text is malformed or the lists differ in
   length.  */
static int
apply_crashes (mq_gateway *gateway, uint64_t element, mq_span ends,
               mq_span ages, uint64_t age_ms)
{
  mq_quarantine_record records[MQ_QUARANTINE_MAX_CRASHES];
  size_t n = ends.size / HEX_DIGITS;

  if (n == 0 || n > MQ_QUARANTINE_MAX_CRASHES || ends.size % HEX_DIGITS != 0
      || (ages.size > 0 && ages.size != ends.size))
    return -1;
  for (size_t i = 0; i < n; i++)
    {
      mq_quarantine_record *r = &records[i];

      *r = (mq_quarantine_record){ element, 0, 0 };
      if (hex_list_decode (ends, i, &r->upstream) < 0 || r->upstream == 0
          || (ages.size > 0 && hex_list_decode (ages, i, &r->age_ms) < 0))
        return -1;
      r->age_ms = MIN (r->age_ms, UINT64_MAX - age_ms) + age_ms;
    }
  for (size_t i = 0; i < n; i++)
    (void)mq_quarantine_merge (&gateway->quarantine, &records[i],
                               mq_gateway_now_us ());
  return 0;
}

static void
on_delete_reply (void *context, const mq_platform_reply *reply)
{
  (void)context;
  if (reply->result != MQ_PLATFORM_OK && reply->result != MQ_PLATFORM_MISSING)
    mq_log (G_LOG_LEVEL_INFO, "quarantine.not-deleted", "result=%s",
            mq_platform_result_name (reply->result));
}

/* Delete the object NAME, which has expired.  */
static void
delete_refusal (mq_gateway *gateway, mq_span name)
{
  mq_platform_request request
      = { .op = MQ_PLATFORM_DELETE,
          .kind = mq_span_from (gateway->dialect->kinds.refusals),
          .name = name };

  mq_gateway_count_store_call (gateway, MQ_STORE_REFUSAL_WRITE);
  (void)mq_platform_request_start (gateway->store, &request, on_delete_reply,
                                   NULL);
}

static int
apply_refusal_value (mq_gateway *gateway, const mq_platform_entry *entry,
                     const mq_json *root)
{
  uint64_t period_ms = gateway->settings->quarantine_ms;
  uint64_t at_ms = mq_json_u64 (root, "at_ms", 0, UINT64_MAX, 0);
  uint64_t now_ms = now_wall_ms ();
  /* The writer's clock may be ahead of ours, but an object that it says to be
     newer than any can be would never expire.  */
  bool plausible
      = at_ms > 0 && (at_ms <= now_ms || at_ms - now_ms <= period_ms);
  uint64_t age_ms = now_ms > at_ms ? now_ms - at_ms : 0;
  uint64_t element;

  if (!plausible || hex_decode (entry->name, &element) < 0 || element == 0)
    return -1;
  if (age_ms >= 2 * period_ms)
    {
      delete_refusal (gateway, entry->name);
      return 0;
    }
  return apply_crashes (gateway, element,
                        mq_json_span (root, "ends", MQ_SPAN ("")),
                        mq_json_span (root, "ages_ms", MQ_SPAN ("")), age_ms);
}

static void
apply_refusal (mq_gateway *gateway, const mq_platform_entry *entry)
{
  mq_json_doc *doc = mq_json_parse (MQ_SPAN ("refusal"), entry->value, NULL);
  mq_json root;

  if (doc != NULL)
    root = mq_json_root (doc);
  if (doc == NULL || apply_refusal_value (gateway, entry, &root) < 0)
    {
      ++*gateway->counters.unreadable_entries[MQ_ENTRY_REFUSAL];
      mq_log (G_LOG_LEVEL_WARNING, "quarantine.unusable", "name=%.*s",
              MQ_SPAN_ARG (entry->name));
    }
  if (doc != NULL)
    mq_json_doc_free (doc);
}

static void
on_scan_reply (void *context, const mq_platform_reply *reply)
{
  mq_gateway *g = context;

  g->refusals_scanning = false;
  for (size_t i = 0; i < reply->n_entries; i++)
    apply_refusal (g, &reply->entries[i]);
  mq_gateway_note_unnamed (g, g->dialect->kinds.refusals, reply);
  if (reply->result == MQ_PLATFORM_UNREADABLE)
    mq_gateway_note_unreadable (g, g->dialect->kinds.refusals, reply, 1);
  if (reply->result != MQ_PLATFORM_OK)
    {
      g->refusals_scan_us = mq_gateway_now_us () + STORE_RETRY_US;
      return;
    }
  g->refusals_scanned = true;
  mq_log (G_LOG_LEVEL_INFO, "quarantine.read", "objects=%zu",
          reply->n_entries);
}

/* Read all refusals once.  The read is not a stale one, which would miss what
   was written just before all routers were killed.  */
static void
scan_tick (mq_gateway *gateway, uint64_t now_us)
{
  mq_platform_request request
      = { .op = MQ_PLATFORM_SCAN,
          .kind = mq_span_from (gateway->dialect->kinds.refusals) };

  if (gateway->refusals_scanned || gateway->refusals_scanning)
    return;
  if (!gateway->cluster.relays)
    gateway->refusals_scan_us = now_us + RELAY_SETTLE_US;
  if (now_us < gateway->refusals_scan_us)
    return;
  gateway->refusals_scanning = true;
  mq_gateway_count_store_call (gateway, MQ_STORE_REFUSAL_SCAN);
  (void)mq_platform_request_start (gateway->store, &request, on_scan_reply,
                                   gateway);
}

/* ---- Local and received records.  */

void
mq_gateway_note_suspect (mq_gateway *gateway, uint64_t element,
                         const mq_upstream *upstream, uint64_t start,
                         uint64_t at_us)
{
  const mq_suspect *s;
  char text[MQ_ELEMENT_TEXT_SIZE];

  if (!mq_quarantine_add (&gateway->quarantine, element, start, at_us,
                          mq_gateway_now_us ()))
    return;
  s = mq_quarantine_find (&gateway->quarantine, element);
  mq_log (G_LOG_LEVEL_INFO, "request.suspected", "%s upstream=%s ends=%u",
          mq_element_format (element, text), mq_str_cstr (upstream->facts.id),
          s != NULL ? s->n : 0);
}

static void
note_element_success (mq_forward *forward, uint64_t element)
{
  char text[MQ_ELEMENT_TEXT_SIZE];

  if (mq_quarantine_note_success (&forward->gateway->quarantine, element,
                                  mq_gateway_now_us ()))
    mq_log (G_LOG_LEVEL_INFO, "request.ran-well", "request=%.*s %s",
            MQ_SPAN_ARG (forward->id), mq_element_format (element, text));
}

void
mq_gateway_note_success (mq_forward *forward)
{
  mq_element_set parts = mq_forward_parts (forward);

  for (size_t i = 0; i < parts.n; i++)
    note_element_success (forward, parts.ids[i]);
  if (!mq_quarantine_is_empty (&forward->gateway->quarantine))
    note_element_success (forward, mq_forward_content (forward));
}

void
mq_gateway_merge_crashes (mq_gateway *gateway, const GArray *crashes,
                          const mq_cluster_member *from, uint64_t now_us)
{
  char text[MQ_ELEMENT_TEXT_SIZE];

  for (guint i = 0; i < crashes->len; i++)
    {
      const mq_quarantine_record *r
          = &g_array_index (crashes, mq_quarantine_record, i);

      if (mq_quarantine_merge (&gateway->quarantine, r, now_us))
        mq_log (G_LOG_LEVEL_INFO, "request.suspect-heard",
                "%s end=%016" G_GINT64_MODIFIER "x age_ms=%" G_GUINT64_FORMAT
                " peer=%s",
                mq_element_format (r->element, text), r->upstream, r->age_ms,
                mq_str_cstr (from->peer));
    }
}

uint64_t
mq_gateway_quarantine_remaining_us (mq_forward *forward, uint64_t now_us)
{
  const mq_gateway *g = forward->gateway;

  if (mq_quarantine_is_empty (&g->quarantine))
    return 0;
  return mq_quarantine_remaining_us (&g->quarantine,
                                     mq_forward_elements (forward), now_us);
}

void
mq_gateway_quarantine_note_sent (mq_forward *forward, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;

  if (!mq_quarantine_is_empty (&g->quarantine))
    mq_quarantine_note_sent (&g->quarantine, mq_forward_elements (forward),
                             now_us);
}

bool
mq_gateway_quarantine_allows (mq_forward *forward, const mq_upstream *upstream,
                              uint64_t now_us)
{
  const mq_gateway *g = forward->gateway;
  mq_element_set set;

  if (mq_quarantine_is_empty (&g->quarantine))
    return true;
  set = mq_forward_elements (forward);
  if (!mq_quarantine_keeps_apart (&g->quarantine, set))
    return true;
  return mq_quarantine_may_run_at (
      &g->quarantine, set, mq_span_hash (mq_str_span (upstream->facts.id)),
      mq_crash_is_pending (g, mq_forward_content (forward)), now_us);
}

/* ---- Ticks.  */

static void
apply_change (mq_gateway *gateway, const mq_quarantine_change *change,
              uint64_t now_us)
{
  mq_element_set set = { &change->element, 1 };
  uint64_t left
      = mq_quarantine_remaining_us (&gateway->quarantine, set, now_us);
  char text[MQ_ELEMENT_TEXT_SIZE];

  mq_element_format (change->element, text);
  if (change->refused)
    mq_log (G_LOG_LEVEL_WARNING, "request.quarantined",
            "%s ends=%u tied=%u own=%d left_ms=%" G_GUINT64_FORMAT, text,
            change->crashes, change->tied, change->own, left / US_PER_MS);
  else
    mq_log (G_LOG_LEVEL_WARNING, "request.released", "%s ends=%u", text,
            change->crashes);
  if (!change->refused)
    store_refusal (gateway, change->element, true);
  else if (change->own)
    store_refusal (gateway, change->element, false);
}

void
mq_gateway_quarantine_tick (mq_gateway *gateway, uint64_t now_us)
{
  GArray *changes;

  scan_tick (gateway, now_us);
  stored_tick (gateway, now_us);
  if (mq_quarantine_is_empty (&gateway->quarantine))
    return;
  changes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_change));
  mq_quarantine_tick (&gateway->quarantine, changes, now_us);
  for (guint i = 0; i < changes->len; i++)
    apply_change (gateway, &g_array_index (changes, mq_quarantine_change, i),
                  now_us);
  g_array_unref (changes);
}

/* ---- Initialisation.  */

void
mq_gateway_quarantine_init (mq_gateway *gateway)
{
  mq_quarantine_init (&gateway->quarantine,
                      gateway->settings->quarantine_ms * US_PER_MS);
  gateway->crash_cases = g_ptr_array_new_with_free_func (mq_crash_case_free);
  gateway->stored_refusals
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
mq_gateway_quarantine_finish (mq_gateway *gateway)
{
  g_ptr_array_unref (gateway->crash_cases);
  g_hash_table_unref (gateway->stored_refusals);
  mq_quarantine_finish (&gateway->quarantine);
}
