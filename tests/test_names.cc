/* The names of the users' platform stand in platform/ alone: not in the
   packages, nor in the programs.  */

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

namespace fs = std::filesystem;

std::string
read (const fs::path &path)
{
  std::ifstream in (path);
  std::stringstream s;

  s << in.rdbuf ();
  return s.str ();
}

/* Names that mean nothing outside the platform; words such as "servers" or
   "zone" are left out, and so is what native mode shares.  */
std::set<std::string>
platform_names (const fs::path &root)
{
  std::set<std::string> names
      = { "weightedServices", "pathPrefix",  "kvTokenBytes", "apiKeys",
          "allowAnonymous",   "maxAttempts", "layerMb",      "usual" };
  std::string text = read (root / "platform/names.h");
  std::regex quoted ("\"([^\"]{8,})\"");

  for (std::sregex_iterator i (text.begin (), text.end (), quoted), end;
       i != end; ++i)
    names.insert ((*i)[1]);
  names.erase ("Last-Event-Id");
  names.erase ("/objects/");
  names.erase ("revision");
  return names;
}

} // namespace

TEST (Names, OfThePlatformStandInItsFolderAlone)
{
  const char *source = getenv ("MQ_SOURCE");
  fs::path root = source ? source : ".";
  std::set<std::string> names = platform_names (root);

  EXPECT_GT (names.size (), 15u);
  for (const char *folder : { "packages", "include", "programs" })
    for (auto &f : fs::recursive_directory_iterator (root / folder))
      {
        std::string text = f.is_regular_file () ? read (f.path ()) : "";

        for (const std::string &name : names)
          EXPECT_EQ (text.find ("\"" + name + "\""), std::string::npos)
              << name << " in " << f.path ();
      }
}
