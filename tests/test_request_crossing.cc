/* Requests that arrive at the moment at which the server closes idle
   connections or stops listening.  Guards against requests that are handed to
   the user and then have no way back: each one is answered, or never
   reported.  */

#include "http_fixture.hh"

namespace
{

const char kRequest[] = "POST /whole HTTP/1.1\r\nHost: x\r\n"
                        "Content-Length: 3\r\n\r\nabc";

/* A client that keeps its connection.  */
struct Client
{
  explicit Client (uint16_t port) : socket (Socket::connected (port)) {}

  /* Returns true if the connection has ended.  */
  bool
  poll ()
  {
    received += socket.read (&closed);
    return closed;
  }

  /* Returns the number of complete responses with the body "ok".  */
  int
  answers () const
  {
    int n = 0;

    for (size_t at = 0;
         (at = received.find ("\r\n\r\nok", at)) < std::string::npos; at++)
      n++;
    return n;
  }

  bool
  is_told_to_close () const
  {
    return received.find ("Connection: close\r\n") != std::string::npos;
  }

  Socket socket;
  std::string received;
  bool closed = false;
};

class RequestCrossing : public Http
{
protected:
  static constexpr int kClients = 200;

  std::vector<Client> clients;
  int reported = 0;

  void
  SetUp () override
  {
    Http::SetUp ();
    on_request = [this] (mq_http_exchange *x) {
      reported++;
      EXPECT_EQ (text (mq_http_exchange_body (x)), "abc");
      mq_http_exchange_reply (x, 200, nullptr, 0, MQ_SPAN ("ok"));
    };
  }

  /* Connect N clients, each of which has had a request answered.  */
  void
  connect_clients (int n)
  {
    for (int i = 0; i < n; i++)
      clients.emplace_back (mq_http_server_port (server));
    write_all (kRequest);
    ASSERT_TRUE (until_all ([] (Client &c) { return c.answers () == 1; }));
    for (Client &c : clients)
      c.received.clear ();
    reported = 0;
  }

  void
  write_all (const std::string &bytes)
  {
    for (Client &c : clients)
      c.socket.write (bytes);
  }

  /* Run the loop until DONE holds for each client.  */
  bool
  until_all (const std::function<bool (Client &)> &done)
  {
    return until ([&] {
      bool all = true;

      for (Client &c : clients)
        {
          c.poll ();
          all = all && done (c);
        }
      return all;
    });
  }

  /* Expect that each client gets its answer and is told that the connection
     ends, and that nothing was cancelled.  */
  void
  expect_last_answers ()
  {
    int answered = 0;
    int told = 0;

    EXPECT_TRUE (until_all ([] (Client &c) { return c.closed; }));
    for (Client &c : clients)
      {
        answered += c.answers ();
        told += c.is_told_to_close ();
      }
    EXPECT_EQ (reported, (int)clients.size ());
    EXPECT_EQ (answered, (int)clients.size ());
    EXPECT_EQ (told, (int)clients.size ());
    EXPECT_EQ (disconnects, 0);
  }

  /* Expect that each connection is closed, and no request reported.  */
  void
  expect_unread ()
  {
    EXPECT_TRUE (until_all ([] (Client &c) { return c.closed; }));
    run_briefly ();
    EXPECT_EQ (reported, 0);
    EXPECT_EQ (rejected_heads, 0);
    EXPECT_EQ (disconnects, 0);
    for (Client &c : clients)
      EXPECT_EQ (c.received, "");
  }

  /* Expect that each request is refused, since its client has left, and not
     reported.  */
  void
  expect_refusals ()
  {
    EXPECT_TRUE (until_all ([] (Client &c) {
      return c.closed || is_complete_response (c.received);
    }));
    EXPECT_EQ (reported, 0);
    EXPECT_EQ (disconnects, 0);
    for (const Client &c : clients)
      EXPECT_EQ (c.received.rfind ("HTTP/1.1 503 ", 0), 0u) << c.received;
  }

  /* Expect that each client gets its answer or loses its connection, and that
     all reported requests are answered.  */
  void
  expect_answers_to_reported ()
  {
    int answered = 0;

    EXPECT_TRUE (
        until_all ([] (Client &c) { return c.closed || c.answers () == 1; }));
    for (Client &c : clients)
      answered += c.answers ();
    EXPECT_EQ (answered, reported);
    EXPECT_EQ (disconnects, 0);
  }

  void
  run_briefly ()
  {
    for (int i = 0; i < 10; i++)
      ev_run (loop, EVRUN_NOWAIT);
  }

  void
  grow_head_limit ()
  {
    head_limit *= 2;
    mq_http_server_set_head_limit (server, head_limit);
  }

private:
  size_t head_limit = MQ_HTTP_DEFAULT_HEAD_BYTES;
};

} // namespace

/* The connections were closed unread.  */
TEST_F (RequestCrossing, UnreadOneIsAnsweredWhenTheHeadLimitGrows)
{
  connect_clients (kClients);
  write_all (kRequest);
  grow_head_limit ();
  expect_last_answers ();
}

