/* One change of the configuration: see mq/change.h.

   The steps are: read, check, store, archive, write.  Any failure goes back to
   the read, after a wait.  IN_DOUBT is set by a write whose reply was lost. It
   is cleared once a read proves that the write took effect, or that it never
   can because the object's version has changed.  */

#include <mq/change.h>

#include <string.h>
#include <mq/internal/defect.h>

#define FIRST_RETRY_WAIT_US 20000
#define MAX_RETRY_WAIT_US 2000000
#define NO_VERSION 0

struct mq_change
{
  const mq_change_request *request; /* Borrowed.  */
  uint64_t give_up_after_us;
  uint64_t give_up_us; /* When the change times out.  */
  GRand *rand;
  uint64_t wait_us;
  unsigned writes;
  bool has_base;
  bool stored;
  bool in_doubt;
  uint64_t doubt_version;    /* Version that the write in doubt requires.  */
  uint64_t doubt_generation; /* Generation that it would have made.  */
  uint64_t version;          /* Of the manifest read last.  */
  mq_manifest base;          /* Manifest as read first.  */
  mq_manifest current;       /* Manifest as read last.  */
  mq_manifest next;
  mq_str *name;  /* Of the last action.  */
  mq_str *value; /* Of the last action.  */
  char *text;
};

/* Why the change can't be applied to the current manifest.  */
typedef struct change_verdict
{
  mq_change_result result; /* LANDED: it can be applied.  */
  const char *file;
  const char *who;
  uint64_t since;
} change_verdict;

static bool
digest_equal (mq_digest a, mq_digest b)
{
  return strcmp (a.hex, b.hex) == 0;
}

static mq_change_action
change_action (mq_change_action_kind kind)
{
  return (mq_change_action){ .kind = kind };
}

/* Ends with RESULT, or with UNKNOWN while a write is in doubt.  */
static mq_change_action
change_end (mq_change *c, mq_change_result result)
{
  mq_change_action a = change_action (MQ_CHANGE_END);

  if (c->in_doubt && result != MQ_CHANGE_LANDED
      && !mq_defect_enabled (MQ_DEFECT_DOUBT_DENIED))
    result = MQ_CHANGE_UNKNOWN;
  a.result = result;
  a.generation = c->current.generation;
  a.text = c->text;
  a.writes = c->writes;
  return a;
}

/* Waits before the next read, or ends at the timeout.  */
static mq_change_action
change_retry (mq_change *c, uint64_t now_us)
{
  mq_change_action a = change_action (MQ_CHANGE_WAIT);
  uint64_t wait = c->wait_us / 2
                  + (uint64_t)(g_rand_double (c->rand) * (double)c->wait_us);

  if (now_us + wait >= c->give_up_us)
    return change_end (c, MQ_CHANGE_UNAVAILABLE);
  c->wait_us = MIN (c->wait_us * 2, (uint64_t)MAX_RETRY_WAIT_US);
  a.until_us = now_us + wait;
  return a;
}

static bool
change_has_file (const mq_change *c, mq_span name)
{
  for (guint i = 0; i < c->request->files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (c->request->files, mq_manifest_file, i);

      if (mq_span_equal (mq_str_span (f->name), name))
        return true;
    }
  return false;
}

/* Returns true, and sets VERDICT, if another operator has changed NAME to
   something other than WANTED_DIGEST since the base.  */
static bool
change_conflicts (const mq_change *c, mq_span name, mq_digest wanted_digest,
                  change_verdict *verdict)
{
  mq_digest now = mq_manifest_digest (&c->current, name);
  mq_digest then = mq_manifest_digest (&c->base, name);
  const mq_change_record *r = mq_manifest_find_last_change (&c->current, name);
  bool changed = !digest_equal (now, then);
  bool after_base
      = c->request->base > 0 && r != NULL && r->generation > c->request->base;

  if (digest_equal (now, wanted_digest) || (!changed && !after_base)
      || mq_defect_enabled (MQ_DEFECT_RACE_OVERWRITES))
    return false;
  verdict->result = MQ_CHANGE_CONFLICT;
  verdict->who = r ? mq_str_cstr (r->who) : NULL;
  verdict->since = r ? r->generation : c->current.generation;
  return true;
}

