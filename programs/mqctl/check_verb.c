/* mqctl check DIR: validates files offline, each alone and all merged.  */

#include "ctl.h"

#include <json-c/json.h>
#include <stdio.h>

static struct json_object *
check_json_list (const GPtrArray *texts)
{
  struct json_object *list = json_object_new_array ();

  for (guint i = 0; i < texts->len; i++)
    json_object_array_add (
        list, json_object_new_string (g_ptr_array_index (texts, i)));
  return list;
}

static void
check_print_json (const GPtrArray *faults, const GPtrArray *warnings)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (o, "ok", json_object_new_boolean (faults->len == 0));
  json_object_object_add (o, "faults", check_json_list (faults));
  json_object_object_add (o, "warnings", check_json_list (warnings));
  puts (json_object_to_json_string_ext (o, JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (o);
}

static void
check_print (const mq_config *config, guint n_files, const GPtrArray *faults,
             const GPtrArray *warnings)
{
  for (guint i = 0; i < faults->len; i++)
    fprintf (stderr, "%s\n", (char *)g_ptr_array_index (faults, i));
  for (guint i = 0; i < warnings->len; i++)
    fprintf (stderr, "warning: %s\n", (char *)g_ptr_array_index (warnings, i));
  if (config != NULL)
    printf ("%u files are valid: %u organisations, %u services, %u models, "
            "%u engines\n",
            n_files, config->organisations->len, config->services->len,
            config->models->len, config->engines->len);
}

int
ctl_check (ctl *c, int argc, char **argv)
{
  GPtrArray *warnings = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  GError *error = NULL;
  GArray *files = mq_files_read_folder (argv[0], &error);
  mq_config *config = NULL;

  (void)argc;
  if (files != NULL)
    config = mq_files_load (files, 0, warnings, &error);
  if (error != NULL)
    {
      char **lines = g_strsplit (error->message, "\n", -1);

      for (guint i = 0; lines[i] != NULL; i++)
        g_ptr_array_add (faults, g_strdup (lines[i]));
      g_strfreev (lines);
      g_error_free (error);
    }
  if (c->options.json)
    check_print_json (faults, warnings);
  else
    check_print (config, files ? files->len : 0, faults, warnings);
  mq_config_unref (config);
  if (files != NULL)
    g_array_unref (files);
  g_ptr_array_unref (warnings);
  g_ptr_array_unref (faults);
  return config ? CTL_OK : CTL_INVALID;
}
