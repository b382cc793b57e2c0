/* Plans: which engines run which layers of one request.

   A plan is a run of stages whose layer ranges cover [0, L) once, in order,
   with one model version.  It belongs to one attempt of one request; a new
   plan for the same request has the next attempt number.  A plan is plain
   data that is copied, and its strings are counted by reference.  */

#ifndef MQ_PLAN_H
#define MQ_PLAN_H

#include <mq/str.h>

G_BEGIN_DECLS

/* The most stages that a plan may have.  */
#define MQ_PLAN_MAX_STAGES 16

typedef struct mq_stage
{
  mq_str *engine; /* Name.  */
  mq_str *url;
  uint32_t first; /* Layers [first, end).  */
  uint32_t end;
} mq_stage;

/* What a stage says it ran for one position.  */
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
  MQ_PLAN_GAP,     /* A layer that no stage runs, or out of order.  */
  MQ_PLAN_OVERLAP, /* A layer that two stages run.  */
  MQ_PLAN_VERSION  /* A stage ran another version.  */
} mq_plan_check;

/* Make PLAN empty.  */
void mq_plan_init (mq_plan *plan);
/* Give up what PLAN holds and make it empty.  */
void mq_plan_finish (mq_plan *plan);
/* Make TO, which is not initialised, a copy of FROM.  */
void mq_plan_copy (mq_plan *to, const mq_plan *from);
/* Add a stage; takes new references.  Returns 0, or -1 when full.  */
int mq_plan_add (mq_plan *plan, mq_str *engine, mq_str *url, uint32_t first,
                 uint32_t end);
/* Do the stages cover every layer once, in order?  */
mq_plan_check mq_plan_check_coverage (const mq_plan *plan);
/* Do the N receipts say that every layer ran once, in order, in the plan's
   version, stage by stage as planned?  */
mq_plan_check mq_plan_check_receipts (const mq_plan *plan,
                                      const mq_receipt *receipts, size_t n);

G_END_DECLS

#endif
