/* Claims: see mq/claim.h.

   The states of a claim are
     WRITING -> (READING -> WRITING)* -> WON -> REMOVING
   A claim that is lost or unavailable goes to REMOVING directly.  A write that
   was sent and not acknowledged may take effect late, so REMOVING reads the
   object repeatedly for a while and deletes an object with this claim's writer
   id at its version.  Each step of a claim awaits one reply; a reply to an
   older step is dropped.  */

#include <mq/claim.h>

#include <inttypes.h>
#include <mq/json_message.h>
#include <mq/internal/bytes.h>
#include <mq/internal/defect.h>
#include <sodium.h>
#include <string.h>

#define WRITER_SIZE 40
/* Maximum number of doublings of the pause between two removal attempts.  */
#define MAX_BACKOFF_SHIFT 6

typedef enum claim_state
{
  CLAIM_WRITING,  /* A create or update is in flight or due.  */
  CLAIM_READING,  /* A read is in flight or due.  */
  CLAIM_WON,      /* Held until it expires.  */
  CLAIM_REMOVING, /* Reads the object for a write of this claim.  */
  CLAIM_DELETING  /* A delete is in flight.  */
} claim_state;

typedef struct claim
{
  uint64_t id;
  uint64_t handle;
  mq_str *name;
  char writer[WRITER_SIZE];
  uint64_t body_hash;
  uint64_t start_us;
  uint64_t lifetime_us;
  uint64_t expires_ms; /* Wall clock, as written.  */
  claim_state state;
  uint32_t step;
  bool reply_pending;     /* A reply to STEP is awaited.  */
  bool has_result;        /* The result was reported.  */
  bool write_unconfirmed; /* The result of a write is not known.  */
  unsigned backoff;
  uint64_t version;         /* WON: of our object.  WRITING: of the expired one
                             to replace, or 0.  */
  uint64_t give_up_us;      /* Timeout; unavailable then.  */
  uint64_t remove_until_us; /* REMOVING: no write of ours can take effect
                               later.  */
  uint64_t due_us;          /* Time of the next tick.  */
  GSequenceIter *place;     /* Position in by_due.  */
} claim;

struct mq_claims
{
  mq_claims_options options;
  uint64_t sequence;
  GHashTable *by_id;     /* Id to claim, owned.  */
  GHashTable *by_handle; /* Handle to claim, not settled.  */
  GSequence *by_due;     /* Claims by due time, borrowed.  */
};

/* The contents of a claim's object.  */
typedef struct claim_object
{
  char writer[WRITER_SIZE];
  uint64_t body_hash;
  uint64_t expires_ms;
} claim_object;

static gint
claim_compare (gconstpointer a, gconstpointer b, gpointer data)
{
  const claim *x = a;
  const claim *y = b;

  (void)data;
  if (x->due_us != y->due_us)
    return x->due_us < y->due_us ? -1 : 1;
  return (x->id > y->id) - (x->id < y->id);
}

static void
claim_free (gpointer data)
{
  claim *c = data;

  mq_str_unref (c->name);
  g_free (c);
}

static void
claim_set_due (claim *c, uint64_t due_us)
{
  c->due_us = due_us;
  g_sequence_sort_changed (c->place, claim_compare, NULL);
}

static void
claims_discard (mq_claims *claims, claim *c)
{
  g_sequence_remove (c->place);
  if (g_hash_table_lookup (claims->by_handle, &c->handle) == c)
    g_hash_table_remove (claims->by_handle, &c->handle);
  g_hash_table_remove (claims->by_id, &c->id);
}

static mq_claims_action *
claims_add_action (GArray *actions, mq_claims_action_kind kind, const claim *c)
{
  mq_claims_action a = { .kind = kind,
                         .claim = c->id,
                         .step = c->step,
                         .version = c->version,
                         .handle = c->handle };

  if (kind != MQ_CLAIMS_RESULT)
    a.name = mq_str_ref (c->name);
  g_array_append_val (actions, a);
  return &g_array_index (actions, mq_claims_action, actions->len - 1);
}

