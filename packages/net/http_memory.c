/* The memory of a connection: see mq/internal/http_memory.h.

   Half of the block is kept for reading: libmicrohttpd reads up to that much
   at once, so that the first bytes of the next request may fill what the head
   leaves of it.  The other half is for the records and the response.  */

#include <mq/internal/http_memory.h>

/* The block in units of the largest head, which takes half of the reading
   half.  */
#define BLOCK_HEADS 4
/* The part of the block that is kept for the head of a response, so that the
   records may take three times as much.  */
#define RESPONSE_SHARE 8
/* libmicrohttpd's record of a header, query argument or cookie.  */
#define RECORD_BYTES 64
/* Other parts of the block, each rounded up by less than this.  */
#define ROUNDING_BYTES 64
/* The part of the block that libmicrohttpd may read beyond a head that exceeds
   the reading half.  */
#define GROWTH_SHARE 8
/* The head of a response that rejects a request.  */
#define REJECTION_BYTES 1024
/* What a connection takes besides its block.  */
#define CONNECTION_BYTES 3072

static size_t
records_size (const mq_http_head_size *head)
{
  return head->records * RECORD_BYTES + head->cookie_bytes + ROUNDING_BYTES;
}

size_t
mq_http_memory_block_size (size_t head_limit)
{
  return head_limit * BLOCK_HEADS;
}

size_t
mq_http_memory_response_room (size_t block, const mq_http_head_size *head)
{
  size_t used = records_size (head);

  if (head->bytes <= block / 2)
    used += block / 2;
  else
    used += head->bytes + block / GROWTH_SHARE;
  return used < block ? block - used : 0;
}

bool
mq_http_memory_admits (size_t block, const mq_http_head_size *head)
{
  return mq_http_memory_response_room (block, head) >= block / RESPONSE_SHARE;
}

bool
mq_http_memory_can_reject (size_t block, const mq_http_head_size *head)
{
  return head->bytes + records_size (head) + REJECTION_BYTES <= block;
}

size_t
mq_http_memory_connection_size (size_t block)
{
  return block + CONNECTION_BYTES;
}

unsigned
mq_http_memory_max_connections (size_t memory, size_t block)
{
  size_t n = memory / mq_http_memory_connection_size (block);

  return (unsigned)CLAMP (n, 1, G_MAXUINT);
}
