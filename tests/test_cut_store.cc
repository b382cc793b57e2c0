/* Replies of the store that are cut at any byte, contradict themselves or are
   malformed.  None is a list, a watch that returned or a write that is done;
   none withdraws an upstream or a route, or moves the position of a watch.  */

#include "support/router_fleet.h"
#include "support/scripted_server.h"

#include <mq/internal/gateway.h>

using gateway::ScriptedServer;
using gateway::span;

namespace
{

struct Reply
{
  bool ended = false;
  mq_platform_result result = MQ_PLATFORM_OK;
  size_t n_entries = 0;
  bool has_more = false;
};

std::string
object (const std::string &name, unsigned revision,
        const std::string &spec = "{}")
{
  return "{\"metadata\":{\"name\":\"" + name
         + "\",\"revision\":" + std::to_string (revision)
         + ",\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
}

std::string
event (const std::string &deleted, const std::string &object)
{
  return "{\"deleted\":" + deleted + ",\"object\":" + object + "}";
}

std::string
list (const std::string &items, const std::string &more = "false")
{
  return "{\"items\":[" + items + "],\"hasMore\":" + more + ",\"at\":20}";
}

std::string
events (const std::string &elements, unsigned at = 20)
{
  return "{\"events\":[" + elements + "],\"at\":" + std::to_string (at) + "}";
}

/* Calls of the store by themselves.  */
class CutStoreReply : public ::testing::Test
{
protected:
  CutStoreReply ()
  {
    client = mq_http_client_new (loop, MQ_SPAN (""));
    server.serve = [this] (const std::string &) { return answer; };
    std::string url = "http://" + server.address;
    store = mq_platform_new_dialect (client, span (url), 500, &mq_users_store);
  }

  ~CutStoreReply () override
  {
    mq_platform_free (store);
    mq_http_client_free (client);
    server.close ();
    ev_loop_destroy (loop);
  }

  /* Make a call of kind OP, to which the store answers TEXT.  */
  Reply
  call (mq_platform_op op, const std::string &text)
  {
    Reply r;
    mq_platform_request request = {};

    answer = text;
    request.op = op;
    request.kind = MQ_SPAN ("servers");
    request.name = MQ_SPAN ("n");
    request.version = 7;
    request.value = MQ_SPAN ("{}");
    mq_platform_request_start (store, &request, on_reply, &r);
    for (ev_tstamp limit = ev_time () + 5; !r.ended && ev_time () < limit;)
      ev_run (loop, EVRUN_ONCE);
    EXPECT_TRUE (r.ended);
    return r;
  }

  void
  expect_unreadable (mq_platform_op op, const std::string &body)
  {
    EXPECT_EQ (call (op, ScriptedServer::response ("200 OK", body)).result,
               MQ_PLATFORM_UNREADABLE)
        << body;
  }

  static void
  on_reply (void *context, const mq_platform_reply *reply)
  {
    Reply *r = static_cast<Reply *> (context);

    *r = { true, reply->result, reply->n_entries, reply->has_more };
  }

  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mq_http_client *client;
  mq_platform *store;
  ScriptedServer server{ loop };
  std::string answer;
};

const std::string one_item = list (object ("a", 8) + "," + object ("b", 9));
const std::string one_event = events (event ("true", object ("a", 8)) + ","
                                      + event ("false", object ("b", 9)));

bool
is_read (mq_platform_op op)
{
  return op == MQ_PLATFORM_SCAN || op == MQ_PLATFORM_FOLLOW;
}

/* A router whose store answers as the test says.  */
class CutStore : public gateway::RouterFleet
{
protected:
  ~CutStore () override
  {
    mq_gateway_free (router);
    router = nullptr;
    server.close ();
  }

  void
  start ()
  {
    unsigned base = free_ports ();

    for (const char *id : { "app-a", "app-b" })
      upstreams.push_back (
          std::make_unique<gateway::Upstream> (loop, id, "app", "one"));
    server.serve
        = [this] (const std::string &request) { return reply (request); };
    router = run_router (
        &settings, settings_text (base, "vm-1", "http://" + server.address));
    ASSERT_NE (router, nullptr);
    ASSERT_TRUE (until ([&] {
      return router->routing != nullptr && has_both () && watches > 0;
    }));
  }

  static std::string
  configuration (unsigned version)
  {
    return "{\"version\":" + std::to_string (version) + ",\"routes\":["
           + route ("/safe/", "safe", "app", 2)
           + "],\"services\":[{\"name\":\"app\"}],\"limits\":{}}";
  }

