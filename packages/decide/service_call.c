/* Calls of plain services: choice of an instance, sends and safe retries.

   Invariants:
   - a call is in flight at no more than one instance at a time;
   - a call that may not be repeated is sent again only if every earlier send
     is proven not to have run;
   - an instance has no more calls of this router in flight than the service
     allows.  */

#include <mq/internal/defect.h>
#include <mq/internal/entry.h>

#define DEFAULT_MAX_IN_FLIGHT 64
/* Maximum sends of one call.  */
#define MAX_SENDS 4
/* Back-off between two sends.  */
#define RETRY_BASE_US 10000
#define RETRY_MAX_US 500000
/* Ejection time of an instance that failed; doubles with each consecutive
   failure.  */
#define EJECTION_BASE_US 100000
#define EJECTION_MAX_US 5000000
/* Retry-After when all instances are full.  */
#define FULL_RETRY_AFTER_US 200000

typedef struct instance_state
{
  uint32_t in_flight;
  uint32_t failures;         /* Consecutive.  */
  uint64_t ejected_until_us; /* Until then used only if all others are
                                full or ejected too.  */
} instance_state;

static guint
instance_hash (gconstpointer key)
{
  return (guint)mq_span_hash (mq_str_span (key));
}

static gboolean
instance_equal (gconstpointer a, gconstpointer b)
{
  return mq_span_equal (mq_str_span (a), mq_str_span (b));
}

static void
instance_name_free (gpointer name)
{
  mq_str_unref (name);
}

static instance_state *
instance_get (mq_entry *entry, mq_str *url)
{
  instance_state *i = g_hash_table_lookup (entry->instances, url);

  if (i == NULL)
    {
      i = g_new0 (instance_state, 1);
      g_hash_table_insert (entry->instances, mq_str_ref (url), i);
    }
  return i;
}

/* Returns the cost of using an instance; the lowest is chosen.  Ejection
   weighs most, then calls in flight, then another failure domain.  */
static uint64_t
instance_cost (const mq_entry *entry, const mq_instance *instance,
               const instance_state *state)
{
  bool ejected = state->ejected_until_us > entry->now_us;
  bool remote = !mq_span_equal (mq_str_span (instance->failure_domain),
                                mq_str_span (entry->failure_domain));

  return ((uint64_t)ejected << 40) + ((uint64_t)state->in_flight << 1)
         + remote;
}

/* Returns the URL of the best instance, or NULL if all are full; borrowed.  */
static mq_str *
call_choose_instance (mq_entry *entry, const mq_service *service)
{
  const GArray *all = service->u.plain.instances;
  uint32_t max_in_flight = service->u.plain.concurrent > 0
                               ? service->u.plain.concurrent
                               : DEFAULT_MAX_IN_FLIGHT;
  mq_str *best = NULL;
  uint64_t best_cost = UINT64_MAX;
  uint64_t next_instance = entry->next_instance++;

  for (guint k = 0; k < all->len; k++)
    {
      const mq_instance *i
          = &g_array_index (all, mq_instance, (k + next_instance) % all->len);
      const instance_state *s = instance_get (entry, i->url);
      uint64_t cost = instance_cost (entry, i, s);

      if (s->in_flight >= max_in_flight)
        continue;
      if (!mq_entry_uses_deadline_routing (entry))
        return i->url;
      if (cost < best_cost)
        {
          best = i->url;
          best_cost = cost;
        }
    }
  return best;
}

/* Record that the call is no longer in flight at its instance.  */
static void
call_release_instance (mq_entry *entry, mq_request *request)
{
  instance_get (entry, request->instance)->in_flight--;
  g_clear_pointer (&request->instance, mq_str_unref);
}

static void
call_note_failure (mq_entry *entry, mq_str *url)
{
  instance_state *s = instance_get (entry, url);
  uint64_t ejection_us = (uint64_t)EJECTION_BASE_US << MIN (s->failures, 16);

  s->failures++;
  s->ejected_until_us = entry->now_us + MIN (ejection_us, EJECTION_MAX_US);
}

