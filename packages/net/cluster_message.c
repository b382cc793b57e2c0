/* Encoding and decoding of cluster messages: see mq/cluster_message.h.

   The encoder builds the protobuf library's messages on the stack and in
   temporary blocks.  The decoder validates each value whose type allows
   invalid ones.  */

#include <mq/cluster_message.h>

#include <mq/internal/socket_address.h>

#include <math.h>
#include <news.pb-c.h>
#include <string.h>

/* Bounds for valid values.  */
#define MAX_TOKENS 4e9
#define MAX_SLOWDOWN 1000.0
/* Limits are encoded as requests in this time.  */
#define LIMIT_UNIT_S 1000.0
#define MAX_LIMIT_PER_S 1e6
#define PERCENT 100.0

G_DEFINE_QUARK (mq - cluster - message - error - quark,
                mq_cluster_message_error)

const char *
mq_cluster_message_kind_name (mq_cluster_message_kind kind)
{
  switch (kind)
    {
    case MQ_CLUSTER_MESSAGE_GOSSIP:
      return "news";
    case MQ_CLUSTER_MESSAGE_ROUTING:
      return "routing";
    case MQ_CLUSTER_MESSAGE_ENTRIES:
      return "entries";
    case MQ_CLUSTER_MESSAGE_LAYERS:
      return "layers";
    case MQ_CLUSTER_MESSAGE_BUDGET_REQUEST:
      return "budget-request";
    case MQ_CLUSTER_MESSAGE_BUDGET_GRANT:
      return "budget-grant";
    case MQ_CLUSTER_MESSAGE_KINDS:
      break;
    }
  return "none";
}

/* ---- Encoding.  */

static ProtobufCBinaryData
to_bytes (mq_span span)
{
  return (ProtobufCBinaryData){ span.size, (uint8_t *)(uintptr_t)span.data };
}

static void
put_router (Mq__News__Router *to, const mq_gossip_router *from)
{
  mq__news__router__init (to);
  to->name = to_bytes (from->name);
  to->peer = to_bytes (from->peer);
  to->client = to_bytes (from->client);
  to->domain = to_bytes (from->domain);
  to->incarnation = from->incarnation;
  to->capacity = from->capacity;
  to->tunnel_port = from->tunnel_port;
}

static void
put_path_tokens (Mq__News__PathCount *to, const mq_path_tokens *from)
{
  mq__news__path_count__init (to);
  to->path = from->path;
  to->tokens = (uint32_t)CLAMP (from->tokens, 0, MAX_TOKENS);
}

static void
put_sends (Mq__News__ServiceSends *to, const mq_service_sends *from)
{
  mq__news__service_sends__init (to);
  to->service = from->service;
  to->first = from->counts.requests;
  to->more = from->counts.retries;
  to->gone = from->counts.replaced;
}

static void
put_finding (Mq__News__Finding *to, const mq_gossip_finding *from)
{
  mq__news__finding__init (to);
  to->upstream = to_bytes (from->upstream);
  to->aside_us = from->ejected_us;
  to->pace_percent
      = (uint32_t)(CLAMP (from->slowdown, 0, MAX_SLOWDOWN) * PERCENT);
  to->pace_us = from->slowdown_us;
  to->refuses_us = from->rejecting_us;
  to->limit_stated = from->limit_stated;
  to->limit_per_1000_s
      = (uint32_t)(CLAMP (from->limit_per_s, 0, MAX_LIMIT_PER_S)
                   * LIMIT_UNIT_S);
  to->limit_age_us = from->limit_age_us;
  to->leaving = from->leaving;
  to->born_ms = from->born_ms;
}

static void
put_crash_record (Mq__News__End *to, const mq_quarantine_record *from)
{
  mq__news__end__init (to);
  to->request = from->element;
  to->upstream = from->upstream;
  to->age_ms = from->age_ms;
}

/* Sets TO to a new list of pointers to messages, and COUNT to its length.  PUT
   fills each message from an element of ARRAY.  The messages follow the list
   in the same block, which the caller frees with g_free.  */
