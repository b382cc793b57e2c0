/* Numeric IPv4 socket addresses: see mq/internal/socket_address.h.  */

#include <mq/internal/socket_address.h>

#include <arpa/inet.h>
#include <string.h>

int
mq_socket_address_parse (mq_span text, struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN];
  const char *colon
      = text.size > 0 ? memchr (text.data, ':', text.size) : NULL;
  size_t n = colon != NULL ? (size_t)(colon - text.data) : 0;
  uint64_t port;

  if (n == 0 || n >= sizeof host
      || mq_span_to_u64 ((mq_span){ colon + 1, text.size - n - 1 }, &port) < 0
      || port == 0 || port > UINT16_MAX)
    return -1;
  memcpy (host, text.data, n);
  host[n] = '\0';
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1 ? 0 : -1;
}
