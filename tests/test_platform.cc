/* The platform client (mq/platform.h) against its stand-in: each result of a
   call.  */

#include <mq/platform.h>

#include "support/programs.h"

using programs::binary;
using programs::Program;

namespace
{

struct Reply
{
  int reports = 0;
  mq_platform_result result = MQ_PLATFORM_RESULTS;
  uint64_t version = 0;
  uint64_t retry_after_us = 0;
  std::string value;
  std::vector<std::string> names;
  std::vector<bool> leaving;
};

void
on_reply (void *context, const mq_platform_reply *reply)
{
  Reply *r = static_cast<Reply *> (context);

  r->reports++;
  r->result = reply->result;
  r->version = reply->version;
  r->retry_after_us = reply->retry_after_us;
  r->value.assign (reply->value.data ? reply->value.data : "",
                   reply->value.size);
  for (size_t i = 0; i < reply->n_objects; i++)
    r->names.emplace_back (reply->objects[i].name.data,
                           reply->objects[i].name.size);
  for (size_t i = 0; i < reply->n_vms; i++)
    {
      r->names.emplace_back (reply->vms[i].name.data, reply->vms[i].name.size);
      r->leaving.push_back (reply->vms[i].leaving);
    }
}

class Platform : public ::testing::Test
{
protected:
  explicit Platform (const std::vector<std::string> &more = {})
      : program (with (more))
  {
    http = mq_http_client_new (loop, MQ_SPAN (""));
    platform
        = mq_platform_new (http, mq_span_from (program.url ().c_str ()), 1000);
  }

  ~Platform () override
  {
    mq_platform_free (platform);
    mq_http_client_free (http);
    ev_loop_destroy (loop);
  }

  static std::vector<std::string>
  with (const std::vector<std::string> &more)
  {
    std::vector<std::string> all = { binary ("mqstand"), "platform",
                                     "--listen=127.0.0.1:0", "--vm-lag-ms=0" };

    all.insert (all.end (), more.begin (), more.end ());
    return all;
  }

  Reply
  wait (Reply &r)
  {
    while (r.reports == 0)
      ev_run (loop, EVRUN_ONCE);
    return r;
  }

  Reply
  get (const char *name)
  {
    Reply r;

    mq_platform_get (platform, mq_span_from (name), on_reply, &r);
    EXPECT_EQ (r.reports, 0) << "reported from inside the call";
    return wait (r);
  }

  Reply
  create (const char *name, const char *value)
  {
    Reply r;

    mq_platform_create (platform, mq_span_from (name), mq_span_from (value),
                        on_reply, &r);
    return wait (r);
  }

  Reply
  put (const char *name, uint64_t version, const char *value)
  {
    Reply r;

    mq_platform_put (platform, mq_span_from (name), version,
                     mq_span_from (value), on_reply, &r);
    return wait (r);
  }

  void
  post (const std::string &path, const std::string &method,
        const std::string &body)
  {
    programs::Request r;

    r.method = method;
    r.url = program.url () + path;
    r.body = body;
    programs::fetch (r);
  }

  Program program;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mq_http_client *http;
  mq_platform *platform;
};

class SlowPlatform : public Platform
{
protected:
  SlowPlatform () : Platform ({ "--reads=1" }) {}
};

} // namespace

TEST_F (Platform, DistinguishesConditionalWriteResults)
{
  EXPECT_EQ (get ("a/b").result, MQ_PLATFORM_MISSING);
  Reply created = create ("a/b", "one");
  EXPECT_EQ (created.result, MQ_PLATFORM_OK);
  EXPECT_GT (created.version, 0u);
  Reply again = create ("a/b", "two");
  EXPECT_EQ (again.result, MQ_PLATFORM_CONFLICT);
  EXPECT_EQ (again.version, created.version);
  EXPECT_EQ (get ("a/b").value, "one");
  EXPECT_EQ (put ("a/b", created.version + 1, "two").result,
             MQ_PLATFORM_CONFLICT);
  Reply written = put ("a/b", created.version, "two");
  EXPECT_EQ (written.result, MQ_PLATFORM_OK);
  EXPECT_GT (written.version, created.version);
  /* Version 0 matches no object; it must not mean "any version".  */
  EXPECT_EQ (put ("a/b", 0, "three").result, MQ_PLATFORM_CONFLICT);
  EXPECT_EQ (get ("a/b").value, "two");
  Reply deleted;
  mq_platform_delete (platform, MQ_SPAN ("a/b"), written.version, on_reply,
                      &deleted);
  EXPECT_EQ (wait (deleted).result, MQ_PLATFORM_OK);
  EXPECT_EQ (get ("a/b").result, MQ_PLATFORM_MISSING);
}

