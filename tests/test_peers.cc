/* Connections between routers (mq/peers.h) over real loopback sockets, on one
   loop.  Each wait ends when a condition holds; its limit only turns a hang
   into a failure.  */

#include <algorithm>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <mq/peer_message.h>
#include <mq/peers.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <vector>
#include <zmq.h>

namespace
{

constexpr double MAX_WAIT_S = 60;

struct Router
{
  mq_peers *peers = nullptr;
  std::vector<std::string> received;

  static void
  sink (void *context, mq_span bytes)
  {
    ((Router *)context)
        ->received.emplace_back (bytes.data ? bytes.data : "", bytes.size);
  }

  void
  open (struct ev_loop *loop, const mq_peer_keys &keys, uint16_t port = 0)
  {
    GError *error = nullptr;

    peers = mq_peers_new (loop, MQ_SPAN ("127.0.0.1"), port, &keys, sink, this,
                          &error);
    ASSERT_NE (peers, nullptr) << error->message;
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (mq_peers_port (peers));
  }

  void
  close ()
  {
    mq_peers_free (peers);
    peers = nullptr;
  }

  ~Router () { close (); }
};

mq_span
span (const std::string &s)
{
  return { s.data (), s.size () };
}

/* The number of connections that may wait to be accepted at PORT of this
   process, or 0 if it does not listen there.  */
unsigned
listen_backlog (uint16_t port)
{
  constexpr int MAX_FD = 1024;

  for (int fd = 0; fd < MAX_FD; fd++)
    {
      struct sockaddr_in at = {};
      struct tcp_info info = {};
      socklen_t at_size = sizeof at;
      socklen_t info_size = sizeof info;
      int listens = 0;
      socklen_t listens_size = sizeof listens;

      if (getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_size)
              < 0
          || listens == 0
          || getsockname (fd, (struct sockaddr *)&at, &at_size) < 0
          || at.sin_family != AF_INET || ntohs (at.sin_port) != port
          || getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &info_size) < 0)
        continue;
      return info.tcpi_sacked; /* Of a listening socket: its limit.  */
    }
  return 0;
}

/* The largest backlog that the system allows.  */
unsigned
system_backlog ()
{
  unsigned limit = 0;

  std::ifstream ("/proc/sys/net/core/somaxconn") >> limit;
  return limit;
}

class Peers : public testing::Test
{
protected:
  struct ev_loop *loop = ev_loop_new (0);
  mq_peer_keys keys;

  Peers () { mq_peer_keys_generate (&keys); }
  ~Peers () override { ev_loop_destroy (loop); }

  /* Run the loop until DONE.  Returns false if that takes too long.  */
  bool
  wait (std::function<bool ()> done)
  {
    ev_timer poll;
    double end = ev_time () + MAX_WAIT_S;
    bool met;

    ev_timer_init (
        &poll,
        [] (struct ev_loop *l, ev_timer *, int) { ev_break (l, EVBREAK_ONE); },
        0.005, 0.005);
    ev_now_update (loop);
    ev_timer_start (loop, &poll);
    while (!(met = done ()) && ev_time () < end)
      ev_run (loop, 0);
    ev_timer_stop (loop, &poll);
    return met;
  }

  /* Try to send TEXT until it is accepted.  */
  bool
  send (Router &from, const std::string &to, const std::string &text)
  {
    mq_peers_connect (from.peers, span (to));
    return wait ([&] {
      return mq_peers_send (from.peers, span (to), span (text)) == 0;
    });
  }

  bool
  exchange (Router &from, Router &to, const std::string &text)
  {
    return send (from, to.address (), text) && wait ([&] {
             return !to.received.empty () && to.received.back () == text;
           });
  }

  static mq_peer_keys
  with_ring (const mq_peer_keys &pair, std::vector<mq_peer_keys> ring)
  {
    mq_peer_keys k = pair;

    k.n_ring = 0;
    for (const mq_peer_keys &r : ring)
      memcpy (k.ring[k.n_ring++], r.public_key, MQ_PEER_KEY_TEXT_BYTES);
    return k;
  }
};

} // namespace

