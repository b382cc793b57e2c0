/* Paths that fell silent as a whole: their streams go on elsewhere at once,
   before it is known which engine is at fault (mq/path_silence.h).

   One stream stays behind, so that the head still has a request that waits and
   can name the engine (gateway_stall.c); and so do those that have no room
   elsewhere, or no budget of this router's own: all routers see the silence
   within the same few ms.  Nothing new goes to that head until the engine is
   known, or one of its streams is heard again.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

/* How often paths are checked.  A pause of 200 ms makes a stream late; the
   silence takes 70 and a new run's first event 60, so a check should add
   little to these.  */
#define CHECK_S 0.01
#define CHECK_US ((uint64_t)(CHECK_S * 1e6))
/* A head names an engine that died after 0.5 s; then it is put aside.  */
#define SUSPECT_US ((uint64_t)700 * 1000)

/* The paths of one head.  */
typedef struct silence_head
{
  mq_upstream *upstream; /* One reference.  */
  unsigned running;      /* Streams that had an event since they were sent.  */
} silence_head;

static bool
forward_runs (const mq_forward *forward)
{
  return forward->call != NULL && forward->path.n > 0
         && forward->heard_us > forward->sent_us;
}

static void
head_clear (gpointer head)
{
  mq_upstream_unref (((silence_head *)head)->upstream);
}

static silence_head *
heads_add (GArray *heads, mq_upstream *upstream)
{
  silence_head h = { .upstream = upstream };

  for (guint i = 0; i < heads->len; i++)
    if (g_array_index (heads, silence_head, i).upstream == upstream)
      return &g_array_index (heads, silence_head, i);
  (void)mq_upstream_ref (upstream);
  g_array_append_val (heads, h);
  return &g_array_index (heads, silence_head, heads->len - 1);
}

/* The heads of all streams that run: silence_head.  Free with
   g_array_unref.  */
static GArray *
heads_list (const mq_gateway *gateway)
{
  GArray *heads = g_array_new (FALSE, FALSE, sizeof (silence_head));

  g_array_set_clear_func (heads, head_clear);
  for (const GList *l = gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;

      if (forward_runs (f))
        heads_add (heads, f->upstream)->running++;
    }
  return heads;
}

static uint64_t
heads_heard_beside (const GArray *heads, const mq_upstream *upstream)
{
  uint64_t heard = 0;

  for (guint i = 0; i < heads->len; i++)
    {
      const mq_upstream *u = g_array_index (heads, silence_head, i).upstream;

      if (u != upstream)
        heard = MAX (heard, u->activity.heard_us);
    }
  return heard;
}

/* Orders by what is to be read again, the least first.  */
static int
forward_compare_need (gconstpointer a, gconstpointer b)
{
  const mq_forward *x = *(const mq_forward *const *)a;
  const mq_forward *y = *(const mq_forward *const *)b;

  return (x->need > y->need) - (x->need < y->need);
}

/* What is sent through HEAD: mq_forward, borrowed.  */
static GPtrArray *
head_forwards (const mq_gateway *gateway, const mq_upstream *head)
{
  GPtrArray *list = g_ptr_array_new ();

  for (const GList *l = gateway->forwards.head; l != NULL; l = l->next)
    {
      mq_forward *f = l->data;

      if (f->call != NULL && f->path.n > 0 && f->upstream == head)
        g_ptr_array_add (list, f);
    }
  return list;
}

/* Move the streams of HEAD, but for the largest of those that run.  All read
   their prompts again at once, one after another, so the small ones go first:
   most of them then go on in time.  */
static void
head_move_streams (mq_gateway *gateway, const mq_upstream *head,
                   uint64_t now_us)
{
  GPtrArray *list = head_forwards (gateway, head);
  const mq_forward *stays = NULL;
  unsigned moved = 0;

  g_ptr_array_sort (list, forward_compare_need);
  for (guint i = 0; i < list->len; i++)
    if (forward_runs (g_ptr_array_index (list, i)))
      stays = g_ptr_array_index (list, i);
  for (guint i = 0; i < list->len; i++)
    {
      mq_forward *f = g_ptr_array_index (list, i);

      if (f == stays || !mq_gateway_has_part (gateway, f->service, now_us)
          || !mq_forward_can_move (f, now_us))
        continue;
      moved++;
      mq_forward_send_ended (f, MQ_SEND_SILENT, 0, "path-silent");
    }
  g_ptr_array_unref (list);
  mq_log (G_LOG_LEVEL_INFO, "path.moved", "head=%s streams=%u",
          mq_str_cstr (head->facts.id), moved);
}

static void
head_check (mq_gateway *gateway, const GArray *heads, silence_head *head,
            uint64_t now_us)
{
  mq_upstream *u = head->upstream;
  uint64_t elsewhere = heads_heard_beside (heads, u);

  if (now_us < u->suspect_until_us)
    {
      if (u->activity.heard_us > u->suspect_since_us)
        u->suspect_until_us = 0;
      return;
    }
  if (!mq_path_is_silent (&u->activity, head->running, elsewhere,
                          &gateway->monitor, now_us))
    return;
  mq_log (G_LOG_LEVEL_WARNING, "path.silent",
          "head=%s silent_ms=%" G_GUINT64_FORMAT " gap_ms=%" G_GUINT64_FORMAT
          " streams=%u",
          mq_str_cstr (u->facts.id), (now_us - u->activity.heard_us) / 1000,
          u->activity.longest_gap_us / 1000, head->running);
  gateway->monitor.moved_us = now_us;
  u->suspect_since_us = now_us;
  u->suspect_until_us = now_us + SUSPECT_US;
  head_move_streams (gateway, u, now_us);
}

static void
on_check (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_gateway *g = timer->data;
  uint64_t now = mq_gateway_now_us ();
  GArray *heads = heads_list (g);

  (void)loop;
  (void)revents;
  mq_path_monitor_check (&g->monitor, CHECK_US, now);
  for (guint i = 0; i < heads->len; i++)
    head_check (g, heads, &g_array_index (heads, silence_head, i), now);
  g_array_unref (heads);
}

void
mq_silence_start (mq_gateway *gateway)
{
  ev_timer_init (&gateway->silence_timer, on_check, CHECK_S, CHECK_S);
  gateway->silence_timer.data = gateway;
  ev_timer_start (gateway->loop, &gateway->silence_timer);
}

void
mq_silence_stop (mq_gateway *gateway)
{
  ev_timer_stop (gateway->loop, &gateway->silence_timer);
}
