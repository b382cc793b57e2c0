/* A test fixture: a router in gateway mode as a process of its own, on a small
   machine, and a crowd of clients on raw sockets that don't behave.

   What is checked doesn't depend on the speed of the machine: the process
   lives, its memory and its descriptors stay under what its settings give it,
   and one ordinary request is answered beside the crowd.  Memory counts as the
   platform counts it: what is resident, and the bytes that were received and
   not yet read.  */

#ifndef MQ_TESTS_CROWD_H
#define MQ_TESTS_CROWD_H

#include "crowd_client.h"
#include "gateway_fixture.h"
#include "process_usage.h"
#include "router_process.h"

namespace gateway
{

using crowd::CrowdClient;
using crowd::Sending;

/* The head of a request of an ordinary client for TARGET, but for how its body
   is framed.  */
inline std::string
crowd_head (const std::string &target, const std::string &framing)
{
  return "POST " + target
         + " HTTP/1.1\r\nHost: x.example\r\nMarjoramquay-Attempt-Id: crowd"
           "\r\nMarjoramquay-Credential: key-1\r\n"
           "Marjoramquay-Time-Budget-Ms: 60000\r\n"
           "Marjoramquay-Token-Counts: 100,20\r\n"
         + framing + "\r\n\r\n";
}

/* A body of N chunks of SIZE bytes each, without its last chunk.  */
inline Sending
crowd_chunks (const std::string &target, size_t size, size_t n)
{
  return crowd::chunked (crowd_head (target, "Transfer-Encoding: chunked"),
                         size, n);
}

/* A body that is announced with LENGTH bytes, of which SENT are sent.  */
inline Sending
crowd_length (const std::string &target, size_t length, size_t sent)
{
  return crowd::plain (
      crowd_head (target, "Content-Length: " + std::to_string (length)), sent);
}

class CrowdFixture : public gateway::Fixture
{
protected:
  static constexpr size_t mib = 1024 * 1024;

  ~CrowdFixture () override
  {
    clients.clear ();
    process.reset ();
    for (mq_http_exchange *x : held)
      mq_http_exchange_unref (x);
  }

  void
  start_process (unsigned memory, unsigned files)
  {
    unsigned base = free_ports ();
    std::string text
        = settings_text (base, "vm-1", "http://" + store.server.address ());

    memory_mb = memory;
    max_files = files;
    clients_port = base;
    readiness_port = base + 1;
    directory_port = base + 2;
    metrics_port = base + 4;
    text.insert (text.find ("\"region\""),
                 "\"memory_mb\":" + std::to_string (memory)
                     + ",\"max_files\":" + std::to_string (files) + ",");
    process = std::make_unique<RouterProcess> (text);
    usage = std::make_unique<ProcessUsage> (
        process->pid (),
        std::vector<unsigned>{ base, base + 1, base + 2, base + 4 });
  }

  /* Start a router on a machine with MEMORY MiB, without a configuration.  Its
     upstream answers what is sent to /safe/ and holds what is sent to /hold/.
     The upstream is registered first: the router learns entries and the
     configuration in no fixed order.  */
  void
  start_unconfigured (unsigned memory, unsigned files = 0)
  {
    upstream_body_bytes = 8 * mib;
    a = &add ("app-a", "app");
    a->serve = [this] (mq_http_exchange *x) { serve (x); };
    start_process (memory, files);
  }

  /* Write a configuration with bodies of up to BODY bytes.  */
  void
  write_configuration (size_t body)
  {
    std::string hold = route ("/hold/", "unsafe", "app", 1);
    std::string stream = route ("/long/", "streaming", "app", 1);
    const std::string limit = "\"timeoutMs\":1500";
    const std::string longer = "\"timeoutMs\":60000";

    hold.replace (hold.find (limit), limit.size (), longer);
    stream.replace (stream.find (limit), limit.size (), longer);
    body_bytes = body;
    configure (1, "," + hold + "," + stream);
  }

  void
  start_small (unsigned memory, size_t body, unsigned files = 0)
  {
    write_configuration (body);
    start_unconfigured (memory, files);
    ASSERT_TRUE (ready ());
  }

  /* Let N clients connect to PORT, each of which is to send SENDING, and
     receives as many bytes as BUFFER before it reads unless that is 0.  */
  void
  join (unsigned n, unsigned port, Sending sending, int buffer = 0)
  {
    sendings.push_back (std::make_unique<Sending> (std::move (sending)));
    for (unsigned i = 0; i < n; i++)
      {
        clients.emplace_back (Socket::connected ((uint16_t)port, buffer),
                              sendings.back ().get ());
        if (i % 64 == 63)
          wait (0.01);
      }
  }

  /* Let all clients send, in turn, until they have sent all or are refused.
     They read what comes if they READ.  */
  void
  send_all (bool read = true)
  {
    auto done = [&] {
      bool all = true;

      for (CrowdClient &c : clients)
        {
          c.write (mib);
          if (read)
            c.read ();
          all = all && c.is_done ();
        }
      usage->sample ();
      return all;
    };

    for (unsigned i = 0; i < 12 && !until (done); i++)
      ;
    settle ();
  }

  /* Let the router read what has arrived.  */
  void
  settle ()
  {
    for (unsigned i = 0; i < 40; i++)
      {
        usage->sample ();
        wait (0.01);
      }
  }

  /* What the router logged last.  */
  std::string
  log_tail () const
  {
    const std::string log = process->log ();

    return log.substr (log.size () - std::min<size_t> (log.size (), 4096));
  }

  void
  expect_sound ()
  {
    Answer ordinary = fetch ("POST", "/safe/x", key, "an ordinary body");

    usage->sample ();
    EXPECT_EQ (ordinary.status, 200u) << log_tail ();
    EXPECT_EQ (ordinary.body, "answer of app-a");
    EXPECT_FALSE (process->has_ended ());
    EXPECT_GT (usage->peak_bytes (), 0u);
    RecordProperty ("peak_mib", std::to_string (usage->peak_bytes () / mib));
    RecordProperty ("peak_files", std::to_string (usage->peak_files ()));
    EXPECT_LT (usage->peak_bytes (), memory_mb * mib);
    if (max_files > 0)
      {
        EXPECT_LT (usage->peak_files (), max_files);
      }
  }

  /* Answer the request of X, or hold it.  */
  virtual void
  serve (mq_http_exchange *x)
  {
    if (text (mq_http_exchange_path (x)).find ("/hold/") == 0)
      held.push_back (mq_http_exchange_ref (x));
    else
      a->answer (x);
  }

  unsigned memory_mb = 0, max_files = 0;
  std::unique_ptr<RouterProcess> process;
  std::unique_ptr<ProcessUsage> usage;
  std::vector<std::unique_ptr<Sending> > sendings;
  std::vector<CrowdClient> clients;
  std::vector<mq_http_exchange *> held; /* One reference each.  */
};

} // namespace gateway

#endif
