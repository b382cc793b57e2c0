/* A router with its routing face on one loop with all that stands around it:
   a store, engines, plain services and clients, each a few lines that speak
   the users' platform's forms.  Time is real, and each test takes well under
   a second of it.  */

#ifndef MQ_TESTS_GATEWAY_WORLD_H
#define MQ_TESTS_GATEWAY_WORLD_H

#include "../../platform/platform.h"
#include "port_block.h"

#include <mq/gateway.h>
#include <mq/http_client.h>
#include <mq/http_server.h>
#include <mq/log.h>

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

/* A server whose requests go to a function.  */
class Server
{
public:
  using Handler = std::function<void (mq_http_exchange *)>;

  Server (struct ev_loop *loop, Handler handler)
      : handler_ (std::move (handler))
  {
    mq_http_server_options o = {};

    o.address = MQ_SPAN ("127.0.0.1");
    o.body_limit = 1 << 20;
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

  unsigned gone = 0; /* Callers that left before their answer.  */

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
    else if (event->kind == MQ_HTTP_SERVER_GONE)
      s->gone++;
  }

  Handler handler_;
  mq_http_server *server_;
};

/* A request as an engine saw it.  */
struct Seen
{
  std::string method, target, body;
  std::map<std::string, std::string> headers;
};

inline Seen
seen_of (mq_http_exchange *x)
{
  Seen s;
  size_t n;
  const mq_http_header *h = mq_http_exchange_headers (x, &n);
  std::string query = text (mq_http_exchange_query_string (x));

  s.method = text (mq_http_exchange_method (x));
  s.target
      = text (mq_http_exchange_path (x)) + (query.empty () ? "" : "?" + query);
  s.body = text (mq_http_exchange_body (x));
  for (size_t i = 0; i < n; i++)
    s.headers[text (h[i].name)] = text (h[i].value);
  return s;
}

/* An upstream: an engine or an instance of a plain service.  It answers
   reports and orders by itself; requests go to `serve', which by default
   answers whole and signed.  */
class Upstream
{
public:
  Upstream (struct ev_loop *loop, std::string id, std::string service,
            std::string domain, std::string card = "")
      : id (std::move (id)), service (std::move (service)),
        domain (std::move (domain)), card (std::move (card)),
        server (loop, [this] (mq_http_exchange *x) { take (x); })
  {
    serve = [this] (mq_http_exchange *x) { answer (x); };
  }

  /* Headers that every answer of an engine bears.  */
  Headers
  marks (mq_http_exchange *x) const
  {
    return { { "Marjoramquay-Attempt-Id",
               text (mq_http_exchange_header (x, "Marjoramquay-Attempt-Id")) },
             { "Marjoramquay-Response-Signature", "signed-by-" + id } };
  }

  void
  answer (mq_http_exchange *x, unsigned status = 200)
  {
    Server::reply (x, status, "answer of " + id, marks (x));
  }

  /* Say that it was not run; AT names the engine at fault.  */
  void
  refuse (mq_http_exchange *x, unsigned status = 503,
          const std::string &at = "")
  {
    Headers h = marks (x);

    h.pop_back ();
    h.push_back ({ "Marjoramquay-Not-Executed", "1" });
    if (!at.empty ())
      h.push_back ({ "At-Server", at });
    Server::reply (x, status, "", h);
  }

  /* Begin a stream; the exchange stays open.  */
  void
  begin (mq_http_exchange *x)
  {
    std::vector<mq_http_header> h;
    Headers m = marks (x);

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

  /* Send events FROM to TO.  */
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
                    + (draining ? "draining" : "ready") + "\"";

    if (!card.empty ())
      s += ",\"kind\":\"" + card
           + "\",\"layers\":{\"from\":" + std::to_string (first)
           + ",\"target\":" + std::to_string (end) + ",\"version\":1}";
    return s + "}";
  }

