/* Reports of engines that are cut at any byte, contradict themselves or are
   malformed.  None is a report: it neither shows that its engine answers, nor
   that it or an engine on its paths works.  */

#include "support/router_fleet.h"
#include "support/scripted_server.h"

#include <mq/internal/gateway.h>

using gateway::ScriptedServer;
using gateway::span;

namespace
{

const std::string sound
    = "{\"busy\":false,\"sequence\":2,\"waiting\":0,\"running\":0,"
      "\"kvUsed\":0,\"kvTotal\":1,\"pace\":1.5,\"layers\":{\"from\":0,"
      "\"target\":80},\"stalled\":[]}";

/* What mq_report_request told its sink.  */
struct Received
{
  bool ended = false;
  bool reported = false;
  bool left_out = false; /* The report lacks members that can't be read.  */
  mq_http_result result = MQ_HTTP_OK;
} received;

void
on_report (mq_gateway *, mq_upstream *, mq_http_result result,
           const mq_engine_report *report)
{
  received = { true, report != nullptr,
               report != nullptr && report->left_out != nullptr, result };
}

class CutReport : public gateway::RouterFleet
{
protected:
  ~CutReport () override { engine.close (); }

  void
  start ()
  {
    engine.serve = [this] (const std::string &) { return answer; };
    store.put ("servers", "eng", engine.entry ());
    configure (1);
    start_router ();
    upstream
        = mq_registry_find (&routers[0]->gateway->registry, MQ_SPAN ("eng"));
    ASSERT_NE (upstream, nullptr);
  }

  /* Request a report, to which the engine answers TEXT.  */
  Received
  ask (const std::string &text)
  {
    answer = text;
    received = {};
    upstream->proof = MQ_PROOF_SILENT;
    upstream->slowdown = 3;
    upstream->slowdown_until_us = UINT64_MAX;
    mq_report_request (routers[0]->gateway, upstream, on_report);
    EXPECT_TRUE (until ([] { return received.ended; }));
    return received;
  }

  void
  expect_none (const std::string &text, const std::string &what)
  {
    EXPECT_FALSE (ask (text).reported) << what;
    EXPECT_NE (upstream->proof, MQ_PROOF_ANSWERED) << what;
    EXPECT_EQ (upstream->slowdown, 3) << what;
  }

  ScriptedServer engine{ loop };
  std::string answer;
  mq_upstream *upstream = nullptr;
};

} // namespace

TEST_F (CutReport, WholeOneIsRead)
{
  start ();
  EXPECT_TRUE (ask (ScriptedServer::response ("200 OK", sound)).reported);
  EXPECT_EQ (upstream->proof, MQ_PROOF_ANSWERED);
  EXPECT_EQ (upstream->slowdown, 1.5);
}

TEST_F (CutReport, AtAnyByteIsNone)
{
  const std::string whole = ScriptedServer::response (
      "200 OK", sound, "Content-Type: application/json\r\n");

  start ();
  for (size_t n = 0; n < whole.size (); n++)
    expect_none (whole.substr (0, n), std::to_string (n));
}

/* The same where nothing but the JSON text tells of the cut.  */
TEST_F (CutReport, WithoutLengthAtAnyByteIsNone)
{
  const std::string whole = "HTTP/1.1 200 OK\r\n\r\n" + sound;

  start ();
  EXPECT_TRUE (ask (whole).reported);
  for (size_t n = 0; n < whole.size (); n++)
    expect_none (whole.substr (0, n), std::to_string (n));
}

TEST_F (CutReport, WithContradictoryLengthIsNone)
{
  const std::string size = std::to_string (sound.size ());

  start ();
  for (const std::string &more : std::vector<std::string>{
           "Content-Length: " + size + "\r\nContent-Length: 2\r\n",
           "Content-Length: 2\r\nContent-Length: " + size + "\r\n",
           "Content-Length: " + size + "x\r\n", "Content-Length: +1\r\n",
           "Content-Length: " + std::to_string (sound.size () + 1) + "\r\n",
           "Content-Length: " + std::to_string (sound.size () - 1) + "\r\n",
           "Content-Length: " + size + "\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked\r\n" })
    expect_none ("HTTP/1.1 200 OK\r\n" + more + "\r\n" + sound, more);
}

TEST_F (CutReport, OfOtherStatusIsNone)
{
  start ();
  for (const char *status : { "201 Created", "206 Partial Content", "404 None",
                              "503 Full", "2000 OK", "20 OK" })
    expect_none (ScriptedServer::response (status, sound), status);
}

/* JSON that is cut, or that contradicts itself, in a response that is whole.
 */
