/* Internal to packages/net: checks of headers that come from outside.  */

#ifndef MQ_INTERNAL_HTTP_HEADER_H
#define MQ_INTERNAL_HTTP_HEADER_H

#include <mq/http_server.h>

#include <stdbool.h>

G_BEGIN_DECLS

/* True when TEXT is a token of HTTP, as methods and header names are.  */
bool mq_http_is_token (mq_span text);

/* True when HEADER can be written as one line and no more: its name is a
   token of HTTP and its value holds no end of line.  */
bool mq_http_header_is_valid (const mq_http_header *header);

/* True when HEADER is called NAME, in whatever case.  */
bool mq_http_header_is (const mq_http_header *header, const char *name);

/* True for a header that concerns one connection only, and is never passed on
   to the next.  */
bool mq_http_header_is_hop_by_hop (const mq_http_header *header);

G_END_DECLS

#endif
