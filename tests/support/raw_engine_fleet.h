/* A test fixture: a router before engines that write the bytes of their
   responses themselves.  */

#ifndef MQ_TESTS_RAW_ENGINE_FLEET_H
#define MQ_TESTS_RAW_ENGINE_FLEET_H

#include "raw_engine.h"
#include "router_fleet.h"

#include <set>

namespace gateway
{

/* A router, and engines that write their responses themselves.  One that gets
   a prompt with deadly_part crashes.  */
class RawEngineFleet : public RouterFleet
{
protected:
  static constexpr const char *deadly_part = "bad0bad0";

  void
  make_crashing (RawEngine &e)
  {
    e.serve = [this, &e] (const std::string &request) {
      e.crash_due = request.find (deadly_part) != std::string::npos;
      return RawEngine::unframed_head (request) + body;
    };
  }

  RawEngine &
  add_raw (const std::string &domain)
  {
    raw.push_back (std::make_unique<RawEngine> (
        "raw-" + std::to_string (raw.size ()), domain));
    make_crashing (*raw.back ());
    store.put ("servers", raw.back ()->id, raw.back ()->entry ());
    listed_.insert (raw.back ()->id);
    return *raw.back ();
  }

  void
  start ()
  {
    add_raw ("one");
    add_raw ("two");
    configure (1);
    start_router ();
    wait (0.2);
  }

  Answer
  attempt (const Headers &headers = key)
  {
    Answer a;

    start_request (a, "POST", "/stream/1", headers,
                   "prompt " + std::to_string (++sent_), routers[0]->base);
    EXPECT_TRUE (until ([&] {
      for (auto &e : raw)
        e->poll ();
      return a.ended;
    }));
    return a;
  }

  unsigned
  count_runs () const
  {
    unsigned n = 0;

    for (auto &e : raw)
      n += e->runs;
    return n;
  }

  /* The headers of a prompt with deadly_part.  */
  static Headers
  with_deadly_part ()
  {
    Headers h = key;

    h.push_back ({ "Marjoramquay-Prompt-Prefix",
                   std::string ("f1:9,") + deadly_part + ":9,0e:9" });
    return h;
  }

  /* Replace the engines that have crashed by new ones, and take them off the
     list.  */
  void
  replace_crashed ()
  {
    for (size_t i = 0, n = raw.size (); i < n; i++)
      if (raw[i]->has_crashed () && listed_.erase (raw[i]->id) > 0)
        {
          store.remove ("servers", raw[i]->id);
          add_raw (raw[i]->domain);
        }
  }

  /* Send N requests with deadly_part, GAP_S apart.  Returns how often they
     reached an engine.  */
  unsigned
  send_deadly (unsigned n, double gap_s)
  {
    unsigned before = count_runs ();

    for (unsigned i = 0; i < n; i++)
      {
        attempt (with_deadly_part ());
        replace_crashed ();
        wait (gap_s);
      }
    return count_runs () - before;
  }

  std::vector<std::unique_ptr<RawEngine> > raw;
  std::string body; /* Of their responses.  */

private:
  std::set<std::string> listed_; /* Ids in the store.  */
  unsigned sent_ = 0;
};

} // namespace gateway

#endif
