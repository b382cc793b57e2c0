/* An engine of the soak: a process that writes the bytes of its answers
   itself, so that a signal ends it as it ends a real engine.  It holds all
   layers of the model, or is an instance of a plain service.  */

#ifndef MQ_SOAK_ENGINE_H
#define MQ_SOAK_ENGINE_H

#include <cstdint>
#include <string>

namespace soak
{

struct EngineOptions
{
  std::string id, service;
  bool is_model = false;
  uint64_t seed = 0;
  uint64_t born_ms = 0; /* Unix time of its start.  */
  int listener = -1;
  int reports = -1; /* A pipe that takes its lines.  */
};

/* Serve until SIGTERM.  Returns the exit status.  */
int run_engine (const EngineOptions &options);

} // namespace soak

#endif
