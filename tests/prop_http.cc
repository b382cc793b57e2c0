/* The client's reports are correct for any fault of an upstream's connections:
   a request reported as unsent has not arrived, a request with ONCE arrives at
   most once, and a response reported as complete is complete.  */

#include "http_fixture.hh"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace
{

constexpr uint64_t kTimeout_ms = 20;

enum class Fault
{
  None,         /* A complete response; the connection is kept.  */
  CloseKept,    /* A complete response, then the connection is closed.  */
  Refuse,       /* No process listens.  */
  CloseAccept,  /* Closed as soon as it is established.  */
  ResetAccept,  /* Reset as soon as it is established.  */
  CloseRequest, /* Closed once a part of the request has arrived.  */
  ResetRequest,
  HalfAnswer, /* Closed in the middle of the response.  */
  Silence     /* No response.  */
};

struct Step
{
  Fault fault;
  bool once;
};

void
showValue (const Step &s, std::ostream &os)
{
  os << (s.once ? "once:" : "") << static_cast<int> (s.fault);
}

rc::Gen<Step>
gen_step ()
{
  return rc::gen::construct<Step> (
      rc::gen::element (Fault::None, Fault::None, Fault::CloseKept,
                        Fault::Refuse, Fault::CloseAccept, Fault::ResetAccept,
                        Fault::CloseRequest, Fault::ResetRequest,
                        Fault::HalfAnswer, Fault::Silence),
      rc::gen::arbitrary<bool> ());
}

class FaultyUpstream
{
public:
  Socket listener = Socket::listening (16);
  std::string received; /* All bytes, of all connections.  */

  void
  run (Fault fault)
  {
    int fd;

    while ((fd = accept4 (listener.fd, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
      {
        peers.emplace_back (fd);
        if (fault == Fault::CloseAccept)
          peers.back ().close ();
        else if (fault == Fault::ResetAccept)
          reset (peers.back ());
      }
    for (Socket &p : peers)
      serve (p, fault);
  }

  int
  count (const std::string &text) const
  {
    int n = 0;

    for (size_t at = 0; (at = received.find (text, at)) != std::string::npos;
         at++)
      n++;
    return n;
  }

private:
  std::vector<Socket> peers;

  static void
  reset (Socket &s)
  {
    linger l = { 1, 0 };

    setsockopt (s.fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
    s.close ();
  }

  void
  serve (Socket &p, Fault fault)
  {
    bool closed = false;
    std::string bytes = p.fd < 0 ? "" : p.read (&closed);

    if (bytes.empty ())
      return;
    received += bytes;
    switch (fault)
      {
      case Fault::None:
        p.write ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        break;
      case Fault::CloseKept:
        p.write ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        p.close ();
        break;
      case Fault::HalfAnswer:
        p.write ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh");
        p.close ();
        break;
      case Fault::ResetRequest:
        reset (p);
        break;
      case Fault::Silence:
        break;
      default:
        p.close ();
      }
  }
};

class Property : public Http
{
public:
  void
  TestBody () override
  {
  }

  using Http::SetUp;
  using Http::TearDown;

  Answer
  post (FaultyUpstream *upstream, const Step &step, const std::string &body)
  {
    Answer a;
    /* Bound but not listening, so that no other process can use the port.  */
    Socket dead (socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in any = {};
    mq_http_call_options options = {};

    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    bind (dead.fd, reinterpret_cast<sockaddr *> (&any), sizeof any);
    std::string u = "http://127.0.0.1:"
                    + std::to_string (step.fault == Fault::Refuse
                                          ? dead.port ()
                                          : upstream->listener.port ());
    options.url = span (u);
    options.method = MQ_SPAN ("POST");
    options.body = span (body);
    options.once = step.once;
    options.timeout_ms = step.fault == Fault::Silence ? kTimeout_ms : 0;
    mq_http_client_start (client, &options, answer_sink, &a);
    RC_ASSERT (until ([&] {
      upstream->run (step.fault);
      return a.ends > 0;
    }));
    return a;
  }
};

RC_GTEST_PROP (HttpProperty, TheClientTellsTheTruth, ())
{
  const auto steps = *rc::gen::container<std::vector<Step> > (6, gen_step ());
  Property t;
  FaultyUpstream upstream;
  int number = 0;

  t.SetUp ();
  for (const Step &s : steps)
    {
      std::string body = "charge " + std::to_string (number++) + ";";
      Answer a = t.post (&upstream, s, body);
      bool answers = s.fault == Fault::None || s.fault == Fault::CloseKept;

      RC_ASSERT (a.ends == 1);
      if (!a.maybe_sent)
        RC_ASSERT (upstream.count (body) == 0);
      if (s.once)
        RC_ASSERT (upstream.count (body) <= 1);
      if (a.result == MQ_HTTP_OK)
        RC_ASSERT (answers && a.body == "whole" && upstream.count (body) >= 1);
      if (a.result == MQ_HTTP_CONNECT_FAILED)
        RC_ASSERT (!a.maybe_sent);
      if (s.once && answers)
        RC_ASSERT (a.result == MQ_HTTP_OK);
      if (s.fault == Fault::Refuse)
        RC_ASSERT (!a.maybe_sent);
    }
  t.TearDown ();
}

} // namespace
