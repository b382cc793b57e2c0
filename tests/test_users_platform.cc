/* The dialect of the users' platform: decoding into the project's types, and
   encoding of calls.  */

#include "../platform/platform.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace
{

mq_span
span (const std::string &s)
{
  return { s.data (), s.size () };
}

std::string
text (mq_span s)
{
  return std::string (s.size ? s.data : "", s.size);
}

const char *const configuration = R"({
  "version": 7,
  "routes": [
    {"name": "r1", "host": "x.example", "pathPrefix": "/a/",
     "kind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 500,
     "priority": 1, "weightedServices": [{"service": "one", "weight": 90},
     {"service": "two", "weight": 10}], "maxAttempts": 2,
     "allowAnonymous": false, "resumable": true, "gapTargetMs": 200},
    {"name": "r2", "host": "x.example", "pathPrefix": "/b/",
     "kind": "something new", "service": "two"}],
  "services": [
    {"name": "one", "maxConnections": 968, "engine": {"slots": 192,
     "kvTokenBytes": 590000, "models": [{"name": "m", "loadS": 14.0}],
     "step_ms": 0.85, "read_per_s": 196000.0, "loads_at_once": 6,
     "usual": {"prompt": 772, "answer": 172}, "layers": 80,
     "layerMb": 1750.0, "kinds": [
       {"name": "h100", "mb": 72000.0, "pace": 1.4, "readX": 1.0}]}},
    {"name": "two", "maxConnections": 96}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
  "tenants": [{"name": "org", "apiKeys": ["k1", "k2"], "priority": 1}]
})";

} // namespace

namespace
{

/* The error of decoding an engine's entry whose MEMBER is VALUE, or is left
   out if VALUE is empty; "" if there is none.  */
std::string
entry_error (const std::string &member, const std::string &value)
{
  std::map<std::string, std::string> members
      = { { "service", "\"s\"" },
          { "address", "\"10.0.0.1:80\"" },
          { "zone", "\"z\"" },
          { "version", "\"v1\"" },
          { "slots", "8" },
          { "state", "\"ready\"" },
          { "coldRemainingMs", "0" },
          { "sequence", "1" },
          { "kind", "\"h100\"" },
          { "stage", "\"both\"" },
          { "models", "[]" },
          { "layers", "{\"from\":0,\"target\":8,\"version\":1}" } };
  std::string entry = "{";
  std::string message;
  mq_upstream_facts f;
  GError *error = nullptr;

  if (!member.empty ())
    members[member] = value;
  for (auto &m : members)
    if (!m.second.empty ())
      entry += (entry.size () > 1 ? "," : "") + ("\"" + m.first + "\":")
               + m.second;
  entry += "}";
  if (mq_users_platform.upstream_decode (MQ_SPAN ("i-1"), span (entry), &f,
                                         &error)
      == 0)
    {
      mq_upstream_facts_finish (&f);
      return "";
    }
  message = error->message;
  g_error_free (error);
  return message;
}

/* Decodes the notice of a response with the header lines HEADERS.  */
mq_upstream_notice
notice (const std::string &headers, bool valid = true, unsigned status = 200)
{
  std::string head = "HTTP/1.1 200 OK\r\n" + headers + "\r\n";
  mq_upstream_notice n;
  GError *error = nullptr;

  EXPECT_EQ (mq_users_platform.notice_decode (span (head), status, &n, &error),
             valid ? 0 : -1)
      << headers;
  EXPECT_EQ (error == nullptr, valid) << headers;
  g_clear_error (&error);
  return n;
}

} // namespace

TEST (UsersPlatform, DecodesLimitOfResponse)
{
  EXPECT_FALSE (notice ("Content-Type: text/plain\r\n").limited);
  EXPECT_TRUE (notice ("server-limit:  4.1 \r\n").limited);
  EXPECT_DOUBLE_EQ (notice ("Server-Limit: 4.1\r\n").limit_per_s, 4.1);
  EXPECT_TRUE (notice ("Server-Limit: 0\r\n").limited);
  for (const char *bad : { "", "many", "-3", "nan", "inf", "1e9", "1.2.3",
                           "4 a second", "123456789012345678901234567890123" })
    EXPECT_FALSE (
        notice (std::string ("Server-Limit: ") + bad + "\r\n", false).limited);
}