  /* The items of a whole scan of the upstreams.  */
  std::string
  items () const
  {
    return object ("app-a", 8, upstreams[0]->entry ()) + ","
           + object ("app-b", 9, upstreams[1]->entry ());
  }

  std::optional<std::string>
  reply (const std::string &request)
  {
    bool watch = request.find ("watch=") < request.find ('\r');
    const char *kinds[] = { "servers", "config", "members" };
    std::string kind;

    for (const char *k : kinds)
      if (request.find (k) < request.find ('\r'))
        kind = k;
    if (request.find ("POST ") == 0)
      return written;
    if (watch && kind == "servers")
      {
        watches++;
        asked = request.substr (0, request.find ('&'));
      }
    const std::string place = (watch ? "watch " : "scan ") + kind;
    if (!bad.empty () && place == bad_place)
      {
        std::string text = bad;

        bad.clear ();
        return text;
      }
    return ScriptedServer::response (
        "200 OK", watch               ? events ("")
                  : kind == "servers" ? list (items ())
                  : kind == "config"
                      ? list (object ("main", 8, configuration (1)))
                      : list (""));
  }

  /* Have the next call to PLACE, "scan KIND" or "watch KIND", answered with
     TEXT, and wait until the router has read that.  */
  void
  answer (const std::string &place, const std::string &text)
  {
    mq_feed *feed = place.find ("servers") != std::string::npos
                        ? &router->upstream_feed
                        : &router->routing_feed;

    bad_place = place;
    bad = text;
    if (place.find ("scan") == 0)
      mq_feed_refresh (feed);
    feed->last_reply_us = 0;
    ASSERT_TRUE (until ([&] { return bad.empty (); })) << place;
    const mq_platform_call *call = feed->call;
    ASSERT_TRUE (until ([&] { return feed->call != call; })) << text;
  }

  bool
  has_both () const
  {
    const mq_registry *r = &router->registry;
    const mq_upstream *a = mq_registry_find (r, MQ_SPAN ("app-a"));
    const mq_upstream *b = mq_registry_find (r, MQ_SPAN ("app-b"));

    return a != nullptr && b != nullptr && !a->facts.draining
           && !b->facts.draining;
  }

  /* Expect that TEXT, which answers a call to PLACE, withdraws nothing, and
     that the next watch is from the same revision.  */
  void
  expect_unchanged (const std::string &place, const std::string &text)
  {
    unsigned n;

    answer (place, text);
    EXPECT_TRUE (has_both ()) << text;
    EXPECT_EQ (router->routing->version, 1u) << text;
    EXPECT_EQ (router->routing->routes->len, 1u) << text;
    EXPECT_EQ (router->upstream_feed.revision, 20u) << text;
    EXPECT_EQ (router->routing_feed.revision, 20u) << text;
    n = watches;
    router->upstream_feed.failures = 0;
    router->upstream_feed.unreadable_replies = 0;
    router->routing_feed.failures = 0;
    router->routing_feed.unreadable_replies = 0;
    ASSERT_TRUE (until ([&] { return watches > n; })) << text;
    EXPECT_NE (asked.find ("watch=20"), std::string::npos) << asked;
    EXPECT_TRUE (has_both ()) << text;
  }

  ScriptedServer server{ loop };
  unsigned watches = 0; /* Of the upstreams.  */
  std::string asked;    /* The last of them.  */
  std::string bad, bad_place;
  std::string written = "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n";
};

} // namespace

TEST_F (CutStoreReply, WholeOneIsRead)
{
  Reply r
      = call (MQ_PLATFORM_SCAN, ScriptedServer::response ("200 OK", one_item));

  EXPECT_EQ (r.result, MQ_PLATFORM_OK);
  EXPECT_EQ (r.n_entries, 2u);
  r = call (MQ_PLATFORM_SCAN, ScriptedServer::response (
                                  "200 OK", list (object ("a", 8), "true")));
  EXPECT_EQ (r.result, MQ_PLATFORM_OK);
  EXPECT_TRUE (r.has_more);
  r = call (MQ_PLATFORM_FOLLOW,
            ScriptedServer::response ("200 OK", one_event + "\r\n"));
  EXPECT_EQ (r.result, MQ_PLATFORM_OK);
  EXPECT_EQ (r.n_entries, 2u);
  for (mq_platform_op op :
       { MQ_PLATFORM_CREATE, MQ_PLATFORM_PUT, MQ_PLATFORM_DELETE })
    {
      for (const char *status : { "200 OK", "201 Created" })
        EXPECT_EQ (
            call (op, ScriptedServer::response (status, object ("n", 9)))
                .result,
            MQ_PLATFORM_OK);
      EXPECT_EQ (
          call (op, ScriptedServer::response ("409 Conflict", object ("n", 9)))
              .result,
          MQ_PLATFORM_CONFLICT);
      EXPECT_EQ (call (op, ScriptedServer::response ("404 None", "")).result,
                 MQ_PLATFORM_MISSING);
      EXPECT_EQ (call (op, ScriptedServer::response ("503 Down", "")).result,
                 MQ_PLATFORM_UNAVAILABLE);
      EXPECT_EQ (call (op, ScriptedServer::response ("429 Busy", "")).result,
                 MQ_PLATFORM_BUSY);
    }
  EXPECT_EQ (
      call (MQ_PLATFORM_FOLLOW, ScriptedServer::response ("410 Gone", ""))
          .result,
      MQ_PLATFORM_HISTORY_EXPIRED);
}