/* Adds the request's files to NEXT.  */
static void
change_put_files (mq_change *c, change_verdict *verdict)
{
  for (guint i = 0; i < c->request->files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (c->request->files, mq_manifest_file, i);

      if (change_conflicts (c, mq_str_span (f->name), f->digest, verdict))
        {
          verdict->file = mq_str_cstr (f->name);
          return;
        }
      mq_manifest_put (&c->next, f->name, f->digest, f->size);
    }
}

/* Removes NAME, a file of CURRENT, from NEXT.  */
static void
change_remove_file (mq_change *c, mq_span name, change_verdict *verdict)
{
  if (!change_conflicts (c, name, (mq_digest){ "" }, verdict))
    mq_manifest_remove (&c->next, name);
}

static void
change_prune_files (mq_change *c, change_verdict *verdict)
{
  for (guint i = 0; i < c->current.files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (c->current.files, mq_manifest_file, i);

      if (change_has_file (c, mq_str_span (f->name)))
        continue;
      change_remove_file (c, mq_str_span (f->name), verdict);
      if (verdict->result != MQ_CHANGE_LANDED)
        {
          verdict->file = mq_str_cstr (f->name);
          return;
        }
    }
}

static void
change_remove_requested (mq_change *c, change_verdict *verdict)
{
  mq_span name = mq_str_span (c->request->take);

  verdict->file = mq_str_cstr (c->request->take);
  if (mq_manifest_find_file (&c->current, name) != NULL)
    change_remove_file (c, name, verdict);
  else if (mq_manifest_find_file (&c->base, name) == NULL)
    verdict->result = MQ_CHANGE_MISSING;
  /* Else another operator removed it, which is the requested state.  */
}

/* Appends the differences between NEXT and CURRENT to RECORD's effects.  */
static void
change_list_effects (const mq_change *c, mq_change_record *record)
{
  GArray *const sides[] = { c->next.files, c->current.files };

  for (guint side = 0; side < G_N_ELEMENTS (sides); side++)
    for (guint i = 0; i < sides[side]->len; i++)
      {
        mq_str *name = g_array_index (sides[side], mq_manifest_file, i).name;
        mq_change_effect e
            = { .name = name,
                .before = mq_manifest_digest (&c->current, mq_str_span (name)),
                .after = mq_manifest_digest (&c->next, mq_str_span (name)) };

        /* Files of NEXT were handled on the first side.  */
        if (digest_equal (e.before, e.after)
            || (side > 0 && *e.after.hex != '\0'))
          continue;
        if (record->n_effects++ >= MQ_CHANGE_MAX_EFFECTS)
          continue;
        mq_str_ref (name);
        g_array_append_val (record->effects, e);
      }
}

/* Adds this change's record to NEXT; returns false if it changes nothing.  */
static bool
change_record (mq_change *c)
{
  const mq_change_request *q = c->request;
  mq_change_record r = { .kind = q->kind, .wall_ms = q->wall_ms };

  r.effects = mq_change_effects_new ();
  change_list_effects (c, &r);
  if (r.n_effects == 0)
    {
      g_array_unref (r.effects);
      return false;
    }
  r.id = mq_str_ref (q->id);
  r.who = mq_str_ref (q->who);
  r.why = mq_str_ref (q->why);
  r.generation = MAX (c->current.generation, q->above) + 1;
  c->next.generation = r.generation;
  g_array_append_val (c->next.changes, r);
  return true;
}

static mq_change_action
change_end_verdict (mq_change *c, const change_verdict *verdict)
{
  mq_change_action a = change_end (c, verdict->result);

  a.file = verdict->file;
  a.who = verdict->who;
  a.since = verdict->since;
  return a;
}

