/* One odd entry among those of the engines: nested very deeply, or with a
   number that is too large or a port out of range.  Routers ended, or stopped
   following the list.  They go on, follow and serve, and the other entries
   hold.  The same for the other objects that they read.  */

#include "support/draining_fleet.h"

namespace
{

std::string
nested (size_t depth, bool objects = false)
{
  std::string s;

  if (!objects)
    return std::string (depth, '[') + std::string (depth, ']');
  for (size_t i = 0; i < depth; i++)
    s += "{\"a\":";
  return s + "1" + std::string (depth, '}');
}

const size_t depths[] = { 30, 33, 1000, 100000, 300000 };
/* Objects of a greater depth exceed what the store takes as a value.  */
const size_t max_object_depth = 100000;

const std::vector<std::string> odd_numbers = { "1e400",
                                               "-1e400",
                                               "99999999999999999999999",
                                               "-1",
                                               "4294967296",
                                               "18446744073709551616",
                                               "18446744073709551615",
                                               "0.5",
                                               "\"NaN\"",
                                               "NaN",
                                               "Infinity",
                                               "\"1\"",
                                               "null",
                                               "[]" };

const std::vector<std::string> odd_addresses
    = { "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:4294967376",
        "127.0.0.1:18446744073709551696",
        "127.0.0.1:80x",
        "127.0.0.1:+80",
        "127.0.0.1: 80",
        "127.0.0.1:",
        "127.0.0.1",
        ":80",
        ":",
        "",
        "[::1]:80",
        "::1:80",
        "localhost:80",
        "no.such.host.example:80",
        "127.0.0.1:80:80",
        "127.0.0.1.1:80",
        "999.0.0.1:80",
        "http://127.0.0.1:80" };

std::string
address_member (const std::string &address)
{
  return ",\"address\":\"" + address + "\"";
}

/* What another writer puts: the elements of lists and watches.  */
using Forms = std::vector<std::string>;

/* The element NAME with SPEC, and with METADATA beside the members that each
   object has.  */
std::string
element (const std::string &name, const std::string &spec,
         const std::string &metadata = "", const std::string &revision = "5")
{
  return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
         + metadata + "},\"spec\":" + spec + ",\"status\":null}";
}

/* The entry of an upstream of SERVICE where nothing listens, with the members
   MORE, which replace others.  */
std::string
dead_entry (const std::string &service, const std::string &more)
{
  std::string s = "{\"service\":\"" + service
                  + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"one\","
                    "\"slots\":8,\"state\":\"ready\""
                  + gateway::entry_common;

  if (service == "model")
    s += gateway::engine_members ("half", 0, 0);
  return s + more + "}";
}

class OddEntry : public gateway::DrainingFleet
{
protected:
  enum class Place
  {
    LIST,
    EVENTS
  };

  void
  put_odd (const Forms &forms)
  {
    for (auto &f : forms)
      {
        std::string name = "odd-" + std::to_string (odd_++);
        std::string text = f;
        size_t at = text.find ("NAME");

        if (at != std::string::npos)
          text.replace (at, 4, name);
        store.put_element ("servers", name, text);
        /* A reply has only so many bytes.  */
        if (!routers.empty () && text.size () > 10000)
          wait (0.03);
      }
  }

  /* The entries of KIND that R could not read.  */
  unsigned
  unreadable (const Router &r, const std::string &kind)
  {
    std::string m = fetch ("GET", "/metrics", {}, "", r.base + 4).body;
    std::string name
        = "marjoramquay_unreadable_entries_total{kind=\"" + kind + "\"} ";
    size_t at = m.find (name);

    return at == std::string::npos
               ? 0
               : (unsigned)std::stoul (m.substr (at + name.size ()));
  }

  /* Put each of FORMS as an object of KIND.  */
  void
  put_specs (const std::string &kind, const Forms &forms)
  {
    for (auto &f : forms)
      store.put (kind, "odd-" + std::to_string (odd_++), f);
  }

  /* Three empty engines, each with memory for 57 of the model's layers.  */
  void
  add_engines ()
  {
    for (const char *id : { "eng-1", "eng-2", "eng-3" })
      {
        gateway::Upstream &u = add (id, "model", "one", "half");

        u.on_order = [this, &u] { write_entry (u); };
        u.serve = [&u] (mq_http_exchange *x) {
          u.begin (x);
          gateway::Upstream::events (x, 1, 3);
          mq_http_exchange_end (x);
        };
      }
  }

  bool
  is_covered () const
  {
    unsigned end = 0;

    for (size_t i = 0; i < upstreams.size (); i++)
      for (auto &u : upstreams)
        if (u->first <= end && u->end <= 80 && u.get () != gone_)
          end = std::max (end, u->end);
    return end == 80;
  }

  void
  expect_served ()
  {
    for (auto &r : routers)
      {
        if (r->gateway == nullptr)
          continue;
        EXPECT_EQ (fetch ("GET", "/safe/1", gateway::key, "", r->base).status,
                   200u);
        EXPECT_EQ (
            fetch ("POST", "/stream/1", gateway::key, "p", r->base).status,
            200u);
      }
  }

