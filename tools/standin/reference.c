/* The reference model: see reference.h.  */

#include <standin/reference.h>

#include <string.h>

/* A token consists of two of these syllables and a space.  */
static const char syllables[64][3]
    = { "ba", "be", "bi", "bo", "bu", "da", "de", "di", "do", "du", "fa",
        "fe", "fi", "fo", "fu", "ga", "ge", "gi", "go", "gu", "ha", "he",
        "hi", "ho", "hu", "ka", "ke", "ki", "ko", "ku", "la", "le", "li",
        "lo", "lu", "ma", "me", "mi", "mo", "mu", "na", "ne", "ni", "no",
        "nu", "pa", "pe", "pi", "po", "pu", "ra", "re", "ri", "ro", "ru",
        "sa", "se", "si", "so", "su", "ta", "te", "ti", "to" };

uint64_t
mq_reference_context (mq_span prompt)
{
  return mq_span_hash (prompt);
}

uint64_t
mq_reference_extend (uint64_t context, mq_span token)
{
  return mq_hash_mix (context, mq_span_hash (token));
}

uint64_t
mq_reference_weights (mq_span model, mq_span version)
{
  return mq_hash_mix (mq_span_hash (model), mq_span_hash (version));
}

uint64_t
mq_reference_layers (uint64_t activation, uint64_t weights, uint32_t first,
                     uint32_t end)
{
  for (uint32_t l = first; l < end; l++)
    activation = mq_hash_mix (activation, weights + l);
  return activation;
}

mq_span
mq_reference_token (uint64_t activation, char text[MQ_REFERENCE_TOKEN_SIZE])
{
  memcpy (text, syllables[activation % 64], 2);
  memcpy (text + 2, syllables[activation / 64 % 64], 2);
  memcpy (text + 4, " ", 2);
  return (mq_span){ text, 5 };
}

void
mq_reference_answer (GString *answer, mq_span prompt, mq_span model,
                     mq_span version, uint32_t layers, uint32_t tokens)
{
  uint64_t weights = mq_reference_weights (model, version);
  uint64_t context = mq_reference_context (prompt);
  char text[MQ_REFERENCE_TOKEN_SIZE];

  for (uint32_t p = 0; p < tokens; p++)
    {
      uint64_t a = mq_reference_layers (context, weights, 0, layers);
      mq_span t = mq_reference_token (a, text);

      g_string_append_len (answer, t.data, (gssize)t.size);
      context = mq_reference_extend (context, t);
    }
}
