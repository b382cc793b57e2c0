/* Fixture of the HTTP tests: a server (mq/http_server.h) and a client
   (mq/http_client.h) on loopback, on one loop.

   The tests don't depend on timing: each runs the loop until a condition holds
   and fails after kMaxWait_s.  */

#ifndef TESTS_HTTP_FIXTURE_HH
#define TESTS_HTTP_FIXTURE_HH

#include <gtest/gtest.h>
#include <mq/http_client.h>
#include <mq/http_server.h>

#include "raw_socket.hh"
#include "support/run_until.h"

#include <algorithm>
#include <functional>
#include <sys/resource.h>
#include <vector>

constexpr double kMaxWait_s = 30.;
constexpr double kTick_s = 0.001;

std::string
text (mq_span span)
{
  return std::string (span.data == nullptr ? "" : span.data, span.size);
}

mq_span
span (const std::string &s)
{
  return mq_span{ s.data (), s.size () };
}

/* The events of a call.  */
struct Answer
{
  int heads = 0;
  int ends = 0;
  unsigned status = 0;
  mq_http_result result = MQ_HTTP_OK;
  bool maybe_sent = false;
  std::string body;
  std::function<void (const mq_http_client_event &)> on_event;
};

void
answer_sink (void *context, const mq_http_client_event *event)
{
  Answer *a = static_cast<Answer *> (context);

  switch (event->kind)
    {
    case MQ_HTTP_CLIENT_HEADERS:
      a->heads++;
      a->status = event->status;
      break;
    case MQ_HTTP_CLIENT_DATA:
      a->body += text (event->data);
      break;
    case MQ_HTTP_CLIENT_END:
      a->ends++;
      a->result = event->result;
      a->maybe_sent = event->maybe_sent;
      a->body += text (event->data);
      break;
    }
  if (a->on_event)
    a->on_event (*event);
}

/* The head of a request whose body comes in chunks.  */
const std::string kChunkedHead = "POST / HTTP/1.1\r\nHost: x\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

class Http : public ::testing::Test
{
protected:
  struct ev_loop *loop = nullptr;
  mq_http_server *server = nullptr;
  mq_http_client *client = nullptr;
  std::function<void (mq_http_exchange *)> on_request;
  std::function<void (mq_http_exchange *)> on_drained;
  std::function<void (mq_http_exchange *)> on_disconnect;
  int disconnects = 0;
  int rejected_heads = 0;

  static void
  sink (void *context, const mq_http_server_event *event)
  {
    Http *t = static_cast<Http *> (context);

    switch (event->kind)
      {
      case MQ_HTTP_SERVER_REQUEST:
        t->on_request (event->exchange);
        break;
      case MQ_HTTP_SERVER_DRAINED:
        if (t->on_drained)
          t->on_drained (event->exchange);
        break;
      case MQ_HTTP_SERVER_DISCONNECTED:
        t->disconnects++;
        if (t->on_disconnect)
          t->on_disconnect (event->exchange);
        break;
      case MQ_HTTP_SERVER_BODY_REJECTED:
      case MQ_HTTP_SERVER_EVICTED:
      case MQ_HTTP_SERVER_HEAD_REJECTED:
        t->rejected_heads++;
        break;
      }
  }

  void
  SetUp () override
  {
    loop = ev_loop_new (EVFLAG_AUTO);
    client = mq_http_client_new (loop, mq_span{ nullptr, 0 });
    start (5);
  }

  void
  start (unsigned idle_s, unsigned connections = 0)
  {
    mq_http_server_options options = {};
    GError *error = nullptr;

    mq_http_server_free (server);
    options.address = MQ_SPAN ("127.0.0.1");
    options.body_limit = 64 * 1024;
    options.idle_s = idle_s;
    options.connections = connections;
    server = mq_http_server_new (loop, &options, sink, this, &error);
    ASSERT_NE (server, nullptr) << error->message;
  }

  void
  TearDown () override
  {
    mq_http_client_free (client);
    mq_http_server_free (server);
    ev_loop_destroy (loop);
  }

  std::string
  url (const std::string &path)
  {
    return "http://127.0.0.1:" + std::to_string (mq_http_server_port (server))
           + path;
  }

  mq_http_call *
  call (Answer *answer, const std::string &path,
        mq_http_call_options options = {})
  {
    std::string u = url (path);

    options.url = span (u);
    return mq_http_client_start (client, &options, answer_sink, answer);
  }

  /* Run the loop until DONE.  Returns false if that takes too long.  */
  bool
  until (const std::function<bool ()> &done)
  {
    return run_until (loop, done, kMaxWait_s, kTick_s);
  }
};

#endif
