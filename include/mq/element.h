/* Elements of a request: what of it may crash the upstream that runs it.

   An element is either the whole request, by the hash of its content, or a
   part of its prompt that other requests may have as well.  Both are numbers
   that are the same at each router, and never 0; the highest bit tells them
   apart.  A part keeps the platform's id, so that operators find it in logs
   and in the store.  */

#ifndef MQ_ELEMENT_H
#define MQ_ELEMENT_H

#include <glib.h>
#include <mq/str.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Size of the text of an element, with its final NUL.  */
#define MQ_ELEMENT_TEXT_SIZE 25

/* The elements of one request, borrowed.  */
typedef struct mq_element_set
{
  const uint64_t *ids;
  size_t n;
} mq_element_set;

/* Returns the element for a request whose content has the hash HASH
   (mq/content_hash.h).  */
uint64_t mq_element_of_content (uint64_t hash);
/* Returns the element for the part of a prompt with the hexadecimal ID.  An id
   of more than 15 digits, or with other characters, is hashed.  */
uint64_t mq_element_of_part (mq_span id);
bool mq_element_is_part (uint64_t element);
/* Returns true if ELEMENT is one of SET.  */
bool mq_element_set_has (mq_element_set set, uint64_t element);
/* Write "content=HASH" or "part=ID" to TEXT and return it.  */
const char *mq_element_format (uint64_t element,
                               char text[MQ_ELEMENT_TEXT_SIZE]);

G_END_DECLS

#endif
