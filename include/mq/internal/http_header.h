/* Internal to packages/net: validation of headers from callers and
   upstreams.  */

#ifndef MQ_INTERNAL_HTTP_HEADER_H
#define MQ_INTERNAL_HTTP_HEADER_H

#include <mq/http_server.h>

#include <stdbool.h>

G_BEGIN_DECLS

/* Returns true if TEXT is an HTTP token, the syntax of methods and header
   names.  */
bool mq_http_is_token (mq_span text);

/* Returns true if HEADER is written as exactly one line: its name is an HTTP
   token, and its value holds no CR, LF or NUL.  */
bool mq_http_header_is_valid (const mq_http_header *header);

/* Returns true if the name of HEADER is NAME, regardless of case.  */
bool mq_http_header_is (const mq_http_header *header, const char *name);

/* Returns true for a hop-by-hop header, which must not be forwarded.  */
bool mq_http_header_is_hop_by_hop (const mq_http_header *header);

G_END_DECLS

#endif