TEST (UsersPlatform, DecodesRestOfRejection)
{
  EXPECT_EQ (notice ("", true, 503).rest_us, 0u);
  EXPECT_EQ (notice ("Retry-After: 3\r\n", true, 503).rest_us, 3000000u);
  EXPECT_EQ (notice ("retry-after: 0.25\r\n", true, 503).rest_us, 250000u);
  /* Only a rejection says that.  */
  EXPECT_EQ (notice ("Retry-After: 3\r\n", true, 200).rest_us, 0u);
  EXPECT_EQ (notice ("Retry-After: soon\r\n", false, 503).rest_us, 0u);
  EXPECT_GT (
      notice ("Retry-After: 99999999999999999999\r\n", true, 503).rest_us,
      3600 * 1000000ull);
  /* One invalid header does not hide the other.  */
  EXPECT_EQ (
      notice ("Server-Limit: x\r\nRetry-After: 3\r\n", false, 503).rest_us,
      3000000u);
}

TEST (UsersPlatform, DecodesThatUpstreamIsLeaving)
{
  EXPECT_FALSE (notice ("").leaving);
  EXPECT_TRUE (notice ("Server-Leaving: 1\r\n").leaving);
  EXPECT_TRUE (notice ("Server-Leaving: 1\r\n", true, 503).leaving);
  EXPECT_FALSE (notice ("Server-Leaving: 0\r\n").leaving);
  EXPECT_FALSE (notice ("Server-Leaving: soon\r\n", false).leaving);
}

TEST (UsersPlatform, DecodesConfiguration)
{
  mq_routing *r = mq_users_platform.routing_decode (
      mq_span_from (configuration), nullptr);

  ASSERT_NE (r, nullptr);
  EXPECT_EQ (r->version, 7u);
  const mq_route *route
      = mq_routing_match (r, MQ_SPAN ("x.example"), MQ_SPAN ("/a/1"));
  ASSERT_NE (route, nullptr);
  EXPECT_EQ (route->kind, MQ_ROUTE_STREAM);
  EXPECT_TRUE (route->resumable);
  EXPECT_EQ (route->timeout_ms, 20000u);
  EXPECT_EQ (route->target_ms, 500u);
  EXPECT_EQ (route->gap_ms, 200u);
  EXPECT_EQ (route->attempts, 2u);
  EXPECT_EQ (route->shares->len, 2u);
  const mq_route_service *s = mq_routing_find_service (r, MQ_SPAN ("one"));
  EXPECT_EQ (s->model.layers, 80u);
  EXPECT_DOUBLE_EQ (s->model.kv_mb_per_token, 0.59);
  EXPECT_DOUBLE_EQ (s->model.prefill_tokens_per_ms, 196);
  EXPECT_DOUBLE_EQ (s->model.load_s, 14);
  EXPECT_DOUBLE_EQ (
      mq_layered_model_find_card (&s->model, MQ_SPAN ("h100"))->memory_mb,
      72000);
  EXPECT_EQ (mq_routing_find_service (r, MQ_SPAN ("two"))->model.layers, 0u);
  EXPECT_STREQ (mq_routing_find_organisation (r, MQ_SPAN ("k2"))->name->data,
                "org");
  EXPECT_EQ (r->limits.body_bytes, 4194304u);
  mq_routing_unref (r);
}

TEST (UsersPlatform, UnknownRouteKindIsUnsafe)
{
  mq_routing *r = mq_users_platform.routing_decode (
      mq_span_from (configuration), nullptr);
  const mq_route *route
      = mq_routing_match (r, MQ_SPAN ("x.example"), MQ_SPAN ("/b/1"));

  EXPECT_EQ (route->kind, MQ_ROUTE_UNSAFE);
  EXPECT_EQ (route->attempts, 1u);
  mq_routing_unref (r);
}

