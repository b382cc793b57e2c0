/* Log: see mq/log.h.

   Invariant: the backlog holds whole accepted lines, except that its first
   line may have been written in part; a line is dropped only as a whole.  */

#include <mq/log.h>

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define QUOTE_BUFFERS 4
#define QUOTE_BUFFER_BYTES 512

/* Token bucket for the bytes written to standard output.  A router under calm
   load writes some 15 kB a second.  */
#define BUDGET_BYTES_PER_S 65536.0
#define BUDGET_BURST_BYTES 262144.0
/* Below this share of the burst, buffers that are not needed are sampled.  */
#define LOW_BUDGET_RATIO 0.5
#define SAMPLE_ONE_IN 8 /* By the hash of the request's id.  */
/* Limit of the bytes that the reader has not taken yet.  */
#define MAX_BACKLOG_BYTES ((size_t)256 * 1024)

typedef struct log_output
{
  gboolean active;
  GString *backlog;
  double budget_bytes; /* Left in the token bucket.  */
  gint64 filled_us;    /* Time of the last refill.  */
  gint64 reported_us;  /* Time of the last report of dropped lines.  */
  uint64_t reported;   /* Dropped lines that reports have covered.  */
  mq_log_counters counters;
} log_output;

static GLogLevelFlags threshold = G_LOG_LEVEL_INFO;
static log_output output;

static const char *
log_level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  return "info";
}

/* Append a line with MESSAGE, the time and LEVEL to OUT.  */
static void
log_append (GString *out, GLogLevelFlags level, const char *message)
{
  gint64 now = g_get_real_time ();
  GDateTime *t = g_date_time_new_from_unix_utc (now / G_USEC_PER_SEC);
  char *stamp = g_date_time_format (t, "%Y-%m-%dT%H:%M:%S");

  g_string_append_printf (out, "time=%s.%03dZ level=%s %s\n", stamp,
                          (int)(now / 1000 % 1000), log_level_name (level),
                          message);
  g_free (stamp);
  g_date_time_unref (t);
}

/* ---- Standard output ----  */

static void
output_refill (void)
{
  gint64 now = g_get_monotonic_time ();

  output.budget_bytes += (double)(now - output.filled_us) / G_USEC_PER_SEC
                         * BUDGET_BYTES_PER_S;
  output.budget_bytes = MIN (output.budget_bytes, BUDGET_BURST_BYTES);
  output.filled_us = now;
}

/* Write as much of the backlog as standard output accepts without blocking.
 */
static void
output_drain (void)
{
  while (output.backlog->len > 0)
    {
      ssize_t n
          = write (STDOUT_FILENO, output.backlog->str, output.backlog->len);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return;
      g_string_erase (output.backlog, 0, n);
    }
}

static void
output_put (const char *text, size_t size, unsigned lines)
{
  if (output.budget_bytes < (double)size
      || output.backlog->len + size > MAX_BACKLOG_BYTES)
    {
      output.counters.lines_dropped += lines;
      return;
    }
  output.budget_bytes -= (double)size;
  output.counters.lines += lines;
  output.counters.bytes += size;
  g_string_append_len (output.backlog, text, (gssize)size);
}

/* Log the number of newly dropped lines, at most once a second.  */
static void
output_report_dropped (void)
{
  uint64_t n = output.counters.lines_dropped - output.reported;
  GString *line;
  char *message;

  if (n == 0 || output.filled_us - output.reported_us < G_USEC_PER_SEC)
    return;
  output.reported_us = output.filled_us;
  output.reported = output.counters.lines_dropped;
  line = g_string_new (NULL);
  message = g_strdup_printf ("event=log.left-out lines=%" G_GUINT64_FORMAT, n);
  log_append (line, G_LOG_LEVEL_WARNING, message);
  output_put (line->str, line->len, 1);
  g_free (message);
  g_string_free (line, TRUE);
}

static void
output_write (const char *text, size_t size, unsigned lines)
{
  if (!output.active)
    {
      (void)fwrite (text, 1, size, stderr);
      return;
    }
  output_refill ();
  output_report_dropped ();
  output_put (text, size, lines);
  output_drain ();
}

static GLogWriterOutput
log_write (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
           gpointer data)
{
  const char *message = "";
  GString *line;

  (void)data;
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
  if (!mq_log_enabled (level & G_LOG_LEVEL_MASK))
    return G_LOG_WRITER_HANDLED;
  line = g_string_new (NULL);
  log_append (line, level, message);
  output_write (line->str, line->len, 1);
  g_string_free (line, TRUE);
  return G_LOG_WRITER_HANDLED;
}

