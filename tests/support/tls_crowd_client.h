/* A client as in crowd_client.h that speaks TLS.  It trusts any server.  */

#ifndef MQ_TESTS_TLS_CROWD_CLIENT_H
#define MQ_TESTS_TLS_CROWD_CLIENT_H

#include "crowd_client.h"

#include <gnutls/gnutls.h>
#include <memory>

namespace crowd
{

class TlsCrowdClient
{
public:
  /* A client that is to send SENDING after its handshake, or to stay silent
     after the first message of that if it is HELLO_ONLY.  */
  TlsCrowdClient (Socket socket, const Sending *sending,
                  gnutls_certificate_credentials_t credentials,
                  bool hello_only)
      : socket_ (std::move (socket)), sending_ (sending),
        hello_only_ (hello_only)
  {
    gnutls_init (&session_,
                 GNUTLS_CLIENT | GNUTLS_NONBLOCK | GNUTLS_NO_SIGNAL);
    gnutls_set_default_priority (session_);
    gnutls_credentials_set (session_, GNUTLS_CRD_CERTIFICATE, credentials);
    gnutls_transport_set_int (session_, socket_.fd);
  }

  TlsCrowdClient (const TlsCrowdClient &) = delete;
  TlsCrowdClient &operator= (const TlsCrowdClient &) = delete;

  ~TlsCrowdClient () { gnutls_deinit (session_); }

  /* Send what the connection takes, up to LIMIT bytes.  */
  void
  write (size_t limit)
  {
    if (!greeted_ && !greet ())
      return;
    while (!is_done () && limit > 0)
      {
        auto piece = sending_->at (sent_);
        ssize_t n = gnutls_record_send (session_, piece.first,
                                        std::min (piece.second, limit));

        if (n < 0)
          {
            closed_ = gnutls_error_is_fatal ((int)n) != 0;
            return;
          }
        sent_ += (size_t)n;
        limit -= (size_t)n;
      }
  }

  /* Returns true if all is sent, or can't be.  */
  bool
  is_done () const
  {
    return closed_ || (greeted_ && sent_ == sending_->size ());
  }

private:
  /* Go on with the handshake.  Returns true once it is complete.  */
  bool
  greet ()
  {
    int r = closed_ ? -1 : gnutls_handshake (session_);

    greeted_ = r == 0 || hello_only_;
    closed_ = closed_ || (r < 0 && gnutls_error_is_fatal (r));
    return r == 0;
  }

  Socket socket_;
  const Sending *sending_;
  bool hello_only_;
  gnutls_session_t session_;
  size_t sent_ = 0;
  bool greeted_ = false; /* The handshake is complete, or goes no further.  */
  bool closed_ = false;
};

} // namespace crowd

#endif