TEST (UsersPlatform, RejectsInvalidConfigurationWithAReason)
{
  for (const char *bad :
       { "", "{", "[]", "{}", "{\"version\":1,\"routes\":[{}]}",
         "{\"version\":1,\"routes\":[{\"host\":\"x\",\"pathPrefix\":\"/\","
         "\"service\":\"unknown\"}]}" })
    {
      GError *error = nullptr;

      EXPECT_EQ (mq_users_platform.routing_decode (mq_span_from (bad), &error),
                 nullptr)
          << bad;
      ASSERT_NE (error, nullptr) << bad;
      EXPECT_EQ (error->domain, MQ_DIALECT_ERROR);
      g_error_free (error);
    }
}

/* Guards against priorities that wrap around or are read as 0, the most
   urgent.  */
TEST (UsersPlatform, RejectsInvalidPriorityWithItsPlace)
{
  for (const char *value : { "-1", "1001", "1.5", "1.0", "\"1\"", "true", "[]",
                             "4294967296", "1e400" })
    for (const char *list : { "routes", "tenants" })
      {
        std::string good = "{\"host\":\"x\",\"pathPrefix\":\"/\",\"service\":"
                           "\"s\",\"priority\":1000}";
        std::string bad = good;
        std::string text = "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"";
        GError *error = nullptr;

        bad.replace (bad.find ("1000"), 4, value);
        text += std::string (list) + "\":[" + good + "," + bad + "]}";
        EXPECT_EQ (mq_users_platform.routing_decode (span (text), &error),
                   nullptr)
            << text;
        ASSERT_NE (error, nullptr) << text;
        EXPECT_NE (strstr (error->message,
                           (std::string (list) + "[1].priority").c_str ()),
                   nullptr)
            << error->message;
        g_error_free (error);
      }
}

TEST (UsersPlatform, DecodesUpstreamEntry)
{
  mq_upstream_facts f;

  ASSERT_EQ (mq_users_platform.upstream_decode (
                 MQ_SPAN ("i-1"),
                 MQ_SPAN ("{\"service\":\"one\",\"address\":\"10.0.0.1:80\","
                          "\"zone\":\"z\",\"version\":\"v1\",\"slots\":192,"
                          "\"state\":\"draining\",\"sequence\":44,"
                          "\"coldRemainingMs\":0,\"stage\":\"both\","
                          "\"models\":[],\"kind\":\"h100\",\"layers\":"
                          "{\"from\":20,\"target\":31,\"version\":1}}"),
                 &f, nullptr),
             0);
  EXPECT_STREQ (f.id->data, "i-1");
  EXPECT_STREQ (f.domain->data, "z");
  EXPECT_TRUE (f.draining);
  EXPECT_EQ (f.layer_first, 20u);
  EXPECT_EQ (f.layer_end, 31u);
  mq_upstream_facts_finish (&f);
  EXPECT_EQ (mq_users_platform.upstream_decode (MQ_SPAN ("i-1"),
                                                MQ_SPAN ("{}"), &f, nullptr),
             -1);
}

/* Entries with a missing or invalid member, such as those of another writer,
   must be rejected with a reason.  */
TEST (UsersPlatform, RejectsInvalidUpstreamEntries)
{
  for (const char *text :
       { "", "null", "[]", "7", "\"text\"", "{\"service\"", "\xff\xfe",
         "{\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\"}",
         "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\"}",
         "{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
         "\"state\":\"ready\"}",
         "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"}",
         "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
         "\"state\":\"resting\"}",
         "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
         "\"state\":1}",
         "{\"service\":[],\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
         "\"state\":\"ready\"}",
         "{\"service\":\"s\",\"address\":{},\"zone\":\"z\","
         "\"state\":\"ready\"}",
         "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
         "\"state\":\"ready\"}",
         "{\"service\":\"s\",\"address\":\"10.0.0.1:0\",\"zone\":\"z\","
         "\"state\":\"ready\"}",
         "{\"service\":\"s\",\"address\":\"10.0.0.1:99999\",\"zone\":\"z\","
         "\"state\":\"ready\"}" })
    {
      mq_upstream_facts f;
      GError *error = nullptr;

      EXPECT_EQ (mq_users_platform.upstream_decode (
                     MQ_SPAN ("i-1"), mq_span_from (text), &f, &error),
                 -1)
          << text;
      ASSERT_NE (error, nullptr) << text;
      g_error_free (error);
    }
}

