/* Log: one line of key=value pairs for each event, through GLib's logging.

   A line looks like
     time=2026-12-02T17:39:46.123Z level=info event=request.done request=...
   Values that hold spaces, quotes or control bytes are quoted and escaped.
   Callers must not pass secrets (tokens, tickets, keys) to these functions.

   Lines go to standard error, or to standard output after mq_log_use_stdout.
   Standard output is bounded by a budget of bytes a second and by a backlog
   of bytes that a slow reader has not read yet.  Lines that exceed either
   bound are dropped and counted, and a log line reports their number at most
   once a second; writing never blocks.  The lines of one request may be
   collected in a mq_log_buffer, which is then written or dropped as a whole.

   The log is global to the process and is not thread-safe.  */

#ifndef MQ_LOG_H
#define MQ_LOG_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Route GLib's log to standard error as key=value lines and discard lines
   below LEVEL, one of "error", "warning", "info" and "debug".  May be called
   again to change the level.  Returns 0, or -1 when LEVEL is none of these. */
int mq_log_init (const char *level);

/* Write to standard output from now on, within the bounds above.  A pipe or
   socket on standard output becomes non-blocking.  */
void mq_log_use_stdout (void);

/* Totals of standard output since the start of the process.  */
typedef struct mq_log_counters
{
  uint64_t lines; /* Accepted for writing.  */
  uint64_t bytes; /* Of these lines.  */
  uint64_t lines_dropped;
} mq_log_counters;

/* Returns the counters, which are borrowed and stay up to date.  */
const mq_log_counters *mq_log_get_counters (void);

/* Returns true if lines of LEVEL are written.  Callers use it to skip the
   computation of costly values that would be discarded.  */
gboolean mq_log_enabled (GLogLevelFlags level);

/* Write one line.  EVENT is a dotted name such as "request.done".  FORMAT is a
   printf format of key=value pairs separated by spaces:
     mq_log (G_LOG_LEVEL_INFO, "vm.joined", "vm=%s count=%d", name, n);
   A value that may hold spaces must be passed through mq_log_quote.  */
void mq_log (GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Log lines of one request, written or dropped together.  */
typedef struct mq_log_buffer
{
  GString *lines; /* Complete lines, each with its newline.  */
  unsigned n;     /* Number of lines.  */
} mq_log_buffer;

/* Make BUFFER empty; release it with mq_log_buffer_finish, which discards
   lines that were not flushed.  */
void mq_log_buffer_init (mq_log_buffer *buffer);
void mq_log_buffer_finish (mq_log_buffer *buffer);

/* Add a line with the current time; EVENT and FORMAT are as for mq_log.  Lines
   below the log's level are not added.  */
void mq_log_buffer_append (mq_log_buffer *buffer, GLogLevelFlags level,
                           const char *event, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

/* Write the lines of BUFFER and empty it.  When the budget runs low, a buffer
   that is not NEEDED, because its request succeeded, may be dropped.  HASH, of
   the request's id, selects the buffers that are kept, so that all routers
   keep the lines of the same requests.  */
void mq_log_buffer_flush (mq_log_buffer *buffer, gboolean needed,
                          uint64_t hash);

/* Returns TEXT as a value of a log line: quoted and escaped if it is empty or
   holds spaces, quotes, backslashes, '=' or control bytes, and truncated to
   about 500 bytes.  NULL counts as empty.  The result points into one of four
   static buffers that are used in turn, so it is valid until the fourth call
   after this one.  */
const char *mq_log_quote (const char *text);

G_END_DECLS

#endif
