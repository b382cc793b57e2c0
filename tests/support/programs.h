/* Runs this project's programs and makes HTTP requests to them, for tests with
   real processes on loopback.

   Every program listens on port 0 and prints `listening=IP:PORT'.  It is
   killed when the test process exits.  Time limits only stop a test that would
   hang forever.  */

#ifndef MQ_TESTS_PROGRAMS_H
#define MQ_TESTS_PROGRAMS_H

#include <curl/curl.h>
#include <gtest/gtest.h>
#include <json-c/json.h>

#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace programs
{

constexpr int time_limit_s = 60;

inline std::string
binary (const std::string &name)
{
  const char *folder = getenv ("MQ_BIN");

  return std::string (folder ? folder : "build") + "/" + name;
}

/* Polls TEST until it returns true.  Returns false if it does not within the
   time limit.  */
inline bool
eventually (const std::function<bool ()> &test)
{
  auto until = std::chrono::steady_clock::now ()
               + std::chrono::seconds (time_limit_s);

  while (std::chrono::steady_clock::now () < until)
    {
      if (test ())
        return true;
      std::this_thread::sleep_for (std::chrono::milliseconds (5));
    }
  return false;
}

/* A running program of this project, killed by the destructor.  */
class Program
{
public:
  explicit Program (const std::vector<std::string> &arguments)
  {
    int ends[2];

    if (pipe (ends) != 0)
      throw std::runtime_error ("pipe");
    pid_ = fork ();
    if (pid_ == 0)
      run (arguments, ends);
    close (ends[1]);
    out_ = ends[0];
  }

  Program (const Program &) = delete;
  Program &operator= (const Program &) = delete;

  ~Program ()
  {
    kill (SIGKILL);
    wait ();
    close (out_);
  }

  /* Returns the IP:PORT that the program prints; empty when it exits or times
     out instead.  */
  std::string
  address ()
  {
    const std::string key = "listening=";

    while (address_.empty ())
      {
        std::string line;

        if (!read_line (line))
          return "";
        if (line.compare (0, key.size (), key) == 0)
          address_ = line.substr (key.size ());
      }
    return address_;
  }

  std::string
  url ()
  {
    return "http://" + address ();
  }

  pid_t
  pid () const
  {
    return pid_;
  }

  /* Returns the most memory that the program has had resident, in KiB.  */
  size_t
  peak_kib () const
  {
    std::ifstream file ("/proc/" + std::to_string (pid_) + "/status");
    const std::string key = "VmHWM:";
    std::string line;

    while (std::getline (file, line))
      if (line.compare (0, key.size (), key) == 0)
        return std::stoul (line.substr (key.size ()));
    return 0;
  }

  void
  kill (int signal)
  {
    if (pid_ > 0)
      ::kill (pid_, signal);
  }

  /* Waits for the program to exit.  Returns its exit status, or -1 when a
     signal ended it.  */
  int
  wait ()
  {
    int status = 0;

    if (pid_ > 0 && waitpid (pid_, &status, 0) == pid_)
      {
        pid_ = -1;
        status_ = WIFEXITED (status) ? WEXITSTATUS (status) : -1;
      }
    return status_;
  }

  /* Reads the program's output until it exits and returns what has not been
     read before.  */
  std::string
  output ()
  {
    std::string all;
    std::string line;

    while (read_line (line))
      all += line + "\n";
    return all;
  }

private:
  [[noreturn]] static void
  run (const std::vector<std::string> &arguments, const int *ends)
  {
    std::vector<char *> argv;

    prctl (PR_SET_PDEATHSIG, SIGKILL);
    dup2 (ends[1], STDOUT_FILENO);
    close (ends[0]);
    close (ends[1]);
    for (const std::string &a : arguments)
      argv.push_back (const_cast<char *> (a.c_str ()));
    argv.push_back (nullptr);
    execv (argv[0], argv.data ());
    _exit (127);
  }

  bool
  read_line (std::string &line)
  {
    size_t end;

    while ((end = buffer_.find ('\n')) == std::string::npos)
      {
        char piece[4096];
        struct pollfd p = { out_, POLLIN, 0 };

        if (poll (&p, 1, time_limit_s * 1000) <= 0)
          return false;
        ssize_t n = read (out_, piece, sizeof piece);
        if (n < 0 && errno == EINTR)
          continue;
        if (n <= 0)
          return false;
        buffer_.append (piece, (size_t)n);
      }
    line = buffer_.substr (0, end);
    buffer_.erase (0, end + 1);
    return true;
  }

  pid_t pid_ = -1;
  int out_ = -1;
  int status_ = -1;
  std::string buffer_;
  std::string address_;
};

/* Runs a program until it exits and returns its exit status.  */
inline int
run (const std::vector<std::string> &arguments, std::string *output = nullptr)
{
  Program p (arguments);
  std::string all = p.output ();

  if (output != nullptr)
    *output = all;
  return p.wait ();
}

struct Reply
{
  long status = 0;    /* 0: no response headers were received.  */
  bool whole = false; /* The response was received completely.  */
  std::map<std::string, std::string> headers; /* Names in lower case.  */
  std::string body;
};

struct Request
{
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;
  std::string body;
  std::string ca; /* The only certificate to trust, by path.  */
  /* Called with the body received so far after each piece of it.  */
  std::function<void (const std::string &)> progress;
  /* Called like PROGRESS; the client disconnects if it returns true.  */
  std::function<bool (const std::string &)> hang_up;
};

namespace detail
{

struct Transfer
{
  Reply reply;
  const Request *request;
};

inline size_t
receive_body (char *data, size_t unit, size_t count, void *context)
{
  Transfer *t = static_cast<Transfer *> (context);

  t->reply.body.append (data, unit * count);
  if (t->request->progress)
    t->request->progress (t->reply.body);
  if (t->request->hang_up && t->request->hang_up (t->reply.body))
    return 0;
  return unit * count;
}

inline size_t
receive_header (char *data, size_t unit, size_t count, void *context)
{
  Transfer *t = static_cast<Transfer *> (context);
  std::string line (data, unit * count);
  size_t colon = line.find (':');

  if (colon == std::string::npos)
    return unit * count;
  std::string name = line.substr (0, colon);
  std::string value = line.substr (colon + 1);
  for (char &c : name)
    c = (char)tolower (c);
  value.erase (0, value.find_first_not_of (" \t"));
  value.erase (value.find_last_not_of (" \t\r\n") + 1);
  t->reply.headers[name] = value;
  return unit * count;
}

} // namespace detail

/* Makes REQUEST and waits for the complete response.  */
inline Reply
fetch (const Request &request)
{
  detail::Transfer t;
  CURL *e = curl_easy_init ();
  struct curl_slist *list = curl_slist_append (nullptr, "Expect:");

  t.request = &request;
  for (const std::string &h : request.headers)
    list = curl_slist_append (list, h.c_str ());
  curl_easy_setopt (e, CURLOPT_URL, request.url.c_str ());
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  if (!request.ca.empty ())
    curl_easy_setopt (e, CURLOPT_CAINFO, request.ca.c_str ());
  curl_easy_setopt (e, CURLOPT_TIMEOUT, (long)time_limit_s);
  if (!request.body.empty () || request.method == "POST")
    {
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE, (long)request.body.size ());
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, request.body.c_str ());
    }
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, request.method.c_str ());
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, detail::receive_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, &t);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, detail::receive_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, &t);
  t.reply.whole = curl_easy_perform (e) == CURLE_OK;
  curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &t.reply.status);
  curl_easy_cleanup (e);
  curl_slist_free_all (list);
  return t.reply;
}

