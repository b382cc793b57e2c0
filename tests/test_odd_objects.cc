/* Odd objects of other kinds that routers read: reports of engines,
   configurations, records of routers and of refused requests
   (test_odd_entries.cc).  */

#include "support/odd_entries.h"

using namespace odd_entries;

namespace
{

class OddObject : public OddEntry
{
};

} // namespace

/* An engine whose report has such a number: the others are used, and it is
   once its report is sound.  */
TEST_F (OddObject, ReportWithNumberIsHarmless)
{
  add_instances ();
  add_chains (false);
  start_fleet ({});
  for (auto &n : odd_numbers)
    for (const char *member :
         { "sequence", "born", "waiting", "running", "kvUsed", "kvTotal",
           "pace", "layers", "busy" })
      {
        leaving->report_members = ",\"" + std::string (member) + "\":" + n;
        wait (0.02);
      }
  for (size_t depth : { 33, 100000 })
    {
      leaving->report_members = ",\"layers\":" + nested (depth);
      wait (0.2);
    }
  expect_served ();
  leaving->report_members = "";
  wait (0.5);
  expect_served ();
  expect_followed ();
}

/* A configuration with such a member: the last one that is sound stays, or the
   number is used as it is, and the next one is in force.  */
TEST_F (OddObject, ConfigurationIsHarmless)
{
  const std::string sound = "\"services\":[{\"name\":\"app\"}],\"routes\":["
                            + route ("/safe/", "safe", "app", 2) + "]";
  std::vector<std::string> forms;
  unsigned version = 1;

  for (auto &n : odd_numbers)
    {
      forms.push_back (",\"limits\":{\"maxBodyBytes\":" + n + "}");
      forms.push_back (",\"limits\":{\"maxHeaderBytes\":" + n + "}");
      forms.push_back (",\"limits\":{\"idleTimeoutMs\":" + n + "}");
      forms.push_back (",\"tenants\":[{\"name\":\"a\",\"priority\":" + n
                       + "}]");
      forms.push_back (
          ",\"services\":[{\"name\":\"app\",\"maxConnections\":" + n + "}]");
      for (const char *member :
           { "layers", "layerMb", "kvTokenBytes", "step_ms", "read_per_s",
             "slots", "loads_at_once", "usual", "kinds" })
        forms.push_back (
            ",\"services\":[{\"name\":\"app\"},{\"name\":"
            "\"model\",\"engine\":{\"layers\":80,\"layerMb\":1750,\""
            + std::string (member) + "\":" + n + "}}]");
    }
  for (size_t n : depths)
    for (const char *member : { "limits", "tenants", "services", "unknown" })
      forms.push_back (",\"" + std::string (member) + "\":" + nested (n));
  add_instances ();
  add_engines ();
  start_fleet ({});
  for (auto &f : forms)
    {
      store.put ("config", "main",
                 "{\"version\":" + std::to_string (++version) + "," + sound + f
                     + "}");
      wait (0.02);
    }
  for (auto &n : odd_numbers)
    if (n != "4294967296")
      store.put ("config", "main", "{\"version\":" + n + "," + sound + "}");
  for (size_t n : depths)
    store.put ("config", "main", nested (n));
  wait (0.3);
  EXPECT_GT (unreadable (*routers[0], "configuration"), 50u);
  start_router ("one", 8);
  EXPECT_EQ (
      fetch ("GET", "/safe/1", gateway::key, "", routers[0]->base).status,
      200u);
  configure (++version);
  ASSERT_TRUE (until ([&] { return is_covered (); }));
  wait (0.5);
  expect_served ();
  expect_followed ();
}

/* The record of a router that is none: routers start as fast, name no such
   address to clients, and know one another.  */