  std::string id, service, domain, card;
  unsigned first = 0, end = 0;
  unsigned orders = 0; /* Accepted.  */
  unsigned order_status = 202;
  bool busy = false;                /* As it reports.  */
  std::function<void ()> on_order;  /* After one was accepted.  */
  std::vector<std::string> stalled; /* Addresses it reports.  */
  std::vector<Seen> seen;
  Server server;
  std::function<void (mq_http_exchange *)> serve;

private:
  void
  take (mq_http_exchange *x)
  {
    std::string path = text (mq_http_exchange_path (x));

    if (path == "/report")
      report (x);
    else if (path == "/order")
      order (x);
    else
      {
        seen.push_back (seen_of (x));
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
                    + std::to_string (first) + ",\"target\":"
                    + std::to_string (end) + "},\"stalled\":[";

    for (size_t i = 0; i < stalled.size (); i++)
      s += std::string (i ? "," : "") + "{\"id\":\"x\",\"address\":\""
           + stalled[i] + "\"}";
    Server::reply (x, 200, s + "]}");
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
      Server::reply (x, order_status != 202 ? order_status : 409);
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

/* The platform's store: kinds of objects with a revision, lists and watches.
 */
class Store
{
public:
  explicit Store (struct ev_loop *loop)
      : server (loop, [this] (mq_http_exchange *x) { take (x); })
  {
  }

  ~Store ()
  {
    for (auto &w : waiting_)
      mq_http_exchange_unref (w.exchange);
  }

  void
  put (const std::string &kind, const std::string &name,
       const std::string &spec)
  {
    change (kind, name, spec, false);
  }

  void
  remove (const std::string &kind, const std::string &name)
  {
    change (kind, name, "null", true);
  }

  /* Cut off those who wait and forget all events.  */
  void
  forget ()
  {
    events_.clear ();
    forgotten_ = revision_;
    for (auto &w : waiting_)
      {
        Server::reply (w.exchange, 410);
        mq_http_exchange_unref (w.exchange);
      }
    waiting_.clear ();
  }

  /* Who waits for changes of KIND.  */
  size_t
  watchers (const std::string &kind) const
  {
    size_t n = 0;

    for (auto &w : waiting_)
      n += w.kind == kind;
    return n;
  }

  bool down = false; /* Every call is answered 503.  */
  unsigned scans = 0;
  std::map<std::string, std::map<std::string, std::string> > objects;
  Server server;

private:
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
  };

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
          const std::string &spec, bool deleted)
  {
    revision_++;
    if (deleted)
      objects[kind].erase (name);
    else
      objects[kind][name] = spec;
    events_.push_back (
        { revision_, kind,
          "{\"deleted\":" + std::string (deleted ? "true" : "false")
              + ",\"object\":" + object (name, spec, revision_) + "}" });
    auto waiting = std::move (waiting_);
    waiting_.clear ();
    for (auto &w : waiting)
      {
        if (!tell (w))
          waiting_.push_back (w);
      }
  }

  bool
  tell (const Waiting &w)
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
    std::string s;

    scans++;
    for (auto &o : objects[kind])
      s += (s.empty () ? "" : ",") + object (o.first, o.second, revision_);
    Server::reply (x, 200,
                   "{\"items\":[" + s + "],\"hasMore\":false,\"at\":"
                       + std::to_string (revision_) + "}");
  }

  void
  take (mq_http_exchange *x)
  {
    std::string path = text (mq_http_exchange_path (x));
    std::string kind = path.substr (std::string ("/objects/").size ());
    std::string watch = text (mq_http_exchange_query (x, "watch"));

    if (down)
      Server::reply (x, 503);
    else if (text (mq_http_exchange_method (x)) != "GET")
      Server::reply (x, 200, object ("member", "{}", ++revision_));
    else if (watch.empty ())
      scan (x, kind);
    else if (std::stoull (watch) < forgotten_)
      Server::reply (x, 410);
    else
      {
        Waiting w = { mq_http_exchange_ref (x), kind, std::stoull (watch) };

        if (!tell (w))
          waiting_.push_back (w);
      }
  }

  uint64_t revision_ = 10;
  uint64_t forgotten_ = 0;
  std::vector<Event> events_;
  std::vector<Waiting> waiting_;
};

/* An answer as a client saw it.  */
struct Answer
{
  bool ended = false;
  mq_http_result result = MQ_HTTP_OK;
  unsigned status = 0;
  std::string body;
  std::string signature, retry_after;
};

