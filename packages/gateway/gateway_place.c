/* Where a request goes: an instance of a plain service, or a path of engines
   in one failure domain.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>
#include <string.h>

/* Ways to serve a request that are weighed, and of these in one domain.  */
#define MAX_PATHS 64
#define MAX_CHAINS 8

/* When an upstream should be back: a restart takes some seconds, a repair of
   a chain two.  */
#define NONE_RETRY_MS 1000

/* A client that has this much less time than its route gives has been here
   before; the way from a client takes some ms.  */
#define RETRY_MARGIN_MS 400

/* How long a request waits while prompts are read that came before.  Hundreds
   that come at once are read within a second; after that it is better to go
   than to be refused.  */
#define PREFILL_WAIT_US ((uint64_t)1000 * 1000)

/* ---- Plain services.  */

static bool
forward_has_tried (const mq_forward *forward, const mq_upstream *upstream)
{
  return g_ptr_array_find (forward->tried, upstream, NULL);
}

/* How little A is wanted: lower is better.  */
static uint64_t
instance_cost (mq_forward *forward, const mq_upstream *upstream,
               uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  bool far = !mq_span_equal (mq_str_span (upstream->facts.domain),
                             mq_str_span (g->settings->failure_domain));

  return ((uint64_t)forward_has_tried (forward, upstream) << 48)
         + ((uint64_t)!mq_upstream_is_usable (upstream, now_us) << 40)
         + ((uint64_t)upstream->in_flight << 20) + ((uint64_t)far << 16)
         + (mq_gateway_random (g) & 0xffff);
}

/* The best of GROUP where it costs less than *LEAST, which then changes.  */
static mq_upstream *
place_in_group (mq_forward *forward, const mq_upstream_group *group,
                uint64_t now_us, uint64_t *least)
{
  mq_upstream *best = NULL;

  for (guint i = 0; i < group->upstreams->len; i++)
    {
      mq_upstream *u = g_ptr_array_index (group->upstreams, i);
      uint64_t cost;

      if (u->facts.draining)
        continue;
      cost = instance_cost (forward, u, now_us);
      if (cost >= *least)
        continue;
      *least = cost;
      best = u;
    }
  return best;
}

/* The instance that FORWARD should go to, or NULL.  One that is ejected is
   better than none; one that is draining is not.  */
static mq_upstream *
place_instance (mq_forward *forward, uint64_t now_us)
{
  const GPtrArray *groups = mq_registry_groups (
      &forward->gateway->registry, mq_str_span (forward->service->name));
  mq_upstream *best = NULL;
  uint64_t least = UINT64_MAX;

  for (guint i = 0; groups != NULL && i < groups->len; i++)
    {
      mq_upstream *u = place_in_group (forward, g_ptr_array_index (groups, i),
                                       now_us, &least);

      if (u != NULL)
        best = u;
    }
  return best;
}

/* ---- Layered models.  */

static mq_path_load *
path_load (mq_gateway *gateway, const char *key)
{
  mq_path_load *load = g_hash_table_lookup (gateway->paths, key);

  if (load == NULL)
    {
      load = g_new0 (mq_path_load, 1);
      g_hash_table_insert (gateway->paths, g_strdup (key), load);
    }
  return load;
}

/* What is in flight is counted under "service domain", or, where a domain is
   to have several paths, "service domain head"; free with g_free.  */
static char *
path_key (const mq_route_service *service, mq_span domain,
          const mq_layer_path *path, bool alone)
{
  if (alone)
    return g_strdup_printf ("%s %.*s", mq_str_cstr (service->name),
                            MQ_SPAN_ARG (domain));
  return g_strdup_printf ("%s %.*s %s", mq_str_cstr (service->name),
                          MQ_SPAN_ARG (domain),
                          mq_str_cstr (path->stages[0].upstream->facts.id));
}

/* A path that could serve a request.  */
typedef struct path_candidate
{
  mq_layer_path path;
  char *key; /* Of what is in flight on it, owned.  */
} path_candidate;

static void
candidate_finish (path_candidate *candidate)
{
  mq_layer_path_finish (&candidate->path);
  g_free (candidate->key);
}

