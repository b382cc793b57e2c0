/* JSON text writer: see mq/json_text.h.  */

#include <mq/json_text.h>

#include <string.h>

static bool
byte_is_plain (unsigned char c)
{
  return c >= ' ' && c != '"' && c != '\\';
}

static void
byte_escape (GString *out, unsigned char c)
{
  switch (c)
    {
    case '"':
      g_string_append (out, "\\\"");
      break;
    case '\\':
      g_string_append (out, "\\\\");
      break;
    case '\n':
      g_string_append (out, "\\n");
      break;
    case '\r':
      g_string_append (out, "\\r");
      break;
    case '\t':
      g_string_append (out, "\\t");
      break;
    default:
      g_string_append_printf (out, "\\u%04x", c);
      break;
    }
}

void
mq_json_text_escape (GString *out, mq_span text)
{
  size_t from = 0;

  for (size_t i = 0; i < text.size; i++)
    {
      unsigned char c = (unsigned char)text.data[i];

      if (byte_is_plain (c))
        continue;
      g_string_append_len (out, text.data + from, (gssize)(i - from));
      byte_escape (out, c);
      from = i + 1;
    }
  if (from < text.size)
    g_string_append_len (out, text.data + from, (gssize)(text.size - from));
}

void
mq_json_text_string (GString *out, mq_span text)
{
  g_string_append_c (out, '"');
  mq_json_text_escape (out, text);
  g_string_append_c (out, '"');
}

void
mq_json_text_key (GString *out, const char *key)
{
  char last = out->len == 0 ? '{' : out->str[out->len - 1];

  if (last != '{' && last != '[')
    g_string_append_c (out, ',');
  g_string_append_printf (out, "\"%s\":", key);
}

void
mq_json_text_member (GString *out, const char *key, mq_span value)
{
  mq_json_text_key (out, key);
  mq_json_text_string (out, value);
}

void
mq_json_text_number (GString *out, const char *key, uint64_t value)
{
  mq_json_text_key (out, key);
  g_string_append_printf (out, "%" G_GUINT64_FORMAT, value);
}

void
mq_json_text_bool (GString *out, const char *key, bool value)
{
  mq_json_text_key (out, key);
  g_string_append (out, value ? "true" : "false");
}
