/* The routers as mqctl sees them: each asked directly for its status.
   Internal to mqctl.  */

#ifndef MQ_CTL_ROUTERS_H
#define MQ_CTL_ROUTERS_H

#include "ctl.h"

/* One router as asked directly.  */
typedef struct ctl_router
{
  char *base;                 /* http://IP:PORT  */
  struct json_object *status; /* NULL when it did not answer.  */
} ctl_router;

/* 0, or -1 after complaining that no router was named.  */
int ctl_routers_require (const ctl *c);
/* A URL from an address that may lack its scheme; free with g_free.  */
char *ctl_router_base (const char *address);
/* Ask all routers that were named and that those name: a GArray of
   ctl_router.  */
GArray *ctl_routers_query (ctl *c);
/* The members that STATUS names, borrowed, or NULL.  */
struct json_object *ctl_router_members (struct json_object *status);

/* A member of OBJECT; "", 0 or false where it is missing.  */
const char *ctl_json_string (struct json_object *object, const char *key);
uint64_t ctl_json_number (struct json_object *object, const char *key);
bool ctl_json_flag (struct json_object *object, const char *key);

#endif
