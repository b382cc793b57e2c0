/* Callers and upstreams that send malformed or unusual HTTP.  The server must
   not crash, hang or report a malformed request, and must serve a normal
   caller afterwards.  */

#include "http_fixture.hh"

#include <random>

namespace
{

constexpr unsigned kSeed = 20261202;
constexpr int kRounds = 300;

class HttpGarbage : public Http
{
protected:
  std::mt19937 random{ kSeed };
  int n_requests = 0;

  void
  SetUp () override
  {
    Http::SetUp ();
    start (1);
    on_request = [this] (mq_http_exchange *x) {
      n_requests++;
      mq_http_exchange_reply (x, 200, nullptr, 0, MQ_SPAN ("ok"));
    };
  }

  std::string
  random_bytes (size_t max_size)
  {
    std::string s (random () % max_size + 1, '\0');

    for (char &c : s)
      c = static_cast<char> (random ());
    return s;
  }

  /* Send BYTES and shut down the sending side.  Returns the response.  */
  std::string
  send_and_shut_down (const std::string &bytes)
  {
    Socket s = Socket::connected (mq_http_server_port (server));
    bool closed = false;
    std::string got;

    s.write (bytes);
    shutdown (s.fd, SHUT_WR);
    EXPECT_TRUE (until ([&] {
      got += s.read (&closed);
      return closed;
    }));
    return got;
  }

