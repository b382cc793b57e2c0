/* A tunnel server that opens a tunnel to any address.  */

#ifndef MQ_TESTS_OPEN_TUNNEL_SERVER_H
#define MQ_TESTS_OPEN_TUNNEL_SERVER_H

#include <mq/tunnel_server.h>

namespace gateway
{

/* Free with mq_tunnel_server_free.  */
inline mq_tunnel_server *
start_open_tunnel_server (struct ev_loop *loop)
{
  mq_tunnel_server_options o = {};

  o.address = MQ_SPAN ("127.0.0.1");
  o.tunnels = 16;
  o.connect_ms = 500;
  o.check = [] (void *, mq_span) { return 0u; };
  o.on_failure = [] (void *, mq_span) {};
  return mq_tunnel_server_new (loop, &o, nullptr);
}

} // namespace gateway

#endif
