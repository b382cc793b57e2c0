/* Placement: the choice of an instance of a plain service, or of a path of
   engines in one failure domain, for the next send of a request.  */

#include <mq/internal/gateway.h>

#include <mq/internal/gateway_standby.h>
#include <mq/internal/gateway_urgency.h>
#include <mq/log.h>
#include <string.h>

/* Paths compared for one request: in all, and in one failure domain.  */
#define MAX_PATHS 64
#define MAX_DOMAIN_PATHS 8

/* Retry-After when there is no upstream.  A restart takes a few seconds, the
   repair of a chain two.  */
#define NO_UPSTREAM_RETRY_AFTER_MS 1000

/* A request whose time budget is this much below its route's timeout is taken
   for a client's retry; network latency alone is far smaller.  */
#define RETRY_MARGIN_MS 400

/* How long a request waits for the prefill of earlier prompts.  Hundreds that
   arrive at once are prefilled within a second.  After this it takes any path
   with memory, as a late response is better than a rejection.  */
#define MAX_PREFILL_WAIT_US ((uint64_t)1000 * 1000)

/* Returns true if UPSTREAM accepts a send of FORWARD now, and notes in FORWARD
   if it does not.  */
static bool
forward_may_send (mq_forward *forward, mq_upstream *upstream, uint64_t now_us)
{
  if (!mq_gateway_quarantine_allows (forward, upstream, now_us))
    {
      forward->kept_apart = true;
      return false;
    }
  if (mq_gateway_may_send (forward->gateway, upstream, MQ_SEND_FOR_REQUEST,
                           now_us))
    return true;
  if (mq_upstream_is_resting (upstream, now_us))
    forward->resting = true;
  else
    forward->limited = true;
  return false;
}

/* ---- Plain services.  */

static bool
forward_has_tried (const mq_forward *forward, const mq_upstream *upstream)
{
  return g_ptr_array_find (forward->tried, upstream, NULL);
}

/* Returns the cost of sending FORWARD to UPSTREAM; lower is better.  In
   falling order of weight: tried before, unusable, requests in flight, remote
   failure domain, a random number.  */
static uint64_t
instance_cost (mq_forward *forward, const mq_upstream *upstream,
               uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  bool remote = !mq_span_equal (mq_str_span (upstream->facts.domain),
                                mq_str_span (g->settings->failure_domain));

  return ((uint64_t)forward_has_tried (forward, upstream) << 48)
         + ((uint64_t)!mq_upstream_is_usable (upstream, now_us) << 40)
         + ((uint64_t)upstream->in_flight << 20) + ((uint64_t)remote << 16)
         + (mq_gateway_random (g) & 0xffff);
}

/* Returns the cheapest upstream of GROUP with a cost below *MIN_COST, which is
   set to its cost; or returns NULL.  */
static mq_upstream *
place_in_group (mq_forward *forward, const mq_upstream_group *group,
                uint64_t now_us, uint64_t *min_cost)
{
  mq_upstream *best = NULL;

  for (guint i = 0; i < group->upstreams->len; i++)
    {
      mq_upstream *u = g_ptr_array_index (group->upstreams, i);
      uint64_t cost;

      if (mq_upstream_is_draining (u))
        continue;
      cost = instance_cost (forward, u, now_us);
      if (cost >= *min_cost || !forward_may_send (forward, u, now_us))
        continue;
      *min_cost = cost;
      best = u;
    }
  return best;
}

/* Returns the instance for FORWARD, or NULL.  An ejected instance is better
   than none; a draining one is never chosen.  */