/* Begin a step in STATE whose reply is awaited.  */
static mq_claims_action *
claim_begin_step (claim *c, claim_state state, mq_claims_action_kind kind,
                  GArray *actions)
{
  c->state = state;
  c->step++;
  c->reply_pending = true;
  return claims_add_action (actions, kind, c);
}

static void
claim_write (claim *c, GArray *actions)
{
  mq_claims_action_kind kind
      = c->version == 0 ? MQ_CLAIMS_CREATE : MQ_CLAIMS_UPDATE;
  mq_claims_action *a = claim_begin_step (c, CLAIM_WRITING, kind, actions);

  a->value = mq_str_printf ("{\"writer\":\"%s\",\"body\":\"%016" PRIx64
                            "\",\"expires_ms\":%" PRIu64 "}",
                            c->writer, c->body_hash, c->expires_ms);
}

static void
claim_read (claim *c, claim_state state, GArray *actions)
{
  claim_begin_step (c, state, MQ_CLAIMS_READ, actions);
}

static void
claim_report (claim *c, mq_claim_result result, GArray *actions)
{
  mq_claims_action *a = claims_add_action (actions, MQ_CLAIMS_RESULT, c);

  a->result = result;
  c->has_result = true;
}

/* Begin to remove writes of the claim until none can take effect.  */
static void
claim_remove (const mq_claims *claims, claim *c, uint64_t now_us,
              GArray *actions)
{
  c->remove_until_us = now_us + claims->options.late_us;
  c->backoff = 0;
  claim_read (c, CLAIM_REMOVING, actions);
  claim_set_due (c, UINT64_MAX);
}

static void
claim_delete (claim *c, uint64_t version, GArray *actions)
{
  c->version = version;
  claim_begin_step (c, CLAIM_DELETING, MQ_CLAIMS_DELETE, actions);
  claim_set_due (c, UINT64_MAX);
}

static void
claim_win (const mq_claims *claims, claim *c, uint64_t version,
           GArray *actions)
{
  c->state = CLAIM_WON;
  c->version = version;
  claim_report (c, MQ_CLAIM_WON, actions);
  claim_set_due (c, c->start_us + c->lifetime_us
                        + claims->options.skew_ms * 1000);
}

/* Report RESULT, which is not WON.  A write of this claim may still take
   effect, delayed or duplicated by the network, and would then block the
   key, so keep the claim until that is excluded.  */
static void
claim_lose (mq_claims *claims, claim *c, mq_claim_result result,
            uint64_t now_us, GArray *actions)
{
  claim_report (c, result, actions);
  if (c->write_unconfirmed)
    {
      claim_remove (claims, c, now_us, actions);
      return;
    }
  c->state = CLAIM_REMOVING;
  c->reply_pending = false;
  c->remove_until_us = now_us + claims->options.late_us;
  claim_set_due (c, c->remove_until_us);
}

static void
claim_give_up (mq_claims *claims, claim *c, uint64_t now_us, GArray *actions)
{
  if (c->reply_pending && c->state == CLAIM_WRITING)
    c->write_unconfirmed = true;
  claim_lose (claims, c, MQ_CLAIM_UNAVAILABLE, now_us, actions);
}

/* Repeat the current step after a pause, which doubles each time once the
   result was reported.  */
static void
claim_schedule_retry (const mq_claims *claims, claim *c, uint64_t now_us)
{
  uint64_t paused_until_us = claims->options.retry_us << c->backoff;

  if (c->has_result)
    c->backoff = MIN (c->backoff + 1, MAX_BACKOFF_SHIFT);
  else
    paused_until_us = MIN (paused_until_us, c->give_up_us - now_us);
  claim_set_due (c, now_us + paused_until_us);
}