TEST_F (Peers, ExchangeMessages)
{
  Router a;
  Router b;

  a.open (loop, keys);
  b.open (loop, keys);
  EXPECT_TRUE (exchange (a, b, "from a"));
  EXPECT_TRUE (exchange (b, a, "from b"));
  EXPECT_EQ (mq_peers_get_counters (a.peers)->received, 1u);
  EXPECT_EQ (mq_peers_get_counters (b.peers)->sent, 1u);
}

/* A burst of more than one batch signals the descriptor's edge only once.  */
TEST_F (Peers, ReadsAllMessagesOfABurst)
{
  Router a;
  Router b;
  const int n = 5000;

  a.open (loop, keys);
  b.open (loop, keys);
  for (int i = 0; i < n; i++)
    ASSERT_TRUE (send (a, b.address (), std::to_string (i)));
  ASSERT_TRUE (wait ([&] { return (int)b.received.size () >= n; }));
  for (int i = 0; i < n; i++)
    ASSERT_EQ (b.received[i], std::to_string (i));
}

/* A fleet that starts connects to its seeds at once.  ZeroMQ's default of 100
   waiting connections would leave the others to try again after a second.  */
TEST_F (Peers, AcceptsAsManyWaitingConnectionsAsTheSystemAllows)
{
  Router router;

  router.open (loop, keys);
  EXPECT_EQ (listen_backlog (mq_peers_port (router.peers)),
             std::min (system_backlog (), 4096u));
}

TEST_F (Peers, RejectsPeerWithUnknownKey)
{
  Router a;
  Router unknown;
  mq_peer_keys other;
  mq_peer_keys knows_server;

  mq_peer_keys_generate (&other);
  knows_server = with_ring (other, { keys });
  a.open (loop, keys);
  unknown.open (loop, knows_server);
  mq_peers_connect (unknown.peers, span (a.address ()));
  ASSERT_TRUE (
      wait ([&] { return mq_peers_get_counters (a.peers)->refused >= 2; }));
  EXPECT_EQ (mq_peers_send (unknown.peers, span (a.address ()),
                            MQ_SPAN ("let me in")),
             -1);
  EXPECT_FALSE (mq_peers_is_connected (unknown.peers, span (a.address ())));
  EXPECT_EQ (mq_peers_get_counters (a.peers)->received, 0u);
  EXPECT_EQ (mq_peers_get_counters (a.peers)->accepted, 0u);
}

/* A seed sends to every router of a fleet that starts, and would keep the
   memory of all these connections.  */
TEST_F (Peers, ClosesIdleConnectionsAndOpensThemAgain)
{
  Router a;
  Router b;

  a.open (loop, keys);
  b.open (loop, keys);
  ASSERT_TRUE (exchange (b, a, "first"));
  EXPECT_EQ (mq_peers_disconnect_idle (b.peers, 3600), 0u);
  EXPECT_EQ (mq_peers_disconnect_idle (b.peers, -1), 1u);
  EXPECT_FALSE (mq_peers_is_connected (b.peers, span (a.address ())));
  EXPECT_TRUE (exchange (b, a, "second"));
}

/* A list of thousands of upstreams goes to hundreds of routers at once.  If
   each queue held a copy, a relay would need the memory of all of them.  */
TEST_F (Peers, SharedMessageReachesAllReceiversAfterItIsFreed)
{
  Router a;
  Router b;
  Router c;
  mq_peers_shared *shared = mq_peers_shared_new (g_string_new ("shared"));

  a.open (loop, keys);
  b.open (loop, keys);
  c.open (loop, keys);
  ASSERT_TRUE (exchange (a, b, "b is connected"));
  ASSERT_TRUE (exchange (a, c, "c is connected"));
  EXPECT_EQ (mq_peers_shared_size (shared), 6u);
  EXPECT_EQ (mq_peers_send_shared (a.peers, span (b.address ()), shared), 0);
  EXPECT_EQ (mq_peers_send_shared (a.peers, span (c.address ()), shared), 0);
  mq_peers_shared_free (shared);
  EXPECT_TRUE (wait ([&] {
    return !b.received.empty () && b.received.back () == "shared"
           && !c.received.empty () && c.received.back () == "shared";
  }));
}

