/* The stand-in for the platform's store that fleets of routers in tests use.
 */

#include "support/gateway_fixture.h"

#include <string>

namespace
{

class StoreStandin : public gateway::Fixture
{
protected:
  std::string
  scan (const std::string &kind)
  {
    std::string address = store.server.address ();

    return fetch (
               "GET", "/objects/" + kind, {}, "",
               (unsigned)std::stoul (address.substr (address.rfind (':') + 1)))
        .body;
  }

  /* Returns the revisions that TEXT names, in its order.  */
  static std::vector<unsigned>
  revisions (const std::string &text)
  {
    static const std::string label = "\"revision\":";
    std::vector<unsigned> all;

    for (size_t at = text.find (label); at != std::string::npos;
         at = text.find (label, at + 1))
      all.push_back ((unsigned)std::stoul (text.substr (at + label.size ())));
    return all;
  }
};

/* Two routers that scanned at different times took the same list for two. */
TEST_F (StoreStandin, ScannedObjectsHaveTheRevisionOfTheirLastChange)
{
  store.put ("servers", "a", "{}");
  store.put ("servers", "b", "{}");
  std::vector<unsigned> first = revisions (scan ("servers"));
  store.put ("config", "main", "{}");
  std::vector<unsigned> later = revisions (scan ("servers"));

  ASSERT_EQ (first.size (), 2u);
  EXPECT_EQ (first[0] + 1, first[1]);
  EXPECT_EQ (later, first);
}

} // namespace
