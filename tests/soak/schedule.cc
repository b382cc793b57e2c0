#include "schedule.h"

#include <cstdio>

namespace soak
{

static const char *const names[]
    = { "engine-kill", "engine-pause",  "engine-leave",  "router-stop",
        "router-kill", "router-pause",  "configuration", "odd-entry",
        "store-down",  "store-forgets", "store-silent" };
static constexpr unsigned n_names = sizeof names / sizeof *names;

std::vector<Action>
draw_schedule (uint64_t seed, double end_s, unsigned routers, unsigned engines)
{
  Random random (digest ("schedule", seed));
  std::vector<Action> actions;
  double weights[n_names], sum = 0, mean_s = random.between (0.4, 1.5);

  for (double &w : weights)
    sum += w = random.chance (0.2) ? 0.05 : random.between (0.3, 2);
  for (double at = 1; at < end_s; at += random.between (0, 2 * mean_s))
    {
      Action a = {};
      double draw = random.between (0, sum);
      unsigned what = 0;

      while (what + 1 < n_names && (draw -= weights[what]) >= 0)
        what++;
      a.at = at;
      a.what = (Action::What)what;
      a.target = (unsigned)random.below (what <= 2 ? engines : routers);
      a.seconds = random.between (0.05, random.chance (0.8) ? 1.0 : 3.0);
      actions.push_back (a);
      /* Now and then the same happens to several in series.  */
      if (what <= 5 && random.chance (0.2))
        for (unsigned i = 1, n = 1 + (unsigned)random.below (3); i <= n; i++)
          {
            a.at += random.between (0, 0.3);
            a.target = (a.target + 1) % (what <= 2 ? engines : routers);
            if (a.at < end_s)
              actions.push_back (a);
          }
      at = a.at;
    }
  return actions;
}

std::string
action_text (const Action &a)
{
  char s[96];

  snprintf (s, sizeof s, "%8.3f %s %u for %.2f s", a.at, names[(int)a.what],
            a.target, a.seconds);
  return s;
}

static std::string
route_text (const std::string &prefix, const char *kind, const char *service,
            unsigned attempts, unsigned timeout_ms, bool resumable)
{
  return "{\"name\":\"" + prefix.substr (1, prefix.size () - 2)
         + "\",\"host\":\"x.example\",\"pathPrefix\":\"" + prefix
         + "\",\"kind\":\"" + kind
         + "\",\"timeoutMs\":" + std::to_string (timeout_ms)
         + ",\"targetLatencyMs\":300,\"gapTargetMs\":500,\"service\":\""
         + service + "\",\"maxAttempts\":" + std::to_string (attempts)
         + ",\"resumable\":" + (resumable ? "true" : "false") + "}";
}

std::string
configuration_text (uint64_t seed, unsigned version, Routes &routes)
{
  Random random (digest ("configuration " + std::to_string (version), seed));
  const char *safe = random.chance (0.5) ? "app" : "desk";
  const char *unsafe = random.chance (0.5) ? "app" : "desk";
  std::string s
      = "{\"version\":" + std::to_string (version) + ",\"routes\":["
        + route_text ("/safe/", "safe", safe, 2 + (unsigned)random.below (2),
                      3000, true)
        + ","
        + route_text ("/unsafe/", "unsafe", unsafe,
                      1 + (unsigned)random.below (3), 3000, false)
        + ","
        + route_text ("/once/", "streaming", "model",
                      1 + (unsigned)random.below (2), 10000, false)
        + "," + route_text ("/stream/", "streaming", "model", 3, 10000, true);

  routes = { { "/safe/", safe },
             { "/unsafe/", unsafe },
             { "/once/", "model" },
             { "/stream/", "model" } };
  for (size_t i = random.below (4); i > 0; i--)
    {
      routes["/extra" + std::to_string (i) + "/"] = "app";
      s += ","
           + route_text ("/extra" + std::to_string (i) + "/", "safe", "app", 2,
                         3000, true);
    }
  return s
         + "],\"services\":[{\"name\":\"app\"},{\"name\":\"desk\"},"
           "{\"name\":\"model\",\"engine\":{\"slots\":64,\"kvTokenBytes\":"
           "590000,\"step_ms\":0.85,\"read_per_s\":196000,\"layers\":80,"
           "\"layerMb\":1750,\"loads_at_once\":6,\"models\":[{\"name\":\"m\","
           "\"loadS\":2}],\"usual\":{\"prompt\":100,\"answer\":60},\"kinds\":"
           "[{\"name\":\"big\",\"mb\":300000,\"pace\":1,\"readX\":1}]}}],"
           "\"limits\":{\"maxBodyBytes\":65536},\"tenants\":[{\"name\":\"org\""
           ",\"apiKeys\":[\"key-1\""
         + (random.chance (0.5) ? ",\"key-2\"" : "") + "]}]}";
}

std::string
odd_entry_text (Random &random)
{
  static const char *const texts[] = {
    "null",
    "7",
    "[]",
    "{}",
    "\"entry\"",
    "{\"service\":7,\"address\":[],\"state\":\"ready\"}",
    "{\"service\":\"app\",\"address\":\"nowhere\",\"state\":\"ready\"}",
    "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"state\":\"odd\"}",
    "{\"service\":\"other\",\"address\":\"127.0.0.1:1\",\"zone\":\"one\","
    "\"slots\":8,\"state\":\"ready\"}",
    "{\"service\":\"model\",\"layers\":\"all\",\"born\":\"x\"}"
  };

  return texts[random.below (sizeof texts / sizeof *texts)];
}

} // namespace soak
