/* Internal to the membership of the fleet: shared by membership.c,
   member_table.c, heartbeat_pace.c and member_news.c, and by nobody else.

   ACTIONS are of mq_fleet_action, as in mq/fleet.h; what is decided is pushed
   there.  Members are borrowed from the fleet.  Times are in microseconds.  */

#ifndef MQ_INTERNAL_MEMBERSHIP_H
#define MQ_INTERNAL_MEMBERSHIP_H

#include <mq/internal/fleet.h>

G_BEGIN_DECLS

/* Between two heartbeats to a member that is new to us.  */
#define MQ_FLEET_FIRST_PROBE_INTERVAL_US (UINT64_C (250) * 1000)

/* ---- The table of members (member_table.c).  */

/* Push an action of KIND about MEMBER, which may be NULL.  Borrowed from
   ACTIONS, until the next push.  */
mq_fleet_action *mq_fleet_push (GArray *actions, mq_fleet_action_kind kind,
                                const mq_member *member);

/* DATA is an mq_member, owned.  */
void mq_member_free (gpointer data);
/* Put TEXT into *FIELD, unless it is empty or there already.  */
void mq_member_set_text (mq_str **field, mq_span text);

/* Is M in our region, as far as is known?  */
bool mq_fleet_is_in_our_region (const mq_fleet *fleet, const mq_member *m);

/* NULL when there is none; the router itself is never found.  */
mq_member *mq_fleet_lookup (const mq_fleet *fleet, mq_span vm);
mq_member *mq_fleet_lookup_incarnation (const mq_fleet *fleet,
                                        uint64_t incarnation);

/* A new member, not heard from.  VM must not be in the table.  */
mq_member *mq_fleet_add (mq_fleet *fleet, mq_span vm, mq_span address,
                         uint64_t now, GArray *actions);
/* Follow M to ADDRESS, where it is another than before.  */
void mq_fleet_set_address (mq_member *m, mq_span address, GArray *actions);
/* End the connection to ADDRESS.  */
void mq_fleet_disconnect (mq_str *address, GArray *actions);

/* WHY is a literal, kept in the action.  */
void mq_fleet_set_state (mq_fleet *fleet, mq_member *m, mq_member_state to,
                         const char *why, GArray *actions);
void mq_fleet_set_leaving (mq_fleet *fleet, mq_member *m, const char *why,
                           GArray *actions);
/* Another process, INCARNATION, runs at M's VM now.  */
void mq_fleet_set_incarnation (mq_fleet *fleet, mq_member *m,
                               uint64_t incarnation, GArray *actions);

/* ---- The pace of heartbeats (heartbeat_pace.c).  */

/* A hash of the live members as this router sees them.  */
uint64_t mq_fleet_hash_live (const mq_fleet *fleet);
/* Work out again what follows from the members, where the fleet is stale.  */
void mq_fleet_refresh (mq_fleet *fleet, uint64_t now, GArray *actions);
/* Send the heartbeats that are due, or one to each member when ALL.  */
void mq_fleet_send_heartbeats (mq_fleet *fleet, uint64_t now, bool all,
                               GArray *actions);

/* ---- The news of others (member_news.c).  */

/* Tell our region of ABOUT; NULL: of ourselves.  */
void mq_fleet_notify_region (const mq_fleet *fleet, const mq_member *about,
                             GArray *actions);
/* Tell the sender of H all we know, where our views differ for long.  */
void mq_fleet_compare_views (mq_fleet *fleet, const mq_heartbeat *h,
                             uint64_t now, GArray *actions);
/* EVENT is an MQ_FLEET_MEMBER_UPDATES.  */
void mq_fleet_on_member_updates (mq_fleet *fleet, const mq_fleet_event *event,
                                 GArray *actions);

G_END_DECLS

#endif
