/* The lifecycle of a stream at one stage: see engine.h.  */

#include <standin/engine.h>
#include <standin/reference.h>

#include <string.h>

#define KEPT_KV_LIFETIME_US ((uint64_t)5 * 1000 * 1000)

stream *
stream_new (mq_span request, uint32_t attempt)
{
  stream *s = g_new0 (stream, 1);

  s->refs = 1;
  s->request = mq_str_new (request);
  s->attempt = attempt;
  s->key = g_strdup_printf ("%.*s\t%u", MQ_SPAN_ARG (request), attempt);
  s->receipts = g_string_new (NULL);
  mq_plan_init (&s->plan);
  return s;
}

stream *
stream_ref (stream *s)
{
  s->refs++;
  return s;
}

void
stream_unref (stream *s)
{
  if (--s->refs > 0)
    return;
  mq_plan_finish (&s->plan);
  mq_str_unref (s->request);
  g_string_free (s->receipts, TRUE);
  if (s->exchange != NULL)
    mq_http_exchange_unref (s->exchange);
  g_free (s->key);
  g_free (s);
}

bool
fault_consume (int64_t *remaining)
{
  if (*remaining <= 0)
    return false;
  (*remaining)--;
  return true;
}

stream *
engine_find_stream_by_key (engine *e, mq_span key)
{
  char *text = g_strndup (key.data, key.size);
  stream *s = g_hash_table_lookup (e->streams, text);

  g_free (text);
  return s;
}

stream *
engine_find_stream (engine *e, mq_span request, uint32_t attempt)
{
  char *key = g_strdup_printf ("%.*s\t%u", MQ_SPAN_ARG (request), attempt);
  stream *s = g_hash_table_lookup (e->streams, key);

  g_free (key);
  return s;
}

bool
engine_holds_stage (const engine *e, const mq_plan *plan, uint32_t stage)
{
  const mq_stage *k = &plan->stages[stage];

  return !e->loading && stage < plan->n_stages && k->first >= e->first
         && k->end <= e->end && k->first < k->end
         && mq_span_equal (mq_str_span (plan->model), mq_str_span (e->model))
         && mq_span_equal (mq_str_span (plan->version),
                           mq_str_span (e->version));
}

/* Return how many positions of S's prompt and sent tokens need no prefill.  */
static uint32_t
stream_cached_positions (engine *e, const stream *s)
{
  const kept_kv *kept
      = g_hash_table_lookup (e->kept, mq_str_cstr (s->request));
  uint32_t prefix = mq_prefix_cache_use (e->cache, s->prefix);

  if (kept == NULL)
    return MIN (prefix, s->prompt_tokens);
  return s->prompt_tokens + MIN (kept->positions, s->sent_tokens);
}

void
engine_add_stream (engine *e, stream *s)
{
  uint32_t total = s->prompt_tokens + s->sent_tokens;

  s->prefill = total - stream_cached_positions (e, s);
  s->positions = total;
  g_hash_table_remove (e->kept, mq_str_cstr (s->request));
  g_hash_table_replace (e->streams, s->key, s);
  mq_prefix_cache_store (e->cache, mq_standin_now_us (), s->prefix,
                         MIN (s->prompt_tokens, MQ_PREFIX_BYTES / 4));
  e->stats.opened++;
  engine_limit_kv (e);
}

/* Order streams by priority, highest first, then by arrival.  */
static gint
waiting_compare (gconstpointer a, gconstpointer b, gpointer unused)
{
  const stream *x = a;
  const stream *y = b;

  (void)unused;
  if (x->priority != y->priority)
    return x->priority > y->priority ? -1 : 1;
  return x->ready_us < y->ready_us ? -1 : 1;
}

static void
stream_start (engine *e, stream *s)
{
  s->admitted = true;
  e->admitted++;
  s->activation = s->context;
  engine_make_ready (e, s);
}

/* Return true if the head has room for S.  The limit allows a full step at
   each stage.  */
static bool
engine_has_room (const engine *e, const stream *s)
{
  return e->admitted < (uint32_t)e->options.slots * s->plan.n_stages;
}

void
engine_admit (engine *e, stream *s)
{
  s->ready_us = mq_standin_now_us ();
  s->due_us = s->ready_us;
  if (engine_has_room (e, s))
    stream_start (e, s);
  else
    g_queue_insert_sorted (&e->waiting, s, waiting_compare, NULL);
}

/* Start waiting streams as long as there is room.  */
static void
engine_admit_waiting (engine *e)
{
  stream *s;

  while ((s = g_queue_peek_head (&e->waiting)) != NULL
         && engine_has_room (e, s))
    {
      g_queue_pop_head (&e->waiting);
      s->due_us = mq_standin_now_us ();
      stream_start (e, s);
    }
}

static void
engine_save_kv (engine *e, const stream *s)
{
  kept_kv *k = g_new0 (kept_kv, 1);

  k->positions = s->positions - MIN (s->positions, s->prompt_tokens);
  k->context = s->context;
  k->until_us = mq_standin_now_us () + KEPT_KV_LIFETIME_US;
  g_hash_table_replace (e->kept, g_strdup (mq_str_cstr (s->request)), k);
}

void
engine_drop_stream (engine *e, stream *s, bool keep)
{
  if (s->ended)
    return;
  s->ended = true;
  engine_leave_group (s);
  if (keep)
    engine_save_kv (e, s);
  if (s->exchange != NULL && s->admitted)
    e->admitted--;
  else if (s->exchange != NULL)
    g_queue_remove (&e->waiting, s);
  if (s->exchange != NULL)
    mq_http_exchange_set_user (s->exchange, NULL);
  if (s->ready)
    g_ptr_array_remove_fast (e->ready, s);
  if (g_hash_table_steal (e->streams, s->key))
    stream_unref (s);
  engine_admit_waiting (e);
}

