/* mqstand reference: prints the answer that the reference model gives when one
   process runs all layers.  The demo compares the answers of routers with it.
 */

#include <standin/reference.h>
#include <standin/common.h>

#include <stdio.h>

int
mq_reference_main (int argc, char **argv)
{
  char *model = g_strdup ("m");
  char *version = g_strdup ("v1");
  char *prompt = g_strdup ("");
  int layers = 1;
  int tokens = 1;
  GString *answer;
  const GOptionEntry entries[] = {
    { "model", 0, 0, G_OPTION_ARG_STRING, &model, "Name of the model",
      "NAME" },
    { "version", 0, 0, G_OPTION_ARG_STRING, &version, "Version of the model",
      "V" },
    { "prompt", 0, 0, G_OPTION_ARG_STRING, &prompt, "Text of the prompt",
      "TEXT" },
    { "layers", 0, 0, G_OPTION_ARG_INT, &layers,
      "Number of layers of the model", "N" },
    { "tokens", 0, 0, G_OPTION_ARG_INT, &tokens, "Number of tokens to print",
      "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };

  if (mq_standin_parse_options (&argc, &argv, "reference", entries) != 0)
    return 2;
  answer = g_string_new (NULL);
  mq_reference_answer (answer, mq_span_from (prompt), mq_span_from (model),
                       mq_span_from (version), (uint32_t)MAX (layers, 1),
                       (uint32_t)MAX (tokens, 0));
  (void)puts (answer->str);
  g_string_free (answer, TRUE);
  g_free (model);
  g_free (version);
  g_free (prompt);
  return 0;
}
