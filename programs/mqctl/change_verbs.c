/* The verbs that change the configuration: apply, drop, take.

   mq/change.h makes the decisions; this file performs its actions on the
   platform.  */

#include "ctl.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <mq/change.h>

#define US_PER_S 1000000
/* Limit of archives of old changes; the oldest are deleted.  */
#define MAX_ARCHIVES 256

typedef struct change_run
{
  ctl *c;
  mq_change_request request;
  GArray *files; /* of mq_file: the texts of the request.  */
  GPtrArray *warnings;
  bool archived;
} change_run;

static void
change_run_init (change_run *run, ctl *c, mq_change_kind kind)
{
  char *id = g_uuid_string_random ();
  const char *who = c->options.who ? c->options.who : g_get_user_name ();
  const char *why = c->options.why ? c->options.why : "";
  mq_change_request *q = &run->request;

  *run = (change_run){ .c = c };
  mq_change_request_init (q);
  q->id = mq_str_new (mq_span_from (id));
  q->kind = kind;
  q->who = mq_str_new (mq_span_from (who));
  q->why = mq_str_new (mq_span_from (why));
  q->wall_ms = (uint64_t)g_get_real_time () / 1000;
  q->prune = c->options.prune;
  q->base = (uint64_t)c->options.base;
  q->above = (uint64_t)c->options.above;
  run->warnings = g_ptr_array_new_with_free_func (g_free);
  g_free (id);
}

static void
change_run_finish (change_run *run)
{
  mq_change_request_finish (&run->request);
  if (run->files != NULL)
    g_array_unref (run->files);
  g_ptr_array_unref (run->warnings);
}

/* Check the sizes of who and why, which are stored in the manifest.  Returns
   0, or -1 with an error printed.  */
static int
change_check_who_why (const change_run *run)
{
  if (run->request.who->size <= MQ_CHANGE_MAX_WHO_BYTES
      && run->request.why->size <= MQ_CHANGE_MAX_WHY_BYTES
      && g_utf8_validate (run->request.who->data, -1, NULL)
      && g_utf8_validate (run->request.why->data, -1, NULL))
    return 0;
  ctl_print_error (
      "--who must be UTF-8 of at most %d bytes, and --why of at most %d",
      MQ_CHANGE_MAX_WHO_BYTES, MQ_CHANGE_MAX_WHY_BYTES);
  return -1;
}

/* Set the files of the request to FILES.  Takes ownership of FILES.  */
static void
change_set_files (change_run *run, GArray *files)
{
  run->files = files;
  for (guint i = 0; i < files->len; i++)
    {
      const mq_file *f = &g_array_index (files, mq_file, i);
      mq_manifest_file entry
          = { .name = mq_str_ref (f->name), .size = f->text->size };

      mq_file_digest (mq_str_span (f->text), entry.digest.hex);
      g_array_append_val (run->request.files, entry);
    }
}

static void
change_perform_read (change_run *run, mq_change_event *event, mq_str **value)
{
  mq_platform_reply reply = { .op = MQ_PLATFORM_GET };

  reply.result
      = ctl_get (run->c, MQ_SPAN (MQ_MANIFEST_OBJECT), &reply.version, value);
  reply.value = mq_str_span (*value);
  event->kind = MQ_CHANGE_READ_REPLY;
  event->reply = mq_platform_store_reply (&reply);
}

static void
change_perform_check (change_run *run, const mq_manifest *next,
                      mq_change_event *event, mq_str **text)
{
  GArray *files = ctl_fetch_files (run->c, next, run->files);
  GError *error = NULL;
  mq_config *config;

  event->kind = MQ_CHANGE_CHECKED;
  event->step = MQ_CHANGE_STEP_FAILED;
  if (files == NULL)
    return;
  g_ptr_array_set_size (run->warnings, 0);
  config = mq_files_load (files, next->generation, run->warnings, &error);
  event->step = config ? MQ_CHANGE_STEP_OK : MQ_CHANGE_STEP_INVALID;
  if (config == NULL)
    {
      *text = mq_str_new (mq_span_from (error->message));
      event->text = mq_str_span (*text);
      g_error_free (error);
    }
  mq_config_unref (config);
  g_array_unref (files);
}

/* Store the files of the request.  An object that exists already has the same
   content, since its name is the digest.  */
static void
change_perform_store (change_run *run, mq_change_event *event)
{
  event->kind = MQ_CHANGE_STORED;
  event->step = MQ_CHANGE_STEP_OK;
  for (guint i = 0; i < run->request.files->len; i++)
    {
      const mq_manifest_file *f
          = &g_array_index (run->request.files, mq_manifest_file, i);
      const mq_file *file = mq_files_find (run->files, mq_str_span (f->name));
      mq_str *name = mq_manifest_file_object (&f->digest);
      mq_platform_result result
          = ctl_create (run->c, mq_str_span (name), mq_str_span (file->text));

      mq_str_unref (name);
      if (result == MQ_PLATFORM_OK || result == MQ_PLATFORM_CONFLICT)
        continue;
      event->step = MQ_CHANGE_STEP_FAILED;
      return;
    }
}

