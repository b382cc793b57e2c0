/* Tests of the ports that tests take: CI failed on 2 December 2026 when a
   connection of another test had been given one of them.  */

#include "support/port_block.h"

#include <gtest/gtest.h>

namespace
{

TEST (PortBlock, LiesBelowThePortsThatTheKernelDraws)
{
  ports::Block b;

  EXPECT_LT (b.base () + ports::Block::count - 1, ports::drawn_first ());
}

TEST (PortBlock, PassesOverAPortThatIsTaken)
{
  unsigned base;
  int taken;

  {
    ports::Block first;

    base = first.base ();
  }
  taken = ports::bind_port (base + 3);
  ASSERT_GE (taken, 0);
  ports::Block second;
  EXPECT_TRUE (second.base () > base + 3
               || second.base () + ports::Block::count <= base + 3);
  close (taken);
}

TEST (PortBlock, IsNotGivenTwiceWhileItLives)
{
  ports::Block a, b;

  EXPECT_GE (b.base (), a.base () + ports::Block::count);
}

TEST (PortBlock, LeavesItsPortsFreeToBind)
{
  ports::Block b;

  for (unsigned i = 0; i < ports::Block::count; i++)
    {
      int fd = ports::bind_port (b.base () + i);

      EXPECT_GE (fd, 0) << b.base () + i;
      close (fd);
    }
}

} // namespace
