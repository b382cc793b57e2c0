/* Tests of the entry's checker: it reports no violation without a defect, and
   the expected one with each injected defect.  */

#include "entry_sim.h"
#include <mq/internal/defect.h>
#include <random>

using namespace entry_test;

#ifdef MQ_DEFECTS

namespace
{

constexpr int RUNS = 400;
constexpr int MOVES = 200;

/* Random moves from a fixed seed.  Moves that advance requests are more
   frequent.  */
class Moves
{
public:
  Moves ()
  {
    for (int s = 0; s < (int)Step::Count; s++)
      add ((Step)s, 2);
    add (Step::Limit, 8);
    add (Step::Plan, 6);
    add (Step::Token, 20);
  }

  void
  run (Simulation &sim)
  {
    for (int i = 0; i < MOVES; i++)
      sim.move ({ steps[random () % steps.size ()], (uint8_t)random (),
                  (uint8_t)random () });
    sim.finish ();
  }

private:
  void
  add (Step step, size_t weight)
  {
    steps.insert (steps.end (), weight, step);
  }

  std::mt19937 random{ 20261202 };
  std::vector<Step> steps;
};

/* Returns true if the checker reports WHAT in one of the simulations.  */
bool
search (const char *what)
{
  Moves moves;

  for (int i = 0; i < RUNS; i++)
    {
      Simulation w (true);
      moves.run (w);
      if (w.d.checker.report ().find (what) != std::string::npos)
        return true;
    }
  return false;
}

class Defect
{
public:
  explicit Defect (mq_defect defect) { mq_defect_enable (defect); }
  Defect (const Defect &) = delete;
  ~Defect () { mq_defect_enable (MQ_DEFECT_NONE); }
};

} // namespace

TEST (Defects, FindsNoViolationWithoutADefect)
{
  Moves moves;

  for (int i = 0; i < RUNS; i++)
    {
      Simulation w;
      moves.run (w);
      ASSERT_FALSE (w.d.checker.broken ()) << w.d.checker.report ();
    }
}

TEST (Defects, AttemptNotComparedIsCaught)
{
  Defect defect (MQ_DEFECT_ATTEMPT_NOT_COMPARED);
  EXPECT_TRUE (search ("token of an attempt that is not awaited"));
}

TEST (Defects, PositionNotComparedIsCaught)
{
  Defect defect (MQ_DEFECT_POSITION_NOT_COMPARED);
  EXPECT_TRUE (search ("token out of its position"));
}

TEST (Defects, ReceiptsNotCheckedIsCaught)
{
  Defect defect (MQ_DEFECT_RECEIPTS_NOT_CHECKED);
  EXPECT_TRUE (search ("token whose layers did not each run once"));
}

TEST (Defects, LayerGapAllowedIsCaught)
{
  Defect defect (MQ_DEFECT_LAYER_GAP_ALLOWED);
  EXPECT_TRUE (search ("plan does not run each layer once"));
}

TEST (Defects, NotRunAfterSendIsCaught)
{
  Defect defect (MQ_DEFECT_NOT_RUN_AFTER_SEND);
  EXPECT_TRUE (search ("not-run said of what may have run"));
}

TEST (Defects, NonRepeatableRetriedIsCaught)
{
  Defect defect (MQ_DEFECT_NON_REPEATABLE_RETRIED);
  EXPECT_TRUE (search ("sent again though it may have run"));
}

TEST (Defects, TicketRunTwiceIsCaught)
{
  Defect defect (MQ_DEFECT_TICKET_RUN_TWICE);
  EXPECT_TRUE (search ("guarded call run twice"));
}

TEST (Defects, ClaimNotAwaitedIsCaught)
{
  Defect defect (MQ_DEFECT_CLAIM_NOT_AWAITED);
  EXPECT_TRUE (search ("key run without its claim"));
}

TEST (Defects, EndsTwiceIsCaught)
{
  Defect defect (MQ_DEFECT_ENDS_TWICE);
  EXPECT_TRUE (search ("ended twice"));
}

TEST (Defects, StreamLeftOpenIsCaught)
{
  Defect defect (MQ_DEFECT_STREAM_LEFT_OPEN);
  EXPECT_TRUE (search ("two attempts out at once"));
}

TEST (Defects, LimitKeptIsCaught)
{
  Defect defect (MQ_DEFECT_LIMIT_KEPT);
  EXPECT_TRUE (search ("limit not released"));
}

TEST (Defects, DrainTakesWorkIsCaught)
{
  Defect defect (MQ_DEFECT_DRAIN_TAKES_WORK);
  EXPECT_TRUE (search ("work taken while leaving"));
}

TEST (Defects, DeadlineIgnoredIsCaught)
{
  Defect defect (MQ_DEFECT_DEADLINE_IGNORED);
  EXPECT_TRUE (search ("runs on after its deadline"));
}

#else

TEST (Defects, AreCompiledOut)
{
  EXPECT_FALSE (mq_defect_enabled (MQ_DEFECT_ENDS_TWICE));
}

#endif