static gboolean
log_needs_quote (const char *text)
{
  if (*text == '\0')
    return TRUE;
  for (; *text; text++)
    if (*text <= ' ' || *text == '"' || *text == '=' || *text == '\\'
        || *text == 0x7f)
      return TRUE;
  return FALSE;
}

int
mq_log_init (const char *level)
{
  static gboolean is_set;

  if (strcmp (level, "error") == 0)
    threshold = G_LOG_LEVEL_CRITICAL;
  else if (strcmp (level, "warning") == 0)
    threshold = G_LOG_LEVEL_WARNING;
  else if (strcmp (level, "info") == 0)
    threshold = G_LOG_LEVEL_INFO;
  else if (strcmp (level, "debug") == 0)
    threshold = G_LOG_LEVEL_DEBUG;
  else
    return -1;
  if (!is_set)
    g_log_set_writer_func (log_write, NULL, NULL);
  is_set = TRUE; /* GLib aborts if the function is set twice.  */
  return 0;
}

void
mq_log_use_stdout (void)
{
  struct stat status;

  if (output.active)
    return;
  /* Otherwise write would block while the reader of a pipe or socket is
     slow.  */
  if (fstat (STDOUT_FILENO, &status) == 0
      && (S_ISFIFO (status.st_mode) || S_ISSOCK (status.st_mode)))
    (void)fcntl (STDOUT_FILENO, F_SETFL,
                 fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  output.active = TRUE;
  output.backlog = g_string_new (NULL);
  output.budget_bytes = BUDGET_BURST_BYTES;
  output.filled_us = g_get_monotonic_time ();
}

const mq_log_counters *
mq_log_get_counters (void)
{
  return &output.counters;
}

gboolean
mq_log_enabled (GLogLevelFlags level)
{
  /* GLib's levels grow with decreasing severity.  */
  return level <= threshold;
}

void
mq_log (GLogLevelFlags level, const char *event, const char *format, ...)
{
  va_list args;
  char *pairs;

  if (!mq_log_enabled (level))
    return;
  va_start (args, format);
  pairs = g_strdup_vprintf (format, args);
  va_end (args);
  g_log_structured ("marjoramquay", level, "MESSAGE", "event=%s%s%s", event,
                    *pairs ? " " : "", pairs);
  g_free (pairs);
}

void
mq_log_buffer_init (mq_log_buffer *buffer)
{
  buffer->lines = g_string_new (NULL);
  buffer->n = 0;
}

void
mq_log_buffer_finish (mq_log_buffer *buffer)
{
  g_string_free (buffer->lines, TRUE);
  buffer->lines = NULL;
}

void
mq_log_buffer_append (mq_log_buffer *buffer, GLogLevelFlags level,
                      const char *event, const char *format, ...)
{
  GString *message;
  va_list args;

  if (!mq_log_enabled (level))
    return;
  message = g_string_new ("event=");
  g_string_append (message, event);
  g_string_append_c (message, ' ');
  va_start (args, format);
  g_string_append_vprintf (message, format, args);
  va_end (args);
  log_append (buffer->lines, level, message->str);
  buffer->n++;
  g_string_free (message, TRUE);
}

void
mq_log_buffer_flush (mq_log_buffer *buffer, gboolean needed, uint64_t hash)
{
  gboolean is_low;

  if (output.active)
    output_refill ();
  is_low = output.active
           && output.budget_bytes < BUDGET_BURST_BYTES * LOW_BUDGET_RATIO;
  if (needed || !is_low || hash % SAMPLE_ONE_IN == 0)
    output_write (buffer->lines->str, buffer->lines->len, buffer->n);
  else
    output.counters.lines_dropped += buffer->n;
  g_string_truncate (buffer->lines, 0);
  buffer->n = 0;
}

const char *
mq_log_quote (const char *text)
{
  static char buffers[QUOTE_BUFFERS][QUOTE_BUFFER_BYTES];
  static unsigned next;
  char *out = buffers[next++ % QUOTE_BUFFERS];
  size_t n = 0;

  if (text == NULL)
    text = "";
  if (!log_needs_quote (text) && strlen (text) < QUOTE_BUFFER_BYTES)
    {
      memcpy (out, text, strlen (text) + 1);
      return out;
    }
  out[n++] = '"';
  for (; *text && n < QUOTE_BUFFER_BYTES - 8; text++)
    {
      unsigned char c = (unsigned char)*text;

      if (c == '"' || c == '\\')
        out[n++] = '\\';
      if (c < ' ' || c == 0x7f)
        n += (size_t)snprintf (out + n, 5, "\\x%02x", c);
      else
        out[n++] = (char)c;
    }
  out[n++] = '"';
  out[n] = '\0';
  return out;
}
