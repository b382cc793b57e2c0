/* The reference model: a deterministic function that replaces a real model.

   A token depends on the prompt, on the tokens before it, on the name and
   version of the model and on every layer in order.  A layer that is left
   out, run twice, run out of order or taken from another version therefore
   changes the answer.  An engine runs its own layers; tests, the demo and the
   load tool run all layers at once and compare.

   A context replaces the content of a real engine's KV cache.  An activation
   is what one stage passes to the next.  */

#ifndef MQ_STANDIN_REFERENCE_H
#define MQ_STANDIN_REFERENCE_H

#include <mq/str.h>

G_BEGIN_DECLS

/* Size of a buffer for the text of one token with its NUL.  */
#define MQ_REFERENCE_TOKEN_SIZE 8

/* Return the context after PROMPT, before the first token.  */
uint64_t mq_reference_context (mq_span prompt);

/* Return the context that follows CONTEXT when TOKEN is appended.  */
uint64_t mq_reference_extend (uint64_t context, mq_span token);

/* Return a number that identifies the weights of MODEL in VERSION.  */
uint64_t mq_reference_weights (mq_span model, mq_span version);

/* Run the layers [FIRST, END) of WEIGHTS on ACTIVATION and return the new
   activation.  The activation before the first layer is the context.  */
uint64_t mq_reference_layers (uint64_t activation, uint64_t weights,
                              uint32_t first, uint32_t end);

/* Write the token for ACTIVATION, the one after the last layer, to TEXT: a
   short word followed by a space.  Returns its span, which points into
   TEXT.  */
mq_span mq_reference_token (uint64_t activation,
                            char text[MQ_REFERENCE_TOKEN_SIZE]);

/* Append to ANSWER the tokens at positions [0, TOKENS) for PROMPT, computed
   by running layers [0, LAYERS) in one place.  */
void mq_reference_answer (GString *answer, mq_span prompt, mq_span model,
                          mq_span version, uint32_t layers, uint32_t tokens);

G_END_DECLS

#endif
