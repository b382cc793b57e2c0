/* Decoding of messages between routers: see mq/peer_message.h.

   One static function for each kind validates what it reads; get_body selects
   it.  A decoded message borrows its texts from the protobuf library's
   envelope, which is freed by mq_peer_decoded_finish.  */

#include <mq/peer_message.h>

#include <math.h>
#include <peer.pb-c.h>
#include <string.h>

G_DEFINE_QUARK (mq - peer - message - error - quark, mq_peer_message_error)

/* ---- Texts and small parts.  */

static mq_span
to_span (ProtobufCBinaryData bytes)
{
  return (mq_span){ (const char *)bytes.data, bytes.len };
}

static bool
text_is_valid_size (ProtobufCBinaryData bytes)
{
  return bytes.len <= MQ_PEER_MAX_TEXT_BYTES;
}

static int
get_id (mq_request_id *to, const Mq__Peer__RequestId *from)
{
  if (from == NULL)
    return -1;
  to->router = from->router;
  to->sequence = from->sequence;
  return 0;
}

static bool
rate_is_valid (double rate)
{
  return isfinite (rate) && rate >= 0;
}

static int
get_share (mq_share *to, const Mq__Peer__Share *from)
{
  if (from == NULL || !rate_is_valid (from->requests_per_s)
      || !rate_is_valid (from->tokens_per_s))
    return -1;
  to->requests_per_s = from->requests_per_s;
  to->tokens_per_s = from->tokens_per_s;
  to->permits = from->permits;
  return 0;
}

/* ---- Plans.  */

/* TO is initialised even if this fails.  */
static int
get_plan (mq_plan *to, const Mq__Peer__Plan *from)
{
  mq_plan_init (to);
  if (from == NULL || from->n_stages > MQ_PLAN_MAX_STAGES
      || !text_is_valid_size (from->model)
      || !text_is_valid_size (from->version))
    return -1;
  to->model = mq_str_new (to_span (from->model));
  to->version = mq_str_new (to_span (from->version));
  to->layers = from->layers;
  for (size_t i = 0; i < from->n_stages; i++)
    {
      const Mq__Peer__Stage *s = from->stages[i];
      mq_stage *t = &to->stages[to->n_stages];

      if (!text_is_valid_size (s->engine) || !text_is_valid_size (s->url))
        return -1;
      t->engine = mq_str_new (to_span (s->engine));
      t->url = mq_str_new (to_span (s->url));
      t->first = s->first;
      t->end = s->end;
      to->n_stages++;
    }
  return mq_plan_check_coverage (to) == MQ_PLAN_OK ? 0 : -1;
}

static int
get_plan_request (mq_plan_request *to, const Mq__Peer__PlanAsk *from)
{
  memset (to, 0, sizeof *to);
  if (from == NULL || get_id (&to->id, from->id) < 0
      || from->n_avoid > MQ_PLAN_MAX_STAGES
      || !text_is_valid_size (from->service)
      || !text_is_valid_size (from->organisation))
    return -1;
  to->attempt = from->attempt;
  to->service = to_span (from->service);
  to->organisation = to_span (from->organisation);
  to->prompt_tokens = from->prompt_tokens;
  to->sent_tokens = from->sent_tokens;
  to->max_tokens = from->max_tokens;
  to->priority = from->priority;
  to->deadline_us = from->deadline_us;
  to->prefix_hash = from->prefix_hash;
  to->n_avoid = (uint32_t)from->n_avoid;
  for (size_t i = 0; i < from->n_avoid; i++)
    to->avoid[i] = to_span (from->avoid[i]);
  return 0;
}

/* ---- Membership.  */

static bool
state_is_valid (Mq__Peer__MemberState state)
{
  return (unsigned)state <= MQ_MEMBER_DEAD;
}

static int
get_introduction (mq_heartbeat *to, const Mq__Peer__Introduction *from)
{
  if (!text_is_valid_size (from->vm)
      || !text_is_valid_size (from->peer_address)
      || !text_is_valid_size (from->entry_address)
      || !text_is_valid_size (from->failure_domain)
      || !text_is_valid_size (from->region))
    return -1;
  to->vm = to_span (from->vm);
  to->peer_address = to_span (from->peer_address);
  to->entry_address = to_span (from->entry_address);
  to->failure_domain = to_span (from->failure_domain);
  to->region = to_span (from->region);
  return 0;
}

