/* A small deployment on loopback of real processes: the stand-in platform,
   model engines that each hold a range of layers, a plain service, and routers
   in native mode.  `mqctl apply' puts its configuration of two files in force.
 */

#ifndef MQ_TESTS_DEPLOYMENT_H
#define MQ_TESTS_DEPLOYMENT_H

#include <standin/reference.h>
#include "programs.h"

#include <sodium.h>

namespace deployment
{

using programs::Program;

constexpr unsigned layers = 12;
constexpr unsigned stages = 3;
constexpr char token[] = "yard-token";

/* Returns TEXT with its single quotes replaced by double quotes.  */
inline std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

inline std::string
digest (const std::string &text)
{
  unsigned char hash[crypto_hash_sha256_BYTES];
  char hex[2 * sizeof hash + 1];

  crypto_hash_sha256 (hash, (const unsigned char *)text.data (), text.size ());
  return sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
}

/* Returns the text that a model with all its layers gives for PROMPT.  */
inline std::string
reference (const std::string &prompt, unsigned tokens)
{
  GString *answer = g_string_new (nullptr);

  mq_reference_answer (answer, { prompt.data (), prompt.size () },
                       MQ_SPAN ("m"), MQ_SPAN ("v1"), layers, tokens);
  std::string text = answer->str;
  g_string_free (answer, TRUE);
  return text;
}

struct Options
{
  unsigned copies = 1; /* Engines that hold each range of layers.  */
  unsigned step_us = 1000;
  unsigned work_us = 0; /* Time of a call to the plain service.  */
  unsigned routers = 1;
  std::string settings; /* Further members of the routers' settings.  */
  std::string ca;       /* Path of the certificate with which these have the
                           routers serve; empty: without TLS.  */
  std::string policy = "{}";
  std::string organisation; /* Further members of the organisation.  */
  unsigned deadline_ms = 60000;
  std::string plain;        /* URL of a plain service that replaces the
                               stand-in.  */
  std::string whole_engine; /* URL of an engine with all layers that replaces
                               the stand-ins.  */
  std::vector<std::string> other_engines; /* URLs of more engines with all
                                             layers beside it.  */
};

/* A router's response to a completion request.  */
struct Answer
{
  std::string text;  /* The tokens, concatenated.  */
  std::string error; /* The error event, empty for none.  */
  bool done = false; /* [DONE] was the last event.  */
  unsigned tokens = 0;
};

/* Parse the complete events of a stream that may not have ended.  */
inline Answer
read_events_so_far (const std::string &body)
{
  Answer a;
  size_t at = 0;
  size_t end;

  while ((end = body.find ("\n\n", at)) != std::string::npos)
    {
      std::string event = body.substr (at, end - at);

      at = end + 2;
      EXPECT_EQ (event.compare (0, 6, "data: "), 0) << event;
      event.erase (0, 6);
      a.done = event == "[DONE]";
      if (a.done)
        continue;
      if (!programs::json_text (event, "error").empty ())
        {
          a.error = event;
          continue;
        }
      std::string choice
          = programs::json_text (event, "choices"); /* "[ {...} ]"  */
      std::string text = programs::json_text (
          choice.substr (1, choice.size () - 2), "text");
      a.tokens += !text.empty ();
      a.text += text;
    }
  return a;
}

/* Parse the events of a stream that has ended.  */
inline Answer
read_events (const std::string &body)
{
  EXPECT_TRUE (body.size () >= 2
               && body.compare (body.size () - 2, 2, "\n\n") == 0)
      << "the stream ends within an event";
  return read_events_so_far (body);
}

class Deployment
{
public:
  explicit Deployment (const Options &options = Options ())
      : options_ (options)
  {
    platform_ = start ({ "mqstand", "platform", "--listen", "127.0.0.1:0" });
    plain_ = start ({ "mqstand", "plain", "--listen", "127.0.0.1:0",
                      "--work-us", std::to_string (options.work_us) });
    for (unsigned copy = 0;
         copy < options.copies && options.whole_engine.empty (); copy++)
      for (unsigned stage = 0; stage < stages; stage++)
        start_engine (stage);
    files_.write ("10-yard.json", yard_file ());
    files_.write ("20-engines.json", engines_file ());
    for (unsigned i = 0; i < options.routers; i++)
      start_router ();
    apply ();
    for (auto &r : routers_)
      ready_ = ready_ && wait_ready (*r);
  }

  /* Returns true if all routers received a configuration in time.  */
  bool
  ready () const
  {
    return ready_;
  }

  Program &
  router (size_t i = 0)
  {
    return *routers_.at (i);
  }

  /* Returns engine number COPY of those that hold STAGE.  */
  Program &
  engine (unsigned stage, unsigned copy = 0)
  {
    return *engines_.at (copy * stages + stage);
  }

  Program &
  platform ()
  {
    return *platform_;
  }

  Program &
  plain ()
  {
    return *plain_;
  }

  /* Start one more router.  Returns true once it has a configuration.  */
  bool
  add_router ()
  {
    start_router ();
    return wait_ready (*routers_.back ());
  }

