/* The log on standard output is bounded and never blocks on its reader.  */

#include <mq/log.h>

#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace
{

/* Replaces standard output by a pipe that is not read until read_all.  */
class Pipe
{
public:
  Pipe ()
  {
    EXPECT_EQ (pipe (ends_), 0);
    saved_ = dup (STDOUT_FILENO);
    dup2 (ends_[1], STDOUT_FILENO);
  }

  ~Pipe ()
  {
    dup2 (saved_, STDOUT_FILENO);
    close (saved_);
    close (ends_[0]);
    close (ends_[1]);
  }

  std::string
  read_all ()
  {
    std::string s (1 << 20, '\0');
    fcntl (ends_[0], F_SETFL, O_NONBLOCK);
    ssize_t n = ::read (ends_[0], s.data (), s.size ());

    s.resize (n > 0 ? (size_t)n : 0);
    return s;
  }

private:
  int ends_[2];
  int saved_;
};

} // namespace

TEST (Log, SlowReaderDoesNotBlockAndDroppedLinesAreCounted)
{
  Pipe p;

  ASSERT_EQ (mq_log_init ("info"), 0);
  mq_log_use_stdout ();
  gint64 before = g_get_monotonic_time ();
  for (int i = 0; i < 20000; i++)
    mq_log (G_LOG_LEVEL_INFO, "test.line", "i=%d", i);
  EXPECT_LT (g_get_monotonic_time () - before, 5 * G_USEC_PER_SEC);
  const mq_log_counters *c = mq_log_get_counters ();
  EXPECT_GT (c->lines_dropped, 0u);
  EXPECT_GT (c->lines, 100u);
  std::string s = p.read_all ();
  EXPECT_NE (s.find ("event=test.line i=0\n"), std::string::npos);

  /* The budget is low now, so a buffer that is not needed and whose hash is
     not sampled is dropped.  */
  uint64_t dropped_before = c->lines_dropped;
  mq_log_buffer buffer;
  mq_log_buffer_init (&buffer);
  mq_log_buffer_append (&buffer, G_LOG_LEVEL_INFO, "test.good", "a=1");
  mq_log_buffer_append (&buffer, G_LOG_LEVEL_INFO, "test.good", "a=2");
  mq_log_buffer_flush (&buffer, FALSE, 1);
  EXPECT_EQ (c->lines_dropped, dropped_before + 2);
  EXPECT_EQ (buffer.n, 0u);
  mq_log_buffer_finish (&buffer);
}
