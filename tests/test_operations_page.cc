/* docs/OPERATIONS.md lists each event that a router in gateway mode can log,
   and no other.  */

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace
{

std::string
read (const std::filesystem::path &path)
{
  std::ifstream in (path);
  std::stringstream s;

  s << in.rdbuf ();
  return s.str ();
}

std::set<std::string>
all (const std::string &text, const std::string &pattern)
{
  std::set<std::string> found;
  std::regex r (pattern);

  for (std::sregex_iterator i (text.begin (), text.end (), r), end; i != end;
       ++i)
    found.insert ((*i)[1]);
  return found;
}

} // namespace

TEST (OperationsPage, ListsEachEventThatCanBeLoggedAndNoOther)
{
  const char *source = getenv ("MQ_SOURCE");
  std::filesystem::path root = source ? source : ".";
  std::string code = read (root / "programs/marjoramquay/gateway_mode.c");
  std::string page = read (root / "docs/OPERATIONS.md");

  code += read (root / "packages/net/http_client.c");
  for (auto &f :
       std::filesystem::directory_iterator (root / "packages/gateway"))
    code += read (f.path ());
  std::set<std::string> logged
      = all (code, "mq_log[a-z_]*\\s*\\([^;\"]*\"([a-z]+\\.[a-z-]+)\"");
  logged.insert ("log.left-out"); /* Of packages/base/log.c.  */
  size_t from = page.find ("### Events");
  size_t to = page.find ("### Metrics", from);
  ASSERT_NE (from, std::string::npos);
  std::set<std::string> listed
      = all (page.substr (from, to - from), "\\| `([a-z]+\\.[a-z-]+)` \\|");
  EXPECT_GT (logged.size (), 20u);
  EXPECT_EQ (listed, logged);
}
