/* mqctl: the command line of operators.

   The verbs are in *_verb.c and *_verbs.c, the exit codes in ctl.h.  */

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
  const char *operand; /* NULL: none.  */
  const char *description;
  ctl_verb run;
} verb;

static const verb verbs[] = {
  { "check", "DIR", "validate the files of a folder offline, alone and merged",
    ctl_check },
  { "apply", "DIR", "add or replace all files of a folder", ctl_apply },
  { "drop", "FILE", "add or replace one file", ctl_drop },
  { "take", "NAME", "remove one file", ctl_take },
  { "files", NULL, "list the files in force", ctl_files },
  { "show", NULL, "show the merged configuration and the source of each value",
    ctl_show },
  { "log", NULL, "show the audit trail: who changed what, when and why",
    ctl_log },
  { "status", NULL, "show the state of each router", ctl_status },
  { "explain", "ID",
    "explain how a request was served, or what a generation changed",
    ctl_explain },
  { "entries", NULL, "show which addresses callers should use", ctl_entries },
  { "drain", "VM", "make a router finish its work and exit", ctl_drain },
  { "keys", "FILE", "make a key pair for connections between routers",
    ctl_keys },
};

static char *
main_verb_list (void)
{
  GString *list = g_string_new ("Verbs:\n");

  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      char *head = g_strdup_printf ("%s %s", verbs[i].name,
                                    verbs[i].operand ? verbs[i].operand : "");

      g_string_append_printf (list, "  %-14s %s\n", head,
                              verbs[i].description);
      g_free (head);
    }
  return g_string_free (list, FALSE);
}

/* Parse the command line.  Returns 0, or -1 with an error printed.  */
static int
main_parse (ctl_options *o, int *argc, char ***argv)
{
  const GOptionEntry entries[] = {
    { "platform", 'p', 0, G_OPTION_ARG_STRING, &o->platform,
      "address of the platform (MQ_PLATFORM)", "URL" },
    { "router", 'r', 0, G_OPTION_ARG_STRING_ARRAY, &o->routers,
      "address of a router; repeatable (MQ_ROUTER, separated by spaces)",
      "URL" },
    { "token", 0, 0, G_OPTION_ARG_STRING, &o->token,
      "bearer token for routers (better: MQ_TOKEN)", "TOKEN" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &o->json, "print JSON", NULL },
    { "log", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &o->logs,
      "explain: log file of a router; repeatable", "FILE" },
    { "who", 0, 0, G_OPTION_ARG_STRING, &o->who,
      "author of the change, for the audit trail", "NAME" },
    { "why", 0, 0, G_OPTION_ARG_STRING, &o->why,
      "reason for the change, for the audit trail", "TEXT" },
    { "prune", 0, 0, G_OPTION_ARG_NONE, &o->prune,
      "apply: remove the files that are not in DIR", NULL },
    { "base", 0, 0, G_OPTION_ARG_INT64, &o->base,
      "reject the change if a file of it was changed after this generation",
      "GENERATION" },
    { "above", 0, 0, G_OPTION_ARG_INT64, &o->above,
      "make the new generation higher than this one", "GENERATION" },
    { "wait", 'w', 0, G_OPTION_ARG_NONE, &o->wait,
      "wait until the change is in force on every router", NULL },
    { "timeout", 't', 0, G_OPTION_ARG_DOUBLE, &o->timeout_s,
      "timeout of the change and of the wait (20)", "SECONDS" },
    { "hours", 0, 0, G_OPTION_ARG_DOUBLE, &o->hours,
      "log: show this many past hours (24); 0 shows all", "HOURS" },
    { "version", 0, 0, G_OPTION_ARG_NONE, &o->version, "print the version",
      NULL },
    { NULL }
  };
  GOptionContext *context
      = g_option_context_new ("VERB [OPERAND] - operate a marjoramquay fleet");
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
      ctl_print_error ("--base, --above and --hours must not be negative, and "
                       "--timeout must be above 0");
      result = -1;
    }
  g_free (list);
  g_option_context_free (context);
  return result;
}

/* Fill options that the command line does not set from the environment.  */
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
      ctl_print_error ("missing verb; see mqctl --help");
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
  ctl_print_error ("unknown verb %s; see mqctl --help", argv[1]);
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
