/* Transfers of the budget of further sends: see
   mq/internal/budget_transfer.h.

   A borrower has one request open at a time and takes no grant but of that,
   and no more than it asked for.  What a lender hands over is charged to it
   before the grant leaves.  */

#include <mq/internal/budget_transfer.h>

#include <mq/log.h>

/* A grant takes some ms; what is still short by then is asked for anew.  */
#define REQUEST_INTERVAL_US ((uint64_t)50 * 1000)

/* Routers of its domain that a relay asks for one request.  */
#define MAX_LENDERS 8

static void
transfer_send (mq_gateway *gateway, mq_cluster_member *to,
               mq_cluster_message_kind kind,
               const mq_cluster_message_budget *transfer)
{
  mq_cluster_message parcel = { .kind = kind, .u = { .budget = *transfer } };

  mq_gateway_send_message (gateway, to, &parcel);
}

/* What is kept of the service that hashes to SERVICE; NULL: nothing.  */
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

/* ---- Lending.  */

/* How many sends ROUTER seems to have left for others.  */
static unsigned
router_spare (mq_gateway *gateway, const mq_send_budget *budget,
              const mq_cluster_member *router, uint64_t service,
              uint64_t now_us)
{
  mq_cluster *r = &gateway->cluster;
  mq_send_counts own = mq_service_sends_of (router->sends, service);
  mq_send_counts all = mq_cluster_sends (r, service, now_us);
  mq_send_counts self = mq_service_sends_of (r->sends, service);

  if (!router->local || router->kind != MQ_GOSSIP_REPORT
      || !mq_cluster_member_is_alive (router, now_us))
    return 0;
  all.first += self.first;
  all.first -= MIN (all.first, own.first);
  return mq_send_budget_spare (budget, own, mq_cluster_count_busy (r, now_us),
                               all, now_us);
}

/* Pass REQUEST on to routers of this domain.  Returns how many sends are not
   to be expected from these.  */
static unsigned
request_local (mq_gateway *gateway, const mq_send_budget *budget,
               const mq_cluster_message_budget *request, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  unsigned short_of = request->sends;
  unsigned asked = 0;

  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (short_of > 0 && asked < MAX_LENDERS
         && g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_cluster_member *r = value;
      mq_cluster_message_budget part = *request;

      if (mq_span_equal (mq_str_span (r->peer), request->borrower))
        continue;
      part.sends
          = (router_spare (gateway, budget, r, request->service, now_us) + 1)
            / 2;
      part.sends = MIN (part.sends, short_of);
      if (part.sends == 0)
        continue;
      transfer_send (gateway, r, MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, &part);
      short_of -= part.sends;
      asked++;
    }
  return short_of;
}

/* Pass REQUEST on to a relay of each other domain.  */
static void
request_elsewhere (mq_gateway *gateway,
                   const mq_cluster_message_budget *request, uint64_t now_us)
{
  GPtrArray *relays = g_ptr_array_new ();

  mq_cluster_first_remote_relays (&gateway->cluster, relays, now_us);
  for (guint i = 0; i < relays->len; i++)
    {
      mq_cluster_message_budget part = *request;

      part.sends = (request->sends + relays->len - 1) / relays->len;
      transfer_send (gateway, g_ptr_array_index (relays, i),
                     MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, &part);
    }
  g_ptr_array_unref (relays);
}

/* Pass REQUEST on; LOCAL: the borrower is of this domain.  */
static void
request_forward (mq_gateway *gateway, const mq_send_budget *budget,
                 const mq_cluster_message_budget *request, bool local,
                 uint64_t now_us)
{
  mq_cluster_message_budget r = *request;

  if (!is_self (gateway, r.borrower))
    {
      if (r.n_via == MQ_CLUSTER_MESSAGE_MAX_VIA)
        return;
      r.via[r.n_via++] = mq_str_span (gateway->cluster.peer);
    }
  r.sends = request_local (gateway, budget, &r, now_us);
  if (r.sends > 0 && local)
    request_elsewhere (gateway, &r, now_us);
}

/* The router that a grant with this way back goes to next, or NULL.  */
static mq_cluster_member *
grant_next (const mq_gateway *gateway, const mq_cluster_message_budget *grant)
{
  return mq_cluster_find (&gateway->cluster, grant->n_via > 0
                                                 ? grant->via[grant->n_via - 1]
                                                 : grant->borrower);
}

void
mq_budget_transfer_take_request (mq_gateway *gateway,
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
  /* What this router counts is soon forgotten when it leaves.  */
  grant.sends = s->borrow_open > 0 || g->mode != MQ_GATEWAY_SERVING
                    ? 0
                    : mq_send_budget_lend (
                        &s->budget, mq_cluster_count_busy (&g->cluster, now),
                        mq_cluster_sends (&g->cluster, request->service, now),
                        request->sends, now);
  mq_log (G_LOG_LEVEL_INFO, "budget.lent",
          "service=%016" G_GINT64_MODIFIER "x sends=%u of=%u borrower=%.*s",
          request->service, grant.sends, request->sends,
          MQ_SPAN_ARG (request->borrower));
  if (grant.sends > 0)
    {
      *g->counters.budget_lent += grant.sends;
      transfer_send (g, back, MQ_CLUSTER_MESSAGE_BUDGET_GRANT, &grant);
    }
  rest.sends -= grant.sends;
  if (rest.sends > 0 && g->cluster.relays)
    request_forward (g, &s->budget, &rest, borrower != NULL && borrower->local,
                     now);
}

