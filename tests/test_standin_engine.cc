/* The engine stand-in in a pipeline of three processes, each with a third of
   the model's layers.  The tests of the router rely on this behaviour.  */

#include "standin_process.hh"

#include <standin/reference.h>

#include <memory>

namespace
{

const std::string prompt = "write a fault summary";
constexpr uint32_t tokens = 12;

/* Return the tokens of the reference answer at positions [FIRST, END).  */
std::string
reference_tokens (uint32_t first, uint32_t end)
{
  GString *out = g_string_new (nullptr);

  mq_reference_answer (out, { prompt.data (), prompt.size () }, MQ_SPAN ("m"),
                       MQ_SPAN ("v1"), 12, end);
  std::string text (out->str + first * 5, out->len - first * 5);
  g_string_free (out, TRUE);
  return text;
}

/* Return the concatenated texts of the token lines in BODY.  */
std::string
answer_text (const std::string &body)
{
  const std::string key = "\"t\":\"";
  std::string text;

  for (size_t at = body.find (key); at != std::string::npos;
       at = body.find (key, at))
    {
      at += key.size ();
      text += body.substr (at, body.find ('"', at) - at);
    }
  return text;
}

size_t
count (const std::string &body, const std::string &part)
{
  size_t n = 0;

  for (size_t at = body.find (part); at != std::string::npos;
       at = body.find (part, at + 1))
    n++;
  return n;
}

class Engines : public ::testing::Test
{
protected:
  Engines () : loop (ev_loop_new (0))
  {
    client = mq_http_client_new (loop, { nullptr, 0 });
    for (int k = 0; k < 3; k++)
      engines.push_back (std::make_unique<StandinProcess> (
          std::vector<std::string>{ "engine", "--name=e" + std::to_string (k),
                                    "--model=m", "--version=v1",
                                    "--layers=" + std::to_string (4 * k) + "-"
                                        + std::to_string (4 * k + 4),
                                    "--step-us=2000", "--slots=4",
                                    "--layer-load-ms=1", "--fencing" }));
  }

  ~Engines () override
  {
    mq_http_client_free (client);
    ev_loop_destroy (loop);
  }

  HttpCall
  post (int engine, const std::string &path, const std::string &body)
  {
    HttpCall t (client, loop, "POST", engines[engine]->url (path), body);

    t.wait ();
    return t;
  }

  std::string
  get (int engine, const std::string &path)
  {
    HttpCall t (client, loop, "GET", engines[engine]->url (path), "");

    return t.wait ().body;
  }

  /* Return the body that opens stream REQUEST and resumes it after the tokens
     SENT, a list of JSON strings.  */
  std::string
  stream (const std::string &request, const std::string &sent = "",
          uint32_t max_tokens = tokens, int attempt = 1)
  {
    std::string body = "{\"request\":\"" + request
                       + "\",\"attempt\":" + std::to_string (attempt)
                       + ",\"router\":\"1\",\"model\":\"m\",\"version\":\"v1\""
                         ",\"prompt\":\""
                       + prompt + "\",\"sent\":[" + sent
                       + "],\"max_tokens\":" + std::to_string (max_tokens)
                       + ",\"priority\":5,\"deadline_ms\":20000,\"plan\":[";

    for (int k = 0; k < 3; k++)
      body += std::string (k == 0 ? "" : ",") + "{\"engine\":\"e"
              + std::to_string (k) + "\",\"url\":\"" + engines[k]->url ()
              + "\",\"first\":" + std::to_string (4 * k)
              + ",\"end\":" + std::to_string (4 * k + 4) + "}";
    return body + "]}";
  }

  /* Wait until engine K has no stream.  */
  void
  wait_idle (int k)
  {
    while (get (k, "/stats").find ("\"streams\":0,") == std::string::npos)
      g_usleep (2000);
  }

  struct ev_loop *loop;
  mq_http_client *client;
  std::vector<std::unique_ptr<StandinProcess> > engines;
};

} // namespace

TEST_F (Engines, AnswerMatchesReferenceAndReceiptsNameAllLayers)
{
  HttpCall t = post (0, "/v1/streams", stream ("r1"));

  EXPECT_EQ (t.status, 200u);
  EXPECT_EQ (answer_text (t.body), reference_tokens (0, tokens));
  EXPECT_EQ (count (t.body, "\"s\":[[0,4,\"v1\"],[4,8,\"v1\"],[8,12,\"v1\"]]"),
             tokens);
  EXPECT_EQ (count (t.body, "\"end\":\"done\""), 1u);
  for (int k = 0; k < 3; k++)
    wait_idle (k);
}

