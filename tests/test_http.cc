/* The HTTP server and client against each other on loopback, in one loop.

   No test depends on speed: each runs the loop until what it waits for has
   happened, and fails after a time that is far above what it takes.  */

#include <gtest/gtest.h>
#include <mq/http_client.h>
#include <mq/http_server.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

constexpr double kPatience = 30.;

std::string
text (mq_span span)
{
  return std::string (span.data == nullptr ? "" : span.data, span.size);
}

mq_span
span (const std::string &s)
{
  return mq_span{ s.data (), s.size () };
}

/* What a call reported.  */
struct Answer
{
  int heads = 0;
  int ends = 0;
  unsigned status = 0;
  mq_http_result result = MQ_HTTP_OK;
  bool maybe_sent = false;
  std::string body;
  std::function<void (const mq_http_client_event &)> on_event;
};

void
answer_sink (void *context, const mq_http_client_event *event)
{
  Answer *a = static_cast<Answer *> (context);

  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      a->heads++;
      a->status = event->status;
      break;
    case MQ_HTTP_CLIENT_DATA:
      a->body += text (event->data);
      break;
    case MQ_HTTP_CLIENT_END:
      a->ends++;
      a->result = event->result;
      a->maybe_sent = event->maybe_sent;
      a->body += text (event->data);
      break;
    }
  if (a->on_event)
    a->on_event (*event);
}

class Http : public ::testing::Test
{
protected:
  struct ev_loop *loop = nullptr;
  mq_http_server *server = nullptr;
  mq_http_client *client = nullptr;
  std::function<void (mq_http_exchange *)> on_request;
  std::function<void (mq_http_exchange *)> on_drained;
  std::function<void (mq_http_exchange *)> on_gone;
  int gone = 0;

  static void
  sink (void *context, const mq_http_server_event *event)
  {
    Http *t = static_cast<Http *> (context);

    switch (event->kind)
      {
      case MQ_HTTP_SERVER_REQUEST:
        t->on_request (event->exchange);
        break;
      case MQ_HTTP_SERVER_DRAINED:
        if (t->on_drained)
          t->on_drained (event->exchange);
        break;
      case MQ_HTTP_SERVER_GONE:
        t->gone++;
        if (t->on_gone)
          t->on_gone (event->exchange);
        break;
      }
  }

  void
  SetUp () override
  {
    loop = ev_loop_new (EVFLAG_AUTO);
    client = mq_http_client_new (loop, mq_span{ nullptr, 0 });
    start (5);
  }

  void
  start (unsigned idle_s)
  {
    mq_http_server_options options = {};
    GError *error = nullptr;

    mq_http_server_free (server);
    options.address = MQ_SPAN ("127.0.0.1");
    options.body_limit = 64 * 1024;
    options.idle_s = idle_s;
    server = mq_http_server_new (loop, &options, sink, this, &error);
    ASSERT_NE (server, nullptr) << error->message;
  }

  void
  TearDown () override
  {
    mq_http_client_free (client);
    mq_http_server_free (server);
    ev_loop_destroy (loop);
  }

  std::string
  url (const std::string &path)
  {
    return "http://127.0.0.1:" + std::to_string (mq_http_server_port (server))
           + path;
  }

  mq_http_call *
  call (Answer *answer, const std::string &path,
        mq_http_call_options options = {})
  {
    std::string u = url (path);

    options.url = span (u);
    return mq_http_client_start (client, &options, answer_sink, answer);
  }

  /* Run the loop until DONE; false when it takes too long.  */
  bool
  until (const std::function<bool ()> &done)
  {
    ev_timer tick;
    ev_tstamp end;

    ev_now_update (loop);
    end = ev_now (loop) + kPatience;
    ev_timer_init (
        &tick, [] (struct ev_loop *, ev_timer *, int) {}, 0.01, 0.01);
    ev_timer_start (loop, &tick);
    while (!done () && ev_now (loop) < end)
      ev_run (loop, EVRUN_ONCE);
    ev_timer_stop (loop, &tick);
    return done ();
  }
};

