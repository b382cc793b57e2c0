/* Settings of the gateway mode.  */

#include <mq/gateway_settings.h>

#include <gtest/gtest.h>

#include <string>

namespace
{

std::string
settings (const std::string &more = "")
{
  return "{\"gateway\":{\"name\":\"vm\",\"region\":\"r\",\"failure_domain\":"
         "\"d\",\"clients\":\"10.0.0.1:80\",\"readiness\":\"10.0.0.1:81\","
         "\"directory\":\"10.0.0.1:82\",\"peers\":\"10.0.0.1:83\","
         "\"platform_url\":\"http://10.9.9.9:1\""
         + more + "}}";
}

std::string
fault (const std::string &text)
{
  mq_gateway_settings s;
  GError *error = nullptr;
  std::string message;

  if (mq_gateway_settings_parse (&s, MQ_SPAN ("file"),
                                 { text.data (), text.size () }, &error)
      == 0)
    {
      mq_gateway_settings_finish (&s);
      return "";
    }
  message = error->message;
  g_error_free (error);
  return message;
}

} // namespace

TEST (GatewaySettings, ReadsValidFile)
{
  std::string text
      = settings (",\"seeds\":[\"10.0.0.2:83\"],\"grace_ms\":8000,"
                  "\"further_sends_ratio\":0.2,\"further_sends_slack\":196,"
                  "\"max_files\":4200,\"memory_mb\":260");
  mq_gateway_settings s;

  ASSERT_EQ (mq_gateway_settings_parse (&s, MQ_SPAN ("file"),
                                        { text.data (), text.size () },
                                        nullptr),
             0);
  EXPECT_STREQ (s.clients.address->data, "10.0.0.1");
  EXPECT_EQ (s.clients.port, 80u);
  EXPECT_EQ (s.peers.port, 83u);
  EXPECT_STREQ (s.tunnels.address->data, "10.0.0.1");
  EXPECT_EQ (s.tunnels.port, 0u);
  ASSERT_EQ (s.seeds->len, 1u);
  EXPECT_EQ (s.grace_ms, 8000u);
  EXPECT_EQ (s.max_connections, 2100u);
  EXPECT_EQ (s.memory, 260u * 1024 * 1024);
  EXPECT_DOUBLE_EQ (s.retry_slack, 196);
  mq_gateway_settings_finish (&s);
}

TEST (GatewaySettings, FaultNamesKey)
{
  EXPECT_EQ (fault (settings ()), "");
  EXPECT_NE (fault ("{}").find ("gateway"), std::string::npos);
  EXPECT_NE (fault (settings (",\"seed\":1")).find ("seed"),
             std::string::npos);
  EXPECT_NE (fault (settings (",\"grace_ms\":-1")).find ("grace_ms"),
             std::string::npos);
  EXPECT_EQ (fault (settings (",\"tunnels\":\"10.0.0.1:84\"")), "");
  EXPECT_NE (fault (settings (",\"tunnels\":\"10.0.0.2:84\""))
                 .find ("expected the IP address of \"clients\""),
             std::string::npos);
  std::string s = settings ();
  s.replace (s.find ("10.0.0.1:81"), 11, "localhost:81");
  EXPECT_NE (fault (s).find ("readiness"), std::string::npos);
  s.replace (s.find ("localhost:81"), 12, "10.0.0.1:x");
  EXPECT_NE (fault (s).find ("IP:PORT"), std::string::npos);
}

TEST (GatewaySettings, RejectsMissingFileAndInvalidJson)
{
  mq_gateway_settings s;
  GError *error = nullptr;

  EXPECT_EQ (mq_gateway_settings_load (&s, "/nowhere/x.json", &error), -1);
  ASSERT_NE (error, nullptr);
  EXPECT_EQ (error->code, MQ_SETTINGS_ERROR_READ);
  g_error_free (error);
  EXPECT_NE (fault ("{"), "");
  EXPECT_FALSE (mq_gateway_settings_is_present ("/nowhere/x.json"));
}

/* A file that is cut at any byte is an error that names the file and the line.
   The settings are one object, so that no part of the file is another.  */
TEST (GatewaySettings, FileCutAtAnyByteIsRejected)
{
  std::string text = settings (",\n\"seeds\":[\"10.0.0.2:83\"],\n// Comment\n"
                               "\"grace_ms\":8000,\"memory_mb\":260\n");

  ASSERT_EQ (fault (text), "");
  for (size_t n = 0; n < text.size (); n++)
    EXPECT_EQ (fault (text.substr (0, n)).find ("file:"), 0u)
        << n << " bytes: " << fault (text.substr (0, n));
}
