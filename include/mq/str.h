/* Length-counted strings.

   There are two kinds: a span, which is a borrowed view that owns nothing, and
   a string, which is immutable and reference-counted.  Text that grows is
   built in GLib's GString.  Invariant: the bytes of a string are followed by
   one NUL that its size does not count, so that a string without embedded
   NULs can be passed to C interfaces.  Reference counts are not atomic.  */

#ifndef MQ_STR_H
#define MQ_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A borrowed view of SIZE bytes.  DATA may be NULL only when SIZE is 0.  */
typedef struct mq_span
{
  const char *data;
  size_t size;
} mq_span;

/* An immutable, reference-counted string.  */
typedef struct mq_str
{
  unsigned refs;
  size_t size;
  char data[];
} mq_str;

/* The span of a string literal.  */
#define MQ_SPAN(literal) ((mq_span){ (literal), sizeof (literal) - 1 })

/* The arguments for "%.*s" of printf.  */
#define MQ_SPAN_ARG(span) (int)(span).size, (span).data ? (span).data : ""

/* Returns a span over the C string TEXT; NULL gives the empty span.  */
mq_span mq_span_from (const char *text);

/* Returns true if A and B hold the same bytes.  */
bool mq_span_equal (mq_span a, mq_span b);

/* Compares by bytes.  Returns a negative number, 0 or a positive number as A
   sorts before, equal to or after B.  */
int mq_span_compare (mq_span a, mq_span b);

/* Returns true if SPAN begins with PREFIX.  */
bool mq_span_starts_with (mq_span span, mq_span prefix);

/* Returns SPAN without the ASCII white space at its ends.  */
mq_span mq_span_trim (mq_span span);

/* Parse SPAN as a decimal number into *VALUE.  Returns 0, or -1 if SPAN is
   empty, holds anything but digits, or overflows; *VALUE is then not set.  */
int mq_span_to_u64 (mq_span span, uint64_t *value);

/* Returns a 64-bit hash of SPAN that is the same on every machine and in every
   run.  Routers use it for rendezvous hashing, so its values are part of the
   protocol.  It is not cryptographic.  */
uint64_t mq_span_hash (mq_span span);

/* Returns a hash that combines A and B, in this order.  */
uint64_t mq_hash_mix (uint64_t a, uint64_t b);

/* Returns a new string that holds a copy of SPAN.  */
mq_str *mq_str_new (mq_span span);

/* Returns a new string made from a printf format.  */
mq_str *mq_str_printf (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* Take a reference to STR, which may be NULL, and return it.  */
mq_str *mq_str_ref (mq_str *str);

/* Release one reference to STR, which may be NULL.  */
void mq_str_unref (mq_str *str);

/* Returns a borrowed view of STR; NULL gives the empty span.  */
mq_span mq_str_span (const mq_str *str);

/* Returns the bytes of STR as a borrowed C string; NULL gives "".  */
const char *mq_str_cstr (const mq_str *str);

G_END_DECLS

#endif
