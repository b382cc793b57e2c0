/* Plans: the engines that run the layers of one request.

   A plan is a sequence of stages whose layer ranges cover [0, LAYERS) once,
   in order, with one model version.  It belongs to one attempt of one
   request; a new plan for the same request has the next attempt number.  A
   plan is copied by value; it holds references to its strings.  */

#ifndef MQ_PLAN_H
#define MQ_PLAN_H

#include <mq/str.h>

G_BEGIN_DECLS

/* Maximum number of stages in a plan.  */
#define MQ_PLAN_MAX_STAGES 16

typedef struct mq_stage
{
  mq_str *engine; /* Name of the engine.  */
  mq_str *url;
  uint32_t first; /* Layers [first, end).  */
  uint32_t end;
} mq_stage;

/* A stage's statement of which layers it ran for one position.  */
typedef struct mq_receipt
{
  uint32_t first;
  uint32_t end;
  mq_span version; /* Borrowed.  */
} mq_receipt;

typedef struct mq_plan
{
  mq_str *model;
  mq_str *version;
  uint32_t layers;
  uint32_t n_stages;
  mq_stage stages[MQ_PLAN_MAX_STAGES];
} mq_plan;

typedef enum mq_plan_check
{
  MQ_PLAN_OK,
  MQ_PLAN_EMPTY,   /* No stage.  */
  MQ_PLAN_GAP,     /* No stage runs a layer, or the order is wrong.  */
  MQ_PLAN_OVERLAP, /* Two stages run the same layer.  */
  MQ_PLAN_VERSION  /* A stage ran another version.  */
} mq_plan_check;

/* Initialise PLAN as empty.  */
void mq_plan_init (mq_plan *plan);
/* Release the references of PLAN and make it empty.  */
void mq_plan_finish (mq_plan *plan);
/* Initialise TO as a copy of FROM, with references of its own.  */
void mq_plan_copy (mq_plan *to, const mq_plan *from);
/* Append a stage, with new references.  Returns 0, or -1 if PLAN is full.  */
int mq_plan_add (mq_plan *plan, mq_str *engine, mq_str *url, uint32_t first,
                 uint32_t end);
/* Returns MQ_PLAN_OK if the stages cover every layer once, in order.  */
mq_plan_check mq_plan_check_coverage (const mq_plan *plan);
/* Returns MQ_PLAN_OK if the N RECEIPTS match the stages of PLAN one by one, in
   order, with its version.  */
mq_plan_check mq_plan_check_receipts (const mq_plan *plan,
                                      const mq_receipt *receipts, size_t n);

G_END_DECLS

#endif
