/* Continuous batching: see engine.h.

   A step runs one position of each stream of its batch.  Streams that become
   ready during a step wait for the next one.  If more streams are ready than
   there are slots, those of the highest priority run first, and among these
   those that have waited longest.

   A pipeline of K stages is fully used by K groups of streams, one at each
   stage.  More and smaller groups would queue behind one another at each
   stage.  The head therefore starts a group towards a next engine only while
   fewer than K groups are pending there.  Streams that become ready meanwhile
   join the next group.

   Steps are timed by a model: a step begins when the previous one has ended
   and the data of its batch is due, and ends after its computed duration,
   however long messages between processes and scheduling took.  A pipeline
   therefore has the timing that its parameters specify as long as handling is
   faster than a step.  */

#include <standin/engine.h>
#include <standin/reference.h>

#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

/* The newest step counts in the moving average with a weight of
   1 / (1 << STEP_AVERAGE_SHIFT).  */
#define STEP_AVERAGE_SHIFT 3
/* The start of a step by the model is at most this far in the past.  */
#define MAX_STEP_LAG_US ((uint64_t)20 * 1000)

static gint
ready_compare (gconstpointer a, gconstpointer b)
{
  const stream *x = *(const stream *const *)a;
  const stream *y = *(const stream *const *)b;

  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  return (x->ready_us > y->ready_us) - (x->ready_us < y->ready_us);
}

/* Return the second stage's engine in the plan of S.  */
static next_hop *
engine_get_next_hop (engine *e, const stream *s)
{
  const char *url = mq_str_cstr (s->plan.stages[1].url);
  next_hop *l = g_hash_table_lookup (e->next_hops, url);

  if (l != NULL)
    return l;
  l = g_new0 (next_hop, 1);
  g_hash_table_insert (e->next_hops, g_strdup (url), l);
  return l;
}

/* Return true if this engine is the head of S and S has further stages.  */
static bool
stream_is_pipeline_head (const stream *s)
{
  return s->exchange != NULL && s->plan.n_stages > 1;
}

/* Return true if S can be part of the next step.  */
static bool
engine_can_run (engine *e, const stream *s)
{
  return !stream_is_pipeline_head (s)
         || engine_get_next_hop (e, s)->groups < s->plan.n_stages;
}

/* Move the streams of the next step from ready to batch.  */
static void
engine_fill_batch (engine *e)
{
  guint slots = (guint)e->options.slots;
  guint kept = 0;

  if (e->ready->len > slots)
    g_ptr_array_sort (e->ready, ready_compare);
  for (guint i = 0; i < e->ready->len; i++)
    {
      stream *s = g_ptr_array_index (e->ready, i);

      if (e->batch->len < slots && engine_can_run (e, s))
        {
          s->ready = false;
          g_ptr_array_add (e->batch, s); /* Moves the reference.  */
        }
      else
        e->ready->pdata[kept++] = s;
    }
  while (e->ready->len > kept)
    g_ptr_array_steal_index_fast (e->ready, e->ready->len - 1);
}

/* Group the head streams of the batch by their next engine.  */
static void
engine_form_groups (engine *e)
{
  GHashTable *groups = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < e->batch->len; i++)
    {
      stream *s = g_ptr_array_index (e->batch, i);
      next_hop *l;

      if (!stream_is_pipeline_head (s))
        continue;
      l = engine_get_next_hop (e, s);
      s->group = g_hash_table_lookup (groups, l);
      if (s->group == NULL)
        {
          s->group = g_new0 (group, 1);
          s->group->next_hop = l;
          l->groups++;
          g_hash_table_insert (groups, l, s->group);
        }
      s->group->pending++;
    }
  g_hash_table_destroy (groups);
}

void
engine_leave_group (stream *s)
{
  group *g = s->group;

  s->group = NULL;
  if (g == NULL || --g->pending > 0)
    return;
  g->next_hop->groups--;
  g_free (g);
}

/* Return the duration of a step with the current batch.  */
static uint64_t
engine_batch_us (engine *e)
{
  const engine_options *o = &e->options;
  double us = o->step_us + (double)o->stream_us * e->batch->len;

  for (guint i = 0; i < e->batch->len; i++)
    {
      stream *s = g_ptr_array_index (e->batch, i);

      us += (double)o->prefill_us * s->prefill;
      s->prefill = 0;
    }
  if (mq_standin_now_us () < e->fault.slow_until_us)
    us *= e->fault.slow_factor;
  return (uint64_t)(us * e->accelerator);
}

/* Run this engine's layers on S and append a receipt.  A fault may leave out a
   layer or falsify the version of the receipt.  */
