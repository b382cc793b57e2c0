/* Replies of routers and of the platform to mqctl that are cut at any byte,
   contradict themselves or are malformed, on connections that are closed in
   order afterwards.  Each is an error with a message and a non-zero exit code,
   never a result.  */

#include "support/deployment.h"
#include "support/made_response.h"

using deployment::quoted;
using raw_upstream::with_length;

namespace
{

const std::string status
    = quoted ("{'name':'vm0','generation':2,'draining':false,'in_flight':0}");
const std::string file = "{\"policy\":{\"stall_ms\":901}}";
const std::string etag = "ETag: \"2\"\r\n";

std::string
ok (const std::string &body, const std::string &headers = "")
{
  return with_length ("200 OK", headers, body);
}

/* A router and a platform in one, with a given response for each path.  */
class CutMqctl : public testing::Test
{
protected:
  void
  SetUp () override
  {
    set ("/v1/status", ok (status));
    set ("/v1/objects/config/manifest", ok (manifest (), etag));
    set ("/v1/objects/config/files/", ok (file, etag));
    set ("/v1/objects?prefix=", ok ("{\"objects\":[]}"));
  }

  static std::string
  manifest ()
  {
    return quoted ("{'format':1,'generation':2,'files':[{'name':'a.json',"
                   "'digest':'"
                   + deployment::digest (file) + "','size':"
                   + std::to_string (file.size ()) + "}],'changes':[]}");
  }

  void
  set (const std::string &path, const std::string &made)
  {
    std::lock_guard<std::mutex> lock (mutex);

    responses[path] = made;
  }

  /* Returns mqctl's exit code; sets OUTPUT and MESSAGES.  */
  int
  ctl (const std::string &verb)
  {
    const std::string path = folder.write ("messages", "");
    int code
        = programs::run ({ "/bin/sh", "-c",
                           programs::binary ("mqctl") + " --platform="
                               + service.url () + " --router=" + service.url ()
                               + " --timeout=0.1 " + verb + " 2>" + path },
                         &output);

    messages = folder.read ("messages");
    return code;
  }

  void
  expect_error (const std::string &verb, int code, const std::string &what)
  {
    EXPECT_EQ (ctl (verb), code) << verb << ", " << what << ": " << output;
    EXPECT_NE (messages.find ("mqctl: "), std::string::npos)
        << verb << ", " << what << ": " << messages;
  }

  /* Expect an error from VERB and no output if the response at PATH is any
     beginning of MADE.  */
  void
  expect_cut_errors (const std::string &verb, int code,
                     const std::string &path, const std::string &made)
  {
    set (path, made);
    EXPECT_EQ (ctl (verb), 0) << verb << ": " << messages;
    for (size_t n = 0; n < made.size (); n++)
      {
        set (path, made.substr (0, n));
        expect_error (verb, code, "cut at " + std::to_string (n));
        EXPECT_EQ (output, "") << verb << ", " << n;
      }
  }

  std::string output;
  std::string messages;

private:
  /* Returns the response of the longest path that TARGET begins with.  */
  std::string
  find (const std::string &target)
  {
    std::lock_guard<std::mutex> lock (mutex);
    std::string path;

    for (const auto &r : responses)
      if (target.compare (0, r.first.size (), r.first) == 0
          && r.first.size () > path.size ())
        path = r.first;
    return path.empty () ? with_length ("404 Not Found", "", "")
                         : responses[path];
  }

  programs::Folder folder;
  std::mutex mutex;
  std::map<std::string, std::string> responses;
  raw_upstream::Upstream service{ [this] (int fd, const std::string &request) {
    size_t at = request.find (' ') + 1;

    raw_upstream::send_all (
        fd, find (request.substr (at, request.find (' ', at) - at)));
  } };
};

} // namespace

TEST_F (CutMqctl, EntriesOfRouterAreError)
{
  const std::string body = quoted ("{'entries':[],'ttl_ms':5000}");

  expect_cut_errors ("entries", 4, "/v1/entries", ok (body));
  expect_cut_errors ("entries --json", 4, "/v1/entries",
                     "HTTP/1.1 200 OK\r\n\r\n" + body);
  for (const std::string &bad :
       { body + "x", body + body, std::string ("ok"), std::string (),
         quoted ("{'entries':[],'entries':[1]}") })
    {
      set ("/v1/entries", ok (bad));
      expect_error ("entries", 4, bad);
      EXPECT_EQ (output, "") << bad;
    }
}

