/* Operators' HTTP requests: see operators.h.  */

#include "operators.h"

#include <sodium.h>

#include "call_headers.h"
#include "drain.h"
#include "reply.h"

/* Returns true if the client sent the token whose digest is in the settings.
 */
static bool
operator_is_authenticated (const mq_router *router,
                           const mq_http_exchange *exchange)
{
  const mq_str *hex = router->settings->operator_token_sha256;
  mq_span token = mq_call_headers_bearer_token (exchange);
  unsigned char expected[crypto_hash_sha256_BYTES];
  unsigned char received[crypto_hash_sha256_BYTES];

  if (hex == NULL || token.size == 0)
    return false;
  if (sodium_hex2bin (expected, sizeof expected, hex->data, hex->size, NULL,
                      NULL, NULL)
      != 0)
    return false;
  crypto_hash_sha256 (received, (const unsigned char *)token.data, token.size);
  return sodium_memcmp (expected, received, sizeof expected) == 0;
}

void
mq_operators_drain (mq_router *router, mq_http_exchange *exchange)
{
  GString *out;

  if (!operator_is_authenticated (router, exchange))
    {
      mq_reply_bad_request (router, exchange, MQ_REASON_UNAUTHENTICATED,
                            "expected the operators' token");
      return;
    }
  out = g_string_new (NULL);
  g_string_printf (out, "{\"draining\":true,\"in_flight\":%u}\n",
                   mq_entry_in_flight (router->entry));
  mq_reply_json (exchange, 202, out);
  g_string_free (out, TRUE);
  mq_drain_begin (router, "operator's order by HTTP");
}
