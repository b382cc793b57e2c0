/* Unit tests of the stand-ins' parts: the reference model, the object store,
   the rate limit, the VM list and the prefix cache.  */

#include <gtest/gtest.h>
#include <standin/prefix_cache.h>
#include <standin/reference.h>
#include <standin/objects.h>
#include <standin/vm_list.h>

#include <string>

namespace
{

const mq_span prompt = MQ_SPAN ("draft a report");
const mq_span model = MQ_SPAN ("m");
const mq_span version = MQ_SPAN ("v1");
constexpr uint32_t layers = 12;

std::string
answer (mq_span text, mq_span v, uint32_t n_layers, uint32_t tokens)
{
  GString *out = g_string_new (nullptr);

  mq_reference_answer (out, text, model, v, n_layers, tokens);
  std::string result (out->str, out->len);
  g_string_free (out, TRUE);
  return result;
}

mq_object_condition
if_version (uint64_t v)
{
  return { MQ_OBJECT_IF_VERSION, v };
}

const mq_object_condition always = { MQ_OBJECT_ALWAYS, 0 };
const mq_object_condition if_absent = { MQ_OBJECT_IF_ABSENT, 0 };

} // namespace

TEST (Reference, AnswerDependsOnPromptVersionAndLayers)
{
  std::string whole = answer (prompt, version, layers, 16);

  EXPECT_EQ (whole.size (), 16u * 5);
  EXPECT_EQ (whole, answer (prompt, version, layers, 16));
  EXPECT_NE (whole, answer (MQ_SPAN ("draft a repor"), version, layers, 16));
  EXPECT_NE (whole, answer (prompt, MQ_SPAN ("v2"), layers, 16));
  EXPECT_NE (whole, answer (prompt, version, layers - 1, 16));
  EXPECT_EQ (whole.substr (0, 40), answer (prompt, version, layers, 8));
}

TEST (Reference, OnlyAllStagesInOrderGiveTheFullResult)
{
  uint64_t w = mq_reference_weights (model, version);
  uint64_t c = mq_reference_context (prompt);
  uint64_t whole = mq_reference_layers (c, w, 0, layers);
  uint64_t first = mq_reference_layers (c, w, 0, 5);

  EXPECT_EQ (mq_reference_layers (first, w, 5, layers), whole);
  EXPECT_NE (mq_reference_layers (first, w, 6, layers), whole);
  EXPECT_NE (mq_reference_layers (first, w, 4, layers), whole);
  EXPECT_NE (
      mq_reference_layers (mq_reference_layers (c, w, 5, layers), w, 0, 5),
      whole);
}

TEST (Reference, ResumesAfterSentTokens)
{
  uint64_t w = mq_reference_weights (model, version);
  std::string whole = answer (prompt, version, layers, 6);
  uint64_t c = mq_reference_context (prompt);
  char text[MQ_REFERENCE_TOKEN_SIZE];

  for (int p = 0; p < 5; p++)
    c = mq_reference_extend (c, { whole.data () + p * 5, 5 });
  mq_span last
      = mq_reference_token (mq_reference_layers (c, w, 0, layers), text);
  EXPECT_EQ (std::string (last.data, last.size), whole.substr (25));
}

TEST (Store, ChecksConditionsAndTakesVersionsFromOneCounter)
{
  mq_objects *s = mq_objects_new ();
  mq_span a = MQ_SPAN ("dir/a");
  mq_span b = MQ_SPAN ("dir/b");

  EXPECT_EQ (mq_objects_put (s, a, MQ_SPAN ("1"), if_version (1)),
             MQ_OBJECT_CONFLICT);
  EXPECT_EQ (mq_objects_put (s, a, MQ_SPAN ("1"), if_absent), MQ_OBJECT_OK);
  EXPECT_EQ (mq_objects_put (s, a, MQ_SPAN ("2"), if_absent),
             MQ_OBJECT_CONFLICT);
  EXPECT_EQ (mq_objects_put (s, b, MQ_SPAN ("1"), always), MQ_OBJECT_OK);
  EXPECT_EQ (mq_objects_get (s, b)->version, 2u);
  EXPECT_EQ (mq_objects_put (s, a, MQ_SPAN ("2"), if_version (1)),
             MQ_OBJECT_OK);
  EXPECT_EQ (mq_objects_get (s, a)->version, 3u);
  EXPECT_EQ (mq_objects_put (s, a, MQ_SPAN ("3"), if_version (1)),
             MQ_OBJECT_CONFLICT);
  EXPECT_TRUE (mq_span_equal (mq_str_span (mq_objects_get (s, a)->value),
                              MQ_SPAN ("2")));
  mq_objects_free (s);
}

TEST (Store, RecreatedObjectGetsAHigherVersion)
{
  mq_objects *s = mq_objects_new ();
  mq_span a = MQ_SPAN ("a");

  mq_objects_put (s, a, MQ_SPAN ("1"), if_absent);
  EXPECT_EQ (mq_objects_delete (s, a, if_version (9)), MQ_OBJECT_CONFLICT);
  EXPECT_EQ (mq_objects_delete (s, a, if_version (1)), MQ_OBJECT_OK);
  EXPECT_EQ (mq_objects_delete (s, a, always), MQ_OBJECT_MISSING);
  EXPECT_EQ (mq_objects_get (s, a), nullptr);
  mq_objects_put (s, a, MQ_SPAN ("1"), if_absent);
  EXPECT_GT (mq_objects_get (s, a)->version, 1u);
  mq_objects_free (s);
}

