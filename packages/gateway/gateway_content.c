/* What a request asks, as one number.

   Clients send the same request again as a new one, with another id and to
   any router.  Its content tells that it is the same: the client's
   organisation, the method, the host, the path with its query, and the body.
   The hash is a cryptographic one, so that nobody can make a request that
   passes for another's.  It takes time for each byte of the body, and is
   worked out when it is first asked for.  */

#include <mq/internal/gateway.h>

#include <sodium.h>
#include <string.h>

#define DIGEST_BYTES 16

/* Add TEXT with its length, so that no two lists of texts look the same.  */
static void
content_add (crypto_generichash_state *state, mq_span text)
{
  uint64_t size = GUINT64_TO_LE (text.size);

  crypto_generichash_update (state, (const unsigned char *)&size, sizeof size);
  crypto_generichash_update (state, (const unsigned char *)text.data,
                             text.size);
}

uint64_t
mq_content_hash (mq_http_exchange *exchange,
                 const mq_route_organisation *organisation)
{
  crypto_generichash_state state;
  unsigned char digest[DIGEST_BYTES];
  uint64_t hash;

  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  content_add (&state, organisation != NULL ? mq_str_span (organisation->name)
                                            : MQ_SPAN (""));
  content_add (&state, mq_http_exchange_method (exchange));
  content_add (&state, mq_http_exchange_header (exchange, "Host"));
  content_add (&state, mq_http_exchange_path (exchange));
  content_add (&state, mq_http_exchange_query_string (exchange));
  content_add (&state, mq_http_exchange_body (exchange));
  crypto_generichash_final (&state, digest, sizeof digest);
  memcpy (&hash, digest, sizeof hash);
  return MAX (GUINT64_FROM_LE (hash), 1); /* 0 is none.  */
}

uint64_t
mq_forward_content (mq_forward *forward)
{
  if (forward->content == 0)
    forward->content
        = mq_content_hash (forward->exchange, forward->organisation);
  return forward->content;
}
