/* The content hash of a request: over the client's organisation, the method,
   the host, the path with its query, and the body.  It costs time for each
   byte of the body, so it is computed on first use.  */

#include <mq/internal/gateway.h>

#include <mq/content_hash.h>

uint64_t
mq_forward_content_hash (mq_forward *forward)
{
  mq_http_exchange *x = forward->exchange;
  const mq_route_organisation *o = forward->organisation;
  const mq_span texts[] = { o != NULL ? mq_str_span (o->name) : MQ_SPAN (""),
                            mq_http_exchange_method (x),
                            mq_http_exchange_header (x, "Host"),
                            mq_http_exchange_path (x),
                            mq_http_exchange_query_string (x),
                            mq_http_exchange_body (x) };

  if (forward->content == 0)
    forward->content = mq_content_hash (texts, G_N_ELEMENTS (texts));
  return forward->content;
}