TEST_F (Http, GivesAWholeReply)
{
  Answer a;
  std::string got;
  mq_http_header sent = { MQ_SPAN ("X-Colour"), MQ_SPAN ("blue") };
  mq_http_call_options options = {};
  std::string seen_colour;

  on_request = [&] (mq_http_exchange *x) {
    mq_http_header h = { MQ_SPAN ("X-Answer"), MQ_SPAN ("42") };

    got = text (mq_http_exchange_method (x)) + " "
          + text (mq_http_exchange_path (x)) + " "
          + text (mq_http_exchange_query_string (x)) + " "
          + text (mq_http_exchange_query (x, "b")) + " "
          + text (mq_http_exchange_header (x, "x-COLOUR")) + " "
          + text (mq_http_exchange_body (x)) + " "
          + text (mq_http_exchange_peer (x));
    EXPECT_EQ (mq_http_exchange_header (x, "X-None").data, nullptr);
    EXPECT_EQ (mq_http_exchange_query (x, "none").data, nullptr);
    EXPECT_EQ (mq_http_server_open_count (server), 1u);
    mq_http_exchange_reply (x, 201, &h, 1, MQ_SPAN ("hello"));
  };
  a.on_event = [&] (const mq_http_client_event &e) {
    if (e.kind == MQ_HTTP_CLIENT_HEADERS)
      seen_colour = text (mq_http_call_header (e.call, "x-answer"));
  };
  options.method = MQ_SPAN ("PUT");
  options.headers = &sent;
  options.n_headers = 1;
  options.body = MQ_SPAN ("some body");
  call (&a, "/a%2Fb/c?a=1&b=%20x", options);
  ASSERT_TRUE (until ([&] { return a.ends > 0; }));
  EXPECT_EQ (got, "PUT /a%2Fb/c a=1&b=%20x  x blue some body 127.0.0.1");
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.status, 201u);
  EXPECT_EQ (a.body, "hello");
  EXPECT_EQ (a.heads, 1);
  EXPECT_TRUE (a.maybe_sent);
  EXPECT_EQ (seen_colour, "42");
  ASSERT_TRUE (
      until ([&] { return mq_http_server_open_count (server) == 0; }));
  EXPECT_EQ (gone, 0);
}

TEST_F (Http, StreamsAnAnswerThatIsWrittenLater)
{
  Answer a;
  mq_http_exchange *x = nullptr;
  mq_http_call_options options = {};

  on_request = [&] (mq_http_exchange *e) { x = mq_http_exchange_ref (e); };
  options.streamed = true;
  call (&a, "/stream", options);
  ASSERT_TRUE (until ([&] { return x != nullptr; }));
  mq_http_exchange_begin (x, 200, nullptr, 0);
  ASSERT_TRUE (until ([&] { return a.heads == 1; }));
  mq_http_exchange_write (x, MQ_SPAN ("one "));
  mq_http_exchange_write (x, MQ_SPAN ("two "));
  ASSERT_TRUE (until ([&] { return a.body == "one two "; }));
  EXPECT_EQ (a.ends, 0);
  mq_http_exchange_write (x, MQ_SPAN ("three"));
  mq_http_exchange_end (x);
  ASSERT_TRUE (until ([&] { return a.ends == 1; }));
  EXPECT_EQ (a.body, "one two three");
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (gone, 0);
  mq_http_exchange_unref (x);
}

TEST_F (Http, TellsOnceThatTheCallerIsGone)
{
  Answer a;
  mq_http_exchange *x = nullptr;
  mq_http_call_options options = {};
  mq_http_call *c;

  on_request = [&] (mq_http_exchange *e) {
    x = mq_http_exchange_ref (e);
    mq_http_exchange_begin (x, 200, nullptr, 0);
    mq_http_exchange_write (x, MQ_SPAN ("one "));
  };
  options.streamed = true;
  c = call (&a, "/stream", options);
  ASSERT_TRUE (until ([&] { return a.body == "one "; }));
  mq_http_call_cancel (c);
  ASSERT_TRUE (until ([&] { return gone > 0; }));
  EXPECT_EQ (mq_http_exchange_write (x, MQ_SPAN ("two ")), 0u);
  mq_http_exchange_end (x);
  ASSERT_TRUE (
      until ([&] { return mq_http_server_open_count (server) == 0; }));
  EXPECT_EQ (gone, 1);
  EXPECT_EQ (a.ends, 0);
  mq_http_exchange_unref (x);
}

