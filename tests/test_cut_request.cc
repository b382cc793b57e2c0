/* Requests of clients that are cut, contradictory or malformed.  None counts
   as a whole request, and what follows one on its connection counts as no
   request either.  */

#include "http_fixture.hh"

namespace
{

const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\n";
/* What a malformed request must not carry past the server.  */
const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";

class CutRequest : public Http
{
protected:
  std::vector<std::string> requests; /* Paths and bodies.  */

  void
  SetUp () override
  {
    Http::SetUp ();
    on_request = [this] (mq_http_exchange *x) {
      requests.push_back (text (mq_http_exchange_path (x)) + " "
                          + text (mq_http_exchange_body (x)));
      mq_http_exchange_reply (x, 200, nullptr, 0, MQ_SPAN ("ok"));
    };
  }

  /* Send BYTES.  Returns what the server has sent by the time it closes the
     connection, or, if it does not, when it has answered the first request.
     Sets CLOSED if it has closed the connection.  */
  std::string
  exchange (const std::string &bytes, bool *closed)
  {
    Socket s = Socket::connected (mq_http_server_port (server));
    std::string got;
    ev_tstamp limit = ev_time () + 0.3;

    *closed = false;
    s.write (bytes);
    until ([&] {
      got += s.read (closed);
      return *closed || ev_time () > limit;
    });
    return got;
  }