TEST_F (OddObject, MemberIsHarmless)
{
  Forms forms = { "{}", "[]", "null", "7" };
  auto member = [] (const std::string &address, const std::string &clients,
                    const std::string &capacity) {
    return "{\"address\":\"" + address + "\",\"clients\":\"" + clients
           + "\",\"domain\":\"one\",\"capacity\":" + capacity + "}";
  };

  for (auto &a : odd_addresses)
    {
      forms.push_back (member (a, "127.0.0.1:9", "1000"));
      forms.push_back (member ("127.0.0.1:9", a, "1000"));
    }
  for (size_t n : depths)
    {
      forms.push_back (nested (n));
      forms.push_back ("{\"address\":" + nested (n) + "}");
      forms.push_back ("{\"address\":\"127.0.0.1:9\",\"domain\":\"one\","
                       "\"unknown\":"
                       + nested (n) + "}");
    }
  put_specs ("marjoramquay-members", forms);
  size_t unusable = forms.size ();
  forms.clear ();
  for (auto &n : odd_numbers)
    forms.push_back (member ("127.0.0.1:9", "127.0.0.1:9", n));
  put_specs ("marjoramquay-members", forms);

  add_instances ();
  add_engines ();
  start_fleet ({ "two" });
  ASSERT_TRUE (until ([&] { return is_covered (); }));
  wait (0.5);
  EXPECT_GE (unreadable (*routers[0], "member"), unusable);
  expect_served ();
  expect_followed ();
  for (auto &r : routers)
    {
      std::string list
          = fetch ("GET", "/resolve?name=x.example&region=r&zone=one", {}, "",
                   r->base + 2)
                .body;

      for (auto &other : routers)
        if (list.find (at (other->base)) != std::string::npos)
          list.replace (list.find (at (other->base)), at (other->base).size (),
                        "");
      EXPECT_EQ (list.find ("127"), std::string::npos) << list;
      EXPECT_EQ (list.find (":80"), std::string::npos) << list;
    }
}

/* The record of a quarantined request that is none.  */
TEST_F (OddObject, RefusalIsUnusable)
{
  const std::string kind = "marjoramquay-refusals";
  const std::string hex = "00000000000000a1";
  auto value = [] (const std::string &ends, const std::string &ages,
                   const std::string &at_ms) {
    return "{\"ends\":\"" + ends + "\",\"ages_ms\":\"" + ages
           + "\",\"at_ms\":" + at_ms + "}";
  };
  const std::string now = std::to_string ((uint64_t)(ev_time () * 1000));
  unsigned n = 0;
  auto put = [&] (const std::string &name, const std::string &spec) {
    store.put (kind, name, spec);
    n++;
  };
  auto name = [&] {
    char s[17];

    snprintf (s, sizeof s, "%016x", 0x100 + n);
    return std::string (s);
  };

  for (const char *odd :
       { "-0000000000000a1", "+0000000000000a1", "0x000000000000a1",
         " 000000000000-a1", "              a1", "0000000000000000",
         "00000000000000g1", "a1", "00000000000000a11" })
    {
      put (odd, value (hex, hex, now));
      put (name (), value (odd, hex, now));
      if (std::string (odd) != "0000000000000000")
        put (name (), value (hex, odd, now));
    }
  put (name (), value (hex + "0", hex, now));
  put (name (), value (hex + hex, hex, now));
  put (name (), value (hex, hex + hex, now));
  for (auto &number : odd_numbers)
    if (number != "4294967296")
      put (name (), value (hex, hex, number));
  for (size_t depth : depths)
    {
      put (name (), nested (depth));
      put (name (), "{\"ends\":" + nested (depth) + ",\"at_ms\":" + now + "}");
    }
  add_instances ();
  add_engines ();
  start_fleet ({});
  ASSERT_TRUE (until ([&] { return is_covered (); }));
  EXPECT_TRUE (until ([&] {
    return unreadable (*routers[0], "refusal") >= n;
  })) << unreadable (*routers[0], "refusal")
      << " of " << n;
  expect_served ();
  expect_followed ();
}