TEST_F (Http, TellsThatTheCallerIsGoneBeforeAnyAnswer)
{
  Answer a;
  mq_http_exchange *x = nullptr;
  mq_http_call *c;

  on_request = [&] (mq_http_exchange *e) { x = mq_http_exchange_ref (e); };
  c = call (&a, "/slow");
  ASSERT_TRUE (until ([&] { return x != nullptr; }));
  mq_http_call_cancel (c);
  ASSERT_TRUE (until ([&] { return gone == 1; }));
  mq_http_exchange_reply (x, 200, nullptr, 0, MQ_SPAN ("late"));
  ASSERT_TRUE (
      until ([&] { return mq_http_server_open_count (server) == 0; }));
  EXPECT_EQ (gone, 1);
  mq_http_exchange_unref (x);
}

TEST_F (Http, LetsTheCallerSeeThatAnAbortedStreamIsNotWhole)
{
  Answer a;
  mq_http_exchange *x = nullptr;
  mq_http_call_options options = {};

  on_request = [&] (mq_http_exchange *e) {
    x = mq_http_exchange_ref (e);
    mq_http_exchange_begin (x, 200, nullptr, 0);
    mq_http_exchange_write (x, MQ_SPAN ("one "));
  };
  options.streamed = true;
  call (&a, "/stream", options);
  ASSERT_TRUE (until ([&] { return a.body == "one "; }));
  mq_http_exchange_abort (x);
  ASSERT_TRUE (until ([&] { return a.ends == 1; }));
  EXPECT_EQ (a.result, MQ_HTTP_BROKEN);
  EXPECT_TRUE (a.maybe_sent);
  EXPECT_EQ (gone, 0);
  mq_http_exchange_unref (x);
}

TEST_F (Http, LetsASinkCancelItsCall)
{
  Answer a;
  mq_http_call_options options = {};

  on_request = [&] (mq_http_exchange *x) {
    mq_http_exchange_begin (x, 200, nullptr, 0);
    mq_http_exchange_write (x, MQ_SPAN ("one "));
  };
  a.on_event = [&] (const mq_http_client_event &e) {
    if (e.kind == MQ_HTTP_CLIENT_DATA)
      mq_http_call_cancel (e.call);
  };
  options.streamed = true;
  call (&a, "/stream", options);
  ASSERT_TRUE (until ([&] { return gone == 1; }));
  EXPECT_EQ (a.body, "one ");
  EXPECT_EQ (a.ends, 0);
}

TEST_F (Http, KnowsThatARefusedConnectionCarriedNothing)
{
  Answer a;
  std::string u = url ("/");
  mq_http_call_options options = {};

  mq_http_server_free (server);
  server = nullptr;
  options.url = span (u);
  options.method = MQ_SPAN ("POST");
  mq_http_client_start (client, &options, answer_sink, &a);
  ASSERT_TRUE (until ([&] { return a.ends == 1; }));
  EXPECT_EQ (a.result, MQ_HTTP_CONNECT);
  EXPECT_FALSE (a.maybe_sent);
  EXPECT_EQ (a.status, 0u);
}

TEST_F (Http, AnswersATooLargeBodyWith413)
{
  Answer a;
  std::string body (10 * 1024 * 1024, 'x');
  mq_http_call_options options = {};
  bool reported = false;

  on_request = [&] (mq_http_exchange *) { reported = true; };
  options.method = MQ_SPAN ("POST");
  options.body = span (body);
  call (&a, "/", options);
  ASSERT_TRUE (until ([&] { return a.ends == 1; }));
  EXPECT_EQ (a.status, 413u);
  EXPECT_NE (a.body.find ("body-too-large"), std::string::npos);
  EXPECT_FALSE (reported);
  EXPECT_EQ (gone, 0);
}

} // namespace
