/* Whether a router that has just started knows the upstreams of a service: see
   mq/service_view.h.  */

#include <mq/service_view.h>

/* Upstreams whose entries expired during an outage of the store write them
   again within about two seconds; then a change takes up to half a second to
   reach all routers.  After this a list without a path is believed.  */
#define SETTLE_US ((uint64_t)2500 * 1000)
/* Expected time until a first list arrives: the first calls to the store are
   repeated after 100 to 400 ms, later ones after 1,600 ms.  */
#define FIRST_LIST_US ((uint64_t)500 * 1000)
#define FIRST_LIST_OUTAGE_US ((uint64_t)1000 * 1000)
/* What must be left of a request's time when its wait ends: a quarter of it,
   and at least the time of a run to its first event and of a response.  */
#define MIN_RESERVE_US ((uint64_t)300 * 1000)
#define RESERVE_DIVISOR 4
/* Retry-After: the minimum, and the share by which it is spread upwards.  */
#define MIN_RETRY_AFTER_MS 200
#define RETRY_SPREAD 0.25
/* When the list is read again, since the first one.  Engines come back over up
   to two seconds, most of them in the first.  */
static const uint64_t READ_DELAYS_US[MQ_SERVICE_VIEW_MAX_READS]
    = { (uint64_t)400 * 1000, (uint64_t)900 * 1000, (uint64_t)1600 * 1000 };
/* Share by which these are spread, so that a fleet does not read at once.  */
#define READ_SPREAD 0.25

/* When a list without a path is believed; there must be a list.  A recovery of
   the store counts only soon after the first list, while the router starts. */
static uint64_t
view_settled_us (const mq_view_facts *view)
{
  uint64_t since = view->list_us;

  if (view->store_recovered_us > since
      && view->store_recovered_us < since + SETTLE_US)
    since = view->store_recovered_us;
  return since + SETTLE_US;
}

/* Returns true if upstreams may be missing from the list.  */
static bool
view_may_lack (const mq_view_facts *view, const mq_service_facts *service,
               uint64_t now_us)
{
  /* A service without layers is known with the list, unless instances may
     have expired from it during an outage of the store.  */
  if (!service->layered && view->store_recovered_us == 0)
    return false;
  /* So is a model whose engines hold nothing, as when a deployment starts for
     the first time: to load it takes longer than a request may wait.  */
  if (service->unloaded && view->store_recovered_us == 0)
    return false;
  return now_us < view_settled_us (view);
}

mq_service_view
mq_service_view_decide (const mq_view_facts *view,
                        const mq_service_facts *service, uint64_t now_us)
{
  mq_service_view v = { MQ_SERVICE_VIEW_UNAVAILABLE, 0, 0 };

  if (view->list_us > 0)
    v.age_us = now_us - view->list_us;
  if (service->served)
    v.state = MQ_SERVICE_VIEW_KNOWN;
  else if (service->served_before)
    return v;
  else if (view->list_us == 0)
    {
      v.state = MQ_SERVICE_VIEW_UNKNOWN;
      v.expected_us = view->store_fails ? FIRST_LIST_OUTAGE_US : FIRST_LIST_US;
    }
  else if (view_may_lack (view, service, now_us))
    {
      v.state = MQ_SERVICE_VIEW_UNKNOWN;
      v.expected_us = view_settled_us (view) - now_us;
    }
  return v;
}

const char *
mq_service_view_state_name (mq_service_view_state state)
{
  switch (state)
    {
    case MQ_SERVICE_VIEW_KNOWN:
      return "known";
    case MQ_SERVICE_VIEW_UNKNOWN:
      return "unknown";
    case MQ_SERVICE_VIEW_UNAVAILABLE:
      break;
    }
  return "unavailable";
}

const char *
mq_view_source_name (mq_view_source source)
{
  switch (source)
    {
    case MQ_VIEW_SOURCE_STORE:
      return "store";
    case MQ_VIEW_SOURCE_PEER:
      return "peer";
    case MQ_VIEW_SOURCE_NONE:
      break;
    }
  return "none";
}

uint64_t
mq_service_view_wait_until_us (uint64_t arrived_us, uint64_t deadline_us)
{
  uint64_t until = arrived_us + MQ_SERVICE_VIEW_MAX_WAIT_US;
  uint64_t reserve;

  if (deadline_us == 0)
    return until;
  if (deadline_us <= arrived_us)
    return arrived_us;
  reserve = MAX ((deadline_us - arrived_us) / RESERVE_DIVISOR, MIN_RESERVE_US);
  if (deadline_us - arrived_us <= reserve)
    return arrived_us;
  return MIN (until, deadline_us - reserve);
}

bool
mq_service_view_may_wait (uint64_t until_us, unsigned waiting, bool waits,
                          uint64_t now_us)
{
  return now_us < until_us && (waits || waiting < MQ_SERVICE_VIEW_MAX_WAITING);
}

unsigned
mq_service_view_retry_after_ms (const mq_service_view *view, uint64_t random)
{
  double even = (double)(random >> 11) / (double)(UINT64_MAX >> 11);
  double ms = (double)view->expected_us / 1000 * (1 + RETRY_SPREAD * even);

  return (unsigned)MAX (ms, MIN_RETRY_AFTER_MS);
}

bool
mq_service_view_take_call (mq_service_view_reads *reads)
{
  if (reads->calls >= MQ_SERVICE_VIEW_MAX_READS)
    return false;
  reads->calls++;
  return true;
}

bool
mq_service_view_read_is_due (mq_service_view_reads *reads,
                             const mq_view_facts *view, bool incomplete,
                             bool running, double spread, uint64_t now_us)
{
  uint64_t delay;

  if (!incomplete || !running || view->list_us == 0
      || reads->calls >= MQ_SERVICE_VIEW_MAX_READS
      || now_us >= view_settled_us (view))
    return false;
  delay = READ_DELAYS_US[reads->calls];
  delay += (uint64_t)((double)delay * READ_SPREAD * spread);
  if (now_us < view->list_us + delay)
    return false;
  return mq_service_view_take_call (reads);
}

bool
mq_service_view_gather_is_short (mq_service_view_reads *reads,
                                 const mq_view_facts *view, bool incomplete,
                                 bool running, uint64_t now_us)
{
  if (!incomplete || !running || view->list_us == 0
      || now_us >= view_settled_us (view))
    return false;
  return mq_service_view_take_call (reads);
}
