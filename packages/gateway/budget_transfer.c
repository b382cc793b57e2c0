/* Transfers of retry budget: see mq/internal/budget_transfer.h.

   A requester (the borrower on the wire) has one open request for each
   service.  It accepts only grants with that request's serial, and no more
   sends than it requested.  The granter charges its own budget before it sends
   the grant.  */

#include <mq/internal/budget_transfer.h>

#include <mq/internal/gateway_urgency.h>
#include <mq/log.h>
#include <math.h>

#define US_PER_MS ((uint64_t)1000)

/* Delay before sends that were not granted are requested again.  A grant takes
   some ms to arrive.  It doubles while nothing is granted, since requests of
   all routers at once take their processors' time when no budget is left
   (docs/design/hard-load-budget.md).  */
#define REQUEST_INTERVAL_US ((uint64_t)50 * 1000)
#define MAX_REQUEST_INTERVAL_US ((uint64_t)400 * 1000)

/* Grants that come later are ignored: together with the time for which a grant
   can be used, a lender counts it for so much longer than the window.  */
#define MAX_GRANT_AGE_US ((uint64_t)100 * 1000)

/* Routers of its domain that a relay forwards one request to.  In five rounds,
   the 300 ms in which unused budget is to be found, five domains so ask 1,600
   routers.  */
#define MAX_GRANTERS 64

static void
transfer_send (mq_gateway *gateway, mq_cluster_member *to,
               mq_cluster_message_kind kind,
               const mq_cluster_message_budget *transfer)
{
  mq_cluster_message message = { .kind = kind, .u = { .budget = *transfer } };

  mq_gateway_send_message (gateway, to, &message);
}

/* The state of the service whose name hashes to SERVICE, or NULL.  */
static mq_service_state *
service_find (const mq_gateway *gateway, uint64_t service)
{
  GHashTableIter i;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->services);
  while (g_hash_table_iter_next (&i, &name, &value))
    if (mq_span_hash (mq_span_from (name)) == service)
      return value;
  return NULL;
}

static bool
is_self (const mq_gateway *gateway, mq_span peer)
{
  return mq_span_equal (peer, mq_str_span (gateway->cluster.peer));
}

/* ---- Granting.  */

/* Estimate how many sends routers that reported the counts OWN can grant.  */
static unsigned
counts_spare (mq_gateway *gateway, const mq_send_budget *budget,
              mq_send_counts own, uint64_t service, uint64_t now_us)
{
  mq_cluster *r = &gateway->cluster;
  mq_send_counts all = mq_cluster_other_sends (r, service, now_us);
  mq_send_counts self = mq_service_sends_get (r->sends, service);

  all.requests += self.requests;
  all.requests -= MIN (all.requests, own.requests);
  all.retries += self.retries;
  all.retries -= MIN (all.retries, own.retries);
  all.replaced -= MIN (all.replaced, own.replaced);
  return mq_send_budget_unused (budget, own, mq_cluster_count_busy (r, now_us),
                                all);
}

/* Estimate, from its last report, how many sends ROUTER can grant.  */
static unsigned
router_spare (mq_gateway *gateway, const mq_send_budget *budget,
              const mq_cluster_member *router, uint64_t service,
              uint64_t now_us)
{
  if (!router->local || router->kind != MQ_GOSSIP_REPORT
      || !mq_cluster_member_is_alive (router, now_us))
    return 0;
  return counts_spare (gateway, budget,
                       mq_service_sends_get (router->sends, service), service,
                       now_us);
}

/* Forward REQUEST to routers of this domain.  Returns how many of its sends
   were not requested from these.  */
static unsigned
request_forward_local (mq_gateway *gateway, const mq_send_budget *budget,
                       const mq_cluster_message_budget *request,
                       uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned missing = request->sends;
  unsigned receivers = 0;

  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (missing > 0 && receivers < MAX_GRANTERS
         && g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_cluster_member *r = value;
      mq_cluster_message_budget part = *request;

      if (mq_span_equal (mq_str_span (r->peer), request->borrower))
        continue;
      part.sends = router_spare (gateway, budget, r, request->service, now_us);
      part.sends = MIN (part.sends, missing);
      if (part.sends == 0)
        continue;
      transfer_send (gateway, r, MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, &part);
      /* Until its next report, lest others' requests go to it as well.  */
      mq_service_sends_add (r->sends, request->service,
                            (mq_send_counts){ 0, part.sends, 0 });
      missing -= part.sends;
      receivers++;
    }
  return missing;
}

/* Forward REQUEST to a relay of each other domain, in parts by what these
   domains have left according to their summaries.  */