  /* Send BYTES and close the connection, with a reset if RESETS.  */
  void
  send_and_close (const std::string &bytes, bool resets)
  {
    Socket s = Socket::connected (mq_http_server_port (server));
    struct linger l = { resets, 0 };

    setsockopt (s.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    s.write (bytes);
    /* The bytes have arrived before the close.  */
    ASSERT_TRUE (
        until ([&] { return mq_http_server_connections (server) > 0; }));
    s.close ();
    ASSERT_TRUE (
        until ([&] { return mq_http_server_connections (server) == 0; }));
  }

  void
  expect_normal_service ()
  {
    Answer a;

    requests.clear ();
    call (&a, "/normal");
    ASSERT_TRUE (until ([&] { return a.ends == 1; }));
    EXPECT_EQ (a.body, "ok");
    EXPECT_EQ (requests, std::vector<std::string>{ "/normal " });
  }

  /* Expect that none of BYTES is a request, and that the answer, if any, is
     400, or 413 where the length is a number that is too large.  */
  void
  expect_rejected (const std::string &bytes)
  {
    bool closed;

    SCOPED_TRACE (bytes);
    requests.clear ();
    std::string got = exchange (bytes, &closed);
    EXPECT_TRUE (requests.empty ()) << requests[0];
    EXPECT_TRUE (closed);
    EXPECT_TRUE (got.empty () || got.find ("HTTP/1.1 400 ") == 0
                 || got.find ("HTTP/1.1 413 ") == 0)
        << got;
    EXPECT_EQ (got.find ("HTTP/1.1 2"), std::string::npos) << got;
  }
};

/* Each is followed by a request that is hidden in what may be its body.  */
const std::vector<std::string> malformed = {
  head + "Content-Length: 0\r\nContent-Length: 34\r\n\r\n",
  head + "Content-Length: 34\r\nContent-Length: 0\r\n\r\n",
  head + "Content-Length: 2\r\nContent-Length: 34\r\n\r\nab",
  head + "Content-Length: 0, 34\r\n\r\n",
  head + "Content-Length: 2x\r\n\r\nab",
  head + "Content-Length: +2\r\n\r\nab",
  head + "Content-Length: -1\r\n\r\nab",
  head + "Content-Length: 2 2\r\n\r\nab",
  head + "Content-Length: 0x2\r\n\r\nab",
  head + "Content-Length: 2.0\r\n\r\nab",
  head + "Content-Length: \"2\"\r\n\r\nab",
  head + "Content-Length:\r\n\r\n",
  head + "Content-Length: ,\r\n\r\n",
  head + "Content-Length: 18446744073709551618\r\n\r\nab",
  head + "X-A: b\rContent-Length: 34\r\n\r\n",
  head + "X-A: b\r\n Content-Length: 34\r\n\r\n",
  head + chunked + " , identity\r\n\r\n0\r\n\r\n",
  head + std::string ("X-A\0: b\r\n\r\n", 11),
  head + "Content-Length : 34\r\n\r\n",
  head + "Content-Length\t: 34\r\n\r\n",
  head + "Content-Length: 2\r\n" + chunked + "\r\n2\r\nab\r\n0\r\n\r\n",
  head + chunked + "Content-Length: 2\r\n\r\n2\r\nab\r\n0\r\n\r\n",
  head + chunked + "Content-Length: 0\r\n\r\n0\r\n\r\n",
  head + chunked + chunked + "\r\n0\r\n\r\n",
  head + "Transfer-Encoding: identity\r\n\r\n",
  head + "Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n",
  head + "Transfer-Encoding: identity\r\n" + chunked + "\r\n0\r\n\r\n",
  head + chunked + "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
  head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
  head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
  head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
  head + "Transfer-Encoding: \"chunked\"\r\n\r\n0\r\n\r\n",
  head + "Transfer-Encoding:\r\n\r\n0\r\n\r\n",
  head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
  "POST /a HTTP/1.0\r\nHost: x\r\n" + chunked + "\r\n0\r\n\r\n",
  head + chunked + "\r\nZZ\r\nab\r\n0\r\n\r\n",
  head + chunked + "\r\n2x\r\nab\r\n0\r\n\r\n",
  head + chunked + "\r\n+2\r\nab\r\n0\r\n\r\n",
  head + chunked + "\r\n-2\r\nab\r\n0\r\n\r\n",
  head + chunked + "\r\n0x2\r\nab\r\n0\r\n\r\n",
  head + chunked + "\r\n 2\r\nab\r\n0\r\n\r\n",
  head + chunked + "\r\n\r\nab\r\n0\r\n\r\n",
  head + chunked + "\r\n2\r\nabc\r\n0\r\n\r\n",
  head + chunked + "\r\n10000000000000002\r\nab\r\n0\r\n\r\n",
};

} // namespace

/* A request that is cut at any byte is no request.  */
TEST_F (CutRequest, IsNotReported)
{
  for (const std::string &whole :
       { head + "Content-Length: 5\r\n\r\nhello",
         head + chunked + "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
         std::string ("GET /a HTTP/1.1\r\nHost: x\r\n\r\n") })
    for (bool resets : { false, true })
      for (size_t n = 1; n < whole.size (); n++)
        {
          send_and_close (whole.substr (0, n), resets);
          EXPECT_TRUE (requests.empty ())
              << n << " bytes of " << whole << (resets ? " (reset)" : "");
          requests.clear ();
        }
  expect_normal_service ();
}

/* The same where only the sending side is closed.  */
TEST_F (CutRequest, WithOpenReceivingSideIsNotReported)
{
  const std::string whole
      = head + chunked + "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";

  for (size_t n = 1; n < whole.size (); n++)
    {
      Socket s = Socket::connected (mq_http_server_port (server));
      bool closed = false;

      s.write (whole.substr (0, n));
      shutdown (s.fd, SHUT_WR);
      EXPECT_TRUE (until ([&] {
        s.read (&closed);
        return closed;
      }));
      EXPECT_TRUE (requests.empty ()) << n;
      requests.clear ();
    }
  expect_normal_service ();
}

/* A length that is none, lengths or codings that contradict one another, and
   malformed chunks.  */
TEST_F (CutRequest, WithMalformedLengthIsRejected)
{
  for (const std::string &bytes : malformed)
    expect_rejected (bytes + hidden);
  expect_normal_service ();
}

/* On a connection on which a sound request was served.  */
TEST_F (CutRequest, AfterSoundOneIsRejected)
{
  for (const std::string &bytes : malformed)
    {
      SCOPED_TRACE (bytes);
      bool closed;

      requests.clear ();
      std::string got = exchange (
          head + "Content-Length: 2\r\n\r\nok" + bytes + hidden, &closed);
      EXPECT_EQ (requests, std::vector<std::string>{ "/a ok" });
      EXPECT_EQ (got.find ("HTTP/1.1 200 "), 0u) << got;
      EXPECT_TRUE (closed);
    }
  expect_normal_service ();
}

/* What is unusual but sound is served, and so is what follows it.  */
TEST_F (CutRequest, SoundOnesAreServed)
{
  for (const std::string &bytes :
       { head + "content-length:2\r\n\r\nab",
         head + "Content-Length: 002\r\n\r\nab",
         head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
         head + "Transfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
         head + chunked + "\r\n2;x=y\r\nab\r\n0\r\nT: v\r\n\r\n",
         head + chunked + "\r\n02\r\nab\r\n000\r\n\r\n" })
    {
      SCOPED_TRACE (bytes);
      bool closed;

      requests.clear ();
      exchange (bytes + hidden, &closed);
      EXPECT_EQ (requests, (std::vector<std::string>{ "/a ab", "/hidden " }));
      EXPECT_FALSE (closed);
    }
}

/* A chunk of three bytes whose last one is the first of its end.  */
TEST_F (CutRequest, ChunkThatEndsInLineFeedIsRejected)
{
  expect_rejected (head + chunked + "\r\n3\r\nab\r\n0\r\n\r\n");
}

/* libmicrohttpd makes "Content-Length4: 2" of the first, cuts the value of the
   second, and leaves out the header of the third.  */
TEST_F (CutRequest, WithHeaderThatLibraryAltersIsRejected)
{
  expect_rejected (head + "Content-Length: 2\r\n 4\r\n\r\nab" + hidden);
  expect_rejected (head + std::string ("X-A: b\0c\r\n\r\n", 12) + hidden);
  expect_rejected (head + ": b\r\n\r\n" + hidden);
}
