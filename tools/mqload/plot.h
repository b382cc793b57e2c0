/* Plots as inline SVG.  */

#ifndef MQ_LOAD_PLOT_H
#define MQ_LOAD_PLOT_H

#include <glib.h>

typedef struct load_point
{
  double x;
  double y;
} load_point;

typedef struct load_line
{
  char *name;     /* Owned.  */
  GArray *points; /* of load_point, owned  */
} load_line;

typedef struct load_plot
{
  const char *title;
  const char *x_name;
  const char *y_name;
  GArray *lines; /* of load_line  */
  GArray *marks; /* of double: vertical lines at these x.  */
} load_plot;

void load_plot_init (load_plot *plot, const char *title, const char *x_name,
                     const char *y_name);
void load_plot_finish (load_plot *plot);

/* Add a point to the line NAME, which is made when it is new.  */
void load_plot_add (load_plot *plot, const char *name, double x, double y);

/* Append the plot to HTML; nothing when it has no points.  */
void load_plot_write (const load_plot *plot, GString *html);

/* Append TEXT with the characters that mean something in HTML replaced.  */
void load_html_text (GString *html, const char *text);

#endif
