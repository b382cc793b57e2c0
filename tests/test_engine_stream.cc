/* Response streams of engines (mq/engine_stream.h): reported events, and the
   failure reported for an error or an aborted response.  */

#include <gtest/gtest.h>
#include <mq/engine_stream.h>

#include <functional>
#include <string>
#include <vector>

namespace
{

/* TEXT with double quotes in place of single ones.  */
std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

/* An engine that sends its response in given pieces, and a stream from it, on
   one loop.  */
class Engine : public testing::Test
{
protected:
  void
  SetUp () override
  {
    mq_http_server_options options = {};
    GError *error = nullptr;

    options.address = MQ_SPAN ("127.0.0.1");
    options.body_limit = 65536;
    options.idle_s = 60;
    server = mq_http_server_new (loop, &options, on_server, this, &error);
    ASSERT_NE (server, nullptr) << error->message;
    client = mq_http_client_new (loop, { nullptr, 0 });
    mq_plan_init (&plan);
    plan.layers = 4;
    plan.model = mq_str_new (MQ_SPAN ("m"));
    plan.version = mq_str_new (MQ_SPAN ("v1"));
    ev_timer_init (&timer, on_timer, 0., 0.001);
    timer.data = this;
    ev_timer_init (&hang_timer, on_hang, 60., 0.);
    hang_timer.data = this;
    ev_timer_start (loop, &hang_timer);
  }

  void
  TearDown () override
  {
    ev_timer_stop (loop, &timer);
    ev_timer_stop (loop, &hang_timer);
    if (exchange != nullptr)
      mq_http_exchange_unref (exchange);
    mq_http_client_free (client);
    mq_http_server_free (server);
    mq_plan_finish (&plan);
    ev_loop_destroy (loop);
  }

  /* Open a stream and run until it has ended.  */
  void
  run (uint16_t port = 0)
  {
    mq_engine_stream_options o = {};
    mq_str *name = mq_str_new (MQ_SPAN ("e0"));
    mq_str *url = mq_str_printf ("http://127.0.0.1:%u",
                                 port ? port : mq_http_server_port (server));

    mq_plan_add (&plan, name, url, 0, 4);
    o.request = MQ_SPAN ("r-1");
    o.attempt = 2;
    o.router = MQ_SPAN ("1");
    o.plan = &plan;
    o.prompt = MQ_SPAN ("a \"prompt\"");
    o.max_tokens = 9;
    o.deadline_us = 60 * 1000000;
    stream = mq_engine_stream_new (client, &o, on_stream, this, &dropped);
    ev_run (loop, 0);
    mq_str_unref (name);
    mq_str_unref (url);
  }

  static std::string
  token_line (unsigned position, const std::string &text,
              const std::string &request = "r-1", unsigned attempt = 2)
  {
    return quoted ("{'request':'" + request
                   + "','attempt':" + std::to_string (attempt)
                   + ",'p':" + std::to_string (position) + ",'t':'" + text
                   + "','s':[[0,4,'v1']]}\n");
  }

  static std::string
  end_line (const std::string &end)
  {
    return quoted ("{'request':'r-1','attempt':2,'end':'" + end + "'}\n");
  }

  /* Behaviour of the engine.  */
  unsigned status = 200;
  std::vector<std::string> pieces;
  bool abort_after_pieces = false; /* Abort the connection. */
  /* Events reported by the stream.  */
  std::string events;
  mq_send_failure failure = {};
  uint64_t dropped = 0;
  std::string request_body;
  unsigned cancel_after = 0; /* Number of tokens; 0: never.  */

  struct ev_loop *loop = ev_loop_new (0);
  mq_http_server *server = nullptr;

private:
  static void
  on_server (void *context, const mq_http_server_event *event)
  {
    Engine *e = static_cast<Engine *> (context);

    if (event->kind == MQ_HTTP_SERVER_DISCONNECTED)
      e->events += "gone ";
    if (event->kind == MQ_HTTP_SERVER_DISCONNECTED && e->cancel_after > 0)
      ev_break (e->loop, EVBREAK_ALL);
    if (event->kind != MQ_HTTP_SERVER_REQUEST)
      return;
    mq_span body = mq_http_exchange_body (event->exchange);
    e->request_body.assign (body.data, body.size);
    e->exchange = mq_http_exchange_ref (event->exchange);
    mq_http_exchange_begin (e->exchange, e->status, nullptr, 0);
    ev_timer_start (e->loop, &e->timer);
  }

  static void
  on_timer (struct ev_loop *loop, ev_timer *timer, int)
  {
    Engine *e = static_cast<Engine *> (timer->data);

    if (e->next < e->pieces.size ())
      {
        const std::string &p = e->pieces[e->next++];

        mq_http_exchange_write (e->exchange, { p.data (), p.size () });
        return;
      }
    ev_timer_stop (loop, timer);
    if (e->abort_after_pieces)
      mq_http_exchange_abort (e->exchange);
    else if (e->cancel_after == 0)
      mq_http_exchange_end (e->exchange);
  }

  static void
  on_hang (struct ev_loop *loop, ev_timer *, int)
  {
    ADD_FAILURE () << "the stream did not end within 60 s";
    ev_break (loop, EVBREAK_ALL);
  }

