/* mqctl: the operators' command line.

   Verbs are in the *_verb(s).c files; exit codes in ctl.h.  */

#include "ctl.h"

#include <locale.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <mq/log.h>

#define DEFAULT_TIMEOUT_S 20
#define DEFAULT_HOURS 24

typedef struct verb
{
  const char *name;
  const char *operand; /* NULL: takes none.  */
  const char *what;
  ctl_verb run;
} verb;

static const verb verbs[] = {
  { "check", "DIR", "check a folder offline, file by file and as a whole",
    ctl_check },
  { "apply", "DIR", "put the files of a folder in force", ctl_apply },
  { "drop", "FILE", "put one file in force", ctl_drop },
  { "take", "NAME", "take one file out", ctl_take },
  { "files", NULL, "list the files in force", ctl_files },
  { "show", NULL, "show the merged result and where each value is from",
    ctl_show },
  { "log", NULL, "show who changed what and why", ctl_log },
  { "status", NULL, "show each router's state", ctl_status },
  { "explain", "ID",
    "tell why a request went as it did, or what a generation changed",
    ctl_explain },
  { "entries", NULL, "ask which addresses callers should use", ctl_entries },
  { "drain", "VM", "have a router take no new work and end", ctl_drain },
  { "keys", "FILE", "make a key pair for the routers' connections", ctl_keys },
};

static char *
main_verb_list (void)
{
  GString *list = g_string_new ("Verbs:\n");

  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      char *head = g_strdup_printf ("%s %s", verbs[i].name,
                                    verbs[i].operand ? verbs[i].operand : "");

      g_string_append_printf (list, "  %-14s %s\n", head, verbs[i].what);
      g_free (head);
    }
  return g_string_free (list, FALSE);
}

/* Read the command line; 0, or -1 after complaining.  */
static int
main_parse (ctl_options *o, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "platform", 'p', 0, G_OPTION_ARG_STRING, &o->platform,
      "the platform's address (MQ_PLATFORM)", "URL" },
    { "router", 'r', 0, G_OPTION_ARG_STRING_ARRAY, &o->routers,
      "a router's address; may be given again (MQ_ROUTER, parted by spaces)",
      "URL" },
    { "token", 0, 0, G_OPTION_ARG_STRING, &o->token,
      "bearer token towards routers (better: MQ_TOKEN)", "TOKEN" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &o->json, "print JSON", NULL },
    { "log", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &o->logs,
      "explain: a router's log file; may be given again", "FILE" },
    { "who", 0, 0, G_OPTION_ARG_STRING, &o->who,
      "who makes the change, for the audit trail", "NAME" },
    { "why", 0, 0, G_OPTION_ARG_STRING, &o->why, "why, for the audit trail",
      "TEXT" },
    { "prune", 0, 0, G_OPTION_ARG_NONE, &o->prune,
      "apply: take out the files that DIR does not hold", NULL },
    { "base", 0, 0, G_OPTION_ARG_INT64, &o->base,
      "refuse if a file of the change was changed after this generation",
      "GENERATION" },
    { "above", 0, 0, G_OPTION_ARG_INT64, &o->above,
      "make the new generation higher than this one", "GENERATION" },
    { "wait", 'w', 0, G_OPTION_ARG_NONE, &o->wait,
      "wait until the change is in force on every router", NULL },
    { "timeout", 't', 0, G_OPTION_ARG_DOUBLE, &o->timeout_s,
      "give up after so long (20)", "SECONDS" },
    { "hours", 0, 0, G_OPTION_ARG_DOUBLE, &o->hours,
      "log: how far back (24); 0 shows all", "HOURS" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &o->version, "print the version",
      NULL },
    { NULL }
  };
  GOptionContext *context
      = g_option_context_new ("VERB [OPERAND] - drive marjoramquay");
  char *list = main_verb_list ();
  GError *error = NULL;
  int result = 0;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, list);
  if (!g_option_context_parse (context, argc, argv, &error))
    {
      ctl_print_error ("%s", error->message);
      g_error_free (error);
      result = -1;
    }
  else if (o->base < 0 || o->above < 0 || o->timeout_s <= 0 || o->hours < 0)
    {
      ctl_print_error ("--base, --above, --timeout and --hours take positive "
                       "numbers");
      result = -1;
    }
  g_free (list);
  g_option_context_free (context);
  return result;
}

/* What the environment says where the command line says nothing.  */
static void
main_read_environment (ctl_options *o)
{
  const char *routers = g_getenv ("MQ_ROUTER");

  if (o->platform == NULL)
    o->platform = g_strdup (g_getenv ("MQ_PLATFORM"));
  if (o->token == NULL)
    o->token = g_strdup (g_getenv ("MQ_TOKEN"));
  if (o->routers == NULL && routers != NULL)
    o->routers = g_strsplit (routers, " ", -1);
}

static void
main_free_options (ctl_options *o)
{
  g_free (o->platform);
  g_free (o->token);
  g_free (o->who);
  g_free (o->why);
  g_strfreev (o->routers);
  g_strfreev (o->logs);
}

static const verb *
main_find_verb (int argc, char **argv)
{
  if (argc < 2)
    {
      ctl_print_error ("no verb; see mqctl --help");
      return NULL;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      const verb *v = &verbs[i];
      int operands = v->operand ? 1 : 0;

      if (strcmp (argv[1], v->name) != 0)
        continue;
      if (argc - 2 == operands)
        return v;
      ctl_print_error ("usage: mqctl %s %s", v->name,
                       v->operand ? v->operand : "");
      return NULL;
    }
  ctl_print_error ("no verb %s; see mqctl --help", argv[1]);
  return NULL;
}

int
main (int argc, char **argv)
{
  ctl c = { .options
            = { .timeout_s = DEFAULT_TIMEOUT_S, .hours = DEFAULT_HOURS } };
  const verb *v;
  int status = CTL_USAGE;

  setlocale (LC_ALL, "");
  mq_log_init ("warning");
  if (sodium_init () < 0)
    return CTL_UNAVAILABLE;
  if (main_parse (&c.options, &argc, &argv) < 0)
    goto done;
  main_read_environment (&c.options);
  if (c.options.version)
    {
      puts ("mqctl " MQ_VERSION);
      status = CTL_OK;
      goto done;
    }
  v = main_find_verb (argc, argv);
  if (v == NULL)
    goto done;
  ctl_init (&c);
  status = v->run (&c, argc - 2, argv + 2);
  ctl_finish (&c);
done:
  main_free_options (&c.options);
  return status;
}
