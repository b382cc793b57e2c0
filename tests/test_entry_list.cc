/* Lists of the store's entries: updates never restore an older version.  */

#include <mq/entry_list.h>

#include <gtest/gtest.h>

namespace
{

class EntryList : public ::testing::Test
{
protected:
  EntryList () { mq_entry_list_init (&list); }
  ~EntryList () override { mq_entry_list_finish (&list); }

  bool
  is_newer (const char *id, uint64_t version, bool removed = false)
  {
    return mq_entry_list_is_newer (&list, mq_span_from (id), version, removed);
  }

  void
  put (const char *id, uint64_t version)
  {
    mq_entry_list_put (&list, mq_span_from (id), version, MQ_SPAN ("text"));
  }

  mq_entry_list list;
};

} // namespace

TEST_F (EntryList, OnlyHigherVersionIsNewer)
{
  EXPECT_TRUE (is_newer ("a", 5));
  put ("a", 5);
  EXPECT_FALSE (is_newer ("a", 4));
  EXPECT_FALSE (is_newer ("a", 5));
  EXPECT_TRUE (is_newer ("a", 6));
}

/* Two routers may propagate the same changes, one later than the other.  */
TEST_F (EntryList, LateUpdateDoesNotRestoreRemovedEntry)
{
  put ("a", 5);
  EXPECT_TRUE (is_newer ("a", 5, true));
  mq_entry_list_remove (&list, MQ_SPAN ("a"), 5);
  EXPECT_FALSE (is_newer ("a", 5));
  EXPECT_FALSE (is_newer ("a", 6, true));
  EXPECT_TRUE (is_newer ("a", 7));
  put ("a", 7);
  EXPECT_FALSE (is_newer ("a", 6, true));
}

TEST_F (EntryList, EqualListsHaveEqualDigests)
{
  mq_entry_list other;

  mq_entry_list_init (&other);
  put ("a", 1);
  put ("b", 2);
  mq_entry_list_put (&other, MQ_SPAN ("b"), 2, MQ_SPAN ("text"));
  EXPECT_NE (list.digest, other.digest);
  mq_entry_list_put (&other, MQ_SPAN ("c"), 3, MQ_SPAN ("text"));
  mq_entry_list_put (&other, MQ_SPAN ("a"), 1, MQ_SPAN ("text"));
  mq_entry_list_remove (&other, MQ_SPAN ("c"), 4);
  EXPECT_EQ (list.digest, other.digest);
  put ("a", 9);
  EXPECT_NE (list.digest, other.digest);
  mq_entry_list_finish (&other);
}

TEST_F (EntryList, KeepRemovesEntriesNotInSet)
{
  GHashTable *keep = g_hash_table_new (g_str_hash, g_str_equal);
  uint64_t empty = list.digest;

  put ("a", 1);
  put ("b", 2);
  g_hash_table_add (keep, const_cast<char *> ("b"));
  mq_entry_list_keep (&list, keep);
  EXPECT_EQ (g_hash_table_size (list.entries), 1u);
  g_hash_table_remove_all (keep);
  mq_entry_list_keep (&list, keep);
  EXPECT_EQ (list.digest, empty);
  g_hash_table_unref (keep);
}

/* A follower propagates a change that it reads from the store also when
   another router has sent it before.  */
TEST_F (EntryList, ChangeOfAnotherRouterIsConfirmedOnce)
{
  auto confirm = [&] (uint64_t version, bool removed) {
    return mq_entry_list_confirm (&list, MQ_SPAN ("a"), version, removed);
  };

  put ("a", 5);
  EXPECT_FALSE (confirm (4, false));
  EXPECT_FALSE (confirm (5, true));
  EXPECT_TRUE (confirm (5, false));
  EXPECT_FALSE (confirm (5, false));
  mq_entry_list_remove (&list, MQ_SPAN ("a"), 6);
  EXPECT_FALSE (confirm (5, false));
  EXPECT_TRUE (confirm (6, true));
  EXPECT_FALSE (confirm (6, true));
}