static int
get_heartbeat (mq_heartbeat *to, uint64_t sender,
               const Mq__Peer__Heartbeat *from)
{
  memset (to, 0, sizeof *to);
  if (!state_is_valid (from->receiver_state))
    return -1;
  to->incarnation = sender;
  to->sequence = from->sequence;
  to->generation = from->generation;
  to->interval_us = from->interval_us;
  to->members_hash = from->members_hash;
  to->receiver_incarnation = from->receiver_incarnation;
  to->receiver_sequence = from->receiver_sequence;
  to->receiver_state = (mq_member_state)from->receiver_state;
  to->load = from->load;
  to->leaving = from->leaving;
  return from->introduction == NULL
             ? 0
             : get_introduction (to, from->introduction);
}

static int
get_member_updates (mq_peer_decoded *to, const Mq__Peer__News *from)
{
  to->items = g_new0 (mq_member_update, from->n_items);
  for (size_t i = 0; i < from->n_items; i++)
    {
      const Mq__Peer__MemberNews *m = from->items[i];
      mq_member_update *item = &to->items[i];

      if (!state_is_valid (m->state) || m->vm.len == 0
          || !text_is_valid_size (m->vm)
          || !text_is_valid_size (m->peer_address))
        return -1;
      item->vm = to_span (m->vm);
      item->peer_address = to_span (m->peer_address);
      item->incarnation = m->incarnation;
      item->sequence = m->sequence;
      item->state = (mq_member_state)m->state;
      item->leaving = m->leaving;
    }
  to->message.u.member_updates.items = to->items;
  to->message.u.member_updates.n = from->n_items;
  return 0;
}

/* ---- Planner.  */

static void
get_figures (mq_plan_figures *to, const Mq__Peer__PlanFigures *from)
{
  if (from == NULL)
    return;
  to->predicted_first_us = from->predicted_first_us;
  to->predicted_finish_us = from->predicted_finish_us;
  to->margin_us = from->margin_us;
  to->deadline_us = from->deadline_us;
  to->in_flight = from->in_flight;
  to->capacity = from->capacity;
  to->share = from->share;
  to->held = from->held;
}

static int
get_plan_answer (mq_peer_decoded *to, const Mq__Peer__PlanAnswer *from)
{
  mq_peer_message *m = &to->message;

  if (get_id (&m->u.plan_answer.id, from->id) < 0
      || from->reason >= MQ_REASON_COUNT)
    return -1;
  m->u.plan_answer.attempt = from->attempt;
  m->u.plan_answer.admitted = from->admitted;
  m->u.plan_answer.reason = (mq_reason)from->reason;
  m->u.plan_answer.retry_after_us = from->retry_after_us;
  get_figures (&m->u.plan_answer.figures, from->figures);
  if (!from->admitted)
    return 0;
  to->has_plan = true;
  return get_plan (&m->u.plan_answer.plan, from->plan);
}

static int
get_plan_release (mq_peer_message *to, const Mq__Peer__PlanRelease *from)
{
  mq_plan_release *r = &to->u.plan_release.release;

  bool stage_valid
      = from->stage < MQ_PLAN_MAX_STAGES || from->stage == MQ_STAGE_NONE;

  if (get_id (&r->id, from->id) < 0 || from->end > MQ_ATTEMPT_STAGE_WRONG
      || !stage_valid || !text_is_valid_size (from->service))
    return -1;
  r->attempt = from->attempt;
  r->end = (mq_attempt_end)from->end;
  r->stage = from->stage;
  r->tokens = from->tokens;
  r->first_token_us = from->first_token_us;
  r->mean_gap_us = from->mean_gap_us;
  to->u.plan_release.service = to_span (from->service);
  return 0;
}

