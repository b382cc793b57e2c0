/* Entries of the store that can't be read.  Each costs itself alone: guards
   against a list or a watch that fails as a whole, so that no change reaches
   the routers any more.  */

#include "support/draining_fleet.h"

namespace
{

std::string
nested (size_t depth)
{
  return std::string (depth, '[') + std::string (depth, ']');
}

class UnreadableEntry : public gateway::DrainingFleet
{
protected:
  /* What another writer may have put in the place of an entry.  */
  static std::vector<std::string>
  unreadable ()
  {
    return { nested (30),
             nested (100000),
             "{\"service\":\"app\",\"version\":" + nested (40) + "}",
             "{\"state\":" + std::string (1000000, '7') + "}",
             "\"\xff\xfe\x01\"",
             "{\"service\":1e999,\"address\":-1}",
             "{\"service\":\"app\",\"address\":\"127.0.0.1:9\\u0000\","
             "\"zone\":\"one\",\"state\":\"ready\"}",
             "tru\x80",
             "[]",
             "null" };
  }

  void
  put_all ()
  {
    size_t n = 0;

    for (auto &s : unreadable ())
      store.put ("servers", "app-" + std::to_string (n++), s);
    store.put ("servers", "app-\\u0000", "{}");
  }

  std::string
  metrics (const Router &r)
  {
    return fetch ("GET", "/metrics", {}, "", r.base + 4).body;
  }
};

} // namespace

/* An engine that drains went on getting requests, from all routers, once
   another entry of the list was nested too deep.  */
TEST_F (UnreadableEntry, DoesNotHideDrain)
{
  add_instances ();
  start_fleet ({ "two" });
  expect_drained (
      "/safe/1", [this] { put_all (); }, 0.5);
}

/* Routers that started were never ready.  */
TEST_F (UnreadableEntry, DoesNotStopRoutersFromStarting)
{
  add_instances ();
  put_all ();
  start_fleet ({});
  EXPECT_EQ (
      fetch ("GET", "/safe/1", gateway::key, "", routers[0]->base).status,
      200u);
}

/* Its name is in the log, and a counter tells of it.  */
TEST_F (UnreadableEntry, IsCounted)
{
  add_instances ();
  put_all ();
  start_fleet ({});
  std::string m = metrics (*routers[0]);
  const std::string name = "marjoramquay_unreadable_entries_total{kind=";
  EXPECT_NE (m.find (name + "\"upstream\"} "
                     + std::to_string (unreadable ().size ())),
             std::string::npos);
  EXPECT_NE (m.find (name + "\"unnamed\"} 1"), std::string::npos);
}

/* The same for an object of the project's own kinds.  */
TEST_F (UnreadableEntry, OfMemberWithoutNameIsCounted)
{
  add_instances ();
  store.put ("marjoramquay-members", "vm-\\u0000", "{}");
  start_fleet ({});
  EXPECT_EQ (metrics (*routers[0])
                 .find ("marjoramquay_unreadable_entries_total{kind="
                        "\"unnamed\"} 0"),
             std::string::npos);
}

/* It names no engine to use any more.  */
TEST_F (UnreadableEntry, OfUpstreamWithdrawsIt)
{
  add_instances ();
  start_fleet ({ "two" });
  leave = [this] { store.put ("servers", leaving->id, nested (50)); };
  expect_drained (
      "/safe/1", [] {}, 0.2);
}

/* A complete chain goes on where one engine's entry turns unreadable.  */
TEST_F (UnreadableEntry, OfEngineWithdrawsItsChain)
{
  add_chains (false);
  start_fleet ({});
  leave = [this] { store.put ("servers", leaving->id, nested (50)); };
  expect_drained (
      "/stream/1", [] {}, 0.2);
  EXPECT_EQ (
      fetch ("POST", "/stream/1", gateway::key, "p", routers[0]->base).status,
      200u);
}

/* A router goes on with the last configuration that it can read.  */
TEST_F (UnreadableEntry, OfConfigurationKeepsLastOne)
{
  add_instances ();
  start_fleet ({});
  store.put ("config", "main",
             "{\"version\":2,\"routes\":" + nested (50) + "}");
  wait (0.5);
  EXPECT_EQ (
      fetch ("GET", "/safe/1", gateway::key, "", routers[0]->base).status,
      200u);
  EXPECT_NE (metrics (*routers[0])
                 .find ("marjoramquay_unreadable_entries_total{kind="
                        "\"configuration\"} 1"),
             std::string::npos);
  configure (3);
  EXPECT_TRUE (until ([&] {
    return metrics (*routers[0]).find ("marjoramquay_configuration_version 3")
           != std::string::npos;
  }));
}

/* The changes since an outage exceed what a router reads in one reply.  The
   same call was repeated for ever.  */
TEST_F (UnreadableEntry, LargeChangesDuringOutageAreRead)
{
  add_instances ();
  store.page = 1;
  start_fleet ({ "two" });
  expect_drained (
      "/safe/1",
      [this] {
        store.down = true;
        for (int i = 0; i < 6; i++)
          store.put ("servers", "large-" + std::to_string (i),
                     "\"" + std::string (900000, 'x') + "\"");
        store.down = false;
      },
      0.5);
}