static mq_domain_choice
choice_of (mq_forward *forward, const path_candidate *candidate,
           mq_span domain, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  const mq_path_load *load = path_load (g, candidate->key);

  return (mq_domain_choice){
    .domain = domain,
    .capacity = candidate->path.tokens,
    .used = load->tokens
            + mq_cluster_tokens (&g->cluster,
                                 mq_span_hash (mq_span_from (candidate->key)),
                                 now_us),
    /* Prompts are read within less than the age of others' news; but what
       brings many at once to this router brings them to all.  */
    .prefill_queue_ms = load->reading * candidate->path.prefill_token_ms
                        * mq_gateway_shares (g, forward->service, now_us),
    .prefill_ms = forward->prompt * candidate->path.prefill_token_ms,
    .step_ms = candidate->path.step_ms,
    .tried = forward_has_tried (forward, candidate->path.stages[0].upstream),
    .local = mq_span_equal (domain, mq_str_span (g->settings->failure_domain))
  };
}

mq_domain_rank
mq_forward_rank (const mq_forward *forward)
{
  uint64_t left_ms = (forward->state.deadline_us - forward->started_us) / 1000;

  if (forward->state.response_started)
    return MQ_DOMAIN_STARTED;
  /* A retry has less time than its route gives.  */
  return left_ms + RETRY_MARGIN_MS < forward->route->timeout_ms
             ? MQ_DOMAIN_RETRY
             : MQ_DOMAIN_NEW;
}

bool
mq_forward_may_wait_for_prefill (const mq_forward *forward, uint64_t now_us)
{
  uint64_t since = forward->state.response_started ? forward->received_us
                                                   : forward->started_us;

  return now_us - since < PREFILL_WAIT_US;
}

static mq_domain_request
forward_request (const mq_forward *forward, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;

  return (mq_domain_request){
    .need = forward->need,
    .rank = mq_forward_rank (forward),
    .target_ms = mq_forward_may_wait_for_prefill (forward, now_us)
                     ? forward->route->target_ms
                     : 0,
    .age_ms = mq_cluster_counts_age_ms (&g->cluster, now_us),
    .random = mq_gateway_random (g)
  };
}

/* May FORWARD go to HEAD, as far as that is known by itself?  */
static bool
forward_may_go (const mq_forward *forward, mq_upstream *head, uint64_t now_us)
{
  if (!forward->state.response_started && now_us < head->saturated_until_us)
    return false;
  return !mq_forward_must_reuse_upstream (&forward->state)
         || g_ptr_array_find (forward->ran, head, NULL);
}

/* The candidates to serve FORWARD in DOMAIN, into CANDIDATES and CHOICES,
   which have room for MAX_CHAINS.  Returns how many.  */
static size_t
candidates_list_domain (mq_forward *forward, mq_span domain, uint64_t now_us,
                        path_candidate *candidates, mq_domain_choice *choices)
{
  mq_registry *registry = &forward->gateway->registry;
  mq_layer_path paths[MAX_CHAINS];
  unsigned wanted
      = MIN (mq_layer_path_target_count (registry, forward->service, domain),
             MAX_CHAINS);
  size_t found = mq_layer_path_find_all (paths, wanted, registry,
                                         forward->service, domain, now_us);
  size_t n = 0;

  for (size_t i = 0; i < found; i++)
    {
      if (!forward_may_go (forward, paths[i].stages[0].upstream, now_us))
        {
          mq_layer_path_finish (&paths[i]);
          continue;
        }
      candidates[n].path = paths[i];
      candidates[n].key
          = path_key (forward->service, domain, &paths[i], wanted == 1);
      choices[n] = choice_of (forward, &candidates[n], domain, now_us);
      n++;
    }
  return n;
}

/* The candidates to serve FORWARD now, into CANDIDATES and CHOICES, which have
   room for MAX_PATHS.  Returns how many; the candidates are then the caller's.
 */
static size_t
candidates_list (mq_forward *forward, uint64_t now_us,
                 path_candidate *candidates, mq_domain_choice *choices)
{
  const GPtrArray *groups = mq_registry_groups (
      &forward->gateway->registry, mq_str_span (forward->service->name));
  size_t n = 0;

  for (guint i = 0;
       groups != NULL && i < groups->len && n + MAX_CHAINS <= MAX_PATHS; i++)
    {
      const mq_upstream_group *g = g_ptr_array_index (groups, i);

      n += candidates_list_domain (forward, mq_str_span (g->domain), now_us,
                                   &candidates[n], &choices[n]);
    }
  return n;
}