static const mq_service *
call_service (const mq_entry *entry, const mq_request *request)
{
  const mq_service *s
      = mq_config_service (entry->config, mq_str_span (request->service));

  return s != NULL && s->kind == MQ_SERVICE_PLAIN ? s : NULL;
}

/* Returns true if the budgets of both the service and the organisation have a
   retry left.  */
static bool
call_has_budget (mq_entry *entry, const mq_request *request,
                 const mq_service *service)
{
  mq_span organisation = mq_str_span (request->organisation);

  if (!mq_entry_uses_deadline_routing (entry))
    return true;
  return service->retry_percent > 0
         && mq_retry_budget_is_available (entry->service_budget,
                                          mq_str_span (service->name))
         && mq_retry_budget_is_available (entry->organisation_budget,
                                          organisation);
}

static void
call_withdraw_budget (mq_entry *entry, const mq_request *request)
{
  mq_retry_budget_withdraw (entry->service_budget,
                            mq_str_span (request->service));
  mq_retry_budget_withdraw (entry->organisation_budget,
                            mq_str_span (request->organisation));
}

static void
call_deposit_budget (mq_entry *entry, const mq_request *request,
                     const mq_service *service)
{
  mq_retry_budget_deposit (entry->service_budget, mq_str_span (service->name),
                           service->retry_percent);
  mq_retry_budget_deposit (entry->organisation_budget,
                           mq_str_span (request->organisation),
                           service->retry_percent);
}

/* Schedule a retry of REQUEST, which has no send in flight.  Returns false if
   a retry is not allowed or cannot help.  */
static bool
call_retry (mq_entry *entry, mq_request *request)
{
  const mq_service *s = call_service (entry, request);
  uint64_t wait_us;

  if (s == NULL || request->attempt >= MAX_SENDS
      || mq_entry_quarantine_remaining_us (entry, request->content) > 0)
    return false;
  if (request->may_have_run && !request->repeatable
      && !mq_defect_enabled (MQ_DEFECT_NON_REPEATABLE_RETRIED))
    return false;
  wait_us = mq_backoff_us (&entry->random, request->backoffs++, RETRY_BASE_US,
                           RETRY_MAX_US);
  if (wait_us >= mq_request_remaining_us (request, entry->now_us))
    return false;
  if (!call_has_budget (entry, request, s))
    {
      entry->counters.retries_denied++;
      return false;
    }
  call_withdraw_budget (entry, request);
  request->resume_us = entry->now_us + wait_us;
  mq_entry_set_state (entry, request, MQ_REQUEST_BACKING_OFF);
  return true;
}

/* Returns true if STATUS reports a temporary failure of the upstream.  */
static bool
call_status_is_retryable (unsigned status)
{
  return status == 502 || status == 503 || status == 504;
}

static bool
call_is_awaited (mq_entry *entry, const mq_request *request, uint32_t attempt)
{
  if (request->state == MQ_REQUEST_CALLING && attempt == request->attempt)
    return true;
  entry->counters.stale_events++;
  return false;
}

static void
call_note_sent (mq_entry *entry, const mq_request *request)
{
  mq_decision_kind kind
      = request->attempt == 1 ? MQ_DECISION_ADMITTED : MQ_DECISION_RETRIED;
  mq_decision d = mq_entry_decision (entry, request, kind);

  mq_decision_log_add (entry->decisions, &d);
  entry->counters.sends++;
  if (request->attempt > 1)
    entry->counters.retries++;
}

void
mq_service_call_send (mq_entry *entry, mq_request *request)
{
  const mq_service *s = call_service (entry, request);
  mq_str *url;
  mq_entry_action *a;

  if (s == NULL)
    {
      mq_entry_give_up (entry, request, MQ_REASON_UNKNOWN_SERVICE, 0);
      return;
    }
  url = call_choose_instance (entry, s);
  if (url == NULL)
    {
      mq_entry_give_up (entry, request, MQ_REASON_OVERLOADED,
                        FULL_RETRY_AFTER_US);
      return;
    }
  if (request->attempt++ == 0)
    call_deposit_budget (entry, request, s);
  request->instance = mq_str_ref (url);
  instance_get (entry, url)->in_flight++;
  call_note_sent (entry, request);
  mq_entry_set_state (entry, request, MQ_REQUEST_CALLING);
  a = mq_entry_emit (entry, request, MQ_ENTRY_SEND);
  a->u.send.url = mq_str_span (url);
  a->u.send.deadline_us = mq_request_remaining_us (request, entry->now_us);
}