TEST_F (CutReport, InWholeResponseIsNone)
{
  std::vector<std::string> bad
      = { sound + "x",
          sound + sound,
          sound + "}",
          "[" + sound + "]",
          "{\"sequence\":3," + sound.substr (1),
          "{\"busy\":true," + sound.substr (1),
          "{\"pace\":1," + sound.substr (1),
          "{\"layers\":null," + sound.substr (1),
          "{\"busy\":nope,\"sequence\":2}",
          "{\"busy\":false,\"sequence\":2,}",
          "{\"busy\":false,\"sequence\":2,\"layers\":{\"from\":0,\"from\":40,"
          "\"target\":80}}",
          "{\"busy\":false,\"sequence\":2,\"layers\":{\"from\":0,"
          "\"target\":80,}}",
          "{\"busy\":false,\"sequence\":02}",
          "{\"busy\":false \"sequence\":2}" };

  start ();
  for (size_t n = 0; n < sound.size (); n++)
    bad.push_back (sound.substr (0, n));
  for (auto &b : bad)
    expect_none (ScriptedServer::response ("200 OK", b), b);
}

/* A member of the load that can't be read was taken for that of an engine that
   works, and for the statement that no engine is stalled.  */
TEST_F (CutReport, WithUnreadableLoadShowsNoHealth)
{
  start ();
  for (const char *load :
       { "\"pace\":\"fast\"", "\"pace\":nope", "\"pace\":-1", "\"stalled\":7",
         "\"stalled\":nope", "\"stalled\":[{}]",
         "\"stalled\":[{\"address\":3}]", "\"waiting\":nope" })
    {
      const std::string text
          = "{\"busy\":false,\"sequence\":2," + std::string (load) + "}";
      Received r = ask (ScriptedServer::response ("200 OK", text));

      EXPECT_TRUE (r.reported) << load;
      EXPECT_TRUE (r.left_out) << load;
      EXPECT_EQ (upstream->slowdown, 3) << load;
    }
}

/* The same through the head of a path: another engine of it that was found
   stalled counted as going on.  */
TEST_F (CutReport, WithUnreadableListRefutesNoStall)
{
  ScriptedServer second (loop);
  gateway::Answer stream;

  engine.serve = [this] (const std::string &request) {
    return request.find ("GET /report") == 0
               ? std::optional<std::string> (answer)
               : std::nullopt;
  };
  second.serve = [] (const std::string &) { return std::nullopt; };
  for (auto &e : { std::make_tuple ("eng-1", &engine, 0u),
                   std::make_tuple ("eng-2", &second, 40u) })
    store.put ("servers", std::get<0> (e),
               "{\"service\":\"model\",\"address\":\""
                   + std::get<1> (e)->address
                   + "\",\"zone\":\"one\",\"slots\":8,\"state\":\"ready\""
                   + gateway::entry_common
                   + gateway::engine_members ("half", std::get<2> (e),
                                              std::get<2> (e) + 40)
                   + "}");
  answer = ScriptedServer::response ("200 OK", sound);
  configure (1);
  start_router ();
  mq_gateway *g = routers[0]->gateway;
  mq_upstream *head = mq_registry_find (&g->registry, MQ_SPAN ("eng-1"));
  mq_upstream *other = mq_registry_find (&g->registry, MQ_SPAN ("eng-2"));
  ASSERT_NE (head, nullptr);
  ASSERT_NE (other, nullptr);
  start_request (stream, "POST", "/stream/1", gateway::key, "x",
                 routers[0]->base, "8000");
  ASSERT_TRUE (
      until ([&] { return engine.requests > 0 && g->forwards.length; }));
  for (const std::string &list : std::vector<std::string>{
           "7", "nope", "[{}]", "{\"address\":\"x:1\"}", "[]" })
    {
      answer = ScriptedServer::response (
          "200 OK",
          "{\"busy\":false,\"sequence\":2,\"stalled\":" + list + "}");
      until ([&] { return !head->stall_report_pending; });
      other->stalled_why = "stalled";
      head->reported_us = 0;
      head->proof = MQ_PROOF_SILENT;
      mq_stall_request_report (g, head);
      ASSERT_TRUE (head->stall_report_pending) << list;
      ASSERT_TRUE (until ([&] { return !head->stall_report_pending; }));
      ASSERT_EQ (head->proof, MQ_PROOF_ANSWERED) << list;
      EXPECT_EQ (other->stalled_why == nullptr, list == "[]") << list;
    }
  mq_http_client_free (client);
  client = mq_http_client_new (loop, MQ_SPAN (""));
  second.close ();
}