  static void
  on_stream (void *context, const mq_engine_stream_event *event)
  {
    Engine *e = static_cast<Engine *> (context);

    switch (event->kind)
      {
      case MQ_ENGINE_STREAM_OPEN:
        e->events += "open ";
        break;
      case MQ_ENGINE_STREAM_TOKEN:
        e->events += std::to_string (event->u.token.position) + "="
                     + std::string (event->u.token.text.data,
                                    event->u.token.text.size)
                     + " ";
        EXPECT_EQ (event->u.token.n_receipts, 1u);
        if (++e->tokens == e->cancel_after)
          mq_engine_stream_cancel (e->stream);
        break;
      case MQ_ENGINE_STREAM_END:
        e->events += "end:" + std::to_string (event->u.end.end);
        ev_break (e->loop, EVBREAK_ALL);
        break;
      case MQ_ENGINE_STREAM_FAILED:
        e->events += "failed";
        e->failure = event->u.failure;
        ev_break (e->loop, EVBREAK_ALL);
        break;
      }
  }

  mq_http_client *client = nullptr;
  mq_http_exchange *exchange = nullptr;
  mq_engine_stream *stream = nullptr;
  mq_plan plan;
  ev_timer timer;
  ev_timer hang_timer;
  size_t next = 0;
  unsigned tokens = 0;
};

const std::string whole_answer
    = "open 0=a 1=b 2=c end:" + std::to_string (MQ_STREAM_DONE);

} // namespace

TEST_F (Engine, ReportsEachLine)
{
  pieces = { token_line (0, "a"), token_line (1, "b"),
             token_line (2, "c") + end_line ("done") };
  run ();
  EXPECT_EQ (events, whole_answer);
  EXPECT_NE (request_body.find ("\"prompt\":\"a \\\"prompt\\\"\""),
             std::string::npos)
      << request_body;
  EXPECT_NE (request_body.find ("\"attempt\":2"), std::string::npos);
}

TEST_F (Engine, ReassemblesLinesFromAnyPieces)
{
  std::string all = token_line (0, "a") + token_line (1, "b")
                    + token_line (2, "c") + end_line ("done");

  for (char c : all)
    pieces.push_back (std::string (1, c));
  run ();
  EXPECT_EQ (events, whole_answer);
}

TEST_F (Engine, DropsAndCountsLinesOfOtherAttempts)
{
  pieces = { token_line (0, "a"),           token_line (1, "x", "r-2"),
             token_line (1, "y", "r-1", 1), token_line (1, "b"),
             token_line (2, "c"),           end_line ("done") };
  run ();
  EXPECT_EQ (events, whole_answer);
  EXPECT_EQ (dropped, 2u);
}

/* A stream that goes on after its end contradicts itself.  */
TEST_F (Engine, FailsOnTokenAfterTheEnd)
{
  pieces = { token_line (0, "a") + token_line (1, "b") + token_line (2, "c")
             + end_line ("done") + token_line (3, "d") };
  run ();
  EXPECT_EQ (events, "open 0=a 1=b 2=c failed");
  EXPECT_TRUE (failure.maybe_sent);
  EXPECT_FALSE (failure.said_not_run);
}

TEST_F (Engine, FailsOnMalformedLine)
{
  pieces = { token_line (0, "a"), "{\"request\":\n" };
  run ();
  EXPECT_EQ (events, "open 0=a failed");
  EXPECT_TRUE (failure.maybe_sent);
  EXPECT_FALSE (failure.said_not_run);
}

TEST_F (Engine, FailsOnOverlongLine)
{
  pieces.assign (20, std::string (8192, 'x'));
  run ();
  EXPECT_EQ (events, "open failed");
}

TEST_F (Engine, FailsWithoutAnEndLine)
{
  pieces = { token_line (0, "a") };
  run ();
  EXPECT_EQ (events, "open 0=a failed");
  EXPECT_TRUE (failure.maybe_sent);
}

TEST_F (Engine, FailsWhenTheConnectionIsAborted)
{
  pieces = { token_line (0, "a"), "{\"requ" };
  abort_after_pieces = true;
  run ();
  EXPECT_EQ (events, "open 0=a failed");
  EXPECT_TRUE (failure.maybe_sent);
}

TEST_F (Engine, RecognisesErrorThatSaysNothingRan)
{
  status = 429;
  pieces = { "{\"ran\":fal", "se,\"reason\":\"full\"}" };
  run ();
  EXPECT_EQ (events, "failed");
  EXPECT_TRUE (failure.said_not_run);
}

TEST_F (Engine, ErrorWithoutBooleanRanMayHaveRun)
{
  status = 503;
  pieces = { "{\"ran\":0}" };
  run ();
  EXPECT_EQ (events, "failed");
  EXPECT_FALSE (failure.said_not_run);
  EXPECT_TRUE (failure.maybe_sent);
}

TEST_F (Engine, NothingIsSentWithoutAConnection)
{
  mq_http_server_quiesce (server);
  run ();
  EXPECT_EQ (events, "failed");
  EXPECT_FALSE (failure.maybe_sent);
}

TEST_F (Engine, CancelFromTheSinkClosesTheStream)
{
  pieces = { token_line (0, "a") + token_line (1, "b") + token_line (2, "c") };
  cancel_after = 2;
  run ();
  EXPECT_EQ (events, "open 0=a 1=b gone ");
}
