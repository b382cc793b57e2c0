/* What a chain of engines sustains: see mq/internal/layer_plan.h.

   Requests in flight are bound by the memory of the tightest stage and by the
   places at the head.  A request stays for its answer's tokens, one after the
   other, each through all stages; so the more are in flight, and the slower
   the cards, the longer each stays.  Prompts are read in between, which keeps
   the stages from their steps.  With N in flight, for T ms a token and R ms a
   prompt, the rate is the N that solves

     N = rate * answer * T (N) / (1 - PREFILL_DELAY_SHARE * rate * R).  */

#include <mq/internal/layer_plan.h>

#include <mq/domain_load.h>
#include <mq/internal/layer_path.h>

#define MS_PER_S 1000.0
#define TOKENS_PER_K 1000.0

/* Part of the memory that is given out to new requests (domain_load.c).  */
#define ADMITTED_MEMORY_SHARE 0.9
/* Part of the time of prefill by which tokens come later: stages prefill while
   the others step.  */
#define PREFILL_DELAY_SHARE 0.45

/* Time of a token with REQUESTS in flight, without what is read.  */
static double
chain_token_ms (const mq_layered_model *model,
                const mq_chain_rate_input *facts, double requests)
{
  double held_k = (model->mean_prompt_tokens + model->mean_answer_tokens / 2.0)
                  / TOKENS_PER_K;

  return facts->engines * MQ_PATH_HOP_MS
         + facts->step_factor
               * (model->step_ms
                  + requests
                        * (model->request_step_ms
                           + held_k * model->context_step_ms));
}

double
mq_chain_rate (const mq_layered_model *model, const mq_chain_rate_input *facts)
{
  double need = mq_domain_expected_tokens (model->mean_prompt_tokens, 0, 0,
                                           model->mean_answer_tokens);
  double requests
      = need > 0 ? facts->tokens * ADMITTED_MEMORY_SHARE / need : 0;
  double prompt_ms = model->prefill_tokens_per_ms > 0
                         ? model->mean_prompt_tokens * facts->prefill_factor
                               / model->prefill_tokens_per_ms
                         : 0;
  double stay_ms;

  if (model->head_slots > 0)
    requests = MIN (requests, (double)model->head_slots);
  stay_ms
      = model->mean_answer_tokens * chain_token_ms (model, facts, requests);
  if (stay_ms <= 0)
    return 0;
  return requests / (stay_ms + PREFILL_DELAY_SHARE * requests * prompt_ms)
         * MS_PER_S;
}
