/* Admitted attempts: see mq/internal/attempt.h.  */

#include <mq/internal/attempt.h>

/* An attempt that is not released expires this long after its deadline.  */
#define EXPIRY_GRACE_US 5000000
/* Minimum number of new tokens for an estimate of the gap.  */
#define MIN_TOKENS 4

static guint
attempt_key_hash (gconstpointer data)
{
  const mq_attempt_key *k = data;
  uint64_t h = mq_hash_mix (k->id.router, k->id.sequence);

  return (guint)mq_hash_mix (h, k->attempt);
}

static gboolean
attempt_key_equal (gconstpointer a, gconstpointer b)
{
  const mq_attempt_key *x = a;
  const mq_attempt_key *y = b;

  return x->id.router == y->id.router && x->id.sequence == y->id.sequence
         && x->attempt == y->attempt;
}

static void
attempt_free (gpointer data)
{
  mq_attempt *a = data;

  mq_planner_action_clear (&a->answer);
  mq_str_unref (a->organisation);
  g_free (a);
}

void
mq_planner_action_clear (mq_planner_action *action)
{
  switch (action->kind)
    {
    case MQ_PLANNER_ADMIT:
      mq_plan_finish (&action->u.plan);
      break;
    case MQ_PLANNER_REFUSE:
      break;
    case MQ_PLANNER_REPAIR:
    case MQ_PLANNER_CANCEL_REPAIR:
      mq_str_unref (action->u.repair.engine);
      mq_str_unref (action->u.repair.model);
      mq_str_unref (action->u.repair.version);
      break;
    }
}

GHashTable *
mq_attempt_table_new (void)
{
  return g_hash_table_new_full (attempt_key_hash, attempt_key_equal, NULL,
                                attempt_free);
}

static void
attempt_make_plan (mq_attempt *a, mq_plan *plan)
{
  mq_plan_init (plan);
  plan->model = mq_str_ref (a->model->name);
  plan->version = mq_str_ref (a->model->version);
  plan->layers = a->model->layers;
  for (uint32_t i = 0; i < a->placement.n_stages; i++)
    {
      const mq_engine_state *e = a->placement.stages[i];

      mq_plan_add (plan, e->name, e->url, e->first, e->end);
    }
}

mq_attempt *
mq_attempt_open (GHashTable *attempts, mq_model_state *model,
                 const mq_admission *admission, mq_fair_share *share,
                 const mq_plan_request *request, uint64_t now_us)
{
  mq_attempt *a = g_new0 (mq_attempt, 1);
  const mq_prediction *p = &admission->prediction;

  a->key = (mq_attempt_key){ request->id, request->attempt };
  a->model = model;
  a->organisation = mq_str_ref (share->organisation);
  a->placement = admission->placement;
  a->demand = 1 / p->cycle_us;
  a->prompt_tokens = request->prompt_tokens + request->sent_tokens;
  a->admitted_us = now_us;
  a->expiry_us = now_us + request->deadline_us + EXPIRY_GRACE_US;
  a->predicted_first_us = p->first_us;
  a->predicted_gap_us = p->gap_us;
  a->answer.kind = MQ_PLANNER_ADMIT;
  a->answer.id = request->id;
  a->answer.attempt = request->attempt;
  a->answer.figures = admission->figures;
  attempt_make_plan (a, &a->answer.u.plan);
  for (uint32_t i = 0; i < a->placement.n_stages; i++)
    mq_engine_state_add_attempt (a->placement.stages[i], a->demand, now_us);
  mq_model_state_begin_stream (model, p->cycle_us);
  share->held++;
  g_hash_table_insert (attempts, &a->key, a);
  return a;
}

mq_attempt *
mq_attempt_find (GHashTable *attempts, mq_request_id id, uint32_t attempt)
{
  mq_attempt_key key = { id, attempt };

  return g_hash_table_lookup (attempts, &key);
}

void
mq_attempt_close (GHashTable *attempts, mq_attempt *attempt,
                  const mq_config *config, uint64_t now_us)
{
  mq_fair_share *share = mq_share_table_get (
      &attempt->model->shares, mq_str_span (attempt->organisation), config);

  for (uint32_t i = 0; i < attempt->placement.n_stages; i++)
    mq_engine_state_remove_attempt (attempt->placement.stages[i],
                                    attempt->demand, now_us);
  mq_model_state_end_stream (attempt->model, now_us);
  g_warn_if_fail (share->held > 0);
  share->held--;
  g_hash_table_remove (attempts, &attempt->key);
}

void
mq_attempt_learn_progress (mq_attempt *attempt, mq_engine_table *table,
                           uint32_t tokens, uint64_t mean_gap_us)
{
  uint64_t total_us;
  uint32_t gaps;

  if (tokens < 2 || mean_gap_us == 0)
    return;
  total_us = mean_gap_us * (tokens - 1);
  if (tokens < attempt->progress + MIN_TOKENS
      || total_us <= attempt->progress_us)
    return;
  gaps = tokens - MAX (attempt->progress, 1);
  mq_prediction_learn_gap (attempt->model, table, attempt->placement.stages,
                           attempt->placement.n_stages,
                           (double)(total_us - attempt->progress_us) / gaps);
  attempt->progress = tokens;
  attempt->progress_us = total_us;
}

/* Learn that the first token arrived, or was still missing, after TOOK_US.  */
static void
attempt_learn_first_miss (mq_attempt *a, double took_us)
{
  mq_margin_learn (&a->model->first_margin, took_us - a->predicted_first_us);
}

/* Learn that GAPS gaps took GAPS_US in total.  */
static void
attempt_learn_gap_miss (mq_attempt *a, uint32_t gaps, double gaps_us)
{
  if (gaps > 0 && a->predicted_gap_us > 0)
    mq_margin_learn (&a->model->gap_margin,
                     gaps_us / (gaps * a->predicted_gap_us));
}

void
mq_attempt_learn_cancelled (mq_attempt *attempt, mq_engine_table *table,
                            const mq_plan_release *release, uint64_t now_us)
{
  double took_us = (double)(now_us - MIN (attempt->admitted_us, now_us));
  /* When the next token was due.  */
  double due_us = attempt->predicted_first_us
                  + release->tokens * attempt->predicted_gap_us;

  mq_attempt_learn_progress (attempt, table, release->tokens,
                             release->mean_gap_us);
  if (took_us <= due_us)
    return;
  if (release->tokens == 0)
    attempt_learn_first_miss (attempt, took_us);
  else
    attempt_learn_gap_miss (attempt, release->tokens,
                            took_us - (double)release->first_token_us);
}

void
mq_attempt_learn_completed (mq_attempt *attempt, mq_engine_table *table,
                            const mq_plan_release *release)
{
  uint32_t gaps = release->tokens > 0 ? release->tokens - 1 : 0;

  if (release->tokens == 0 || release->first_token_us == 0)
    return;
  mq_attempt_learn_progress (attempt, table, release->tokens,
                             release->mean_gap_us);
  mq_prediction_learn_first (attempt->model, table, attempt->placement.stages,
                             attempt->placement.n_stages,
                             attempt->prompt_tokens,
                             (double)release->first_token_us);
  attempt_learn_first_miss (attempt, (double)release->first_token_us);
  attempt_learn_gap_miss (attempt, gaps, (double)gaps * release->mean_gap_us);
}
