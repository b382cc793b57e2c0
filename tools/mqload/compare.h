/* Results side by side.  */

#ifndef MQ_LOAD_COMPARE_H
#define MQ_LOAD_COMPARE_H

#include <json-c/json.h>

/* Print the main figures of A and B and their quotient.  */
void load_compare (json_object *a, json_object *b);

/* Print the main figures of RESULT, a line each.  */
void load_summary (json_object *result);

#endif