static int
claim_parse (mq_span text, claim_object *object)
{
  struct json_object *root = mq_json_message_parse (text);
  mq_span writer;
  mq_span body;
  int result = -1;

  if (mq_json_message_span (root, "writer", &writer)
      && mq_json_message_span (root, "body", &body)
      && mq_json_message_u64 (root, "expires_ms", &object->expires_ms))
    {
      g_strlcpy (object->writer, writer.data, sizeof object->writer);
      object->body_hash = g_ascii_strtoull (body.data, NULL, 16);
      result = 0;
    }
  json_object_put (root);
  return result;
}

static bool
claim_is_ours (const claim *c, const claim_object *object)
{
  return strcmp (c->writer, object->writer) == 0;
}

static void
claim_on_write_reply (mq_claims *claims, claim *c,
                      const mq_claims_event *event, GArray *actions)
{
  const mq_store_reply *reply = &event->u.reply.reply;

  switch (reply->result)
    {
    case MQ_STORE_OK:
      claim_win (claims, c, reply->version, actions);
      break;
    case MQ_STORE_CONFLICT:
      claim_read (c, CLAIM_READING, actions);
      break;
    case MQ_STORE_ABSENT:
      c->version = 0;
      claim_write (c, actions);
      break;
    case MQ_STORE_REFUSED:
      claim_schedule_retry (claims, c, event->now_us);
      break;
    case MQ_STORE_UNKNOWN:
      if (mq_defect_enabled (MQ_DEFECT_CLAIM_LOST_REPLY_WON))
        {
          claim_win (claims, c, reply->version, actions);
          break;
        }
      c->write_unconfirmed = true;
      claim_read (c, CLAIM_READING, actions);
      break;
    }
}

static void
claim_on_object (mq_claims *claims, claim *c, const mq_claims_event *event,
                 GArray *actions)
{
  const mq_store_reply *reply = &event->u.reply.reply;
  claim_object object;

  if (claim_parse (reply->value, &object) < 0)
    claim_lose (claims, c, MQ_CLAIM_LOST, event->now_us, actions);
  else if (claim_is_ours (c, &object))
    claim_win (claims, c, reply->version, actions);
  else if (event->wall_ms > object.expires_ms + claims->options.skew_ms)
    {
      c->version = reply->version;
      claim_write (c, actions);
    }
  else
    claim_lose (claims, c,
                object.body_hash == c->body_hash ? MQ_CLAIM_LOST
                                                 : MQ_CLAIM_MISMATCH,
                event->now_us, actions);
}

static void
claim_on_read_reply (mq_claims *claims, claim *c, const mq_claims_event *event,
                     GArray *actions)
{
  switch (event->u.reply.reply.result)
    {
    case MQ_STORE_OK:
      claim_on_object (claims, c, event, actions);
      break;
    case MQ_STORE_ABSENT:
      c->version = 0;
      claim_write (c, actions);
      break;
    case MQ_STORE_CONFLICT:
    case MQ_STORE_REFUSED:
    case MQ_STORE_UNKNOWN:
      claim_schedule_retry (claims, c, event->now_us);
      break;
    }
}

/* The object holds no write of this claim: discard the claim, unless a write
   may still take effect.  */
static void
claim_on_absent (mq_claims *claims, claim *c, uint64_t now_us)
{
  c->state = CLAIM_REMOVING;
  if (now_us >= c->remove_until_us)
    claims_discard (claims, c);
  else if (c->write_unconfirmed)
    claim_schedule_retry (claims, c, now_us);
  else
    claim_set_due (c, c->remove_until_us);
}

static void
claim_on_remove_reply (mq_claims *claims, claim *c,
                       const mq_claims_event *event, GArray *actions)
{
  const mq_store_reply *reply = &event->u.reply.reply;
  bool reading = c->state == CLAIM_REMOVING;
  claim_object object;

  switch (reply->result)
    {
    case MQ_STORE_OK:
      if (reading && claim_parse (reply->value, &object) == 0
          && claim_is_ours (c, &object))
        claim_delete (c, reply->version, actions);
      else
        claim_on_absent (claims, c, event->now_us);
      break;
    case MQ_STORE_ABSENT:
    case MQ_STORE_CONFLICT:
      claim_on_absent (claims, c, event->now_us);
      break;
    case MQ_STORE_REFUSED:
    case MQ_STORE_UNKNOWN:
      c->state = CLAIM_REMOVING;
      if (event->now_us >= c->start_us + c->lifetime_us)
        claims_discard (claims, c);
      else
        claim_schedule_retry (claims, c, event->now_us);
      break;
    }
}