/* A reply that is cut is none: a read has failed, and of a write nothing is
   known, whatever the status line says.  */
TEST_F (CutStoreReply, AtAnyByteIsNone)
{
  for (mq_platform_op op :
       { MQ_PLATFORM_SCAN, MQ_PLATFORM_FOLLOW, MQ_PLATFORM_CREATE,
         MQ_PLATFORM_PUT, MQ_PLATFORM_DELETE })
    for (const char *status :
         { "200 OK", "201 Created", "204 No Content", "404 None",
           "409 Conflict", "410 Gone", "412 Failed", "429 Busy", "503 Down" })
      {
        const std::string body = status[2] == '4' && status[0] == '2' ? ""
                                 : op == MQ_PLATFORM_SCAN   ? one_item
                                 : op == MQ_PLATFORM_FOLLOW ? one_event
                                                            : object ("n", 9);
        const std::string whole
            = ScriptedServer::response (status, body, "ETag: \"9\"\r\n");

        for (size_t n = 0; n < whole.size (); n++)
          EXPECT_EQ (call (op, whole.substr (0, n)).result,
                     is_read (op) ? MQ_PLATFORM_UNAVAILABLE
                                  : MQ_PLATFORM_UNKNOWN)
              << mq_platform_op_name (op) << " " << status << " " << n;
      }
}

/* The same where nothing but the JSON text tells of the cut.  */
TEST_F (CutStoreReply, WithoutLengthAtAnyByteIsNone)
{
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";

  for (mq_platform_op op : { MQ_PLATFORM_SCAN, MQ_PLATFORM_FOLLOW,
                             MQ_PLATFORM_CREATE, MQ_PLATFORM_DELETE })
    {
      const std::string body = op == MQ_PLATFORM_SCAN     ? one_item
                               : op == MQ_PLATFORM_FOLLOW ? one_event
                                                          : object ("n", 9);

      for (size_t n = 0; n < body.size (); n++)
        EXPECT_EQ (call (op, head + body.substr (0, n)).result,
                   is_read (op) ? MQ_PLATFORM_UNREADABLE : MQ_PLATFORM_UNKNOWN)
            << mq_platform_op_name (op) << " " << n;
    }
}

TEST_F (CutStoreReply, WithContradictoryLengthIsNone)
{
  for (mq_platform_op op :
       { MQ_PLATFORM_SCAN, MQ_PLATFORM_FOLLOW, MQ_PLATFORM_CREATE })
    {
      const std::string body = op == MQ_PLATFORM_SCAN     ? one_item
                               : op == MQ_PLATFORM_FOLLOW ? one_event
                                                          : object ("n", 9);
      const std::string size = std::to_string (body.size ());

      for (const std::string &more : std::vector<std::string>{
               "Content-Length: 2\r\nContent-Length: " + size,
               "Content-Length: " + size + "\r\nContent-Length: 2",
               "Content-Length: " + size + "x", "Content-Length: -1",
               "Content-Length: " + size + "\r\nTransfer-Encoding: chunked",
               "Transfer-Encoding: chunked" })
        EXPECT_EQ (
            call (op, "HTTP/1.1 200 OK\r\n" + more + "\r\n\r\n" + body).result,
            is_read (op) ? MQ_PLATFORM_UNAVAILABLE : MQ_PLATFORM_UNKNOWN)
            << more;
    }
}