/* The same on connections without an earlier request.  */
TEST_F (RequestCrossing, UnreadFirstOneIsAnsweredWhenTheHeadLimitGrows)
{
  for (int i = 0; i < 50; i++)
    clients.emplace_back (mq_http_server_port (server));
  ASSERT_TRUE (until (
      [&] { return mq_http_server_connections (server) == clients.size (); }));
  write_all (kRequest);
  grow_head_limit ();
  grow_head_limit ();
  expect_last_answers ();
}

/* The same right after the server has accepted the connections.  */
TEST_F (RequestCrossing, UnreadOneOfANewConnectionIsAnswered)
{
  for (int i = 0; i < 50; i++)
    clients.emplace_back (mq_http_server_port (server));
  write_all (kRequest);
  ev_run (loop, EVRUN_NOWAIT);
  ASSERT_EQ (mq_http_server_connections (server), clients.size ());
  grow_head_limit ();
  EXPECT_TRUE (until_all ([] (Client &c) { return c.answers () == 1; }));
  EXPECT_EQ (reported, (int)clients.size ());
  EXPECT_EQ (disconnects, 0);
}

/* One that arrives after the close has no way back.  */
TEST_F (RequestCrossing, OneAfterTheCloseIsNotReported)
{
  connect_clients (kClients);
  grow_head_limit ();
  write_all (kRequest);
  expect_unread ();
}

/* The same for a head that is too large, which is no client's error.  */
TEST_F (RequestCrossing, LargeHeadAfterTheCloseIsNotReported)
{
  connect_clients (kClients);
  grow_head_limit ();
  write_all ("POST /whole HTTP/1.1\r\nHost: x\r\nX-Long: "
             + std::string (25000, 'x') + "\r\nContent-Length: 3\r\n\r\nabc");
  expect_unread ();
}

/* A request whose first line has been read is served.  */
TEST_F (RequestCrossing, PartlyReadOneIsAnsweredWhenTheHeadLimitGrows)
{
  const std::string all = kRequest;
  const size_t line = all.find ("\r\n") + 2;

  connect_clients ((int)(all.size () - line));
  for (size_t i = 0; i < clients.size (); i++)
    clients[i].socket.write (all.substr (0, line + i));
  run_briefly ();
  grow_head_limit ();
  run_briefly ();
  grow_head_limit ();
  for (size_t i = 0; i < clients.size (); i++)
    clients[i].socket.write (all.substr (line + i));
  expect_last_answers ();
}

/* With less of it read, the connection is closed, also if the rest arrives
   meanwhile.  */
TEST_F (RequestCrossing, PartOfAFirstLineIsNotReportedWhenTheHeadLimitGrows)
{
  const std::string all = kRequest;
  const size_t line = all.find ("\r\n");

  connect_clients ((int)line - 1);
  for (size_t i = 0; i < clients.size (); i++)
    clients[i].socket.write (all.substr (0, 1 + i));
  run_briefly ();
  grow_head_limit ();
  for (size_t i = 0; i < clients.size (); i++)
    clients[i].socket.write (all.substr (1 + i));
  expect_unread ();
}

/* A client that sends requests ahead is told which one is the last.  */
TEST_F (RequestCrossing, PipelinedOneAfterTheLastAnswerIsNotReported)
{
  std::vector<mq_http_exchange *> held;

  connect_clients (40);
  on_request = [&] (mq_http_exchange *x) {
    reported++;
    held.push_back (mq_http_exchange_ref (x));
  };
  write_all (std::string (kRequest) + kRequest);
  ASSERT_TRUE (until ([&] { return held.size () == clients.size (); }));
  grow_head_limit ();
  for (mq_http_exchange *x : held)
    {
      mq_http_exchange_reply (x, 200, nullptr, 0, MQ_SPAN ("ok"));
      mq_http_exchange_unref (x);
    }
  expect_last_answers ();
}

/* A process that was stopped for long finds requests whose connections have
   passed their time limits.  */
TEST_F (RequestCrossing, UnreadOneIsAnsweredOrNotReportedAfterAPause)
{
  for (useconds_t pause_us : { 1200000, 3300000 })
    {
      clients.clear ();
      start (1);
      connect_clients (kClients);
      write_all (kRequest);
      usleep (pause_us);
      expect_answers_to_reported ();
    }
}

TEST_F (RequestCrossing, UnreadOneIsAnsweredWhenTheServerIsQuiesced)
{
  connect_clients (kClients);
  write_all (kRequest);
  mq_http_server_quiesce (server);
  expect_last_answers ();
}

/* Requests of clients that had closed their sending side were reported and
   cancelled at once, so that they could reach an upstream.  */
TEST_F (RequestCrossing, OneOfAClientThatHasLeftIsNotReported)
{
  connect_clients (kClients);
  write_all (kRequest);
  for (const Client &c : clients)
    shutdown (c.socket.fd, SHUT_WR);
  expect_refusals ();
}

/* The same for a request whose first half was read while the client was
   there.  */
TEST_F (RequestCrossing, PartlyReadOneOfAClientThatHasLeftIsNotReported)
{
  const std::string all = kRequest;

  connect_clients (kClients);
  write_all (all.substr (0, all.size () / 2));
  run_briefly ();
  write_all (all.substr (all.size () / 2));
  for (const Client &c : clients)
    shutdown (c.socket.fd, SHUT_WR);
  expect_refusals ();
}
