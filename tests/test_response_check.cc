/* The check whether a response is whole (mq/response_check.h), fed with
   responses as they are on the wire.  */

#include <mq/response_check.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";

/* Feeds TEXT, all that arrives before the connection is closed in order, the
   body in pieces of PIECE bytes.  Returns what is wrong with it.  */
mq_response_fault
judge (const std::string &text, const mq_response_rules &rules = {},
       size_t piece = 1, mq_response_framing *framing = nullptr)
{
  mq_response_check c;
  mq_response_fault fault;
  size_t at = 0;

  mq_response_check_init (&c, &rules);
  while (at < text.size () && !mq_response_check_has_head (&c))
    {
      size_t end = text.find ('\n', at);

      if (end == std::string::npos
          || !mq_response_check_line (&c, { text.data () + at, end + 1 - at }))
        break;
      at = end + 1;
    }
  if (mq_response_check_has_head (&c) && c.framing == MQ_RESPONSE_CHUNKED)
    for (; at < text.size (); at += piece)
      if (!mq_response_check_chunks (
              &c, { text.data () + at, std::min (piece, text.size () - at) }))
        break;
  if (mq_response_check_has_head (&c) && c.framing != MQ_RESPONSE_CHUNKED)
    mq_response_check_count_body (&c, text.size () - at);
  if (framing != nullptr)
    *framing = c.framing;
  fault = mq_response_check_end (&c, true);
  mq_response_check_finish (&c);
  return fault;
}

std::string
name (mq_response_fault fault)
{
  return mq_response_fault_name (fault);
}

struct Case
{
  const char *what;
  std::string text;
  mq_response_fault fault;
};

void
expect_all (const std::vector<Case> &cases,
            const mq_response_rules &rules = {})
{
  for (const Case &c : cases)
    EXPECT_EQ (name (judge (c.text, rules)), name (c.fault)) << c.what;
}

} // namespace

TEST (ResponseCheck, AcceptsWholeResponses)
{
  expect_all ({
      { "length", ok + "Content-Length: 2\r\n\r\nab", MQ_RESPONSE_SOUND },
      { "equal lengths",
        ok + "Content-Length: 2\r\ncontent-length: 2, 2\r\n\r\nab",
        MQ_RESPONSE_SOUND },
      { "line feeds", "HTTP/1.1 200 OK\nContent-Length: 2\n\nab",
        MQ_RESPONSE_SOUND },
      { "no reason", "HTTP/1.0 200\r\nContent-Length: 0\r\n\r\n",
        MQ_RESPONSE_SOUND },
      { "interim responses",
        "HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\n"
        "HTTP/1.1 103 Early Hints\r\n\r\n"
            + ok + "Content-Length: 1\r\n\r\na",
        MQ_RESPONSE_SOUND },
      { "to close", ok + "X-A: b\r\n\r\nabc", MQ_RESPONSE_SOUND },
      { "no content", "HTTP/1.1 204 No Content\r\n\r\n", MQ_RESPONSE_SOUND },
      { "not modified",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n",
        MQ_RESPONSE_SOUND },
      { "chunks",
        chunked + "3\r\nabc\r\n00a ; x=\"y\"\r\n0123456789\r\n0\r\n\r\n",
        MQ_RESPONSE_SOUND },
      { "trailer", chunked + "1\r\na\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n",
        MQ_RESPONSE_SOUND },
      { "a second response", chunked + "0\r\n\r\n" + ok, MQ_RESPONSE_SOUND },
  });
}

/* The exceptions are those at which nothing shows the cut: a body that ends
   with its connection.  */
TEST (ResponseCheck, FindsCutAtEachByte)
{
  const std::vector<std::string> all
      = { ok + "X-A: b\r\nContent-Length: 5\r\n\r\nhello",
          chunked + "5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nX-A: b\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" };

  for (const std::string &whole : all)
    {
      EXPECT_EQ (judge (whole), MQ_RESPONSE_SOUND) << whole;
      for (size_t n = 0; n < whole.size (); n++)
        EXPECT_NE (judge (whole.substr (0, n)), MQ_RESPONSE_SOUND)
            << whole.substr (0, n);
    }
  const std::string unframed = ok + "X-A: b\r\n\r\n";
  for (size_t n = 0; n < unframed.size (); n++)
    EXPECT_EQ (judge (unframed.substr (0, n)), MQ_RESPONSE_HEAD_CUT);
}

