/* Internal to packages/net: checks what the head of a request says about its
   own syntax and the end of its body.

   A sender and a receiver that disagree about where a request ends disagree
   about what the bytes after it are, which may then be taken for a request
   that nobody sent.  So a head that is open to two readings is malformed.  */

#ifndef MQ_INTERNAL_HTTP_FRAMING_H
#define MQ_INTERNAL_HTTP_FRAMING_H

#include <mq/http_server.h>

#include <stdbool.h>

G_BEGIN_DECLS

/* Returns true if the N_HEADERS HEADERS of a request, of HTTP/1.0 if HTTP10,
   have valid names and state the body's end in one way at most: as lengths
   that are decimal and equal, or as a "Transfer-Encoding" that is "chunked",
   which HTTP/1.0 does not have.  */
bool mq_http_framing_is_valid (const mq_http_header *headers, size_t n_headers,
                               bool http10);

G_END_DECLS

#endif