void
engine_end_stream (engine *e, stream *s, const char *end, uint32_t stage)
{
  bool lost = strcmp (end, END_STAGE_LOST) == 0;
  GString *line;

  if (s->ended)
    return;
  line = g_string_new (NULL);
  g_string_printf (line, "{\"request\":\"%s\",\"attempt\":%u,\"end\":\"%s\"",
                   mq_str_cstr (s->request), s->attempt, end);
  if (lost)
    g_string_append_printf (line, ",\"stage\":%u", stage);
  g_string_append (line, "}\n");
  mq_http_exchange_write (s->exchange, (mq_span){ line->str, line->len });
  mq_http_exchange_end (s->exchange);
  g_string_free (line, TRUE);
  if (strcmp (end, END_DONE) != 0)
    e->stats.dropped++;
  if (lost)
    e->stats.lost++;
  engine_queue_drop (e, s);
  engine_drop_stream (e, s, lost);
}

void
engine_drop_expired (engine *e)
{
  uint64_t now = mq_standin_now_us ();
  GPtrArray *late
      = g_ptr_array_new_with_free_func ((GDestroyNotify)stream_unref);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, e->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((stream *)value)->deadline_us <= now)
      g_ptr_array_add (late, stream_ref (value));
  for (guint i = 0; i < late->len; i++)
    {
      stream *s = g_ptr_array_index (late, i);

      if (s->exchange != NULL)
        engine_end_stream (e, s, END_DEADLINE, 0);
      else
        engine_drop_stream (e, s, false);
    }
  g_ptr_array_free (late, TRUE);
  g_hash_table_iter_init (&iter, e->kept);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((kept_kv *)value)->until_us <= now)
      g_hash_table_iter_remove (&iter);
  engine_flush (e);
}

uint32_t
engine_kv_used (const engine *e)
{
  uint32_t used = mq_prefix_cache_used (e->cache);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, e->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    used += ((const stream *)value)->positions;
  return used;
}

/* Return the head stream to evict, borrowed: of the lowest priority the one
   with the latest ready time; NULL when there is none.  */
static stream *
engine_find_eviction_victim (engine *e)
{
  stream *victim = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, e->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      stream *s = value;

      if (s->exchange != NULL
          && (victim == NULL || s->priority < victim->priority
              || (s->priority == victim->priority
                  && s->ready_us > victim->ready_us)))
        victim = s;
    }
  return victim;
}

void
engine_limit_kv (engine *e)
{
  uint32_t limit = (uint32_t)e->options.kv_limit;
  uint32_t cached = mq_prefix_cache_used (e->cache);
  uint32_t used = engine_kv_used (e);
  stream *victim;

  if (used <= limit)
    return;
  mq_prefix_cache_shrink (e->cache, mq_standin_now_us (),
                          cached - MIN (cached, used - limit));
  if (engine_kv_used (e) > limit
      && (victim = engine_find_eviction_victim (e)) != NULL)
    engine_end_stream (e, victim, END_EVICTED, 0);
}

/* Write one token of S to the router, under the name REQUEST.  */
static void
stream_write_token (stream *s, mq_str *request, uint32_t position,
                    mq_span text, mq_span receipts)
{
  char line[1024];
  int n = g_snprintf (
      line, sizeof line,
      "{\"request\":\"%s\",\"attempt\":%u,\"p\":%u,\"t\":\"%.*s\",\"s\":["
      "%.*s]}\n",
      mq_str_cstr (request), s->attempt, position, MQ_SPAN_ARG (text),
      MQ_SPAN_ARG (receipts));

  mq_http_exchange_write (s->exchange,
                          (mq_span){ line, MIN ((size_t)n, sizeof line - 1) });
}

/* Return the request of any other stream, borrowed, or of S when there is no
   other.  */
static mq_str *
engine_other_request (engine *e, const stream *s)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, e->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value != s)
      return ((stream *)value)->request;
  return s->request;
}

/* Write the token of S to the router, altered by the injected faults.  */
static void
stream_write_with_faults (engine *e, stream *s, uint32_t position,
                          mq_span text, mq_span receipts)
{
  engine_fault *f = &e->fault;

  if (fault_consume (&f->crossed))
    stream_write_token (s, engine_other_request (e, s), position, text,
                        receipts);
  if (position > s->sent_tokens && fault_consume (&f->late))
    stream_write_token (s, s->request, position - 1, MQ_SPAN ("late "),
                        receipts);
  stream_write_token (s, s->request, position, text, receipts);
  if (fault_consume (&f->doubled))
    stream_write_token (s, s->request, position, text, receipts);
}

void
engine_handle_token (engine *e, stream *s, uint32_t position, mq_span text,
                     mq_span receipts)
{
  if (s->exchange == NULL || s->ready || position != s->position)
    {
      e->stats.unmatched++;
      return;
    }
  engine_leave_group (s);
  if (fault_consume (&e->fault.cut))
    {
      mq_http_exchange_abort (s->exchange);
      engine_queue_drop (e, s);
      engine_drop_stream (e, s, true);
      return;
    }
  stream_write_with_faults (e, s, position, text, receipts);
  e->stats.tokens++;
  s->context = mq_reference_extend (s->context, text);
  s->position++;
  s->positions++;
  if (s->position >= s->max_tokens)
    {
      engine_end_stream (e, s, END_DONE, 0);
      return;
    }
  s->activation = s->context;
  engine_make_ready (e, s);
}
