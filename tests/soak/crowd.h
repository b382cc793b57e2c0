/* A crowd of clients that don't behave, before one router of a soak: they send
   requests that never end, or are too large, or nothing, and stay.  None of
   what they send is a request that may run.  */

#ifndef MQ_SOAK_CROWD_H
#define MQ_SOAK_CROWD_H

#include "../support/crowd_client.h"
#include "message.h"

#include <list>

namespace soak
{

struct CrowdPlan
{
  enum class Form
  {
    Silent,
    HeadWithoutEnd,
    ChunksWithoutLast,
    LengthWithoutLastByte,
    LengthOverLimit,
    ChunksOverLimit,
    ChunksOfOneByte,
    ChunkLineWithoutEnd,
    BytesBehindRequest,
    Count
  };

  double at; /* Seconds after the start.  */
  double seconds;
  Form form;
  unsigned router, clients;
  unsigned port; /* Of clients, 0; the readiness check, 1; the directory, 2. */
};

/* Crowds from 1 s on until END_S, in order, drawn from the seed apart from the
   schedule.  */
std::vector<CrowdPlan> draw_crowds (uint64_t seed, double end_s,
                                    unsigned routers);
std::string crowd_text (const CrowdPlan &plan);

class Crowd
{
public:
  /* The clients of PLAN connect to PORT.  */
  Crowd (const CrowdPlan &plan, unsigned port);
  Crowd (const Crowd &) = delete;
  Crowd &operator= (const Crowd &) = delete;

  /* Let more clients connect, and all send and read what they can.  */
  void tick ();

private:
  void connect_one ();

  crowd::Sending sending_;
  unsigned port_, missing_;
  std::list<crowd::CrowdClient> clients_;
};

} // namespace soak

#endif