static int
get_plan_progress (mq_peer_message *to, const Mq__Peer__PlanProgress *from)
{
  if (get_id (&to->u.plan_progress.id, from->id) < 0
      || !text_is_valid_size (from->service))
    return -1;
  to->u.plan_progress.attempt = from->attempt;
  to->u.plan_progress.tokens = from->tokens;
  to->u.plan_progress.mean_gap_us = from->mean_gap_us;
  to->u.plan_progress.service = to_span (from->service);
  return 0;
}

static int
get_plan_register (mq_peer_decoded *to, const Mq__Peer__PlanRegister *from)
{
  mq_peer_message *m = &to->message;

  if (get_plan_request (&m->u.plan_register.request, from->ask) < 0)
    return -1;
  m->u.plan_register.tokens = from->tokens;
  to->has_plan = true;
  return get_plan (&m->u.plan_register.plan, from->plan);
}

/* ---- Limits.  */

static int
get_limit_request (mq_limit_request *to, const Mq__Peer__LimitAsk *from)
{
  if (!text_is_valid_size (from->organisation)
      || get_share (&to->demand, from->demand) < 0
      || get_share (&to->held, from->held) < 0)
    return -1;
  to->organisation = to_span (from->organisation);
  to->in_flight = from->in_flight;
  return 0;
}

/* A share with a longer lifetime than any owner grants would let the limit be
   exceeded.  */
static int
get_limit_grant (mq_limit_grant *to, const Mq__Peer__LimitGrant *from)
{
  if (!text_is_valid_size (from->organisation)
      || get_share (&to->share, from->share) < 0
      || from->lifetime_us > MQ_LIMITER_LONG_LIFETIME_US)
    return -1;
  to->organisation = to_span (from->organisation);
  to->lifetime_us = from->lifetime_us;
  to->contended = from->contended;
  return 0;
}

/* ---- Configuration.  */

static int
get_config_object (mq_peer_message *to, const Mq__Peer__ConfigObject *from)
{
  if (!text_is_valid_size (from->name))
    return -1;
  to->u.config_object.name = to_span (from->name);
  to->u.config_object.version = from->version;
  to->u.config_object.value = to_span (from->value);
  to->u.config_object.missing = from->missing;
  return 0;
}

/* ---- Crash records.  */

static int
get_crash_records (mq_peer_message *to, const Mq__Peer__Ends *from)
{
  if (from->n_items > MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE)
    return -1;
  for (size_t i = 0; i < from->n_items; i++)
    {
      const Mq__Peer__End *e = from->items[i];

      if (e->request == 0)
        return -1;
      to->u.crashes.items[i]
          = (mq_quarantine_record){ e->request, e->upstream, e->age_ms };
    }
  to->u.crashes.n = from->n_items;
  return 0;
}

/* ---- All kinds.  */

