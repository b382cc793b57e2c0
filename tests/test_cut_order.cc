/* Responses of engines to orders that are cut at any byte, contradict
   themselves or are malformed.  None says that the order has begun, that its
   layers are held or that it was refused: the engine's count of orders is then
   unknown.  */

#include "support/gateway_fixture.h"
#include "support/scripted_server.h"

#include <mq/internal/gateway.h>

using gateway::ScriptedServer;
using gateway::span;

namespace
{

enum Outcome
{
  NONE, /* The order was not answered.  */
  BEGUN,
  HELD,
  REFUSED
};

class CutOrder : public gateway::Fixture
{
protected:
  ~CutOrder () override { engine.close (); }

  /* Start a router, which leads, before one empty engine.  */
  void
  start_leader ()
  {
    engine.serve = [this] (const std::string &request) {
      if (request.find ("GET /report") == 0)
        return report ();
      orders++;
      return std::optional<std::string> (answer);
    };
    store.put ("servers", "eng",
               "{\"service\":\"model\",\"address\":\"" + engine.address
                   + "\",\"zone\":\"one\",\"slots\":8,\"state\":\"ready\""
                   + gateway::entry_common
                   + gateway::engine_members ("big", 0, 0) + "}");
    configure (1);
    start ();
    ASSERT_TRUE (until ([&] { return orders > 0; }));
    upstream = mq_registry_find (&router->registry, MQ_SPAN ("eng"));
    ASSERT_NE (upstream, nullptr);
    for (int i = 0; i < 20; i++)
      {
        wait (0.01);
        idle_refs = std::min (idle_refs, upstream->refs);
      }
  }

  /* Returns what the router learns from TEXT, the response to an order.  */
  Outcome
  order (const std::string &text)
  {
    unsigned before;

    EXPECT_TRUE (until ([&] { return order_ended (); }));
    answer = text;
    before = orders;
    /* As if nothing was ordered yet.  */
    upstream->orders = 0;
    upstream->orders_unknown = false;
    upstream->orders_unknown_since_us = 0;
    upstream->ordered_us = 0;
    upstream->no_order_until_us = 0;
    upstream->proof = MQ_PROOF_ANSWERED;
    router->orders_due = true;
    EXPECT_TRUE (until ([&] { return orders > before; }));
    EXPECT_TRUE (until ([&] { return order_ended (); }));
    return upstream->orders == 1       ? BEGUN
           : !upstream->orders_unknown ? HELD
           : upstream->ordered_us == 0 ? REFUSED
                                       : NONE;
  }

  /* Returns true if no call to the engine waits for its response: each holds a
     reference.  */
  bool
  order_ended () const
  {
    return upstream->refs == idle_refs;
  }

  static std::optional<std::string>
  report ()
  {
    return ScriptedServer::response (
        "200 OK", "{\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,"
                  "\"kvUsed\":0,\"kvTotal\":1,\"layers\":null}");
  }

  ScriptedServer engine{ loop };
  std::string answer = "HTTP/1.1 503 Not yet\r\nContent-Length: 0\r\n\r\n";
  unsigned orders = 0;
  unsigned idle_refs = UINT_MAX; /* Of UPSTREAM while there is no call.  */
  mq_upstream *upstream = nullptr;
};

} // namespace

TEST_F (CutOrder, WholeResponseIsRead)
{
  start_leader ();
  EXPECT_EQ (order ("HTTP/1.1 202 Begun\r\nContent-Length: 0\r\n\r\n"), BEGUN);
  EXPECT_EQ (order ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"), HELD);
  for (const char *status : { "409 Other", "400 None", "412 Fence",
                              "421 Elsewhere", "429 Busy", "503 Full" })
    EXPECT_EQ (order (ScriptedServer::response (status, "")), REFUSED)
        << status;
}

TEST_F (CutOrder, AtAnyByteIsNoAnswer)
{
  start_leader ();
  for (const char *status : { "202 Begun", "200 OK", "409 Other" })
    {
      const std::string whole = ScriptedServer::response (status, "{}");

      for (size_t n = 0; n < whole.size (); n++)
        EXPECT_EQ (order (whole.substr (0, n)), NONE) << status << " " << n;
    }
}

TEST_F (CutOrder, ThatContradictsItselfIsNoAnswer)
{
  start_leader ();
  for (const char *status : { "202 Begun", "200 OK", "409 Other" })
    for (const char *more :
         { "Content-Length: 0\r\nContent-Length: 2\r\n\r\n{}",
           "Content-Length: 2\r\nContent-Length: 0\r\n\r\n{}",
           "Content-Length: 2x\r\n\r\n{}", "Content-Length: -1\r\n\r\n{}",
           "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
           "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
           "Transfer-Encoding: chunked\r\n\r\n2x\r\n{}\r\n0\r\n\r\n" })
      EXPECT_EQ (order ("HTTP/1.1 " + std::string (status) + "\r\n" + more),
                 NONE)
          << status << " " << more;
  for (const char *made :
       { "HTTP/1.1 2020 Begun\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 20 Begun\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 101 Other\r\n\r\n", "202\r\n\r\n", "{}" })
    EXPECT_EQ (order (made), NONE) << made;
}

/* A status that says neither that the order has begun nor that it was refused
   leaves that open: guards against taking an error in the course of an order
   for a refusal.  */
TEST_F (CutOrder, OfOtherStatusIsNoAnswer)
{
  start_leader ();
  for (const char *status :
       { "201 Created", "206 Partial Content", "302 Elsewhere", "500 Error",
         "502 Broken", "504 Late" })
    EXPECT_EQ (order (ScriptedServer::response (status, "{}")), NONE)
        << status;
}