  programs::Request
  completion (const std::string &prompt, unsigned tokens, bool stream,
              size_t router = 0)
  {
    programs::Request r;

    r.method = "POST";
    r.url = router_url (this->router (router)) + "/v1/completions";
    r.ca = options_.ca;
    r.headers = { std::string ("Authorization: Bearer ") + token,
                  "Content-Type: application/json" };
    r.body = quoted ("{'model':'reports','prompt':'" + prompt
                     + "','max_tokens':" + std::to_string (tokens)
                     + ",'stream':" + (stream ? "true" : "false") + "}");
    return r;
  }

  programs::Request
  booking (const std::string &method, const std::string &path,
           const std::string &body = "", size_t router = 0)
  {
    programs::Request r;

    r.method = method;
    r.url = router_url (this->router (router)) + "/v1/services/booking" + path;
    r.ca = options_.ca;
    r.headers = { std::string ("Authorization: Bearer ") + token };
    r.body = body;
    return r;
  }

private:
  std::string
  router_url (Program &router) const
  {
    return (options_.ca.empty () ? "http://" : "https://") + router.address ();
  }

  static std::unique_ptr<Program>
  start (std::vector<std::string> arguments)
  {
    arguments[0] = programs::binary (arguments[0]);
    return std::unique_ptr<Program> (new Program (arguments));
  }

  void
  start_engine (unsigned stage)
  {
    unsigned width = layers / stages;
    std::string range = std::to_string (stage * width) + "-"
                        + std::to_string ((stage + 1) * width);

    engines_.push_back (
        start ({ "mqstand", "engine", "--listen", "127.0.0.1:0", "--name",
                 "e" + std::to_string (engines_.size ()), "--model", "m",
                 "--version", "v1", "--layers", range, "--slots", "32",
                 "--step-us", std::to_string (options_.step_us) }));
  }

  void
  start_router ()
  {
    std::string name = "vm" + std::to_string (routers_.size ());
    std::string path = files_.write (
        name + ".settings",
        quoted ("{ 'name': '" + name + "', 'region': 'bc-interior',"
                + " 'failure_domain': 'kamloops-yard',"
                + " 'callers': { 'address': '127.0.0.1', 'port': 0 },"
                + " 'platform': { 'url': '" + platform_->url () + "' },"
                + " 'log': { 'level': 'warning' }" + options_.settings
                + " }"));

    routers_.push_back (start ({ "marjoramquay", "--settings", path }));
  }

  std::string
  yard_file ()
  {
    return quoted (
        "{ // The yard's organisations and services.\n"
        "  'organisations': { 'yard': { 'token_sha256': '"
        + digest (token) + "'" + options_.organisation
        + " } },\n"
          "  'models': { 'm': { 'version': 'v1', 'layers': "
        + std::to_string (layers)
        + " } },\n"
          "  'failure_domains': { 'kamloops-yard': { 'region':"
          " 'bc-interior' } },\n"
          "  'policy': "
        + options_.policy
        + ",\n"
          "  'services': {\n"
          "    'reports': { 'kind': 'model', 'model': 'm',"
          " 'max_tokens': 100000, 'deadline_ms': "
        + std::to_string (options_.deadline_ms)
        + " },\n"
          "    'booking': { 'kind': 'plain', 'deadline_ms': 30000,\n"
          "      'instances': [ { 'url': '"
        + (options_.plain.empty () ? plain_->url () : options_.plain)
        + "', 'failure_domain': 'kamloops-yard' } ],\n"
          "      'repeatable': [ { 'method': 'GET', 'path_prefix': '/' } ]"
          " } } }\n");
  }

  std::string
  engine_entry (const std::string &name, const std::string &url,
                unsigned first, unsigned end) const
  {
    return "\n  '" + name + "': { 'url': '" + url
           + "', 'model': 'm', 'version': 'v1', 'first': "
           + std::to_string (first) + ", 'end': " + std::to_string (end)
           + ", 'accelerator': 'fast', 'slots': 32, 'step_us': "
           + std::to_string (options_.step_us)
           + ", 'failure_domain': 'kamloops-yard' }";
  }

  std::string
  engines_file ()
  {
    unsigned width = layers / stages;
    std::string text = "{ 'engines': {";

    if (!options_.whole_engine.empty ())
      text += engine_entry ("whole", options_.whole_engine, 0, layers);
    for (size_t i = 0; i < options_.other_engines.size (); i++)
      text += ","
              + engine_entry ("other" + std::to_string (i),
                              options_.other_engines[i], 0, layers);
    for (size_t i = 0; i < engines_.size (); i++)
      {
        unsigned stage = (unsigned)(i % stages);

        text += (i ? "," : "")
                + engine_entry ("e" + std::to_string (i), engines_[i]->url (),
                                stage * width, (stage + 1) * width);
      }
    return quoted (text + " } }\n");
  }

  void
  apply ()
  {
    std::string output;

    EXPECT_EQ (programs::run ({ programs::binary ("mqctl"), "--platform",
                                platform_->url (), "apply", files_.path () },
                              &output),
               0)
        << output;
  }

  bool
  wait_ready (Program &router) const
  {
    programs::Request r;

    r.url = router_url (router) + "/readyz";
    r.ca = options_.ca;
    return programs::eventually (
        [&] { return programs::fetch (r).status == 200; });
  }

  Options options_;
  programs::Folder files_;
  std::unique_ptr<Program> platform_;
  std::unique_ptr<Program> plain_;
  std::vector<std::unique_ptr<Program> > engines_;
  std::vector<std::unique_ptr<Program> > routers_;
  bool ready_ = true;
};

} // namespace deployment

#endif