/* Fill DECODED's message from the envelope E.  */
static int
get_body (mq_peer_decoded *decoded, const Mq__Peer__Envelope *e)
{
  mq_peer_message *m = &decoded->message;

  switch (e->body_case)
    {
    case MQ__PEER__ENVELOPE__BODY_HEARTBEAT:
      m->kind = MQ_PEER_HEARTBEAT;
      return get_heartbeat (&m->u.heartbeat, e->sender, e->heartbeat);
    case MQ__PEER__ENVELOPE__BODY_NEWS:
      m->kind = MQ_PEER_MEMBER_UPDATES;
      return get_member_updates (decoded, e->news);
    case MQ__PEER__ENVELOPE__BODY_PLAN_ASK:
      m->kind = MQ_PEER_PLAN_REQUEST;
      m->u.plan_request.generation = e->plan_ask->generation;
      return get_plan_request (&m->u.plan_request.request, e->plan_ask);
    case MQ__PEER__ENVELOPE__BODY_PLAN_ANSWER:
      m->kind = MQ_PEER_PLAN_ANSWER;
      return get_plan_answer (decoded, e->plan_answer);
    case MQ__PEER__ENVELOPE__BODY_PLAN_RELEASE:
      m->kind = MQ_PEER_PLAN_RELEASE;
      return get_plan_release (m, e->plan_release);
    case MQ__PEER__ENVELOPE__BODY_PLAN_PROGRESS:
      m->kind = MQ_PEER_PLAN_PROGRESS;
      return get_plan_progress (m, e->plan_progress);
    case MQ__PEER__ENVELOPE__BODY_PLAN_REGISTER:
      m->kind = MQ_PEER_PLAN_REGISTER;
      return get_plan_register (decoded, e->plan_register);
    case MQ__PEER__ENVELOPE__BODY_LIMIT_ASK:
      m->kind = MQ_PEER_LIMIT_REQUEST;
      return get_limit_request (&m->u.limit_request, e->limit_ask);
    case MQ__PEER__ENVELOPE__BODY_LIMIT_GRANT:
      m->kind = MQ_PEER_LIMIT_GRANT;
      return get_limit_grant (&m->u.limit_grant, e->limit_grant);
    case MQ__PEER__ENVELOPE__BODY_CONFIG_OFFER:
      m->kind = MQ_PEER_CONFIG_OFFER;
      m->u.generation = e->config_offer->generation;
      return 0;
    case MQ__PEER__ENVELOPE__BODY_CONFIG_FETCH:
      m->kind = MQ_PEER_CONFIG_FETCH;
      m->u.name = to_span (e->config_fetch->name);
      return text_is_valid_size (e->config_fetch->name) ? 0 : -1;
    case MQ__PEER__ENVELOPE__BODY_CONFIG_OBJECT:
      m->kind = MQ_PEER_CONFIG_OBJECT;
      return get_config_object (m, e->config_object);
    case MQ__PEER__ENVELOPE__BODY_ENDS:
      m->kind = MQ_PEER_CRASHES;
      return get_crash_records (m, e->ends);
    default:
      return -1;
    }
}

int
mq_peer_message_decode (mq_peer_decoded *decoded, mq_span bytes,
                        GError **error)
{
  Mq__Peer__Envelope *e = NULL;

  memset (decoded, 0, sizeof *decoded);
  if (bytes.size <= MQ_PEER_MAX_MESSAGE_BYTES)
    e = mq__peer__envelope__unpack (NULL, bytes.size,
                                    (const uint8_t *)bytes.data);
  if (e == NULL)
    {
      g_set_error_literal (error, MQ_PEER_MESSAGE_ERROR,
                           MQ_PEER_MESSAGE_ERROR_MALFORMED,
                           "message too long or not an envelope");
      return -1;
    }
  decoded->envelope = e;
  if (e->version != MQ_PEER_VERSION)
    {
      g_set_error (error, MQ_PEER_MESSAGE_ERROR, MQ_PEER_MESSAGE_ERROR_VERSION,
                   "unsupported message version %u, expected %d", e->version,
                   MQ_PEER_VERSION);
      goto fail;
    }
  /* The library keeps the last of several values of a field.  */
  if (mq__peer__envelope__get_packed_size (e) != bytes.size)
    {
      g_set_error_literal (error, MQ_PEER_MESSAGE_ERROR,
                           MQ_PEER_MESSAGE_ERROR_MALFORMED,
                           "a field has several values");
      goto fail;
    }
  decoded->message.sender = e->sender;
  if (e->sender != 0 && get_body (decoded, e) == 0)
    return 0;
  g_set_error (error, MQ_PEER_MESSAGE_ERROR, MQ_PEER_MESSAGE_ERROR_MALFORMED,
               "invalid sender, or invalid body of kind %d",
               (int)e->body_case);
fail:
  mq_peer_decoded_finish (decoded);
  return -1;
}

void
mq_peer_decoded_finish (mq_peer_decoded *decoded)
{
  mq_peer_message *m = &decoded->message;

  if (decoded->has_plan && m->kind == MQ_PEER_PLAN_ANSWER)
    mq_plan_finish (&m->u.plan_answer.plan);
  if (decoded->has_plan && m->kind == MQ_PEER_PLAN_REGISTER)
    mq_plan_finish (&m->u.plan_register.plan);
  decoded->has_plan = false;
  g_clear_pointer (&decoded->items, g_free);
  if (decoded->envelope != NULL)
    mq__peer__envelope__free_unpacked (decoded->envelope, NULL);
  decoded->envelope = NULL;
}