static void
change_perform_archive (change_run *run, const mq_change_action *action,
                        mq_change_event *event)
{
  mq_platform_reply reply = { .op = MQ_PLATFORM_CREATE };

  reply.result = ctl_create (run->c, mq_str_span (action->name),
                             mq_str_span (action->value));
  event->kind = MQ_CHANGE_ARCHIVED;
  event->reply = mq_platform_store_reply (&reply);
  run->archived = true;
}

static void
change_perform_write (change_run *run, const mq_change_action *action,
                      mq_change_event *event)
{
  mq_span name = MQ_SPAN (MQ_MANIFEST_OBJECT);
  mq_span value = mq_str_span (action->value);
  mq_platform_reply reply = { .op = MQ_PLATFORM_PUT };

  reply.result = action->version > 0
                     ? ctl_put (run->c, name, action->version, value)
                     : ctl_create (run->c, name, value);
  event->kind = MQ_CHANGE_WRITE_REPLY;
  event->reply = mq_platform_store_reply (&reply);
}

/* Perform ACTION and set *EVENT to its result.  *HELD becomes the owner of the
   text that EVENT borrows.  */
static void
change_perform (change_run *run, const mq_change_action *action,
                mq_change_event *event, mq_str **held)
{
  *event = (mq_change_event){ .kind = MQ_CHANGE_TICK };
  switch (action->kind)
    {
    case MQ_CHANGE_READ:
      change_perform_read (run, event, held);
      break;
    case MQ_CHANGE_CHECK:
      change_perform_check (run, action->next, event, held);
      break;
    case MQ_CHANGE_STORE:
      change_perform_store (run, event);
      break;
    case MQ_CHANGE_ARCHIVE:
      change_perform_archive (run, action, event);
      break;
    case MQ_CHANGE_WRITE:
      change_perform_write (run, action, event);
      break;
    case MQ_CHANGE_WAIT:
      ctl_sleep_until (run->c, action->until_us);
      break;
    case MQ_CHANGE_END:
      break;
    }
  event->now_us = ctl_now_us (run->c);
}

/* Delete the oldest archives beyond MAX_ARCHIVES.  Failures are ignored: the
   next change tries again.  */
static void
change_trim_archives (ctl *c)
{
  GPtrArray *names = ctl_list (c, MQ_MANIFEST_ARCHIVE_PREFIX);

  if (names == NULL)
    return;
  for (guint i = 0; i + MAX_ARCHIVES < names->len; i++)
    {
      mq_span name = mq_str_span (g_ptr_array_index (names, i));
      uint64_t version = 0;
      mq_str *value = NULL;

      if (ctl_get (c, name, &version, &value) == MQ_PLATFORM_OK)
        ctl_delete (c, name, version);
      mq_str_unref (value);
    }
  g_ptr_array_unref (names);
}

static ctl_exit
change_exit (mq_change_result result)
{
  switch (result)
    {
    case MQ_CHANGE_LANDED:
    case MQ_CHANGE_NOTHING:
      return CTL_OK;
    case MQ_CHANGE_CONFLICT:
    case MQ_CHANGE_MISSING:
      return CTL_CONFLICT;
    case MQ_CHANGE_INVALID:
    case MQ_CHANGE_TOO_LARGE:
      return CTL_INVALID;
    case MQ_CHANGE_UNAVAILABLE:
      return CTL_UNAVAILABLE;
    case MQ_CHANGE_UNKNOWN:
      break;
    }
  return CTL_UNKNOWN;
}

static void
change_print (const change_run *run, const mq_change_action *end)
{
  const char *id = mq_str_cstr (run->request.id);

  switch (end->result)
    {
    case MQ_CHANGE_LANDED:
      printf ("committed as generation %" PRIu64 " (change %s)\n",
              end->generation, id);
      break;
    case MQ_CHANGE_NOTHING:
      printf ("nothing to change; generation %" PRIu64
              " already has this content\n",
              end->generation);
      break;
    case MQ_CHANGE_CONFLICT:
      ctl_print_error ("conflict: %s was changed by %s in generation %" PRIu64
                       "; nothing was changed: review that change and run the "
                       "command again",
                       end->file, end->who ? end->who : "somebody",
                       end->since);
      break;
    case MQ_CHANGE_MISSING:
      ctl_print_error ("there is no file %s in generation %" PRIu64, end->file,
                       end->generation);
      break;
    case MQ_CHANGE_INVALID:
      ctl_print_error ("rejected: on top of generation %" PRIu64
                       " the merged configuration would be invalid:\n%s",
                       end->generation, end->text);
      break;
    case MQ_CHANGE_TOO_LARGE:
      ctl_print_error ("rejected: the manifest would be too large, at most %d "
                       "files are allowed",
                       MQ_MANIFEST_MAX_FILES);
      break;
    case MQ_CHANGE_UNAVAILABLE:
      ctl_print_error ("the platform did not accept the change in time; "
                       "nothing was changed%s%s",
                       end->text ? ": " : "", end->text ? end->text : "");
      break;
    case MQ_CHANGE_UNKNOWN:
      ctl_print_error ("no reply from the platform; the change may have been "
                       "committed: look for change %s in `mqctl log`",
                       id);
      break;
    }
}

