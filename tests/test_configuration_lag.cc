/* Configurations that change in series while routers lose their way to the
   store.  Judged by what clients get.  */

#include "support/router_fleet.h"

#include <algorithm>

namespace
{

class ConfigurationLag : public gateway::RouterFleet
{
protected:
  /* A request that is sent later than this after the store has acknowledged a
     configuration is handled by it.  */
  static constexpr double bound_s = 2;
  static constexpr double requests_per_s = 150;
  static constexpr double series_s = 0.1; /* Between two configurations.  */

  /* Start three routers in each of three domains, of which the first watches
     the configuration.  */
  void
  start_fleet ()
  {
    add ("app-a", "app");
    store_followers = 2;
    configure (1);
    for (int i = 0; i < 3; i++)
      for (const char *domain : { "one", "two", "three" })
        start_router (domain, i == 0 ? 4 : 1);
    wait (3); /* A router that starts watches for so long.  */
    ASSERT_TRUE (until ([&] { return watches_are_settled (); }));
  }

  /* Returns true if the first router of each domain watches the configuration,
     and no other one does.  */
  bool
  watches_are_settled () const
  {
    for (int i = 0; i < 3; i++)
      if (store.watchers ("config", *routers[i]->door) != 1)
        return false;
    return store.watchers ("config") == 3;
  }

  void
  silence_watchers ()
  {
    for (int i = 0; i < 3; i++)
      routers[i]->door->silent = true;
  }

  /* While configurations follow one another, let STRIKE happen and a route be
     added AFTER seconds later.  Expect that all routers serve it in time.  */
  void
  expect_served (const std::function<void ()> &strike, double after)
  {
    ev_tstamp begin = ev_time (), struck = 0, added = 0, last = begin;
    unsigned version = 1;
    std::string route_added = "," + route ("/new/", "safe", "app", 1);

    load ("/new/1", requests_per_s, [&] {
      ev_tstamp now = ev_time ();

      if (struck == 0 && now - begin >= 0.5)
        {
          struck = now;
          strike ();
        }
      if (now - last >= series_s)
        {
          if (added == 0 && struck > 0 && now - struck >= after)
            added = now;
          configure (++version, added > 0 ? route_added : "");
          last = now;
        }
      return added > 0 && now > added + bound_s + 1;
    });
    auto late = [&] (auto &a) {
      return a->sent > added + bound_s && a->status != 200;
    };
    EXPECT_EQ (std::count_if (answers.begin (), answers.end (), late), 0);
    EXPECT_GT (count_answers (404), 0u);
  }
};

} // namespace

TEST_F (ConfigurationLag, WatcherWithoutStoreIsToldByItsDomain)
{
  start_fleet ();
  expect_served ([&] { routers[0]->door->silent = true; }, 0);
}

TEST_F (ConfigurationLag, OthersWatchAsAllWatchersLoseStore)
{
  start_fleet ();
  expect_served ([&] { silence_watchers (); }, 0.1);
}

/* Routers that no longer get an answer are told by others, also when each
   configuration is followed by another one at once.  */
TEST_F (ConfigurationLag, WatchersWithoutStoreAreToldDuringSeries)
{
  start_fleet ();
  expect_served ([&] { silence_watchers (); }, 4);
}