/* An entry that lacks a member which every engine states, or states it as
   another type or out of range, is not an engine's.  If it were used, the plan
   would count layers that nobody holds.  */
TEST (UsersPlatform, RejectsEntriesOfOtherWriters)
{
  const std::map<std::string, std::vector<std::string> > bad = {
    { "service", { "", "7", "null" } },
    { "address", { "", "7" } },
    { "zone", { "", "{}" } },
    { "version", { "", "1" } },
    { "slots", { "", "\"8\"", "-1", "1.5", "4294967296" } },
    { "state", { "", "7", "\"resting\"" } },
    { "coldRemainingMs", { "", "\"0\"", "-1", "null" } },
    { "sequence", { "", "1.0", "-1", "\"1\"" } },
    { "born", { "\"?\"", "1.5", "-1", "1e300", "[]" } },
    { "kind", { "", "7", "null" } },
    { "stage", { "", "7" } },
    { "models", { "", "{}", "null" } },
    { "layers",
      { "", "7", "[3]", "\"x\"", "{}", "{\"from\":\"a\",\"target\":[]}",
        "{\"from\":70.0e9,\"target\":71.75e9}", "{\"from\":0,\"target\":9.0}",
        "{\"from\":-1,\"target\":9}", "{\"from\":0,\"target\":4294967376}",
        "{\"from\":9,\"target\":8}", "{\"target\":9}", "{\"from\":0}" } },
  };

  ASSERT_EQ (entry_error ("", ""), "");
  for (auto &member : bad)
    for (auto &value : member.second)
      {
        std::string error = entry_error (member.first, value);

        EXPECT_NE (error.find ("entry." + member.first) == std::string::npos
                       ? error.find (member.first + ".")
                       : 0u,
                   std::string::npos)
            << member.first << ":" << value << ": " << error;
      }
}

/* Engines that hold no layers state null, and that of a plain service states
   no member of an engine.  */
TEST (UsersPlatform, EntryWithoutLayersIsUsable)
{
  EXPECT_EQ (entry_error ("layers", "null"), "");
  EXPECT_EQ (entry_error ("layers", "[]"), "");
  EXPECT_EQ (entry_error ("born", "1700000000000"), "");
  EXPECT_EQ (entry_error ("coldRemainingMs", "0.5"), "");
}

/* The member of the same name in an entry counts heartbeats.  If that were
   used as the precondition, engines would reject every order.  */
TEST (UsersPlatform, ReportSequenceCountsOrders)
{
  mq_engine_report r;

  ASSERT_EQ (mq_users_platform.report_decode (
                 MQ_SPAN ("{\"busy\":true,\"sequence\":2,\"waiting\":1,"
                          "\"running\":12,\"kvUsed\":41000,\"kvTotal\":90000,"
                          "\"pace\":2.5,\"layers\":[{\"from\":0,\"target\":9}"
                          "],\"stalled\":[{\"id\":\"a\",\"address\":\"x:1\"}]"
                          "}"),
                 &r, nullptr),
             0);
  EXPECT_EQ (r.orders, 2u);
  EXPECT_TRUE (r.busy);
  EXPECT_EQ (r.layer_end, 9u);
  EXPECT_DOUBLE_EQ (r.slowdown, 2.5);
  ASSERT_EQ (r.stalled_addresses->len, 1u);
  EXPECT_STREQ ((const char *)g_ptr_array_index (r.stalled_addresses, 0),
                "x:1");
  mq_users_platform.report_finish (&r);
  EXPECT_EQ (mq_users_platform.report_decode (MQ_SPAN ("{}"), &r, nullptr),
             -1);
}

