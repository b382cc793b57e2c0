/* Crowds of clients that don't behave before a router that serves with TLS, on
   a small machine.  What is checked doesn't depend on the speed of the
   machine.  */

#include "support/certificate.h"
#include "support/deployment_crowd.h"
#include "support/tls_crowd_client.h"

using crowd::Sending;
using crowd::TlsCrowdClient;
using deployment::Options;

namespace
{

constexpr unsigned rounds = 100;

std::string
head (const std::string &framing)
{
  return "POST /v1/services/booking/units/7 HTTP/1.1\r\nHost: x\r\n" + framing
         + "\r\n\r\n";
}

class CrowdTls : public deployment::CrowdFixture
{
protected:
  CrowdTls ()
  {
    const std::string certificate = files_.write ("certificate", "");
    const std::string key = files_.write ("key", "");
    Options options;

    gnutls_certificate_allocate_credentials (&credentials_);
    certificate::make_certificate (certificate, key, 1);
    options.ca = certificate;
    options.settings = ", 'tls': { 'certificate': '" + certificate
                       + "', 'key': '" + key + "' }";
    start (options);
  }

  ~CrowdTls () override
  {
    clients_.clear ();
    gnutls_certificate_free_credentials (credentials_);
  }

  void
  join (unsigned n, Sending sending, bool hello_only = false)
  {
    const Sending *kept = keep (std::move (sending));

    for (unsigned i = 0; i < n; i++)
      {
        clients_.push_back (std::make_unique<TlsCrowdClient> (
            Socket::connected (port ()), kept, credentials_, hello_only));
        if (i % 16 == 15)
          send_round ();
      }
  }

  /* Let all clients send, in turn.  Returns true if all have sent all, or are
     refused.  */
  bool
  send_round ()
  {
    bool all = true;

    for (auto &c : clients_)
      {
        c->write (mib);
        all = all && c->is_done ();
      }
    usage_->sample ();
    return all;
  }

  void
  expect_bounded ()
  {
    EXPECT_TRUE (programs::eventually ([&] { return send_round (); }));
    for (unsigned i = 0; i < rounds; i++)
      {
        std::this_thread::sleep_for (std::chrono::milliseconds (10));
        send_round ();
      }
    expect_sound ();
  }

private:
  programs::Folder files_;
  gnutls_certificate_credentials_t credentials_ = nullptr;
  std::vector<std::unique_ptr<TlsCrowdClient> > clients_;
};

TEST_F (CrowdTls, SendsChunksWithoutLastOne)
{
  join (60,
        crowd::chunked (head ("Transfer-Encoding: chunked"), chunk, chunks));
  expect_bounded ();
}

TEST_F (CrowdTls, SendsBodiesFarOverLimit)
{
  join (20, crowd::plain (head ("Content-Length: 1073741824"), 16 * mib));
  expect_bounded ();
}

TEST_F (CrowdTls, SendsWholeBodies)
{
  join (40, crowd::plain (head ("Content-Length: 3145728"), 3 * mib));
  expect_bounded ();
}

TEST_F (CrowdTls, IsSilentAfterHandshake)
{
  join (700, {});
  expect_bounded ();
}

TEST_F (CrowdTls, IsSilentInHandshake)
{
  join (700, {}, true);
  expect_bounded ();
}

TEST_F (CrowdTls, SendsHeadsWithoutEnd)
{
  Sending s;

  s.head = "GET /v1/status HTTP/1.1\r\nHost: x\r\nX-Filler: "
           + std::string (15000, 'x');
  join (700, s);
  expect_bounded ();
}

} // namespace
