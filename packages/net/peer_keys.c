/* Loading of CURVE keys from files: see mq/peers.h.

   Keys are never logged, and no error message contains one.  */

#include <mq/peers.h>

#include <sodium.h>
#include <string.h>
#include <zmq.h>

/* Size of a decoded key.  */
#define KEY_BYTES 32

G_DEFINE_QUARK (mq - peers - error - quark, mq_peers_error)

/* Copy LINE to KEY.  Returns 0, or -1 if LINE is not a key in Z85.  */
static int
key_from_line (char *key, const char *line)
{
  uint8_t bytes[KEY_BYTES];

  if (strlen (line) != MQ_PEER_KEY_TEXT_BYTES - 1
      || zmq_z85_decode (bytes, line) == NULL)
    return -1;
  memcpy (key, line, MQ_PEER_KEY_TEXT_BYTES);
  sodium_memzero (bytes, sizeof bytes);
  return 0;
}

/* Read up to MAX_KEYS keys from PATH.  Returns their number, or -1 with ERROR
   set.  */
static int
keys_read (char (*keys)[MQ_PEER_KEY_TEXT_BYTES], unsigned max_keys,
           const char *path, GError **error)
{
  char *text = NULL;
  char **lines = NULL;
  gsize size = 0;
  int n = 0;
  int result = -1;

  if (!g_file_get_contents (path, &text, &size, error))
    {
      g_prefix_error (error, "can't read peer keys: ");
      return -1;
    }
  lines = g_strsplit (text, "\n", -1);
  for (int i = 0; lines[i] != NULL; i++)
    {
      const char *line = g_strstrip (lines[i]);

      if (*line == '\0' || *line == '#')
        continue;
      if ((unsigned)n == max_keys || key_from_line (keys[n], line) < 0)
        {
          g_set_error (error, MQ_PEERS_ERROR, MQ_PEERS_ERROR_KEYS,
                       "%s:%d: expected at most %u keys of %d characters "
                       "(Z85), one a line",
                       path, i + 1, max_keys, MQ_PEER_KEY_TEXT_BYTES - 1);
          goto out;
        }
      n++;
    }
  result = n;
out:
  for (int i = 0; lines[i] != NULL; i++)
    sodium_memzero (lines[i], strlen (lines[i]));
  sodium_memzero (text, size);
  g_strfreev (lines);
  g_free (text);
  return result;
}

void
mq_peer_keys_generate (mq_peer_keys *keys)
{
  memset (keys, 0, sizeof *keys);
  zmq_curve_keypair (keys->public_key, keys->secret_key);
  memcpy (keys->ring[0], keys->public_key, MQ_PEER_KEY_TEXT_BYTES);
  keys->n_ring = 1;
}

int
mq_peer_keys_load (mq_peer_keys *keys, const char *pair_path,
                   const char *ring_path, GError **error)
{
  char pair[2][MQ_PEER_KEY_TEXT_BYTES];
  int n;

  memset (keys, 0, sizeof *keys);
  n = keys_read (pair, 2, pair_path, error);
  if (n < 0)
    return -1;
  if (n != 2)
    {
      g_set_error (error, MQ_PEERS_ERROR, MQ_PEERS_ERROR_KEYS,
                   "%s: expected a public key and a secret key", pair_path);
      return -1;
    }
  memcpy (keys->public_key, pair[0], MQ_PEER_KEY_TEXT_BYTES);
  memcpy (keys->secret_key, pair[1], MQ_PEER_KEY_TEXT_BYTES);
  sodium_memzero (pair, sizeof pair);
  if (ring_path == NULL)
    {
      memcpy (keys->ring[0], keys->public_key, MQ_PEER_KEY_TEXT_BYTES);
      keys->n_ring = 1;
      return 0;
    }
  n = keys_read (keys->ring, MQ_PEER_MAX_RING_KEYS, ring_path, error);
  if (n < 0)
    return -1;
  if (n == 0)
    {
      g_set_error (error, MQ_PEERS_ERROR, MQ_PEERS_ERROR_KEYS,
                   "%s: expected at least one public key", ring_path);
      return -1;
    }
  keys->n_ring = (unsigned)n;
  return 0;
}