/* A list that lacks a part, states one twice or goes on is no list.  */
TEST_F (CutStoreReply, InWholeResponseIsNoList)
{
  const std::string a = object ("a", 8), b = object ("b", 9);

  for (const std::string &body : std::vector<std::string>{
           "",
           "[]",
           "null",
           "{}",
           "{\"at\":20}",
           "{\"items\":[]}",
           "{\"items\":{},\"at\":20}",
           "{\"items\":null,\"at\":20}",
           "{\"items\":[],\"at\":\"20\"}",
           "{\"items\":[],\"at\":0}",
           "{\"items\":[],\"at\":020}",
           "{\"events\":[],\"at\":20}",
           "{\"items\":[" + a + "],\"items\":[],\"at\":20}",
           "{\"items\":[],\"at\":20,\"at\":21}",
           "{\"items\":[" + a
               + "],\"hasMore\":true,\"hasMore\":false,\"at\":20}",
           list (a, "\"true\""),
           list (a, "1"),
           list (a, "null"),
           list (a, "tru"),
           list (a) + "x",
           list (a) + list (""),
           list (a) + "}",
           list (a + " " + b),
           list (a + ","),
           list ("{" + a + "}"),
           list ("{\"metadata\":{\"name\":\"a\",\"revision\":8} \"spec\":{}}"),
           list ("{\"metadata\":{\"name\":\"a\",\"revision\":8},\"metadata\":{"
                 "\"name\":\"b\",\"revision\":9},\"spec\":{}}"),
           list ("{\"metadata\":{\"name\":\"a\",\"revision\":8},\"spec\":{},"
                 "\"spec\":null}") })
    expect_unreadable (MQ_PLATFORM_SCAN, body);
}

TEST_F (CutStoreReply, InWholeResponseIsNoWatch)
{
  const std::string a = object ("a", 8);

  for (const std::string &body : std::vector<std::string>{
           "", "{}", "{\"at\":20}", "{\"events\":[]}",
           "{\"items\":[],\"at\":20}", "{\"events\":{},\"at\":20}",
           "{\"events\":[" + event ("true", a) + "],\"events\":[],\"at\":20}",
           "{\"events\":[],\"at\":20,\"at\":30}",
           events (event ("true", a)) + "x", events (event ("true", a) + " 1"),
           events ("{\"deleted\":false,\"deleted\":true,\"object\":" + a
                   + "}"),
           events ("{\"deleted\":true,\"object\":" + object ("b", 9)
                   + ",\"object\":" + a + "}"),
           events ("{\"deleted\":true \"object\":" + a + "}") })
    expect_unreadable (MQ_PLATFORM_FOLLOW, body);
}

TEST_F (CutStoreReply, ElementWithImpossibleVersionNamesNothing)
{
  const std::string both = object ("a", 21) + "," + object ("b", 9);
  Reply scan = call (MQ_PLATFORM_SCAN,
                     ScriptedServer::response ("200 OK", list (both)));
  Reply watch
      = call (MQ_PLATFORM_FOLLOW,
              ScriptedServer::response (
                  "200 OK", events (event ("true", object ("a", 21)) + ","
                                    + event ("true", object ("b", 9)))));

  for (const Reply &r : { scan, watch })
    {
      EXPECT_EQ (r.result, MQ_PLATFORM_OK);
      EXPECT_EQ (r.n_entries, 1u);
    }
}

/* An event that says neither that its object was deleted nor that it was not
   tells nothing of it.  */
TEST_F (CutStoreReply, EventWithInvalidDeletionNamesNothing)
{
  for (const char *deleted : { "\"true\"", "1", "null", "tru", "{}" })
    {
      Reply r
          = call (MQ_PLATFORM_FOLLOW,
                  ScriptedServer::response (
                      "200 OK", events (event (deleted, object ("a", 8)) + ","
                                        + event ("true", object ("b", 9)))));

      EXPECT_EQ (r.result, MQ_PLATFORM_OK) << deleted;
      EXPECT_EQ (r.n_entries, 1u) << deleted;
    }
}

