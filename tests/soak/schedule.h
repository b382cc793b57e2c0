/* What is done to the processes and the store of a soak, and when: drawn from
   the seed before it begins.  */

#ifndef MQ_SOAK_SCHEDULE_H
#define MQ_SOAK_SCHEDULE_H

#include "checker.h"

namespace soak
{

struct Action
{
  enum class What
  {
    EngineKill,    /* Its entry stays for a while.  */
    EnginePause,   /* SIGSTOP for SECONDS.  */
    EngineLeave,   /* Its entry says so, then it ends; another one comes.  */
    RouterStop,    /* SIGTERM, and a start SECONDS after its end.  */
    RouterKill,    /* SIGKILL, and a start after SECONDS.  */
    RouterPause,   /* SIGSTOP for SECONDS.  */
    Configuration, /* A new version.  */
    OddEntry,      /* Another writer's entry appears.  */
    StoreDown,     /* For SECONDS.  */
    StoreForgets,  /* Its history.  */
    StoreSilent    /* Gives one router no answer for SECONDS.  */
  };

  double at; /* Seconds after the start.  */
  What what;
  unsigned target;
  double seconds;
};

/* Actions from 1 s on until END_S, in order.  */
std::vector<Action> draw_schedule (uint64_t seed, double end_s,
                                   unsigned routers, unsigned engines);
std::string action_text (const Action &action);

/* A configuration with VERSION, drawn from the seed, and its routes.  */
std::string configuration_text (uint64_t seed, unsigned version,
                                Routes &routes);
/* An entry of a writer that is not one of the soak's engines.  */
std::string odd_entry_text (Random &random);

} // namespace soak

#endif
