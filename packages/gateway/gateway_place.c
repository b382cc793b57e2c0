/* Where a request goes: an instance of a plain service, or a path of engines
   in one failure domain.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>
#include <string.h>

#define DOMAINS_MOST 64

/* When an upstream should be back: a restart takes some seconds, a repair of
   a chain two.  */
#define NONE_RETRY_MS 1000

/* A client that has this much less time than its route gives has been here
   before; the way from a client takes some ms.  */
#define RETURNED_MS 400

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
         + (mq_gateway_draw (g) & 0xffff);
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

/* The instance that FORWARD should go to, or NULL.  One that is put aside is
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

static double *
domain_tokens (mq_gateway *gateway, const char *key)
{
  double *n = g_hash_table_lookup (gateway->tokens, key);

  if (n == NULL)
    {
      n = g_new0 (double, 1);
      g_hash_table_insert (gateway->tokens, g_strdup (key), n);
    }
  return n;
}

/* "service domain"; free with g_free.  */
static char *
domain_key (const mq_route_service *service, mq_span domain)
{
  return g_strdup_printf ("%s %.*s", mq_str_cstr (service->name),
                          MQ_SPAN_ARG (domain));
}

static mq_domain_choice
choice_of (mq_forward *forward, const mq_layer_path *path, mq_span domain,
           uint64_t now_us)
{
  mq_gateway *g = forward->gateway;
  char *key = domain_key (forward->service, domain);
  mq_domain_choice c
      = { .domain = domain,
          .room = path->tokens,
          .used = *domain_tokens (g, key) + mq_members_tokens (g, key, now_us),
          .step_ms = path->step_ms,
          .tried = forward_has_tried (forward, path->parts[0].upstream),
          .local = mq_span_equal (domain,
                                  mq_str_span (g->settings->failure_domain)) };

  g_free (key);
  return c;
}

static mq_domain_rank
forward_rank (const mq_forward *forward)
{
  uint64_t left_ms = (forward->state.deadline_us - forward->started_us) / 1000;

  if (forward->state.begun)
    return MQ_DOMAIN_BEGUN;
  /* A client that comes back has less time than its route gives.  */
  return left_ms + RETURNED_MS < forward->route->timeout_ms
             ? MQ_DOMAIN_RETURNED
             : MQ_DOMAIN_NEW;
}

/* The ways to serve FORWARD now, into PATHS and CHOICES, which have room for
   DOMAINS_MOST.  Returns how many; the paths are then the caller's.  */
static size_t
place_list (mq_forward *forward, uint64_t now_us, mq_layer_path *paths,
            mq_domain_choice *choices)
{
  const GPtrArray *groups = mq_registry_groups (
      &forward->gateway->registry, mq_str_span (forward->service->name));
  size_t n = 0;

  for (guint i = 0; groups != NULL && i < groups->len && n < DOMAINS_MOST; i++)
    {
      mq_layer_path *p = &paths[n];
      mq_span domain = mq_str_span (
          ((mq_upstream_group *)g_ptr_array_index (groups, i))->domain);

      if (!mq_layer_path_find (p, &forward->gateway->registry,
                               forward->service, domain, now_us, NULL))
        continue;
      if (!forward->state.begun
          && now_us < p->parts[0].upstream->crowded_until_us)
        {
          mq_layer_path_finish (p);
          continue;
        }
      choices[n] = choice_of (forward, p, domain, now_us);
      n++;
    }
  return n;
}

/* Take PATH in the domain of CHOICE for FORWARD.  */
static void
place_take (mq_forward *forward, const mq_layer_path *path,
            const mq_domain_choice *choice, uint64_t now_us)
{
  char *key = domain_key (forward->service, choice->domain);

  mq_layer_path_copy (&forward->path, path);
  for (unsigned i = 0; i < path->n; i++)
    path->parts[i].upstream->passed_us = now_us;
  forward->used = choice->used;
  *domain_tokens (forward->gateway, key) += forward->need;
  forward->domain = mq_str_new (mq_span_from (key));
  g_free (key);
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
                            choices[i].room);
  mq_log_story_add (&forward->story, G_LOG_LEVEL_INFO, "request.no-room",
                    "request=%.*s need=%.0f domains=%s",
                    MQ_SPAN_ARG (forward->id), forward->need,
                    n > 0 ? text->str : "none");
  g_string_free (text, TRUE);
}

static int
place_path (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_domain_choice choices[DOMAINS_MOST];
  mq_layer_path *paths = g_new0 (mq_layer_path, DOMAINS_MOST);
  size_t n = place_list (forward, now_us, paths, choices);
  int chosen
      = mq_domain_choose (choices, n, forward->need, forward_rank (forward));

  if (chosen >= 0)
    place_take (forward, &paths[chosen], &choices[chosen], now_us);
  else
    {
      *retry_ms
          = mq_domain_return_ms ((forward->state.deadline_us - now_us) / 1000,
                                 mq_gateway_draw (forward->gateway));
      if (!forward->state.begun)
        place_tell_choices (forward, choices, n);
    }
  for (size_t i = 0; i < n; i++)
    mq_layer_path_finish (&paths[i]);
  g_free (paths);
  return chosen >= 0 ? 0 : -1;
}

bool
mq_forward_can_place (mq_forward *forward, uint64_t now_us)
{
  mq_domain_choice choices[DOMAINS_MOST];
  mq_layer_path *paths = g_new0 (mq_layer_path, DOMAINS_MOST);
  size_t n = place_list (forward, now_us, paths, choices);
  size_t others = 0;

  for (size_t i = 0; i < n; i++)
    {
      mq_layer_path_finish (&paths[i]);
      if (!choices[i].tried)
        choices[others++] = choices[i];
    }
  g_free (paths);
  return mq_domain_choose (choices, others, forward->need,
                           forward_rank (forward))
         >= 0;
}

int
mq_forward_place (mq_forward *forward, uint64_t now_us, unsigned *retry_ms)
{
  mq_upstream *u;

  if (forward->service->model.layers > 0)
    {
      if (place_path (forward, now_us, retry_ms) < 0)
        return -1;
      u = forward->path.parts[0].upstream;
    }
  else
    u = place_instance (forward, now_us);
  if (u == NULL)
    {
      *retry_ms = NONE_RETRY_MS;
      return -1;
    }
  forward->upstream = mq_upstream_ref (u);
  u->in_flight++;
  if (!forward_has_tried (forward, u))
    g_ptr_array_add (forward->tried, mq_upstream_ref (u));
  return 0;
}

void
mq_forward_unplace (mq_forward *forward)
{
  mq_layer_path_finish (&forward->path);
  if (forward->domain == NULL)
    return;
  *domain_tokens (forward->gateway, mq_str_cstr (forward->domain))
      -= forward->need;
  g_clear_pointer (&forward->domain, mq_str_unref);
}