/* A client without encryption and authentication.  */
TEST_F (Peers, RejectsUnencryptedClient)
{
  Router a;
  Router b;
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_PUSH);
  int linger = 0;

  a.open (loop, keys);
  b.open (loop, keys);
  zmq_setsockopt (socket, ZMQ_LINGER, &linger, sizeof linger);
  zmq_connect (socket, ("tcp://" + a.address ()).c_str ());
  zmq_send (socket, "plain", 5, ZMQ_DONTWAIT);
  /* The authenticated message is sent later, so the plain one had enough
     time to arrive.  */
  EXPECT_TRUE (exchange (b, a, "proven"));
  EXPECT_EQ (mq_peers_get_counters (a.peers)->received, 1u);
  zmq_close (socket);
  zmq_ctx_term (context);
}

TEST_F (Peers, RotatesKeysStepByStep)
{
  Router a;
  Router b;
  mq_peer_keys next;
  mq_peer_keys step[4];

  mq_peer_keys_generate (&next);
  step[0] = keys;
  step[1] = with_ring (keys, { keys, next });
  step[2] = with_ring (next, { keys, next });
  step[3] = next;
  a.open (loop, step[0]);
  b.open (loop, step[0]);
  EXPECT_TRUE (exchange (a, b, "old"));
  for (int s = 1; s <= 3; s++)
    {
      std::string text = "step " + std::to_string (s);

      mq_peers_set_keys (a.peers, &step[s]);
      EXPECT_TRUE (exchange (a, b, text + " a is ahead"));
      EXPECT_TRUE (exchange (b, a, text + " b is behind"));
      {
        Router fresh; /* Started during the rotation.  */

        fresh.open (loop, step[s - 1]);
        EXPECT_TRUE (exchange (fresh, b, text + " fresh to b"));
        /* At step 3 its pair is still in A's ring.  */
        EXPECT_TRUE (exchange (fresh, a, text + " fresh to a"));
      }
      mq_peers_set_keys (b.peers, &step[s]);
      EXPECT_TRUE (exchange (b, a, text + " both"));
    }
  {
    Router late; /* Still uses the old pair.  */
    uint64_t refused = mq_peers_get_counters (a.peers)->refused;
    uint64_t received = mq_peers_get_counters (a.peers)->received;

    late.open (loop, with_ring (keys, { next }));
    mq_peers_connect (late.peers, span (a.address ()));
    EXPECT_TRUE (wait (
        [&] { return mq_peers_get_counters (a.peers)->refused > refused; }));
    EXPECT_EQ (mq_peers_get_counters (a.peers)->received, received);
  }
}

TEST_F (Peers, ReconnectsToARestartedPeer)
{
  Router a;
  Router b;
  uint16_t port;

  a.open (loop, keys);
  b.open (loop, keys);
  port = mq_peers_port (b.peers);
  EXPECT_TRUE (exchange (a, b, "before"));
  b.close ();
  /* Messages may be lost until the disconnection is detected.  */
  EXPECT_TRUE (wait ([&] {
    return !mq_peers_is_connected (
        a.peers, span ("127.0.0.1:" + std::to_string (port)));
  }));
  EXPECT_EQ (mq_peers_send (a.peers,
                            span ("127.0.0.1:" + std::to_string (port)),
                            MQ_SPAN ("lost")),
             -1);
  b.received.clear ();
  b.open (loop, keys, port);
  EXPECT_TRUE (exchange (a, b, "after"));
  EXPECT_EQ (b.received.size (), 1u);
}

