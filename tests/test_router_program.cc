/* The program marjoramquay: its command line, its exit statuses, and reloading
   of its TLS certificate.  */

#include "support/certificate.h"
#include "support/deployment.h"

using deployment::Deployment;
using deployment::Options;
using deployment::quoted;
using programs::Folder;
using programs::Reply;
using programs::Request;

namespace
{

const std::string settings
    = quoted ("{ 'name': 'vm1', 'region': 'r', 'failure_domain': 'd',\n"
              "  'callers': { 'address': '127.0.0.1', 'port': 0 },\n"
              "  'platform': { 'url': 'http://127.0.0.1:9' } }\n");

int
run (const std::vector<std::string> &arguments, std::string *output = nullptr)
{
  std::vector<std::string> all = { programs::binary ("marjoramquay") };

  all.insert (all.end (), arguments.begin (), arguments.end ());
  return programs::run (all, output);
}

/* Fetches /healthz over TLS, trusting only the certificate in the file CA.  */
Reply
fetch_tls (const std::string &address, const std::string &ca)
{
  Request r;

  r.url = "https://" + address + "/healthz";
  r.ca = ca;
  return programs::fetch (r);
}

} // namespace

TEST (Program, ValidatesSettings)
{
  Folder f;
  std::string good = f.write ("good", settings);
  std::string bad = f.write ("bad", settings + "}");
  std::string output;

  EXPECT_EQ (run ({ "--settings", good, "--check" }, &output), 0);
  EXPECT_NE (output.find ("vm1"), std::string::npos) << output;
  EXPECT_EQ (run ({ "--settings", bad, "--check" }), 2);
  EXPECT_EQ (run ({ "--settings", f.path () + "/none", "--check" }), 2);
  EXPECT_EQ (run ({ "--settings", good, "--check", "--port", "99999" }), 2);
  EXPECT_EQ (run ({ "--settings", good, "--check", "--unknown" }), 2);
}

TEST (Program, ReadsSettingsPathFromEnvironment)
{
  Folder f;

  EXPECT_EQ (run ({ "--check" }), 2);
  setenv ("MQ_SETTINGS", f.write ("good", settings).c_str (), 1);
  EXPECT_EQ (run ({ "--check" }), 0);
  unsetenv ("MQ_SETTINGS");
}

TEST (Program, PrintsVersion)
{
  std::string output;

  EXPECT_EQ (run ({ "--version" }, &output), 0);
  EXPECT_EQ (output.compare (0, 13, "marjoramquay "), 0) << output;
}

TEST (Program, ExitsWhenPortIsInUse)
{
  Folder f;
  std::string good = f.write ("good", settings);
  programs::Program first (
      { programs::binary ("marjoramquay"), "--settings", good });
  std::string address = first.address ();

  EXPECT_EQ (run ({ "--settings", good, "--port",
                    address.substr (address.find (':') + 1) }),
             1);
  first.kill (SIGTERM);
  EXPECT_EQ (first.wait (), 0);
}

TEST (Program, RejectsRequestsWithoutConfiguration)
{
  Folder f;
  programs::Program router ({ programs::binary ("marjoramquay"), "--settings",
                              f.write ("good", settings) });
  Request r;

  EXPECT_EQ (programs::get (router.url () + "/healthz").status, 200);
  EXPECT_EQ (programs::get (router.url () + "/readyz").status, 503);
  r.method = "POST";
  r.url = router.url () + "/v1/completions";
  r.headers = { "Authorization: Bearer x" };
  r.body = quoted ("{'model':'a','prompt':'b'}");
  Reply reply = programs::fetch (r);
  EXPECT_EQ (reply.status, 503);
  EXPECT_EQ (programs::json_text (reply.body, "error.code"),
             "no-configuration");
}

TEST (Program, ReloadsCertificateOnHangupSignal)
{
  Folder f;
  std::string cert = f.write ("cert", "");
  std::string key = f.write ("key", "");
  std::string first = f.write ("first", "");
  std::string second = f.write ("second", "");
  std::string tls = quoted (", 'tls': { 'certificate': '" + cert
                            + "', 'key': '" + key + "' } }");
  std::string text = settings.substr (0, settings.rfind ('}')) + tls;

  certificate::make_certificate (cert, key, 1);
  f.write ("first", f.read ("cert"));
  programs::Program router ({ programs::binary ("marjoramquay"), "--settings",
                              f.write ("settings", text) });
  EXPECT_EQ (fetch_tls (router.address (), first).status, 200);

  /* After an unreadable file the old certificate stays in use.  */
  f.write ("cert", "no certificate");
  router.kill (SIGHUP);
  EXPECT_EQ (fetch_tls (router.address (), first).status, 200);

  certificate::make_certificate (cert, key, 2);
  f.write ("second", f.read ("cert"));
  router.kill (SIGHUP);
  EXPECT_TRUE (programs::eventually (
      [&] { return fetch_tls (router.address (), second).status == 200; }));
  EXPECT_NE (fetch_tls (router.address (), first).status, 200);
}