static void
engine_run_layers (engine *e, stream *s)
{
  const mq_stage *k = &s->plan.stages[s->stage];
  uint32_t end = k->end;
  const char *suffix = "";

  if (fault_consume (&e->fault.wrong_layers))
    end--;
  if (fault_consume (&e->fault.wrong_version))
    suffix = "-wrong";
  s->activation
      = mq_reference_layers (s->activation, e->weights, k->first, end);
  g_string_append_printf (s->receipts, "%s[%u,%u,\"%s%s\"]",
                          s->receipts->len == 0 ? "" : ",", k->first, end,
                          mq_str_cstr (e->version), suffix);
}

/* Send the activation of S to the next stage or, after the last stage, its
   token to the head.  */
static void
engine_forward_stream (engine *e, stream *s)
{
  char text[MQ_REFERENCE_TOKEN_SIZE];
  mq_span token;

  if (s->stage + 1 < s->plan.n_stages)
    {
      engine_queue_step (e, s);
      return;
    }
  token = mq_reference_token (s->activation, text);
  if (s->stage > 0)
    engine_queue_token (e, s, token);
  else
    engine_handle_token (e, s, s->position, token,
                         (mq_span){ s->receipts->str, s->receipts->len });
}

/* The step timer has expired: finish the batch and start the next step.  */
static void
engine_end_step (struct ev_loop *loop, ev_io *watcher, int events)
{
  engine *e = watcher->data;
  GPtrArray *batch = e->batch;
  uint64_t expirations;

  (void)loop;
  (void)events;
  if (read (e->step_fd, &expirations, sizeof expirations) < 0)
    return;
  e->batch = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_unref);
  e->stats.steps++;
  e->stats.items += batch->len;
  for (guint i = 0; i < batch->len; i++)
    {
      stream *s = g_ptr_array_index (batch, i);

      if (s->ended)
        continue;
      if (s->exchange == NULL)
        s->positions++;
      engine_run_layers (e, s);
      s->due_us = e->step_end_us;
      engine_forward_stream (e, s);
    }
  g_ptr_array_unref (batch);
  engine_limit_kv (e);
  engine_flush (e);
  engine_start_step (e);
}

/* Return when the step of the batch begins by the timing model.  */
static uint64_t
engine_step_start (const engine *e, uint64_t now)
{
  uint64_t start = MAX (e->step_end_us, now - MAX_STEP_LAG_US);

  for (guint i = 0; i < e->batch->len; i++)
    start = MAX (start, ((stream *)g_ptr_array_index (e->batch, i))->due_us);
  return start;
}

/* Set the end of the current step to END_US.  */
static void
engine_set_step (engine *e, uint64_t end_us)
{
  struct itimerspec when = { 0 };

  e->step_end_us = end_us;
  when.it_value.tv_sec = (time_t)(end_us / G_USEC_PER_SEC);
  when.it_value.tv_nsec = (long)(end_us % G_USEC_PER_SEC) * 1000;
  timerfd_settime (e->step_fd, TFD_TIMER_ABSTIME, &when, NULL);
}

void
engine_make_ready (engine *e, stream *s)
{
  s->ready = true;
  s->ready_us = mq_standin_now_us ();
  if (s->exchange != NULL)
    g_string_truncate (s->receipts, 0);
  g_ptr_array_add (e->ready, stream_ref (s));
}

void
engine_start_step (engine *e)
{
  uint64_t now = mq_standin_now_us ();
  uint64_t us;

  if (e->batch->len > 0 || e->ready->len == 0)
    return;
  engine_fill_batch (e);
  if (e->batch->len == 0)
    return;
  engine_form_groups (e);
  us = engine_batch_us (e);
  e->step_us = e->step_us + (us >> STEP_AVERAGE_SHIFT)
               - (e->step_us >> STEP_AVERAGE_SHIFT);
  if (now < e->fault.hang_until_us)
    us += e->fault.hang_until_us - now;
  engine_set_step (e, engine_step_start (e, now) + us);
}

void
engine_step_init (engine *e)
{
  e->next_hops
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  e->ready = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_unref);
  e->batch = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_unref);
  e->step_fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  ev_io_init (&e->step, engine_end_step, e->step_fd, EV_READ);
  e->step.data = e;
  ev_io_start (e->loop, &e->step);
  e->step_us = (uint64_t)(e->options.step_us * e->accelerator);
}

void
engine_step_finish (engine *e)
{
  ev_io_stop (e->loop, &e->step);
  close (e->step_fd);
  g_ptr_array_unref (e->ready);
  g_ptr_array_unref (e->batch);
  g_hash_table_destroy (e->next_hops);
}
