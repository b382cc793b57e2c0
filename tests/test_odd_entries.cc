/* One odd entry among those of the engines: nested very deeply, or with a
   number that is too large or a port out of range.  Routers ended, or stopped
   following the list.  They go on, follow and serve, and the other entries
   hold.  */

#include "support/odd_entries.h"

using namespace odd_entries;

TEST_F (OddEntry, NestedDeeplyInListIsHarmless)
{
  store.page = 3;
  expect_harmless (nested_forms (), Place::LIST);
}

TEST_F (OddEntry, NestedDeeplyInEventsIsHarmless)
{
  expect_harmless (as_events (nested_forms ()), Place::EVENTS);
}

TEST_F (OddEntry, WithNumbersInListIsHarmless)
{
  expect_harmless (number_forms (), Place::LIST);
}

TEST_F (OddEntry, WithNumbersInEventsIsHarmless)
{
  expect_harmless (as_events (number_forms ()), Place::EVENTS);
}

TEST_F (OddEntry, WithAddressesInListIsHarmless)
{
  expect_harmless (address_forms (), Place::LIST);
}

TEST_F (OddEntry, WithAddressesInEventsIsHarmless)
{
  expect_harmless (as_events (address_forms ()), Place::EVENTS);
}
