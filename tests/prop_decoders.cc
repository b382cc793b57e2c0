/* Decoders of external input are given mutated text.  They must reject it or
   decode it correctly, and never crash.  "make check-sanitize" runs the same
   tests under the sanitizers.  */

#include <gtest/gtest.h>
#include <mq/engine_line.h>
#include <mq/settings.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace
{

/* TEXT with double quotes in place of single ones.  */
std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

/* Generates TEXT with some bytes changed, inserted, removed or truncated.  */
rc::Gen<std::string>
mutated (const std::string &text)
{
  return rc::gen::exec ([text] {
    std::string t = text;
    int times = *rc::gen::inRange (0, 6);

    for (int i = 0; i < times; i++)
      {
        size_t at = (size_t)*rc::gen::inRange<int> (0, (int)t.size () + 1);
        char byte = *rc::gen::oneOf (
            rc::gen::arbitrary<char> (),
            rc::gen::element ('"', '\\', '{', '}', '[', ']', ',', ':', '0',
                              '9', '-', '.', 'e', 'n', 't', '/', '*', '\0'));

        switch (*rc::gen::inRange (0, 4))
          {
          case 0:
            if (at < t.size ())
              t[at] = byte;
            break;
          case 1:
            t.insert (at, 1, byte);
            break;
          case 2:
            if (at < t.size ())
              t.erase (at, 1);
            break;
          case 3:
            if (*rc::gen::inRange (0, 8) == 0)
              t.resize (at);
            break;
          }
      }
    return t;
  });
}

struct Token
{
  std::string request;
  uint32_t attempt;
  uint32_t position;
  std::string text;
  uint32_t stages;
};

std::string
line_of (const Token &t)
{
  std::string s;

  for (uint32_t i = 0; i < t.stages; i++)
    s += (i ? "," : "") + std::string ("[") + std::to_string (i * 4) + ","
         + std::to_string (i * 4 + 4) + ",'v1']";
  return quoted ("{'request':'" + t.request
                 + "','attempt':" + std::to_string (t.attempt)
                 + ",'p':" + std::to_string (t.position) + ",'t':'" + t.text
                 + "','s':[" + s + "]}");
}

const std::string settings_text
    = quoted ("{ // A comment.\n"
              " 'name': 'vm1', 'region': 'r', 'failure_domain': 'd',\n"
              " 'callers': { 'address': '127.0.0.1', 'port': 80 },\n"
              " 'peers': { 'address': '127.0.0.1', 'port': 81 },\n"
              " 'platform': { 'url': 'http://127.0.0.1:9' },\n"
              " 'limits': { 'body_bytes': 4096, 'idle_s': 5 },\n"
              " 'log': { 'level': 'info' } }\n");

} // namespace

RC_GTEST_PROP (Decoders, EngineLineSaysWhatWasWritten, ())
{
  Token t;
  mq_engine_line_reader *reader = mq_engine_line_reader_new ();
  mq_engine_line line;

  t.request = *rc::gen::nonEmpty (
      rc::gen::container<std::string> (rc::gen::inRange<char> ('a', 'z')));
  t.attempt = *rc::gen::arbitrary<uint32_t> ();
  t.position = *rc::gen::arbitrary<uint32_t> ();
  t.text
      = *rc::gen::container<std::string> (rc::gen::inRange<char> ('A', 'Z'));
  t.stages = (uint32_t)*rc::gen::inRange (0, MQ_PLAN_MAX_STAGES + 1);
  std::string text = line_of (t);
  RC_ASSERT (
      mq_engine_line_read (reader, { text.data (), text.size () }, &line)
      == 0);
  RC_ASSERT (line.kind == MQ_ENGINE_LINE_TOKEN);
  RC_ASSERT (std::string (line.request.data, line.request.size) == t.request);
  RC_ASSERT (line.attempt == t.attempt);
  RC_ASSERT (line.position == t.position);
  RC_ASSERT (std::string (line.text.data, line.text.size) == t.text);
  RC_ASSERT (line.n_receipts == t.stages);
  mq_engine_line_reader_free (reader);
}

RC_GTEST_PROP (Decoders, EngineLineOutlivesGarbage, ())
{
  const Token good = { "r-1", 2, 7, "word ", 3 };
  mq_engine_line_reader *reader = mq_engine_line_reader_new ();
  mq_engine_line line;

  for (int i = 0; i < 20; i++)
    {
      std::string text = *mutated (line_of (good));

      if (mq_engine_line_read (reader, { text.data (), text.size () }, &line)
              == 0
          && line.kind == MQ_ENGINE_LINE_TOKEN)
        RC_ASSERT (line.n_receipts <= (size_t)MQ_PLAN_MAX_STAGES);
    }
  std::string text = line_of (good);
  RC_ASSERT (
      mq_engine_line_read (reader, { text.data (), text.size () }, &line)
      == 0);
  RC_ASSERT (line.position == 7u);
  mq_engine_line_reader_free (reader);
}

RC_GTEST_PROP (Decoders, SettingsAreRightOrRefusedWithAReason, ())
{
  std::string text = *mutated (settings_text);
  mq_settings s;
  GError *error = nullptr;

  if (mq_settings_parse (&s, MQ_SPAN ("vm.json"),
                         { text.data (), text.size () }, nullptr, &error)
      == 0)
    {
      RC_ASSERT (error == nullptr);
      RC_ASSERT (s.name != nullptr && s.name->size > 0);
      RC_ASSERT (g_hostname_is_ip_address (mq_str_cstr (s.callers.address)));
      RC_ASSERT (s.body_bytes >= 1024u);
      mq_settings_finish (&s);
      return;
    }
  RC_ASSERT (error != nullptr && error->message[0] != '\0');
  g_error_free (error);
}