static void
claims_start (mq_claims *claims, const mq_claims_event *event, GArray *actions)
{
  GString *name;
  claim *c;

  if (g_hash_table_size (claims->by_id) >= claims->options.limit)
    {
      mq_claims_action a = { .kind = MQ_CLAIMS_RESULT,
                             .handle = event->u.start.handle,
                             .result = MQ_CLAIM_UNAVAILABLE };

      g_array_append_val (actions, a);
      return;
    }
  name = g_string_new (NULL);
  mq_claim_name (event->u.start.organisation, event->u.start.key, name);
  c = g_new0 (claim, 1);
  c->id = ++claims->sequence;
  c->handle = event->u.start.handle;
  c->name = mq_str_new ((mq_span){ name->str, name->len });
  g_string_free (name, TRUE);
  g_snprintf (c->writer, sizeof c->writer, "%016" PRIx64 "-%" PRIu64,
              claims->options.router, c->id);
  c->body_hash = event->u.start.body_hash;
  c->start_us = event->now_us;
  c->lifetime_us = event->u.start.lifetime_us;
  c->expires_ms = event->wall_ms + c->lifetime_us / 1000;
  c->give_up_us = event->now_us + claims->options.give_up_us;
  c->due_us = c->give_up_us;
  c->place = g_sequence_insert_sorted (claims->by_due, c, claim_compare, NULL);
  g_hash_table_insert (claims->by_id, &c->id, c);
  g_hash_table_replace (claims->by_handle, &c->handle, c);
  claim_write (c, actions);
}

static void
claims_reply (mq_claims *claims, const mq_claims_event *event, GArray *actions)
{
  claim *c = g_hash_table_lookup (claims->by_id, &event->u.reply.claim);

  if (c == NULL || !c->reply_pending || c->step != event->u.reply.step)
    return;
  if (!c->has_result && event->now_us >= c->give_up_us)
    {
      /* The router was paused and the claim timed out, so the reply is
         ignored.  */
      claim_give_up (claims, c, event->now_us, actions);
      return;
    }
  c->reply_pending = false;
  switch (c->state)
    {
    case CLAIM_WRITING:
      claim_on_write_reply (claims, c, event, actions);
      break;
    case CLAIM_READING:
      claim_on_read_reply (claims, c, event, actions);
      break;
    case CLAIM_REMOVING:
    case CLAIM_DELETING:
      claim_on_remove_reply (claims, c, event, actions);
      break;
    case CLAIM_WON:
      break;
    }
}

static void
claims_settled (mq_claims *claims, const mq_claims_event *event,
                GArray *actions)
{
  claim *c = g_hash_table_lookup (claims->by_handle, &event->u.settled.handle);

  if (c == NULL)
    return;
  g_hash_table_remove (claims->by_handle, &event->u.settled.handle);
  if (!c->has_result)
    {
      /* The call ended before its claim was decided.  */
      claim_give_up (claims, c, event->now_us, actions);
    }
  else if (c->state == CLAIM_WON
           && event->u.settled.outcome == MQ_OUTCOME_NOT_RUN)
    {
      c->remove_until_us = event->now_us + claims->options.late_us;
      claim_delete (c, c->version, actions);
    }
}

