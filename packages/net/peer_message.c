/* Messages between routers: see mq/peer_message.h.

   One pair of static functions for each kind, one to the library's type and
   one from it; two functions near the end switch between them.  Encoding
   needs memory for nested parts: they lie in one `wire_parts` on the stack,
   which borrows all texts.  */

#include <mq/peer_message.h>

#include <math.h>
#include <peer.pb-c.h>
#include <string.h>

/* Room for the nested parts of one message.  */
typedef struct wire_parts
{
  Mq__Peer__Envelope envelope;
  Mq__Peer__Introduction introduction;
  Mq__Peer__RequestId id;
  Mq__Peer__PlanAsk ask;
  Mq__Peer__Plan plan;
  Mq__Peer__PlanFigures figures;
  Mq__Peer__Share shares[2];
  Mq__Peer__Stage stages[MQ_PLAN_STAGES];
  Mq__Peer__Stage *stage_list[MQ_PLAN_STAGES];
  ProtobufCBinaryData avoid[MQ_PLAN_STAGES];
  Mq__Peer__MemberNews *news; /* Owned.  */
  Mq__Peer__MemberNews **news_list;
  union
  {
    Mq__Peer__Heartbeat heartbeat;
    Mq__Peer__News news;
    Mq__Peer__PlanAnswer plan_answer;
    Mq__Peer__PlanRelease plan_release;
    Mq__Peer__PlanProgress plan_progress;
    Mq__Peer__PlanRegister plan_register;
    Mq__Peer__LimitAsk limit_ask;
    Mq__Peer__LimitGrant limit_grant;
    Mq__Peer__ConfigOffer config_offer;
    Mq__Peer__ConfigFetch config_fetch;
    Mq__Peer__ConfigObject config_object;
  } body;
} wire_parts;

G_DEFINE_QUARK (mq - peer - message - error - quark, mq_peer_message_error)

/* ---- Texts and small parts.  */

static ProtobufCBinaryData
to_bytes (mq_span span)
{
  return (ProtobufCBinaryData){ .len = span.size,
                                .data = (uint8_t *)span.data };
}

static mq_span
to_span (ProtobufCBinaryData bytes)
{
  return (mq_span){ (const char *)bytes.data, bytes.len };
}

static bool
text_is_short (ProtobufCBinaryData bytes)
{
  return bytes.len <= MQ_PEER_TEXT_LIMIT;
}

