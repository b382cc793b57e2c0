/* Content hash of a request: see mq/content_hash.h.  */

#include <mq/content_hash.h>

#include <sodium.h>
#include <string.h>

#define DIGEST_BYTES 16

uint64_t
mq_content_hash (const mq_span *texts, size_t n)
{
  crypto_generichash_state state;
  unsigned char digest[DIGEST_BYTES];
  uint64_t hash;

  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  for (size_t i = 0; i < n; i++)
    {
      /* The length is hashed too, so that different lists of texts whose
         concatenations are equal give different hashes.  */
      uint64_t size = GUINT64_TO_LE (texts[i].size);

      crypto_generichash_update (&state, (const unsigned char *)&size,
                                 sizeof size);
      crypto_generichash_update (&state, (const unsigned char *)texts[i].data,
                                 texts[i].size);
    }
  crypto_generichash_final (&state, digest, sizeof digest);
  memcpy (&hash, digest, sizeof hash);
  return MAX (GUINT64_FROM_LE (hash), 1);
}
