/* Internal to the fleet: shared by the membership files
   (mq/internal/membership.h), ownership.c and discovery.c only.  */

#ifndef MQ_INTERNAL_FLEET_H
#define MQ_INTERNAL_FLEET_H

#include <mq/fleet.h>

G_BEGIN_DECLS

struct mq_fleet
{
  GPtrArray *members; /* of mq_member, owned, sorted by name  */
  mq_member *self;    /* Owned; not in MEMBERS.  */
  mq_heartbeat_intervals intervals;
  uint32_t heartbeat_bytes;
  uint64_t fixed_interval_us;
  uint64_t last_us;         /* Of the last event; 0: none yet.  */
  uint64_t rejoin_until_us; /* 0: not rejoining.  */
  uint64_t rejoin_sequence; /* Of our first heartbeat after a pause.  */
  uint32_t received_since_pause;
  uint64_t hash; /* Hash of the live members.  */
  uint64_t dropped;
  bool stale; /* The intervals, the hash and the owners must be recomputed.  */
};

/* Returns true if MEMBER may be an owner or a listed entry of our region.  */
bool mq_fleet_is_eligible (const mq_fleet *fleet, const mq_member *member);

G_END_DECLS

#endif
