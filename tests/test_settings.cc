/* Settings of the native mode: values, rejections and their messages.  */

#include <gtest/gtest.h>
#include <mq/settings.h>

#include <string>

namespace
{

/* Replaces each single quote in TEXT by a double quote.  */
std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

const std::string valid
    = quoted ("{\n"
              "  // One VM of the yard.\n"
              "  'name': 'kamloops-1',\n"
              "  'region': 'bc-interior',\n"
              "  'failure_domain': 'kamloops-yard',\n"
              "  'callers': { 'address': '10.0.0.5', 'port': 8080 },\n"
              "  'peers': { 'address': '10.0.0.5', 'port': 8090,"
              " 'key_file': '/etc/mq/pair', 'ring_file': '/etc/mq/ring' },\n"
              "  'platform': { 'url': 'http://10.0.0.1:9000' },\n"
              "  'limits': { 'body_bytes': 4096, 'idle_s': 5 },\n"
              "  'log': { 'level': 'debug' }\n"
              "}\n");

/* Returns the error message for TEXT, or "" if it is valid.  */
std::string
fault (const std::string &text,
       const mq_settings_overrides *overrides = nullptr)
{
  mq_settings s;
  GError *error = nullptr;
  std::string message;

  if (mq_settings_parse (&s, MQ_SPAN ("vm.json"),
                         { text.data (), text.size () }, overrides, &error)
      == 0)
    {
      mq_settings_finish (&s);
      return "";
    }
  message = error->message;
  g_error_free (error);
  return message;
}

/* Returns VALID with FROM replaced by TO.  */
std::string
with (const std::string &from, const std::string &to)
{
  std::string text = valid;
  size_t at = text.find (quoted (from));

  EXPECT_NE (at, std::string::npos) << from;
  return text.replace (at, from.size (), quoted (to));
}

void
expect_fault (const std::string &text,
              std::initializer_list<const char *> parts)
{
  std::string message = fault (text);

  for (const char *part : parts)
    EXPECT_NE (message.find (part), std::string::npos)
        << "no \"" << part << "\" in: " << message;
}

} // namespace

TEST (Settings, ReadsValidFile)
{
  mq_settings s;
  GError *error = nullptr;

  ASSERT_EQ (mq_settings_parse (&s, MQ_SPAN ("vm.json"),
                                { valid.data (), valid.size () }, nullptr,
                                &error),
             0)
      << error->message;
  EXPECT_STREQ (mq_str_cstr (s.name), "kamloops-1");
  EXPECT_STREQ (mq_str_cstr (s.failure_domain), "kamloops-yard");
  EXPECT_STREQ (mq_str_cstr (s.advertised), "10.0.0.5");
  EXPECT_EQ (s.callers.port, 8080);
  EXPECT_EQ (s.peers.port, 8090);
  EXPECT_STREQ (mq_str_cstr (s.peers_key_file), "/etc/mq/pair");
  EXPECT_EQ (s.body_bytes, 4096u);
  EXPECT_EQ (s.idle_s, 5u);
  EXPECT_STREQ (mq_str_cstr (s.log_level), "debug");
  mq_settings_finish (&s);
}

/* Without keys any process could act as a router.  */
TEST (Settings, RejectsPeersWithoutKeys)
{
  EXPECT_NE (fault (with ("'ring_file': '/etc/mq/ring'", "'x': 'y'"))
                 .find ("key_file and ring_file"),
             std::string::npos);
}

TEST (Settings, UnknownKeyIsReportedWithFileAndLine)
{
  expect_fault (with ("\"idle_s\": 5", "\"idle\": 5"),
                { "vm.json", ":9", "limits.idle" });
}

TEST (Settings, WrongTypeIsReportedWithPath)
{
  expect_fault (with ("8080", "\"8080\""), { "vm.json", "callers.port" });
  expect_fault (with ("\"kamloops-1\"", "7"), { "vm.json", "name" });
}

TEST (Settings, RejectsInvalidValues)
{
  expect_fault (with ("8080", "70000"), { "callers.port", "65535" });
  expect_fault (with ("\"kamloops-1\"", "\"kamloops 1\""), { "name" });
  expect_fault (with ("\"address\": \"10.0.0.5\"", "\"address\": \"yard\""),
                { "callers.address", "numeric IP address" });
  expect_fault (with ("http://10.0.0.1:9000", "ftp://10.0.0.1"),
                { "platform.url", "http://IP:PORT" });
  expect_fault (with ("\"debug\"", "\"loud\""), { "log.level" });
  expect_fault (with ("\"log\"", "'tls': { 'key': 'a.pem' }, 'log'"),
                { "tls", "certificate" });
  expect_fault (
      with ("\"log\"", "'operators': { 'token_sha256': 'abc' }, 'log'"),
      { "operators.token_sha256", "64 hexadecimal" });
}

TEST (Settings, AllMissingKeysAreReportedTogether)
{
  expect_fault ("{}",
                { "name", "region", "failure_domain", "callers", "platform" });
}

TEST (Settings, ListeningOnAllAddressesNeedsAdvertisedAddress)
{
  std::string everywhere = with ("\"callers\": { \"address\": \"10.0.0.5\"",
                                 "\"callers\": { \"address\": \"0.0.0.0\"");

  expect_fault (everywhere, { "advertised" });
  everywhere.replace (everywhere.find ("\"log\""), 5,
                      "\"advertised\": \"10.0.0.5\", \"log\"");
  EXPECT_EQ (fault (everywhere), "");
}

TEST (Settings, InvalidJsonIsReadError)
{
  mq_settings s;
  GError *error = nullptr;

  ASSERT_EQ (mq_settings_parse (&s, MQ_SPAN ("vm.json"), MQ_SPAN ("{ \"a\": "),
                                nullptr, &error),
             -1);
  EXPECT_TRUE (
      g_error_matches (error, MQ_SETTINGS_ERROR, MQ_SETTINGS_ERROR_READ));
  g_error_free (error);
}

TEST (Settings, OverridesReplaceValuesAndAreValidated)
{
  mq_settings_overrides o = { "127.0.0.1", 0, "error", "http://127.0.0.1:9" };
  mq_settings s;
  GError *error = nullptr;

  ASSERT_EQ (mq_settings_parse (&s, MQ_SPAN ("vm.json"),
                                { valid.data (), valid.size () }, &o, &error),
             0);
  EXPECT_STREQ (mq_str_cstr (s.callers.address), "127.0.0.1");
  EXPECT_STREQ (mq_str_cstr (s.advertised), "127.0.0.1");
  EXPECT_EQ (s.callers.port, 0);
  EXPECT_STREQ (mq_str_cstr (s.log_level), "error");
  EXPECT_STREQ (mq_str_cstr (s.platform_url), "http://127.0.0.1:9");
  mq_settings_finish (&s);
  o.port = 65536;
  EXPECT_NE (fault (valid, &o).find ("--port"), std::string::npos);
  o.port = -1;
  o.address = "localhost";
  EXPECT_NE (fault (valid, &o).find ("--address"), std::string::npos);
}

/* A file that is cut at any byte is an error that names the file and the line.
 */
TEST (Settings, FileCutAtAnyByteIsRejected)
{
  size_t end = valid.rfind ('}');

  ASSERT_EQ (fault (valid.substr (0, end + 1)), "");
  for (size_t n = 0; n <= end; n++)
    EXPECT_EQ (fault (valid.substr (0, n)).find ("vm.json:"), 0u)
        << n << " bytes: " << fault (valid.substr (0, n));
}
