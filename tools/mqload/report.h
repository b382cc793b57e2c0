/* One self-contained HTML page with plots over some results.  */

#ifndef MQ_LOAD_REPORT_H
#define MQ_LOAD_REPORT_H

#include <glib.h>

/* Write the page over RESULTS, an array of borrowed json_object, to PATH.
   Returns 0, or -1 with ERROR set.  */
int load_report_write (const char *path, const GPtrArray *results,
                       GError **error);

#endif
