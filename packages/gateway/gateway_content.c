/* The elements of a request: the hash of its content, and the parts of its
   prompt that other requests may have as well (mq/element.h).

   The hash is over the client's organisation, the method, the host, the path
   with its query, and the body.  It costs time for each byte of the body, so
   it is computed on first use.  Prompts of more than MAX_PARTS parts are
   represented by the last ones, as the first are the most common.  */

#include <mq/internal/gateway.h>

#include <mq/content_hash.h>

#define MAX_PARTS 32

static uint64_t
content_hash (const mq_forward *forward)
{
  mq_http_exchange *x = forward->exchange;
  const mq_route_organisation *o = forward->organisation;
  const mq_span texts[] = { o != NULL ? mq_str_span (o->name) : MQ_SPAN (""),
                            mq_http_exchange_method (x),
                            mq_http_exchange_header (x, "Host"),
                            mq_http_exchange_path (x),
                            mq_http_exchange_query_string (x),
                            mq_http_exchange_body (x) };

  return mq_content_hash (texts, G_N_ELEMENTS (texts));
}

mq_element_set
mq_forward_parts (mq_forward *forward)
{
  const mq_dialect *d = forward->gateway->dialect;
  mq_span ids[MAX_PARTS];
  size_t n;

  if (forward->parts == NULL)
    {
      n = d->shared_parts_decode (
          mq_http_exchange_header (forward->exchange, d->headers.prompt_parts),
          ids, MAX_PARTS);
      /* The first place is for the content.  */
      forward->parts = g_new0 (uint64_t, n + 1);
      for (size_t i = 0; i < n; i++)
        {
          uint64_t part = mq_element_of_part (ids[i]);
          mq_element_set known = { forward->parts + 1, forward->n_parts };

          if (!mq_element_set_has (known, part))
            forward->parts[1 + forward->n_parts++] = part;
        }
    }
  return (mq_element_set){ forward->parts + 1, forward->n_parts };
}

uint64_t
mq_forward_content (mq_forward *forward)
{
  (void)mq_forward_parts (forward);
  if (forward->parts[0] == 0)
    forward->parts[0] = mq_element_of_content (content_hash (forward));
  return forward->parts[0];
}

mq_element_set
mq_forward_elements (mq_forward *forward)
{
  (void)mq_forward_content (forward);
  return (mq_element_set){ forward->parts, forward->n_parts + 1 };
}