static void
request_forward_remote (mq_gateway *gateway, const mq_send_budget *budget,
                        const mq_cluster_message_budget *request,
                        uint64_t now_us)
{
  GPtrArray *relays = g_ptr_array_new ();
  unsigned *spare;
  double sum = 0;

  mq_cluster_first_remote_relays (&gateway->cluster, relays, now_us);
  spare = g_new (unsigned, relays->len + 1);
  for (guint i = 0; i < relays->len; i++)
    {
      const mq_cluster_member *relay = g_ptr_array_index (relays, i);

      spare[i] = counts_spare (
          gateway, budget,
          mq_service_sends_get (relay->sends, request->service),
          request->service, now_us);
      sum += spare[i];
    }
  for (guint i = 0; i < relays->len; i++)
    {
      mq_cluster_message_budget part = *request;

      if (spare[i] == 0)
        continue;
      part.sends = (unsigned)ceil (request->sends * (spare[i] / sum));
      transfer_send (gateway, g_ptr_array_index (relays, i),
                     MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, &part);
    }
  g_free (spare);
  g_ptr_array_unref (relays);
}

/* Forward REQUEST.  LOCAL: the requester belongs to this domain.  */
static void
request_forward (mq_gateway *gateway, const mq_send_budget *budget,
                 const mq_cluster_message_budget *request, bool local,
                 uint64_t now_us)
{
  mq_cluster_message_budget r = *request;

  if (!is_self (gateway, r.borrower))
    {
      if (r.n_via == MQ_CLUSTER_MESSAGE_MAX_RELAYS)
        return;
      r.via[r.n_via++] = mq_str_span (gateway->cluster.peer);
    }
  r.sends = request_forward_local (gateway, budget, &r, now_us);
  if (r.sends > 0 && local)
    request_forward_remote (gateway, budget, &r, now_us);
}

/* The next router on the way of GRANT back to the requester, or NULL when that
   is unknown.  */
static mq_cluster_member *
grant_next (const mq_gateway *gateway, const mq_cluster_message_budget *grant)
{
  return mq_cluster_find (&gateway->cluster, grant->n_via > 0
                                                 ? grant->via[grant->n_via - 1]
                                                 : grant->borrower);
}

void
mq_budget_transfer_receive_request (mq_gateway *gateway,
                                    const mq_cluster_message_budget *request)
{
  mq_gateway *g = gateway;
  uint64_t now = mq_gateway_now_us ();
  mq_cluster_message_budget grant = *request;
  mq_cluster_message_budget rest = *request;
  mq_cluster_member *back = grant_next (g, request);
  const mq_cluster_member *borrower
      = mq_cluster_find (&g->cluster, request->borrower);
  mq_service_state *s = service_find (g, request->service);

  if (back == NULL || s == NULL)
    return;
  /* A draining router grants nothing: its counts, in which the grant is
     charged, are lost soon after it exits.  */
  grant.sends
      = s->budget_request_pending > 0 || g->mode != MQ_GATEWAY_SERVING
            ? 0
            : mq_send_budget_grant (
                &s->budget, mq_cluster_count_busy (&g->cluster, now),
                mq_cluster_other_sends (&g->cluster, request->service, now),
                request->sends, now);
  mq_log (G_LOG_LEVEL_INFO, "budget.lent",
          "service=%016" G_GINT64_MODIFIER "x sends=%u of=%u borrower=%.*s",
          request->service, grant.sends, request->sends,
          MQ_SPAN_ARG (request->borrower));
  if (grant.sends > 0)
    {
      *g->counters.budget_granted += grant.sends;
      transfer_send (g, back, MQ_CLUSTER_MESSAGE_BUDGET_GRANT, &grant);
    }
  rest.sends -= grant.sends;
  if (rest.sends > 0 && g->cluster.relays)
    request_forward (g, &s->budget, &rest, borrower != NULL && borrower->local,
                     now);
}

/* ---- Requesting.  */

/* Returns true when FORWARD waits for its next send, which needs budget.  */
static bool
forward_waits (const mq_forward *forward)
{
  return forward->waits_for_budget
         || (forward->call == NULL && forward->close_check == NULL
             && forward->state.response_started);
}

/* Number of forwards of SERVICE, a hash, that wait for their next send.  */
static unsigned
service_waiting (const mq_gateway *gateway, uint64_t service)
{
  unsigned n = 0;

  for (GList *l = gateway->forwards.head; l != NULL; l = l->next)
    {
      const mq_forward *f = l->data;

      n += forward_waits (f)
           && mq_span_hash (mq_str_span (f->service->name)) == service;
    }
  return n;
}

/* A random live relay of this domain, or NULL.  */
static mq_cluster_member *
relay_choose_random (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  mq_cluster_member *chosen = NULL;
  unsigned n = 0;

  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_cluster_member *r = value;

      if (r->local && r->relays && mq_cluster_member_is_alive (r, now_us)
          && mq_gateway_random (gateway) % ++n == 0)
        chosen = r;
    }
  return chosen;
}

