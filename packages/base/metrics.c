/* Metrics: see mq/metrics.h.

   Families keep the order of their registration, so that the order is stable
   between scrapes.  Invariant: all series of one name are in one family of
   one kind, as the Prometheus text format requires.  */

#include <mq/metrics.h>

#include <string.h>

/* Upper bounds of the buckets, in microseconds.  */
static const uint64_t bounds[]
    = { 100,     250,     500,     1000,     2500,     5000,
        10000,   25000,   50000,   100000,   250000,   500000,
        1000000, 2500000, 5000000, 10000000, 30000000, 60000000 };
#define BOUNDS G_N_ELEMENTS (bounds)

struct mq_histogram
{
  uint64_t buckets[BOUNDS + 1]; /* Not cumulative; the last is unbounded.  */
  uint64_t count;
  uint64_t sum_us;
};

typedef enum metric_kind
{
  METRIC_COUNTER,
  METRIC_GAUGE,
  METRIC_HISTOGRAM
} metric_kind;

typedef struct metric_series
{
  char *labels;
  union
  {
    uint64_t number;
    mq_histogram histogram;
  } u;
} metric_series;

typedef struct metric_family
{
  char *name;
  char *help;
  metric_kind kind;
  GPtrArray *series; /* of metric_series  */
} metric_family;

struct mq_metrics
{
  GPtrArray *families; /* of metric_family  */
};

static void
series_free (gpointer data)
{
  metric_series *s = data;

  g_free (s->labels);
  g_free (s);
}

static void
family_free (gpointer data)
{
  metric_family *f = data;

  g_free (f->name);
  g_free (f->help);
  g_ptr_array_unref (f->series);
  g_free (f);
}

static metric_family *
metrics_family (mq_metrics *metrics, const char *name, const char *help,
                metric_kind kind)
{
  metric_family *f;

  for (guint i = 0; i < metrics->families->len; i++)
    {
      f = metrics->families->pdata[i];
      if (strcmp (f->name, name) == 0)
        {
          g_assert (f->kind == kind);
          return f;
        }
    }
  f = g_new0 (metric_family, 1);
  f->name = g_strdup (name);
  f->help = g_strdup (help);
  f->kind = kind;
  f->series = g_ptr_array_new_with_free_func (series_free);
  g_ptr_array_add (metrics->families, f);
  return f;
}

static metric_series *
metrics_series (mq_metrics *metrics, const char *name, const char *labels,
                const char *help, metric_kind kind)
{
  metric_family *f = metrics_family (metrics, name, help, kind);
  metric_series *s;

  for (guint i = 0; i < f->series->len; i++)
    {
      s = f->series->pdata[i];
      if (strcmp (s->labels, labels) == 0)
        return s;
    }
  s = g_new0 (metric_series, 1);
  s->labels = g_strdup (labels);
  g_ptr_array_add (f->series, s);
  return s;
}

static const char *
kind_name (metric_kind kind)
{
  switch (kind)
    {
    case METRIC_COUNTER:
      return "counter";
    case METRIC_GAUGE:
      return "gauge";
    case METRIC_HISTOGRAM:
      return "histogram";
    }
  return "untyped";
}

static void
number_render (const char *name, const metric_series *s, GString *out)
{
  const char *open = *s->labels ? "{" : "";
  const char *close = *s->labels ? "}" : "";

  g_string_append_printf (out, "%s%s%s%s %" G_GUINT64_FORMAT "\n", name, open,
                          s->labels, close, s->u.number);
}

static void
histogram_render (const char *name, const metric_series *s, GString *out)
{
  const mq_histogram *h = &s->u.histogram;
  const char *comma = *s->labels ? "," : "";
  uint64_t below = 0;

  for (size_t i = 0; i < BOUNDS; i++)
    {
      below += h->buckets[i];
      g_string_append_printf (
          out, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n", name,
          s->labels, comma, (double)bounds[i] / 1e6, below);
    }
  g_string_append_printf (out,
                          "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                          name, s->labels, comma, h->count);
  g_string_append_printf (out, "%s_sum%s%s%s %.6f\n", name,
                          *s->labels ? "{" : "", s->labels,
                          *s->labels ? "}" : "", (double)h->sum_us / 1e6);
  g_string_append_printf (out, "%s_count%s%s%s %" G_GUINT64_FORMAT "\n", name,
                          *s->labels ? "{" : "", s->labels,
                          *s->labels ? "}" : "", h->count);
}

mq_metrics *
mq_metrics_new (void)
{
  mq_metrics *m = g_new0 (mq_metrics, 1);

  m->families = g_ptr_array_new_with_free_func (family_free);
  return m;
}

void
mq_metrics_free (mq_metrics *metrics)
{
  if (metrics == NULL)
    return;
  g_ptr_array_unref (metrics->families);
  g_free (metrics);
}

uint64_t *
mq_metrics_counter (mq_metrics *metrics, const char *name, const char *labels,
                    const char *help)
{
  return &metrics_series (metrics, name, labels, help, METRIC_COUNTER)
              ->u.number;
}

uint64_t *
mq_metrics_gauge (mq_metrics *metrics, const char *name, const char *labels,
                  const char *help)
{
  return &metrics_series (metrics, name, labels, help, METRIC_GAUGE)->u.number;
}

mq_histogram *
mq_metrics_histogram (mq_metrics *metrics, const char *name,
                      const char *labels, const char *help)
{
  return &metrics_series (metrics, name, labels, help, METRIC_HISTOGRAM)
              ->u.histogram;
}

void
mq_histogram_observe (mq_histogram *histogram, uint64_t microseconds)
{
  size_t i = 0;

  while (i < BOUNDS && microseconds > bounds[i])
    i++;
  histogram->buckets[i]++;
  histogram->count++;
  histogram->sum_us += microseconds;
}

uint64_t
mq_histogram_count (const mq_histogram *histogram)
{
  return histogram->count;
}

void
mq_metrics_render (const mq_metrics *metrics, GString *out)
{
  for (guint i = 0; i < metrics->families->len; i++)
    {
      const metric_family *f = metrics->families->pdata[i];

      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n", f->name,
                              f->help, f->name, kind_name (f->kind));
      for (guint k = 0; k < f->series->len; k++)
        if (f->kind == METRIC_HISTOGRAM)
          histogram_render (f->name, f->series->pdata[k], out);
        else
          number_render (f->name, f->series->pdata[k], out);
    }
}
