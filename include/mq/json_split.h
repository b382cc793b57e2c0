/* Splits JSON text into the values of its outermost object or array, without
   reading these values.

   Text from elsewhere can thus be read piece by piece, so that a piece that
   can't be read costs no other.  Nesting is counted, not followed, and has no
   limit.  A value is only delimited, not checked: the caller parses it, with
   the limits of its parser.

   The module is pure and allocates nothing.  All spans are borrowed from the
   text.  */

#ifndef MQ_JSON_SPLIT_H
#define MQ_JSON_SPLIT_H

#include <glib.h>
#include <mq/str.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef struct mq_json_split
{
  const char *at;
  const char *end;
  char close;   /* The bracket that ends the text.  */
  bool first;   /* No value was returned yet.  */
  bool broken;  /* The text ends early, or is no object or array.  */
  bool goes_on; /* Something follows the object or array.  */
} mq_json_split;

/* Begins to split TEXT, an object.  */
void mq_json_split_object (mq_json_split *split, mq_span text);
/* Begins to split TEXT, an array.  */
void mq_json_split_array (mq_json_split *split, mq_span text);

/* Returns the next member of an object: its KEY without quotes, with escapes
   as they are, and its VALUE.  Returns false at the end, and sets BROKEN if
   the text is incomplete there.  */
bool mq_json_split_member (mq_json_split *split, mq_span *key, mq_span *value);
/* The same for the next element of an array.  */
bool mq_json_split_element (mq_json_split *split, mq_span *value);

/* Returns true if the end was reached and TEXT is one object or array without
   anything after it.  */
bool mq_json_split_is_whole (const mq_json_split *split);

G_END_DECLS

#endif