  void
  expect_normal_service ()
  {
    Answer a;

    call (&a, "/");
    ASSERT_TRUE (until ([&] { return a.ends == 1; }));
    EXPECT_EQ (a.body, "ok");
    ASSERT_TRUE (
        until ([&] { return mq_http_server_open_count (server) == 0; }));
  }
};

TEST_F (HttpGarbage, IgnoresRandomBytes)
{
  for (int i = 0; i < kRounds; i++)
    send_and_shut_down (random_bytes (2000));
  EXPECT_EQ (n_requests, 0);
  expect_normal_service ();
}

TEST_F (HttpGarbage, SurvivesMutatedRequests)
{
  const std::string good = "POST /a?b=c HTTP/1.1\r\nHost: x\r\n"
                           "Content-Length: 5\r\nX-A: b\r\n\r\nhello";

  for (int i = 0; i < kRounds; i++)
    {
      std::string s = good;

      for (unsigned n = random () % 4 + 1; n > 0; n--)
        s[random () % s.size ()] = static_cast<char> (random ());
      send_and_shut_down (s.substr (0, random () % s.size () + 1));
    }
  expect_normal_service ();
}

TEST_F (HttpGarbage, RejectsMalformedHeaders)
{
  const std::string line = "GET / HTTP/1.1\r\nHost: x\r\n";

  for (const char *h :
       { "Content-Length: many\r\n\r\n", "Content-Length: -1\r\n\r\n",
         "Content-Length: 99999999999999999999999\r\n\r\n", "NoColon\r\n\r\n",
         "Transfer-Encoding: chunked\r\n\r\nZZ\r\nxx\r\n0\r\n\r\n",
         "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nxx" })
    {
      n_requests = 0;
      send_and_shut_down (line + h);
      EXPECT_EQ (n_requests, 0) << h;
    }
  expect_normal_service ();
}

TEST_F (HttpGarbage, RejectsAnOversizedHeader)
{
  std::string got
      = send_and_shut_down ("GET / HTTP/1.1\r\nHost: x\r\nX-Huge: "
                            + std::string (1024 * 1024, 'h') + "\r\n\r\n");

  EXPECT_EQ (n_requests, 0);
  expect_normal_service ();
}

TEST_F (HttpGarbage, RejectsTooManyHeaders)
{
  std::string s = "GET / HTTP/1.1\r\nHost: x\r\n";

  for (int i = 0; i < 100000; i++)
    s += "A: b\r\n";
  send_and_shut_down (s + "\r\n");
  EXPECT_EQ (n_requests, 0);
  expect_normal_service ();
}

TEST_F (HttpGarbage, ResponseHeadersCannotBeInjected)
{
  Answer a;
  std::string leaked;

  on_request = [] (mq_http_exchange *x) {
    mq_http_header h[] = { { MQ_SPAN ("X-A"), MQ_SPAN ("b\r\nX-Leaked: yes") },
                           { MQ_SPAN ("X-B"), MQ_SPAN ("fine") } };

    mq_http_exchange_reply (x, 200, h, 2, MQ_SPAN ("ok"));
  };
  a.on_event = [&] (const mq_http_client_event &e) {
    EXPECT_EQ (mq_http_call_header (e.call, "X-Leaked").data, nullptr);
    EXPECT_EQ (mq_http_call_header (e.call, "X-A").data, nullptr);
    leaked = text (mq_http_call_header (e.call, "X-B"));
  };
  call (&a, "/");
  ASSERT_TRUE (until ([&] { return a.ends == 1; }));
  EXPECT_EQ (leaked, "fine");
}

TEST_F (HttpGarbage, RequestHeadersCannotBeInjected)
{
  Answer a;
  mq_http_header h[] = { { MQ_SPAN ("X-A"), MQ_SPAN ("b\r\nX-Leaked: yes") },
                         { MQ_SPAN ("X-B"), MQ_SPAN ("fine") },
                         { MQ_SPAN ("X-C: d\r\nX-Leaked"), MQ_SPAN ("e") },
                         { MQ_SPAN ("X-Leaked: e;X"), MQ_SPAN ("f") },
                         { MQ_SPAN ("Content-Length"), MQ_SPAN ("999") },
                         { MQ_SPAN ("X-Empty"), MQ_SPAN ("") } };
  mq_http_call_options options = {};

  on_request = [] (mq_http_exchange *x) {
    EXPECT_EQ (mq_http_exchange_header (x, "X-Leaked").data, nullptr);
    EXPECT_EQ (text (mq_http_exchange_header (x, "X-B")), "fine");
    EXPECT_NE (mq_http_exchange_header (x, "X-Empty").data, nullptr);
    EXPECT_EQ (text (mq_http_exchange_body (x)), "five5");
    mq_http_exchange_reply (x, 200, nullptr, 0, MQ_SPAN ("ok"));
  };
  options.method = MQ_SPAN ("POST");
  options.headers = h;
  options.n_headers = G_N_ELEMENTS (h);
  options.body = MQ_SPAN ("five5");
  call (&a, "/", options);
  ASSERT_TRUE (until ([&] { return a.ends == 1; }));
  EXPECT_EQ (a.body, "ok");
}

/* The upstream replies to each request with the next of a list of malformed
   responses and closes the connection.  */
TEST_F (HttpGarbage, ReportsMalformedUpstreamResponses)
{
  Socket listener = Socket::listening (8);
  std::string u = "http://127.0.0.1:" + std::to_string (listener.port ());
  std::vector<std::string> answers
      = { "",
          "\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive5",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive5",
          "HTTP/1.1 200 OK\r\nX: " + std::string (300 * 1024, 'h'),
          "HTTP/1.1 200 OK\r\nContent-Length: 2097152\r\n\r\n"
              + std::string (2097152, 'b') };

  for (int i = 0; i < 50; i++)
    answers.push_back (random_bytes (500));
  for (const std::string &answer : answers)
    {
      Answer a;
      mq_http_call_options options = {};
      Socket peer (-1);
      size_t sent = 0;
      bool requested = false;

      options.url = span (u);
      mq_http_client_start (client, &options, answer_sink, &a);
      ASSERT_TRUE (until ([&] {
        bool closed = false;

        if (peer.fd < 0 && !requested)
          peer.fd = accept4 (listener.fd, nullptr, nullptr, SOCK_NONBLOCK);
        requested
            = requested || (peer.fd >= 0 && !peer.read (&closed).empty ());
        if (requested && peer.fd >= 0 && sent < answer.size ())
          {
            ssize_t n = send (peer.fd, &answer[sent], answer.size () - sent,
                              MSG_NOSIGNAL);

            sent += n > 0 ? static_cast<size_t> (n) : 0;
          }
        if (requested && sent == answer.size ())
          peer.close ();
        return a.ends == 1;
      }));
      EXPECT_EQ (a.result, MQ_HTTP_BROKEN) << answer.substr (0, 40);
      EXPECT_TRUE (a.maybe_sent);
    }
}

} // namespace
