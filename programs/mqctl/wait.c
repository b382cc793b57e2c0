/* Waiting until a generation is in force on every router.  */

#include "routers.h"

#include <inttypes.h>
#include <stdio.h>

#define US_PER_S 1000000
#define WAIT_STEP_US 200000

/* Does this router lag behind GENERATION?  One that is leaving takes no new
   work, so it need not follow.  */
static bool
wait_lags (const ctl_router *s, uint64_t generation)
{
  if (s->status == NULL)
    return true;
  return ctl_json_number (s->status, "generation") < generation
         && !ctl_json_flag (s->status, "draining");
}

static void
wait_name_laggards (const GArray *states, uint64_t generation)
{
  for (guint i = 0; i < states->len; i++)
    {
      const ctl_router *s = &g_array_index (states, ctl_router, i);

      if (!wait_lags (s, generation))
        continue;
      if (s->status == NULL)
        ctl_complain ("%s does not answer", s->base);
      else
        ctl_complain ("%s (%s) is at generation %" PRIu64,
                      ctl_json_string (s->status, "name"), s->base,
                      ctl_json_number (s->status, "generation"));
    }
}

int
ctl_wait (ctl *c, uint64_t generation)
{
  uint64_t start = ctl_now_us (c);
  uint64_t limit = start + (uint64_t)(c->options.timeout_s * US_PER_S);

  if (ctl_routers_need (c) < 0)
    return CTL_USAGE;
  for (;;)
    {
      /* A round that began in time may hold old answers when it ends. */
      bool late = ctl_now_us (c) >= limit;
      GArray *states = ctl_routers_ask (c);
      guint lagging = 0;
      guint n = states->len;

      for (guint i = 0; i < n; i++)
        if (wait_lags (&g_array_index (states, ctl_router, i), generation))
          lagging++;
      if (lagging > 0 && late)
        wait_name_laggards (states, generation);
      g_array_unref (states);
      if (lagging == 0)
        {
          if (!c->options.json)
            printf ("in force on %u routers after %.1f s\n", n,
                    (double)(ctl_now_us (c) - start) / US_PER_S);
          return CTL_OK;
        }
      if (late)
        return CTL_LAGGING;
      ctl_sleep (c, WAIT_STEP_US);
    }
}
