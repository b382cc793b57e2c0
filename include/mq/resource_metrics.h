/* The metrics of what is held for clients (mq/resource_account.h).  */

#ifndef MQ_RESOURCE_METRICS_H
#define MQ_RESOURCE_METRICS_H

#include <mq/metrics.h>
#include <mq/resource_account.h>

G_BEGIN_DECLS

/* Sets the metrics of ACCOUNT in METRICS, and registers them the first time.
 */
void mq_resource_metrics_update (mq_metrics *metrics,
                                 const mq_resource_account *account);

G_END_DECLS

#endif
