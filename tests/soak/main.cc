/* mqsoak: a randomized fault soak of routers in gateway mode, as real
   processes on loopback.  docs/DEVELOPING.md says how to read it.

   Exit status: 0 all promises were kept, 1 one was broken, 2 bad input or
   nothing could be run, 130 interrupted.  */

#include "driver.h"
#include "engine.h"

#include <mq/log.h>

#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmath>
#include <cstring>
#include <filesystem>
#include <random>

namespace
{

/* What a process may need, in MiB, and the most processes of a soak.  */
constexpr size_t process_mib = 64;
constexpr unsigned processes_max = 300;
constexpr double minutes_max = 24 * 60;
constexpr size_t findings_shown = 40;

int
fail (const std::string &text)
{
  fprintf (stderr, "mqsoak: %s\n", text.c_str ());
  return 2;
}

bool
parse_count (const char *s, uint64_t max, uint64_t &n)
{
  char *end;

  errno = 0;
  n = strtoull (s, &end, 10);
  return *s >= '0' && *s <= '9' && *end == '\0' && errno == 0 && n <= max;
}

bool
parse_minutes (const char *s, double &minutes)
{
  char *end;

  minutes = strtod (s, &end);
  return end != s && *end == '\0' && std::isfinite (minutes) && minutes > 0
         && minutes <= minutes_max;
}

/* Fill O from the command line.  Returns what is wrong, empty for nothing.  */
std::string
parse_options (int argc, char **argv, soak::Options &o)
{
  o.seed = std::random_device () ();
  for (int i = 1; i < argc; i += 2)
    {
      std::string name = argv[i];
      const char *value = argv[i + 1];
      uint64_t n = 0;

      if (i + 1 == argc)
        return name + ": unknown option or missing value";
      if (name == "--seed")
        {
          if (!parse_count (value, UINT64_MAX, o.seed))
            return "--seed: \"" + std::string (value) + "\" is no number";
        }
      else if (name == "--minutes")
        {
          if (!parse_minutes (value, o.minutes))
            return "--minutes: \"" + std::string (value)
                   + "\" is not above 0 and at most 1440";
        }
      else if (name == "--routers" || name == "--clients")
        {
          if (!parse_count (value, 1000, n) || n == 0)
            return name + ": \"" + value + "\" is not from 1 to 1000";
          (name == "--routers" ? o.routers : o.clients) = (unsigned)n;
        }
      else if (name == "--bounds" || name == "--crowds"
               || name == "--directory")
        {
          bool is_on = strcmp (value, "on") == 0;

          if (!is_on && strcmp (value, "off") != 0)
            return name + ": \"" + value + "\" is neither on nor off";
          (name == "--bounds"   ? o.has_bounds
           : name == "--crowds" ? o.has_crowds
                                : o.has_directory)
              = is_on;
        }
      else if (name == "--router")
        o.router = value;
      else if (name == "--out")
        o.folder = value;
      else
        return name
               + ": unknown option (there are --seed N, --minutes M, "
                 "--routers R, --clients C, --bounds on|off, --crowds on|off, "
                 "--directory on|off, --router PROGRAM, --out FOLDER)";
    }
  return "";
}

/* Returns what forbids to run O on this machine, empty for nothing.  */
std::string
check_limits (soak::Options &o)
{
  size_t n = o.routers + o.apps + o.desks + o.models;
  size_t half_mib = (size_t)sysconf (_SC_PHYS_PAGES) / 1024
                    * (size_t)sysconf (_SC_PAGESIZE) / 1024 / 2;

  if (n > processes_max || n * process_mib > half_mib)
    return std::to_string (n) + " processes are too many: at most "
           + std::to_string (processes_max) + ", and half of the memory at "
           + std::to_string (process_mib) + " MiB each ("
           + std::to_string (half_mib / process_mib) + ")";
  if (access (o.router.c_str (), X_OK) != 0)
    return o.router + ": " + strerror (errno);
  return "";
}

/* Make the folder for the logs of O, by default a new one that is named after
   the seed.  */
bool
make_folder (soak::Options &o, std::string &wrong)
{
  std::error_code code;
  std::string name = "soak-" + std::to_string (o.seed);
  bool is_given = !o.folder.empty ();

  if (!is_given)
    o.folder = name;
  for (unsigned i = 2; !is_given && std::filesystem::exists (o.folder); i++)
    o.folder = name + "." + std::to_string (i);
  if (std::filesystem::create_directories (o.folder, code))
    return true;
  wrong = o.folder + ": "
          + (code ? code.message () : "the folder exists already");
  return false;
}

/* Let the crowds have as many descriptors as the system allows.  */
void
allow_descriptors ()
{
  rlimit files;

  if (getrlimit (RLIMIT_NOFILE, &files) != 0)
    return;
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
}

int
run_soak (int argc, char **argv)
{
  soak::Options o;
  const char *bin = getenv ("MQ_BIN");
  std::error_code code;
  bool is_temporary;
  int status = 0;

  o.router = std::string (bin ? bin : "build") + "/marjoramquay";
  std::string wrong = parse_options (argc, argv, o);
  if (wrong.empty ())
    wrong = check_limits (o);
  if (!wrong.empty ())
    return fail (wrong);
  is_temporary = o.folder.empty ();
  if (!make_folder (o, wrong))
    return fail (wrong);
  o.folder = std::filesystem::absolute (o.folder);
  mq_log_init ("error");
  signal (SIGPIPE, SIG_IGN);
  allow_descriptors ();
  printf ("seed %llu, %.2f minutes, %u routers, %u clients, %u engines; logs "
          "in %s\n",
          (unsigned long long)o.seed, o.minutes, o.routers, o.clients,
          o.apps + o.desks + o.models, o.folder.c_str ());
  {
    soak::Driver driver (o);

    if (!driver.run ())
      {
        fprintf (stderr, "mqsoak: %s\n", driver.error.c_str ());
        return driver.error == "interrupted" ? 130 : 2;
      }
    soak::Checker &c = driver.checker;
    for (auto &k : c.counts)
      printf ("%8u %s\n", k.second, k.first.c_str ());
    printf ("%8zu of %u responses without a length whose engine was killed in "
            "the middle looked complete (reported, not judged):",
            c.unframed_kills_complete.size (), c.unframed_kills);
    for (auto &id : c.unframed_kills_complete)
      printf (" %s", id.c_str ());
    printf ("\n");
    printf ("%8u the same where the engine closed in order (legitimate)\n",
            c.early_unframed);
    for (auto *kind : { "safe", "unsafe", "stream", "resumable" })
      if (c.counts[std::string ("served ") + kind] == 0)
        c.findings.push_back (
            { "SOAK", "-", std::string ("no request was served: ") + kind });
    for (size_t i = 0; i < c.findings.size () && i < findings_shown; i++)
      printf ("BROKEN %s %s: %s\n", c.findings[i].rule.c_str (),
              c.findings[i].attempt.c_str (), c.findings[i].text.c_str ());
    printf ("seed %llu: %zu findings", (unsigned long long)o.seed,
            c.findings.size ());
    if (driver.first_finding_s > 0)
      printf (", the first after %.1f s", driver.first_finding_s);
    printf ("\n");
    status = c.findings.empty () ? 0 : 1;
  }
  if (status == 0 && is_temporary)
    std::filesystem::remove_all (o.folder, code);
  else if (status != 0)
    printf ("replay with --seed %llu --minutes %g --routers %u --clients %u"
            "%s%s\n",
            (unsigned long long)o.seed, o.minutes, o.routers, o.clients,
            o.has_crowds ? "" : " --crowds off",
            o.has_directory ? "" : " --directory off");
  return status;
}

} // namespace

int
main (int argc, char **argv)
{
  soak::EngineOptions e;

  if (argc != 7 || strcmp (argv[1], "--engine") != 0)
    return run_soak (argc, argv);
  e.id = argv[2];
  e.service = argv[3];
  e.is_model = strcmp (argv[4], "1") == 0;
  e.seed = strtoull (argv[5], nullptr, 10);
  e.born_ms = strtoull (argv[6], nullptr, 10);
  e.listener = 3;
  e.reports = 4;
  return soak::run_engine (e);
}
