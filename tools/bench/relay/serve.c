/* A server that tells its port to the process that started it.  */

#include "roles.h"

#include <errno.h>
#include <unistd.h>

#define IDLE_S 30
#define BODY_LIMIT 65536

void
serve (struct ev_loop *loop, int fd, mq_http_server_sink sink, void *context)
{
  mq_http_server_options o = { .address = MQ_SPAN ("127.0.0.1"),
                               .body_limit = BODY_LIMIT,
                               .idle_s = IDLE_S };
  GError *error = NULL;
  mq_http_server *s = mq_http_server_new (loop, &o, sink, context, &error);
  uint16_t port;

  if (s == NULL)
    g_error ("%s", error->message);
  port = mq_http_server_port (s);
  if (write (fd, &port, sizeof port) != sizeof port)
    g_error ("write: %s", g_strerror (errno));
  close (fd);
}
