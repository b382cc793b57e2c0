/* Responses of model engines to a stream's request (mq/engine_stream.h) that
   are cut at any byte, contradict themselves or are malformed, on connections
   that are closed in order afterwards.  None is a complete answer or a promise
   that nothing ran.  */

#include "support/deployment.h"
#include "support/raw_upstream.h"

#include <mq/engine_stream.h>

using deployment::quoted;
using raw_upstream::chunk;

namespace
{

std::string
line (const std::string &members)
{
  return quoted ("{'request':'r-1','attempt':2,") + members + "}\n";
}

std::string
token (unsigned position)
{
  return line (quoted ("'p':") + std::to_string (position) + quoted (",'t':'t")
               + std::to_string (position) + quoted ("','s':[[0,4,'v1']]"));
}

const std::string done = line (quoted ("'end':'done'"));
const std::string tokens = token (0) + token (1);
const std::string chunked_head
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";
const std::string complete = "open t0 t1 end:0";

std::string
with_length (const std::string &status, const std::string &body)
{
  return "HTTP/1.1 " + status + "\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

/* One stream from an engine that writes a given response.  */
class CutEngineStream : public testing::Test
{
protected:
  void
  SetUp () override
  {
    mq_str *name = mq_str_new (MQ_SPAN ("e0"));
    mq_str *url = mq_str_new (mq_span_from (engine.url ().c_str ()));

    mq_plan_init (&plan);
    plan.layers = 4;
    plan.model = mq_str_new (MQ_SPAN ("m"));
    plan.version = mq_str_new (MQ_SPAN ("v1"));
    mq_plan_add (&plan, name, url, 0, 4);
    mq_str_unref (name);
    mq_str_unref (url);
  }

  void
  TearDown () override
  {
    mq_http_client_free (client);
    mq_plan_finish (&plan);
    ev_loop_destroy (loop);
  }

  /* Returns the events of a stream whose response is TEXT.  */
  std::string
  ask (const std::string &text)
  {
    mq_engine_stream_options o = {};

    {
      std::lock_guard<std::mutex> lock (mutex);

      made = text;
    }
    events.clear ();
    failure = {};
    o.request = MQ_SPAN ("r-1");
    o.attempt = 2;
    o.router = MQ_SPAN ("1");
    o.plan = &plan;
    o.prompt = MQ_SPAN ("p");
    o.max_tokens = 9;
    o.deadline_us = 30 * 1000000;
    mq_engine_stream_new (client, &o, on_stream, this, nullptr);
    ev_run (loop, 0);
    return events;
  }

  /* Expect that TEXT is neither a complete answer nor a promise.  */
  void
  expect_failed (const std::string &text, const std::string &what)
  {
    ask (text);
    EXPECT_NE (events.find ("failed"), std::string::npos)
        << what << ": " << events;
    EXPECT_TRUE (failure.maybe_sent) << what;
    EXPECT_FALSE (failure.said_not_run) << what;
    EXPECT_FALSE (failure.timed_out) << what;
  }

  /* Expect the same of each beginning of TEXT that is shorter by at least
     SPARE bytes.  */
  void
  expect_cuts_failed (const std::string &text, size_t spare = 1)
  {
    for (size_t n = 0; n + spare <= text.size (); n++)
      expect_failed (text.substr (0, n), "cut at " + std::to_string (n));
  }

  mq_send_failure failure = {};
  std::string events;

private:
  static void
  on_stream (void *context, const mq_engine_stream_event *event)
  {
    CutEngineStream *t = static_cast<CutEngineStream *> (context);

    switch (event->kind)
      {
      case MQ_ENGINE_STREAM_OPEN:
        t->events += "open ";
        return;
      case MQ_ENGINE_STREAM_TOKEN:
        t->events.append (event->u.token.text.data, event->u.token.text.size);
        t->events += " ";
        return;
      case MQ_ENGINE_STREAM_END:
        t->events += "end:" + std::to_string (event->u.end.end);
        break;
      case MQ_ENGINE_STREAM_FAILED:
        t->events += "failed";
        t->failure = event->u.failure;
        break;
      }
    ev_break (t->loop, EVBREAK_ALL);
  }

  struct ev_loop *loop = ev_loop_new (0);
  mq_http_client *client = mq_http_client_new (loop, { nullptr, 0 });
  mq_plan plan;
  std::mutex mutex;
  std::string made;
  raw_upstream::Upstream engine{ [this] (int fd, const std::string &) {
    std::string text;
    {
      std::lock_guard<std::mutex> lock (mutex);

      text = made;
    }
    raw_upstream::send_all (fd, text);
  } };
};

} // namespace

TEST_F (CutEngineStream, WholeOneIsReported)
{
  const std::string body = tokens + done;

  EXPECT_EQ (ask (chunked_head + chunk (body) + last_chunk), complete);
  EXPECT_EQ (ask (with_length ("200 OK", body)), complete);
  EXPECT_EQ (ask ("HTTP/1.1 200 OK\r\n\r\n" + body), complete);
  EXPECT_EQ (ask (chunked_head + chunk (tokens) + chunk ("\n")
                  + chunk (done + "\n") + last_chunk),
             complete);
  for (const char *status : { "409 No", "429 Full", "503 Full" })
    {
      EXPECT_EQ (
          ask (with_length (status, quoted ("{'ran':false,'reason':'r'}"))),
          "failed");
      EXPECT_TRUE (failure.said_not_run) << status;
    }
}

/* The engine's last line said "done", and its response was cut behind it.  */
TEST_F (CutEngineStream, WithChunksIsNotComplete)
{
  expect_cuts_failed (chunked_head + chunk (tokens) + chunk (done)
                      + last_chunk);
}

TEST_F (CutEngineStream, WithLengthIsNotComplete)
{
  const std::string body = tokens + done;

  expect_cuts_failed (with_length ("200 OK", body));
  expect_failed ("HTTP/1.1 200 OK\r\nContent-Length: "
                     + std::to_string (body.size () + 1) + "\r\n\r\n" + body,
                 "length is larger");
  expect_failed ("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\nContent-Length: "
                     + std::to_string (body.size ()) + "\r\n\r\n" + body,
                 "two lengths");
}

TEST_F (CutEngineStream, WithoutLengthIsNotComplete)
{
  expect_cuts_failed ("HTTP/1.1 200 OK\r\n\r\n" + tokens + done);
}

/* An error's statement {"ran":false} counted whatever the result of its call
   was, and with bytes behind it.  */
TEST_F (CutEngineStream, OfRejectionIsNoPromise)
{
  const std::string body = quoted ("{'ran':false,'reason':'full'}");

  expect_cuts_failed (with_length ("503 Full", body));
  expect_cuts_failed ("HTTP/1.1 429 Full\r\n\r\n" + body);
  expect_cuts_failed ("HTTP/1.1 409 No\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + chunk (body) + last_chunk);
  expect_failed ("HTTP/1.1 503 Full\r\nContent-Length: 200\r\n\r\n" + body,
                 "length is larger");
  expect_failed ("HTTP/1.1 503 Full\r\nContent-Length: 200\r\n"
                 "Content-Length: "
                     + std::to_string (body.size ()) + "\r\n\r\n" + body,
                 "two lengths");
}

TEST_F (CutEngineStream, WithMalformedRejectionIsNoPromise)
{
  for (const std::string &body :
       { quoted ("{'ran':false}x"), quoted ("{'ran':false}{'ran':true}"),
         quoted ("{'ran':true,'ran':false}"),
         quoted ("{'ran':true,'r\\u0061n':false}"), quoted ("{'ran':false,}"),
         std::string ("{'ran':false}"), quoted ("{'ran':'false'}"),
         quoted ("{'ran':0}"), quoted ("[{'ran':false}]"),
         quoted ("{'ran':null}"), std::string ("{\"ran\":false}\0x", 15),
         std::string () })
    expect_failed (with_length ("503 Full", body), body);
}

/* The same statement beside a status that contradicts it.  */
TEST_F (CutEngineStream, ThatDeniesItsRunIsNoPromise)
{
  const std::string body = quoted ("{'ran':false}");

  for (const char *status : { "200 OK", "202 Later", "206 Part", "302 There",
                              "500 Error", "502 Gateway", "504 Late" })
    {
      expect_failed (with_length (status, body), status);
      expect_failed (with_length (status, body + "\n"), status);
    }
  expect_failed (with_length ("200 OK", tokens + body + "\n"), "at the end");
}

TEST_F (CutEngineStream, WithLinesAfterEndIsNotComplete)
{
  for (const std::string &more :
       { token (2), token (1), done, line (quoted ("'end':'evicted'")),
         std::string ("x\n"), std::string ("x"), std::string ("{") })
    {
      expect_failed (with_length ("200 OK", tokens + done + more), more);
      expect_failed (chunked_head + chunk (tokens) + chunk (done)
                         + chunk (more) + last_chunk,
                     more);
    }
}

TEST_F (CutEngineStream, WithLineThatContradictsItselfIsNotComplete)
{
  for (const std::string &last :
       { line (quoted ("'end':'done','end':'evicted'")),
         line (quoted ("'end':'evicted','end':'done'")),
         line (quoted ("'attempt':1,'end':'done'")),
         line (quoted ("'request':'r-2','end':'done'")),
         line (quoted ("'end':'done','p':2,'t':'t2','s':[[0,4,'v1']]")),
         line (quoted ("'end':'done','t':'t2'")),
         line (quoted ("'end':1,'p':2,'t':'t2','s':[[0,4,'v1']]")),
         line (quoted ("'end':null")), line (quoted ("'end':'DONE'")),
         line (quoted ("'p':2,'p':3,'t':'t2','s':[[0,4,'v1']]")) + done,
         line (quoted ("'p':2,'t':'t2','s':[[0,4,'v1']],'s':[[0,4,'v1']]"))
             + done,
         done.substr (0, done.size () - 1) + "x\n",
         done.substr (0, done.size () - 1) + std::string ("\0x\n", 3),
         std::string ("null\n") + done })
    expect_failed (with_length ("200 OK", tokens + last), last);
}
