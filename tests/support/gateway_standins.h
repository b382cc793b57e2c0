/* Stand-ins for what a router in gateway mode connects to: the platform's
   store, engines and plain services.  They use the formats of the users'
   platform.  */

#ifndef MQ_TESTS_GATEWAY_STANDINS_H
#define MQ_TESTS_GATEWAY_STANDINS_H

#include "entry_text.h"
#include <mq/http_client.h>
#include <mq/http_server.h>

#include <gtest/gtest.h>
#include <json-c/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gateway
{

inline std::string
text (mq_span s)
{
  return std::string (s.size > 0 ? s.data : "", s.size);
}

inline mq_span
span (const std::string &s)
{
  return { s.data (), s.size () };
}

using Headers = std::vector<std::pair<std::string, std::string> >;

/* An HTTP server on loopback that passes its requests to a function.  */
class Server
{
public:
  using Handler = std::function<void (mq_http_exchange *)>;

  Server (struct ev_loop *loop, Handler handler, size_t body_limit = 1 << 20)
      : handler_ (std::move (handler))
  {
    mq_http_server_options o = {};

    o.address = MQ_SPAN ("127.0.0.1");
    o.body_limit = body_limit;
    o.idle_s = 30;
    server_ = mq_http_server_new (loop, &o, on_event, this, nullptr);
  }

  Server (const Server &) = delete;
  Server &operator= (const Server &) = delete;
  ~Server () { close (); }

  void
  close ()
  {
    mq_http_server_free (server_);
    server_ = nullptr;
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (mq_http_server_port (server_));
  }

  unsigned disconnects = 0; /* Clients that left before their response.  */
  std::function<void (mq_http_exchange *)> on_gone;

  static void
  reply (mq_http_exchange *x, unsigned status, const std::string &body = "",
         const Headers &headers = {})
  {
    std::vector<mq_http_header> h;

    for (auto &p : headers)
      h.push_back ({ span (p.first), span (p.second) });
    mq_http_exchange_reply (x, status, h.data (), h.size (), span (body));
  }

private:
  static void
  on_event (void *context, const mq_http_server_event *event)
  {
    Server *s = static_cast<Server *> (context);

    if (event->kind == MQ_HTTP_SERVER_REQUEST)
      s->handler_ (event->exchange);
    else if (event->kind == MQ_HTTP_SERVER_DISCONNECTED)
      {
        s->disconnects++;
        if (s->on_gone)
          s->on_gone (event->exchange);
      }
  }

  Handler handler_;
  mq_http_server *server_;
};

/* A request as an upstream received it.  */
struct ReceivedRequest
{
  std::string method, target, body;
  std::map<std::string, std::string> headers;
  ev_tstamp at; /* When it arrived.  */
};

inline ReceivedRequest
received_request (mq_http_exchange *x)
{
  ReceivedRequest s;
  size_t n;
  const mq_http_header *h = mq_http_exchange_headers (x, &n);
  std::string query = text (mq_http_exchange_query_string (x));

  s.at = ev_time ();
  s.method = text (mq_http_exchange_method (x));
  s.target
      = text (mq_http_exchange_path (x)) + (query.empty () ? "" : "?" + query);
  s.body = text (mq_http_exchange_body (x));
  for (size_t i = 0; i < n; i++)
    s.headers[text (h[i].name)] = text (h[i].value);
  return s;
}

/* An upstream: an engine or an instance of a plain service.  It handles
   requests for reports and orders itself.  Other requests go to `serve', which
   by default sends a complete, signed response.  */
class Upstream
{
public:
  Upstream (struct ev_loop *loop, std::string id, std::string service,
            std::string domain, std::string card = "",
            size_t body_limit = 1 << 20)
      : id (std::move (id)), service (std::move (service)),
        domain (std::move (domain)), card (std::move (card)),
        server (
            loop, [this] (mq_http_exchange *x) { handle_call (x); },
            body_limit)
  {
    serve = [this] (mq_http_exchange *x) { answer (x); };
  }

  /* The headers of each response of an engine.  */
  Headers
  response_headers (mq_http_exchange *x) const
  {
    Headers h = notices;

    h.push_back (
        { "Marjoramquay-Attempt-Id",
          text (mq_http_exchange_header (x, "Marjoramquay-Attempt-Id")) });
    h.push_back ({ "Marjoramquay-Response-Signature", "signed-by-" + id });
    return h;
  }

  void
  answer (mq_http_exchange *x, unsigned status = 200)
  {
    Server::reply (x, status, "answer of " + id, response_headers (x));
  }

  /* Reply that the request was not run; AT is the address of the engine at
     fault, empty for none.  */
  void
  refuse (mq_http_exchange *x, unsigned status = 503,
          const std::string &at = "")
  {
    Headers h = response_headers (x);

    h.pop_back ();
    h.push_back ({ "Marjoramquay-Not-Executed", "1" });
    if (!at.empty ())
      h.push_back ({ "At-Server", at });
    Server::reply (x, status, "", h);
  }

  /* Send the headers of a stream; the exchange stays open.  */
  void
  begin (mq_http_exchange *x)
  {
    std::vector<mq_http_header> h;
    Headers m = response_headers (x);

    m.push_back ({ "Content-Type", "text/event-stream" });
    for (auto &p : m)
      h.push_back ({ span (p.first), span (p.second) });
    mq_http_exchange_begin (x, 200, h.data (), h.size ());
  }

  static std::string
  event (unsigned n)
  {
    return "id: " + std::to_string (n) + "\ndata: t" + std::to_string (n)
           + "\n\n";
  }

  /* Send the events FROM to TO, both inclusive.  */
  static void
  events (mq_http_exchange *x, unsigned from, unsigned to)
  {
    for (unsigned i = from; i <= to; i++)
      mq_http_exchange_write (x, span (event (i)));
  }

  std::string
  entry (bool draining = false) const
  {
    std::string s = "{\"service\":\"" + service + "\",\"address\":\""
                    + server.address () + "\",\"zone\":\"" + domain
                    + "\",\"slots\":8,\"state\":\""
                    + (draining ? "draining" : "ready") + "\"" + entry_common;

    if (!card.empty ())
      s += engine_members (card, first, end);
    if (born > 0)
      s += ",\"born\":" + std::to_string (born);
    return s + "}";
  }

  std::string id, service, domain, card;
  unsigned first = 0, end = 0;
  uint64_t born = 0;                /* Stated unless 0.  */
  unsigned orders = 0;              /* Accepted so far.  */
  unsigned order_status = 202;      /* Reply to orders; 202 accepts them.  */
  bool busy = false;                /* Reported.  */
  std::string report_members;       /* Further ones, each after a comma.  */
  std::function<void ()> on_order;  /* Runs after an order was accepted.  */
  std::vector<std::string> stalled; /* Reported addresses.  */
  bool silent = false;              /* Answers no request for a report.  */
  Headers notices; /* What it states about itself in each response.  */
  /* Arrival of each request, report request and order.  */
  std::vector<ev_tstamp> arrivals;
  std::vector<ReceivedRequest> received_requests;
  Server server;
  std::function<void (mq_http_exchange *)> serve;

private:
  void
  handle_call (mq_http_exchange *x)
  {
    std::string path = text (mq_http_exchange_path (x));

    arrivals.push_back (ev_time ());
    if (path == "/report")
      {
        if (!silent)
          report (x);
      }
    else if (path == "/order")
      order (x);
    else
      {
        received_requests.push_back (received_request (x));
        serve (x);
      }
  }

  void
  report (mq_http_exchange *x)
  {
    std::string s = std::string ("{\"busy\":") + (busy ? "true" : "false")
                    + ",\"sequence\":" + std::to_string (orders)
                    + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                      "\"kvTotal\":1,\"layers\":{\"from\":"
                    + std::to_string (first)
                    + ",\"target\":" + std::to_string (end)
                    + "},\"born\":" + std::to_string (born) + report_members
                    + ",\"stalled\":[";

    for (size_t i = 0; i < stalled.size (); i++)
      s += std::string (i ? "," : "") + "{\"id\":\"x\",\"address\":\""
           + stalled[i] + "\"}";
    Server::reply (x, 200, s + "]}", notices);
  }

  void
  order (mq_http_exchange *x)
  {
    std::string body = text (mq_http_exchange_body (x));
    struct json_object *o = json_tokener_parse (body.c_str ());
    struct json_object *v = nullptr;
    int64_t count = -1;

    if (json_object_object_get_ex (o, "precondition", &v))
      count = json_object_get_int64 (v);
    if (order_status != 202 || count != (int64_t)orders)
      Server::reply (x, order_status != 202 ? order_status : 409, "", notices);
    else
      {
        json_object_object_get_ex (o, "from", &v);
        first = (unsigned)json_object_get_int (v);
        json_object_object_get_ex (o, "target", &v);
        end = (unsigned)json_object_get_int (v);
        orders++;
        Server::reply (x, 202);
        if (on_order)
          on_order ();
      }
    json_object_put (o);
  }
};

/* The platform's store: objects by kind and name, with revisions, lists and
   watches.  */
class Store
{
public:
  explicit Store (struct ev_loop *loop)
      : server (loop,
                [this] (mq_http_exchange *x) { handle_call (x, nullptr); })
  {
    server.on_gone = [this] (mq_http_exchange *x) { cancel_wait (x); };
    loop_ = loop;
    ev_timer_init (&timer_, on_timer, 0.02, 0.02);
    timer_.data = this;
    ev_timer_start (loop, &timer_);
  }

  /* Stop the timer and the server.  To be called before the loop is destroyed.
   */
  void
  close ()
  {
    ev_timer_stop (loop_, &timer_);
    server.close ();
    for (auto &d : doors_)
      d->server.close ();
  }

  ~Store ()
  {
    for (auto &w : waiting_)
      mq_http_exchange_unref (w.exchange);
    for (auto *x : unanswered_)
      mq_http_exchange_unref (x);
  }

  /* An address of its own at which one router reaches the store.  */
  struct Door
  {
    Door (struct ev_loop *loop, Store *store)
        : server (loop, [this, store] (mq_http_exchange *x) {
            store->handle_call (x, this);
          })
    {
      server.on_gone
          = [store] (mq_http_exchange *x) { store->cancel_wait (x); };
    }

    bool silent = false; /* Calls get no reply, watches that wait neither.  */
    Server server;
  };

  Door &
  add_door ()
  {
    doors_.push_back (std::make_unique<Door> (loop_, this));
    return *doors_.back ();
  }

  /* The number of watches of KIND that wait at DOOR.  */
  size_t
  watchers (const std::string &kind, const Door &door) const
  {
    size_t n = 0;

    for (auto &w : waiting_)
      n += w.kind == kind && w.door == &door;
    return n;
  }

  void
  put (const std::string &kind, const std::string &name,
       const std::string &spec)
  {
    change (kind, name, spec, false);
  }

  /* Have ELEMENT stand in the place of the object NAME in lists, and of its
     event.  */
  void
  put_element (const std::string &kind, const std::string &name,
               const std::string &element)
  {
    change (kind, name, "null", false, element);
  }

  void
  remove (const std::string &kind, const std::string &name)
  {
    change (kind, name, "null", true);
  }

  /* Drop the history of events and end all watches with status 410.  */
  void
  drop_events ()
  {
    events_.clear ();
    dropped_until_ = revision_;
    for (auto &w : waiting_)
      {
        Server::reply (w.exchange, 410);
        mq_http_exchange_unref (w.exchange);
      }
    waiting_.clear ();
  }

  /* The number of watches of KIND that wait.  */
  size_t
  watchers (const std::string &kind) const
  {
    size_t n = 0;

    for (auto &w : waiting_)
      n += w.kind == kind;
    return n;
  }

  bool down = false;   /* The status of every call is 503.  */
  std::string failing; /* The same for reads of this kind.  */
  size_t page = 0;     /* Objects in a reply to a scan; 0: all.  */
  bool muted = false;  /* Watches that wait receive nothing.  */
  unsigned scans = 0;
  std::map<std::string, unsigned> kind_scans; /* Replies to scans, by kind.  */
  /* Watches that their clients cancelled, by kind.  */
  std::map<std::string, unsigned> cancelled_waits;
  Server server;

private:
  struct Object
  {
    uint64_t revision; /* That of its last change.  */
    std::string spec;
    std::string element; /* What stands in its place; empty: nothing.  */
  };

  struct Event
  {
    uint64_t revision;
    std::string kind, text;
  };

  struct Waiting
  {
    mq_http_exchange *exchange;
    std::string kind;
    uint64_t from;
    ev_tstamp until;
    const Door *door; /* Null: that of SERVER.  */
  };

  static void
  on_timer (struct ev_loop *, ev_timer *timer, int)
  {
    static_cast<Store *> (timer->data)->expire ();
  }

  /* End the watches whose time is over with an empty list, unless muted.  */
  void
  expire ()
  {
    auto waiting = std::move (waiting_);

    waiting_.clear ();
    for (auto &w : waiting)
      {
        if (is_silent (w) || ev_time () < w.until)
          {
            waiting_.push_back (w);
            continue;
          }
        Server::reply (w.exchange, 200,
                       "{\"events\":[],\"at\":" + std::to_string (w.from)
                           + "}");
        mq_http_exchange_unref (w.exchange);
      }
  }

  bool
  is_silent (const Waiting &w) const
  {
    return muted || (w.door != nullptr && w.door->silent);
  }

  static std::string
  object (const std::string &name, const std::string &spec, uint64_t revision)
  {
    return "{\"metadata\":{\"name\":\"" + name
           + "\",\"revision\":" + std::to_string (revision)
           + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec
           + ",\"status\":null}";
  }

  void
  change (const std::string &kind, const std::string &name,
          const std::string &spec, bool deleted,
          const std::string &element = "")
  {
    revision_++;
    if (deleted)
      objects_[kind].erase (name);
    else
      objects_[kind][name] = { revision_, spec, element };
    events_.push_back (
        { revision_, kind,
          element.empty ()
              ? "{\"deleted\":" + std::string (deleted ? "true" : "false")
                    + ",\"object\":" + object (name, spec, revision_) + "}"
              : element });
    if (muted)
      return;
    auto waiting = std::move (waiting_);
    waiting_.clear ();
    for (auto &w : waiting)
      {
        if (is_silent (w) || !send_events (w))
          waiting_.push_back (w);
      }
  }

  /* Remove the watch of X, whose client has disconnected.  */
  void
  cancel_wait (const mq_http_exchange *x)
  {
    for (auto w = waiting_.begin (); w != waiting_.end (); ++w)
      if (w->exchange == x)
        {
          cancelled_waits[w->kind]++;
          mq_http_exchange_unref (w->exchange);
          waiting_.erase (w);
          return;
        }
  }

  /* Reply to W with the events since its start.  Returns false when there are
     none.  */
  bool
  send_events (const Waiting &w)
  {
    std::string s;

    for (auto &e : events_)
      if (e.kind == w.kind && e.revision > w.from)
        s += (s.empty () ? "" : ",") + e.text;
    if (s.empty ())
      return false;
    Server::reply (w.exchange, 200,
                   "{\"events\":[" + s
                       + "],\"at\":" + std::to_string (revision_) + "}");
    mq_http_exchange_unref (w.exchange);
    return true;
  }

  void
  scan (mq_http_exchange *x, const std::string &kind)
  {
    std::string s, after = text (mq_http_exchange_query (x, "after"));
    size_t n = 0;
    auto o = objects_[kind].upper_bound (after);

    scans++;
    kind_scans[kind]++;
    for (; o != objects_[kind].end () && (page == 0 || n < page); ++o, n++)
      s += (s.empty () ? "" : ",")
           + (o->second.element.empty ()
                  ? object (o->first, o->second.spec, o->second.revision)
                  : o->second.element);
    Server::reply (x, 200,
                   "{\"items\":[" + s + "],\"hasMore\":"
                       + (o == objects_[kind].end () ? "false" : "true")
                       + ",\"at\":" + std::to_string (revision_) + "}");
  }

  /* Handle a router's write: create an object that does not exist, or delete
     one.  */
  void
  write (mq_http_exchange *x, const std::string &kind)
  {
    size_t slash = kind.find ('/');
    std::string body = text (mq_http_exchange_body (x));
    struct json_object *o = json_tokener_parse (body.c_str ());
    struct json_object *part = nullptr, *name = nullptr;

    if (slash != std::string::npos)
      {
        change (kind.substr (0, slash), kind.substr (slash + 1), "null", true);
        Server::reply (x, 200, "{}");
      }
    else if (!json_object_object_get_ex (o, "metadata", &part)
             || !json_object_object_get_ex (part, "name", &name)
             || !json_object_object_get_ex (o, "spec", &part))
      Server::reply (x, 400);
    else if (auto known = objects_[kind].find (json_object_get_string (name));
             known != objects_[kind].end ())
      Server::reply (
          x, 409,
          object (known->first, known->second.spec, known->second.revision));
    else
      {
        change (kind, json_object_get_string (name),
                json_object_to_json_string (part), false);
        Server::reply (
            x, 200, object (json_object_get_string (name), "{}", revision_));
      }
    json_object_put (o);
  }

  void
  handle_call (mq_http_exchange *x, const Door *door)
  {
    std::string path = text (mq_http_exchange_path (x));
    std::string kind = path.substr (std::string ("/objects/").size ());
    std::string watch = text (mq_http_exchange_query (x, "watch"));

    if (door != nullptr && door->silent)
      unanswered_.push_back (mq_http_exchange_ref (x));
    else if (down || kind == failing)
      Server::reply (x, 503);
    else if (text (mq_http_exchange_method (x)) != "GET")
      write (x, kind);
    else if (watch.empty ())
      scan (x, kind);
    else if (std::stoull (watch) < dropped_until_)
      Server::reply (x, 410);
    else
      {
        std::string ms = text (mq_http_exchange_query (x, "waitMs"));
        Waiting w
            = { mq_http_exchange_ref (x), kind, std::stoull (watch),
                ev_time () + (ms.empty () ? 0 : std::stod (ms) / 1000), door };

        if (!send_events (w))
          waiting_.push_back (w);
      }
  }

  struct ev_loop *loop_;
  ev_timer timer_;
  uint64_t revision_ = 10;
  uint64_t dropped_until_ = 0;
  std::map<std::string, std::map<std::string, Object> > objects_;
  std::vector<Event> events_;
  std::vector<Waiting> waiting_;
  std::vector<std::unique_ptr<Door> > doors_;
  std::vector<mq_http_exchange *> unanswered_; /* Owned.  */
};

} // namespace gateway

#endif
