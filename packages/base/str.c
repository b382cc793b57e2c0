/* Length-counted strings: see mq/str.h.  */

#include <mq/str.h>

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#define FNV_OFFSET UINT64_C (14695981039346656037)
#define FNV_PRIME UINT64_C (1099511628211)

mq_span
mq_span_from (const char *text)
{
  if (text == NULL)
    return (mq_span){ NULL, 0 };
  return (mq_span){ text, strlen (text) };
}

bool
mq_span_equal (mq_span a, mq_span b)
{
  return a.size == b.size
         && (a.size == 0 || memcmp (a.data, b.data, a.size) == 0);
}

int
mq_span_compare (mq_span a, mq_span b)
{
  size_t n = MIN (a.size, b.size);
  int c = n == 0 ? 0 : memcmp (a.data, b.data, n);

  if (c != 0)
    return c;
  return (a.size > b.size) - (a.size < b.size);
}

bool
mq_span_starts_with (mq_span span, mq_span prefix)
{
  if (span.size < prefix.size)
    return false;
  return prefix.size == 0 || memcmp (span.data, prefix.data, prefix.size) == 0;
}

mq_span
mq_span_trim (mq_span span)
{
  while (span.size > 0 && g_ascii_isspace (span.data[0]))
    {
      span.data++;
      span.size--;
    }
  while (span.size > 0 && g_ascii_isspace (span.data[span.size - 1]))
    span.size--;
  return span;
}

int
mq_span_to_u64 (mq_span span, uint64_t *value)
{
  uint64_t v = 0;

  if (span.size == 0)
    return -1;
  for (size_t i = 0; i < span.size; i++)
    {
      unsigned d = (unsigned char)span.data[i] - (unsigned)'0';

      if (d > 9 || v > (UINT64_MAX - d) / 10)
        return -1;
      v = v * 10 + d;
    }
  *value = v;
  return 0;
}

uint64_t
mq_hash_mix (uint64_t a, uint64_t b)
{
  uint64_t h = a ^ (b + UINT64_C (0x9e3779b97f4a7c15) + (a << 6) + (a >> 2));

  h ^= h >> 30;
  h *= UINT64_C (0xbf58476d1ce4e5b9);
  h ^= h >> 27;
  h *= UINT64_C (0x94d049bb133111eb);
  return h ^ (h >> 31);
}

uint64_t
mq_span_hash (mq_span span)
{
  uint64_t h = FNV_OFFSET;

  for (size_t i = 0; i < span.size; i++)
    h = (h ^ (unsigned char)span.data[i]) * FNV_PRIME;
  return mq_hash_mix (h, span.size);
}

mq_str *
mq_str_new (mq_span span)
{
  mq_str *s = g_malloc (sizeof *s + span.size + 1);

  s->refs = 1;
  s->size = span.size;
  if (span.size > 0)
    memcpy (s->data, span.data, span.size);
  s->data[span.size] = '\0';
  return s;
}

mq_str *
mq_str_printf (const char *format, ...)
{
  va_list args;
  char *text;
  mq_str *s;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  s = mq_str_new (mq_span_from (text));
  g_free (text);
  return s;
}

mq_str *
mq_str_ref (mq_str *str)
{
  if (str != NULL)
    str->refs++;
  return str;
}

void
mq_str_unref (mq_str *str)
{
  if (str != NULL && --str->refs == 0)
    g_free (str);
}

mq_span
mq_str_span (const mq_str *str)
{
  if (str == NULL)
    return (mq_span){ NULL, 0 };
  return (mq_span){ str->data, str->size };
}

const char *
mq_str_cstr (const mq_str *str)
{
  return str == NULL ? "" : str->data;
}
