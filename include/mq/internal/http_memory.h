/* Internal to packages/net: the memory of a connection.

   libmicrohttpd gives each connection one block of memory of a fixed size.  At
   the same time it holds the head of the request, a record for each of its
   headers, query arguments and cookies, a copy of the cookies, what was read
   of the next request, and the head of the response.  If the last finds no
   room, libmicrohttpd closes the connection without a response.  A request is
   therefore accepted only if the block has room for a response, and a response
   whose head exceeds that room is replaced (mq/http_server.h).

   The whole block stays resident after the first response, so the size of the
   block bounds the number of connections.  All sizes are in bytes.  */

#ifndef MQ_INTERNAL_HTTP_MEMORY_H
#define MQ_INTERNAL_HTTP_MEMORY_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* What the head of a request takes of the block.  */
typedef struct mq_http_head_size
{
  size_t bytes;        /* From the request line to the empty line.  */
  size_t records;      /* Headers, query arguments and cookies.  */
  size_t cookie_bytes; /* Values of the Cookie headers.  */
} mq_http_head_size;

/* Returns the size of the block of a connection whose requests have heads of
   up to HEAD_LIMIT bytes.  */
size_t mq_http_memory_block_size (size_t head_limit);

/* Returns how large the head of the response to a request with HEAD may be,
   whatever the client sends after it.  BLOCK is the size of the block.  */
size_t mq_http_memory_response_room (size_t block,
                                     const mq_http_head_size *head);

/* Returns true if there is room for the response to a request with HEAD.  */
bool mq_http_memory_admits (size_t block, const mq_http_head_size *head);

/* Returns true if there is room to reject a request with HEAD, if the client
   sends nothing after it.  */
bool mq_http_memory_can_reject (size_t block, const mq_http_head_size *head);

/* Returns what a connection with such a BLOCK takes in all.  */
size_t mq_http_memory_connection_size (size_t block);

/* Returns how many connections with such a BLOCK fit into MEMORY, at least 1.
 */
unsigned mq_http_memory_max_connections (size_t memory, size_t block);

G_END_DECLS

#endif