class World : public ::testing::Test
{
protected:
  World () : store (loop)
  {
    mq_log_init ("error");
    client = mq_http_client_new (loop, MQ_SPAN (""));
  }

  ~World () override
  {
    stop ();
    mq_http_client_free (client);
    upstreams.clear ();
    store.server.close ();
    ev_loop_destroy (loop);
  }

  void
  stop ()
  {
    mq_gateway_free (router);
    router = nullptr;
    if (settings.name != nullptr)
      mq_gateway_settings_finish (&settings);
    settings = {};
  }

  /* The first of five ports for one router.  */
  unsigned
  free_ports ()
  {
    blocks_.push_back (std::make_unique<ports::Block> ());
    return blocks_.back ()->base ();
  }

  /* Settings of a router whose ports begin at BASE and whose store is at
     URL.  */
  std::string
  settings_text (unsigned base, const std::string &name,
                 const std::string &url, const std::string &seeds = "") const
  {
    return "{\"gateway\":{\"name\":\"" + name
           + "\",\"region\":\"r\",\"failure_domain\":\"one\",\"clients\":\""
           + at (base) + "\",\"readiness\":\"" + at (base + 1)
           + "\",\"directory\":\"" + at (base + 2) + "\",\"peers\":\""
           + at (base + 3) + "\",\"platform_url\":\"" + url + "\",\"seeds\":["
           + seeds + "],\"metrics_port\":" + std::to_string (base + 4)
           + ",\"store_followers\":" + std::to_string (store_followers)
           + ",\"grace_ms\":3000,\"further_sends_slack\":"
           + std::to_string (sends_slack) + ",\"further_sends_window_ms\":"
           + std::to_string (sends_window_ms) + "}}";
  }

  mq_gateway *
  run_router (mq_gateway_settings *with, const std::string &json)
  {
    GError *error = nullptr;
    mq_gateway *g = nullptr;

    if (mq_gateway_settings_parse (with, MQ_SPAN ("settings"), span (json),
                                   &error)
        == 0)
      g = mq_gateway_new (loop, &mq_users_platform, with, &error);
    EXPECT_NE (g, nullptr) << error->message;
    return g;
  }

  void
  start ()
  {
    unsigned base = free_ports ();

    clients_port = base;
    readiness_port = base + 1;
    directory_port = base + 2;
    peers_port = base + 3;
    metrics_port = base + 4;
    router = run_router (
        &settings,
        settings_text (base, "vm-1", "http://" + store.server.address ()));
    ASSERT_NE (router, nullptr);
  }

  static std::string
  at (unsigned port)
  {
    return "127.0.0.1:" + std::to_string (port);
  }

  Upstream &
  add (const std::string &id, const std::string &service,
       const std::string &domain = "one", const std::string &card = "")
  {
    upstreams.push_back (
        std::make_unique<Upstream> (loop, id, service, domain, card));
    tell (*upstreams.back ());
    return *upstreams.back ();
  }

  /* Write the upstream's entry as it is now.  */
  void
  tell (const Upstream &u, bool draining = false)
  {
    store.put ("servers", u.id, u.entry (draining));
  }

  /* A configuration with a plain service of each kind of route, and a
     layered one.  */
  void
  configure (unsigned version, const std::string &extra_routes = "")
  {
    std::string routes = route ("/safe/", "safe", "app", 2) + ","
                         + route ("/unsafe/", "unsafe", "app", 1) + ","
                         + route ("/stream/", "streaming", "model", 2);

    store.put (
        "config", "main",
        "{\"version\":" + std::to_string (version) + ",\"routes\":[" + routes
            + extra_routes
            + "],\"services\":[{\"name\":\"app\"},{\"name\":\"model\","
              "\"engine\":{\"slots\":8,\"kvTokenBytes\":590000,"
              "\"step_ms\":0.85,\"read_per_s\":196000,\"layers\":80,"
              "\"layerMb\":1750,\"loads_at_once\":6,\"models\":[{\"name\":"
              "\"m\",\"loadS\":"
            + std::to_string (load_s)
            + "}],\"usual\":{\"prompt\":700,\"answer\":170},"
              "\"kinds\":[{\"name\":\"big\",\"mb\":300000,\"pace\":1,"
              "\"readX\":1},{\"name\":\"half\",\"mb\":100000,\"pace\":1,"
              "\"readX\":1}]}}],\"limits\":{\"maxBodyBytes\":4096},"
              "\"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key-1\"]}]}");
  }