#define PUT_LIST(to, count, message, array, element, put)                     \
  do                                                                          \
    {                                                                         \
      guint n_ = (array)->len;                                                \
      (to) = g_malloc0 (n_ * (sizeof (message *) + sizeof (message)) + 1);    \
      (count) = n_;                                                           \
      for (guint i_ = 0; i_ < n_; i_++)                                       \
        {                                                                     \
          (to)[i_] = (message *)(void *)((to) + n_) + i_;                     \
          put ((to)[i_], &g_array_index ((array), element, i_));              \
        }                                                                     \
    }                                                                         \
  while (0)

/* Fills TO from FROM, and SENDER, to which TO points.  The caller frees the
   lists of TO with gossip_free_lists.  */
static void
put_gossip (Mq__News__News *to, Mq__News__Router *sender,
            const mq_gossip *from)
{
  mq__news__news__init (to);
  put_router (sender, &from->from);
  to->kind = (Mq__News__Kind)from->kind;
  to->sender = sender;
  to->sequence = from->sequence;
  to->interval_ms = from->interval_ms;
  to->used = from->used;
  to->ready = from->ready;
  to->draining = from->draining;
  to->store_reached = from->store_reached;
  to->store_fails = from->store_fails;
  to->follows = from->follows;
  to->relays = from->relays;
  to->isolated = (uint64_t *)(void *)from->isolated->data;
  to->n_isolated = from->isolated->len;
  to->routing = from->routing_version;
  to->upstreams = from->upstreams_digest;
  to->newest = from->upstreams_newest;
  to->watches = from->watches;
  to->reached = from->reached;
  to->listed = from->listed;
  to->busy = from->busy;
  to->age_ms = from->age_ms;
  PUT_LIST (to->paths, to->n_paths, Mq__News__PathCount, from->paths,
            mq_path_tokens, put_path_tokens);
  PUT_LIST (to->sends, to->n_sends, Mq__News__ServiceSends, from->sends,
            mq_service_sends, put_sends);
  PUT_LIST (to->findings, to->n_findings, Mq__News__Finding, from->findings,
            mq_gossip_finding, put_finding);
  PUT_LIST (to->ends, to->n_ends, Mq__News__End, from->crashes,
            mq_quarantine_record, put_crash_record);
  PUT_LIST (to->routers, to->n_routers, Mq__News__Router, from->routers,
            mq_gossip_router, put_router);
  PUT_LIST (to->serving, to->n_serving, Mq__News__Router, from->serving,
            mq_gossip_router, put_router);
  PUT_LIST (to->elsewhere, to->n_elsewhere, Mq__News__Router, from->elsewhere,
            mq_gossip_router, put_router);
}

static void
gossip_free_lists (Mq__News__News *gossip)
{
  g_free (gossip->paths);
  g_free (gossip->sends);
  g_free (gossip->findings);
  g_free (gossip->ends);
  g_free (gossip->routers);
  g_free (gossip->serving);
  g_free (gossip->elsewhere);
}

static void
message_pack (Mq__News__Parcel *message, GString *out)
{
  size_t size;
  gsize at = out->len;

  message->version = MQ_CLUSTER_MESSAGE_VERSION;
  size = mq__news__parcel__get_packed_size (message);
  g_string_set_size (out, at + size);
  mq__news__parcel__pack (message, (uint8_t *)out->str + at);
}

static void
encode_gossip (const mq_gossip *gossip, GString *out)
{
  Mq__News__Parcel p = MQ__NEWS__PARCEL__INIT;
  Mq__News__News body;
  Mq__News__Router sender;

  put_gossip (&body, &sender, gossip);
  p.body_case = MQ__NEWS__PARCEL__BODY_NEWS;
  p.news = &body;
  message_pack (&p, out);
  gossip_free_lists (&body);
}

static void
encode_routing (mq_span text, mq_propagation_scope scope, GString *out)
{
  Mq__News__Parcel p = MQ__NEWS__PARCEL__INIT;
  Mq__News__Routing body = MQ__NEWS__ROUTING__INIT;

  body.text = to_bytes (text);
  body.scope = (Mq__News__Scope)scope;
  p.body_case = MQ__NEWS__PARCEL__BODY_ROUTING;
  p.routing = &body;
  message_pack (&p, out);
}

