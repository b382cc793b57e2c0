/* Waits until a generation is in force on every router.  */

#include "routers.h"

#include <inttypes.h>
#include <stdio.h>

#define US_PER_S 1000000
#define WAIT_INTERVAL_US 200000

/* Returns true if ROUTER lags behind GENERATION.  A draining router takes no
   new work, so it does not count as lagging.  */
static bool
wait_is_lagging (const ctl_router *router, uint64_t generation)
{
  if (router->status == NULL)
    return true;
  return ctl_json_number (router->status, "generation") < generation
         && !ctl_json_flag (router->status, "draining");
}

static void
wait_print_lagging (const GArray *routers, uint64_t generation)
{
  for (guint i = 0; i < routers->len; i++)
    {
      const ctl_router *s = &g_array_index (routers, ctl_router, i);

      if (!wait_is_lagging (s, generation))
        continue;
      if (s->status == NULL)
        ctl_print_error ("%s does not answer", s->base);
      else
        ctl_print_error (
            "%s (%s) is still at generation %" PRIu64 ", expected %" PRIu64,
            ctl_json_string (s->status, "name"), s->base,
            ctl_json_number (s->status, "generation"), generation);
    }
}

int
ctl_wait (ctl *c, uint64_t generation)
{
  uint64_t start = ctl_now_us (c);
  uint64_t limit = start + (uint64_t)(c->options.timeout_s * US_PER_S);

  if (ctl_routers_require (c) < 0)
    return CTL_USAGE;
  for (;;)
    {
      /* A round that began in time may end with outdated responses, so the
         timeout is checked before it.  */
      bool late = ctl_now_us (c) >= limit;
      GArray *routers = ctl_routers_query (c);
      guint lagging = 0;
      guint n = routers->len;

      for (guint i = 0; i < n; i++)
        if (wait_is_lagging (&g_array_index (routers, ctl_router, i),
                             generation))
          lagging++;
      if (lagging > 0 && late)
        wait_print_lagging (routers, generation);
      g_array_unref (routers);
      if (lagging == 0)
        {
          if (!c->options.json)
            printf ("in force on %u routers after %.1f s\n", n,
                    (double)(ctl_now_us (c) - start) / US_PER_S);
          return CTL_OK;
        }
      if (late)
        return CTL_LAGGING;
      ctl_sleep (c, WAIT_INTERVAL_US);
    }
}
