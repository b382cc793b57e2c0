/* Logs: see mq/log.h.  */

#include <mq/log.h>

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define QUOTE_BUFFERS 4
#define QUOTE_SIZE 512

static GLogLevelFlags threshold = G_LOG_LEVEL_INFO;

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

static GLogWriterOutput
log_write (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
           gpointer data)
{
  const char *message = "";
  gint64 now = g_get_real_time ();
  GDateTime *t = g_date_time_new_from_unix_utc (now / G_USEC_PER_SEC);
  char *stamp = g_date_time_format (t, "%Y-%m-%dT%H:%M:%S");

  (void)data;
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
  if (mq_log_enabled (level & G_LOG_LEVEL_MASK))
    fprintf (stderr, "time=%s.%03dZ level=%s %s\n", stamp,
             (int)(now / 1000 % 1000), log_level_name (level), message);
  g_free (stamp);
  g_date_time_unref (t);
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
  g_log_set_writer_func (log_write, NULL, NULL);
  return 0;
}

gboolean
mq_log_enabled (GLogLevelFlags level)
{
  /* GLib's levels grow as they matter less.  */
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

const char *
mq_log_quote (const char *text)
{
  static char buffers[QUOTE_BUFFERS][QUOTE_SIZE];
  static unsigned next;
  char *out = buffers[next++ % QUOTE_BUFFERS];
  size_t n = 0;

  if (text == NULL)
    text = "";
  if (!log_needs_quote (text) && strlen (text) < QUOTE_SIZE)
    {
      memcpy (out, text, strlen (text) + 1);
      return out;
    }
  out[n++] = '"';
  for (; *text && n < QUOTE_SIZE - 8; text++)
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
