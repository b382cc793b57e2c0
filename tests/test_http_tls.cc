/* TLS towards callers and upstreams.  The certificates are made here, so that
   none lies in the repository.  */

#include "http_fixture.hh"
#include "support/certificate.h"

#include <cstdlib>

using certificate::make_certificate;

namespace
{

class HttpTls : public Http
{
protected:
  std::string folder;

  void
  SetUp () override
  {
    char name[] = "/tmp/mq-tls-XXXXXX";

    ASSERT_NE (mkdtemp (name), nullptr);
    folder = name;
    make_certificate (file ("cert"), file ("key"), 1);
    loop = ev_loop_new (EVFLAG_AUTO);
    trust (file ("cert"));
    listen ();
    on_request = [] (mq_http_exchange *x) {
      mq_http_exchange_reply (x, 200, nullptr, 0, MQ_SPAN ("secret"));
    };
  }

  void
  TearDown () override
  {
    Http::TearDown ();
    for (const char *name : { "cert", "key", "other-cert", "other-key" })
      unlink (file (name).c_str ());
    rmdir (folder.c_str ());
  }

  std::string
  file (const char *name)
  {
    return folder + "/" + name;
  }

  /* Take a new client that believes only CERTIFICATE.  */
  void
  trust (const std::string &certificate)
  {
    mq_http_client_free (client);
    client = mq_http_client_new (loop, span (certificate));
  }

  void
  listen ()
  {
    std::string certificate = file ("cert");
    std::string key = file ("key");
    mq_http_server_options options = {};
    GError *error = nullptr;

    options.address = MQ_SPAN ("127.0.0.1");
    options.body_limit = 64 * 1024;
    options.idle_s = 5;
    options.certificate = span (certificate);
    options.key = span (key);
    server = mq_http_server_new (loop, &options, sink, this, &error);
    ASSERT_NE (server, nullptr) << error->message;
  }

  Answer
  get ()
  {
    Answer a;
    std::string u = "https" + url ("/").substr (4);
    mq_http_call_options options = {};

    options.url = span (u);
    options.connect_ms = 10000;
    mq_http_client_start (client, &options, answer_sink, &a);
    EXPECT_TRUE (until ([&] { return a.ends == 1; }));
    return a;
  }
};

TEST_F (HttpTls, ServesATrustingCaller)
{
  Answer a = get ();

  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.body, "secret");
}

TEST_F (HttpTls, SendsNothingToAnUntrustedUpstream)
{
  Answer a;

  make_certificate (file ("other-cert"), file ("other-key"), 9);
  trust (file ("other-cert"));
  on_request = [] (mq_http_exchange *) { FAIL (); };
  a = get ();
  EXPECT_EQ (a.result, MQ_HTTP_CONNECT_FAILED);
  EXPECT_FALSE (a.maybe_sent);
}

TEST_F (HttpTls, ReportsDisconnectDuringAStream)
{
  Answer a;
  std::string u = "https" + url ("/").substr (4);
  std::string piece (100 * 1024, 'x');
  mq_http_call_options options = {};
  mq_http_call *c;

  on_request = [&] (mq_http_exchange *x) {
    mq_http_exchange_begin (x, 200, nullptr, 0);
    mq_http_exchange_write (x, span (piece));
  };
  options.url = span (u);
  options.streamed = true;
  options.connect_ms = 10000;
  c = mq_http_client_start (client, &options, answer_sink, &a);
  ASSERT_TRUE (until ([&] { return a.body == piece; }));
  mq_http_call_cancel (c);
  ASSERT_TRUE (until ([&] { return disconnects == 1; }));
}

TEST_F (HttpTls, ReloadsTheCertificateWithoutARestart)
{
  GError *error = nullptr;

  EXPECT_EQ (get ().body, "secret");
  make_certificate (file ("cert"), file ("key"), 2);
  /* The old one is in force until the reload: the client, which now trusts
     only the new one, refuses it.  */
  trust (file ("cert"));
  EXPECT_EQ (get ().result, MQ_HTTP_CONNECT_FAILED);
  ASSERT_EQ (mq_http_server_reload_tls (server, &error), 0);
  EXPECT_EQ (get ().body, "secret");
}

TEST_F (HttpTls, KeepsTheOldCertificateWhenTheNewOneIsInvalid)
{
  GError *error = nullptr;

  g_file_set_contents (file ("cert").c_str (), "not a certificate", -1,
                       nullptr);
  EXPECT_EQ (mq_http_server_reload_tls (server, &error), -1);
  ASSERT_NE (error, nullptr);
  EXPECT_EQ (error->code, MQ_HTTP_SERVER_ERROR_TLS);
  g_clear_error (&error);
  make_certificate (file ("other-cert"), file ("other-key"), 9);
  /* The key of another certificate.  */
  std::string c = file ("cert");
  make_certificate (c, file ("key"), 3);
  rename (file ("other-key").c_str (), file ("key").c_str ());
  EXPECT_EQ (mq_http_server_reload_tls (server, &error), -1);
  g_clear_error (&error);
  EXPECT_EQ (get ().result, MQ_HTTP_CONNECT_FAILED);
}

TEST_F (HttpTls, KeepsOpenConnectionsAcrossAReload)
{
  Answer a;
  std::string u = "https" + url ("/").substr (4);
  mq_http_call_options options = {};
  mq_http_exchange *x = nullptr;
  GError *error = nullptr;

  on_request = [&] (mq_http_exchange *e) { x = mq_http_exchange_ref (e); };
  options.url = span (u);
  options.streamed = true;
  options.connect_ms = 10000;
  mq_http_client_start (client, &options, answer_sink, &a);
  ASSERT_TRUE (until ([&] { return x != nullptr; }));
  make_certificate (file ("cert"), file ("key"), 2);
  ASSERT_EQ (mq_http_server_reload_tls (server, &error), 0);
  mq_http_exchange_begin (x, 200, nullptr, 0);
  mq_http_exchange_write (x, MQ_SPAN ("whole"));
  mq_http_exchange_end (x);
  ASSERT_TRUE (until ([&] { return a.ends == 1; }));
  EXPECT_EQ (a.result, MQ_HTTP_OK);
  EXPECT_EQ (a.body, "whole");
  mq_http_exchange_unref (x);
}

TEST_F (HttpTls, FailsToStartWithoutCertificateFiles)
{
  mq_http_server_options options = {};
  GError *error = nullptr;

  options.address = MQ_SPAN ("127.0.0.1");
  options.certificate = MQ_SPAN ("/nonexistent/cert.pem");
  options.key = MQ_SPAN ("/nonexistent/key.pem");
  EXPECT_EQ (mq_http_server_new (loop, &options, sink, this, &error), nullptr);
  ASSERT_NE (error, nullptr);
  EXPECT_EQ (error->code, MQ_HTTP_SERVER_ERROR_TLS);
  g_clear_error (&error);
}

TEST_F (HttpTls, SurvivesACallerWithoutTls)
{
  bool closed = false;
  Socket s = Socket::connected (mq_http_server_port (server));

  s.write ("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE (until ([&] {
    s.read (&closed);
    return closed;
  }));
  EXPECT_EQ (get ().body, "secret");
}

} // namespace