TEST_F (CutMqctl, ExplanationOfRouterIsError)
{
  expect_cut_errors ("explain r-1", 4, "/v1/explain/r-1",
                     ok ("{\"request\":\"r-1\"}"));
}

/* A drain whose response is cut may have begun.  */
TEST_F (CutMqctl, DrainOfRouterIsUnknown)
{
  expect_cut_errors ("drain vm0", 5, "/v1/drain",
                     with_length ("202 Accepted", "", "{\"draining\":true}"));
}

/* A status without figures counted as a router that serves; "draining" with
   any text counted as true, so that the wait ended.  */
TEST_F (CutMqctl, StatusOfRouterIsNoAnswer)
{
  const std::string whole = ok (status);
  std::vector<std::string> bad
      = { ok (status + "x"),
          ok ("{}"),
          ok ("[]"),
          ok (quoted ("{'draining':true}")),
          ok (quoted ("{'name':'vm0','generation':'2','draining':false,"
                      "'in_flight':0}")),
          ok (quoted ("{'name':'vm0','generation':0,'draining':'no',"
                      "'in_flight':0}")),
          ok (quoted ("{'name':'vm0','generation':2,'generation':3,"
                      "'draining':false,'in_flight':0}")),
          ok (quoted ("{'name':'vm0','generation':2,'draining':false,"
                      "'in_flight':0,'members':[{'state':'live'}]}")),
          "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + status };

  ASSERT_EQ (ctl ("status"), 0);
  EXPECT_NE (output.find ("vm0"), std::string::npos);
  for (size_t n = 0; n < whole.size (); n += 3)
    bad.push_back (whole.substr (0, n));
  for (const std::string &made : bad)
    {
      set ("/v1/status", made);
      EXPECT_EQ (ctl ("status"), 4) << made;
      EXPECT_NE (output.find ("no answer"), std::string::npos) << made;
      EXPECT_EQ (output.find ("vm0"), std::string::npos) << made;
      expect_error ("drain vm0", 3, made);
    }
}

TEST_F (CutMqctl, ManifestIsError)
{
  expect_cut_errors ("files", 4, "/v1/objects/config/manifest",
                     ok (manifest (), etag));
}

/* The text of a file that was cut, or that is another one, was shown.  */
TEST_F (CutMqctl, FileIsError)
{
  expect_cut_errors ("show", 4, "/v1/objects/config/files/", ok (file, etag));
  for (const std::string &text :
       { std::string ("{}"), file + " ", std::string () })
    {
      set ("/v1/objects/config/files/", ok (text, etag));
      expect_error ("show", 4, text);
      EXPECT_EQ (output, "") << text;
    }
}

TEST_F (CutMqctl, AuditTrailIsIncomplete)
{
  const std::string name = "audit/2026-12-02/9999999999999-1-1";
  const std::string record
      = quoted ("{'time_ms':9999999999999,'kind':'mode','router':'a',"
                "'who':'vm0','what':'x','why':'y','before':'','after':''}\n");
  const std::string list
      = quoted ("{'objects':[{'name':'" + name + "','version':2}]}");

  set ("/v1/objects/" + name, ok (record, etag));
  set ("/v1/objects?prefix=audit/", ok (list));
  ASSERT_EQ (ctl ("log"), 0) << messages;
  EXPECT_NE (output.find ("vm0"), std::string::npos) << output;
  for (const std::string &made :
       { ok (record.substr (0, record.size () - 1), etag),
         ok (record.substr (0, 40), etag),
         "HTTP/1.1 200 OK\r\n" + etag + "\r\n" + record,
         ok (record, etag).substr (0, 30),
         ok (record, etag).substr (0, ok (record, etag).size () - 1) })
    {
      set ("/v1/objects/" + name, made);
      expect_error ("log", 4, made);
      EXPECT_EQ (output.find ("vm0"), std::string::npos) << output;
    }
  set ("/v1/objects/" + name, ok (record, etag));
  for (size_t n = 0; n < list.size (); n += 5)
    {
      set ("/v1/objects?prefix=audit/",
           "HTTP/1.1 200 OK\r\n\r\n" + list.substr (0, n));
      expect_error ("log", 4, "list cut at " + std::to_string (n));
    }
}
