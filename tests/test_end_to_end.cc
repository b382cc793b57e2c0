/* End-to-end tests over real processes: a configuration folder is applied, a
   response passes through three model engines, and a plain service serves a
   lookup and a booking.  */

#include "support/deployment.h"

using deployment::Answer;
using deployment::Deployment;
using deployment::reference;
using programs::fetch;
using programs::json_text;
using programs::Reply;

class EndToEnd : public testing::Test
{
protected:
  static void
  SetUpTestSuite ()
  {
    deployment_ = new Deployment ();
  }

  static void
  TearDownTestSuite ()
  {
    delete deployment_;
    deployment_ = nullptr;
  }

  void
  SetUp () override
  {
    ASSERT_TRUE (deployment_->ready ());
  }

  static Deployment *deployment_;
};

Deployment *EndToEnd::deployment_;

TEST_F (EndToEnd, StreamedResponseEqualsReference)
{
  Reply r = fetch (deployment_->completion ("fault on unit 7", 20, true));
  Answer a = deployment::read_events (r.body);

  EXPECT_EQ (r.status, 200);
  EXPECT_TRUE (r.whole);
  EXPECT_EQ (r.headers["content-type"], "text/event-stream");
  EXPECT_FALSE (r.headers["marjoramquay-request"].empty ());
  EXPECT_EQ (a.text, reference ("fault on unit 7", 20));
  EXPECT_EQ (a.tokens, 20u);
  EXPECT_TRUE (a.done);
  EXPECT_EQ (a.error, "");
}

TEST_F (EndToEnd, UnstreamedResponseEqualsReference)
{
  Reply r = fetch (deployment_->completion ("hire quote", 9, false));
  std::string choice = json_text (r.body, "choices");

  EXPECT_EQ (r.status, 200);
  EXPECT_EQ (r.headers["marjoramquay-outcome"], "done");
  EXPECT_EQ (json_text (choice.substr (1, choice.size () - 2), "text"),
             reference ("hire quote", 9));
  EXPECT_EQ (json_text (r.body, "usage.completion_tokens"), "9");
}

TEST_F (EndToEnd, LookupAndBookingReachPlainService)
{
  Reply lookup = fetch (deployment_->booking ("GET", "/units/7?free=1"));
  Reply booking = fetch (deployment_->booking ("POST", "/bookings", "unit 7"));

  EXPECT_EQ (lookup.status, 200);
  EXPECT_EQ (lookup.headers["marjoramquay-outcome"], "done");
  EXPECT_EQ (booking.status, 200);
  EXPECT_EQ (booking.headers["marjoramquay-outcome"], "done");
  EXPECT_EQ (json_text (booking.body, "body"), "unit 7");
}

TEST_F (EndToEnd, DiscoveryNamesReachableRouter)
{
  Reply r = programs::get (deployment_->router ().url () + "/v1/entries");
  std::string first = json_text (r.body, "entries");

  EXPECT_EQ (r.status, 200);
  EXPECT_EQ (json_text (first.substr (1, first.size () - 2), "address"),
             deployment_->router ().address ());
  EXPECT_NE (json_text (r.body, "ttl_ms"), "");
}

TEST_F (EndToEnd, ExplainReturnsTraceOfRequest)
{
  Reply r = fetch (deployment_->completion ("explain me", 3, false));
  std::string id = r.headers["marjoramquay-request"];
  Reply e
      = programs::get (deployment_->router ().url () + "/v1/explain/" + id);

  EXPECT_EQ (e.status, 200);
  EXPECT_EQ (json_text (e.body, "request"), id);
  EXPECT_NE (e.body.find ("\"admitted\""), std::string::npos) << e.body;
  EXPECT_EQ (programs::get (deployment_->router ().url () + "/v1/explain/none")
                 .status,
             404);
}

TEST_F (EndToEnd, MetricsCountRequestsAndTokens)
{
  Reply before = programs::get (deployment_->router ().url () + "/metrics");
  fetch (deployment_->completion ("count me", 4, true));
  Reply after = programs::get (deployment_->router ().url () + "/metrics");
  auto value = [] (const Reply &r, const std::string &series) {
    size_t at = r.body.find ("\n" + series + " ");

    EXPECT_NE (at, std::string::npos) << series;
    return atoll (r.body.c_str () + at + series.size () + 2);
  };
  const std::string done = "marjoramquay_requests_total{outcome=\"done\"}";

  EXPECT_EQ (value (after, done), value (before, done) + 1);
  EXPECT_EQ (value (after, "marjoramquay_tokens_total"),
             value (before, "marjoramquay_tokens_total") + 4);
}
