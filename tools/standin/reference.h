/* The stand-ins' model: a deterministic function in place of a real one.

   A token is a function of the prompt, of the tokens before it and of every
   layer in order with the model's name and version, so that a layer left
   out, run twice, out of order or of another version changes the answer.
   An engine runs its own layers of it; tests, the demo and the load tool
   run all layers at once and compare.

   A context stands for what a real engine keeps in its KV cache; an
   activation is what one stage hands to the next.  */

#ifndef MQ_STANDIN_REFERENCE_H
#define MQ_STANDIN_REFERENCE_H

#include <mq/str.h>

G_BEGIN_DECLS

/* Room for the text of one token with its NUL.  */
#define MQ_REFERENCE_TOKEN_SIZE 8

/* The context after PROMPT and before the first token.  */
uint64_t mq_reference_context (mq_span prompt);

/* The context after TOKEN was added to CONTEXT.  */
uint64_t mq_reference_extend (uint64_t context, mq_span token);

/* What distinguishes the weights of one model and version from others.  */
uint64_t mq_reference_weights (mq_span model, mq_span version);

/* ACTIVATION after the layers [FIRST, END) of WEIGHTS.  The activation
   before the first layer is the context.  */
uint64_t mq_reference_layers (uint64_t activation, uint64_t weights,
                              uint32_t first, uint32_t end);

/* Write the token sampled from the ACTIVATION after the last layer, a short
   word with a space behind it, to TEXT; returns its span.  */
mq_span mq_reference_token (uint64_t activation,
                            char text[MQ_REFERENCE_TOKEN_SIZE]);

/* Append to ANSWER the tokens at positions [0, TOKENS) for PROMPT, computed
   over all LAYERS at once.  */
void mq_reference_answer (GString *answer, mq_span prompt, mq_span model,
                          mq_span version, uint32_t layers, uint32_t tokens);

G_END_DECLS

#endif