/* The count of orders and the layers of an engine decide on orders.  */
TEST (UsersPlatform, RejectsReportsWithInvalidState)
{
  for (const char *bad :
       { "\"sequence\":1.0", "\"sequence\":-1", "\"sequence\":\"1\"",
         "\"sequence\":1,\"busy\":\"no\"", "\"sequence\":1,\"born\":1.5",
         "\"sequence\":1,\"layers\":7",
         "\"sequence\":1,\"layers\":{\"from\":0,\"target\":4294967376}",
         "\"sequence\":1,\"layers\":{\"from\":9,\"target\":8}" })
    {
      std::string text = "{" + std::string (bad) + "}";
      GError *error = nullptr;
      mq_engine_report r;

      EXPECT_EQ (mq_users_platform.report_decode (span (text), &r, &error), -1)
          << text;
      ASSERT_NE (error, nullptr) << text;
      g_error_free (error);
    }
}

/* A number with more behind it is none, and a member that is there twice with
   different values has none: the last one counted.  */
TEST (UsersPlatform, RejectsReportsThatContradictThemselves)
{
  for (const char *bad :
       { "\"sequence\":2x", "\"sequence\":2 3", "\"sequence\":2/**/3",
         "\"sequence\":2,\"sequence\":3", "\"sequence\":3,\"sequence\":null",
         "\"sequence\":null,\"sequence\":3",
         "\"sequence\":3,\"sequence\":2,\"sequence\":3",
         "\"sequence\":2,\"x\":1,\"x\":2",
         "\"sequence\":2,\"s\\u0065quence\":3",
         "\"s\\u0065quence\":3,\"sequence\":2",
         "\"busy\":false,\"sequence\":2,\"layers\":{\"from\":0,\"target\":9,"
         "\"f\\u0072om\":3}",
         "\"sequence\":3,\"sequence\":[" })
    {
      std::string text = "{" + std::string (bad) + "}";
      mq_engine_report r;

      EXPECT_EQ (mq_users_platform.report_decode (span (text), &r, nullptr),
                 -1)
          << text;
    }
  mq_engine_report r;
  ASSERT_EQ (mq_users_platform.report_decode (
                 MQ_SPAN ("{\"busy\":false,\"sequence\":2,\"sequence\":2}"),
                 &r, nullptr),
             0);
  EXPECT_EQ (r.orders, 2u);
  mq_users_platform.report_finish (&r);
}

/* The revision of a list decides which changes follow.  */
TEST (UsersPlatform, ListWithMalformedRevisionIsUnreadable)
{
  for (const char *at :
       { "100x", "1e400", "1e2", "-1", "0", "100.5", "\"100\"", "null",
         "[100]", "99999999999999999999999", "18446744073709551616", "0x64",
         "+100" })
    {
      std::string body
          = "{\"items\":[],\"hasMore\":false,\"at\":" + std::string (at) + "}";
      mq_platform_reply reply = {};

      void *decoded
          = mq_users_store.decode (MQ_PLATFORM_SCAN, 200, span (body), &reply);
      EXPECT_EQ (reply.result, MQ_PLATFORM_UNREADABLE) << at;
      mq_users_store.free_decoded (decoded);
    }
}

/* A number of the load that is invalid is left out, and said to be, rather
   than cut to fewer bits.  */
TEST (UsersPlatform, ReportTellsOfInvalidLoad)
{
  mq_engine_report r;

  ASSERT_EQ (mq_users_platform.report_decode (
                 MQ_SPAN ("{\"sequence\":2,\"waiting\":4294967297,"
                          "\"running\":3,\"layers\":null}"),
                 &r, nullptr),
             0);
  EXPECT_EQ (r.waiting, 0u);
  EXPECT_EQ (r.running, 3u);
  EXPECT_TRUE (r.has_layers);
  ASSERT_NE (r.left_out, nullptr);
  EXPECT_NE (strstr (r.left_out, "waiting"), nullptr) << r.left_out;
  mq_users_platform.report_finish (&r);
  ASSERT_EQ (mq_users_platform.report_decode (MQ_SPAN ("{\"sequence\":2}"), &r,
                                              nullptr),
             0);
  EXPECT_FALSE (r.has_layers);
  EXPECT_EQ (r.left_out, nullptr);
  mq_users_platform.report_finish (&r);
}

