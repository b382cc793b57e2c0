/* A test fixture: routers among whose objects are odd ones of another writer,
   and the forms of these.  */

#ifndef MQ_TESTS_ODD_ENTRIES_H
#define MQ_TESTS_ODD_ENTRIES_H

#include "draining_fleet.h"

namespace odd_entries
{

inline std::string
nested (size_t depth, bool objects = false)
{
  std::string s;

  if (!objects)
    return std::string (depth, '[') + std::string (depth, ']');
  for (size_t i = 0; i < depth; i++)
    s += "{\"a\":";
  return s + "1" + std::string (depth, '}');
}

inline const size_t depths[] = { 30, 33, 1000, 100000, 300000 };
/* Objects of a greater depth exceed what the store takes as a value.  */
inline const size_t max_object_depth = 100000;

inline const std::vector<std::string> odd_numbers
    = { "1e400",
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

inline const std::vector<std::string> odd_addresses
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

inline std::string
address_member (const std::string &address)
{
  return ",\"address\":\"" + address + "\"";
}

/* What another writer puts: the elements of lists and watches.  */
using Forms = std::vector<std::string>;

/* The element NAME with SPEC, and with METADATA beside the members that each
   object has.  */
inline std::string
element (const std::string &name, const std::string &spec,
         const std::string &metadata = "", const std::string &revision = "5")
{
  return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
         + metadata + "},\"spec\":" + spec + ",\"status\":null}";
}

/* The entry of an upstream of SERVICE where nothing listens, with the members
   MORE, which replace others.  */
inline std::string
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

inline Forms
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

inline Forms
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

inline Forms
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
inline Forms
as_events (Forms forms)
{
  for (auto &f : forms)
    if (f.compare (0, 11, "{\"metadata\"") == 0)
      f = "{\"deleted\":false,\"object\":" + f + "}";
  return forms;
}

} // namespace odd_entries

#endif
