/* Calls to upstreams that answer with bodies without end.  The router must
   bound its memory, close the connection, and serve a call elsewhere where
   that may run twice, or else answer it in time.  */

#include "support/endless_fixture.h"

using namespace gateway;

namespace
{

/* Bodies of answers to calls.  */
const std::string call_head = "HTTP/1.1 200 OK\r\n" + signed_head;
const std::vector<Pattern> answers = {
  { "WithLength", call_head + "Content-Length: 999999999\r\n\r\n",
    "an answer " },
  { "InChunks", call_head + chunked, chunk ("an answer ") },
  { "Unframed", call_head + "\r\n", "an answer " },
  { "InChunkExtension", call_head + chunked + "1;", "an extension " },
};

class EndlessToCall : public EndlessBytes,
                      public testing::WithParamInterface<Pattern>
{
protected:
  EndlessEngine &
  add_endless (double per_s)
  {
    return add_bad ("app", { GetParam ().head, GetParam ().unit, per_s });
  }

  /* N safe calls meet an engine that sends the pattern, PER_S bytes a second;
     a second engine is sound.  */
  void
  run_safe (unsigned n, double per_s,
            const std::string &target = "/long-safe/1")
  {
    EndlessEngine &bad = add_endless (per_s);

    add_engine ("app");
    start_process ();
    expect_served (target, bad, "ok", n);
  }

  /* N unsafe calls, which have TIME_MS, meet only that engine.  Those that it
     got are answered with STATUS, others are refused, and none is sent twice.
   */
  void
  run_unsafe (unsigned n, double per_s, unsigned status,
              unsigned time_ms = budget_ms)
  {
    EndlessEngine &bad = add_endless (per_s);
    unsigned sent = 0;

    start_process ();
    for (auto &a : attempts ("/long-unsafe/1", n, time_ms))
      {
        EXPECT_EQ (a->result, MQ_HTTP_OK);
        EXPECT_TRUE (a->status == status || a->status == 503) << a->status;
        sent += a->status == status;
        served_s = std::max (served_s, ev_time () - a->sent);
      }
    EXPECT_GT (sent, 0u);
    EXPECT_EQ (sent, bad.count_runs ());
    for (auto &r : bad.runs ())
      EXPECT_EQ (r.second, 1u);
    expect_sound (bad);
  }
};

} // namespace

INSTANTIATE_TEST_SUITE_P (Body, EndlessToCall, testing::ValuesIn (answers),
                          test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Error, EndlessToCall, testing::ValuesIn (errors),
                          test_name<Pattern>);

TEST_P (EndlessToCall, SafeIsServedElsewhere) { run_safe (1, 0); }

/* On a busy machine a call may leave a slow engine before that has sent so
   much, but not where its route is patient.  */
TEST_P (EndlessToCall, PatientSafeIsServedElsewhere)
{
  run_safe (1, 0, "/long-patient/1");
  EXPECT_TRUE (logged (GetParam ().name == std::string ("InChunkExtension")
                           ? "why=broken open=0 bytes"
                           : "why=answer-too-large"))
      << router_process->log ();
}

TEST_P (EndlessToCall, ManySafeAreServedElsewhere) { run_safe (30, 0); }

TEST_P (EndlessToCall, SlowSafeIsServedElsewhere) { run_safe (1, 100); }

TEST_P (EndlessToCall, UnsafeIsAnsweredEarly)
{
  run_unsafe (1, 0, 502);
  EXPECT_LT (served_s, budget_ms / 1000.);
}

TEST_P (EndlessToCall, ManyUnsafeAreAnsweredEarly)
{
  run_unsafe (30, 0, 502);
  EXPECT_LT (served_s, budget_ms / 1000.);
}

TEST_P (EndlessToCall, SlowUnsafeIsAnsweredAtItsDeadline)
{
  run_unsafe (1, 100, 504, 1000);
}
