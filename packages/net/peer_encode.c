/* Encoding of messages between routers: see mq/peer_message.h.

   One static function encodes each kind; put_body selects it.  The protobuf
   library's messages point to nested messages.  These are held in one
   wire_parts on the stack, which borrows all texts.  */

#include <mq/peer_message.h>

#include <peer.pb-c.h>

/* Memory for the nested messages of one envelope.  */
typedef struct wire_parts
{
  Mq__Peer__Envelope envelope;
  Mq__Peer__Introduction introduction;
  Mq__Peer__RequestId id;
  Mq__Peer__PlanAsk ask;
  Mq__Peer__Plan plan;
  Mq__Peer__PlanFigures figures;
  Mq__Peer__Share shares[2];
  Mq__Peer__Stage stages[MQ_PLAN_MAX_STAGES];
  Mq__Peer__Stage *stage_list[MQ_PLAN_MAX_STAGES];
  ProtobufCBinaryData avoid[MQ_PLAN_MAX_STAGES];
  Mq__Peer__End crash_records[MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE];
  Mq__Peer__End *crash_record_list[MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE];
  Mq__Peer__MemberNews *member_updates; /* Owned.  */
  Mq__Peer__MemberNews **member_update_list;
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
    Mq__Peer__Ends ends;
  } body;
} wire_parts;

/* ---- Texts and small parts.  */

static ProtobufCBinaryData
to_bytes (mq_span span)
{
  return (ProtobufCBinaryData){ .len = span.size,
                                .data = (uint8_t *)span.data };
}

static Mq__Peer__RequestId *
put_id (Mq__Peer__RequestId *to, mq_request_id from)
{
  mq__peer__request_id__init (to);
  to->router = from.router;
  to->sequence = from.sequence;
  return to;
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

static Mq__Peer__PlanAsk *
put_plan_request (wire_parts *parts, const mq_plan_request *from,
                  uint64_t generation)
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

static Mq__Peer__News *
put_member_updates (wire_parts *parts, const mq_member_update *items, size_t n)
{
  Mq__Peer__News *to = &parts->body.news;

  mq__peer__news__init (to);
  parts->member_updates = g_new (Mq__Peer__MemberNews, n);
  parts->member_update_list = g_new (Mq__Peer__MemberNews *, n);
  for (size_t i = 0; i < n; i++)
    {
      Mq__Peer__MemberNews *m = &parts->member_updates[i];

      mq__peer__member_news__init (m);
      m->vm = to_bytes (items[i].vm);
      m->peer_address = to_bytes (items[i].peer_address);
      m->incarnation = items[i].incarnation;
      m->sequence = items[i].sequence;
      m->state = (Mq__Peer__MemberState)items[i].state;
      m->leaving = items[i].leaving;
      parts->member_update_list[i] = m;
    }
  to->items = parts->member_update_list;
  to->n_items = n;
  return to;
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

static Mq__Peer__PlanRegister *
put_plan_register (wire_parts *parts, const mq_peer_message *from)
{
  Mq__Peer__PlanRegister *to = &parts->body.plan_register;

  mq__peer__plan_register__init (to);
  to->ask = put_plan_request (parts, &from->u.plan_register.request, 0);
  to->plan = put_plan (parts, &from->u.plan_register.plan);
  to->tokens = from->u.plan_register.tokens;
  return to;
}

/* ---- Limits.  */

static Mq__Peer__LimitAsk *
put_limit_request (wire_parts *parts, const mq_limit_request *from)
{
  Mq__Peer__LimitAsk *to = &parts->body.limit_ask;

  mq__peer__limit_ask__init (to);
  to->organisation = to_bytes (from->organisation);
  to->demand = put_share (&parts->shares[0], &from->demand);
  to->held = put_share (&parts->shares[1], &from->held);
  to->in_flight = from->in_flight;
  return to;
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

static Mq__Peer__Ends *
put_crash_records (wire_parts *parts, const mq_peer_message *from)
{
  Mq__Peer__Ends *to = &parts->body.ends;

  mq__peer__ends__init (to);
  for (size_t i = 0; i < from->u.crashes.n; i++)
    {
      const mq_quarantine_record *r = &from->u.crashes.items[i];

      mq__peer__end__init (&parts->crash_records[i]);
      parts->crash_records[i].request = r->element;
      parts->crash_records[i].upstream = r->upstream;
      parts->crash_records[i].age_ms = r->age_ms;
      parts->crash_record_list[i] = &parts->crash_records[i];
    }
  to->items = parts->crash_record_list;
  to->n_items = from->u.crashes.n;
  return to;
}

/* ---- All kinds.  */

/* Fill the envelope's body from M.  */
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
    case MQ_PEER_MEMBER_UPDATES:
      e->body_case = MQ__PEER__ENVELOPE__BODY_NEWS;
      e->news = put_member_updates (p, m->u.member_updates.items,
                                    m->u.member_updates.n);
      break;
    case MQ_PEER_PLAN_REQUEST:
      e->body_case = MQ__PEER__ENVELOPE__BODY_PLAN_ASK;
      e->plan_ask = put_plan_request (p, &m->u.plan_request.request,
                                      m->u.plan_request.generation);
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
    case MQ_PEER_LIMIT_REQUEST:
      e->body_case = MQ__PEER__ENVELOPE__BODY_LIMIT_ASK;
      e->limit_ask = put_limit_request (p, &m->u.limit_request);
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
    case MQ_PEER_CRASHES:
      e->body_case = MQ__PEER__ENVELOPE__BODY_ENDS;
      e->ends = put_crash_records (p, m);
      break;
    }
}

void
mq_peer_message_encode (const mq_peer_message *message, GByteArray *out)
{
  wire_parts parts = { .member_updates = NULL };
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
  g_free (parts.member_updates);
  g_free (parts.member_update_list);
}
