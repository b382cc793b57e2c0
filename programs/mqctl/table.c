/* Text tables: see table.h.  */

#include "table.h"

#include <stdarg.h>
#include <stdio.h>

#define COLUMN_GAP "  "

static const char *
table_at (const ctl_table *t, guint row, guint column)
{
  return g_ptr_array_index (t->cells, row * t->n_columns + column);
}

static void
table_add_row (ctl_table *t, va_list cells)
{
  for (guint i = 0; i < t->n_columns; i++)
    g_ptr_array_add (t->cells, g_strdup (va_arg (cells, const char *)));
}

static int
table_width (const ctl_table *t, guint column)
{
  glong widest = 0;

  for (guint row = 0; row < t->cells->len / t->n_columns; row++)
    widest = MAX (widest, g_utf8_strlen (table_at (t, row, column), -1));
  return (int)widest;
}

void
ctl_table_init (ctl_table *table, guint n_columns, ...)
{
  va_list headings;

  table->n_columns = n_columns;
  table->cells = g_ptr_array_new_with_free_func (g_free);
  va_start (headings, n_columns);
  table_add_row (table, headings);
  va_end (headings);
}

void
ctl_table_finish (ctl_table *table)
{
  g_ptr_array_unref (table->cells);
}

void
ctl_table_add (ctl_table *table, ...)
{
  va_list cells;

  va_start (cells, table);
  table_add_row (table, cells);
  va_end (cells);
}

void
ctl_table_cell (ctl_table *table, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (table->cells, g_strdup_vprintf (format, args));
  va_end (args);
}

void
ctl_table_print (const ctl_table *table)
{
  guint rows = table->cells->len / table->n_columns;

  for (guint row = 0; row < rows; row++)
    {
      for (guint i = 0; i + 1 < table->n_columns; i++)
        {
          const char *cell = table_at (table, row, i);
          int pad = table_width (table, i) - (int)g_utf8_strlen (cell, -1);

          printf ("%s%*s" COLUMN_GAP, cell, pad, "");
        }
      printf ("%s\n", table_at (table, row, table->n_columns - 1));
    }
}