TEST (Store, ListsByPrefixSortedByName)
{
  mq_objects *s = mq_objects_new ();

  mq_objects_put (s, MQ_SPAN ("x/2"), MQ_SPAN (""), always);
  mq_objects_put (s, MQ_SPAN ("x/1"), MQ_SPAN (""), always);
  mq_objects_put (s, MQ_SPAN ("y/1"), MQ_SPAN (""), always);
  GPtrArray *list = mq_objects_list (s, MQ_SPAN ("x/"));
  ASSERT_EQ (list->len, 2u);
  auto *first = static_cast<mq_object *> (g_ptr_array_index (list, 0));
  EXPECT_STREQ (mq_str_cstr (first->name), "x/1");
  g_ptr_array_free (list, TRUE);
  mq_objects_free (s);
}

TEST (Store, RejectsInvalidNamesAndLargeValues)
{
  mq_objects *s = mq_objects_new ();
  std::string large (MQ_OBJECT_MAX_VALUE_BYTES + 1, 'x');

  EXPECT_EQ (mq_objects_put (s, MQ_SPAN ("a b"), MQ_SPAN ("1"), always),
             MQ_OBJECT_BAD_NAME);
  EXPECT_EQ (mq_objects_put (s, MQ_SPAN (""), MQ_SPAN ("1"), always),
             MQ_OBJECT_BAD_NAME);
  EXPECT_EQ (mq_objects_put (s, MQ_SPAN ("a"),
                             { large.data (), large.size () }, always),
             MQ_OBJECT_TOO_LARGE);
  EXPECT_EQ (mq_objects_put (s, MQ_SPAN ("a"),
                             { large.data (), large.size () - 1 }, always),
             MQ_OBJECT_OK);
  mq_objects_free (s);
}

TEST (Rate, LimitsCallsAndRefillsWithTime)
{
  mq_call_rate r;

  mq_call_rate_init (&r, 2, 0);
  EXPECT_TRUE (mq_call_rate_take (&r, 0));
  EXPECT_TRUE (mq_call_rate_take (&r, 0));
  EXPECT_FALSE (mq_call_rate_take (&r, 0));
  EXPECT_FALSE (mq_call_rate_take (&r, 400000));
  EXPECT_TRUE (mq_call_rate_take (&r, 600000));
  EXPECT_FALSE (mq_call_rate_take (&r, 600000));
}

TEST (VmList, ShowsChangesAfterTheLag)
{
  mq_vm_list *l = mq_vm_list_new (500);
  mq_span b = MQ_SPAN ("b");

  mq_vm_list_set (l, 0, b, MQ_SPAN ("127.0.0.1:1"), MQ_VM_LIVE);
  mq_vm_list_set (l, 100, MQ_SPAN ("a"), MQ_SPAN (""), MQ_VM_LIVE);
  EXPECT_EQ (mq_vm_list_visible (l, 499)->len, 0u);
  EXPECT_EQ (mq_vm_list_visible (l, 500)->len, 1u);
  const GArray *vms = mq_vm_list_visible (l, 600);
  ASSERT_EQ (vms->len, 2u);
  EXPECT_STREQ (mq_str_cstr (g_array_index (vms, mq_vm, 0).name), "a");
  mq_vm_list_set (l, 700, b, MQ_SPAN (""), MQ_VM_LEAVING);
  mq_vm_list_set (l, 800, b, MQ_SPAN (""), MQ_VM_REMOVED);
  vms = mq_vm_list_visible (l, 1200);
  EXPECT_EQ (g_array_index (vms, mq_vm, 1).state, MQ_VM_LEAVING);
  EXPECT_EQ (mq_vm_list_visible (l, 1300)->len, 1u);
  mq_vm_list_free (l);
}

TEST (PrefixCache, EvictsLeastRecentlyUsedAndDelaysEvents)
{
  mq_prefix_options o = { 20, 1000, 0, 1 };
  mq_prefix_cache *c = mq_prefix_cache_new (&o);

  mq_prefix_cache_store (c, 0, 1, 10);
  mq_prefix_cache_store (c, 1, 2, 10);
  EXPECT_EQ (mq_prefix_cache_use (c, 1), 10u);
  mq_prefix_cache_store (c, 2, 3, 10);
  EXPECT_EQ (mq_prefix_cache_use (c, 2), 0u);
  EXPECT_EQ (mq_prefix_cache_use (c, 1), 10u);
  EXPECT_EQ (mq_prefix_cache_used (c), 20u);
  GArray *events = mq_prefix_cache_events (c, 1001, 0);
  EXPECT_EQ (events->len, 2u);
  g_array_unref (events);
  events = mq_prefix_cache_events (c, 2000, 2);
  ASSERT_EQ (events->len, 2u);
  EXPECT_FALSE (g_array_index (events, mq_prefix_event, 0).stored);
  EXPECT_EQ (g_array_index (events, mq_prefix_event, 0).prefix, 2u);
  g_array_unref (events);
  mq_prefix_cache_free (c);
}

TEST (PrefixCache, HiddenEventsLeaveGapsInTheNumbers)
{
  mq_prefix_options o = { 1000, 0, 50, 7 };
  mq_prefix_cache *c = mq_prefix_cache_new (&o);

  for (uint64_t i = 1; i <= 100; i++)
    mq_prefix_cache_store (c, 0, i, 1);
  GArray *events = mq_prefix_cache_events (c, 0, 0);
  EXPECT_GT (events->len, 20u);
  EXPECT_LT (events->len, 80u);
  EXPECT_GT (g_array_index (events, mq_prefix_event, events->len - 1).number,
             80u);
  g_array_unref (events);
  mq_prefix_cache_free (c);
}
