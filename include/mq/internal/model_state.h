/* Internal to packages/decide: the planner's state of each model.

   Three measured values convert counted demand to predictions, so that the
   planner needs no model of an engine's batching:
   - load_scale: reported load over the demand counted for the engines;
   - gap_factor: observed gaps between tokens over predicted ones;
   - steps_per_prompt_token: cost of one prompt token at each stage, in steps.

   Safety margins are added to the predictions.  That on gaps is a factor,
   since errors grow with the length of the answer.  That on the first token is
   a time, since waiting delays short and long answers alike.  */

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
  double cycle_us;        /* Mean over the planned pipelines.  */
  mq_margin gap_margin;   /* Ratio of observed to predicted gaps.  */
  mq_margin first_margin; /* Delay of first tokens beyond their prediction, in
                             microseconds.  */
  mq_share_table shares;
  uint32_t in_flight;
  double recent_releases;       /* Decaying count of released streams.  */
  uint64_t releases_decayed_us; /* When RECENT_RELEASES was last decayed.  */
  uint64_t next_retry_us;       /* Retry time of the last refused request.  */
  uint32_t *turns;              /* Round-robin counters by first layer.  */
} mq_model_state;

mq_model_state *mq_model_state_new (const mq_model *model);
void mq_model_state_free (mq_model_state *model);

/* Updates MODEL from ENTRY and CONFIG and rebuilds its list of engines from
   TABLE.  */
void mq_model_state_configure (mq_model_state *model, const mq_model *entry,
                               const mq_engine_table *table,
                               const mq_config *config);
/* Rebuilds the list of engines after engines were added, removed or changed
   their layers.  */
void mq_model_state_reindex (mq_model_state *model,
                             const mq_engine_table *table);

/* Updates the estimates from ENGINE's report of QUEUE and BATCH, whose values
   were taken at AT_US.  */
void mq_model_state_learn_load (mq_model_state *model, mq_engine_state *engine,
                                uint32_t queue, uint32_t batch,
                                uint64_t at_us);

/* Load of the layer with the highest load relative to capacity.  */
typedef struct mq_model_load
{
  double load;     /* INFINITY if a layer has no usable engine.  */
  uint32_t places; /* Places of its engines, or 0 if places do not limit all of
                      them.  */
} mq_model_load;

mq_model_load mq_model_state_load (const mq_model_state *model,
                                   uint64_t now_us);

/* Decays the heads' measured delays of first tokens.  An engine that is
   avoided because of its delay would otherwise never be measured again.  */
void mq_model_state_decay_head_waits (mq_model_state *model);

/* Records that a stream began or ended.  */
void mq_model_state_begin_stream (mq_model_state *model, double cycle_us);
void mq_model_state_end_stream (mq_model_state *model, uint64_t now_us);
/* Returns the recent rate of streams that end, per second.  */
double mq_model_state_releases_per_s (const mq_model_state *model,
                                      uint64_t now_us);

G_END_DECLS

#endif
