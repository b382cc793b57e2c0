/* The framing of requests: see mq/internal/http_framing.h.  */

#include <mq/internal/http_framing.h>

#include <mq/internal/http_header.h>

#include <string.h>

static bool
length_is_valid (mq_span value)
{
  uint64_t n;

  for (size_t i = 0; i < value.size; i++)
    if (!g_ascii_isdigit (value.data[i]))
      return false;
  return mq_span_to_u64 (value, &n) == 0;
}

static bool
coding_is_chunked (mq_span value)
{
  mq_span chunked = MQ_SPAN ("chunked");

  return value.size == chunked.size
         && g_ascii_strncasecmp (value.data, chunked.data, chunked.size) == 0;
}

bool
mq_http_framing_is_valid (const mq_http_header *headers, size_t n_headers,
                          bool http10)
{
  const mq_http_header *length = NULL;
  const mq_http_header *coding = NULL;

  for (size_t i = 0; i < n_headers; i++)
    {
      const mq_http_header *h = &headers[i];

      if (!mq_http_header_is_valid (h))
        return false;
      if (mq_http_header_is (h, "Content-Length"))
        {
          if (!length_is_valid (h->value)
              || (length != NULL && !mq_span_equal (length->value, h->value)))
            return false;
          length = h;
        }
      else if (mq_http_header_is (h, "Transfer-Encoding"))
        {
          if (coding != NULL || !coding_is_chunked (h->value))
            return false;
          coding = h;
        }
    }
  return coding == NULL || (length == NULL && !http10);
}
