/* An upstream on loopback that answers each request with the same given bytes
   and closes the connection in order.  */

#ifndef MQ_TESTS_MADE_RESPONSE_H
#define MQ_TESTS_MADE_RESPONSE_H

#include "raw_upstream.h"

namespace raw_upstream
{

class MadeResponse
{
public:
  void
  set (const std::string &text)
  {
    std::lock_guard<std::mutex> lock (mutex_);

    text_ = text;
  }

  std::string
  url () const
  {
    return upstream_.url ();
  }

private:
  std::string
  text ()
  {
    std::lock_guard<std::mutex> lock (mutex_);

    return text_;
  }

  std::mutex mutex_;
  std::string text_;
  Upstream upstream_{ [this] (int fd, const std::string &) {
    send_all (fd, text ());
  } };
};

/* Returns a response whose length is stated.  */
inline std::string
with_length (const std::string &status, const std::string &headers,
             const std::string &body)
{
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

} // namespace raw_upstream

#endif
