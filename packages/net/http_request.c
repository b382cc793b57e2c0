/* Sets up libcurl requests: see mq/internal/http_request.h.

   libcurl controls the framing of the message and the connection, so the
   user's headers for these are ignored.  */

#include <mq/internal/http_request.h>

#include <mq/internal/http_header.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define DEFAULT_CONNECT_TIMEOUT_MS 1000
/* libcurl drops the time limit of a call that expires less than a millisecond
   after that of its connection.  Where they are this close, both get the same
   value.  */
#define MIN_LIMIT_DIFFERENCE_MS 10
/* Keepalive probes within the time that a connection may stay without an
   acknowledgement.  The system counts in whole seconds.  */
#define MAX_KEEPALIVE_PROBES 2
#define MS_PER_S 1000

/* Returns true for a header that libcurl or this file sets.  */
static bool
request_sets_header (const mq_http_header *header)
{
  return mq_http_header_is (header, "Content-Length")
         || mq_http_header_is (header, "Transfer-Encoding")
         || mq_http_header_is (header, "Expect")
         || mq_http_header_is (header, "Connection");
}

static struct curl_slist *
request_add_header (struct curl_slist *list, const mq_http_header *header)
{
  GString *line
      = g_string_new_len (header->name.data, (gssize)header->name.size);

  /* libcurl's syntax for a header without a value.  */
  g_string_append (line, header->value.size == 0 ? ";" : ": ");
  g_string_append_len (line, header->value.data, (gssize)header->value.size);
  list = curl_slist_append (list, line->str);
  g_string_free (line, TRUE);
  return list;
}

static struct curl_slist *
request_headers (const mq_http_call_options *options)
{
  struct curl_slist *list = NULL;
  bool has_content_type = false;

  for (size_t i = 0; i < options->n_headers; i++)
    {
      const mq_http_header *h = &options->headers[i];

      if (request_sets_header (h) || !mq_http_header_is_valid (h))
        continue;
      has_content_type
          = has_content_type || mq_http_header_is (h, "Content-Type");
      list = request_add_header (list, h);
    }
  /* A name without a value removes a default header of libcurl.  */
  if (!has_content_type)
    list = curl_slist_append (list, "Content-Type:");
  list = curl_slist_append (list, "Expect:");
  if (options->once)
    list = curl_slist_append (list, "Connection: close");
  return list;
}

static void
request_set_body (CURL *easy, const mq_http_call_options *options)
{
  mq_span body = options->body;

  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body.size);
  curl_easy_setopt (
      easy, options->body_stays ? CURLOPT_POSTFIELDS : CURLOPT_COPYPOSTFIELDS,
      body.size == 0 ? "" : body.data);
}

/* Returns true for a method whose requests usually have no body.  */
static bool
request_method_omits_body (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "DELETE") == 0
         || strcmp (method, "OPTIONS") == 0;
}

static void
request_set_method (CURL *easy, const mq_http_call_options *options)
{
  char *method = options->method.size == 0
                     ? g_strdup ("GET")
                     : g_strndup (options->method.data, options->method.size);

  if (strcmp (method, "HEAD") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      g_free (method);
      return;
    }
  if (options->body.size > 0 || !request_method_omits_body (method))
    request_set_body (easy, options);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  g_free (method);
}

static bool
request_host_is_ip (char *host)
{
  unsigned char address[sizeof (struct in6_addr)];
  size_t size = strlen (host);

  if (host[0] != '[')
    return inet_pton (AF_INET, host, address) == 1;
  if (host[size - 1] != ']')
    return false;
  host[size - 1] = '\0';
  return inet_pton (AF_INET6, host + 1, address) == 1;
}

/* Returns true if the host of URL is an IP address.  For a host name, libcurl
   would start a thread for its resolution.  */
static bool
request_url_has_ip (mq_span url)
{
  char *text = g_strndup (url.data, url.size);
  CURLU *u = curl_url ();
  char *host = NULL;
  bool r = false;

  if (curl_url_set (u, CURLUPART_URL, text, 0) == CURLUE_OK
      && curl_url_get (u, CURLUPART_HOST, &host, 0) == CURLUE_OK)
    r = request_host_is_ip (host);
  curl_free (host);
  curl_url_cleanup (u);
  g_free (text);
  return r;
}

/* Socket option callback of libcurl: enable keepalive probes and a timeout for
   unacknowledged data, so that a dead connection is detected while it waits
   for a response.  CLIENT holds the limit in milliseconds.  */
static int
request_on_socket (void *client, curl_socket_t socket, curlsocktype purpose)
{
  int ms = GPOINTER_TO_INT (client);
  int on = 1;
  int each = MAX (ms / MS_PER_S / MAX_KEEPALIVE_PROBES, 1);
  int probes = MAX_KEEPALIVE_PROBES;

  (void)purpose;
  /* Errors are ignored: the call's own timeout still ends it.  */
  (void)setsockopt (socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  (void)setsockopt (socket, IPPROTO_TCP, TCP_KEEPIDLE, &each, sizeof each);
  (void)setsockopt (socket, IPPROTO_TCP, TCP_KEEPINTVL, &each, sizeof each);
  (void)setsockopt (socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  (void)setsockopt (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  return CURL_SOCKOPT_OK;
}

/* Proxies are never taken from the environment.  */
static void
request_set_tunnel (CURL *easy, mq_span tunnel)
{
  char *proxy = tunnel.size == 0
                    ? g_strdup ("")
                    : g_strdup_printf ("http://%.*s", MQ_SPAN_ARG (tunnel));

  curl_easy_setopt (easy, CURLOPT_PROXY, proxy);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "");
  g_free (proxy);
  if (tunnel.size == 0)
    return;
  curl_easy_setopt (easy, CURLOPT_HTTPPROXYTUNNEL, 1L);
  /* The tunnel server gets none of the request's headers.  */
  curl_easy_setopt (easy, CURLOPT_HEADEROPT, (long)CURLHEADER_SEPARATE);
}

bool
mq_http_request_is_valid (const mq_http_call_options *options)
{
  return (options->method.size == 0 || mq_http_is_token (options->method))
         && request_url_has_ip (options->url);
}

/* Returns the time limit of the connection, in ms.  */
static uint64_t
request_connect_ms (const mq_http_call_options *options)
{
  uint64_t ms = options->connect_ms == 0 ? DEFAULT_CONNECT_TIMEOUT_MS
                                         : options->connect_ms;

  return options->timeout_ms > 0
                 && options->timeout_ms < ms + MIN_LIMIT_DIFFERENCE_MS
             ? options->timeout_ms
             : ms;
}

struct curl_slist *
mq_http_request_apply (CURL *easy, const mq_http_call_options *options)
{
  struct curl_slist *headers = request_headers (options);
  char *url = g_strndup (options->url.data, options->url.size);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  g_free (url);
  if (options->target.size > 0)
    {
      char *target = g_strndup (options->target.data, options->target.size);

      curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, target);
      g_free (target);
    }
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  request_set_tunnel (easy, options->tunnel);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)request_connect_ms (options));
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  request_set_method (easy, options);
  if (options->unacknowledged_limit_ms > 0)
    {
      curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, request_on_socket);
      curl_easy_setopt (
          easy, CURLOPT_SOCKOPTDATA,
          GINT_TO_POINTER ((int)options->unacknowledged_limit_ms));
    }
  if (options->once)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  return headers;
}
