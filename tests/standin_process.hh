/* Stand-ins as child processes, and HTTP calls to them, for tests over real
   sockets.  The destructor of a StandinProcess kills its process.  */

#ifndef MQ_TESTS_STANDIN_PROCESS_HH
#define MQ_TESTS_STANDIN_PROCESS_HH

#include <ev.h>
#include <gtest/gtest.h>
#include <mq/http_client.h>

#include <csignal>
#include <cstdlib>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/* A process `mqstand ARGUMENTS --listen=127.0.0.1:0'.  ARGUMENTS begin with
   the role.  The program is taken from the directory in MQ_BIN.  */
class StandinProcess
{
public:
  explicit StandinProcess (std::vector<std::string> arguments)
  {
    std::vector<std::string> all
        = { std::string (std::getenv ("MQ_BIN")) + "/mqstand" };
    std::vector<char *> argv;
    GError *error = nullptr;
    int out = -1;

    all.insert (all.end (), arguments.begin (), arguments.end ());
    all.push_back ("--listen=127.0.0.1:0");
    for (auto &a : all)
      argv.push_back (&a[0]);
    argv.push_back (nullptr);
    if (!g_spawn_async_with_pipes (nullptr, argv.data (), nullptr,
                                   G_SPAWN_DO_NOT_REAP_CHILD, nullptr, nullptr,
                                   &pid, nullptr, &out, nullptr, &error))
      {
        ADD_FAILURE () << error->message;
        return;
      }
    read_address (out);
  }

  StandinProcess (const StandinProcess &) = delete;

  ~StandinProcess ()
  {
    kill_process ();
    if (fd >= 0)
      close (fd);
  }

  void
  kill_process ()
  {
    if (pid == 0)
      return;
    kill (pid, SIGKILL);
    waitpid (pid, nullptr, 0);
    pid = 0;
  }

  std::string
  url (const std::string &path = "") const
  {
    return "http://" + address + path;
  }

private:
  /* Read the address that the process prints on OUT.  */
  void
  read_address (int out)
  {
    const std::string key = "listening=";
    char c;

    fd = out;
    while (read (fd, &c, 1) == 1 && c != '\n')
      address += c;
    EXPECT_EQ (address.substr (0, key.size ()), key);
    address.erase (0, key.size ());
  }

  GPid pid = 0;
  int fd = -1; /* Kept open so that the child can write to it.  */
  std::string address;
};

/* An HTTP call, in progress or ended.  */
class HttpCall
{
public:
  HttpCall (mq_http_client *client, struct ev_loop *loop, const char *method,
            const std::string &url, const std::string &body)
      : loop (loop)
  {
    mq_http_call_options o = {};

    o.method = mq_span_from (method);
    o.url = { url.data (), url.size () };
    o.body = { body.data (), body.size () };
    o.timeout_ms = 20000;
    o.streamed = true;
    call = mq_http_client_start (client, &o, sink, this);
  }

  /* Run the loop until the call has ended.  */
  HttpCall &
  wait ()
  {
    while (call != nullptr)
      ev_run (loop, EVRUN_ONCE);
    return *this;
  }

  /* Run the loop until N bytes of the body have arrived or the call has
     ended.  */
  void
  wait_body (size_t n)
  {
    while (call != nullptr && body.size () < n)
      ev_run (loop, EVRUN_ONCE);
  }

  void
  cancel ()
  {
    mq_http_call_cancel (call);
    call = nullptr;
  }

  mq_http_result result = MQ_HTTP_OK;
  unsigned status = 0;
  std::string body;

private:
  static void
  sink (void *context, const mq_http_client_event *event)
  {
    auto *t = static_cast<HttpCall *> (context);

    t->status = event->status;
    t->body.append (event->data.data == nullptr ? "" : event->data.data,
                    event->data.size);
    if (event->kind != MQ_HTTP_CLIENT_END)
      return;
    t->result = event->result;
    t->call = nullptr;
  }

  struct ev_loop *loop;
  mq_http_call *call = nullptr;
};

#endif