inline Reply
get (const std::string &url)
{
  Request r;

  r.url = url;
  return fetch (r);
}

/* A temporary folder, removed with the files written to it by the
   destructor.  */
class Folder
{
public:
  Folder ()
  {
    char name[] = "/tmp/mq-test-XXXXXX";

    if (mkdtemp (name) == nullptr)
      throw std::runtime_error ("mkdtemp");
    path_ = name;
  }

  ~Folder ()
  {
    for (const std::string &f : files_)
      unlink (f.c_str ());
    rmdir (path_.c_str ());
  }

  std::string
  write (const std::string &name, const std::string &text)
  {
    std::string path = path_ + "/" + name;

    std::ofstream (path) << text;
    files_.push_back (path);
    return path;
  }

  std::string
  read (const std::string &name) const
  {
    std::ifstream file (path_ + "/" + name);

    return std::string (std::istreambuf_iterator<char> (file), {});
  }

  const std::string &
  path () const
  {
    return path_;
  }

private:
  std::string path_;
  std::vector<std::string> files_;
};

/* Returns the value of KEY in the JSON object TEXT as text; empty when there
   is none.  Dots in KEY separate the keys of nested objects.  */
inline std::string
json_text (const std::string &text, const std::string &key)
{
  std::unique_ptr<json_object, int (*) (json_object *)> root (
      json_tokener_parse (text.c_str ()), json_object_put);
  json_object *at = root.get ();
  size_t from = 0;

  while (at != nullptr && from <= key.size ())
    {
      size_t dot = std::min (key.find ('.', from), key.size ());
      json_object *next = nullptr;

      json_object_object_get_ex (at, key.substr (from, dot - from).c_str (),
                                 &next);
      at = next;
      from = dot + 1;
    }
  return at == nullptr ? "" : json_object_get_string (at);
}

} // namespace programs

#endif
