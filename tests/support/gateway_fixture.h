/* A test fixture: routers in gateway mode, the stand-ins of gateway_standins.h
   and clients, all on one event loop and on loopback.  Time is real.  */

#ifndef MQ_TESTS_GATEWAY_WORLD_H
#define MQ_TESTS_GATEWAY_WORLD_H

#include "../../platform/platform.h"
#include "gateway_standins.h"
#include "port_block.h"
#include "run_until.h"

#include <mq/gateway.h>
#include <mq/log.h>

namespace gateway
{

/* A response as a client received it.  */
struct Answer
{
  bool ended = false;
  mq_http_result result = MQ_HTTP_OK;
  unsigned status = 0;
  std::string body;
  std::string signature, retry_after;
  ev_tstamp sent = 0; /* When the request was sent.  */
};

const Headers key = { { "Marjoramquay-Credential", "key-1" } };

/* The bytes of the events FROM to TO, both inclusive, as a client receives
   them.  */
inline std::string
events (unsigned from, unsigned to)
{
  std::string s;

  for (unsigned i = from; i <= to; i++)
    s += Upstream::event (i);
  return s;
}

class Fixture : public ::testing::Test
{
protected:
  Fixture () : store (loop)
  {
    mq_log_init (g_getenv ("MQ_TEST_LOG") ? g_getenv ("MQ_TEST_LOG")
                                          : "error");
    client = mq_http_client_new (loop, MQ_SPAN (""));
  }

  ~Fixture () override
  {
    stop ();
    mq_http_client_free (client);
    upstreams.clear ();
    store.close ();
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

  /* Reserve five consecutive ports for one router.  Returns the first.  */
  unsigned
  free_ports ()
  {
    blocks_.push_back (std::make_unique<ports::Block> ());
    return blocks_.back ()->base ();
  }

  /* Returns the settings of the router NAME: its ports begin at BASE, its
     store is at URL, and SEEDS is the list of its seeds in JSON.  */
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
    upstreams.push_back (std::make_unique<Upstream> (
        loop, id, service, domain, card, upstream_body_bytes));
    write_entry (*upstreams.back ());
    return *upstreams.back ();
  }

  /* Write the present entry of U to the store.  */
  void
  write_entry (const Upstream &u, bool draining = false)
  {
    store.put ("servers", u.id, u.entry (draining));
  }

  /* Write a configuration: routes of each kind, a plain service and a layered
     model.  */
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
              "\"step_ms\":0.85,\"read_per_s\":196000,\"layers\":"
            + std::to_string (layers)
            + ",\"layerMb\":1750,\"loads_at_once\":6,\"models\":[{\"name\":"
              "\"m\",\"loadS\":"
            + std::to_string (load_s)
            + "}],\"usual\":{\"prompt\":700,\"answer\":170},"
              "\"kinds\":[{\"name\":\"big\",\"mb\":300000,\"pace\":1,"
              "\"readX\":1},{\"name\":\"half\",\"mb\":100000,\"pace\":1,"
              "\"readX\":1}]}}],\"limits\":{\"maxBodyBytes\":"
            + std::to_string (body_bytes) + more_limits
            + "},\"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key-1\"]}]}");
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

  /* Run the loop until TEST is true.  Returns false after 10 s.  */
  bool
  until (const std::function<bool ()> &test)
  {
    return run_until (loop, test, 10, 0.005);
  }

  void
  wait (double seconds)
  {
    ev_tstamp end = ev_time () + seconds;

    until ([&] { return ev_time () >= end; });
  }

  mq_http_call *
  start_request (Answer &answer, const std::string &method,
                 const std::string &target, const Headers &more = {},
                 const std::string &body = "", unsigned port = 0,
                 const std::string &left_ms = "1500")
  {
    std::string url = "http://" + at (port ? port : clients_port) + "/";
    Headers all
        = { { "Host", "x.example" },
            { "Marjoramquay-Attempt-Id", "a" + std::to_string (++serial) },
            { "Marjoramquay-Time-Budget-Ms", left_ms },
            { "Marjoramquay-Token-Counts", "100,20" } };
    std::vector<mq_http_header> h;
    mq_http_call_options o = {};

    all.insert (all.end (), more.begin (), more.end ());
    for (auto &p : all)
      h.push_back ({ span (p.first), span (p.second) });
    answer.sent = ev_time ();
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

  /* Send a request and wait for its response.  */
  Answer
  fetch (const std::string &method, const std::string &target,
         const Headers &more = { { "Marjoramquay-Credential", "key-1" } },
         const std::string &body = "", unsigned port = 0,
         const std::string &left_ms = "1500")
  {
    Answer a;

    start_request (a, method, target, more, body, port, left_ms);
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

  /* Start a router with two instances of the plain service.  */
  void
  start_plain_service ()
  {
    a = &add ("app-a", "app");
    b = &add ("app-b", "app", "two");
    configure (1);
    start ();
    ASSERT_TRUE (ready ());
  }

  /* Start a router with two failure domains, each with a complete chain on two
     engines.  */
  void
  start_chains ()
  {
    unsigned n = 0;

    for (const char *domain : { "one", "two" })
      for (unsigned first : { 0u, 40u })
        {
          Upstream &u
              = add ("eng-" + std::to_string (++n), "model", domain, "half");

          u.first = first;
          u.end = first + 40;
          write_entry (u);
        }
    configure (1);
    start ();
    ASSERT_TRUE (ready ());
    /* There is no slack for retries in the first fifth of the window.  */
    wait (0.01);
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
  Upstream *a = nullptr, *b = nullptr;  /* Of the plain service.  */
  double load_s = 14;                   /* To load all layers.  */
  unsigned layers = 80;                 /* Of the model.  */
  size_t upstream_body_bytes = 1 << 20; /* Limit of upstreams.  */
  size_t body_bytes = 4096;             /* Limit of `configure'.  */
  std::string more_limits; /* Further members of the limits of `configure',
                              each after a comma.  */
  unsigned store_followers = 4;
  /* The retry budget, by default larger than any test needs.  */
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
