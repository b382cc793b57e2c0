/* Logs: one line of key=value pairs for each event, through GLib's logging.

   A line looks like
     time=2026-12-02T17:39:46.123Z level=info event=request.done request=...
   Values that hold spaces, quotes or control bytes are quoted and escaped.
   Secrets (tokens, tickets, keys) are never handed to these functions.

   Lines go to standard error, or to standard output after mq_log_use_stdout.
   There they are bounded: a budget of bytes a second, and a buffer for what a
   slow reader has not taken.  What finds no room is left out and counted, and
   a line says so each second; writing never waits.  Lines of one request may
   be gathered in a mq_log_buffer and are then written, or left out, together.
 */

#ifndef MQ_LOG_H
#define MQ_LOG_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Route GLib's log to standard error as key=value lines and drop what lies
   below LEVEL, one of "error", "warning", "info" and "debug".  Returns 0, or
   -1 when LEVEL is none of these.  */
int mq_log_init (const char *level);

/* Write to standard output from now on, within the bounds above.  */
void mq_log_use_stdout (void);

typedef struct mq_log_counters
{
  uint64_t lines;
  uint64_t bytes;
  uint64_t lines_dropped; /* Lines.  */
} mq_log_counters;

/* Borrowed.  */
const mq_log_counters *mq_log_get_counters (void);

/* True when lines of LEVEL are written, so that costly values need not be
   worked out in vain.  */
gboolean mq_log_enabled (GLogLevelFlags level);

/* Write one line.  EVENT is a dotted name such as "request.done"; then pairs
   of a key and a printf format with its one argument:
     mq_log (G_LOG_LEVEL_INFO, "vm.joined", "vm=%s count=%d", name, n);
   FORMAT is one printf format whose pairs are parted by spaces; a value that
   may hold spaces is written through mq_log_quote.  */
void mq_log (GLogLevelFlags level, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* The lines of one request.  */
typedef struct mq_log_buffer
{
  GString *lines;
  unsigned n;
} mq_log_buffer;

void mq_log_buffer_init (mq_log_buffer *buffer);
void mq_log_buffer_finish (mq_log_buffer *buffer);

/* Add a line, stamped now.  */
void mq_log_buffer_append (mq_log_buffer *buffer, GLogLevelFlags level,
                           const char *event, const char *format, ...)
    G_GNUC_PRINTF (4, 5);

/* Write STORY's lines and empty it.  One that is not NEEDED, since its
   request went well, is left out when the budget runs low, by HASH of the
   request's id: so all routers keep the same requests.  */
void mq_log_buffer_flush (mq_log_buffer *buffer, gboolean needed,
                          uint64_t hash);

/* TEXT as a value of a log line, quoted where it must be.  Returns a pointer
   into one of a few buffers that are used in turn; valid until four more
   calls.  */
const char *mq_log_quote (const char *text);

G_END_DECLS

#endif