static mq_upstream *
place_instance (mq_forward *forward, uint64_t now_us)
{
  const GPtrArray *groups = mq_registry_groups (
      &forward->gateway->registry, mq_str_span (forward->service->name));
  mq_upstream *best = NULL;
  uint64_t min_cost = UINT64_MAX;

  for (guint i = 0; groups != NULL && i < groups->len; i++)
    {
      mq_upstream *u = place_in_group (forward, g_ptr_array_index (groups, i),
                                       now_us, &min_cost);

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

/* Returns the key under which the load of PATH is counted: "service domain",
   or "service domain head" where a failure domain may have several paths.  All
   routers use the same keys.  Free with g_free.  */
static char *
path_key (const mq_route_service *service, mq_span domain,
          const mq_layer_path *path, bool single_path)
{
  if (single_path)
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
  char *key; /* Of its load (path_key), owned.  */
} path_candidate;

static void
candidate_finish (path_candidate *candidate)
{
  mq_layer_path_finish (&candidate->path);
  g_free (candidate->key);
}

static mq_domain_choice
candidate_choice (mq_forward *forward, const path_candidate *candidate,
                  mq_span domain, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  const mq_path_load *load = path_load (g, candidate->key);

  return (mq_domain_choice){
    .domain = domain,
    .capacity = candidate->path.tokens,
    .used
    = load->tokens
      + mq_cluster_other_tokens (
          &g->cluster, mq_span_hash (mq_span_from (candidate->key)), now_us),
    /* Prompts are prefilled before other routers' counts of them arrive, so
       their queues are extrapolated from this router's: a burst reaches all
       routers alike.  */
    .prefill_queue_ms
    = load->prefill_tokens * candidate->path.prefill_token_ms
      * mq_gateway_cluster_load_ratio (g, forward->service, now_us),
    .prefill_ms = forward->prompt_tokens * candidate->path.prefill_token_ms,
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
  /* A retry has less time left than its route's timeout.  */
  return left_ms + RETRY_MARGIN_MS < forward->route->timeout_ms
             ? MQ_DOMAIN_RETRY
             : MQ_DOMAIN_NEW;
}

bool
mq_forward_may_wait_for_prefill (const mq_forward *forward, uint64_t now_us)
{
  uint64_t since = forward->state.response_started ? forward->received_us
                                                   : forward->started_us;

  return now_us - since < MAX_PREFILL_WAIT_US;
}

/* The request of FORWARD for one of the N CHOICES.  */
static mq_domain_request
forward_request (mq_forward *forward, const mq_domain_choice *choices,
                 size_t n, uint64_t now_us)
{
  mq_gateway *g = forward->gateway;

  return (mq_domain_request){
    .need = forward->need_tokens,
    .rank = mq_forward_rank (forward),
    .target_ms = mq_forward_may_wait_for_prefill (forward, now_us)
                     ? forward->route->target_ms
                     : 0,
    .age_ms = mq_cluster_counts_age_ms (&g->cluster, now_us),
    .random = mq_gateway_random (g),
    .memory_limit = mq_gateway_urgency_limit (forward, choices, n, now_us)
  };
}

/* Returns true if FORWARD may use a path that begins at HEAD: a new request
   not at a saturated head, one that has left a silent run not at its head, and
   one that has used up its attempts only at a head that ran it before.  */
static bool
forward_may_use_head (const mq_forward *forward, mq_upstream *head,
                      uint64_t now_us)
{
  if (mq_standby_excludes (forward, head)
      || (!forward->state.response_started
          && now_us < head->saturated_until_us))
    return false;
  return !mq_forward_must_reuse_upstream (&forward->state)
         || g_ptr_array_find (forward->ran, head, NULL);
}

/* The candidates for a request in one failure domain, under construction.  */
typedef struct domain_candidates
{
  mq_forward *forward; /* Borrowed.  */
  mq_span domain;
  bool single_path; /* The domain has one path at a time.  */
  uint64_t now_us;
  path_candidate *list;      /* Borrowed, with room for MAX_DOMAIN_PATHS.  */
  mq_domain_choice *choices; /* Of the same, likewise.  */
  size_t n;
} domain_candidates;

/* Add PATH, which is stolen.  */
static void
candidates_add (domain_candidates *candidates, mq_layer_path *path)
{
  path_candidate *c = &candidates->list[candidates->n];

  c->path = *path;
  c->key = path_key (candidates->forward->service, candidates->domain, path,
                     candidates->single_path);
  candidates->choices[candidates->n++] = candidate_choice (
      candidates->forward, c, candidates->domain, candidates->now_us);
}

/* Add the best path of the domain that does not pass through HEAD, which does
   not accept a send now.  */
static void
candidates_add_bypass (domain_candidates *candidates, const mq_upstream *head)
{
  mq_forward *f = candidates->forward;
  mq_layer_path path;

  if (!mq_layer_path_find (&path, &f->gateway->registry, f->service,
                           candidates->domain, candidates->now_us, head))
    return;
  if (forward_may_use_head (f, path.stages[0].upstream, candidates->now_us)
      && forward_may_send (f, path.stages[0].upstream, candidates->now_us))
    candidates_add (candidates, &path);
  else
    mq_layer_path_finish (&path);
}

/* Store the candidates for FORWARD in DOMAIN in LIST and CHOICES, which have
   room for MAX_DOMAIN_PATHS.  Returns their number.  */
static size_t
candidates_list_domain (mq_forward *forward, mq_span domain, uint64_t now_us,
                        path_candidate *list, mq_domain_choice *choices)
{
  mq_registry *registry = &forward->gateway->registry;
  mq_layer_path paths[MAX_DOMAIN_PATHS];
  unsigned wanted
      = MIN (mq_layer_path_target_count (registry, forward->service, domain),
             MAX_DOMAIN_PATHS);
  size_t found = mq_layer_path_find_all (paths, wanted, registry,
                                         forward->service, domain, now_us);
  domain_candidates candidates
      = { forward, domain, wanted == 1, now_us, list, choices, 0 };
  mq_upstream *withheld = NULL;

  for (size_t i = 0; i < found; i++)
    {
      mq_upstream *head = paths[i].stages[0].upstream;

      if (!forward_may_use_head (forward, head, now_us))
        mq_layer_path_finish (&paths[i]);
      else if (!forward_may_send (forward, head, now_us))
        {
          withheld = head;
          mq_layer_path_finish (&paths[i]);
        }
      else
        candidates_add (&candidates, &paths[i]);
    }
  if (candidates.n == 0 && withheld != NULL)
    candidates_add_bypass (&candidates, withheld);
  return candidates.n;
}

/* Store the candidates for FORWARD in CANDIDATES and CHOICES, which have room
   for MAX_PATHS.  Returns their number; the caller frees each candidate by
   candidate_finish.  */
static size_t
candidates_list (mq_forward *forward, uint64_t now_us,
                 path_candidate *candidates, mq_domain_choice *choices)
{
  const GPtrArray *groups = mq_registry_groups (
      &forward->gateway->registry, mq_str_span (forward->service->name));
  size_t n = 0;

  for (guint i = 0;
       groups != NULL && i < groups->len && n + MAX_DOMAIN_PATHS <= MAX_PATHS;
       i++)
    {
      const mq_upstream_group *g = g_ptr_array_index (groups, i);

      n += candidates_list_domain (forward, mq_str_span (g->domain), now_us,
                                   &candidates[n], &choices[n]);
    }
  return n;
}

/* Place FORWARD on CANDIDATE, which CHOICE describes.  */
static void
place_take (mq_forward *forward, const path_candidate *candidate,
            const mq_domain_choice *choice, uint64_t now_us)
{
  mq_layer_path_copy (&forward->path, &candidate->path);
  for (unsigned i = 0; i < candidate->path.n; i++)
    candidate->path.stages[i].upstream->last_used_us = now_us;
  forward->used_tokens = choice->used;
  forward->prefill_tokens = forward->prompt_tokens;
  forward->path_load = path_load (forward->gateway, candidate->key);
  forward->path_load->tokens += forward->need_tokens;
  forward->path_load->prefill_tokens += forward->prefill_tokens;
}

/* Log the paths without room for FORWARD.  */
static void
place_log_choices (mq_forward *forward, const mq_domain_choice *choices,
                   size_t n)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < n; i++)
    g_string_append_printf (text, "%s%.*s:%.0f/%.0f", i > 0 ? "," : "",
                            MQ_SPAN_ARG (choices[i].domain), choices[i].used,
                            choices[i].capacity);
  mq_log_buffer_append (&forward->log_buffer, G_LOG_LEVEL_INFO,
                        "request.no-room", "request=%.*s need=%.0f domains=%s",
                        MQ_SPAN_ARG (forward->id), forward->need_tokens,
                        n > 0 ? text->str : "none");
  g_string_free (text, TRUE);
}

/* Returns true if FORWARD found nothing to choose from because this router
   does not know the upstreams of its service yet, and then sets *RETRY_MS.  */
static bool
place_is_unknown (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  if (mq_gateway_view_decide (forward->gateway, forward->service, now_us).state
      != MQ_SERVICE_VIEW_UNKNOWN)
    return false;
  *retry_ms = mq_gateway_view_retry_ms (forward);
  return true;
}

static mq_place_result
place_path (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_domain_choice choices[MAX_PATHS];
  path_candidate *candidates = g_new0 (path_candidate, MAX_PATHS);
  size_t n = candidates_list (forward, now_us, candidates, choices);
  mq_domain_request request = forward_request (forward, choices, n, now_us);
  int chosen = mq_domain_choose (choices, n, &request);
  bool unknown = n == 0 && place_is_unknown (forward, now_us, retry_ms);

  if (chosen >= 0)
    place_take (forward, &candidates[chosen], &choices[chosen], now_us);
  else if (!unknown)
    {
      *retry_ms = mq_gateway_urgency_retry_ms (
          forward, mq_domain_retry_after_ms (
                       (forward->state.deadline_us - now_us) / 1000,
                       mq_gateway_random (forward->gateway)));
      /* One that waits was logged already, but not one that waited for a
         view, which had no paths to log.  */
      if (!forward->state.response_started
          && (!forward->waiting || forward->view_waits))
        {
          place_log_choices (forward, choices, n);
          mq_gateway_urgency_log_limit (forward);
        }
    }
  for (size_t i = 0; i < n; i++)
    candidate_finish (&candidates[i]);
  g_free (candidates);
  if (chosen >= 0)
    return MQ_PLACE_OK;
  if (unknown)
    return MQ_PLACE_UNKNOWN;
  return chosen == MQ_DOMAIN_PREFILL_BACKLOG ? MQ_PLACE_PREFILLING
                                             : MQ_PLACE_NO_ROOM;
}

/* Returns true if a path would take FORWARD now, with OTHER_HEAD one with
   another head than its current path.  */
static bool
forward_can_place (mq_forward *forward, bool other_head, uint64_t now_us)
{
  mq_domain_choice choices[MAX_PATHS];
  path_candidate *candidates = g_new0 (path_candidate, MAX_PATHS);
  size_t n = candidates_list (forward, now_us, candidates, choices);
  mq_domain_request request = forward_request (forward, choices, n, now_us);
  size_t others = 0;

  for (size_t i = 0; i < n; i++)
    {
      if (!other_head
          || candidates[i].path.stages[0].upstream != forward->upstream)
        choices[others++] = choices[i];
      candidate_finish (&candidates[i]);
    }
  g_free (candidates);
  return mq_domain_choose (choices, others, &request) >= 0;
}

bool
mq_forward_can_retry (mq_forward *forward, uint64_t now_us)
{
  bool budget
      = mq_gateway_has_budget (forward->gateway, forward->service, now_us)
        && !mq_gateway_urgency_yields (forward);

  forward->state.now_us = now_us;
  return now_us >= forward->stay_until_us
         && mq_forward_decide (&forward->state, MQ_SEND_TIMED_OUT, 0, budget)
                    .verb
                == MQ_FORWARD_RETRY;
}

/* Returns true if an instance that FORWARD was not sent to would take it.  */
static bool
forward_can_place_call (mq_forward *forward, uint64_t now_us)
{
  const mq_upstream *u = place_instance (forward, now_us);

  return u != NULL && !forward_has_tried (forward, u)
         && mq_upstream_is_usable (u, now_us);
}

bool
mq_forward_can_leave (mq_forward *forward, uint64_t now_us)
{
  mq_path_load *load = forward->path_load;
  bool can;

  if (!mq_forward_can_retry (forward, now_us))
    return false;
  if (forward->service->model.layers == 0)
    return forward_can_place_call (forward, now_us);
  /* What it takes on its path would be released.  */
  if (load != NULL)
    load->tokens -= forward->need_tokens;
  can = forward_can_place (forward, false, now_us);
  if (load != NULL)
    load->tokens += forward->need_tokens;
  return can;
}

bool
mq_forward_can_move (mq_forward *forward, uint64_t now_us)
{
  return mq_forward_can_retry (forward, now_us)
         && forward_can_place (forward, true, now_us);
}

mq_place_result
mq_forward_place (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_upstream *u;

  forward->limited = false;
  forward->resting = false;
  forward->kept_apart = false;
  if (forward->service->model.layers > 0)
    {
      mq_place_result placing = place_path (forward, now_us, retry_ms);

      if (placing != MQ_PLACE_OK)
        return placing;
      u = forward->path.stages[0].upstream;
    }
  else
    u = place_instance (forward, now_us);
  if (u == NULL && place_is_unknown (forward, now_us, retry_ms))
    return MQ_PLACE_UNKNOWN;
  if (u == NULL)
    {
      *retry_ms = NO_UPSTREAM_RETRY_AFTER_MS;
      return MQ_PLACE_NO_ROOM;
    }
  mq_gateway_view_note_served (forward->gateway, forward->service);
  forward->upstream = mq_upstream_ref (u);
  u->in_flight++;
  mq_gateway_note_send (forward->gateway, u, MQ_SEND_FOR_REQUEST, now_us);
  if (!forward_has_tried (forward, u))
    g_ptr_array_add (forward->tried, mq_upstream_ref (u));
  return MQ_PLACE_OK;
}

void
mq_forward_note_prefilled (mq_forward *forward)
{
  if (forward->path_load != NULL)
    forward->path_load->prefill_tokens -= forward->prefill_tokens;
  forward->prefill_tokens = 0;
}

void
mq_forward_release_path (mq_forward *forward)
{
  mq_layer_path_finish (&forward->path);
  if (forward->path_load == NULL)
    return;
  mq_forward_note_prefilled (forward);
  mq_gateway_urgency_note_released (forward);
  forward->path_load->tokens -= forward->need_tokens;
  forward->path_load = NULL;
}