  static std::string
  route (const std::string &prefix, const std::string &kind,
         const std::string &service, unsigned attempts)
  {
    return "{\"name\":\"r\",\"host\":\"x.example\",\"pathPrefix\":\"" + prefix
           + "\",\"kind\":\"" + kind
           + "\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"service\":\""
           + service + "\",\"maxAttempts\":" + std::to_string (attempts)
           + ",\"resumable\":true}";
  }

  /* Run the loop until TEST is true; false after 10 s.  */
  bool
  until (const std::function<bool ()> &test)
  {
    ev_tstamp limit = ev_time () + 10;
    ev_timer tick;

    ev_timer_init (
        &tick, [] (struct ev_loop *, ev_timer *, int) {}, 0.005, 0.005);
    ev_timer_start (loop, &tick);
    while (!test () && ev_time () < limit)
      ev_run (loop, EVRUN_ONCE);
    ev_timer_stop (loop, &tick);
    return test ();
  }

  void
  wait (double seconds)
  {
    ev_tstamp end = ev_time () + seconds;

    until ([&] { return ev_time () >= end; });
  }

  mq_http_call *
  ask (Answer &answer, const std::string &method, const std::string &target,
       const Headers &more = {}, const std::string &body = "",
       unsigned port = 0)
  {
    std::string url = "http://" + at (port ? port : clients_port) + "/";
    Headers all
        = { { "Host", "x.example" },
            { "Marjoramquay-Attempt-Id", "a" + std::to_string (++serial) },
            { "Marjoramquay-Time-Budget-Ms", "1500" },
            { "Marjoramquay-Token-Counts", "100,20" } };
    std::vector<mq_http_header> h;
    mq_http_call_options o = {};

    all.insert (all.end (), more.begin (), more.end ());
    for (auto &p : all)
      h.push_back ({ span (p.first), span (p.second) });
    o.method = span (method);
    o.url = span (url);
    o.target = span (target);
    o.headers = h.data ();
    o.n_headers = h.size ();
    o.body = span (body);
    o.streamed = true;
    o.timeout_ms = 9000;
    return mq_http_client_start (client, &o, on_answer, &answer);
  }

  /* A whole exchange of a client with a key.  */
  Answer
  fetch (const std::string &method, const std::string &target,
         const Headers &more = { { "Marjoramquay-Credential", "key-1" } },
         const std::string &body = "", unsigned port = 0)
  {
    Answer a;

    ask (a, method, target, more, body, port);
    EXPECT_TRUE (until ([&] { return a.ended; }));
    return a;
  }

  bool
  ready ()
  {
    return until ([&] {
      return fetch ("GET", "/ready", {}, "", readiness_port).status == 200;
    });
  }

  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Store store;
  std::vector<std::unique_ptr<Upstream> > upstreams;
  mq_http_client *client;
  mq_gateway_settings settings = {};
  mq_gateway *router = nullptr;
  unsigned clients_port = 0, readiness_port = 0, directory_port = 0;
  unsigned peers_port = 0, metrics_port = 0;
  unsigned serial = 0;
  double load_s = 14; /* Of all layers.  */
  unsigned store_followers = 4;
  /* The budget of further sends: ample, unless a test is about it.  */
  unsigned sends_slack = 1000, sends_window_ms = 20;

private:
  std::vector<std::unique_ptr<ports::Block> > blocks_;

  static void
  on_answer (void *context, const mq_http_client_event *event)
  {
    Answer *a = static_cast<Answer *> (context);

    a->status = event->status;
    if (event->kind == MQ_HTTP_CLIENT_HEADERS)
      {
        a->signature = text (mq_http_call_header (
            event->call, "Marjoramquay-Response-Signature"));
        a->retry_after
            = text (mq_http_call_header (event->call, "Retry-After"));
      }
    a->body += text (event->data);
    if (event->kind != MQ_HTTP_CLIENT_END)
      return;
    a->result = event->result;
    a->ended = true;
  }
};

} // namespace gateway

#endif