TEST (ResponseCheck, FindsMalformedHeads)
{
  expect_all ({
      { "four digits", "HTTP/1.1 2000 OK\r\n\r\n", MQ_RESPONSE_STATUS_LINE },
      { "two digits", "HTTP/1.1 20 OK\r\n\r\n", MQ_RESPONSE_STATUS_LINE },
      { "no space", "HTTP/1.1 200OK\r\n\r\n", MQ_RESPONSE_STATUS_LINE },
      { "unknown class", "HTTP/1.1 999 OK\r\n\r\n", MQ_RESPONSE_STATUS_LINE },
      { "version", "HTTP/2 200 OK\r\n\r\n", MQ_RESPONSE_STATUS_LINE },
      { "another protocol", "HTTP/1.1 101 Switching\r\n\r\n",
        MQ_RESPONSE_STATUS_LINE },
      { "no colon", ok + "Content-Length 2\r\n\r\nab", MQ_RESPONSE_HEADER },
      { "no name", ok + ": 2\r\n\r\nab", MQ_RESPONSE_HEADER },
      { "space before the colon", ok + "Content-Length : 2\r\n\r\nab",
        MQ_RESPONSE_HEADER },
      { "folded line", ok + "X-A: a\r\n b\r\n\r\n", MQ_RESPONSE_HEADER },
      { "CR in a value", ok + "X-A: a\rb\r\n\r\n", MQ_RESPONSE_HEADER },
      { "NUL in a value", ok + std::string ("X-A: a\0b\r\n\r\n", 11),
        MQ_RESPONSE_HEADER },
      { "a second status line", ok + ok + "\r\n", MQ_RESPONSE_HEADER },
      { "endless", ok + "X-A: " + std::string (70000, 'a') + "\r\n\r\n",
        MQ_RESPONSE_HEADER },
  });
}

/* A second response to an earlier request that breaks off inside a line came
   just before the response: its status counted, with the other's id.  */
TEST (ResponseCheck, FindsHeadThatBeginsWithinAnother)
{
  const std::string next = ok + "Id: a1\r\nContent-Length: 0\r\n\r\n";
  const std::string late
      = "HTTP/1.1 503 Failed\r\nContent-Type: text/plain\r\n";
  mq_response_rules rules = {};

  rules.echo_name = { "Id", 2 };
  rules.echo_value = { "a1", 2 };
  for (size_t n = 1; n <= late.size (); n++)
    EXPECT_NE (name (judge (late.substr (0, n) + next, rules)),
               name (MQ_RESPONSE_SOUND))
        << n;
  EXPECT_EQ (
      name (judge (ok + "Via: HTTP/1.1 proxy\r\n" + next.substr (ok.size ()))),
      name (MQ_RESPONSE_SOUND));
}

TEST (ResponseCheck, FindsContradictoryFraming)
{
  const std::string length = "Content-Length: ";

  expect_all ({
      { "shorter second length",
        ok + length + "5\r\n" + length + "2\r\n\r\nhello",
        MQ_RESPONSE_BAD_LENGTH },
      { "list that differs", ok + length + "5, 2\r\n\r\nhello",
        MQ_RESPONSE_BAD_LENGTH },
      { "digits and others", ok + length + "2x\r\n\r\nab",
        MQ_RESPONSE_BAD_LENGTH },
      { "sign", ok + length + "+2\r\n\r\nab", MQ_RESPONSE_BAD_LENGTH },
      { "negative", ok + length + "-1\r\n\r\nab", MQ_RESPONSE_BAD_LENGTH },
      { "empty", ok + length + "\r\n\r\n", MQ_RESPONSE_BAD_LENGTH },
      { "too large", ok + length + "9223372036854775808\r\n\r\nab",
        MQ_RESPONSE_BAD_LENGTH },
      { "of no content", "HTTP/1.1 204 No\r\n" + length + "2\r\n\r\nab",
        MQ_RESPONSE_BAD_LENGTH },
      { "beside chunks",
        ok + length
            + "1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1\r\na\r\n0\r\n\r\n",
        MQ_RESPONSE_BAD_CODING },
      { "unknown coding", ok + "Transfer-Encoding: identity\r\n\r\nab",
        MQ_RESPONSE_BAD_CODING },
      { "chunked twice",
        ok
            + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"
              "\r\n0\r\n\r\n",
        MQ_RESPONSE_BAD_CODING },
      { "chunks of HTTP/1.0",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        MQ_RESPONSE_BAD_CODING },
  });
}

