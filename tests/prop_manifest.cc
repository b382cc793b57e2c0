/* Concurrent operators: every change lands once or is refused with the right
   result, and no generation reverts.  */

#include <gtest/gtest.h>
#include <rapidcheck/state.h>
#include <rapidcheck.h>

#include "change_sim.h"
#include <mq/generation.h>
#include <mq/internal/defect.h>

using namespace change_test;

namespace
{

struct Model
{
  size_t operators = 0;
};

using Command = rc::state::Command<Model, Simulation>;

void
check (const Simulation &w)
{
  if (!w.violation.empty ())
    RC_FAIL (w.violation);
}

/* An operator starts to drop a file or to take one.  Few names and contents,
   so that conflicts are frequent.  */
struct Start : Command
{
  int file = *rc::gen::inRange (0, 4);
  int content = *rc::gen::inRange (0, 4);

  void
  apply (Model &m) const override
  {
    m.operators++;
  }

  void
  run (const Model &m, Simulation &w) const override
  {
    w.start ("op-" + std::to_string (m.operators),
             "file-" + std::to_string (file) + ".json",
             content > 0 ? std::to_string (content) : "");
    check (w);
  }

  void
  show (std::ostream &os) const override
  {
    os << "start " << file << " " << content;
  }
};

struct Step : Command
{
  size_t which = *rc::gen::arbitrary<uint8_t> ();
  Fault fault = *rc::gen::weightedElement<Fault> ({ { 6, Fault::None },
                                                    { 1, Fault::LoseReply },
                                                    { 1, Fault::Cut },
                                                    { 1, Fault::Delay },
                                                    { 1, Fault::Refuse } });

  void
  checkPreconditions (const Model &m) const override
  {
    RC_PRE (m.operators > 0u);
  }

  void
  run (const Model &m, Simulation &w) const override
  {
    w.step (which % m.operators, fault);
    check (w);
  }

  void
  show (std::ostream &os) const override
  {
    os << "step " << which << " fault " << (int)fault;
  }
};

struct Deliver : Command
{
  size_t which = *rc::gen::inRange<size_t> (0, 3);

  void
  run (const Model &, Simulation &w) const override
  {
    w.deliver (which);
    check (w);
  }

  void
  show (std::ostream &os) const override
  {
    os << "deliver " << which;
  }
};

/* An outage, during which an operator may time out.  */
struct Outage : Command
{
  uint64_t us = *rc::gen::inRange<uint64_t> (1000, 40000000);

  void
  run (const Model &, Simulation &w) const override
  {
    w.advance (us);
  }

  void
  show (std::ostream &os) const override
  {
    os << "outage " << us;
  }
};

Fault
random_fault (GRand *rand)
{
  return g_rand_int_range (rand, 0, 4) > 0
             ? Fault::None
             : (Fault)g_rand_int_range (rand, 0, (int)Fault::Count);
}

/* Two operators run a hundred drops each through a faulty network; some drops
   are of the same file.  */
void
race (Simulation &w, uint32_t seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  const int drops = 100;
  int started[2] = { 0, 0 };
  size_t current[2] = { 0, 0 };

  while (started[0] < drops || started[1] < drops)
    {
      int who = g_rand_int_range (rand, 0, 2);

      if (started[who] == 0 || w.operators[current[who]]->ended)
        {
          if (started[who] == drops)
            continue;
          std::string file = "f"
                             + std::to_string (g_rand_int_range (rand, 0, 40))
                             + ".json";
          std::string name = std::string (who ? "ann-" : "bob-")
                             + std::to_string (started[who]++);

          current[who] = w.operators.size ();
          w.start (name, file, name);
        }
      w.step (current[who], random_fault (rand));
      if (g_rand_int_range (rand, 0, 10) == 0)
        w.deliver (0);
    }
  w.finish ();
  g_rand_free (rand);
}

/* Returns true if the race finds a violation within a few seeds.  */
bool
race_finds_violation ()
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      Simulation w;

      race (w, seed);
      if (!w.violation.empty ())
        return true;
    }
  return false;
}

} // namespace

TEST (ChangeProperties, ChangesLandOnceOrAreRefused)
{
  EXPECT_TRUE (rc::check ([] {
    Simulation w;

    rc::state::check (
        Model{}, w,
        rc::state::gen::execOneOfWithArgs<Start, Step, Step, Step, Step, Step,
                                          Step, Deliver, Outage> ());
    w.finish ();
    check (w);
  }));
}