TEST_F (Platform, ListsObjectsAndVms)
{
  Reply list, vms;

  create ("p/1", "x");
  create ("p/2", "x");
  create ("q/1", "x");
  mq_platform_list (platform, MQ_SPAN ("p/"), on_reply, &list);
  EXPECT_EQ (wait (list).names, (std::vector<std::string>{ "p/1", "p/2" }));
  post ("/vms/one", "PUT", "{\"address\":\"127.0.0.1:1\",\"state\":\"live\"}");
  post ("/vms/two", "PUT",
        "{\"address\":\"127.0.0.1:2\",\"state\":\"leaving\"}");
  mq_platform_vms (platform, on_reply, &vms);
  EXPECT_EQ (wait (vms).names, (std::vector<std::string>{ "one", "two" }));
  EXPECT_EQ (vms.leaving, (std::vector<bool>{ false, true }));
}

TEST_F (Platform, WatchReportsAChangeOrItsAbsence)
{
  Reply first = create ("w", "one");
  Reply none, next;

  mq_platform_watch (platform, MQ_SPAN ("w"), first.version, 20, on_reply,
                     &none);
  EXPECT_EQ (wait (none).result, MQ_PLATFORM_UNCHANGED);
  mq_platform_watch (platform, MQ_SPAN ("w"), first.version, 30000, on_reply,
                     &next);
  put ("w", first.version, "two");
  EXPECT_EQ (wait (next).result, MQ_PLATFORM_OK);
  EXPECT_EQ (next.value, "two");
}

TEST_F (Platform, WriteWithLostReplyIsUnknown)
{
  post ("/fault", "POST", "{\"lose_replies\":1}");
  EXPECT_EQ (create ("a", "one").result, MQ_PLATFORM_UNKNOWN);
  EXPECT_EQ (get ("a").value, "one");
}

TEST_F (Platform, OutageIsUnavailableForReadsAndWrites)
{
  post ("/fault", "POST", "{\"outage_ms\":600000}");
  EXPECT_EQ (get ("a").result, MQ_PLATFORM_UNAVAILABLE);
  EXPECT_EQ (create ("a", "one").result, MQ_PLATFORM_UNAVAILABLE);
  post ("/fault", "POST", "{\"clear\":true}");
  EXPECT_EQ (get ("a").result, MQ_PLATFORM_MISSING);
}

TEST_F (Platform, RefusedConnectionIsUnavailable)
{
  program.kill (SIGKILL);
  program.wait ();
  EXPECT_EQ (create ("a", "one").result, MQ_PLATFORM_UNAVAILABLE);
  EXPECT_EQ (get ("a").result, MQ_PLATFORM_UNAVAILABLE);
}

TEST_F (Platform, CancelledCallReportsNothing)
{
  Reply r;
  mq_platform_call *call
      = mq_platform_get (platform, MQ_SPAN ("a"), on_reply, &r);

  mq_platform_cancel (call);
  get ("a");
  EXPECT_EQ (r.reports, 0);
  const mq_platform_counters *c = mq_platform_get_counters (platform);
  EXPECT_EQ (c->calls[MQ_PLATFORM_GET], 2u);
  EXPECT_EQ (c->results[MQ_PLATFORM_GET][MQ_PLATFORM_MISSING], 1u);
}

TEST_F (SlowPlatform, ReportsBusyAboveTheRateLimit)
{
  Reply last;

  ASSERT_TRUE (programs::eventually ([&] {
    last = get ("a");
    return last.result == MQ_PLATFORM_BUSY;
  }));
  EXPECT_GT (last.retry_after_us, 0u);
}
