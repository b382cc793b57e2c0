/* Replies of the platform (mq/platform.h) that are cut at any byte, contradict
   themselves or are malformed, on connections that are closed in order
   afterwards.  None is a value, a list, or a statement about an object.  */

#include "support/deployment.h"
#include "support/made_response.h"

#include <mq/platform.h>

using deployment::quoted;
using raw_upstream::with_length;

namespace
{

const std::string etag = "ETag: \"12\"\r\n";

constexpr mq_platform_op all_ops[]
    = { MQ_PLATFORM_GET,    MQ_PLATFORM_PUT,  MQ_PLATFORM_CREATE,
        MQ_PLATFORM_DELETE, MQ_PLATFORM_LIST, MQ_PLATFORM_WATCH,
        MQ_PLATFORM_VMS };

bool
is_write (mq_platform_op op)
{
  return op == MQ_PLATFORM_PUT || op == MQ_PLATFORM_CREATE
         || op == MQ_PLATFORM_DELETE;
}

class CutPlatform : public testing::Test
{
protected:
  CutPlatform ()
  {
    url = service.url ();
    platform = mq_platform_new (client, mq_span_from (url.c_str ()), 20000);
  }

  ~CutPlatform () override
  {
    mq_platform_free (platform);
    mq_http_client_free (client);
    ev_loop_destroy (loop);
  }

  mq_platform_result
  ask (mq_platform_op op, const std::string &made)
  {
    const mq_span name = MQ_SPAN ("a/b");
    const mq_span value = MQ_SPAN ("v");

    service.set (made);
    version = 0;
    text.clear ();
    items = 0;
    switch (op)
      {
      case MQ_PLATFORM_GET:
        mq_platform_get (platform, name, on_reply, this);
        break;
      case MQ_PLATFORM_PUT:
        mq_platform_put (platform, name, 11, value, on_reply, this);
        break;
      case MQ_PLATFORM_CREATE:
        mq_platform_create (platform, name, value, on_reply, this);
        break;
      case MQ_PLATFORM_DELETE:
        mq_platform_delete (platform, name, 11, on_reply, this);
        break;
      case MQ_PLATFORM_LIST:
        mq_platform_list (platform, MQ_SPAN ("a/"), on_reply, this);
        break;
      case MQ_PLATFORM_WATCH:
        mq_platform_watch (platform, name, 11, 100, on_reply, this);
        break;
      default:
        mq_platform_vms (platform, on_reply, this);
        break;
      }
    ev_run (loop, 0);
    return result;
  }

  /* Expect that MADE tells nothing: a read is unavailable, and a write may
     have taken effect.  */
  void
  expect_nothing (mq_platform_op op, const std::string &made,
                  const std::string &what)
  {
    EXPECT_EQ (ask (op, made),
               is_write (op) ? MQ_PLATFORM_UNKNOWN : MQ_PLATFORM_UNAVAILABLE)
        << mq_platform_op_name (op) << " " << what;
    EXPECT_EQ (text, "") << what;
    EXPECT_EQ (items, 0u) << what;
  }

  void
  expect_cuts_nothing (mq_platform_op op, const std::string &made)
  {
    for (size_t n = 0; n < made.size (); n++)
      expect_nothing (op, made.substr (0, n), "cut at " + std::to_string (n));
  }

  mq_platform_result result = MQ_PLATFORM_RESULTS;
  uint64_t version = 0;
  std::string text;
  size_t items = 0;

private:
  static void
  on_reply (void *context, const mq_platform_reply *reply)
  {
    CutPlatform *t = static_cast<CutPlatform *> (context);

    t->result = reply->result;
    t->version = reply->version;
    if (reply->result == MQ_PLATFORM_OK && reply->value.data != nullptr)
      t->text.assign (reply->value.data, reply->value.size);
    t->items = reply->n_objects + reply->n_vms;
    ev_break (t->loop, EVBREAK_ALL);
  }

  struct ev_loop *loop = ev_loop_new (0);
  mq_http_client *client = mq_http_client_new (loop, { nullptr, 0 });
  raw_upstream::MadeResponse service;
  std::string url;
  mq_platform *platform;
};

const std::string list = quoted (
    "{'objects':[{'name':'a/b','version':3},{'name':'a/c','version':4}]}");
const std::string vms = quoted (
    "{'vms':[{'name':'x','address':'10.0.0.1:80','state':'leaving'}]}");

} // namespace