TEST (ChangeRace, TwoOperatorsRaceAHundredDrops)
{
  size_t results[MQ_CHANGE_UNKNOWN + 1] = {};

  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      Simulation w;

      race (w, seed);
      EXPECT_EQ (w.violation, "") << "seed " << seed;
      for (const auto &op : w.operators)
        results[op->action.result]++;
    }
  for (int r = 0; r <= MQ_CHANGE_UNKNOWN; r++)
    RecordProperty (mq_change_result_name ((mq_change_result)r),
                    (int)results[r]);
  /* The race must have landings and conflicts to be meaningful.  No operator
     times out, so no result may be UNKNOWN.  */
  EXPECT_GT (results[MQ_CHANGE_LANDED], 900u);
  EXPECT_GT (results[MQ_CHANGE_CONFLICT], 0u);
  EXPECT_EQ (results[MQ_CHANGE_LANDED] + results[MQ_CHANGE_CONFLICT], 1000u);
}

#ifdef MQ_DEFECTS
TEST (ChangeDefects, AreDetectedByTheRace)
{
  EXPECT_FALSE (race_finds_violation ());
  for (mq_defect d :
       { MQ_DEFECT_CHANGE_ID_IGNORED, MQ_DEFECT_RACE_OVERWRITES })
    {
      mq_defect_enable (d);
      EXPECT_TRUE (race_finds_violation ()) << mq_defect_name (d);
    }
  mq_defect_enable (MQ_DEFECT_NONE);
}

/* The reply of the only write is lost, and the platform stays unavailable.  */
static std::string
lost_reply_then_outage (mq_defect defect)
{
  Simulation w;

  mq_defect_enable (defect);
  w.start ("ann", "a.json", "1");
  while (w.operators[0]->action.kind != MQ_CHANGE_WRITE)
    w.step (0, Fault::None);
  w.step (0, Fault::LoseReply);
  w.advance (120000000);
  while (!w.operators[0]->ended)
    w.step (0, Fault::Refuse);
  w.finish ();
  mq_defect_enable (MQ_DEFECT_NONE);
  return w.violation;
}

TEST (ChangeDefects, DetectsADeniedDoubt)
{
  EXPECT_EQ (lost_reply_then_outage (MQ_DEFECT_NONE), "");
  EXPECT_EQ (lost_reply_then_outage (MQ_DEFECT_DOUBT_DENIED),
             "reported unavailable, but it landed");
}
#endif

/* Offers, fetches and failures in any order: the generation in force only
   grows.  */
static bool
generation_reverts ()
{
  GRand *rand = g_rand_new_with_seed (7);
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_generation_action));
  bool reverts = false;

  for (int run = 0; run < 200; run++)
    {
      mq_generation g;
      uint64_t in_force = 0;
      uint64_t now = 1;
      mq_generation_event e = {};

      mq_generation_init (&g, now, 10000000);
      for (int i = 0; i < 100; i++)
        {
          e.kind = (mq_generation_event_kind)g_rand_int_range (
              rand, MQ_GENERATION_OFFER, MQ_GENERATION_TICK + 1);
          e.now_us = now += (uint64_t)g_rand_int_range (rand, 1, 3000000);
          e.peer = (uint64_t)g_rand_int_range (rand, 0, 4);
          e.generation = (uint64_t)g_rand_int_range (rand, 0, 12);
          e.count = (uint32_t)g_rand_int_range (rand, 0, 3);
          e.cut_off_us = 5000000;
          mq_generation_handle (&g, &e, actions);
          for (guint k = 0; k < actions->len; k++)
            {
              const mq_generation_action &a
                  = g_array_index (actions, mq_generation_action, k);

              if (a.kind != MQ_GENERATION_APPLY)
                continue;
              reverts = reverts || a.generation <= in_force;
              in_force = a.generation;
            }
          g_array_set_size (actions, 0);
        }
    }
  g_array_unref (actions);
  g_rand_free (rand);
  return reverts;
}

TEST (GenerationProperties, GenerationInForceNeverReverts)
{
  EXPECT_FALSE (generation_reverts ());
#ifdef MQ_DEFECTS
  mq_defect_enable (MQ_DEFECT_LOWER_GENERATION_TAKEN);
  EXPECT_TRUE (generation_reverts ());
  mq_defect_enable (MQ_DEFECT_NONE);
#endif
}
