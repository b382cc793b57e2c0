/* What a process holds for its clients: sums, the order of evictions, and what
   is kept free for others.  */

#include <mq/resource_account.h>

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace
{

constexpr size_t kib = 1024;
constexpr uint64_t second = 1000000;

/* A holder that remembers whether it was evicted.  */
struct Holder
{
  mq_resource_holder holder = {};
  bool evicted = false;

  Holder (size_t fixed, unsigned files, const void *group)
  {
    holder.fixed = fixed;
    holder.files = files;
    holder.group = group;
    holder.evict = [] (mq_resource_holder *h) {
      static_cast<Holder *> (h->context)->evicted = true;
    };
    holder.context = this;
  }
};

class ResourceAccount : public testing::Test
{
protected:
  void
  start (size_t memory, unsigned files = 0)
  {
    mq_resource_account_init (&account, memory, files);
  }

  Holder &
  enter (uint64_t now_us = 0, size_t fixed = kib, const void *group = nullptr)
  {
    holders.emplace_back (fixed, 1, group);
    mq_resource_holder_enter (&holders.back ().holder, &account, now_us);
    return holders.back ();
  }

  /* Enter a holder in STATE since NOW_US that takes BYTES.  */
  Holder &
  enter_as (mq_resource_state state, size_t bytes, uint64_t now_us)
  {
    Holder &h = enter (now_us);

    mq_resource_holder_set_state (&h.holder, state, now_us);
    mq_resource_holder_set (&h.holder, bytes);
    return h;
  }

  mq_resource_account account;
  std::deque<Holder> holders;
};

TEST_F (ResourceAccount, EvictsWhatHoldsMuchForLong)
{
  start (1000 * kib);
  Holder &fresh = enter_as (MQ_RESOURCE_ARRIVING, 300 * kib, 9 * second);
  Holder &stalled = enter_as (MQ_RESOURCE_ARRIVING, 300 * kib, 0);
  Holder &small = enter_as (MQ_RESOURCE_IDLE, 0, 0);
  Holder &self = enter_as (MQ_RESOURCE_ARRIVING, 0, 10 * second);

  EXPECT_TRUE (mq_resource_holder_grow (&self.holder, 300 * kib, 10 * second));
  EXPECT_TRUE (stalled.evicted);
  EXPECT_FALSE (fresh.evicted);
  EXPECT_FALSE (small.evicted);
  EXPECT_EQ (account.evictions[MQ_RESOURCE_ARRIVING], 1u);
}

TEST_F (ResourceAccount, EvictsNothingThatIsBusy)
{
  start (200 * kib);
  Holder &busy = enter_as (MQ_RESOURCE_BUSY, 140 * kib, 0);
  Holder &self = enter_as (MQ_RESOURCE_ARRIVING, 0, second);

  EXPECT_FALSE (mq_resource_holder_grow (&self.holder, 140 * kib, second));
  EXPECT_FALSE (busy.evicted);
  EXPECT_EQ (account.held, 142 * kib);
  EXPECT_EQ (mq_resource_account_evictions (&account) + account.refusals, 1u);
}

/* Requests with large bodies that run leave room for ordinary ones.  */
TEST_F (ResourceAccount, KeepsRoomBesideLargeBodies)
{
  start (1000 * kib);
  for (int i = 0; i < 10; i++)
    {
      Holder &h = enter_as (MQ_RESOURCE_ARRIVING, 0, 0);

      if (mq_resource_holder_grow (&h.holder, 100 * kib, 0))
        mq_resource_holder_set_state (&h.holder, MQ_RESOURCE_BUSY, 0);
    }
  EXPECT_LE (account.large, 750 * kib);
  for (int i = 0; i < 10; i++)
    {
      ASSERT_TRUE (mq_resource_account_admit (&account, kib, 1, second));
      Holder &h = enter_as (MQ_RESOURCE_ARRIVING, 0, second);

      EXPECT_TRUE (mq_resource_holder_grow (&h.holder, 10 * kib, second));
      mq_resource_holder_set_state (&h.holder, MQ_RESOURCE_BUSY, second);
    }
}

TEST_F (ResourceAccount, BoundsDescriptors)
{
  start (0, 10);
  for (int i = 0; i < 10; i++)
    enter ((uint64_t)i);
  EXPECT_TRUE (mq_resource_account_admit (&account, kib, 1, second));
  EXPECT_TRUE (holders[0].evicted);
  for (Holder &h : holders)
    mq_resource_holder_set_state (&h.holder, MQ_RESOURCE_BUSY, second);
  enter (second);
  mq_resource_holder_set_state (&holders.back ().holder, MQ_RESOURCE_BUSY,
                                second);
  EXPECT_FALSE (mq_resource_account_admit (&account, kib, 1, second));
  EXPECT_EQ (account.refusals, 1u);
  EXPECT_EQ (account.held_files, 10u);
}

TEST_F (ResourceAccount, EvictsOfOneGroup)
{
  int one = 0, other = 0;

  start (0);
  Holder &a = enter (0, kib, &one);
  Holder &b = enter (second, kib, &other);
  EXPECT_TRUE (mq_resource_account_evict (&account, &other, 2 * second));
  EXPECT_FALSE (a.evicted);
  EXPECT_TRUE (b.evicted);
  EXPECT_FALSE (mq_resource_account_evict (&account, &other, 2 * second));
}

/* What is ready for a client goes before what others wait with.  */
TEST_F (ResourceAccount, ReclaimsFromOthersThanTheOneThatIsKept)
{
  start (100 * kib);
  Holder &old = enter_as (MQ_RESOURCE_UNREAD, 50 * kib, 0);
  Holder &self = enter_as (MQ_RESOURCE_UNREAD, 60 * kib, second);

  mq_resource_account_reclaim (&account, &self.holder, 2 * second);
  EXPECT_TRUE (old.evicted);
  EXPECT_FALSE (self.evicted);
}

/* Whatever happens, the sums are right, and what is taken by permission stays
   within the limits.  */
RC_GTEST_PROP (ResourceAccountProperty, SumsHold, ())
{
  mq_resource_account account;
  std::deque<Holder> holders;
  uint64_t now = 0;

  mq_resource_account_init (&account, 1000 * kib, 20);
  for (unsigned step = 0; step < 200; step++)
    {
      unsigned action = *rc::gen::inRange (0u, 5u);
      size_t size = *rc::gen::inRange<size_t> (0, 300 * kib);

      now += *rc::gen::inRange (0u, 1000000u);
      if (action == 0 || holders.empty ())
        {
          if (!mq_resource_account_admit (&account, kib, 1, now))
            continue;
          holders.emplace_back (kib, 1, nullptr);
          mq_resource_holder_enter (&holders.back ().holder, &account, now);
        }
      else
        {
          Holder &h = holders[*rc::gen::inRange<size_t> (0, holders.size ())];

          if (action == 1)
            mq_resource_holder_leave (&h.holder);
          else if (action == 2)
            mq_resource_holder_set_state (
                &h.holder,
                (mq_resource_state)*rc::gen::inRange (0,
                                                      (int)MQ_RESOURCE_STATES),
                now);
          else
            mq_resource_holder_grow (&h.holder, size, now);
        }
      size_t held = 0, large = 0;
      unsigned files = 0;

      for (Holder &h : holders)
        {
          if (h.holder.account == nullptr)
            continue;
          RC_ASSERT (!h.evicted);
          held += h.holder.fixed + h.holder.bytes;
          large += h.holder.bytes > 64 * kib ? h.holder.bytes : 0;
          files++;
        }
      RC_ASSERT (account.held == held);
      RC_ASSERT (account.large == large);
      RC_ASSERT (account.held_files == files);
      RC_ASSERT (held <= account.memory);
      RC_ASSERT (large <= account.memory / 4 * 3);
      RC_ASSERT (files <= account.files);
    }
}

} // namespace