/* A number that does not fit must not be cut: 4294967297 ms were taken for 1
   ms, and a model of 4294967295 layers ended the process.  */
TEST (UsersPlatform, RejectsConfigurationsWithInvalidNumbers)
{
  const std::string text (configuration);

  for (auto &change : std::vector<std::pair<std::string, std::string> >{
           { "\"timeoutMs\": 20000", "\"timeoutMs\": 4294967297" },
           { "\"timeoutMs\": 20000", "\"timeoutMs\": 20000.5" },
           { "\"timeoutMs\": 20000", "\"timeoutMs\": \"20000\"" },
           { "\"timeoutMs\": 20000", "\"timeoutMs\": -1" },
           { "\"layers\": 80", "\"layers\": 4294967295" },
           { "\"layers\": 80", "\"layers\": 1025" },
           { "\"layers\": 80", "\"layers\": 80.5" },
           { "\"layerMb\": 1750", "\"layerMb\": -1750" },
           { "\"version\": 7", "\"version\": 7.5" } })
    {
      std::string bad = text;
      GError *error = nullptr;
      size_t at = bad.find (change.first);

      ASSERT_NE (at, std::string::npos) << change.first;
      bad.replace (at, change.first.size (), change.second);
      EXPECT_EQ (mq_users_platform.routing_decode (span (bad), &error),
                 nullptr)
          << change.second;
      ASSERT_NE (error, nullptr) << change.second;
      EXPECT_NE (strstr (error->message, ": expected "), nullptr)
          << error->message;
      g_error_free (error);
    }
}

TEST (UsersPlatform, OrderCarriesItsPrecondition)
{
  GString *out = g_string_new (nullptr);

  mq_users_platform.order_encode (20, 31, 4, out);
  EXPECT_STREQ (out->str, "{\"op\":\"place\",\"from\":20,\"target\":31,"
                          "\"mode\":\"wait\",\"precondition\":4}");
  g_string_free (out, TRUE);
}

TEST (UsersPlatform, EncodesStoreCalls)
{
  auto encode = [] (mq_platform_request request) {
    mq_platform_wire w
        = { "GET", g_string_new (nullptr), g_string_new (nullptr) };
    std::string s;

    request.kind = MQ_SPAN ("servers");
    mq_users_platform.store->encode (&request, &w);
    s = std::string (w.method) + " " + w.path->str + " " + w.body->str;
    g_string_free (w.path, TRUE);
    g_string_free (w.body, TRUE);
    return s;
  };
  mq_platform_request request = {};

  request.op = MQ_PLATFORM_SCAN;
  request.after = MQ_SPAN ("i 1");
  request.stale = true;
  EXPECT_EQ (encode (request),
             "GET /objects/servers?after=i%201&allowStale=1 ");
  request = {};
  request.op = MQ_PLATFORM_FOLLOW;
  request.version = 530;
  request.wait_ms = 2500;
  EXPECT_EQ (encode (request), "GET /objects/servers?watch=530&waitMs=2500 ");
  request = {};
  request.op = MQ_PLATFORM_CREATE;
  request.name = MQ_SPAN ("n");
  request.value = MQ_SPAN ("{\"a\":1}");
  EXPECT_EQ (encode (request),
             "POST /objects/servers "
             "{\"metadata\":{\"name\":\"n\"},\"spec\":{\"a\":1}"
             "}");
}