static void
encode_entries (const mq_cluster_message_entries *entries,
                mq_propagation_scope scope, GString *out)
{
  Mq__News__Parcel p = MQ__NEWS__PARCEL__INIT;
  Mq__News__Entries body = MQ__NEWS__ENTRIES__INIT;
  Mq__News__Entry *list = g_new (Mq__News__Entry, entries->n + 1);
  Mq__News__Entry **refs = g_new (Mq__News__Entry *, entries->n + 1);

  for (size_t i = 0; i < entries->n; i++)
    {
      const mq_platform_entry *e = &entries->entries[i];

      mq__news__entry__init (&list[i]);
      list[i].id = to_bytes (e->name);
      list[i].version = e->version;
      list[i].gone = e->deleted;
      if (!e->deleted)
        list[i].value = to_bytes (e->value);
      refs[i] = &list[i];
    }
  body.scope = (Mq__News__Scope)scope;
  body.whole = entries->whole;
  body.at = entries->at;
  body.entries = refs;
  body.n_entries = entries->n;
  p.body_case = MQ__NEWS__PARCEL__BODY_ENTRIES;
  p.entries = &body;
  message_pack (&p, out);
  g_free (refs);
  g_free (list);
}

static void
encode_layers (const mq_cluster_message_layers *layers,
               mq_propagation_scope scope, GString *out)
{
  Mq__News__Parcel p = MQ__NEWS__PARCEL__INIT;
  Mq__News__Layers body = MQ__NEWS__LAYERS__INIT;

  body.scope = (Mq__News__Scope)scope;
  body.upstream = to_bytes (layers->upstream);
  body.first = layers->first;
  body.end = layers->end;
  p.body_case = MQ__NEWS__PARCEL__BODY_LAYERS;
  p.layers = &body;
  message_pack (&p, out);
}

static void
encode_budget (const mq_cluster_message *message, GString *out)
{
  const mq_cluster_message_budget *from = &message->u.budget;
  Mq__News__Parcel p = MQ__NEWS__PARCEL__INIT;
  Mq__News__BudgetTransfer body = MQ__NEWS__BUDGET_TRANSFER__INIT;
  ProtobufCBinaryData via[MQ_CLUSTER_MESSAGE_MAX_RELAYS];

  for (size_t i = 0; i < from->n_via; i++)
    via[i] = to_bytes (from->via[i]);
  body.borrower = to_bytes (from->borrower);
  body.n_via = from->n_via;
  body.via = via;
  body.service = from->service;
  body.sends = from->sends;
  body.serial = from->serial;
  if (message->kind == MQ_CLUSTER_MESSAGE_BUDGET_REQUEST)
    {
      p.body_case = MQ__NEWS__PARCEL__BODY_BUDGET_REQUEST;
      p.budget_request = &body;
    }
  else
    {
      p.body_case = MQ__NEWS__PARCEL__BODY_BUDGET_GRANT;
      p.budget_grant = &body;
    }
  message_pack (&p, out);
}

void
mq_cluster_message_encode (const mq_cluster_message *message, GString *out)
{
  switch (message->kind)
    {
    case MQ_CLUSTER_MESSAGE_GOSSIP:
      encode_gossip (message->u.gossip, out);
      break;
    case MQ_CLUSTER_MESSAGE_ROUTING:
      encode_routing (message->u.routing, message->scope, out);
      break;
    case MQ_CLUSTER_MESSAGE_ENTRIES:
      encode_entries (&message->u.entries, message->scope, out);
      break;
    case MQ_CLUSTER_MESSAGE_LAYERS:
      encode_layers (&message->u.layers, message->scope, out);
      break;
    case MQ_CLUSTER_MESSAGE_BUDGET_REQUEST:
    case MQ_CLUSTER_MESSAGE_BUDGET_GRANT:
      encode_budget (message, out);
      break;
    case MQ_CLUSTER_MESSAGE_KINDS:
      break;
    }
}

/* ---- Decoding.  */

static mq_span
to_span (ProtobufCBinaryData bytes)
{
  return (mq_span){ (const char *)bytes.data, bytes.len };
}

static int
get_text (mq_span *to, ProtobufCBinaryData from)
{
  *to = to_span (from);
  return from.len <= MQ_CLUSTER_MESSAGE_MAX_TEXT_BYTES
                 && (from.len == 0 || memchr (from.data, 0, from.len) == NULL)
             ? 0
             : -1;
}

/* Like get_text, for an empty text or IP:PORT.  */
static int
get_address (mq_span *to, ProtobufCBinaryData from)
{
  struct sockaddr_in address;

  return get_text (to, from) == 0
                 && (from.len == 0
                     || mq_socket_address_parse (*to, &address) == 0)
             ? 0
             : -1;
}

