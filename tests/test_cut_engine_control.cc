/* Engines' reports and their replies to orders (mq/engine_control.h) that are
   cut at any byte, contradict themselves or are malformed, on connections that
   are closed in order afterwards.  None says anything.  */

#include "support/deployment.h"
#include "support/made_response.h"

#include <mq/engine_control.h>

using deployment::quoted;
using raw_upstream::with_length;

namespace
{

const std::string load
    = quoted ("{'engine':'e','model':'m','version':'v1','first':0,'end':12,"
              "'queue':1,'batch':2,'slots':32,'step_us':1000,'kv_used':3,"
              "'kv_limit':9,'age_ms':4,'incarnation':1}");
const std::string holds
    = quoted ("{'model':'m','version':'v1','first':0,'end':12,"
              "'loading':false,'fencing':5}");
const std::string cache
    = quoted ("{'events':[{'n':1,'prefix':'00ff','kind':'stored'},"
              "{'n':2,'prefix':'00ff','kind':'evicted'}],'next':2}");
const std::string fenced = quoted ("{'fencing':8}");

class CutEngineControl : public testing::Test
{
protected:
  void
  TearDown () override
  {
    mq_http_client_free (client);
    ev_loop_destroy (loop);
  }

  /* Make a call whose response is MADE, and try all decoders on it.  */
  void
  ask (const std::string &made)
  {
    std::string url = engine.url ();
    mq_http_call_options o = {};

    engine.set (made);
    o.url = mq_span_from (url.c_str ());
    o.timeout_ms = 30000;
    mq_http_client_start (client, &o, on_http, this);
    ev_run (loop, 0);
  }

  void
  expect_nothing (const std::string &made, const std::string &what)
  {
    ask (made);
    EXPECT_FALSE (is_load) << what;
    EXPECT_FALSE (is_cache) << what;
    EXPECT_FALSE (is_holds) << what;
    EXPECT_EQ (events, 0u) << what;
    EXPECT_EQ (order, MQ_ORDER_NO_REPLY) << what;
  }

  void
  expect_cuts_nothing (const std::string &made)
  {
    for (size_t n = 0; n < made.size (); n++)
      expect_nothing (made.substr (0, n), "cut at " + std::to_string (n));
  }

  bool is_load = false;
  bool is_cache = false;
  bool is_holds = false;
  unsigned events = 0;
  mq_order_reply order = MQ_ORDER_NO_REPLY; /* To an order with token 7.  */

private:
  static void
  on_cache (void *context, uint64_t prefix, bool)
  {
    static_cast<CutEngineControl *> (context)->events++;
    EXPECT_EQ (prefix, 0xffu);
  }

  static void
  on_http (void *context, const mq_http_client_event *event)
  {
    CutEngineControl *t = static_cast<CutEngineControl *> (context);
    mq_engine_load l = {};
    mq_order_holds h = {};
    uint64_t next = 0;

    if (event->kind != MQ_HTTP_CLIENT_END)
      return;
    json_object *message = mq_engine_control_read (event);
    t->events = 0;
    t->is_load = mq_engine_control_load (message, &l);
    t->is_holds = mq_engine_control_holds (message, &h);
    t->is_cache = mq_engine_control_cache (message, &next, on_cache, t);
    t->order = mq_engine_control_order (event, 7);
    json_object_put (message);
    ev_break (t->loop, EVBREAK_ALL);
  }

  struct ev_loop *loop = ev_loop_new (0);
  mq_http_client *client = mq_http_client_new (loop, { nullptr, 0 });
  raw_upstream::MadeResponse engine;
};

/* Returns TEXT with FROM replaced by TO.  */
std::string
with (std::string text, const std::string &from, const std::string &to)
{
  return text.replace (text.find (quoted (from)), from.size (), quoted (to));
}

} // namespace

TEST_F (CutEngineControl, WholeOneIsRead)
{
  ask (with_length ("200 OK", "", load));
  EXPECT_TRUE (is_load);
  ask (with_length ("200 OK", "", holds));
  EXPECT_TRUE (is_holds);
  ask (with_length ("200 OK", "", cache));
  EXPECT_TRUE (is_cache);
  EXPECT_EQ (events, 2u);
  ask (with_length ("202 Accepted", "", ""));
  EXPECT_EQ (order, MQ_ORDER_ACCEPTED);
  ask (with_length ("409 Conflict", "", fenced));
  EXPECT_EQ (order, MQ_ORDER_FENCED);
}

