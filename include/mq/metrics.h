/* Metrics: counters, gauges and latency histograms, rendered in the
   Prometheus text format.

   A series is identified by the name and the labels of its metric.
   Registration returns a borrowed pointer that stays valid until the metrics
   are freed, so that counting is one addition.  */

#ifndef MQ_METRICS_H
#define MQ_METRICS_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_metrics mq_metrics;
typedef struct mq_histogram mq_histogram;

mq_metrics *mq_metrics_new (void);
void mq_metrics_free (mq_metrics *metrics);

/* Register a counter, which must only grow, or a gauge, with NAME and LABELS,
   such as "outcome=\"done\"", or "" for none.  Registering a series again
   returns the same pointer.  HELP is taken from the first registration of
   NAME.  All series of a name must be of one kind.  */
uint64_t *mq_metrics_counter (mq_metrics *metrics, const char *name,
                              const char *labels, const char *help);
uint64_t *mq_metrics_gauge (mq_metrics *metrics, const char *name,
                            const char *labels, const char *help);

/* Register a latency histogram likewise.  NAME should end in "_seconds", the
   unit in which it is rendered.  */
mq_histogram *mq_metrics_histogram (mq_metrics *metrics, const char *name,
                                    const char *labels, const char *help);

/* Count one observed duration, in microseconds.  */
void mq_histogram_observe (mq_histogram *histogram, uint64_t microseconds);

/* Returns the number of observations.  */
uint64_t mq_histogram_count (const mq_histogram *histogram);

/* Append all series to OUT in the Prometheus text format.  */
void mq_metrics_render (const mq_metrics *metrics, GString *out);

G_END_DECLS

#endif
