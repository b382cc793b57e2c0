/* Urgency levels of the requests for one service.

   The urgency of a request is a pair of priorities, 0 being the most urgent:
   that of its organisation, or of its route if the organisation has none, and
   that of its route.  The distinct pairs that a configuration can produce for
   a service are sorted and numbered from level 0, the most urgent; the tenth
   and all later pairs share the last level.

   Levels are in force for a service only if its routes have different
   priorities.  They follow from the configuration alone, so routers with the
   same configuration agree on them.  */

#ifndef MQ_URGENCY_H
#define MQ_URGENCY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* As many as engines distinguish.  */
#define MQ_URGENCY_LEVELS 10

/* The largest priority of a route or an organisation.  */
#define MQ_URGENCY_MAX_PRIORITY 1000

/* The level of requests for a service without levels.  */
#define MQ_URGENCY_NONE (-1)

struct mq_routing;
struct mq_route;
struct mq_route_organisation;

typedef struct mq_urgency_pair
{
  unsigned sender; /* Priority of the organisation, or else of the route.  */
  unsigned route;  /* Priority of the route.  */
} mq_urgency_pair;

/* The levels of a service.  Plain data; zero means none.  */
typedef struct mq_urgency
{
  unsigned n;                               /* Levels; 0: not in force.  */
  mq_urgency_pair pairs[MQ_URGENCY_LEVELS]; /* The first N distinct pairs, the
                                               most urgent first.  */
} mq_urgency;

/* Set URGENCY to the levels of the service with index SERVICE in ROUTING.  */
void mq_urgency_init (mq_urgency *urgency, const struct mq_routing *routing,
                      unsigned service);

/* The level of a request by ROUTE of ORGANISATION (NULL: an anonymous client),
   or MQ_URGENCY_NONE if URGENCY is not in force.  */
int mq_urgency_level (const mq_urgency *urgency, const struct mq_route *route,
                      const struct mq_route_organisation *organisation);

G_END_DECLS

#endif
