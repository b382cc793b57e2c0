/* Plain tables for people: columns padded to their widest cell.
   Internal to mqctl.  */

#ifndef MQ_CTL_TABLE_H
#define MQ_CTL_TABLE_H

#include <glib.h>

typedef struct ctl_table
{
  guint n_columns;
  GPtrArray *cells; /* of char *, row by row  */
} ctl_table;

/* A table whose headings are the N_COLUMNS strings that follow.  */
void ctl_table_init (ctl_table *table, guint n_columns, ...);
void ctl_table_finish (ctl_table *table);

/* Add a row of as many strings; they are copied.  */
void ctl_table_add (ctl_table *table, ...);
/* Add one cell; a row is full after n_columns of them.  */
void ctl_table_cell (ctl_table *table, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

void ctl_table_print (const ctl_table *table);

#endif
