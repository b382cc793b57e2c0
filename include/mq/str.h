/* Length-counted strings.

   Two kinds are enough everywhere: a span, which is a borrowed view that
   owns nothing, and a string, which is immutable and counted by reference.
   Growing text is built in GLib's GString, which counts its length too.
   Invariant: the bytes of a string are followed by one NUL that its size
   does not count, so that a string without inner NULs can be handed to C
   interfaces.  */

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

/* An immutable string, counted by reference.  */
typedef struct mq_str
{
  unsigned refs;
  size_t size;
  char data[];
} mq_str;

/* A span over a string literal.  */
#define MQ_SPAN(literal) ((mq_span){ (literal), sizeof (literal) - 1 })

/* printf arguments for "%.*s".  */
#define MQ_SPAN_ARG(span) (int)(span).size, (span).data ? (span).data : ""

/* A span over the C string TEXT; NULL gives the empty span.  */
mq_span mq_span_from (const char *text);

/* True when both hold the same bytes.  */
bool mq_span_equal (mq_span a, mq_span b);

/* Below, at or above 0 as A sorts before, with or after B, by bytes.  */
int mq_span_compare (mq_span a, mq_span b);

/* True when SPAN begins with PREFIX.  */
bool mq_span_starts_with (mq_span span, mq_span prefix);

/* Read SPAN as a decimal number into *VALUE.  Returns 0, or -1 when SPAN is
   empty, holds anything but digits, or does not fit.  */
int mq_span_to_u64 (mq_span span, uint64_t *value);

/* A 64-bit hash of SPAN, the same on every machine and in every run.  It is
   used for rendezvous hashing, so its values are part of the protocol.  */
uint64_t mq_span_hash (mq_span span);

/* Mix two 64-bit hashes into one.  */
uint64_t mq_hash_mix (uint64_t a, uint64_t b);

/* A new reference to a new string that holds a copy of SPAN.  */
mq_str *mq_str_new (mq_span span);

/* A new string from a printf format.  */
mq_str *mq_str_printf (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* A new reference to STR, which may be NULL.  */
mq_str *mq_str_ref (mq_str *str);

/* Give up one reference to STR, which may be NULL.  */
void mq_str_unref (mq_str *str);

/* A borrowed view of STR; NULL gives the empty span.  */
mq_span mq_str_span (const mq_str *str);

/* The bytes of STR as a C string; NULL gives "".  Borrowed.  */
const char *mq_str_cstr (const mq_str *str);

G_END_DECLS

#endif
