/* Sockets of kept connections: see mq/internal/socket_table.h.  */

#include <mq/internal/socket_table.h>

#include <sys/socket.h>

void
mq_socket_table_init (mq_socket_table *table)
{
  table->by_ends = g_hash_table_new (g_str_hash, g_str_equal);
  table->by_fd = g_hash_table_new_full (NULL, NULL, NULL, g_free);
}

void
mq_socket_table_finish (mq_socket_table *table)
{
  g_hash_table_unref (table->by_ends);
  g_hash_table_unref (table->by_fd);
}

/* Free with g_free.  */
static char *
ends_key (const mq_socket_ends *ends)
{
  return g_strdup_printf ("%s %d %s %d", ends->local_ip, ends->local_port,
                          ends->remote_ip, ends->remote_port);
}

void
mq_socket_table_add (mq_socket_table *table, const mq_socket_ends *ends,
                     int fd)
{
  char *key = ends_key (ends);

  mq_socket_table_remove (table, fd);
  mq_socket_table_remove (table, mq_socket_table_find (table, ends));
  g_hash_table_insert (table->by_ends, key, GINT_TO_POINTER (fd));
  g_hash_table_insert (table->by_fd, GINT_TO_POINTER (fd), key);
}

int
mq_socket_table_find (const mq_socket_table *table, const mq_socket_ends *ends)
{
  char *key = ends_key (ends);
  gpointer fd;
  bool found = g_hash_table_lookup_extended (table->by_ends, key, NULL, &fd);

  g_free (key);
  return found ? GPOINTER_TO_INT (fd) : -1;
}

void
mq_socket_table_remove (mq_socket_table *table, int fd)
{
  const char *key = g_hash_table_lookup (table->by_fd, GINT_TO_POINTER (fd));

  if (key == NULL)
    return;
  g_hash_table_remove (table->by_ends, key);
  g_hash_table_remove (table->by_fd, GINT_TO_POINTER (fd));
}

bool
mq_socket_has_input (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
