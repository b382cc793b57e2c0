/* Plots as inline SVG: see plot.h.  */

#include "plot.h"

#include <math.h>
#include <string.h>

#define WIDTH 720.
#define HEIGHT 300.
#define LEFT 64.
#define RIGHT 12.
#define TOP 14.
#define BOTTOM 44.
#define GRID_LINES 5

static const char *const colours[]
    = { "#1b6ca8", "#c44536", "#2f7d4f", "#8a5a9e", "#b8860b", "#444444" };

/* What the axes span.  */
typedef struct plot_area
{
  double x_min;
  double x_max;
  double y_max;
} plot_area;

static void
line_clear (gpointer data)
{
  load_line *l = data;

  g_free (l->name);
  g_array_unref (l->points);
}

void
load_plot_init (load_plot *plot, const char *title, const char *x_name,
                const char *y_name)
{
  plot->title = title;
  plot->x_name = x_name;
  plot->y_name = y_name;
  plot->lines = g_array_new (FALSE, FALSE, sizeof (load_line));
  g_array_set_clear_func (plot->lines, line_clear);
  plot->marks = g_array_new (FALSE, FALSE, sizeof (double));
}

void
load_plot_finish (load_plot *plot)
{
  g_array_unref (plot->lines);
  g_array_unref (plot->marks);
}

void
load_plot_add (load_plot *plot, const char *name, double x, double y)
{
  load_point p = { x, y };
  load_line line;

  for (guint i = 0; i < plot->lines->len; i++)
    {
      load_line *l = &g_array_index (plot->lines, load_line, i);

      if (strcmp (l->name, name) == 0)
        {
          g_array_append_val (l->points, p);
          return;
        }
    }
  line.name = g_strdup (name);
  line.points = g_array_new (FALSE, FALSE, sizeof (load_point));
  g_array_append_val (line.points, p);
  g_array_append_val (plot->lines, line);
}

/* The least of 1, 2 and 5 times a power of ten that is at least VALUE.  */
static double
round_up (double value)
{
  double power;

  if (value <= 0)
    return 1;
  power = pow (10, floor (log10 (value)));
  if (value <= power)
    return power;
  if (value <= 2 * power)
    return 2 * power;
  return value <= 5 * power ? 5 * power : 10 * power;
}

static plot_area
plot_measure (const load_plot *plot)
{
  plot_area a = { G_MAXDOUBLE, -G_MAXDOUBLE, 0 };

  for (guint i = 0; i < plot->lines->len; i++)
    {
      const GArray *points = g_array_index (plot->lines, load_line, i).points;

      for (guint j = 0; j < points->len; j++)
        {
          const load_point *p = &g_array_index (points, load_point, j);

          a.x_min = MIN (a.x_min, p->x);
          a.x_max = MAX (a.x_max, p->x);
          a.y_max = MAX (a.y_max, p->y);
        }
    }
  if (a.x_max <= a.x_min)
    a.x_max = a.x_min + 1;
  a.y_max = round_up (a.y_max);
  return a;
}

static double
to_x (const plot_area *a, double x)
{
  return LEFT
         + (x - a->x_min) / (a->x_max - a->x_min) * (WIDTH - LEFT - RIGHT);
}

static double
to_y (const plot_area *a, double y)
{
  return HEIGHT - BOTTOM - y / a->y_max * (HEIGHT - TOP - BOTTOM);
}

static void
write_grid (const plot_area *a, GString *html)
{
  for (int i = 0; i <= GRID_LINES; i++)
    {
      double y = a->y_max * i / GRID_LINES;
      double x = a->x_min + (a->x_max - a->x_min) * i / GRID_LINES;

      g_string_append_printf (
          html,
          "<line x1='%.0f' x2='%.0f' y1='%.1f' y2='%.1f' stroke='#ddd'/>"
          "<text x='%.0f' y='%.1f' text-anchor='end'>%g</text>"
          "<text x='%.1f' y='%.0f' text-anchor='middle'>%.4g</text>\n",
          LEFT, WIDTH - RIGHT, to_y (a, y), to_y (a, y), LEFT - 6,
          to_y (a, y) + 4, y, to_x (a, x), HEIGHT - BOTTOM + 16, x);
    }
}

static void
write_line (const plot_area *a, const load_line *line, const char *colour,
            GString *html)
{
  g_string_append_printf (
      html, "<polyline fill='none' stroke='%s' stroke-width='1.6' points='",
      colour);
  for (guint i = 0; i < line->points->len; i++)
    {
      const load_point *p = &g_array_index (line->points, load_point, i);

      g_string_append_printf (html, "%.1f,%.1f ", to_x (a, p->x),
                              to_y (a, p->y));
    }
  g_string_append (html, "'/>\n");
  for (guint i = 0; line->points->len <= 20 && i < line->points->len; i++)
    {
      const load_point *p = &g_array_index (line->points, load_point, i);

      g_string_append_printf (html,
                              "<circle cx='%.1f' cy='%.1f' r='3' fill='%s'/>",
                              to_x (a, p->x), to_y (a, p->y), colour);
    }
}

static void
write_legend (const load_plot *plot, GString *html)
{
  g_string_append (html, "<figcaption>");
  load_html_text (html, plot->title);
  for (guint i = 0; i < plot->lines->len; i++)
    {
      g_string_append_printf (html, " <span style='color:%s'>&#9644; ",
                              colours[i % G_N_ELEMENTS (colours)]);
      load_html_text (html, g_array_index (plot->lines, load_line, i).name);
      g_string_append (html, "</span>");
    }
  g_string_append (html, "</figcaption>\n");
}

static void
write_axis_names (const load_plot *plot, GString *html)
{
  g_string_append_printf (html,
                          "<text x='%.0f' y='%.0f' text-anchor='middle'>",
                          WIDTH / 2, HEIGHT - 8);
  load_html_text (html, plot->x_name);
  g_string_append_printf (
      html,
      "</text><text transform='rotate(-90)' x='%.0f' y='14' "
      "text-anchor='middle'>",
      -HEIGHT / 2);
  load_html_text (html, plot->y_name);
  g_string_append (html, "</text>\n");
}

void
load_plot_write (const load_plot *plot, GString *html)
{
  plot_area a = plot_measure (plot);

  if (plot->lines->len == 0)
    return;
  g_string_append (html, "<figure>");
  write_legend (plot, html);
  g_string_append_printf (html, "<svg viewBox='0 0 %.0f %.0f'>\n", WIDTH,
                          HEIGHT);
  write_grid (&a, html);
  write_axis_names (plot, html);
  for (guint i = 0; i < plot->marks->len; i++)
    {
      double x = to_x (&a, g_array_index (plot->marks, double, i));

      g_string_append_printf (html,
                              "<line x1='%.1f' x2='%.1f' y1='%.0f' y2='%.0f' "
                              "stroke='#c44536' stroke-dasharray='4 3'/>\n",
                              x, x, TOP, HEIGHT - BOTTOM);
    }
  for (guint i = 0; i < plot->lines->len; i++)
    write_line (&a, &g_array_index (plot->lines, load_line, i),
                colours[i % G_N_ELEMENTS (colours)], html);
  g_string_append (html, "</svg></figure>\n");
}

void
load_html_text (GString *html, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);

  g_string_append (html, escaped);
  g_free (escaped);
}