static Mq__Peer__RequestId *
put_id (Mq__Peer__RequestId *to, mq_request_id from)
{
  mq__peer__request_id__init (to);
  to->router = from.router;
  to->sequence = from.sequence;
  return to;
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

static Mq__Peer__Share *
put_share (Mq__Peer__Share *to, const mq_share *from)
{
  mq__peer__share__init (to);
  to->requests_per_s = from->requests_per_s;
  to->tokens_per_s = from->tokens_per_s;
  to->permits = from->permits;
  return to;
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

static Mq__Peer__Plan *
put_plan (wire_parts *parts, const mq_plan *from)
{
  Mq__Peer__Plan *to = &parts->plan;

  mq__peer__plan__init (to);
  to->model = to_bytes (mq_str_span (from->model));
  to->version = to_bytes (mq_str_span (from->version));
  to->layers = from->layers;
  to->n_stages = from->n_stages;
  to->stages = parts->stage_list;
  for (uint32_t i = 0; i < from->n_stages; i++)
    {
      Mq__Peer__Stage *s = &parts->stages[i];

      mq__peer__stage__init (s);
      s->engine = to_bytes (mq_str_span (from->stages[i].engine));
      s->url = to_bytes (mq_str_span (from->stages[i].url));
      s->first = from->stages[i].first;
      s->end = from->stages[i].end;
      parts->stage_list[i] = s;
    }
  return to;
}

/* TO is initialised also when this fails.  */
static int
get_plan (mq_plan *to, const Mq__Peer__Plan *from)
{
  mq_plan_init (to);
  if (from == NULL || from->n_stages > MQ_PLAN_STAGES
      || !text_is_short (from->model) || !text_is_short (from->version))
    return -1;
  to->model = mq_str_new (to_span (from->model));
  to->version = mq_str_new (to_span (from->version));
  to->layers = from->layers;
  for (size_t i = 0; i < from->n_stages; i++)
    {
      const Mq__Peer__Stage *s = from->stages[i];
      mq_stage *t = &to->stages[to->n_stages];

      if (!text_is_short (s->engine) || !text_is_short (s->url))
        return -1;
      t->engine = mq_str_new (to_span (s->engine));
      t->url = mq_str_new (to_span (s->url));
      t->first = s->first;
      t->end = s->end;
      to->n_stages++;
    }
  return mq_plan_check_cover (to) == MQ_PLAN_OK ? 0 : -1;
}

static Mq__Peer__PlanAsk *
put_plan_ask (wire_parts *parts, const mq_plan_ask *from, uint64_t generation)
{
  Mq__Peer__PlanAsk *to = &parts->ask;

  mq__peer__plan_ask__init (to);
  to->id = put_id (&parts->id, from->id);
  to->attempt = from->attempt;
  to->service = to_bytes (from->service);
  to->organisation = to_bytes (from->organisation);
  to->prompt_tokens = from->prompt_tokens;
  to->sent_tokens = from->sent_tokens;
  to->max_tokens = from->max_tokens;
  to->priority = from->priority;
  to->deadline_us = from->deadline_us;
  to->prefix_hash = from->prefix_hash;
  to->n_avoid = from->n_avoid;
  to->avoid = parts->avoid;
  for (uint32_t i = 0; i < from->n_avoid; i++)
    parts->avoid[i] = to_bytes (from->avoid[i]);
  to->generation = generation;
  return to;
}

static int
get_plan_ask (mq_plan_ask *to, const Mq__Peer__PlanAsk *from)
{
  memset (to, 0, sizeof *to);
  if (from == NULL || get_id (&to->id, from->id) < 0
      || from->n_avoid > MQ_PLAN_STAGES || !text_is_short (from->service)
      || !text_is_short (from->organisation))
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

static Mq__Peer__Heartbeat *
put_heartbeat (wire_parts *parts, const mq_heartbeat *from)
{
  Mq__Peer__Heartbeat *to = &parts->body.heartbeat;
  Mq__Peer__Introduction *i = &parts->introduction;

  mq__peer__heartbeat__init (to);
  to->sequence = from->sequence;
  to->generation = from->generation;
  to->interval_us = from->interval_us;
  to->members_hash = from->members_hash;
  to->receiver_incarnation = from->receiver_incarnation;
  to->receiver_sequence = from->receiver_sequence;
  to->receiver_state = (Mq__Peer__MemberState)from->receiver_state;
  to->load = from->load;
  to->leaving = from->leaving;
  if (from->vm.size == 0)
    return to;
  mq__peer__introduction__init (i);
  i->vm = to_bytes (from->vm);
  i->peer_address = to_bytes (from->peer_address);
  i->entry_address = to_bytes (from->entry_address);
  i->failure_domain = to_bytes (from->failure_domain);
  i->region = to_bytes (from->region);
  to->introduction = i;
  return to;
}

static bool
state_is_valid (Mq__Peer__MemberState state)
{
  return (unsigned)state <= MQ_MEMBER_DEAD;
}

static int
get_introduction (mq_heartbeat *to, const Mq__Peer__Introduction *from)
{
  if (!text_is_short (from->vm) || !text_is_short (from->peer_address)
      || !text_is_short (from->entry_address)
      || !text_is_short (from->failure_domain)
      || !text_is_short (from->region))
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

static Mq__Peer__News *
put_news (wire_parts *parts, const mq_member_news *items, size_t n)
{
  Mq__Peer__News *to = &parts->body.news;

  mq__peer__news__init (to);
  parts->news = g_new (Mq__Peer__MemberNews, n);
  parts->news_list = g_new (Mq__Peer__MemberNews *, n);
  for (size_t i = 0; i < n; i++)
    {
      Mq__Peer__MemberNews *m = &parts->news[i];

      mq__peer__member_news__init (m);
      m->vm = to_bytes (items[i].vm);
      m->peer_address = to_bytes (items[i].peer_address);
      m->incarnation = items[i].incarnation;
      m->sequence = items[i].sequence;
      m->state = (Mq__Peer__MemberState)items[i].state;
      m->leaving = items[i].leaving;
      parts->news_list[i] = m;
    }
  to->items = parts->news_list;
  to->n_items = n;
  return to;
}

static int
get_news (mq_peer_decoded *to, const Mq__Peer__News *from)
{
  to->items = g_new0 (mq_member_news, from->n_items);
  for (size_t i = 0; i < from->n_items; i++)
    {
      const Mq__Peer__MemberNews *m = from->items[i];
      mq_member_news *item = &to->items[i];

      if (!state_is_valid (m->state) || m->vm.len == 0
          || !text_is_short (m->vm) || !text_is_short (m->peer_address))
        return -1;
      item->vm = to_span (m->vm);
      item->peer_address = to_span (m->peer_address);
      item->incarnation = m->incarnation;
      item->sequence = m->sequence;
      item->state = (mq_member_state)m->state;
      item->leaving = m->leaving;
    }
  to->message.u.news.items = to->items;
  to->message.u.news.n = from->n_items;
  return 0;
}

/* ---- Planner.  */

static Mq__Peer__PlanFigures *
put_figures (Mq__Peer__PlanFigures *to, const mq_plan_figures *from)
{
  mq__peer__plan_figures__init (to);
  to->predicted_first_us = from->predicted_first_us;
  to->predicted_finish_us = from->predicted_finish_us;
  to->margin_us = from->margin_us;
  to->deadline_us = from->deadline_us;
  to->in_flight = from->in_flight;
  to->capacity = from->capacity;
  to->share = from->share;
  to->held = from->held;
  return to;
}

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

static Mq__Peer__PlanAnswer *
put_plan_answer (wire_parts *parts, const mq_peer_message *from)
{
  Mq__Peer__PlanAnswer *to = &parts->body.plan_answer;

  mq__peer__plan_answer__init (to);
  to->id = put_id (&parts->id, from->u.plan_answer.id);
  to->attempt = from->u.plan_answer.attempt;
  to->admitted = from->u.plan_answer.admitted;
  if (to->admitted)
    to->plan = put_plan (parts, &from->u.plan_answer.plan);
  to->reason = from->u.plan_answer.reason;
  to->retry_after_us = from->u.plan_answer.retry_after_us;
  to->figures = put_figures (&parts->figures, &from->u.plan_answer.figures);
  return to;
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

static Mq__Peer__PlanRelease *
put_plan_release (wire_parts *parts, const mq_peer_message *from)
{
  Mq__Peer__PlanRelease *to = &parts->body.plan_release;
  const mq_plan_release *r = &from->u.plan_release.release;

  mq__peer__plan_release__init (to);
  to->id = put_id (&parts->id, r->id);
  to->attempt = r->attempt;
  to->end = r->end;
  to->stage = r->stage;
  to->tokens = r->tokens;
  to->first_token_us = r->first_token_us;
  to->mean_gap_us = r->mean_gap_us;
  to->service = to_bytes (from->u.plan_release.service);
  return to;
}

static int
get_plan_release (mq_peer_message *to, const Mq__Peer__PlanRelease *from)
{
  mq_plan_release *r = &to->u.plan_release.release;

  bool stage_valid
      = from->stage < MQ_PLAN_STAGES || from->stage == MQ_STAGE_NONE;

  if (get_id (&r->id, from->id) < 0 || from->end > MQ_ATTEMPT_STAGE_WRONG
      || !stage_valid || !text_is_short (from->service))
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

static Mq__Peer__PlanProgress *
put_plan_progress (wire_parts *parts, const mq_peer_message *from)
{
  Mq__Peer__PlanProgress *to = &parts->body.plan_progress;

  mq__peer__plan_progress__init (to);
  to->id = put_id (&parts->id, from->u.plan_progress.id);
  to->attempt = from->u.plan_progress.attempt;
  to->tokens = from->u.plan_progress.tokens;
  to->mean_gap_us = from->u.plan_progress.mean_gap_us;
  to->service = to_bytes (from->u.plan_progress.service);
  return to;
}

static int
get_plan_progress (mq_peer_message *to, const Mq__Peer__PlanProgress *from)
{
  if (get_id (&to->u.plan_progress.id, from->id) < 0
      || !text_is_short (from->service))
    return -1;
  to->u.plan_progress.attempt = from->attempt;
  to->u.plan_progress.tokens = from->tokens;
  to->u.plan_progress.mean_gap_us = from->mean_gap_us;
  to->u.plan_progress.service = to_span (from->service);
  return 0;
}

static Mq__Peer__PlanRegister *
put_plan_register (wire_parts *parts, const mq_peer_message *from)
{
  Mq__Peer__PlanRegister *to = &parts->body.plan_register;

  mq__peer__plan_register__init (to);
  to->ask = put_plan_ask (parts, &from->u.plan_register.ask, 0);
  to->plan = put_plan (parts, &from->u.plan_register.plan);
  to->tokens = from->u.plan_register.tokens;
  return to;
}

static int
get_plan_register (mq_peer_decoded *to, const Mq__Peer__PlanRegister *from)
{
  mq_peer_message *m = &to->message;

  if (get_plan_ask (&m->u.plan_register.ask, from->ask) < 0)
    return -1;
  m->u.plan_register.tokens = from->tokens;
  to->has_plan = true;
  return get_plan (&m->u.plan_register.plan, from->plan);
}

/* ---- Limits.  */

static Mq__Peer__LimitAsk *
put_limit_ask (wire_parts *parts, const mq_limit_ask *from)
{
  Mq__Peer__LimitAsk *to = &parts->body.limit_ask;

  mq__peer__limit_ask__init (to);
  to->organisation = to_bytes (from->organisation);
  to->demand = put_share (&parts->shares[0], &from->demand);
  to->held = put_share (&parts->shares[1], &from->held);
  to->in_flight = from->in_flight;
  return to;
}

static int
get_limit_ask (mq_limit_ask *to, const Mq__Peer__LimitAsk *from)
{
  if (!text_is_short (from->organisation)
      || get_share (&to->demand, from->demand) < 0
      || get_share (&to->held, from->held) < 0)
    return -1;
  to->organisation = to_span (from->organisation);
  to->in_flight = from->in_flight;
  return 0;
}

static Mq__Peer__LimitGrant *
put_limit_grant (wire_parts *parts, const mq_limit_grant *from)
{
  Mq__Peer__LimitGrant *to = &parts->body.limit_grant;

  mq__peer__limit_grant__init (to);
  to->organisation = to_bytes (from->organisation);
  to->share = put_share (&parts->shares[0], &from->share);
  to->lifetime_us = from->lifetime_us;
  to->contended = from->contended;
  return to;
}

/* A share that lasted longer than any owner grants would break the limit.  */
static int
get_limit_grant (mq_limit_grant *to, const Mq__Peer__LimitGrant *from)
{
  if (!text_is_short (from->organisation)
      || get_share (&to->share, from->share) < 0
      || from->lifetime_us > MQ_LIMITER_LONG_US)
    return -1;
  to->organisation = to_span (from->organisation);
  to->lifetime_us = from->lifetime_us;
  to->contended = from->contended;
  return 0;
}

/* ---- Configuration.  */

static Mq__Peer__ConfigObject *
put_config_object (wire_parts *parts, const mq_peer_message *from)
{
  Mq__Peer__ConfigObject *to = &parts->body.config_object;

  mq__peer__config_object__init (to);
  to->name = to_bytes (from->u.config_object.name);
  to->version = from->u.config_object.version;
  to->value = to_bytes (from->u.config_object.value);
  to->missing = from->u.config_object.missing;
  return to;
}

static int
get_config_object (mq_peer_message *to, const Mq__Peer__ConfigObject *from)
{
  if (!text_is_short (from->name))
    return -1;
  to->u.config_object.name = to_span (from->name);
  to->u.config_object.version = from->version;
  to->u.config_object.value = to_span (from->value);
  to->u.config_object.missing = from->missing;
  return 0;
}

/* ---- All kinds.  */

/* Point the envelope's body to what M holds.  */
static void
put_body (wire_parts *p, const mq_peer_message *m)
{
  Mq__Peer__Envelope *e = &p->envelope;

  switch (m->kind)
    {
    case MQ_PEER_HEARTBEAT:
      e->body_case = MQ__PEER__ENVELOPE__BODY_HEARTBEAT;
      e->heartbeat = put_heartbeat (p, &m->u.heartbeat);
      break;
    case MQ_PEER_NEWS:
      e->body_case = MQ__PEER__ENVELOPE__BODY_NEWS;
      e->news = put_news (p, m->u.news.items, m->u.news.n);
      break;
    case MQ_PEER_PLAN_ASK:
      e->body_case = MQ__PEER__ENVELOPE__BODY_PLAN_ASK;
      e->plan_ask
          = put_plan_ask (p, &m->u.plan_ask.ask, m->u.plan_ask.generation);
      break;
    case MQ_PEER_PLAN_ANSWER:
      e->body_case = MQ__PEER__ENVELOPE__BODY_PLAN_ANSWER;
      e->plan_answer = put_plan_answer (p, m);
      break;
    case MQ_PEER_PLAN_RELEASE:
      e->body_case = MQ__PEER__ENVELOPE__BODY_PLAN_RELEASE;
      e->plan_release = put_plan_release (p, m);
      break;
    case MQ_PEER_PLAN_PROGRESS:
      e->body_case = MQ__PEER__ENVELOPE__BODY_PLAN_PROGRESS;
      e->plan_progress = put_plan_progress (p, m);
      break;
    case MQ_PEER_PLAN_REGISTER:
      e->body_case = MQ__PEER__ENVELOPE__BODY_PLAN_REGISTER;
      e->plan_register = put_plan_register (p, m);
      break;
    case MQ_PEER_LIMIT_ASK:
      e->body_case = MQ__PEER__ENVELOPE__BODY_LIMIT_ASK;
      e->limit_ask = put_limit_ask (p, &m->u.limit_ask);
      break;
    case MQ_PEER_LIMIT_GRANT:
      e->body_case = MQ__PEER__ENVELOPE__BODY_LIMIT_GRANT;
      e->limit_grant = put_limit_grant (p, &m->u.limit_grant);
      break;
    case MQ_PEER_CONFIG_OFFER:
      e->body_case = MQ__PEER__ENVELOPE__BODY_CONFIG_OFFER;
      mq__peer__config_offer__init (&p->body.config_offer);
      p->body.config_offer.generation = m->u.generation;
      e->config_offer = &p->body.config_offer;
      break;
    case MQ_PEER_CONFIG_FETCH:
      e->body_case = MQ__PEER__ENVELOPE__BODY_CONFIG_FETCH;
      mq__peer__config_fetch__init (&p->body.config_fetch);
      p->body.config_fetch.name = to_bytes (m->u.name);
      e->config_fetch = &p->body.config_fetch;
      break;
    case MQ_PEER_CONFIG_OBJECT:
      e->body_case = MQ__PEER__ENVELOPE__BODY_CONFIG_OBJECT;
      e->config_object = put_config_object (p, m);
      break;
    }
}

/* Fill DECODED's message from the envelope's body.  */
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
      m->kind = MQ_PEER_NEWS;
      return get_news (decoded, e->news);
    case MQ__PEER__ENVELOPE__BODY_PLAN_ASK:
      m->kind = MQ_PEER_PLAN_ASK;
      m->u.plan_ask.generation = e->plan_ask->generation;
      return get_plan_ask (&m->u.plan_ask.ask, e->plan_ask);
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
      m->kind = MQ_PEER_LIMIT_ASK;
      return get_limit_ask (&m->u.limit_ask, e->limit_ask);
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
      return text_is_short (e->config_fetch->name) ? 0 : -1;
    case MQ__PEER__ENVELOPE__BODY_CONFIG_OBJECT:
      m->kind = MQ_PEER_CONFIG_OBJECT;
      return get_config_object (m, e->config_object);
    default:
      return -1;
    }
}

void
mq_peer_message_encode (const mq_peer_message *message, GByteArray *out)
{
  wire_parts parts = { .news = NULL };
  Mq__Peer__Envelope *e = &parts.envelope;
  guint start = out->len;
  size_t size;

  mq__peer__envelope__init (e);
  e->version = MQ_PEER_VERSION;
  e->sender = message->sender;
  put_body (&parts, message);
  size = mq__peer__envelope__get_packed_size (e);
  g_byte_array_set_size (out, start + (guint)size);
  mq__peer__envelope__pack (e, out->data + start);
  g_free (parts.news);
  g_free (parts.news_list);
}

int
mq_peer_message_decode (mq_peer_decoded *decoded, mq_span bytes,
                        GError **error)
{
  Mq__Peer__Envelope *e = NULL;

  memset (decoded, 0, sizeof *decoded);
  if (bytes.size <= MQ_PEER_MESSAGE_LIMIT)
    e = mq__peer__envelope__unpack (NULL, bytes.size,
                                    (const uint8_t *)bytes.data);
  if (e == NULL)
    {
      g_set_error_literal (error, MQ_PEER_MESSAGE_ERROR,
                           MQ_PEER_MESSAGE_ERROR_GARBAGE, "not an envelope");
      return -1;
    }
  decoded->envelope = e;
  if (e->version != MQ_PEER_VERSION)
    {
      g_set_error (error, MQ_PEER_MESSAGE_ERROR, MQ_PEER_MESSAGE_ERROR_VERSION,
                   "version %u, expected %d", e->version, MQ_PEER_VERSION);
      goto fail;
    }
  decoded->message.sender = e->sender;
  if (e->sender != 0 && get_body (decoded, e) == 0)
    return 0;
  g_set_error (error, MQ_PEER_MESSAGE_ERROR, MQ_PEER_MESSAGE_ERROR_GARBAGE,
               "body %d is not valid", (int)e->body_case);
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