static int
get_router (mq_gossip_router *to, const Mq__News__Router *from)
{
  to->incarnation = from->incarnation;
  to->capacity = from->capacity;
  to->tunnel_port = from->tunnel_port;
  if (get_text (&to->name, from->name) < 0
      || get_address (&to->peer, from->peer) < 0
      || get_address (&to->client, from->client) < 0
      || get_text (&to->domain, from->domain) < 0
      || from->tunnel_port > UINT16_MAX)
    return -1;
  return 0;
}

/* Each function below that reads a list leaves out the records that are
   invalid, and adds their number to *DROPPED.  */

static int
get_routers (GArray *to, Mq__News__Router *const *from, size_t n,
             size_t *dropped)
{
  if (n > MQ_CLUSTER_MESSAGE_MAX_ELEMENTS)
    return -1;
  for (size_t i = 0; i < n; i++)
    {
      mq_gossip_router r;

      if (get_router (&r, from[i]) < 0)
        ++*dropped;
      else
        g_array_append_val (to, r);
    }
  return 0;
}

static int
get_counts (mq_gossip *to, const Mq__News__News *from)
{
  if (from->n_paths > MQ_CLUSTER_MESSAGE_MAX_ELEMENTS
      || from->n_sends > MQ_CLUSTER_MESSAGE_MAX_ELEMENTS)
    return -1;
  for (size_t i = 0; i < from->n_paths; i++)
    {
      mq_path_tokens w = { from->paths[i]->path, from->paths[i]->tokens };

      g_array_append_val (to->paths, w);
    }
  for (size_t i = 0; i < from->n_sends; i++)
    {
      const Mq__News__ServiceSends *f = from->sends[i];
      mq_service_sends s = { f->service, { f->first, f->more, f->gone } };

      g_array_append_val (to->sends, s);
    }
  return 0;
}

static int
get_findings (GArray *to, Mq__News__Finding *const *from, size_t n,
              size_t *dropped)
{
  if (n > MQ_CLUSTER_MESSAGE_MAX_ELEMENTS)
    return -1;
  for (size_t i = 0; i < n; i++)
    {
      mq_gossip_finding f
          = { .ejected_us = from[i]->aside_us,
              .slowdown = from[i]->pace_percent / PERCENT,
              .slowdown_us = from[i]->pace_us,
              .rejecting_us = from[i]->refuses_us,
              .limit_stated = from[i]->limit_stated,
              .limit_per_s = from[i]->limit_per_1000_s / LIMIT_UNIT_S,
              .limit_age_us = from[i]->limit_age_us,
              .leaving = from[i]->leaving,
              .born_ms = from[i]->born_ms };

      if (get_text (&f.upstream, from[i]->upstream) < 0
          || f.slowdown > MAX_SLOWDOWN)
        ++*dropped;
      else
        g_array_append_val (to, f);
    }
  return 0;
}

static int
get_crash_records (GArray *to, Mq__News__End *const *from, size_t n,
                   size_t *dropped)
{
  if (n > MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE)
    return -1;
  for (size_t i = 0; i < n; i++)
    {
      mq_quarantine_record r
          = { from[i]->request, from[i]->upstream, from[i]->age_ms };

      if (r.element == 0)
        ++*dropped;
      else
        g_array_append_val (to, r);
    }
  return 0;
}

static int
get_kind (mq_gossip_kind *to, Mq__News__Kind from)
{
  switch (from)
    {
    case MQ__NEWS__KIND__REPORT:
      *to = MQ_GOSSIP_REPORT;
      return 0;
    case MQ__NEWS__KIND__DIGEST:
      *to = MQ_GOSSIP_DIGEST;
      return 0;
    case MQ__NEWS__KIND__SUMMARY:
      *to = MQ_GOSSIP_SUMMARY;
      return 0;
    case MQ__NEWS__KIND__INTRODUCTION:
      *to = MQ_GOSSIP_INTRODUCTION;
      return 0;
    case _MQ__NEWS__KIND_IS_INT_SIZE:
      break;
    }
  return -1;
}