static void
service_send_request (mq_gateway *gateway, mq_service_state *state,
                      uint64_t service, unsigned sends, uint64_t now_us)
{
  mq_gateway *g = gateway;
  mq_cluster_message_budget request
      = { .borrower = mq_str_span (g->cluster.peer),
          .service = service,
          .sends = MIN (sends, MQ_CLUSTER_MESSAGE_MAX_RETRIES),
          .serial = mq_gateway_random (g) };
  mq_send_counts own;
  mq_send_counts others;
  mq_cluster_member *relay
      = g->cluster.relays ? NULL : relay_choose_random (g, now_us);

  if (state->budget_request_sends == 0
      || state->budget_request_pending < state->budget_request_sends)
    state->budget_interval_us = REQUEST_INTERVAL_US;
  else
    state->budget_interval_us
        = MIN (state->budget_interval_us * 2, MAX_REQUEST_INTERVAL_US);
  state->budget_requested_us = now_us;
  state->budget_request_sends = request.sends;
  state->budget_request_pending = request.sends;
  state->budget_request_serial = request.serial;
  own = mq_send_budget_count (&state->budget, now_us);
  others = mq_cluster_other_sends (&g->cluster, service, now_us);
  mq_log (G_LOG_LEVEL_INFO, "budget.request",
          "service=%016" G_GINT64_MODIFIER "x sends=%u relay=%s requests=%u"
          " retries=%u others=%u others_retries=%u others_beyond=%u"
          " age_ms=%" G_GUINT64_FORMAT,
          service, request.sends,
          relay != NULL ? mq_str_cstr (relay->name) : "self", own.requests,
          own.retries, others.requests, others.retries, others.replaced,
          state->budget.counts_age_us / US_PER_MS);
  if (g->cluster.relays)
    request_forward (g, &state->budget, &request, true, now_us);
  else if (relay != NULL)
    transfer_send (g, relay, MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, &request);
}

/* Returns true if gossip of another router was ever received.  */
static bool
cluster_was_heard (const mq_cluster *cluster)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, cluster->routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (((const mq_cluster_member *)value)->received_us > 0)
      return true;
  return false;
}

/* Age of the others' counts; unknown to a router that has lost all others, as
   they may run and use their shares.  */
static uint64_t
counts_age_us (mq_gateway *gateway, uint64_t now_us)
{
  mq_cluster *r = &gateway->cluster;

  if (mq_cluster_count_alive (r, now_us) == 0 && cluster_was_heard (r))
    return MQ_SEND_BUDGET_AGE_UNKNOWN;
  return US_PER_MS * (uint64_t)mq_cluster_counts_age_ms (r, now_us);
}

void
mq_budget_transfer_tick (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer name;
  gpointer value;
  /* The same for all services; both look at all routers.  */
  unsigned routers = mq_cluster_count_busy (&gateway->cluster, now_us);
  uint64_t age_us = counts_age_us (gateway, now_us);

  g_hash_table_iter_init (&i, gateway->services);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      mq_service_state *s = value;
      uint64_t service = mq_span_hash (mq_span_from (name));
      unsigned waiting;
      mq_send_counts others
          = mq_cluster_other_sends (&gateway->cluster, service, now_us);

      mq_send_budget_set_counts_age (&s->budget, age_us);
      mq_send_budget_update (&s->budget, routers, others, now_us);
      if (now_us - s->budget_requested_us < s->budget_interval_us)
        continue;
      waiting = service_waiting (gateway, service);
      if (waiting > 0
          && !mq_send_budget_has_room (&s->budget, routers, others, now_us))
        service_send_request (gateway, s, service, waiting, now_us);
      else
        s->budget_request_sends = s->budget_request_pending = 0;
    }
}

/* Let the requests that wait for budget before their response began send.  */
static void
resume_not_begun (mq_gateway *gateway, uint64_t now_us)
{
  GList *next;

  for (GList *l = gateway->forwards.head; l != NULL; l = next)
    {
      mq_forward *f = l->data;

      next = l->next;
      if (forward_waits (f) && !f->state.response_started)
        mq_forward_tick (f, now_us);
    }
}

static void
grant_apply (mq_gateway *gateway, const mq_cluster_message_budget *grant)
{
  mq_service_state *s = service_find (gateway, grant->service);
  uint64_t now = mq_gateway_now_us ();
  unsigned sends;

  if (s == NULL || grant->serial != s->budget_request_serial
      || now - s->budget_requested_us > MAX_GRANT_AGE_US)
    return;
  sends = MIN (grant->sends, s->budget_request_pending);
  mq_log (G_LOG_LEVEL_INFO, "budget.borrowed",
          "service=%016" G_GINT64_MODIFIER "x sends=%u of=%u"
          " ms=%" G_GUINT64_FORMAT,
          grant->service, sends, s->budget_request_pending,
          (now - s->budget_requested_us) / 1000);
  if (sends == 0)
    return;
  s->budget_request_pending -= sends;
  *gateway->counters.budget_received += sends;
  mq_send_budget_add_grant (&s->budget, sends, now);
  mq_gateway_urgency_tick_begun (gateway, now);
  resume_not_begun (gateway, now);
}

void
mq_budget_transfer_receive_grant (mq_gateway *gateway,
                                  const mq_cluster_message_budget *grant)
{
  mq_cluster_message_budget g = *grant;
  mq_cluster_member *to;

  if (g.n_via == 0)
    {
      if (is_self (gateway, g.borrower))
        grant_apply (gateway, &g);
      return;
    }
  if (!is_self (gateway, g.via[g.n_via - 1]))
    return;
  g.n_via--;
  to = grant_next (gateway, &g);
  if (to != NULL)
    transfer_send (gateway, to, MQ_CLUSTER_MESSAGE_BUDGET_GRANT, &g);
}
