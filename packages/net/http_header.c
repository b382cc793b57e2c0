/* Validation of headers: see mq/internal/http_header.h.  */

#include <mq/internal/http_header.h>

#include <string.h>

static bool
header_is_line (mq_span value)
{
  return value.size == 0
         || (memchr (value.data, '\r', value.size) == NULL
             && memchr (value.data, '\n', value.size) == NULL
             && memchr (value.data, '\0', value.size) == NULL);
}

bool
mq_http_is_token (mq_span text)
{
  for (size_t i = 0; i < text.size; i++)
    if (!g_ascii_isalnum (text.data[i])
        && (text.data[i] == '\0'
            || strchr ("!#$%&'*+-.^_`|~", text.data[i]) == NULL))
      return false;
  return text.size > 0;
}

bool
mq_http_header_is_valid (const mq_http_header *header)
{
  return mq_http_is_token (header->name) && header_is_line (header->value);
}

bool
mq_http_header_is (const mq_http_header *header, const char *name)
{
  return header->name.size == strlen (name)
         && g_ascii_strncasecmp (header->name.data, name, header->name.size)
                == 0;
}

bool
mq_http_header_is_hop_by_hop (const mq_http_header *header)
{
  static const char *const names[]
      = { "Connection",     "Keep-Alive", "Transfer-Encoding",
          "Content-Length", "Trailer",    "Upgrade" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (mq_http_header_is (header, names[i]))
      return true;
  return false;
}
