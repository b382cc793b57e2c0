/* Status of all routers, each queried directly.  Internal to mqctl.  */

#ifndef MQ_CTL_ROUTERS_H
#define MQ_CTL_ROUTERS_H

#include "ctl.h"

/* A router and its own status.  */
typedef struct ctl_router
{
  char *base;                 /* http://IP:PORT  */
  struct json_object *status; /* NULL if it did not respond.  */
} ctl_router;

/* Returns 0, or -1 with an error printed if no router address was given.  */
int ctl_routers_require (const ctl *c);
/* Returns the URL of ADDRESS, which may lack its scheme; free with g_free.  */
char *ctl_router_base (const char *address);
/* Query the status of the given routers and, transitively, of the members that
   they report.  Returns a new GArray of ctl_router.  */
GArray *ctl_routers_query (ctl *c);
/* Returns the array of members in STATUS, borrowed, or NULL.  */
struct json_object *ctl_router_members (struct json_object *status);

/* Return the value at KEY of OBJECT; "", 0 or false if it is missing.  A
   string is borrowed.  Strings and numbers of another type count as missing.
 */
const char *ctl_json_string (struct json_object *object, const char *key);
uint64_t ctl_json_number (struct json_object *object, const char *key);
bool ctl_json_flag (struct json_object *object, const char *key);

#endif
