/* Internal to packages/net: sets up a libcurl request from the options of a
   call.  */

#ifndef MQ_INTERNAL_HTTP_REQUEST_H
#define MQ_INTERNAL_HTTP_REQUEST_H

#include <mq/http_client.h>

#include <curl/curl.h>

G_BEGIN_DECLS

/* Returns true if the method of OPTIONS is empty or an HTTP token and the host
   of its URL is an IP address.  */
bool mq_http_request_is_valid (const mq_http_call_options *options);

/* Sets EASY up for the request of OPTIONS.  Returns the list of headers, which
   the caller must free after EASY.  */
struct curl_slist *mq_http_request_apply (CURL *easy,
                                          const mq_http_call_options *options);

G_END_DECLS

#endif
