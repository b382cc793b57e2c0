/* Requests that wait in a router that is told to stop.  Guards against
   requests that end with the process, without a response.  */

#include "raw_socket.hh"
#include "support/gateway_fixture.h"

namespace
{

class RequestsAcrossDrain : public gateway::Fixture
{
protected:
  /* A client that keeps its connection and sends one request.  */
  struct Client
  {
    explicit Client (unsigned port) : socket (Socket::connected (port)) {}

    Socket socket;
    std::string received;
    bool closed = false;
  };

  /* Send N requests for TARGET, one each GAP_S, over connections that were
     open before, with the router told to stop at the first.  Expect a 503 for
     each, and that nothing runs.  */
  void
  expect_refusals (const std::string &target, int n, double gap_s)
  {
    std::vector<Client> clients;
    ev_tstamp begin = ev_time ();
    int sent = 0;

    for (int i = 0; i < n; i++)
      clients.emplace_back (clients_port);
    wait (0.05); /* Accepted.  */
    mq_gateway_drain (router);
    run_until_break ([&] {
      for (; sent < n && ev_time () - begin >= sent * gap_s; sent++)
        clients[(size_t)sent].socket.write (request (target, sent));
      for (Client &c : clients)
        c.received += c.socket.read (&c.closed);
    });
    /* The process ends here.  */
    mq_gateway_free (router);
    router = nullptr;
    EXPECT_EQ (sent, n);
    int unanswered = 0;
    for (int i = 0; i < sent; i++)
      {
        Client &c = clients[(size_t)i];

        c.received += c.socket.read (&c.closed);
        unanswered += c.received.rfind ("HTTP/1.1 503 ", 0) != 0
                      || !is_complete_response (c.received);
      }
    EXPECT_EQ (unanswered, 0) << "of " << sent;
  }

private:
  /* Run the loop, and EACH_TICK every 5 ms, until the router breaks it.  */
  void
  run_until_break (const std::function<void ()> &each_tick)
  {
    std::function<void ()> tick = each_tick;
    ev_timer timer;
    ev_tstamp limit = ev_time () + 10;

    ev_timer_init (
        &timer,
        [] (struct ev_loop *, ev_timer *t, int) {
          (*static_cast<std::function<void ()> *> (t->data)) ();
        },
        0.005, 0.005);
    timer.data = &tick;
    ev_timer_start (loop, &timer);
    ev_run (loop, 0);
    ev_timer_stop (loop, &timer);
    EXPECT_LT (ev_time (), limit);
  }

  static std::string
  request (const std::string &target, int n)
  {
    return "GET " + target
           + " HTTP/1.1\r\nHost: x.example\r\n"
             "Marjoramquay-Credential: key-1\r\n"
             "Marjoramquay-Time-Budget-Ms: 4000\r\n"
             "Marjoramquay-Token-Counts: 100,20\r\n"
             "Marjoramquay-Attempt-Id: d"
           + std::to_string (n) + "\r\n\r\n";
  }
};

} // namespace

/* Requests that wait for the first configuration.  Guards also against a drain
   that ends when the first ones have been answered, while clients still have
   the router's address.  */
TEST_F (RequestsAcrossDrain, ThatWaitForTheConfigurationAreRefused)
{
  store.down = true;
  start ();
  expect_refusals ("/safe/1", 44, 0.05);
}

/* Requests that wait for the first view of a service.  */
TEST_F (RequestsAcrossDrain, ThatWaitForAViewAreRefused)
{
  std::string patient = route ("/patient/", "streaming", "model", 2);

  patient.replace (patient.find ("1500"), 4, "9000"); /* Its timeoutMs.  */
  configure (1, "," + patient);
  start ();
  wait (0.1);
  expect_refusals ("/patient/1", 90, 0.01);
}
