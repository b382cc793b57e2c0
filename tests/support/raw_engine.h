/* An engine stand-in that writes the bytes of its responses itself, so that
   these may have neither a length nor chunks.  */

#ifndef MQ_TESTS_RAW_ENGINE_H
#define MQ_TESTS_RAW_ENGINE_H

#include "entry_text.h"
#include "gateway_standins.h"
#include "loopback_listener.h"
#include "response_text.h"

#include <netinet/tcp.h>

namespace gateway
{

class RawEngine
{
  LoopbackListener listener_;

public:
  /* An engine that holds a model, or an instance of the plain SERVICE.  */
  RawEngine (std::string id, std::string domain, std::string service = "")
      : id (std::move (id)), domain (std::move (domain)),
        service (std::move (service)), address (listener_.address)
  {
  }

  RawEngine (const RawEngine &) = delete;
  RawEngine &operator= (const RawEngine &) = delete;
  ~RawEngine () { crash (); }

  std::string
  entry () const
  {
    return "{\"service\":\"" + (service.empty () ? "model" : service)
           + "\",\"address\":\"" + address + "\",\"zone\":\"" + domain
           + "\",\"slots\":8,\"state\":\"ready\"" + entry_common
           + (service.empty () ? engine_members ("big", 0, 80) : "") + "}";
  }

  /* Accept connections and handle what has arrived.  A request for a report is
     answered; others go to `serve', whose result is the whole response.  */
  void
  poll ()
  {
    int fd;

    while ((fd = listener_.accept ()) >= 0)
      {
        int on = 1;

        /* What it writes later arrives at once.  */
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connections_[fd] = "";
      }
    for (auto i = connections_.begin (); i != connections_.end ();)
      {
        bool open = read (i->first, i->second);

        if (!open)
          close (i->first);
        i = open ? std::next (i) : connections_.erase (i);
      }
    if (crash_due)
      crash ();
  }

  /* Write BYTES to all connections.  */
  void
  write (const std::string &bytes)
  {
    for (auto &c : connections_)
      send (c.first, bytes.data (), bytes.size (), MSG_NOSIGNAL);
  }

  /* End all connections, in order.  */
  void
  hang_up ()
  {
    for (auto &c : connections_)
      close (c.first);
    connections_.clear ();
  }

  /* Close all sockets, without a reset: what is on the way arrives.  */
  void
  crash ()
  {
    hang_up ();
    listener_.close ();
  }

  bool
  has_crashed () const
  {
    return listener_.is_closed ();
  }

  /* The head of a signed response to REQUEST that ends with its connection. */
  static std::string
  unframed_head (const std::string &request)
  {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "Connection: close\r\nMarjoramquay-Response-Signature: s\r\n"
           "Marjoramquay-Attempt-Id: "
           + request_id (request) + "\r\n\r\n";
  }

  std::string id, domain, service, address;
  unsigned runs = 0;       /* Requests that went to `serve'.  */
  bool crash_due = false;  /* Crash at the end of `poll'.  */
  bool stays_open = false; /* Keep connections after a response.  */
  std::function<std::string (const std::string &)> serve;

private:
  /* Read from FD into BYTES.  Returns false when the connection is to be
     closed.  */
  bool
  read (int fd, std::string &bytes)
  {
    char buffer[4096];
    ssize_t n = recv (fd, buffer, sizeof buffer, 0);
    std::string response;

    if (n == 0)
      return false;
    if (n > 0)
      bytes.append (buffer, (size_t)n);
    if (bytes.find ("\r\n\r\n") == std::string::npos)
      return true;
    if (bytes.find ("GET /report") == 0)
      response = report ();
    else
      {
        runs++;
        response = serve (bytes);
      }
    bytes.clear ();
    send (fd, response.data (), response.size (), MSG_NOSIGNAL);
    return stays_open;
  }

  static std::string
  report ()
  {
    const std::string body
        = "{\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,"
          "\"kvUsed\":0,\"kvTotal\":1,\"layers\":{\"from\":0,\"target\":80}}";

    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
           + std::to_string (body.size ()) + "\r\n\r\n" + body;
  }

  std::map<int, std::string> connections_; /* Socket -> what arrived.  */
};

} // namespace gateway

#endif