TEST_F (CutPlatform, WholeOneIsReported)
{
  EXPECT_EQ (ask (MQ_PLATFORM_GET, with_length ("200 OK", etag, "text")),
             MQ_PLATFORM_OK);
  EXPECT_EQ (text, "text");
  EXPECT_EQ (version, 12u);
  EXPECT_EQ (ask (MQ_PLATFORM_LIST, with_length ("200 OK", "", list)),
             MQ_PLATFORM_OK);
  EXPECT_EQ (items, 2u);
  EXPECT_EQ (ask (MQ_PLATFORM_VMS, with_length ("200 OK", "", vms)),
             MQ_PLATFORM_OK);
  EXPECT_EQ (items, 1u);
  EXPECT_EQ (ask (MQ_PLATFORM_PUT, with_length ("200 OK", etag, "")),
             MQ_PLATFORM_OK);
  EXPECT_EQ (ask (MQ_PLATFORM_DELETE, "HTTP/1.1 204 No\r\n\r\n"),
             MQ_PLATFORM_OK);
  EXPECT_EQ (ask (MQ_PLATFORM_CREATE, with_length ("412 No", etag, "")),
             MQ_PLATFORM_CONFLICT);
  EXPECT_EQ (version, 12u);
  EXPECT_EQ (ask (MQ_PLATFORM_PUT, with_length ("412 No", "", "")),
             MQ_PLATFORM_CONFLICT);
  EXPECT_EQ (ask (MQ_PLATFORM_WATCH, "HTTP/1.1 304 Same\r\n\r\n"),
             MQ_PLATFORM_UNCHANGED);
  EXPECT_EQ (ask (MQ_PLATFORM_GET, with_length ("404 No", "", "")),
             MQ_PLATFORM_MISSING);
}

TEST_F (CutPlatform, TellsNothing)
{
  for (mq_platform_op op : all_ops)
    {
      expect_cuts_nothing (op, with_length ("200 OK", etag, "text"));
      expect_cuts_nothing (op, with_length ("404 No", "", "none"));
      expect_cuts_nothing (op, with_length ("412 No", etag, "no"));
      expect_cuts_nothing (
          op, with_length ("429 Busy", "Retry-After: 9\r\n", "later"));
      expect_cuts_nothing (op, "HTTP/1.1 204 None\r\n" + etag + "\r\n");
      expect_cuts_nothing (op, "HTTP/1.1 304 Same\r\n\r\n");
    }
}

TEST_F (CutPlatform, ListTellsNothing)
{
  expect_cuts_nothing (MQ_PLATFORM_LIST, with_length ("200 OK", "", list));
  expect_cuts_nothing (MQ_PLATFORM_VMS, with_length ("200 OK", "", vms));
  expect_cuts_nothing (MQ_PLATFORM_LIST, "HTTP/1.1 200 OK\r\n\r\n" + list);
  expect_cuts_nothing (MQ_PLATFORM_VMS, "HTTP/1.1 200 OK\r\n\r\n" + vms);
}

/* A value without a length that was cut was taken for the whole one.  */
TEST_F (CutPlatform, ValueWithoutLengthTellsNothing)
{
  for (mq_platform_op op : { MQ_PLATFORM_GET, MQ_PLATFORM_WATCH })
    expect_nothing (op, "HTTP/1.1 200 OK\r\n" + etag + "\r\ntext", "");
}

/* A malformed version counted, or counted as "no such object".  */
TEST_F (CutPlatform, WithMalformedVersionTellsNothing)
{
  for (const char *bad :
       { "12", "\"12", "\"12x", "\"\"", "\"", "W/\"12\"", "\"-1\"", "\"0\"",
         "\"1 2\"", "\"99999999999999999999\"", "\"12\"\r\nETag: \"13\"" })
    for (const char *status : { "200 OK", "412 No" })
      for (mq_platform_op op : { MQ_PLATFORM_GET, MQ_PLATFORM_PUT,
                                 MQ_PLATFORM_CREATE, MQ_PLATFORM_WATCH })
        expect_nothing (op,
                        with_length (status,
                                     std::string ("ETag: ") + bad + "\r\n",
                                     "text"),
                        std::string (status) + " " + bad);
}

/* A status that does not belong to the call was taken for its result.  */
TEST_F (CutPlatform, WithStatusOfOtherCallTellsNothing)
{
  for (mq_platform_op op : all_ops)
    {
      if (op != MQ_PLATFORM_WATCH)
        expect_nothing (op, "HTTP/1.1 304 Same\r\n\r\n", "304");
      if (op != MQ_PLATFORM_DELETE)
        expect_nothing (op, "HTTP/1.1 204 None\r\n" + etag + "\r\n", "204");
      if (!is_write (op))
        expect_nothing (op, with_length ("412 No", etag, ""), "412");
    }
  for (mq_platform_op op : { MQ_PLATFORM_LIST, MQ_PLATFORM_VMS })
    expect_nothing (op, with_length ("404 No", "", ""), "404");
}

/* The objects of a list of another prefix were deleted as expired.  */
TEST_F (CutPlatform, ListOfOtherObjectsTellsNothing)
{
  for (const char *text :
       { "{'objects':[{'name':'a/b','version':3},{'name':'c','version':4}]}",
         "{'objects':[{'name':'a/b','version':0}]}",
         "{'objects':[{'name':'a/b','version':3,'version':4}]}",
         "{'objects':[{'name':'a/b'}]}", "{'objects':[],'objects':[]}",
         "{'objects':[]}x", "{'objects':{}}", "[]", "" })
    expect_nothing (MQ_PLATFORM_LIST,
                    with_length ("200 OK", "", quoted (text)), text);
}