/* Handle the due time of a claim.  */
static void
claim_tick (mq_claims *claims, claim *c, uint64_t now_us, GArray *actions)
{
  if (!c->has_result && now_us >= c->give_up_us)
    {
      claim_give_up (claims, c, now_us, actions);
      return;
    }
  switch (c->state)
    {
    case CLAIM_WRITING:
      claim_write (c, actions);
      claim_set_due (c, c->give_up_us);
      break;
    case CLAIM_READING:
      claim_read (c, CLAIM_READING, actions);
      claim_set_due (c, c->give_up_us);
      break;
    case CLAIM_WON:
      c->remove_until_us = now_us;
      claim_delete (c, c->version, actions);
      break;
    case CLAIM_REMOVING:
    case CLAIM_DELETING:
      claim_read (c, CLAIM_REMOVING, actions);
      claim_set_due (c, UINT64_MAX);
      break;
    }
}

static void
claims_tick (mq_claims *claims, uint64_t now_us, GArray *actions)
{
  while (mq_claims_next_tick (claims) <= now_us)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (claims->by_due);

      claim_tick (claims, g_sequence_get (first), now_us, actions);
    }
}

static void
action_clear (gpointer data)
{
  mq_claims_action *a = data;

  mq_str_unref (a->name);
  mq_str_unref (a->value);
}

void
mq_claim_digest (mq_span organisation, mq_span key,
                 unsigned char digest[MQ_CLAIM_DIGEST_SIZE])
{
  unsigned char size[8];
  crypto_generichash_state state;

  /* The size distinguishes ("ab", "c") from ("a", "bc").  */
  mq_bytes_put_u64 (size, organisation.size);
  crypto_generichash_init (&state, NULL, 0, MQ_CLAIM_DIGEST_SIZE);
  crypto_generichash_update (&state, size, sizeof size);
  crypto_generichash_update (&state, (const unsigned char *)organisation.data,
                             organisation.size);
  crypto_generichash_update (&state, (const unsigned char *)key.data,
                             key.size);
  crypto_generichash_final (&state, digest, MQ_CLAIM_DIGEST_SIZE);
}

void
mq_claim_name (mq_span organisation, mq_span key, GString *name)
{
  unsigned char digest[MQ_CLAIM_DIGEST_SIZE];
  char hex[2 * MQ_CLAIM_DIGEST_SIZE + 1];

  mq_claim_digest (organisation, key, digest);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  g_string_printf (name, "claims/%s", hex);
}

mq_claims *
mq_claims_new (const mq_claims_options *options)
{
  mq_claims *claims = g_new0 (mq_claims, 1);

  claims->options = *options;
  claims->by_id
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, claim_free);
  claims->by_handle = g_hash_table_new (g_int64_hash, g_int64_equal);
  claims->by_due = g_sequence_new (NULL);
  return claims;
}

void
mq_claims_free (mq_claims *claims)
{
  if (claims == NULL)
    return;
  g_sequence_free (claims->by_due);
  g_hash_table_destroy (claims->by_handle);
  g_hash_table_destroy (claims->by_id);
  g_free (claims);
}

GArray *
mq_claims_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_claims_action));

  g_array_set_clear_func (actions, action_clear);
  return actions;
}

void
mq_claims_handle (mq_claims *claims, const mq_claims_event *event,
                  GArray *actions)
{
  switch (event->kind)
    {
    case MQ_CLAIMS_START:
      claims_start (claims, event, actions);
      break;
    case MQ_CLAIMS_REPLY:
      claims_reply (claims, event, actions);
      break;
    case MQ_CLAIMS_SETTLED:
      claims_settled (claims, event, actions);
      break;
    case MQ_CLAIMS_TICK:
      claims_tick (claims, event->now_us, actions);
      break;
    }
}

uint64_t
mq_claims_next_tick (const mq_claims *claims)
{
  GSequenceIter *first = g_sequence_get_begin_iter (claims->by_due);
  const claim *c;

  if (g_sequence_iter_is_end (first))
    return UINT64_MAX;
  c = g_sequence_get (first);
  return c->due_us;
}

uint32_t
mq_claims_count (const mq_claims *claims)
{
  return g_hash_table_size (claims->by_id);
}
