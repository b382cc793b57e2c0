/* An engine for tests of back pressure: it holds all layers and writes tokens
   as fast as its peer reads them.  It serves one stream at a time, in a thread
   of its own.  */

#ifndef MQ_TESTS_FAST_ENGINE_H
#define MQ_TESTS_FAST_ENGINE_H

#include "programs.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>

class FastEngine
{
public:
  FastEngine (unsigned layers, unsigned tokens)
      : layers_ (layers), tokens_ (tokens)
  {
    struct sockaddr_in a = {};
    socklen_t size = sizeof a;

    listener_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    if (bind (listener_, (struct sockaddr *)&a, sizeof a) != 0
        || listen (listener_, 16) != 0
        || getsockname (listener_, (struct sockaddr *)&a, &size) != 0)
      throw std::runtime_error ("listen");
    port_ = ntohs (a.sin_port);
    thread_ = std::thread ([this] { serve (); });
  }

  ~FastEngine ()
  {
    shutdown (listener_, SHUT_RDWR);
    shutdown (stream_, SHUT_RDWR);
    thread_.join ();
    close (listener_);
  }

  std::string
  url () const
  {
    return "http://127.0.0.1:" + std::to_string (port_);
  }

  /* Returns the bytes of response lines that the socket has accepted.  */
  size_t
  written () const
  {
    return written_;
  }

  /* Returns the token at POSITION, a long text.  */
  static std::string
  token (unsigned position)
  {
    return std::string (1000, (char)('a' + position % 26))
           + std::to_string (position) + " ";
  }

private:
  void
  serve ()
  {
    int fd;

    while ((fd = accept (listener_, nullptr, nullptr)) >= 0)
      {
        std::string request = read_request (fd);

        if (request.compare (0, 16, "POST /v1/streams") == 0)
          {
            stream_ = fd;
            answer (fd, request);
          }
        else
          send_all (fd, load ());
        close (fd);
      }
  }

  /* Returns the response to a load request.  All other requests get it too. */
  std::string
  load () const
  {
    std::string body
        = "{\"engine\":\"whole\",\"model\":\"m\",\"version\":"
          "\"v1\",\"first\":0,\"end\":"
          + std::to_string (layers_)
          + ",\"queue\":0,\"batch\":0,\"slots\":32,\"step_us\":10,"
            "\"kv_used\":0,\"kv_limit\":1000000,\"age_ms\":0,"
            "\"incarnation\":1}";

    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
           + std::to_string (body.size ()) + "\r\n\r\n" + body;
  }

  static std::string
  read_request (int fd)
  {
    std::string text;
    char piece[4096];
    ssize_t n;

    /* The body is one JSON object that ends with the plan's list.  */
    while ((n = recv (fd, piece, sizeof piece, 0)) > 0)
      {
        text.append (piece, (size_t)n);
        if (text.compare (0, 4, "GET ") == 0
            || text.find ("]}", text.size () - 2) != std::string::npos)
          break;
      }
    return text;
  }

  bool
  send_all (int fd, const std::string &text)
  {
    for (size_t at = 0; at < text.size ();)
      {
        ssize_t n
            = send (fd, text.data () + at, text.size () - at, MSG_NOSIGNAL);

        if (n <= 0)
          return false;
        at += (size_t)n;
      }
    return true;
  }

  bool
  send_line (int fd, const std::string &line)
  {
    char size[16];

    snprintf (size, sizeof size, "%zx\r\n", line.size () + 1);
    if (!send_all (fd, size + line + "\n\r\n"))
      return false;
    written_ += line.size ();
    return true;
  }

  void
  answer (int fd, const std::string &request)
  {
    std::string body = request.substr (request.find ("\r\n\r\n") + 4);
    std::string head
        = "{\"request\":\"" + programs::json_text (body, "request")
          + "\",\"attempt\":" + programs::json_text (body, "attempt");

    send_all (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (unsigned p = 0; p < tokens_; p++)
      if (!send_line (fd, head + ",\"p\":" + std::to_string (p) + ",\"t\":\""
                              + token (p) + "\",\"s\":[[0,"
                              + std::to_string (layers_) + ",\"v1\"]]}"))
        return;
    if (send_line (fd, head + ",\"end\":\"done\"}"))
      send_all (fd, "0\r\n\r\n");
  }

  unsigned layers_;
  unsigned tokens_;
  int listener_ = -1;
  std::atomic<int> stream_{ -1 };
  uint16_t port_ = 0;
  std::atomic<size_t> written_{ 0 };
  std::thread thread_;
};

#endif
