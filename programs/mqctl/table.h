/* Text tables whose columns are padded to their widest cell.  Internal to
   mqctl.  */

#ifndef MQ_CTL_TABLE_H
#define MQ_CTL_TABLE_H

#include <glib.h>

typedef struct ctl_table
{
  guint n_columns;
  GPtrArray *cells; /* of char *, row by row  */
} ctl_table;

/* Initialise TABLE with N_COLUMNS headings, which are strings.  */
void ctl_table_init (ctl_table *table, guint n_columns, ...);
void ctl_table_finish (ctl_table *table);

/* Add a row of n_columns strings, which are copied.  */
void ctl_table_add (ctl_table *table, ...);
/* Add one cell; every n_columns cells form a row.  */
void ctl_table_cell (ctl_table *table, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Print TABLE on standard output; all its rows must be complete.  */
void ctl_table_print (const ctl_table *table);

#endif