TEST_F (Engines, ResumesAfterSentTokens)
{
  std::string first = reference_tokens (0, 2);
  std::string sent
      = "\"" + first.substr (0, 5) + "\",\"" + first.substr (5) + "\"";
  HttpCall t = post (0, "/v1/streams", stream ("r1", sent, tokens, 2));

  EXPECT_EQ (answer_text (t.body), reference_tokens (2, tokens));
  EXPECT_NE (t.body.find ("\"attempt\":2,\"p\":2,"), std::string::npos);
}

TEST_F (Engines, ReportsWhichStageIsLost)
{
  engines[2]->kill_process ();
  HttpCall t = post (0, "/v1/streams", stream ("r1"));

  EXPECT_NE (t.body.find ("\"end\":\"stage-lost\",\"stage\":2"),
             std::string::npos);
  wait_idle (1);
}

TEST_F (Engines, RouterDisconnectDropsStreamAtAllStages)
{
  HttpCall t (client, loop, "POST", engines[0]->url ("/v1/streams"),
              stream ("r1", "", 100000));

  t.wait_body (200);
  EXPECT_NE (get (2, "/stats").find ("\"streams\":1,"), std::string::npos);
  t.cancel ();
  for (int k = 0; k < 3; k++)
    wait_idle (k);
}

TEST_F (Engines, RefusesStreamForLayersNotLoaded)
{
  HttpCall t = post (1, "/v1/streams", stream ("r1"));

  EXPECT_EQ (t.status, 409u);
  EXPECT_NE (t.body.find ("\"ran\":false"), std::string::npos);
  EXPECT_NE (get (1, "/stats").find ("\"opened\":0"), std::string::npos);
}

TEST_F (Engines, WrongLayersFaultChangesReceiptAndAnswer)
{
  post (1, "/fault", "{\"wrong_layers\":1}");
  HttpCall t = post (0, "/v1/streams", stream ("r1"));

  EXPECT_EQ (count (t.body, "[4,7,\"v1\"]"), 1u);
  EXPECT_NE (answer_text (t.body), reference_tokens (0, tokens));
}

TEST_F (Engines, DoubledFaultWritesTokensTwice)
{
  post (0, "/fault", "{\"doubled\":2}");
  HttpCall t = post (0, "/v1/streams", stream ("r1"));

  EXPECT_EQ (count (t.body, "\"p\":0,"), 2u);
  EXPECT_EQ (count (t.body, "\"p\":1,"), 2u);
  EXPECT_EQ (count (t.body, "\"p\":2,"), 1u);
}

TEST_F (Engines, OrderLoadsWeightsAndOldFencingTokenIsRefused)
{
  const std::string want
      = "\"want\":{\"model\":\"m\",\"version\":\"v2\",\"first\":0,\"end\":4}}";

  EXPECT_EQ (
      post (0, "/v1/orders", "{\"order\":\"a\",\"fencing\":7," + want).status,
      202u);
  while (get (0, "/v1/holds").find ("\"version\":\"v2\"") == std::string::npos)
    g_usleep (2000);
  HttpCall t
      = post (0, "/v1/orders", "{\"order\":\"b\",\"fencing\":6," + want);
  EXPECT_EQ (t.status, 409u);
  EXPECT_NE (t.body.find ("\"fencing\":7"), std::string::npos);
  EXPECT_EQ (post (0, "/v1/streams", stream ("r1")).status, 409u);
}

TEST_F (Engines, RefusesKvImportForOtherWeights)
{
  HttpCall t = post (0, "/v1/kv/import",
                     "{\"request\":\"r1\",\"attempt\":1,\"kv\":"
                     "\"0123456789abcdef:0000000000000000\",\"positions\":0}");

  EXPECT_EQ (t.status, 409u);
}

TEST_F (Engines, StreamContinuesFromImportedKv)
{
  HttpCall open (client, loop, "POST", engines[0]->url ("/v1/streams"),
                 stream ("r1", "", 100000));
  open.wait_body (600);
  std::string kv
      = post (0, "/v1/kv/export", "{\"request\":\"r1\",\"attempt\":1}").body;
  open.cancel ();
  size_t at = kv.find ("\"kv\":\"") + 6;
  std::string positions = kv.substr (kv.rfind (':') + 1);

  positions.pop_back ();
  ASSERT_GT (std::stoul (positions), 1u);
  /* Import the cache of the running stream r1 under the name of a new one.  */
  HttpCall t = post (0, "/v1/kv/import",
                     "{\"request\":\"r2\",\"attempt\":1,\"kv\":\""
                         + kv.substr (at, 33) + "\",\"positions\":0}");
  EXPECT_EQ (t.status, 204u);
  t = post (0, "/v1/streams", stream ("r2"));
  uint32_t n = (uint32_t)std::stoul (positions);
  EXPECT_EQ (answer_text (t.body), reference_tokens (n, n + tokens));
}
