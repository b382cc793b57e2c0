/* Continuous batching: see engine.h.

   A step runs one position of each stream of its batch.  Whatever becomes
   ready meanwhile waits for the next step.  Where more streams are ready
   than slots, those of high priority go first, then those that wait
   longest.  */

#include <standin/engine.h>
#include <standin/reference.h>

#include <string.h>

/* Weight of the newest step in the average, as a shift.  */
#define AVERAGE_SHIFT 3

static gint
ready_compare (gconstpointer a, gconstpointer b)
{
  const stream *x = *(const stream *const *)a;
  const stream *y = *(const stream *const *)b;

  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  return (x->ready_us > y->ready_us) - (x->ready_us < y->ready_us);
}

/* Move what the next step runs from ready to batch.  */
static void
engine_fill_batch (engine *e)
{
  guint slots = (guint)e->options.slots;

  if (e->ready->len > slots)
    g_ptr_array_sort (e->ready, ready_compare);
  for (guint i = 0; i < e->ready->len && i < slots; i++)
    {
      stream *s = g_ptr_array_index (e->ready, i);

      s->ready = false;
      g_ptr_array_add (e->batch, stream_ref (s));
    }
  if (e->batch->len > 0)
    g_ptr_array_remove_range (e->ready, 0, e->batch->len);
}

/* The time that the batch takes.  */
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
  if (mq_stand_now_us () < e->fault.slow_until_us)
    us *= e->fault.slow_factor;
  return (uint64_t)(us * e->accelerator);
}

/* Append this engine's receipt to S's, after running its layers; a fault may
   have it leave out a layer or claim another version.  */
static void
engine_run_layers (engine *e, stream *s)
{
  const mq_stage *k = &s->plan.stages[s->stage];
  uint32_t end = k->end;
  const char *suffix = "";

  if (fault_strikes (&e->fault.wrong_layers))
    end--;
  if (fault_strikes (&e->fault.wrong_version))
    suffix = "-wrong";
  s->activation
      = mq_reference_layers (s->activation, e->weights, k->first, end);
  g_string_append_printf (s->receipts, "%s[%u,%u,\"%s%s\"]",
                          s->receipts->len == 0 ? "" : ",", k->first, end,
                          mq_str_cstr (e->version), suffix);
}

/* Hand what S has now to the next stage, or the token to the head.  */
static void
engine_pass_on (engine *e, stream *s)
{
  char text[MQ_REFERENCE_TOKEN_SIZE];
  mq_span token;

  if (s->stage + 1 < s->plan.n_stages)
    {
      engine_tell_step (e, s);
      return;
    }
  token = mq_reference_token (s->activation, text);
  if (s->stage > 0)
    engine_tell_token (e, s, token);
  else
    engine_take_token (e, s, s->position, token,
                       (mq_span){ s->receipts->str, s->receipts->len });
}

static void
engine_end_step (struct ev_loop *loop, ev_timer *timer, int events)
{
  engine *e = timer->data;
  GPtrArray *batch = e->batch;

  (void)loop;
  (void)events;
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
      engine_pass_on (e, s);
    }
  g_ptr_array_unref (batch);
  engine_limit_kv (e);
  engine_flush (e);
  engine_start_step (e);
}

void
engine_make_ready (engine *e, stream *s)
{
  s->ready = true;
  s->ready_us = mq_stand_now_us ();
  if (s->exchange != NULL)
    g_string_truncate (s->receipts, 0);
  g_ptr_array_add (e->ready, stream_ref (s));
}

void
engine_start_step (engine *e)
{
  uint64_t now = mq_stand_now_us ();
  uint64_t us;

  /* Not ev_is_active: libev stops a timer some callbacks before its own.  */
  if (e->batch->len > 0 || e->ready->len == 0)
    return;
  engine_fill_batch (e);
  us = engine_batch_us (e);
  e->step_us
      = e->step_us + (us >> AVERAGE_SHIFT) - (e->step_us >> AVERAGE_SHIFT);
  if (now < e->fault.hang_until_us)
    us += e->fault.hang_until_us - now;
  ev_now_update (e->loop);
  ev_timer_set (&e->step, (double)us / 1e6, 0.);
  ev_timer_start (e->loop, &e->step);
}

void
engine_step_init (engine *e)
{
  e->ready = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_unref);
  e->batch = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_unref);
  ev_timer_init (&e->step, engine_end_step, 0., 0.);
  e->step.data = e;
  e->step_us = (uint64_t)(e->options.step_us * e->accelerator);
}

void
engine_step_finish (engine *e)
{
  ev_timer_stop (e->loop, &e->step);
  g_ptr_array_unref (e->ready);
  g_ptr_array_unref (e->batch);
}
