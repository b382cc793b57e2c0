/* The result of a run as JSON, which `mqload report' and `mqload compare'
   read again.  docs/MEASURES.md tells what each figure means.  */

#ifndef MQ_LOAD_RESULT_H
#define MQ_LOAD_RESULT_H

#include "run.h"

G_BEGIN_DECLS

/* A new reference.  */
json_object *load_result_new (load_run *run);

/* Read the result file PATH.  NULL with ERROR set.  */
json_object *load_result_read (const char *path, GError **error);

/* The number at the dotted PATH; FALLBACK when there is none.  */
double load_result_number (json_object *result, const char *path,
                           double fallback);

/* The string at the dotted PATH; "" when there is none.  Borrowed.  */
const char *load_result_string (json_object *result, const char *path);

/* The value at the dotted PATH, borrowed, or NULL.  */
json_object *load_result_at (json_object *result, const char *path);

G_END_DECLS

#endif