TEST_F (Peers, DoesNotSendOversizedMessages)
{
  Router a;
  Router b;
  std::string huge (MQ_PEER_MAX_MESSAGE_BYTES + 1, 'x');

  a.open (loop, keys);
  b.open (loop, keys);
  EXPECT_TRUE (exchange (a, b, "first"));
  EXPECT_EQ (mq_peers_send (a.peers, span (b.address ()), span (huge)), -1);
  huge.pop_back ();
  EXPECT_TRUE (exchange (a, b, huge));
}

/* Only the sender of an oversized message is disconnected.  */
TEST_F (Peers, DisconnectsSenderOfOversizedMessages)
{
  Router a;
  Router b;
  std::string huge (MQ_PEER_MAX_MESSAGE_BYTES + 100, 'x');
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_PUSH);
  int linger = 0;

  a.open (loop, keys);
  b.open (loop, keys);
  zmq_setsockopt (socket, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, keys.public_key,
                  MQ_PEER_KEY_TEXT_BYTES);
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, keys.public_key,
                  MQ_PEER_KEY_TEXT_BYTES);
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, keys.secret_key,
                  MQ_PEER_KEY_TEXT_BYTES);
  zmq_connect (socket, ("tcp://" + a.address ()).c_str ());
  zmq_send (socket, huge.data (), huge.size (), ZMQ_DONTWAIT);
  ASSERT_TRUE (
      wait ([&] { return mq_peers_get_counters (a.peers)->accepted >= 1; }));
  EXPECT_TRUE (exchange (b, a, "small"));
  EXPECT_EQ (mq_peers_get_counters (a.peers)->received, 1u);
  zmq_close (socket);
  zmq_ctx_term (context);
}

TEST_F (Peers, ReportsPortInUse)
{
  Router a;
  GError *error = nullptr;

  a.open (loop, keys);
  EXPECT_EQ (mq_peers_new (loop, MQ_SPAN ("127.0.0.1"),
                           mq_peers_port (a.peers), &keys, Router::sink, &a,
                           &error),
             nullptr);
  ASSERT_NE (error, nullptr);
  EXPECT_EQ (error->code, MQ_PEERS_ERROR_BIND);
  g_error_free (error);
}

TEST (PeerKeys, LoadsKeyFilesAndNamesInvalidOnes)
{
  char *dir = g_dir_make_tmp ("mq-keys-XXXXXX", nullptr);
  std::string pair = std::string (dir) + "/pair";
  std::string ring = std::string (dir) + "/ring";
  mq_peer_keys generated;
  mq_peer_keys loaded;
  GError *error = nullptr;
  std::string text;

  mq_peer_keys_generate (&generated);
  text = "# the fleet's\n" + std::string (generated.public_key) + "\n\n"
         + generated.secret_key + "\n";
  g_file_set_contents (pair.c_str (), text.c_str (), -1, nullptr);
  ASSERT_EQ (mq_peer_keys_load (&loaded, pair.c_str (), nullptr, nullptr), 0);
  EXPECT_STREQ (loaded.secret_key, generated.secret_key);
  EXPECT_STREQ (loaded.ring[0], generated.public_key);
  text = std::string (generated.public_key) + "\nnot a key\n";
  g_file_set_contents (ring.c_str (), text.c_str (), -1, nullptr);
  EXPECT_EQ (mq_peer_keys_load (&loaded, pair.c_str (), ring.c_str (), &error),
             -1);
  ASSERT_NE (error, nullptr);
  EXPECT_NE (strstr (error->message, "ring:2"), nullptr) << error->message;
  EXPECT_EQ (strstr (error->message, generated.public_key), nullptr);
  g_clear_error (&error);
  EXPECT_EQ (
      mq_peer_keys_load (&loaded, (pair + "x").c_str (), nullptr, &error), -1);
  g_clear_error (&error);
  unlink (pair.c_str ());
  unlink (ring.c_str ());
  rmdir (dir);
  g_free (dir);
}