void
mq_service_call_reply (mq_entry *entry, mq_request *request,
                       const mq_entry_event *event)
{
  unsigned status = event->u.status;

  if (!call_is_awaited (entry, request, event->attempt))
    return;
  if (call_status_is_retryable (status))
    call_note_failure (entry, request->instance);
  else
    instance_get (entry, request->instance)->failures = 0;
  call_release_instance (entry, request);
  mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
  request->may_have_run = true;
  if (call_status_is_retryable (status) && call_retry (entry, request))
    return;
  mq_entry_note_success (entry, request);
  if (!request->caller_disconnected)
    mq_entry_emit (entry, request, MQ_ENTRY_FORWARD_REPLY);
  if (status < 500)
    mq_entry_end (entry, request, MQ_OUTCOME_DONE, MQ_REASON_NONE, 0);
  else
    mq_entry_end (entry, request, MQ_OUTCOME_UNKNOWN,
                  MQ_REASON_UPSTREAM_FAILED, 0);
}

void
mq_service_call_failed (mq_entry *entry, mq_request *request,
                        const mq_entry_event *event)
{
  const mq_send_failure *f = &event->u.failure;

  if (!call_is_awaited (entry, request, event->attempt))
    return;
  call_note_failure (entry, request->instance);
  if (f->maybe_sent && !f->said_not_run && !f->timed_out)
    mq_entry_suspect (entry, request, request->instance);
  call_release_instance (entry, request);
  mq_entry_set_state (entry, request, MQ_REQUEST_IDLE);
  if (f->maybe_sent && !f->said_not_run)
    request->may_have_run = true;
  if (call_retry (entry, request))
    return;
  mq_entry_give_up (entry, request,
                    f->said_not_run ? MQ_REASON_UPSTREAM_REFUSED
                                    : MQ_REASON_UPSTREAM_FAILED,
                    RETRY_MAX_US);
}

void
mq_service_call_close (mq_entry *entry, mq_request *request)
{
  if (request->state != MQ_REQUEST_CALLING)
    return;
  request->may_have_run = true;
  mq_entry_emit (entry, request, MQ_ENTRY_CANCEL_SEND);
  call_release_instance (entry, request);
}

bool
mq_service_call_is_repeatable (const mq_service *service, const mq_call *call)
{
  const GArray *all;

  if (service->kind != MQ_SERVICE_PLAIN)
    return false;
  if (service->u.plain.honours_keys && call->guard == MQ_GUARD_KEY)
    return true;
  all = service->u.plain.repeatable;
  for (guint k = 0; k < all->len; k++)
    {
      const mq_repeatable_call *c
          = &g_array_index (all, mq_repeatable_call, k);

      if (mq_span_equal (mq_str_span (c->method), call->method)
          && mq_span_starts_with (call->path, mq_str_span (c->path_prefix)))
        return true;
    }
  return false;
}

GHashTable *
mq_service_call_instances_new (void)
{
  return g_hash_table_new_full (instance_hash, instance_equal,
                                instance_name_free, g_free);
}

static bool
instance_is_configured (const mq_config *config, mq_span url)
{
  for (guint i = 0; i < config->services->len; i++)
    {
      const mq_service *s = &g_array_index (config->services, mq_service, i);

      if (s->kind != MQ_SERVICE_PLAIN)
        continue;
      for (guint k = 0; k < s->u.plain.instances->len; k++)
        if (mq_span_equal (
                mq_str_span (
                    g_array_index (s->u.plain.instances, mq_instance, k).url),
                url))
          return true;
    }
  return false;
}

static gboolean
instance_is_unused (gpointer key, gpointer value, gpointer config)
{
  const instance_state *s = value;

  return s->in_flight == 0
         && !instance_is_configured (config, mq_str_span (key));
}

void
mq_service_call_configure (mq_entry *entry)
{
  g_hash_table_foreach_remove (entry->instances, instance_is_unused,
                               entry->config);
}
