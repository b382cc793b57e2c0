/* Urgency levels from the configuration: see mq/urgency.h.  */

#include <mq/urgency.h>

#include <mq/routing.h>
#include <string.h>

static int
pair_compare (mq_urgency_pair a, mq_urgency_pair b)
{
  if (a.sender != b.sender)
    return a.sender < b.sender ? -1 : 1;
  if (a.route != b.route)
    return a.route < b.route ? -1 : 1;
  return 0;
}

static mq_urgency_pair
request_pair (const mq_route *route, const mq_route_organisation *organisation)
{
  bool own = organisation != NULL && organisation->has_priority;

  return (mq_urgency_pair){ own ? organisation->priority : route->priority,
                            route->priority };
}

/* Returns the index of the first pair of URGENCY that is not more urgent than
   PAIR; the number of pairs if there is none.  */
static unsigned
urgency_find (const mq_urgency *urgency, mq_urgency_pair pair)
{
  unsigned i = 0;

  while (i < urgency->n && pair_compare (urgency->pairs[i], pair) < 0)
    i++;
  return i;
}

/* Add PAIR unless it is known or less urgent than a full list.  */
static void
urgency_add (mq_urgency *urgency, mq_urgency_pair pair)
{
  unsigned at = urgency_find (urgency, pair);

  if (at == MQ_URGENCY_LEVELS
      || (at < urgency->n && pair_compare (urgency->pairs[at], pair) == 0))
    return;
  urgency->n = MIN (urgency->n + 1, MQ_URGENCY_LEVELS);
  memmove (&urgency->pairs[at + 1], &urgency->pairs[at],
           (urgency->n - 1 - at) * sizeof urgency->pairs[0]);
  urgency->pairs[at] = pair;
}

/* Add the pairs of the requests that may come by ROUTE.  */
static void
urgency_add_route (mq_urgency *urgency, const mq_routing *routing,
                   const mq_route *route)
{
  const GArray *list = routing->organisations;

  if (route->anonymous || list->len == 0)
    urgency_add (urgency, request_pair (route, NULL));
  for (guint i = 0; i < list->len; i++)
    urgency_add (
        urgency,
        request_pair (route, &g_array_index (list, mq_route_organisation, i)));
}

static bool
route_leads_to (const mq_route *route, unsigned service)
{
  for (guint i = 0; i < route->shares->len; i++)
    {
      const mq_route_share *s
          = &g_array_index (route->shares, mq_route_share, i);

      if (s->service == service && s->weight > 0)
        return true;
    }
  return false;
}

void
mq_urgency_init (mq_urgency *urgency, const mq_routing *routing,
                 unsigned service)
{
  const mq_route *first = NULL;
  bool differ = false;

  memset (urgency, 0, sizeof *urgency);
  for (guint i = 0; i < routing->routes->len; i++)
    {
      const mq_route *r = &g_array_index (routing->routes, mq_route, i);

      if (!route_leads_to (r, service))
        continue;
      if (first == NULL)
        first = r;
      differ |= r->priority != first->priority;
      urgency_add_route (urgency, routing, r);
    }
  if (!differ)
    urgency->n = 0;
}

int
mq_urgency_level (const mq_urgency *urgency, const mq_route *route,
                  const mq_route_organisation *organisation)
{
  if (urgency->n == 0)
    return MQ_URGENCY_NONE;
  return (int)MIN (urgency_find (urgency, request_pair (route, organisation)),
                   MQ_URGENCY_LEVELS - 1);
}