/* Only a status that the store gives to a list or a watch is one.  */
TEST_F (CutStoreReply, OfOtherStatusIsNoList)
{
  for (mq_platform_op op : { MQ_PLATFORM_SCAN, MQ_PLATFORM_FOLLOW })
    for (const char *status :
         { "201 Created", "202 Begun", "203 Other", "206 Partial Content",
           "304 Same", "409 Conflict", "412 Failed", "500 Error" })
      {
        const std::string body = op == MQ_PLATFORM_SCAN ? one_item : one_event;
        Reply r = call (op, ScriptedServer::response (status, body));

        EXPECT_NE (r.result, MQ_PLATFORM_OK) << status;
        EXPECT_EQ (r.n_entries, 0u) << status;
      }
  for (mq_platform_op op : { MQ_PLATFORM_SCAN, MQ_PLATFORM_FOLLOW })
    EXPECT_NE (call (op, "HTTP/1.1 204 No Content\r\n\r\n").result,
               MQ_PLATFORM_OK);
  EXPECT_NE (call (MQ_PLATFORM_SCAN, ScriptedServer::response ("410 Gone", ""))
                 .result,
             MQ_PLATFORM_HISTORY_EXPIRED);
}

/* Without its object a reply to a write does not say that it is done, or that
   another one was.  */
TEST_F (CutStoreReply, WithoutObjectIsNoWrite)
{
  for (mq_platform_op op :
       { MQ_PLATFORM_CREATE, MQ_PLATFORM_PUT, MQ_PLATFORM_DELETE })
    for (const char *status : { "200 OK", "201 Created", "409 Conflict" })
      for (const std::string &body : std::vector<std::string>{
               "", "[]", "null", "1", "{", object ("n", 9) + "x",
               object ("n", 9) + object ("n", 9),
               "{\"metadata\":{\"revision\":9},\"metadata\":{\"revision\":8}"
               "}" })
        EXPECT_EQ (call (op, ScriptedServer::response (status, body)).result,
                   MQ_PLATFORM_UNKNOWN)
            << status << " " << body;
  for (mq_platform_op op : { MQ_PLATFORM_CREATE, MQ_PLATFORM_PUT })
    for (const char *status : { "202 Begun", "206 Partial Content", "304 Same",
                                "410 Gone", "412 Failed", "500 Error" })
      {
        Reply r
            = call (op, ScriptedServer::response (status, object ("n", 9)));

        EXPECT_NE (r.result, MQ_PLATFORM_OK) << status;
        EXPECT_NE (r.result, MQ_PLATFORM_CONFLICT) << status;
      }
}

TEST_F (CutStore, WholeRepliesAreFollowed)
{
  start ();
  expect_unchanged ("watch servers",
                    ScriptedServer::response ("200 OK", events ("")));
  answer ("watch servers",
          ScriptedServer::response (
              "200 OK", events (event ("true", object ("app-a", 21)), 30)));
  EXPECT_TRUE (until ([&] { return !has_both (); }));
  EXPECT_EQ (router->upstream_feed.revision, 30u);
  answer ("scan config",
          ScriptedServer::response (
              "200 OK", list (object ("main", 12, configuration (2)))));
  EXPECT_TRUE (until ([&] { return router->routing->version == 2; }));
}

/* A router withdrew engines because of a watch that returned a part of a
   reply.  */
TEST_F (CutStore, OfWatchWithdrawsNothing)
{
  const std::string gone = event ("true", object ("app-a", 21));

  start ();
  const std::string drains
      = event ("false", object ("app-b", 22, upstreams[1]->entry (true)));
  const std::string whole
      = ScriptedServer::response ("200 OK", events (gone, 30));

  for (size_t n : { (size_t)0, (size_t)12, whole.find ("\r\n\r\n") + 2,
                    whole.find ("\r\n\r\n") + 4, whole.size () - 1 })
    expect_unchanged ("watch servers", whole.substr (0, n));
  expect_unchanged ("watch servers", "HTTP/1.1 410 Gone\r\n");
  for (const std::string &body : std::vector<std::string>{
           events (gone, 30) + "x",
           events (gone + " ", 30) + events (gone, 30),
           "{\"events\":[" + gone + "],\"at\":30",
           "{\"at\":30,\"events\":[" + gone + ",",
           "{\"at\":30,\"events\":[" + gone + ",]}",
           "{\"at\":30,\"events\":[" + gone + "," + drains + " 1]}",
           "{\"at\":30,\"events\":[" + drains + ",{\"object\" 1}]}",
           "{\"events\":[" + gone + "],\"events\":[],\"at\":30}",
           "{\"events\":[],\"at\":30,\"at\":40}" })
    expect_unchanged ("watch servers",
                      ScriptedServer::response ("200 OK", body));
  for (const char *status : { "201 Created", "206 Partial Content", "304 Same",
                              "409 Conflict", "500 Error" })
    expect_unchanged ("watch servers",
                      ScriptedServer::response (status, events (gone, 30)));
  expect_unchanged ("watch servers", "HTTP/1.1 204 No Content\r\n\r\n");
}

