/* The rate of requests that a chain sustains: see mq/internal/layer_plan.h.

   The number N of requests in flight is bounded by the memory of the stage
   with the least, and by the slots of the head.  A request stays for as many
   steps as its answer has tokens, and a step, T ms, takes longer the more
   requests are in flight and the slower the cards are.  Prefill, R ms a
   prompt, takes part of the stages' time from the steps.  The rate solves

     N = rate * answer * T (N) / (1 - PREFILL_DELAY_SHARE * rate * R).  */

#include <mq/internal/layer_plan.h>

#include <mq/domain_load.h>
#include <mq/internal/layer_path.h>

#define MS_PER_S 1000.0
#define TOKENS_PER_K 1000.0

/* Share of the memory that new requests may use (domain_load.c).  */
#define ADMITTED_MEMORY_SHARE 0.9
/* Share of the time of prefill by which tokens are delayed.  It is below 1, as
   some stages prefill while others step.  */
#define PREFILL_DELAY_SHARE 0.45

/* Time of a token with REQUESTS in flight, without prefill.  */
static double
chain_token_ms (const mq_layered_model *model,
                const mq_chain_rate_input *input, double requests)
{
  double held_k = (model->mean_prompt_tokens + model->mean_answer_tokens / 2.0)
                  / TOKENS_PER_K;

  return input->engines * MQ_PATH_HOP_MS
         + input->step_factor
               * (model->step_ms
                  + requests
                        * (model->request_step_ms
                           + held_k * model->context_step_ms));
}

double
mq_chain_rate (const mq_layered_model *model, const mq_chain_rate_input *input)
{
  double need = mq_domain_expected_tokens (model->mean_prompt_tokens, 0, 0,
                                           model->mean_answer_tokens);
  double requests
      = need > 0 ? input->tokens * ADMITTED_MEMORY_SHARE / need : 0;
  double prompt_ms = model->prefill_tokens_per_ms > 0
                         ? model->mean_prompt_tokens * input->prefill_factor
                               / model->prefill_tokens_per_ms
                         : 0;
  double duration_ms;

  if (model->head_slots > 0)
    requests = MIN (requests, (double)model->head_slots);
  duration_ms
      = model->mean_answer_tokens * chain_token_ms (model, input, requests);
  if (duration_ms <= 0)
    return 0;
  return requests / (duration_ms + PREFILL_DELAY_SHARE * requests * prompt_ms)
         * MS_PER_S;
}
