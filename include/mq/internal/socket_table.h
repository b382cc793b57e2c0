/* Internal to packages/net: the sockets of kept connections by the addresses
   of their ends, by which libcurl names a connection.  */

#ifndef MQ_INTERNAL_SOCKET_TABLE_H
#define MQ_INTERNAL_SOCKET_TABLE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

typedef struct mq_socket_table
{
  GHashTable *by_ends; /* char * -> fd.  */
  GHashTable *by_fd;   /* fd -> char *, owned.  */
} mq_socket_table;

/* The ends of a TCP connection.  The strings are borrowed.  */
typedef struct mq_socket_ends
{
  const char *local_ip;
  const char *remote_ip;
  int local_port;
  int remote_port;
} mq_socket_ends;

void mq_socket_table_init (mq_socket_table *table);
void mq_socket_table_finish (mq_socket_table *table);

/* Adds FD, an open socket, which replaces one of the same ENDS.  */
void mq_socket_table_add (mq_socket_table *table, const mq_socket_ends *ends,
                          int fd);
/* Returns the socket of ENDS, or -1 if there is none.  */
int mq_socket_table_find (const mq_socket_table *table,
                          const mq_socket_ends *ends);
/* Removes FD, which is about to be closed, if it is there.  */
void mq_socket_table_remove (mq_socket_table *table, int fd);

/* Returns true if the peer of FD has sent bytes that were not read.  */
bool mq_socket_has_input (int fd);

G_END_DECLS

#endif
