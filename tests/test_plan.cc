/* Plans must cover each layer once, in order.  */

#include <gtest/gtest.h>
#include <mq/plan.h>

namespace
{

/* Returns a plan of LAYERS layers with one stage for each range of RANGES.  */
mq_plan
make_plan (uint32_t layers, std::initializer_list<std::pair<int, int> > ranges)
{
  mq_plan p;
  mq_str *name = mq_str_new (MQ_SPAN ("e"));

  mq_plan_init (&p);
  p.layers = layers;
  p.version = mq_str_new (MQ_SPAN ("v1"));
  for (auto range : ranges)
    mq_plan_add (&p, name, name, range.first, range.second);
  mq_str_unref (name);
  return p;
}

mq_plan_check
check (uint32_t layers, std::initializer_list<std::pair<int, int> > ranges)
{
  mq_plan p = make_plan (layers, ranges);
  mq_plan_check result = mq_plan_check_coverage (&p);

  mq_plan_finish (&p);
  return result;
}

} // namespace

TEST (Plan, CoverageCheckFindsGapsAndOverlaps)
{
  EXPECT_EQ (check (8, { { 0, 4 }, { 4, 8 } }), MQ_PLAN_OK);
  EXPECT_EQ (check (8, {}), MQ_PLAN_EMPTY);
  EXPECT_EQ (check (8, { { 0, 4 }, { 5, 8 } }), MQ_PLAN_GAP);
  EXPECT_EQ (check (8, { { 0, 4 } }), MQ_PLAN_GAP);
  EXPECT_EQ (check (8, { { 1, 8 } }), MQ_PLAN_GAP);
  EXPECT_EQ (check (8, { { 0, 5 }, { 4, 8 } }), MQ_PLAN_OVERLAP);
  EXPECT_EQ (check (8, { { 0, 4 }, { 4, 9 } }), MQ_PLAN_OVERLAP);
}

TEST (Plan, ReceiptsMustMatchEachStage)
{
  mq_plan p = make_plan (8, { { 0, 4 }, { 4, 8 } });
  mq_receipt good[] = { { 0, 4, MQ_SPAN ("v1") }, { 4, 8, MQ_SPAN ("v1") } };
  mq_receipt gap[] = { { 0, 4, MQ_SPAN ("v1") }, { 5, 8, MQ_SPAN ("v1") } };
  mq_receipt old[] = { { 0, 4, MQ_SPAN ("v1") }, { 4, 8, MQ_SPAN ("v0") } };

  EXPECT_EQ (mq_plan_check_receipts (&p, good, 2), MQ_PLAN_OK);
  EXPECT_EQ (mq_plan_check_receipts (&p, good, 1), MQ_PLAN_GAP);
  EXPECT_EQ (mq_plan_check_receipts (&p, gap, 2), MQ_PLAN_GAP);
  EXPECT_EQ (mq_plan_check_receipts (&p, old, 2), MQ_PLAN_VERSION);
  mq_plan_finish (&p);
}