/* An element with a version above that of its reply, of no change yet, costs
   itself alone: the list is followed.  */
TEST_F (CutStore, ElementWithImpossibleVersionCostsItselfAlone)
{
  start ();
  answer ("watch servers",
          ScriptedServer::response (
              "200 OK", events (event ("true", object ("app-b", 31)) + ","
                                    + event ("true", object ("app-a", 21)),
                                30)));
  EXPECT_TRUE (until ([&] { return router->upstream_feed.revision == 30; }));
  EXPECT_EQ (mq_registry_find (&router->registry, MQ_SPAN ("app-a")), nullptr);
  EXPECT_NE (mq_registry_find (&router->registry, MQ_SPAN ("app-b")), nullptr);
}

/* The same because of a scan that names less than there is.  */
TEST_F (CutStore, OfScanWithdrawsNothing)
{
  start ();
  const std::string a = object ("app-a", 8, upstreams[0]->entry ());
  const std::string whole = ScriptedServer::response ("200 OK", list (a));

  for (size_t n : { (size_t)0, (size_t)12, whole.find ("\r\n\r\n") + 2,
                    whole.find ("\r\n\r\n") + 4, whole.size () - 1 })
    expect_unchanged ("scan servers", whole.substr (0, n));
  for (const std::string &body : std::vector<std::string>{
           list (a) + "x", list (a, "1"), list (a, "\"true\""),
           "{\"items\":[" + items () + "],\"items\":[],\"at\":20}",
           "{\"items\":[],\"at\":20,\"at\":30}", "{\"at\":20}",
           "{\"items\":[],\"hasMore\":true,\"hasMore\":false,\"at\":20}",
           list (a + ",{\"metadata\":{\"name\":\"app-b\",\"revision\":9} 1}"),
           list (a
                 + ",{\"metadata\":{\"name\":\"app-b\",\"revision\":9},"
                   "\"metadata\":{\"name\":\"c\",\"revision\":9}}") })
    expect_unchanged ("scan servers",
                      ScriptedServer::response ("200 OK", body));
  for (const char *status : { "201 Created", "206 Partial Content", "304 Same",
                              "409 Conflict", "500 Error" })
    expect_unchanged ("scan servers",
                      ScriptedServer::response (status, list (a)));
  expect_unchanged ("scan servers", "HTTP/1.1 204 No Content\r\n\r\n");
}

TEST_F (CutStore, OfConfigurationWithdrawsNoRoute)
{
  const std::string none
      = "{\"version\":2,\"routes\":[],\"services\":[],\"limits\":{}}";
  const std::string whole
      = ScriptedServer::response ("200 OK", list (object ("main", 12, none)));

  start ();
  for (size_t n : { (size_t)0, (size_t)12, whole.find ("\r\n\r\n") + 2,
                    whole.find ("\r\n\r\n") + 4, whole.size () - 1 })
    expect_unchanged ("scan config", whole.substr (0, n));
  for (const std::string &spec : std::vector<std::string>{
           none + "x", "{\"version\":2,\"routes\":{}}",
           "{\"version\":2,\"routes\":\"\"}", "{\"version\":2,\"version\":3}",
           "{\"version\":2,\"routes\":[],\"services\":7}",
           "{\"version\":2,\"routes\":[],\"tenants\":{}}",
           "{\"version\":2,\"routes\":[],\"routes\":[{}]}",
           "{\"version\":2,\"routes\":[],}", "[" + none + "]" })
    for (const char *place : { "scan config", "watch config" })
      expect_unchanged (
          place,
          ScriptedServer::response (
              "200 OK",
              place[0] == 's'
                  ? list (object ("main", 12, spec))
                  : events (event ("false", object ("main", 12, spec)))));
}

/* A router that starts took a write for done whose reply was cut.  */
TEST_F (CutStore, OfWriteIsNotDone)
{
  start ();
  for (const std::string &whole : std::vector<std::string>{
           ScriptedServer::response ("201 Created", "{}"),
           ScriptedServer::response ("409 Conflict", "{}") })
    {
      for (size_t n = 0; n <= whole.size (); n++)
        {
          written = whole.substr (0, n);
          ASSERT_TRUE (until ([&] { return !router->member_writing; }));
          router->member_written = false;
          router->member_retry_us = 0;
          ASSERT_TRUE (until ([&] { return router->member_writing; }));
          ASSERT_TRUE (until ([&] { return !router->member_writing; }));
          EXPECT_EQ (router->member_written, n == whole.size ()) << n;
        }
    }
}
