/* Numeric IPv4 socket addresses in text.  */

#ifndef MQ_INTERNAL_SOCKET_ADDRESS_H
#define MQ_INTERNAL_SOCKET_ADDRESS_H

#include <glib.h>
#include <mq/str.h>
#include <netinet/in.h>

G_BEGIN_DECLS

/* Set ADDRESS to what TEXT says, IP:PORT.  Returns 0, or -1 if TEXT is
   something else or the port is 0.  */
int mq_socket_address_parse (mq_span text, struct sockaddr_in *address);

G_END_DECLS

#endif