/* Builds NEXT from the manifest just read, and has it checked.  */
static mq_change_action
change_build_next (mq_change *c)
{
  change_verdict verdict = { .result = MQ_CHANGE_LANDED };
  mq_change_action a = change_action (MQ_CHANGE_CHECK);

  mq_manifest_finish (&c->next);
  mq_manifest_copy (&c->next, &c->current);
  switch (c->request->kind)
    {
    case MQ_CHANGE_APPLY:
    case MQ_CHANGE_DROP:
      change_put_files (c, &verdict);
      if (verdict.result == MQ_CHANGE_LANDED && c->request->prune)
        change_prune_files (c, &verdict);
      break;
    case MQ_CHANGE_TAKE:
      change_remove_requested (c, &verdict);
      break;
    }
  if (verdict.result != MQ_CHANGE_LANDED)
    return change_end_verdict (c, &verdict);
  if (!change_record (c))
    return change_end (c, MQ_CHANGE_NOTHING);
  if (c->next.files->len > MQ_MANIFEST_MAX_FILES)
    return change_end (c, MQ_CHANGE_TOO_LARGE);
  a.next = &c->next;
  return a;
}

/* Clears IN_DOUBT if the manifest just read proves that the write did not
 * land.  */
static void
change_resolve_doubt (mq_change *c)
{
  const mq_change_record *oldest;

  if (!c->in_doubt || c->version == c->doubt_version)
    return;
  /* If it had taken effect, its record would still be in the list, unless all
     changes from that time were archived.  */
  if (c->current.changes->len == 0)
    return;
  oldest = &g_array_index (c->current.changes, mq_change_record, 0);
  if (oldest->generation <= c->doubt_generation)
    c->in_doubt = false;
}

/* Sets CURRENT from REPLY, and BASE the first time.  Returns -1 with TEXT set
   if the manifest is invalid.  */
static int
change_set_manifest (mq_change *c, const mq_store_reply *reply)
{
  mq_manifest m;
  GError *error = NULL;

  if (reply->result == MQ_STORE_ABSENT)
    mq_manifest_init (&m);
  else if (mq_manifest_decode (reply->value, &m, &error) < 0)
    {
      g_free (c->text);
      c->text = g_strdup (error->message);
      g_error_free (error);
      return -1;
    }
  mq_manifest_finish (&c->current);
  c->current = m;
  c->version = reply->result == MQ_STORE_ABSENT ? NO_VERSION : reply->version;
  if (!c->has_base)
    {
      mq_manifest_finish (&c->base);
      mq_manifest_copy (&c->base, &c->current);
      c->has_base = true;
    }
  return 0;
}

static mq_change_action
change_on_read (mq_change *c, const mq_change_event *event)
{
  const mq_change_record *own_record;
  mq_change_action a;

  if (event->reply.result != MQ_STORE_OK
      && event->reply.result != MQ_STORE_ABSENT)
    return change_retry (c, event->now_us);
  if (change_set_manifest (c, &event->reply) < 0)
    return change_end (c, MQ_CHANGE_UNAVAILABLE);
  own_record
      = mq_manifest_find_change (&c->current, mq_str_span (c->request->id));
  if (own_record != NULL && !mq_defect_enabled (MQ_DEFECT_CHANGE_ID_IGNORED))
    {
      a = change_end (c, MQ_CHANGE_LANDED);
      a.generation = own_record->generation;
      return a;
    }
  change_resolve_doubt (c);
  if (c->in_doubt && c->version != c->doubt_version)
    return change_end (c, MQ_CHANGE_UNKNOWN);
  return change_build_next (c);
}

static mq_change_action
change_write (mq_change *c)
{
  mq_change_action a = change_action (MQ_CHANGE_WRITE);

  mq_str_unref (c->value);
  c->value = mq_manifest_encode (&c->next);
  if (c->value->size > MQ_MANIFEST_MAX_BYTES)
    return change_end (c, MQ_CHANGE_TOO_LARGE);
  c->writes++;
  a.value = c->value;
  a.version = c->version;
  return a;
}

/* Archives old changes when there are too many, else writes.  */
static mq_change_action
change_archive_or_write (mq_change *c)
{
  mq_change_action a = change_action (MQ_CHANGE_ARCHIVE);
  guint n = mq_manifest_archivable (&c->current);

  if (n == 0)
    return change_write (c);
  mq_str_unref (c->name);
  mq_str_unref (c->value);
  c->name = mq_manifest_archive_name (&c->current, n);
  c->value = mq_manifest_archive_value (&c->current, n);
  a.name = c->name;
  a.value = c->value;
  return a;
}

