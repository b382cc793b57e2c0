/* Starts our own programs and speaks HTTP with them, for tests over real
   processes on loopback.

   Every program listens on port 0 and prints `listening=IP:PORT'; it dies
   with the test.  Time limits are generous: they only end a test that would
   hang for ever.  */

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

constexpr int limit_s = 60;

inline std::string
binary (const std::string &name)
{
  const char *folder = getenv ("MQ_BIN");

  return std::string (folder ? folder : "build") + "/" + name;
}

/* Wait until TEST is true; false when it never is.  */
inline bool
eventually (const std::function<bool ()> &test)
{
  auto until
      = std::chrono::steady_clock::now () + std::chrono::seconds (limit_s);

  while (std::chrono::steady_clock::now () < until)
    {
      if (test ())
        return true;
      std::this_thread::sleep_for (std::chrono::milliseconds (5));
    }
  return false;
}

/* A running program of ours.  */
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

  /* IP:PORT that the program printed; empty when it ended instead.  */
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

  void
  kill (int signal)
  {
    if (pid_ > 0)
      ::kill (pid_, signal);
  }

  /* The exit status; -1 when a signal ended it.  */
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

  /* All that the program printed, once it has ended.  */
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

        if (poll (&p, 1, limit_s * 1000) <= 0)
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

/* Run a program to its end.  */
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
  long status = 0; /* 0: no whole answer.  */
  bool whole = false;
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
  /* Called with the body so far after each piece of it.  */
  std::function<void (const std::string &)> progress;
  /* True to hang up, asked with the body so far.  */
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
take_body (char *data, size_t unit, size_t count, void *context)
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
take_header (char *data, size_t unit, size_t count, void *context)
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

/* Make REQUEST and wait for the whole answer.  */
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
  curl_easy_setopt (e, CURLOPT_TIMEOUT, (long)limit_s);
  if (!request.body.empty () || request.method == "POST")
    {
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE, (long)request.body.size ());
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, request.body.c_str ());
    }
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, request.method.c_str ());
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, detail::take_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, &t);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, detail::take_header);
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

/* A folder of its own that is removed at the end.  */
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

/* The text at KEY of the JSON object TEXT; empty when there is none.  Dots
   in KEY go down.  */
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