/* ---- Borrowing.  */

/* Has FORWARD begun, and does it wait to be sent?  */
static bool
forward_waits (const mq_forward *forward)
{
  return forward->call == NULL && forward->state.response_started;
}

/* Streams of SERVICE, a hash, that wait to be sent.  */
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

/* A relay of this domain that lives, drawn by chance; NULL: none.  */
static mq_cluster_member *
relay_draw (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer value;
  mq_cluster_member *drawn = NULL;
  unsigned n = 0;

  g_hash_table_iter_init (&i, gateway->cluster.routers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      mq_cluster_member *r = value;

      if (r->local && r->relays && mq_cluster_member_is_alive (r, now_us)
          && mq_gateway_random (gateway) % ++n == 0)
        drawn = r;
    }
  return drawn;
}

static void
service_request (mq_gateway *gateway, mq_service_state *state,
                 uint64_t service, unsigned sends, uint64_t now_us)
{
  mq_gateway *g = gateway;
  mq_cluster_message_budget request
      = { .borrower = mq_str_span (g->cluster.peer),
          .service = service,
          .sends = MIN (sends, MQ_CLUSTER_MESSAGE_MAX_SENDS),
          .serial = mq_gateway_random (g) };
  mq_cluster_member *relay = g->cluster.relays ? NULL : relay_draw (g, now_us);

  state->borrow_us = now_us;
  state->borrow_open = request.sends;
  state->borrow_serial = request.serial;
  mq_log (G_LOG_LEVEL_INFO, "budget.request",
          "service=%016" G_GINT64_MODIFIER "x sends=%u relay=%s", service,
          request.sends, relay != NULL ? mq_str_cstr (relay->name) : "self");
  if (g->cluster.relays)
    request_forward (g, &state->budget, &request, true, now_us);
  else if (relay != NULL)
    transfer_send (g, relay, MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, &request);
}

void
mq_budget_transfer_tick (mq_gateway *gateway, uint64_t now_us)
{
  GHashTableIter i;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&i, gateway->services);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      mq_service_state *s = value;
      uint64_t service = mq_span_hash (mq_span_from (name));
      unsigned waiting;

      if (now_us - s->borrow_us < REQUEST_INTERVAL_US)
        continue;
      s->borrow_open = 0;
      waiting = service_waiting (gateway, service);
      if (waiting > 0
          && !mq_send_budget_has_room (
              &s->budget, mq_cluster_count_busy (&gateway->cluster, now_us),
              mq_cluster_sends (&gateway->cluster, service, now_us), now_us))
        service_request (gateway, s, service, waiting, now_us);
    }
}

/* Send what waited for budget.  */
static void
service_resume (mq_gateway *gateway, uint64_t now_us)
{
  GList *next;

  for (GList *l = gateway->forwards.head; l != NULL; l = next)
    {
      mq_forward *f = l->data;

      next = l->next;
      if (forward_waits (f))
        mq_forward_tick (f, now_us);
    }
}

static void
grant_keep (mq_gateway *gateway, const mq_cluster_message_budget *grant)
{
  mq_service_state *s = service_find (gateway, grant->service);
  uint64_t now = mq_gateway_now_us ();
  unsigned sends;

  if (s == NULL || grant->serial != s->borrow_serial)
    return;
  sends = MIN (grant->sends, s->borrow_open);
  mq_log (G_LOG_LEVEL_INFO, "budget.borrowed",
          "service=%016" G_GINT64_MODIFIER "x sends=%u of=%u"
          " ms=%" G_GUINT64_FORMAT,
          grant->service, sends, s->borrow_open, (now - s->borrow_us) / 1000);
  if (sends == 0)
    return;
  s->borrow_open -= sends;
  *gateway->counters.budget_borrowed += sends;
  mq_send_budget_borrow (&s->budget, sends, now);
  service_resume (gateway, now);
}

void
mq_budget_transfer_take_grant (mq_gateway *gateway,
                               const mq_cluster_message_budget *grant)
{
  mq_cluster_message_budget g = *grant;
  mq_cluster_member *to;

  if (g.n_via == 0)
    {
      if (is_self (gateway, g.borrower))
        grant_keep (gateway, &g);
      return;
    }
  if (!is_self (gateway, g.via[g.n_via - 1]))
    return;
  g.n_via--;
  to = grant_next (gateway, &g);
  if (to != NULL)
    transfer_send (gateway, to, MQ_CLUSTER_MESSAGE_BUDGET_GRANT, &g);
}
