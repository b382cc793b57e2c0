/* mqstand: stand-ins for the external services that a router uses.

   One binary with several roles: the platform with its object service and VM
   list, a model engine, a plain service, and the reference model.  The tests,
   the demo and the load tool start them.  They implement the protocols that
   docs/UPSTREAMS.md describes.  */

#include <standin/common.h>

#include <mq/log.h>
#include <stdio.h>
#include <string.h>

static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
} roles[] = { { "platform", mq_platform_main },
              { "engine", mq_engine_main },
              { "plain", mq_plain_main },
              { "reference", mq_reference_main } };

int
main (int argc, char **argv)
{
  mq_log_init ("warning");
  for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS (roles); i++)
    if (strcmp (argv[1], roles[i].name) == 0)
      return roles[i].run (argc - 1, argv + 1);
  fprintf (stderr, "usage: mqstand platform|engine|plain --listen IP:PORT "
                   "[OPTION...]\n"
                   "       mqstand reference --prompt TEXT [OPTION...]\n"
                   "       mqstand ROLE --help\n");
  return 2;
}
