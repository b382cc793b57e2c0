/* Logs: one line of key=value pairs for each event, through GLib's logging.

   A line looks like
     time=2026-12-02T17:39:46.123Z level=info event=request.done request=...
   Values that hold spaces, quotes or control bytes are quoted and escaped.
   Secrets (tokens, tickets, keys) are never handed to these functions.  */

#ifndef MQ_LOG_H
#define MQ_LOG_H

#include <glib.h>

G_BEGIN_DECLS

/* Route GLib's log to standard error as key=value lines and drop what lies
   below LEVEL, one of "error", "warning", "info" and "debug".  Returns 0, or
   -1 when LEVEL is none of these.  */
int mq_log_init (const char *level);

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

/* TEXT as a value of a log line, quoted where it must be.  Returns a pointer
   into one of a few buffers that are used in turn; valid until four more
   calls.  */
const char *mq_log_quote (const char *text);

G_END_DECLS

#endif
