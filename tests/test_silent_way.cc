/* Silence between an engine and its router that neither of them causes: the
   router's process does not run for a while, or the router reaches its engines
   through another one only.  The runs go on, and so do the answers.  */

#include "support/silent_fleet.h"

#include "support/cut_links.h"

using gateway::Door;
using gateway::Kind;
using gateway::kinds;
using gateway::SilentEngine;

namespace
{

const double stable_s = 3; /* After this a cut off router must serve.  */

class SilentWay : public gateway::SilentFleet
{
protected:
  SilentWay () { cut::open_black_hole (); }

  ~SilentWay () override
  {
    cut::set (cut::Mode::Up);
    mq_gateway_free (second_);
    if (second_ != nullptr)
      mq_gateway_settings_finish (&second_settings_);
    stop ();
    own_loop.reset ();
    cut::open_connections.clear ();
    cut::ports.clear ();
  }

  /* Start a second router, which gets the requests and which `cut::set' cuts
     off from all engines.  */
  void
  start_second ()
  {
    struct ev_loop *shared = loop;
    unsigned base = free_ports ();

    for (auto &e : engines)
      cut::ports.insert ((unsigned)std::stoul (
          e->address.substr (e->address.rfind (':') + 1)));
    own_loop = std::make_unique<cut::Loop> (shared);
    loop = own_loop->loop;
    second_ = run_router (&second_settings_,
                          settings_text (base, "vm-2",
                                         "http://" + store.server.address (),
                                         "\"" + at (peers_port) + "\""));
    loop = shared;
    port = base;
    ASSERT_TRUE (until ([&] {
      return fetch ("GET", "/ready", {}, "", base + 1).status == 200;
    }));
    wait (0.5); /* Until both know each other.  */
  }

  /* Cut the second router off as MODE, and wait until it serves through the
     first.  */
  void
  cut_off (cut::Mode mode)
  {
    cut::set (mode);
    EXPECT_TRUE (until ([&] { return serve_all (); }));
  }

  /* Returns the size of all that the clients have received.  */
  size_t
  received () const
  {
    size_t size = 0;

    for (auto &c : cases)
      size += c->answer.body.size ();
    return size;
  }

  std::unique_ptr<cut::Loop> own_loop; /* Of one router.  */

private:
  /* Send a request to each case.  Returns true if all were served.  */
  bool
  serve_all ()
  {
    std::vector<std::unique_ptr<gateway::Answer> > answers;

    for (auto &c : cases)
      {
        answers.push_back (std::make_unique<gateway::Answer> ());
        start_request (*answers.back (),
                       c->kind == Kind::Safe ? "GET" : "POST", target (*c),
                       gateway::key, "", port, "3000");
      }
    EXPECT_TRUE (until ([&] {
      return std::all_of (answers.begin (), answers.end (),
                          [] (auto &a) { return a->ended; });
    }));
    for (size_t i = 0; i < cases.size (); i++)
      if (!fault_of (*cases[i], *answers[i]).empty ())
        return false;
    return true;
  }

  mq_gateway *second_ = nullptr;
  mq_gateway_settings second_settings_ = {};
};

} // namespace

/* What arrived meanwhile is read after the pause.  */
TEST_F (SilentWay, PauseOfRouterEndsNoRun)
{
  const double pause_s = 1.2;

  own_loop = std::make_unique<cut::Loop> (loop);
  router_loop = own_loop->loop;
  for (Kind kind : kinds)
    for (double work_s : { 0.15, 1.0, 1.6 })
      {
        Case &c = add_case ("pause, work of " + std::to_string (work_s), kind,
                            Door::Held, pause_s);

        add_pair (c);
        for (SilentEngine *e : c.engines)
          {
            e->work_s = work_s;
            e->first_s = kind == Kind::BeforeEvent ? work_s : 0.05;
            e->gap_s = work_s / 10;
          }
      }
  start_cases ();
  for (auto &c : cases)
    send_case (*c);
  ASSERT_TRUE (until ([&] {
    return std::all_of (cases.begin (), cases.end (), [] (auto &c) {
      return c->running () != nullptr
             && (!gateway::is_stream (c->kind) || c->kind == Kind::BeforeEvent
                 || !c->answer.body.empty ());
    });
  }));
  own_loop->paused = true;
  wait (0.1); /* Until the clients have read what was sent before.  */
  size_t before = received ();
  wait (pause_s - 0.1);
  EXPECT_EQ (received (), before);
  own_loop->paused = false;
  EXPECT_TRUE (until ([&] {
    return std::all_of (cases.begin (), cases.end (),
                        [] (auto &c) { return c->answer.ended; });
  }));
  for (auto &c : cases)
    {
      check_answer (*c);
      if (gateway::is_stream (c->kind))
        {
          EXPECT_EQ (count_runs (*c), 1u) << c->name;
        }
    }
}

/* The engines fall silent behind the router that has the tunnels.  */
class SilentTunnel : public SilentWay,
                     public ::testing::WithParamInterface<cut::Mode>
{
};

TEST_P (SilentTunnel, EndsNoRun)
{
  add_cases (
      "only engine", [&] (Case &c) { add_engine (c, "one"); },
      [] (Case &c) { c.running ()->fall_silent (c.door); });
  add_cases (
      "all of service", [&] (Case &c) { add_pair (c); },
      [] (Case &c) {
        for (SilentEngine *e : c.engines)
          e->fall_silent (c.door);
      });
  start_cases ();
  start_second ();
  cut_off (GetParam ());
  after_delay_s = stable_s;
  play_cases ();
}

INSTANTIATE_TEST_SUITE_P (CutOff, SilentTunnel,
                          ::testing::Values (cut::Mode::Hang,
                                             cut::Mode::Refuse),
                          [] (const auto &p) {
                            return p.param == cut::Mode::Hang ? "Hang"
                                                              : "Refuse";
                          });