TEST (ResponseCheck, FindsMalformedChunks)
{
  const std::string endless = "1;" + std::string (70000, 'a');

  for (const char *body :
       { "3x\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n",
         "3\r\nabc\r\n0x5\r\n\r\n", "3\r\nabc\r\n\r\n", "3\nabc\n0\n\n",
         "3\r\nabc\r\r\n0\r\n\r\n", "2\r\nabc\r\n0\r\n\r\n",
         "4\r\nabc\r\n0\r\n\r\n", " 3\r\nabc\r\n0\r\n\r\n",
         "fffffffffffffffff\r\nabc", "0\r\n\r\r\n", endless.c_str () })
    for (size_t piece : { (size_t)1, (size_t)64 })
      EXPECT_EQ (judge (chunked + body, {}, piece), MQ_RESPONSE_BAD_CHUNK)
          << body;
}

TEST (ResponseCheck, FindsForeignAndAmbiguousResponses)
{
  static const char *const single[] = { "X-Signature", nullptr };
  mq_response_rules rules = {};
  std::string many;

  for (int i = 0; i < 2000; i++)
    many += "X-Signature: a\r\n";
  rules.echo_name = MQ_SPAN ("X-Id");
  rules.echo_value = MQ_SPAN ("7");
  rules.single = single;
  expect_all (
      {
          { "own", ok + "x-id: 7\r\nContent-Length: 0\r\n\r\n",
            MQ_RESPONSE_SOUND },
          { "none", ok + "Content-Length: 0\r\n\r\n", MQ_RESPONSE_FOREIGN },
          { "other", ok + "X-Id: 8\r\nContent-Length: 0\r\n\r\n",
            MQ_RESPONSE_FOREIGN },
          { "both", ok + "X-Id: 7\r\nX-Id: 8\r\nContent-Length: 0\r\n\r\n",
            MQ_RESPONSE_AMBIGUOUS },
          { "signed twice, equally",
            ok
                + "X-Id: 7\r\nX-Signature: a\r\nX-Signature: a\r\n"
                  "Content-Length: 0\r\n\r\n",
            MQ_RESPONSE_SOUND },
          { "signed many times",
            ok + "X-Id: 7\r\n" + many + "Content-Length: 0\r\n\r\n",
            MQ_RESPONSE_AMBIGUOUS },
          { "signed twice",
            ok
                + "X-Id: 7\r\nX-Signature: a\r\nX-Signature: b\r\n"
                  "Content-Length: 0\r\n\r\n",
            MQ_RESPONSE_AMBIGUOUS },
      },
      rules);
}

TEST (ResponseCheck, FindsDenialsOfRunWithOtherStatus)
{
  mq_response_rules rules = {};

  rules.not_run = "X-Not-Run";
  for (int status : { 200, 204, 302, 400, 421, 429, 500, 502, 503, 504 })
    {
      bool rejects = (status >= 400 && status < 500) || status == 503;

      EXPECT_EQ (judge ("HTTP/1.1 " + std::to_string (status)
                            + " X\r\nX-Not-Run: 1\r\n"
                              "Content-Length: 0\r\n\r\n",
                        rules),
                 rejects ? MQ_RESPONSE_SOUND : MQ_RESPONSE_DENIES_RUN)
          << status;
    }
}

TEST (ResponseCheck, ConnectionThatFailsCutsBodyWithoutLength)
{
  const std::string head = ok + "\r\n";
  mq_response_rules rules = {};
  mq_response_check c;

  mq_response_check_init (&c, &rules);
  EXPECT_TRUE (mq_response_check_line (&c, { head.data (), ok.size () }));
  EXPECT_TRUE (mq_response_check_line (&c, { head.data () + ok.size (), 2 }));
  EXPECT_EQ (c.framing, MQ_RESPONSE_TO_CLOSE);
  EXPECT_EQ (mq_response_check_end (&c, false), MQ_RESPONSE_BODY_CUT);
  mq_response_check_finish (&c);
}

/* A trailer comes after the head has been judged: what it states is not part
   of that.  */
TEST (ResponseCheck, TrailerAddsNothingToHead)
{
  mq_response_rules rules = {};
  mq_response_check c;

  mq_response_check_init (&c, &rules);
  for (const char *line :
       { "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n", "\r\n",
         "X-A: b\r\n" })
    EXPECT_TRUE (mq_response_check_line (&c, mq_span_from (line)));
  EXPECT_EQ (mq_response_head_find ({ c.head->str, c.head->len }, "X-A").data,
             nullptr);
  EXPECT_FALSE (mq_response_check_line (&c, MQ_SPAN ("no colon\r\n")));
  EXPECT_EQ (mq_response_check_end (&c, true), MQ_RESPONSE_HEADER);
  mq_response_check_finish (&c);
}
