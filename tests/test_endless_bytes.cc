/* Streams from upstreams that send bytes without end, which are no answer, in
   a head or a body, until the router closes.  The router must bound its
   memory, close the connection, and serve the request elsewhere.  */

#include "support/endless_fixture.h"

using namespace gateway;

namespace
{

/* Bodies of streams, after their heads and any events, without further ones.
 */
const std::vector<Pattern> bodies = {
  { "Garbage", stream_head + chunked, chunk ("no events") },
  { "GarbageLines", stream_head + chunked, chunk ("no events\n\n") },
  { "EmptyLines", stream_head + chunked, chunk ("\n\n\n") },
  { "Comments", stream_head + chunked, chunk (": c\n\n") },
  { "CommentsWithoutEmptyLines", stream_head + chunked, chunk (": c\n") },
};

/* Parts of a body's framing that have no end.  */
const std::vector<Pattern> framings = {
  { "ChunkExtension", stream_head + chunked + "1;", "a=b;" },
  { "Trailers", stream_head + chunked + "0\r\n", "X-A: b\r\n" },
};

class EndlessToStream : public EndlessBytes,
                        public testing::WithParamInterface<Pattern>
{
protected:
  /* N streams meet an engine that sends the pattern, PER_S bytes a second; a
     second engine is sound.  */
  void
  run_streams (unsigned n, double per_s, const std::string &first = "")
  {
    EndlessEngine &bad = add_bad (
        "model", { GetParam ().head + first, GetParam ().unit, per_s });

    add_engine ("model");
    start_process ();
    expect_served ("/long-stream/1", bad, events (1, 3), n);
  }
};

class EndlessErrorToStream : public EndlessToStream
{
};

class EndlessBodyToStream : public EndlessToStream
{
};

} // namespace

INSTANTIATE_TEST_SUITE_P (Head, EndlessToStream, testing::ValuesIn (heads),
                          test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Framing, EndlessToStream,
                          testing::ValuesIn (framings), test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Error, EndlessErrorToStream,
                          testing::ValuesIn (errors), test_name<Pattern>);
INSTANTIATE_TEST_SUITE_P (Body, EndlessBodyToStream,
                          testing::ValuesIn (bodies), test_name<Pattern>);

TEST_P (EndlessErrorToStream, IsServedElsewhere)
{
  run_streams (1, 0);
  EXPECT_TRUE (logged ("why=error-too-large"));
}

TEST_P (EndlessErrorToStream, ManyAreServedElsewhere) { run_streams (30, 0); }

TEST_P (EndlessErrorToStream, SlowOneIsServedElsewhere)
{
  run_streams (1, 100);
}

TEST_P (EndlessBodyToStream, IsServedElsewhere) { run_streams (1, 0); }

TEST_P (EndlessBodyToStream, ManyAreServedElsewhere) { run_streams (30, 0); }

TEST_P (EndlessBodyToStream, SlowOneIsServedElsewhere)
{
  run_streams (1, 100);
}

/* The engine's first event is kept, and no byte after it.  */
TEST_P (EndlessBodyToStream, AfterFirstEventIsResumed)
{
  EndlessEngine &bad
      = add_bad ("model", { GetParam ().head + chunk (events (1, 1)),
                            GetParam ().unit, 0 });

  add_engine ("model");
  start_process ();
  Answer a;
  for (unsigned i = 0; i < 20 && bad.count_runs () == 0; i++)
    a = *attempts ("/long-stream/1", 1)[0];
  ASSERT_GT (bad.count_runs (), 0u);
  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_TRUE (a.body == events (1, 3)) << a.body.substr (0, 200);
  expect_sound (bad);
}

TEST_P (EndlessToStream, IsServedElsewhere) { run_streams (1, 0); }

/* Guards against dropping or changing comments of a sound stream, which are
   held until the next event or the end.  */
TEST_F (EndlessBytes, SoundCommentsReachClientUnchanged)
{
  const std::string body = ": before\n\n" + events (1, 1) + ": one\n\n\n"
                           + ": two\n\n" + events (2, 3) + "data: no id\n\n"
                           + ": after\n\n";
  EndlessEngine &engine = add_bad (
      "model", { stream_head + chunked + chunk (body) + "0\r\n\r\n", "", 0 });

  start_process ();
  Answer a = std::move (*attempts ("/long-stream/1", 1)[0]);
  EXPECT_EQ (a.status, 200u);
  EXPECT_EQ (a.body, body);
  EXPECT_EQ (engine.count_runs (), 1u);
}

/* Guards against a response that begins, and then breaks, before any event.
 */
TEST_F (EndlessBytes, CommentsDoNotBeginResponse)
{
  Answer a;

  add_bad ("model", { stream_head + chunked + chunk (": c\n\n"),
                      chunk (": c\n\n"), 100 });
  start_process ();
  start_request (a, "POST", "/long-stream/1", key, "", 0, "1000");
  EXPECT_TRUE (until ([&] { return a.ended; }));
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.status, 504u);
}

/* Guards against passing on a stream without the engine's signature after all
   further sends have failed.  */
TEST_F (EndlessBytes, UnsignedStreamIsNeverPassedOn)
{
  Answer a;
  const std::string head
      = "HTTP/1.1 200 OK\r\nMarjoramquay-Attempt-Id: @ID@\r\n"
        "Content-Type: text/event-stream\r\n"
        + chunked;

  add_bad ("model", { head, chunk (events (1, 3)) + "0\r\n\r\n", 200 });
  start_process ();
  start_request (a, "POST", "/long-stream/1", key, "", 0, "3000");
  EXPECT_TRUE (until ([&] { return a.ended; }));
  EXPECT_GE (a.status, 500u) << a.body.substr (0, 200);
}
