/* Internal to packages/net: how the options of a call become a request of
   libcurl.  */

#ifndef MQ_INTERNAL_HTTP_REQUEST_H
#define MQ_INTERNAL_HTTP_REQUEST_H

#include <mq/http_client.h>

#include <curl/curl.h>

G_BEGIN_DECLS

/* True when the method of OPTIONS is a token of HTTP and the host of its URL
   an IP number.  */
bool mq_http_request_is_valid (const mq_http_call_options *options);

/* Set EASY up for the request that OPTIONS describe.  The list returned, which
   may be NULL, is the caller's to free once EASY is done.  */
struct curl_slist *mq_http_request_apply (CURL *easy,
                                          const mq_http_call_options *options);

G_END_DECLS

#endif
