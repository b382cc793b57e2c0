/* Internal to packages/decide: what the planner knows of each model.

   Three measured figures turn counted demand into predictions, so that the
   planner needs no model of how an engine batches:
   - scale: load that the engines report over the demand counted for them;
   - stretch: gaps between tokens over those predicted;
   - steps_per_prompt_token: steps that one prompt token costs at each stage.
   Margins from the misses come on top: a factor on the gaps, since they are
   as late for a long answer as for a short one, and a time for the first
   token, which a wait makes late by as much for both.  */

#ifndef MQ_INTERNAL_MODEL_STATE_H
#define MQ_INTERNAL_MODEL_STATE_H

#include <mq/internal/engine_table.h>
#include <mq/internal/margin.h>
#include <mq/internal/share.h>

G_BEGIN_DECLS

typedef struct mq_model_state
{
  mq_str *name;
  mq_str *version;
  uint32_t layers;
  GPtrArray *engines; /* of mq_engine_state, borrowed, by first layer  */
  double load_scale;
  double gap_factor;
  double steps_per_prompt_token;
  double cycle_us;        /* Mean of the pipelines that were given out.  */
  mq_margin gap_margin;   /* Of gaps: came over predicted.  */
  mq_margin first_margin; /* Of first tokens: how much later, in us.  */
  mq_share_table shares;
  uint32_t in_flight;
  double recent_releases;       /* Releases lately, fading.  */
  uint64_t releases_decayed_us; /* When DRAIN was brought up to date.  */
  uint64_t next_retry_us; /* When the next refused caller may come back.  */
  uint32_t *turns;        /* Round robin: next in turn, by first layer.  */
} mq_model_state;

mq_model_state *mq_model_state_new (const mq_model *model);
void mq_model_state_free (mq_model_state *model);

/* Take over what the configuration says and sort TABLE's engines anew.  */
void mq_model_state_configure (mq_model_state *model, const mq_model *entry,
                               const mq_engine_table *table,
                               const mq_config *config);
/* Sort anew after engines changed what they hold.  */
void mq_model_state_reindex (mq_model_state *model,
                             const mq_engine_table *table);

/* Learn from an engine's report of QUEUE and BATCH, taken at AT_US.  */
void mq_model_state_learn_load (mq_model_state *model, mq_engine_state *engine,
                                uint32_t queue, uint32_t batch,
                                uint64_t at_us);

/* The layer that has most for what its engines can do.  */
typedef struct mq_model_load
{
  double load;     /* INFINITY when a layer has no usable engine.  */
  uint32_t places; /* That its engines have, or 0 when they are not limited
                      by places.  */
} mq_model_load;

mq_model_load mq_model_state_load (const mq_model_state *model,
                                   uint64_t now_us);

/* Let the waits that were seen at heads fade: one that is avoided for its
   wait would else never be seen without.  */
void mq_model_state_decay_head_waits (mq_model_state *model);

/* One more stream begins, or one ended.  */
void mq_model_state_begin_stream (mq_model_state *model, double cycle_us);
void mq_model_state_end_stream (mq_model_state *model, uint64_t now_us);
/* Streams that end in a second, lately.  */
double mq_model_state_releases_per_s (const mq_model_state *model,
                                      uint64_t now_us);

G_END_DECLS

#endif
