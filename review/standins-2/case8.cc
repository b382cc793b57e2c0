/* Case 8: a request that is smuggled inside another one is run.  See
   review/8/claim.txt.  */

#include "standins.h"

using namespace review;

namespace
{

/* How the length of the outer request is stated.  */
struct Variant
{
  const char *name;
  std::string framing; /* Header lines.  */
  std::string before;  /* The body before the inner request.  */
};

std::string
common (const std::string &id)
{
  return "Host: api.example\r\nMarjoramquay-Credential: key-1\r\n"
         "Marjoramquay-Time-Budget-Ms: 3000\r\nMarjoramquay-Attempt-Id: "
         + id + "\r\n";
}

std::string
length (size_t n)
{
  return "Content-Length: " + std::to_string (n) + "\r\n";
}

} // namespace

int
main (int argc, char **argv)
{
  Script s (argc > 1 ? argv[1] : "record.txt");
  Engine engine;
  Router *router;
  std::mutex mutex;
  std::vector<std::string> run;
  unsigned smuggled = 0;
  unsigned answered = 0;

  if (!s.store.start (s.ip (1)))
    s.finish (NOT_RUN);
  s.store.put (
      "config", "main",
      configuration (1, route_text ("r-1", "/book/", "unsafe", "app", 3000),
                     plain_service_text ("app")));
  if (!engine.start (
          &s.store, s.ip (100), "i-1", "app", "zone-0", [&] (Request &r) {
            std::lock_guard<std::mutex> l (mutex);
            std::string id = r.header ("marjoramquay-attempt-id");

            RECORD ("the engine runs %s: %s, body of %zu bytes", id.c_str (),
                    r.first.c_str (), r.body.size ());
            run.push_back (id);
            return reply (r.fd, 200, "booked", engine.signed_headers (r));
          }))
    s.finish (NOT_RUN);
  router = s.add_router ("front-0", "zone-0", { s.ip (10) });
  if (router == nullptr || !router->wait_ready (20))
    s.finish (NOT_RUN);
  sleep_s (3);

  std::string end = "0\r\n\r\n";
  std::string inner
      = "POST /book/1 HTTP/1.1\r\n" + common ("inner") + length (0) + "\r\n";
  std::vector<Variant> variants = {
    { "two lengths", length (0) + length (inner.size ()), "" },
    { "a length and chunks",
      length (end.size () + inner.size ()) + "Transfer-Encoding: chunked\r\n",
      end },
    { "a space before the colon",
      "Content-Length : " + std::to_string (inner.size ()) + "\r\n", "" }
  };

  /* Without the disruption: the same body, whose length is stated once.  */
  if (!s.trouble)
    variants = { { "one length", length (inner.size ()), "" } };
  for (auto &v : variants)
    {
      Connection c;
      Answer a;

      {
        std::lock_guard<std::mutex> l (mutex);

        run.clear ();
      }
      if (!c.open (router->front ()))
        s.finish (NOT_RUN);
      RECORD ("a client sends the request \"outer\", with %s", v.name);
      send_all (c.fd, "POST /book/1 HTTP/1.1\r\n" + common ("outer")
                          + v.framing + "\r\n" + v.before + inner);
      a = c.read_answer ();
      answered += a.status > 0;
      RECORD ("it gets status %u", a.status);
      sleep_s (1);
      std::lock_guard<std::mutex> l (mutex);
      /* RULES.md, "UNASKED": an engine runs a request that was smuggled inside
         another one.  */
      for (auto &id : run)
        smuggled += id == "inner";
    }
  RECORD ("%u smuggled requests were run", smuggled);
  if (smuggled == 0 && answered == 0 && !s.trouble)
    s.finish (NOT_RUN);
  s.finish (smuggled > 0 ? BROKEN : HELD);
}