static void
change_print_json (const change_run *run, const mq_change_action *end)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *warnings = json_object_new_array ();

  json_object_object_add (
      o, "result",
      json_object_new_string (mq_change_result_name (end->result)));
  json_object_object_add (
      o, "id", json_object_new_string (mq_str_cstr (run->request.id)));
  json_object_object_add (o, "generation",
                          json_object_new_uint64 (end->generation));
  if (end->file != NULL)
    json_object_object_add (o, "file", json_object_new_string (end->file));
  if (end->who != NULL)
    {
      json_object_object_add (o, "who", json_object_new_string (end->who));
      json_object_object_add (o, "since", json_object_new_uint64 (end->since));
    }
  if (end->text != NULL)
    json_object_object_add (o, "text", json_object_new_string (end->text));
  for (guint i = 0; i < run->warnings->len; i++)
    json_object_array_add (
        warnings,
        json_object_new_string (g_ptr_array_index (run->warnings, i)));
  json_object_object_add (o, "warnings", warnings);
  puts (json_object_to_json_string_ext (o, JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (o);
}

static int
change_report (change_run *run, const mq_change_action *end)
{
  ctl_exit status = change_exit (end->result);

  if (run->c->options.json)
    change_print_json (run, end);
  else
    {
      for (guint i = 0; i < run->warnings->len; i++)
        fprintf (stderr, "warning: %s\n",
                 (char *)g_ptr_array_index (run->warnings, i));
      change_print (run, end);
    }
  if (status == CTL_OK && run->c->options.wait)
    return ctl_wait (run->c, end->generation);
  return (int)status;
}

/* Run the change to its end and print its result.  Returns an exit code.  */
static int
change_run_all (change_run *run)
{
  mq_change *change = mq_change_new (
      &run->request, (uint64_t)(run->c->options.timeout_s * US_PER_S),
      randombytes_random ());
  mq_change_event event
      = { .kind = MQ_CHANGE_START, .now_us = ctl_now_us (run->c) };
  mq_change_action action = mq_change_handle (change, &event);
  int status;

  while (action.kind != MQ_CHANGE_END)
    {
      mq_str *held = NULL;

      change_perform (run, &action, &event, &held);
      action = mq_change_handle (change, &event);
      mq_str_unref (held);
    }
  if (run->archived)
    change_trim_archives (run->c);
  status = change_report (run, &action);
  mq_change_free (change);
  return status;
}

/* Run a change of KIND with FILES, or print ERROR if FILES is NULL.  Takes
   ownership of FILES and ERROR.  Returns an exit code.  */
static int
change_submit_files (ctl *c, mq_change_kind kind, GArray *files, GError *error)
{
  change_run run;
  int status = CTL_USAGE;

  if (files == NULL)
    {
      ctl_print_error ("%s", error->message);
      g_error_free (error);
      return CTL_INVALID;
    }
  change_run_init (&run, c, kind);
  change_set_files (&run, files);
  if (change_check_who_why (&run) == 0 && ctl_require_platform (c) == 0)
    status = change_run_all (&run);
  change_run_finish (&run);
  return status;
}

int
ctl_apply (ctl *c, int argc, char **argv)
{
  GError *error = NULL;
  GArray *files = mq_files_read_folder (argv[0], &error);

  (void)argc;
  if (files != NULL && files->len == 0)
    {
      ctl_print_error ("%s: no *.json file in this folder", argv[0]);
      g_array_unref (files);
      return CTL_INVALID;
    }
  return change_submit_files (c, MQ_CHANGE_APPLY, files, error);
}

int
ctl_drop (ctl *c, int argc, char **argv)
{
  GError *error = NULL;
  GArray *files = mq_files_read (argv[0], &error);

  (void)argc;
  c->options.prune = FALSE;
  return change_submit_files (c, MQ_CHANGE_DROP, files, error);
}

int
ctl_take (ctl *c, int argc, char **argv)
{
  change_run run;
  int status = CTL_USAGE;

  (void)argc;
  change_run_init (&run, c, MQ_CHANGE_TAKE);
  run.request.take = mq_str_new (mq_span_from (argv[0]));
  if (change_check_who_why (&run) == 0 && ctl_require_platform (c) == 0)
    status = change_run_all (&run);
  change_run_finish (&run);
  return status;
}