TEST (UsersPlatform, DecodesStoreReplies)
{
  mq_platform_reply r = {};
  const mq_platform_dialect *d = mq_users_platform.store;
  void *decoded
      = d->decode (MQ_PLATFORM_FOLLOW, 200,
                   MQ_SPAN ("{\"events\":[{\"deleted\":true,\"object\":"
                            "{\"metadata\":{\"name\":\"i-1\",\"revision\":5},"
                            "\"spec\":null}}],\"at\":9}"),
                   &r);

  EXPECT_EQ (r.result, MQ_PLATFORM_OK);
  ASSERT_EQ (r.n_entries, 1u);
  EXPECT_EQ (text (r.entries[0].name), "i-1");
  EXPECT_TRUE (r.entries[0].deleted);
  EXPECT_EQ (r.at, 9u);
  d->free_decoded (decoded);
  r = {};
  EXPECT_EQ (d->decode (MQ_PLATFORM_FOLLOW, 410, MQ_SPAN (""), &r), nullptr);
  EXPECT_EQ (r.result, MQ_PLATFORM_HISTORY_EXPIRED);
  r = {};
  /* The store answered, so that it is not unavailable.  */
  decoded = d->decode (MQ_PLATFORM_SCAN, 200, MQ_SPAN ("{\"items\":"), &r);
  EXPECT_EQ (r.result, MQ_PLATFORM_UNREADABLE);
  EXPECT_EQ (r.n_entries, 0u);
  d->free_decoded (decoded);
  r = {};
  decoded = d->decode (MQ_PLATFORM_PUT, 409, MQ_SPAN ("{}"), &r);
  EXPECT_EQ (r.result, MQ_PLATFORM_CONFLICT);
  d->free_decoded (decoded);
}

/* The last part of a prompt belongs to one request or session.  */
TEST (UsersPlatform, SharedPartsOfPromptAreDecoded)
{
  auto decode = [] (const std::string &value, size_t max) {
    std::vector<mq_span> ids (max);
    std::string all;
    size_t n = mq_users_platform.shared_parts_decode (span (value),
                                                      ids.data (), max);

    for (size_t i = 0; i < n; i++)
      all += std::string (ids[i].data, ids[i].size) + ";";
    return all;
  };

  EXPECT_EQ (decode ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", 8),
             "5c1e07a2;91bd3f06;");
  EXPECT_EQ (decode (" 5c1e07a2 : 800 , 91bd3f06:410,e4402b7d:250", 8),
             "5c1e07a2;91bd3f06;");
  EXPECT_EQ (decode ("a:1,b:2,c:3,d:4,e:5", 2), "c;d;");
  EXPECT_EQ (decode ("a:1,,b,:4,c:3,d:4", 8), "a;c;");
  EXPECT_EQ (decode ("a:1", 8), "");
  EXPECT_EQ (decode ("", 8), "");
}

/* Mutated messages must be decoded or rejected without a crash.  */
RC_GTEST_PROP (UsersPlatformProperty, DecodersTakeAnyBytes, ())
{
  std::string s = configuration;

  for (unsigned i = *rc::gen::inRange (0u, 6u); i > 0; i--)
    {
      size_t at = *rc::gen::inRange<size_t> (0, s.size ());

      switch (*rc::gen::inRange (0, 4))
        {
        case 0:
          s.resize (at + 1);
          break;
        case 1:
          s[at] = *rc::gen::arbitrary<char> ();
          break;
        case 2:
          s.erase (at, *rc::gen::inRange<size_t> (0, 40));
          break;
        default:
          s.insert (at, *rc::gen::element<std::string> (
                            "-1", "null", "[]", "{}", "1e400", "\"", "true"));
          break;
        }
      if (s.empty ())
        s = "{";
    }
  mq_upstream_facts f;
  mq_engine_report report;
  mq_platform_reply reply = {};
  mq_routing *r = mq_users_platform.routing_decode (span (s), nullptr);

  mq_routing_unref (r);
  if (mq_users_platform.upstream_decode (MQ_SPAN ("i"), span (s), &f, nullptr)
      == 0)
    mq_upstream_facts_finish (&f);
  if (mq_users_platform.report_decode (span (s), &report, nullptr) == 0)
    mq_users_platform.report_finish (&report);
  void *decoded = mq_users_platform.store->decode (MQ_PLATFORM_SCAN, 200,
                                                   span (s), &reply);
  if (decoded != nullptr)
    mq_users_platform.store->free_decoded (decoded);
}