static int
get_gossip (mq_gossip *to, const Mq__News__News *from, size_t *dropped)
{
  if (from->sender == NULL || get_kind (&to->kind, from->kind) < 0
      || from->routing > MQ_CLUSTER_MESSAGE_MAX_VERSION
      || from->newest > MQ_CLUSTER_MESSAGE_MAX_VERSION
      || get_router (&to->from, from->sender) < 0 || to->from.peer.size == 0
      || to->from.incarnation == 0)
    return -1;
  to->sequence = from->sequence;
  to->interval_ms = from->interval_ms;
  to->used = from->used;
  to->ready = from->ready;
  to->draining = from->draining;
  to->store_reached = from->store_reached;
  to->store_fails = from->store_fails;
  to->follows = from->follows;
  to->relays = from->relays;
  if (from->n_isolated > MQ_CLUSTER_MESSAGE_MAX_ELEMENTS)
    return -1;
  g_array_append_vals (to->isolated, from->isolated, (guint)from->n_isolated);
  to->routing_version = from->routing;
  to->upstreams_digest = from->upstreams;
  to->upstreams_newest = from->newest;
  to->watches = from->watches;
  to->reached = from->reached;
  to->listed = from->listed;
  to->busy = from->busy;
  to->age_ms = from->age_ms;
  if (get_counts (to, from) < 0
      || get_findings (to->findings, from->findings, from->n_findings, dropped)
             < 0
      || get_crash_records (to->crashes, from->ends, from->n_ends, dropped) < 0
      || get_routers (to->routers, from->routers, from->n_routers, dropped) < 0
      || get_routers (to->serving, from->serving, from->n_serving, dropped) < 0
      || get_routers (to->elsewhere, from->elsewhere, from->n_elsewhere,
                      dropped)
             < 0)
    return -1;
  return 0;
}

/* Returns true if F, an entry of FROM, may have its version.  A version that
   no change has would hide all later changes.  */
static bool
version_is_valid (const Mq__News__Entries *from, const Mq__News__Entry *f)
{
  return f->version > 0 && f->version <= MQ_CLUSTER_MESSAGE_MAX_VERSION
         && (!from->whole || f->version <= from->at);
}

static int
get_entries (mq_cluster_message_decoded *to, const Mq__News__Entries *from)
{
  if (from->at > MQ_CLUSTER_MESSAGE_MAX_VERSION)
    return -1;
  to->entries = g_array_new (FALSE, TRUE, sizeof (mq_platform_entry));
  for (size_t i = 0; i < from->n_entries; i++)
    {
      const Mq__News__Entry *f = from->entries[i];
      mq_platform_entry e = { .version = f->version,
                              .value = to_span (f->value),
                              .deleted = f->gone };

      if (!version_is_valid (from, f))
        return -1;
      if (get_text (&e.name, f->id) < 0 || e.name.size == 0)
        to->dropped++;
      else
        g_array_append_val (to->entries, e);
    }
  to->message.u.entries = (mq_cluster_message_entries){
    from->whole, from->at,
    (const mq_platform_entry *)(void *)to->entries->data, to->entries->len
  };
  return 0;
}

static int
get_layers (mq_cluster_message_layers *to, const Mq__News__Layers *from)
{
  to->first = from->first;
  to->end = from->end;
  return get_text (&to->upstream, from->upstream) == 0 && to->first <= to->end
             ? 0
             : -1;
}

static int
get_budget (mq_cluster_message_budget *to,
            const Mq__News__BudgetTransfer *from)
{
  if (from->n_via > MQ_CLUSTER_MESSAGE_MAX_RELAYS || from->sends == 0
      || from->sends > MQ_CLUSTER_MESSAGE_MAX_RETRIES
      || get_text (&to->borrower, from->borrower) < 0
      || to->borrower.size == 0)
    return -1;
  for (size_t i = 0; i < from->n_via; i++)
    if (get_text (&to->via[i], from->via[i]) < 0 || to->via[i].size == 0)
      return -1;
  to->n_via = from->n_via;
  to->service = from->service;
  to->sends = from->sends;
  to->serial = from->serial;
  return 0;
}

static int
get_scope (mq_propagation_scope *to, Mq__News__Scope from)
{
  switch (from)
    {
    case MQ__NEWS__SCOPE__FLEET:
      *to = MQ_SCOPE_FLEET;
      return 0;
    case MQ__NEWS__SCOPE__DOMAIN:
      *to = MQ_SCOPE_DOMAIN;
      return 0;
    case MQ__NEWS__SCOPE__RECEIVER:
      *to = MQ_SCOPE_RECEIVER;
      return 0;
    case _MQ__NEWS__SCOPE_IS_INT_SIZE:
      break;
    }
  return -1;
}

