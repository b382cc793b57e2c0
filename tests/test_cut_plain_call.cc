/* Responses of plain services in native mode (mq/plain_call.h) that are cut at
   any byte, contradict themselves or are malformed, on connections that are
   closed in order afterwards.  None is a reply or a promise that the call did
   not run.  */

#include "support/made_response.h"

#include <mq/plain_call.h>

using raw_upstream::chunk;
using raw_upstream::with_length;

namespace
{

const std::string not_run = "Marjoramquay-Ran: no\r\n";

class CutPlainCall : public testing::Test
{
protected:
  void
  TearDown () override
  {
    mq_http_client_free (client);
    ev_loop_destroy (loop);
  }

  void
  ask (const std::string &made)
  {
    std::string url = instance.url ();
    mq_plain_call_options o = {};

    instance.set (made);
    status = 0;
    body.clear ();
    failure = {};
    o.method = MQ_SPAN ("POST");
    o.instance = mq_span_from (url.c_str ());
    o.path = MQ_SPAN ("/book");
    o.request = MQ_SPAN ("r-1");
    o.body = MQ_SPAN ("b");
    o.deadline_us = 30 * 1000000;
    mq_plain_call_new (client, &o, on_call, this);
    ev_run (loop, 0);
  }

  void
  expect_failed (const std::string &made, const std::string &what)
  {
    ask (made);
    EXPECT_EQ (status, 0u) << what;
    EXPECT_TRUE (failure.maybe_sent) << what;
    EXPECT_FALSE (failure.said_not_run) << what;
    EXPECT_FALSE (failure.timed_out) << what;
  }

  void
  expect_cuts_failed (const std::string &made)
  {
    for (size_t n = 0; n < made.size (); n++)
      expect_failed (made.substr (0, n), "cut at " + std::to_string (n));
  }

  unsigned status = 0; /* Of the reply; 0: the call failed.  */
  std::string body;
  mq_send_failure failure = {};

private:
  static void
  on_call (void *context, const mq_plain_call_event *event)
  {
    CutPlainCall *t = static_cast<CutPlainCall *> (context);

    switch (event->kind)
      {
      case MQ_PLAIN_CALL_REPLY:
        t->status = event->u.reply.status;
        t->body.assign (event->u.reply.body.data, event->u.reply.body.size);
        break;
      case MQ_PLAIN_CALL_FAILED:
        t->failure = event->u.failure;
        break;
      }
    ev_break (t->loop, EVBREAK_ALL);
  }

  struct ev_loop *loop = ev_loop_new (0);
  mq_http_client *client = mq_http_client_new (loop, { nullptr, 0 });
  raw_upstream::MadeResponse instance;
};

} // namespace

TEST_F (CutPlainCall, WholeOneIsReported)
{
  ask (with_length ("200 OK", "Marjoramquay-Ran: yes\r\n", "whole"));
  EXPECT_EQ (status, 200u);
  EXPECT_EQ (body, "whole");
  ask (with_length ("500 Error", "", "whole"));
  EXPECT_EQ (status, 500u);
  for (const char *rejected : { "400 No", "429 Full", "503 Full" })
    {
      ask (with_length (rejected, not_run, "later"));
      EXPECT_EQ (status, 0u) << rejected;
      EXPECT_TRUE (failure.said_not_run) << rejected;
    }
}

TEST_F (CutPlainCall, IsNoReply)
{
  const std::string type = "Content-Type: text/plain\r\n";

  expect_cuts_failed (with_length ("200 OK", type, "whole"));
  expect_cuts_failed ("HTTP/1.1 200 OK\r\n" + type
                      + "Transfer-Encoding: chunked\r\n\r\n" + chunk ("whole")
                      + "0\r\n\r\n");
}

TEST_F (CutPlainCall, OfRejectionIsNoPromise)
{
  expect_cuts_failed (with_length ("503 Full", not_run, "later"));
  expect_cuts_failed ("HTTP/1.1 429 Full\r\n" + not_run
                      + "Transfer-Encoding: chunked\r\n\r\n" + chunk ("later")
                      + "0\r\n\r\n");
  expect_failed ("HTTP/1.1 503 Full\r\n" + not_run
                     + "Content-Length: 5\r\nContent-Length: 9\r\n\r\nlater",
                 "two lengths");
}

/* A success with "Marjoramquay-Ran: no" was taken for the promise that the
   call did not run, and the call was sent again.  */
TEST_F (CutPlainCall, ThatDeniesItsRunIsNoPromise)
{
  for (const char *wrong : { "200 OK", "201 Made", "302 There", "500 Error",
                             "502 Gateway", "504 Late" })
    expect_failed (with_length (wrong, not_run, "whole"), wrong);
}

/* Of two values of the header the first one counted.  */
TEST_F (CutPlainCall, WithTwoStatementsIsNoPromise)
{
  expect_failed (
      with_length ("503 Full", not_run + "Marjoramquay-Ran: yes\r\n", "x"),
      "no, yes");
  expect_failed (
      with_length ("503 Full", "Marjoramquay-Ran: yes\r\n" + not_run, "x"),
      "yes, no");
}
