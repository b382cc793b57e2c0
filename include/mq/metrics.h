/* Metrics: the program's own counters, gauges and latency histograms, and
   their text in the form that Prometheus reads.

   A series is named by a metric's name and its labels.  The pointer that
   registering returns is borrowed and stays valid until the metrics are
   freed, so that counting is one addition.  */

#ifndef MQ_METRICS_H
#define MQ_METRICS_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct mq_metrics mq_metrics;
typedef struct mq_histogram mq_histogram;

mq_metrics *mq_metrics_new (void);
void mq_metrics_free (mq_metrics *metrics);

/* The counter, which only grows, or the gauge of that NAME and LABELS, such
   as "outcome=\"done\"" or "" for none.  Asking again for the same series
   gives the same pointer; HELP is taken from the first ask.  A name belongs
   to one kind of metric.  */
uint64_t *mq_metrics_counter (mq_metrics *metrics, const char *name,
                              const char *labels, const char *help);
uint64_t *mq_metrics_gauge (mq_metrics *metrics, const char *name,
                            const char *labels, const char *help);

/* The latency histogram of that NAME and LABELS; its name should end in
   "_seconds".  */
mq_histogram *mq_metrics_histogram (mq_metrics *metrics, const char *name,
                                    const char *labels, const char *help);

/* Count one span of time of so many microseconds.  */
void mq_histogram_observe (mq_histogram *histogram, uint64_t microseconds);

/* How many spans were counted.  */
uint64_t mq_histogram_count (const mq_histogram *histogram);

/* Append the text of all series to OUT.  */
void mq_metrics_render (const mq_metrics *metrics, GString *out);

G_END_DECLS

#endif
