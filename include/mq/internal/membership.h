/* Internal to the membership of the fleet: shared by membership.c,
   member_table.c, heartbeat_interval.c and member_update.c only.

   ACTIONS are of mq_fleet_action, as in mq/fleet.h; functions append to them.
   Members are borrowed from the fleet.  Times are in microseconds.  */

#ifndef MQ_INTERNAL_MEMBERSHIP_H
#define MQ_INTERNAL_MEMBERSHIP_H

#include <mq/internal/fleet.h>

G_BEGIN_DECLS

/* Between two heartbeats to a newly added member.  */
#define MQ_FLEET_FIRST_PROBE_INTERVAL_US (UINT64_C (250) * 1000)

/* ---- The table of members (member_table.c).  */

/* Appends an action of KIND about MEMBER, which may be NULL.  The result is
   borrowed from ACTIONS until the next push.  */
mq_fleet_action *mq_fleet_push (GArray *actions, mq_fleet_action_kind kind,
                                const mq_member *member);

/* DATA is an mq_member, owned.  */
void mq_member_free (gpointer data);
/* Sets *FIELD to TEXT, unless TEXT is empty or equal.  */
void mq_member_set_text (mq_str **field, mq_span text);

/* Returns true if M is in our region or its region is unknown.  */
bool mq_fleet_is_in_our_region (const mq_fleet *fleet, const mq_member *m);

/* Return NULL where there is none; they never find the router itself.  */
mq_member *mq_fleet_lookup (const mq_fleet *fleet, mq_span vm);
mq_member *mq_fleet_lookup_incarnation (const mq_fleet *fleet,
                                        uint64_t incarnation);

/* Adds a member of state LISTED.  VM must not be in the table.  */
mq_member *mq_fleet_add (mq_fleet *fleet, mq_span vm, mq_span address,
                         uint64_t now, GArray *actions);
/* Changes M's address to ADDRESS and reconnects, unless it is the same.  */
void mq_fleet_set_address (mq_member *m, mq_span address, GArray *actions);
/* Pushes MQ_FLEET_DISCONNECT with a reference to ADDRESS.  */
void mq_fleet_disconnect (mq_str *address, GArray *actions);

/* WHY must be a literal; the action keeps the pointer.  */
void mq_fleet_set_state (mq_fleet *fleet, mq_member *m, mq_member_state to,
                         const char *why, GArray *actions);
void mq_fleet_set_leaving (mq_fleet *fleet, mq_member *m, const char *why,
                           GArray *actions);
/* Records that another process, INCARNATION, runs on M's VM now.  */
void mq_fleet_set_incarnation (mq_fleet *fleet, mq_member *m,
                               uint64_t incarnation, GArray *actions);

/* ---- Heartbeat intervals (heartbeat_interval.c).  */

/* Returns a hash of the live members as this router sees them.  */
uint64_t mq_fleet_hash_live (const mq_fleet *fleet);
/* Recomputes what follows from the members, if the fleet is stale.  */
void mq_fleet_refresh (mq_fleet *fleet, uint64_t now, GArray *actions);
/* Sends the heartbeats that are due, or one to each member if ALL.  */
void mq_fleet_send_heartbeats (mq_fleet *fleet, uint64_t now, bool all,
                               GArray *actions);

/* ---- Member updates (member_update.c).  */

/* Sends an update about ABOUT to our region; NULL: about this router.  */
void mq_fleet_notify_region (const mq_fleet *fleet, const mq_member *about,
                             GArray *actions);
/* Sends the sender of H all members, if its view differs from ours for some
   time.  */
void mq_fleet_compare_views (mq_fleet *fleet, const mq_heartbeat *h,
                             uint64_t now, GArray *actions);
/* EVENT is of kind MQ_FLEET_MEMBER_UPDATES.  */
void mq_fleet_on_member_updates (mq_fleet *fleet, const mq_fleet_event *event,
                                 GArray *actions);

G_END_DECLS

#endif
