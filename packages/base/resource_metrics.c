/* The metrics of what is held for clients: see mq/resource_metrics.h.  */

#include <mq/resource_metrics.h>

void
mq_resource_metrics_update (mq_metrics *metrics,
                            const mq_resource_account *account)
{
  char labels[64];

  *mq_metrics_gauge (metrics, "marjoramquay_held_bytes", "",
                     "Memory held for clients.")
      = account->held;
  *mq_metrics_gauge (metrics, "marjoramquay_held_limit_bytes", "",
                     "How much of it there may be.")
      = account->memory;
  for (int i = 0; i < MQ_RESOURCE_BUSY; i++)
    {
      g_snprintf (labels, sizeof labels, "state=\"%s\"",
                  mq_resource_state_name (i));
      *mq_metrics_counter (
          metrics, "marjoramquay_evictions_total", labels,
          "Connections closed for want of memory or descriptors.")
          = account->evictions[i];
    }
  *mq_metrics_counter (metrics, "marjoramquay_memory_refusals_total", "",
                       "Connections and requests that were not taken for want "
                       "of memory or descriptors.")
      = account->refusals;
}