static mq_change_action
change_on_checked (mq_change *c, const mq_change_event *event)
{
  switch (event->step)
    {
    case MQ_CHANGE_STEP_OK:
      break;
    case MQ_CHANGE_STEP_INVALID:
      g_free (c->text);
      c->text = g_strndup (event->text.size ? event->text.data : "",
                           event->text.size);
      return change_end (c, MQ_CHANGE_INVALID);
    case MQ_CHANGE_STEP_FAILED:
      return change_retry (c, event->now_us);
    }
  return c->stored ? change_archive_or_write (c)
                   : change_action (MQ_CHANGE_STORE);
}

static mq_change_action
change_on_stored (mq_change *c, const mq_change_event *event)
{
  if (event->step != MQ_CHANGE_STEP_OK)
    return change_retry (c, event->now_us);
  c->stored = true;
  return change_archive_or_write (c);
}

static mq_change_action
change_on_archived (mq_change *c, const mq_change_event *event)
{
  guint n = mq_manifest_archivable (&c->current);

  /* A conflict means that another operator archived the same changes.  */
  if (event->reply.result != MQ_STORE_OK
      && event->reply.result != MQ_STORE_CONFLICT)
    return change_retry (c, event->now_us);
  g_array_remove_range (c->next.changes, 0, n);
  return change_write (c);
}

static mq_change_action
change_on_written (mq_change *c, const mq_change_event *event)
{
  mq_change_action a;

  switch (event->reply.result)
    {
    case MQ_STORE_OK:
      a = change_end (c, MQ_CHANGE_LANDED);
      a.generation = c->next.generation;
      return a;
    case MQ_STORE_UNKNOWN:
      c->in_doubt = true;
      c->doubt_version = c->version;
      c->doubt_generation = c->next.generation;
      break;
    case MQ_STORE_CONFLICT:
    case MQ_STORE_ABSENT:
    case MQ_STORE_REFUSED:
      break;
    }
  return change_retry (c, event->now_us);
}

mq_change *
mq_change_new (const mq_change_request *request, uint64_t give_up_us,
               uint32_t seed)
{
  mq_change *c = g_new0 (mq_change, 1);

  c->request = request;
  c->give_up_after_us = give_up_us;
  c->rand = g_rand_new_with_seed (seed);
  c->wait_us = FIRST_RETRY_WAIT_US;
  mq_manifest_init (&c->base);
  mq_manifest_init (&c->current);
  mq_manifest_init (&c->next);
  return c;
}

void
mq_change_free (mq_change *change)
{
  if (change == NULL)
    return;
  g_rand_free (change->rand);
  mq_manifest_finish (&change->base);
  mq_manifest_finish (&change->current);
  mq_manifest_finish (&change->next);
  mq_str_unref (change->name);
  mq_str_unref (change->value);
  g_free (change->text);
  g_free (change);
}

mq_change_action
mq_change_handle (mq_change *change, const mq_change_event *event)
{
  switch (event->kind)
    {
    case MQ_CHANGE_START:
      change->give_up_us = event->now_us + change->give_up_after_us;
      break;
    case MQ_CHANGE_TICK:
      break;
    case MQ_CHANGE_READ_REPLY:
      return change_on_read (change, event);
    case MQ_CHANGE_CHECKED:
      return change_on_checked (change, event);
    case MQ_CHANGE_STORED:
      return change_on_stored (change, event);
    case MQ_CHANGE_ARCHIVED:
      return change_on_archived (change, event);
    case MQ_CHANGE_WRITE_REPLY:
      return change_on_written (change, event);
    }
  return change_action (MQ_CHANGE_READ);
}

void
mq_change_request_init (mq_change_request *request)
{
  mq_manifest empty;

  *request = (mq_change_request){ 0 };
  mq_manifest_init (&empty);
  request->files = g_array_ref (empty.files);
  mq_manifest_finish (&empty);
}

void
mq_change_request_finish (mq_change_request *request)
{
  mq_str_unref (request->id);
  mq_str_unref (request->who);
  mq_str_unref (request->why);
  mq_str_unref (request->take);
  g_array_unref (request->files);
}

const char *
mq_change_result_name (mq_change_result result)
{
  static const char *const names[]
      = { "landed",  "nothing",   "conflict",    "missing",
          "invalid", "too-large", "unavailable", "unknown" };

  return names[result];
}