  /* An instance that joins gets requests from each router, and none once it
     drains.  */
  void
  expect_followed ()
  {
    gateway::Upstream &u = add ("app-" + std::to_string (++joined_), "app");

    for (auto &r : routers)
      {
        size_t n = u.received_requests.size ();

        if (r->gateway == nullptr)
          continue;
        EXPECT_TRUE (until ([&] {
          fetch ("GET", "/safe/1", gateway::key, "", r->base);
          return u.received_requests.size () > n;
        }));
      }
    write_entry (u, true);
    wait (0.5);
    size_t n = u.received_requests.size ();
    for (auto &r : routers)
      for (int i = 0; i < 5 && r->gateway != nullptr; i++)
        fetch ("GET", "/safe/1", gateway::key, "", r->base);
    EXPECT_EQ (u.received_requests.size (), n);
    store.remove ("servers", u.id);
  }

  /* Under FORMS, at PLACE, routers serve and follow, the leader orders, and so
     do those that start later, when the first has gone.  */
  void
  expect_harmless (const Forms &forms, Place place)
  {
    add_instances ();
    add_engines ();
    if (place == Place::LIST)
      put_odd (forms);
    start_fleet ({});
    if (place == Place::EVENTS)
      put_odd (forms);
    ASSERT_TRUE (until ([&] { return is_covered (); }));
    wait (0.5);
    EXPECT_GT (unreadable (*routers[0], "upstream"), 0u);
    expect_served ();
    expect_followed ();

    stop_router (*routers[0]);
    start_router ("one", 8);
    gone_ = upstreams[2]->end > 0 ? upstreams[2].get () : upstreams[3].get ();
    store.remove ("servers", gone_->id);
    ASSERT_TRUE (until ([&] { return is_covered (); }));
    wait (0.5);
    expect_served ();
    expect_followed ();
  }

  const gateway::Upstream *gone_ = nullptr;

private:
  unsigned odd_ = 0, joined_ = 0;
};

Forms
nested_forms ()
{
  Forms all;

  for (size_t n : depths)
    for (bool objects : { false, true })
      {
        if (objects && n > max_object_depth)
          continue;
        std::string deep = nested (n, objects);

        for (const char *service : { "app", "model" })
          for (const char *member : { "service", "address", "slots", "layers",
                                      "models", "unknown" })
            all.push_back (element (
                "NAME", dead_entry (service, ",\"" + std::string (member)
                                                 + "\":" + deep)));
        all.push_back (element ("NAME", "{}", ",\"finalizers\":" + deep));
        all.push_back (element ("NAME", "{}", "", deep));
        all.push_back (element ("NAME", deep));
        all.push_back (deep);
      }
  return all;
}

Forms
number_forms ()
{
  Forms all;

  for (auto &n : odd_numbers)
    {
      for (const char *service : { "app", "model" })
        for (const char *member : { "sequence", "born", "slots",
                                    "coldRemainingMs", "layers", "kind" })
          all.push_back (element (
              "NAME",
              dead_entry (service, ",\"" + std::string (member) + "\":" + n)));
      for (const char *member : { "from", "target", "version" })
        all.push_back (element (
            "NAME",
            dead_entry ("model", ",\"layers\":{\"from\":0,\"target\":0,\""
                                     + std::string (member) + "\":" + n
                                     + "}")));
      all.push_back (element ("NAME", dead_entry ("model", ""), "", n));
      all.push_back ("{\"deleted\":" + n
                     + ",\"object\":" + element ("NAME", "{}") + "}");
    }
  return all;
}

Forms
address_forms ()
{
  Forms all;

  for (auto &a : odd_addresses)
    for (const char *service : { "app", "model" })
      all.push_back (
          element ("NAME", dead_entry (service, address_member (a))));
  return all;
}

/* FORMS as the events of a watch have them.  */
Forms
as_events (Forms forms)
{
  for (auto &f : forms)
    if (f.compare (0, 11, "{\"metadata\"") == 0)
      f = "{\"deleted\":false,\"object\":" + f + "}";
  return forms;
}

} // namespace

TEST_F (OddEntry, NestedDeeplyInListIsHarmless)
{
  store.page = 3;
  expect_harmless (nested_forms (), Place::LIST);
}

TEST_F (OddEntry, NestedDeeplyInEventsIsHarmless)
{
  expect_harmless (as_events (nested_forms ()), Place::EVENTS);
}

TEST_F (OddEntry, WithNumbersInListIsHarmless)
{
  expect_harmless (number_forms (), Place::LIST);
}

TEST_F (OddEntry, WithNumbersInEventsIsHarmless)
{
  expect_harmless (as_events (number_forms ()), Place::EVENTS);
}

TEST_F (OddEntry, WithAddressesInListIsHarmless)
{
  expect_harmless (address_forms (), Place::LIST);
}

TEST_F (OddEntry, WithAddressesInEventsIsHarmless)
{
  expect_harmless (as_events (address_forms ()), Place::EVENTS);
}

/* An engine whose report has such a number: the others are used, and it is
   once its report is sound.  */
TEST_F (OddEntry, ReportWithNumberIsHarmless)
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
TEST_F (OddEntry, ConfigurationIsHarmless)
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
TEST_F (OddEntry, MemberIsHarmless)
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
TEST_F (OddEntry, RefusalIsUnusable)
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
