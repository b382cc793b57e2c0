/* mqctl keys FILE: makes a key pair for connections between routers
   (mq/peers.h).

   The pair is written to FILE, which only its owner can read.  The public key,
   which belongs into the key rings of routers, is printed.  An existing file
   is never replaced, since a router may be using it.  */

#include "ctl.h"

#include <errno.h>
#include <fcntl.h>
#include <mq/peers.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define OWNER_ONLY 0600

static int
keys_write (const char *path, const mq_peer_keys *keys)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OWNER_ONLY);
  int written;

  if (fd < 0)
    return -1;
  written = dprintf (fd,
                     "# Key pair of routers: public key, secret key.  Keep it "
                     "secret.\n%s\n%s\n",
                     keys->public_key, keys->secret_key);
  if (close (fd) < 0 || written < 0)
    return -1;
  return 0;
}

int
ctl_keys (ctl *c, int argc, char **argv)
{
  mq_peer_keys keys;
  int status = CTL_OK;

  (void)c;
  (void)argc;
  mq_peer_keys_generate (&keys);
  if (keys_write (argv[0], &keys) < 0)
    {
      ctl_print_error ("can't write %s: %s", argv[0], strerror (errno));
      status = CTL_UNAVAILABLE;
    }
  else
    (void)puts (keys.public_key);
  sodium_memzero (&keys, sizeof keys);
  return status;
}