TEST_F (CutEngineControl, SaysNothing)
{
  for (const std::string &body : { load, holds, cache })
    {
      expect_cuts_nothing (with_length ("200 OK", "", body));
      expect_cuts_nothing ("HTTP/1.1 200 OK\r\n\r\n" + body);
    }
  expect_cuts_nothing (with_length ("202 Accepted", "", "ok"));
  expect_cuts_nothing (with_length ("409 Conflict", "", fenced));
  expect_cuts_nothing ("HTTP/1.1 409 Conflict\r\n\r\n" + fenced);
}

/* A report with a key twice, or bytes behind it, counted.  */
TEST_F (CutEngineControl, ThatContradictsItselfSaysNothing)
{
  for (const std::string &body : { load, holds, cache })
    for (const std::string &bad :
         { body + "x", body + body, "[" + body + "]",
           body.substr (0, body.size () - 1) + ",\"next\":1,\"first\":1,"
               + "\"next\":1,\"first\":1}" })
      expect_nothing (with_length ("200 OK", "", bad), bad);
}

/* What a report lacked counted as 0: an idle engine, or one that is not
   loading.  */
TEST_F (CutEngineControl, ReportThatLacksMemberSaysNothing)
{
  for (const char *member : { "'version':'v1',", "'first':0,", "'end':12,",
                              "'queue':1,", "'batch':2,", "'step_us':1000,",
                              "'kv_used':3,", "'kv_limit':9,", "'age_ms':4," })
    expect_nothing (with_length ("200 OK", "", with (load, member, "")),
                    member);
  for (const char *member : { "'model':'m',", "'version':'v1',", "'first':0,",
                              "'end':12,", "'loading':false," })
    expect_nothing (with_length ("200 OK", "", with (holds, member, "")),
                    member);
}

TEST_F (CutEngineControl, ReportOfWrongTypesSaysNothing)
{
  for (const char *wrong : { "'queue':-1", "'queue':'1'", "'queue':1.5",
                             "'queue':4294967296", "'queue':null" })
    expect_nothing (
        with_length ("200 OK", "", with (load, "'queue':1", wrong)), wrong);
  expect_nothing (
      with_length ("200 OK", "", with (load, "'first':0", "'first':13")),
      "range");
  expect_nothing (
      with_length ("200 OK", "",
                   with (load, "'age_ms':4", "'age_ms':18446744073709551615")),
      "age");
  expect_nothing (
      with_length ("200 OK", "",
                   with (holds, "'loading':false", "'loading':'false'")),
      "loading");
  for (const char *wrong : { "'prefix':'zz'", "'prefix':''", "'prefix':255",
                             "'prefix':'00000000000000ff0'", "'n':1" })
    expect_nothing (
        with_length ("200 OK", "", with (cache, "'prefix':'00ff'", wrong)),
        wrong);
  expect_nothing (
      with_length ("200 OK", "", with (cache, "'stored'", "'other'")), "kind");
  expect_nothing (with_length ("200 OK", "", with (cache, ",'next':2", "")),
                  "next");
}

/* Any 409 counted as a higher fencing token, and made the router give up its
   lease.  */
TEST_F (CutEngineControl, ConflictWithoutHigherTokenSaysNothing)
{
  for (const char *body :
       { "", "{}", "{'fencing':7}", "{'fencing':6}", "{'fencing':'8'}",
         "{'fencing':8}x", "{'fencing':7,'fencing':8}", "{'fencing':-8}" })
    expect_nothing (with_length ("409 Conflict", "", quoted (body)), body);
}

TEST_F (CutEngineControl, OtherStatusSaysNothing)
{
  for (const char *status : { "201 Made", "204 None", "206 Part", "302 There",
                              "500 Error", "503 Full" })
    for (const std::string &body : { load, holds, cache, fenced })
      expect_nothing ("HTTP/1.1 " + std::string (status) + "\r\n\r\n" + body,
                      status);
}