static int
decode_body (mq_cluster_message_decoded *decoded, const Mq__News__Parcel *from)
{
  mq_cluster_message *p = &decoded->message;

  switch (from->body_case)
    {
    case MQ__NEWS__PARCEL__BODY_NEWS:
      p->kind = MQ_CLUSTER_MESSAGE_GOSSIP;
      p->u.gossip = &decoded->gossip;
      mq_gossip_init (&decoded->gossip, MQ_GOSSIP_REPORT);
      return get_gossip (&decoded->gossip, from->news, &decoded->dropped);
    case MQ__NEWS__PARCEL__BODY_ROUTING:
      p->kind = MQ_CLUSTER_MESSAGE_ROUTING;
      p->u.routing = to_span (from->routing->text);
      return get_scope (&p->scope, from->routing->scope);
    case MQ__NEWS__PARCEL__BODY_ENTRIES:
      p->kind = MQ_CLUSTER_MESSAGE_ENTRIES;
      return get_scope (&p->scope, from->entries->scope) < 0
                 ? -1
                 : get_entries (decoded, from->entries);
    case MQ__NEWS__PARCEL__BODY_LAYERS:
      p->kind = MQ_CLUSTER_MESSAGE_LAYERS;
      return get_scope (&p->scope, from->layers->scope) < 0
                 ? -1
                 : get_layers (&p->u.layers, from->layers);
    case MQ__NEWS__PARCEL__BODY_BUDGET_REQUEST:
      p->kind = MQ_CLUSTER_MESSAGE_BUDGET_REQUEST;
      return get_budget (&p->u.budget, from->budget_request);
    case MQ__NEWS__PARCEL__BODY_BUDGET_GRANT:
      p->kind = MQ_CLUSTER_MESSAGE_BUDGET_GRANT;
      return get_budget (&p->u.budget, from->budget_grant);
    case MQ__NEWS__PARCEL__BODY__NOT_SET:
    case _MQ__NEWS__PARCEL__BODY__CASE_IS_INT_SIZE:
      break;
    }
  return -1;
}

int
mq_cluster_message_decode (mq_cluster_message_decoded *decoded, mq_span bytes,
                           GError **error)
{
  Mq__News__Parcel *p = mq__news__parcel__unpack (NULL, bytes.size,
                                                  (const uint8_t *)bytes.data);

  memset (decoded, 0, sizeof *decoded);
  if (p == NULL)
    {
      g_set_error (error, MQ_CLUSTER_MESSAGE_ERROR,
                   MQ_CLUSTER_MESSAGE_ERROR_MALFORMED,
                   "message can't be decoded: not a cluster message");
      return -1;
    }
  decoded->unpacked = p;
  if (p->version != MQ_CLUSTER_MESSAGE_VERSION)
    g_set_error (error, MQ_CLUSTER_MESSAGE_ERROR,
                 MQ_CLUSTER_MESSAGE_ERROR_VERSION,
                 "unsupported message version %u", p->version);
  /* The library keeps the last of several values of a field.  */
  else if (mq__news__parcel__get_packed_size (p) != bytes.size)
    g_set_error_literal (error, MQ_CLUSTER_MESSAGE_ERROR,
                         MQ_CLUSTER_MESSAGE_ERROR_MALFORMED,
                         "a field has several values");
  else if (decode_body (decoded, p) < 0)
    g_set_error (error, MQ_CLUSTER_MESSAGE_ERROR,
                 MQ_CLUSTER_MESSAGE_ERROR_MALFORMED,
                 "a field is missing or out of range");
  else
    return 0;
  mq_cluster_message_decoded_finish (decoded);
  return -1;
}

void
mq_cluster_message_decoded_finish (mq_cluster_message_decoded *decoded)
{
  if (decoded->gossip.paths != NULL)
    mq_gossip_finish (&decoded->gossip);
  g_clear_pointer (&decoded->entries, g_array_unref);
  if (decoded->unpacked != NULL)
    mq__news__parcel__free_unpacked (decoded->unpacked, NULL);
  decoded->unpacked = NULL;
}