/* Take CANDIDATE, which CHOICE tells of, for FORWARD.  */
static void
place_take (mq_forward *forward, const path_candidate *candidate,
            const mq_domain_choice *choice, uint64_t now_us)
{
  mq_layer_path_copy (&forward->path, &candidate->path);
  for (unsigned i = 0; i < candidate->path.n; i++)
    candidate->path.stages[i].upstream->last_used_us = now_us;
  forward->used = choice->used;
  forward->reading = forward->prompt;
  forward->path_load = path_load (forward->gateway, candidate->key);
  forward->path_load->tokens += forward->need;
  forward->path_load->reading += forward->reading;
}

/* Note what FORWARD could not be placed in.  */
static void
place_tell_choices (mq_forward *forward, const mq_domain_choice *choices,
                    size_t n)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < n; i++)
    g_string_append_printf (text, "%s%.*s:%.0f/%.0f", i > 0 ? "," : "",
                            MQ_SPAN_ARG (choices[i].domain), choices[i].used,
                            choices[i].capacity);
  mq_log_buffer_append (&forward->story, G_LOG_LEVEL_INFO, "request.no-room",
                        "request=%.*s need=%.0f domains=%s",
                        MQ_SPAN_ARG (forward->id), forward->need,
                        n > 0 ? text->str : "none");
  g_string_free (text, TRUE);
}

static mq_placing
place_path (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_domain_choice choices[MAX_PATHS];
  path_candidate *candidates = g_new0 (path_candidate, MAX_PATHS);
  size_t n = candidates_list (forward, now_us, candidates, choices);
  mq_domain_request request = forward_request (forward, now_us);
  int chosen = mq_domain_choose (choices, n, &request);

  if (chosen >= 0)
    place_take (forward, &candidates[chosen], &choices[chosen], now_us);
  else
    {
      *retry_ms = mq_domain_retry_after_ms (
          (forward->state.deadline_us - now_us) / 1000,
          mq_gateway_random (forward->gateway));
      if (!forward->state.response_started && !forward->waits)
        place_tell_choices (forward, choices, n);
    }
  for (size_t i = 0; i < n; i++)
    candidate_finish (&candidates[i]);
  g_free (candidates);
  if (chosen >= 0)
    return MQ_PLACED;
  return chosen == MQ_DOMAIN_PREFILL_BACKLOG ? MQ_PLACING_PREFILLING
                                             : MQ_PLACING_NO_ROOM;
}

static bool
forward_can_place (mq_forward *forward, uint64_t now_us)
{
  mq_domain_choice choices[MAX_PATHS];
  path_candidate *candidates = g_new0 (path_candidate, MAX_PATHS);
  size_t n = candidates_list (forward, now_us, candidates, choices);
  mq_domain_request request = forward_request (forward, now_us);
  size_t others = 0;

  for (size_t i = 0; i < n; i++)
    {
      if (candidates[i].path.stages[0].upstream != forward->upstream)
        choices[others++] = choices[i];
      candidate_finish (&candidates[i]);
    }
  g_free (candidates);
  return mq_domain_choose (choices, others, &request) >= 0;
}

bool
mq_forward_can_move (mq_forward *forward, uint64_t now_us)
{
  bool budget
      = mq_gateway_has_budget (forward->gateway, forward->service, now_us);

  forward->state.now_us = now_us;
  return mq_forward_decide (&forward->state, MQ_SEND_TIMED_OUT, 0, budget).verb
             == MQ_FORWARD_RETRY
         && forward_can_place (forward, now_us);
}

mq_placing
mq_forward_place (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_upstream *u;

  if (forward->service->model.layers > 0)
    {
      mq_placing placing = place_path (forward, now_us, retry_ms);

      if (placing != MQ_PLACED)
        return placing;
      u = forward->path.stages[0].upstream;
    }
  else
    u = place_instance (forward, now_us);
  if (u == NULL)
    {
      *retry_ms = NONE_RETRY_MS;
      return MQ_PLACING_NO_ROOM;
    }
  forward->upstream = mq_upstream_ref (u);
  u->in_flight++;
  if (!forward_has_tried (forward, u))
    g_ptr_array_add (forward->tried, mq_upstream_ref (u));
  return MQ_PLACED;
}

void
mq_forward_note_prefilled (mq_forward *forward)
{
  if (forward->path_load != NULL)
    forward->path_load->reading -= forward->reading;
  forward->reading = 0;
}

void
mq_forward_unplace (mq_forward *forward)
{
  mq_layer_path_finish (&forward->path);
  if (forward->path_load == NULL)
    return;
  mq_forward_note_prefilled (forward);
  forward->path_load->tokens -= forward->need;
  forward->path_load = NULL;
}
