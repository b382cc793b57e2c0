/* This router's part in the fleet: see fleet_node.h.  */

#include "crash_tracker.h"
#include "fleet_node.h"

#include <mq/json_text.h>
#include <mq/log.h>
#include <sodium.h>
#include <stdio.h>

#include "admission.h"
#include "audit_io.h"
#include "config_feed.h"
#include "drain.h"
#include "fleet_limits.h"
#include "fleet_plans.h"
#include "fleet_vms.h"

/* How often our own load is told to the fleet.  */
#define SELF_S 0.25
#define FULL_LOAD 1000

struct mq_fleet_node
{
  mq_router *router; /* Borrowed.  */
  mq_fleet_io *io;   /* NULL without peers.  */
  mq_fleet_vms *vms;
  ev_timer self_timer;
  size_t next_told; /* Member whose turn it is.  */
};

/* ---- What the fleet tells.  */

/* The few that read the platform also write the trail for their region, so
   that it holds each change a few times and not once a router.  */
static void
changed_note (mq_fleet_node *node, const mq_fleet_io_event *event)
{
  const mq_member *m = event->member;
  const char *to
      = m->leaving ? "leaving" : mq_member_state_name (event->u.changed.to);

  mq_log (G_LOG_LEVEL_INFO, "fleet.member",
          "vm=%s incarnation=%016" G_GINT64_MODIFIER "x from=%s to=%s why=%s",
          mq_str_cstr (m->vm), m->incarnation,
          mq_member_state_name (event->u.changed.from), to,
          mq_log_quote (event->u.changed.why));
  if (mq_fleet_node_reads_platform (node))
    mq_audit_io_add (node->router->audit, MQ_AUDIT_MEMBERSHIP,
                     mq_str_cstr (m->vm), event->u.changed.why,
                     mq_member_state_name (event->u.changed.from), to);
}

static void
router_gone (mq_fleet_node *node, uint64_t incarnation)
{
  mq_planner_event event = { .kind = MQ_PLANNER_ROUTER_REMOVED };

  event.u.router = incarnation;
  mq_admission_post (node->router, &event);
  mq_fleet_limits_holder_gone (node->router->limits, incarnation);
}

static void
owners_changed (mq_fleet_node *node)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);

  mq_fleet_limits_members (node->router->limits, mq_fleet_live_count (fleet),
                           mq_fleet_known_count (fleet));
  mq_fleet_plans_owners_changed (node->router->plans);
}

/* While we slept others took over what we owned: what we counted of theirs
   is void, and they will register it again where it belongs.  */
static void
paused (mq_fleet_node *node, uint64_t gap_us)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);

  mq_log (G_LOG_LEVEL_WARNING, "fleet.paused", "gap_ms=%" G_GUINT64_FORMAT,
          gap_us / 1000);
  for (size_t i = 0; i < mq_fleet_size (fleet); i++)
    if (mq_fleet_member (fleet, i)->incarnation != 0)
      router_gone (node, mq_fleet_member (fleet, i)->incarnation);
}

static void
rejoined (mq_fleet_node *node)
{
  mq_log (G_LOG_LEVEL_INFO, "fleet.rejoined", "live=%u",
          mq_fleet_live_count (mq_fleet_node_fleet (node)));
  mq_fleet_plans_register_all (node->router->plans);
}

/* ---- Messages.  */

static void
message_dispatch (mq_fleet_node *node, const mq_peer_message *m)
{
  mq_router *r = node->router;

  switch (m->kind)
    {
    case MQ_PEER_PLAN_REQUEST:
    case MQ_PEER_PLAN_ANSWER:
    case MQ_PEER_PLAN_RELEASE:
    case MQ_PEER_PLAN_PROGRESS:
    case MQ_PEER_PLAN_REGISTER:
      mq_fleet_plans_message (r->plans, m);
      break;
    case MQ_PEER_LIMIT_REQUEST:
    case MQ_PEER_LIMIT_GRANT:
      mq_fleet_limits_message (r->limits, m);
      break;
    case MQ_PEER_CRASHES:
      mq_crash_tracker_hear (r->ends, m);
      break;
    case MQ_PEER_CONFIG_OFFER:
    case MQ_PEER_CONFIG_FETCH:
    case MQ_PEER_CONFIG_OBJECT:
    case MQ_PEER_HEARTBEAT:
    case MQ_PEER_MEMBER_UPDATES:
      break;
    }
}

static void
on_fleet (void *context, const mq_fleet_io_event *event)
{
  mq_fleet_node *node = context;

  switch (event->kind)
    {
    case MQ_FLEET_IO_CHANGED:
      changed_note (node, event);
      break;
    case MQ_FLEET_IO_ROUTER_GONE:
      router_gone (node, event->u.router);
      break;
    case MQ_FLEET_IO_OWNERS_CHANGED:
      owners_changed (node);
      break;
    case MQ_FLEET_IO_PAUSED:
      paused (node, event->u.gap_us);
      break;
    case MQ_FLEET_IO_REJOINED:
      rejoined (node);
      break;
    case MQ_FLEET_IO_TOLD_TO_LEAVE:
      mq_drain_begin (node->router, "the platform's list");
      break;
    case MQ_FLEET_IO_HEARD:
      break;
    case MQ_FLEET_IO_MESSAGE:
      message_dispatch (node, event->u.message);
      break;
    }
  mq_config_feed_on_fleet (node->router->feed, event);
}

/* ---- Ourselves.  */

static void
self_tell (mq_fleet_node *node)
{
  const mq_router *r = node->router;
  uint64_t load = (uint64_t)mq_entry_in_flight (r->entry) * FULL_LOAD
                  / r->settings->requests;

  mq_fleet_io_set_self (node->io, (uint32_t)MIN (load, FULL_LOAD),
                        r->config == NULL ? 0 : r->config->generation);
}

static void
on_self_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  (void)loop;
  (void)revents;
  self_tell (timer->data);
}

static int
io_open (mq_fleet_node *node, GError **error)
{
  mq_router *r = node->router;
  const mq_settings *s = r->settings;
  mq_peer_keys keys;
  char *entry;
  mq_fleet_io_options o = { .bind_address = mq_str_span (s->peers.address),
                            .port = s->peers.port,
                            .advertised = mq_str_span (s->advertised),
                            .keys = &keys };

  if (mq_peer_keys_load (&keys, mq_str_cstr (s->peers_key_file),
                         mq_str_cstr (s->peers_ring_file), error)
      < 0)
    return -1;
  entry = mq_router_caller_address (r);
  o.fleet.vm = mq_str_span (s->name);
  o.fleet.entry_address = mq_span_from (entry);
  o.fleet.failure_domain = mq_str_span (s->failure_domain);
  o.fleet.region = mq_str_span (s->region);
  o.fleet.incarnation = r->incarnation;
  node->io = mq_fleet_io_new (r->loop, &o, on_fleet, node, error);
  sodium_memzero (&keys, sizeof keys);
  g_free (entry);
  return node->io == NULL ? -1 : 0;
}

/* ---- Public.  */

mq_fleet_node *
mq_fleet_node_new (mq_router *router, GError **error)
{
  mq_fleet_node *n = g_new0 (mq_fleet_node, 1);

  n->router = router;
  ev_timer_init (&n->self_timer, on_self_timer, SELF_S, SELF_S);
  n->self_timer.data = n;
  if (router->settings->peers.address != NULL)
    {
      if (io_open (n, error) < 0)
        goto fail;
      ev_timer_start (router->loop, &n->self_timer);
      mq_config_feed_join (router->feed, n->io);
      (void)printf ("peers=%s:%u\n",
                    mq_str_cstr (router->settings->advertised),
                    mq_peers_port (mq_fleet_io_peers (n->io)));
    }
  n->vms = mq_fleet_vms_new (router);
  return n;
fail:
  mq_fleet_node_free (n);
  return NULL;
}

void
mq_fleet_node_free (mq_fleet_node *node)
{
  if (node == NULL)
    return;
  ev_timer_stop (node->router->loop, &node->self_timer);
  mq_fleet_vms_free (node->vms);
  mq_fleet_io_free (node->io);
  g_free (node);
}

const mq_fleet *
mq_fleet_node_fleet (const mq_fleet_node *node)
{
  return node->io == NULL ? NULL : mq_fleet_io_fleet (node->io);
}

mq_fleet_io *
mq_fleet_node_io (const mq_fleet_node *node)
{
  return node->io;
}

const mq_member *
mq_fleet_node_owner (const mq_fleet_node *node, mq_owned_kind kind,
                     mq_span name)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);
  const mq_member *owner;

  if (fleet == NULL)
    return NULL;
  owner = mq_fleet_owner (fleet, kind, name);
  return owner == mq_fleet_self (fleet) ? NULL : owner;
}

bool
mq_fleet_node_may_own (const mq_fleet_node *node)
{
  return node->io == NULL || mq_fleet_may_own (mq_fleet_node_fleet (node));
}

bool
mq_fleet_node_reads_platform (const mq_fleet_node *node)
{
  return node->io == NULL || mq_fleet_is_gateway (mq_fleet_node_fleet (node));
}

int
mq_fleet_node_send (mq_fleet_node *node, uint64_t router,
                    mq_peer_message *message)
{
  const mq_member *m;

  if (node->io == NULL)
    return -1;
  m = mq_fleet_find_incarnation (mq_fleet_node_fleet (node), router);
  return m == NULL ? -1 : mq_fleet_io_send (node->io, m, message);
}

void
mq_fleet_node_tell (mq_fleet_node *node, mq_peer_message *message,
                    unsigned most)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);
  size_t n = fleet == NULL ? 0 : mq_fleet_size (fleet);

  if (n == 0)
    return;
  node->next_told %= n;
  for (size_t i = 0; i < n && most > 0; i++)
    {
      const mq_member *m = mq_fleet_member (fleet, node->next_told);

      node->next_told = (node->next_told + 1) % n;
      if (m == mq_fleet_self (fleet) || m->state != MQ_MEMBER_LIVE)
        continue;
      (void)mq_fleet_io_send (node->io, m, message);
      most--;
    }
}

void
mq_fleet_node_take_config (mq_fleet_node *node)
{
  if (node->io != NULL)
    self_tell (node);
}

void
mq_fleet_node_leave (mq_fleet_node *node)
{
  if (node->io != NULL)
    mq_fleet_io_leave (node->io);
}

void
mq_fleet_node_reload_keys (mq_fleet_node *node)
{
  const mq_settings *s = node->router->settings;
  mq_peer_keys keys;
  GError *error = NULL;

  if (node->io == NULL)
    return;
  if (mq_peer_keys_load (&keys, mq_str_cstr (s->peers_key_file),
                         mq_str_cstr (s->peers_ring_file), &error)
      < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "peers.reload-failed", "error=%s",
              mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  mq_peers_set_keys (mq_fleet_io_peers (node->io), &keys);
  mq_log (G_LOG_LEVEL_INFO, "peers.keys-reloaded", "ring=%u", keys.n_ring);
  sodium_memzero (&keys, sizeof keys);
}

void
mq_fleet_node_list (mq_fleet_node *node, const mq_listed_vm *vms, size_t n)
{
  if (node->io != NULL)
    mq_fleet_io_list (node->io, vms, n);
}

static void
member_show (const mq_member *m, uint64_t now, GString *out)
{
  char incarnation[32];

  (void)snprintf (incarnation, sizeof incarnation,
                  "%016" G_GINT64_MODIFIER "x", m->incarnation);
  g_string_append (out, out->str[out->len - 1] == '[' ? "{" : ",{");
  mq_json_text_member (out, "vm", mq_str_span (m->vm));
  mq_json_text_member (out, "state",
                       mq_span_from (mq_member_state_name (m->state)));
  mq_json_text_bool (out, "leaving", m->leaving);
  mq_json_text_member (out, "region", mq_str_span (m->region));
  mq_json_text_member (out, "address", mq_str_span (m->entry_address));
  mq_json_text_member (out, "incarnation", mq_span_from (incarnation));
  mq_json_text_number (out, "generation", m->generation);
  mq_json_text_number (out, "load", m->load);
  mq_json_text_number (out, "heard_ms", (now - m->received_us) / 1000);
  g_string_append_c (out, '}');
}

static void
owners_show (const mq_fleet_node *node, GString *out)
{
  const mq_config *c = node->router->config;
  const mq_fleet *fleet = mq_fleet_node_fleet (node);

  mq_json_text_key (out, "model_owners");
  g_string_append_c (out, '{');
  for (guint i = 0; c != NULL && i < c->models->len; i++)
    {
      mq_span name = mq_str_span (g_array_index (c->models, mq_model, i).name);
      const mq_member *o = mq_fleet_owner (fleet, MQ_OWNED_MODEL, name);

      if (out->str[out->len - 1] != '{')
        g_string_append_c (out, ',');
      mq_json_text_string (out, name);
      g_string_append_c (out, ':');
      mq_json_text_string (out, mq_str_span (o->vm));
    }
  g_string_append_c (out, '}');
}

void
mq_fleet_node_show (const mq_fleet_node *node, GString *out)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);
  uint64_t now = mq_router_now_us ();

  if (fleet == NULL)
    return;
  mq_json_text_member (out, "peer_address",
                       mq_str_span (mq_fleet_self (fleet)->peer_address));
  mq_json_text_number (out, "members_live", mq_fleet_live_count (fleet));
  mq_json_text_number (out, "members_known", mq_fleet_known_count (fleet));
  mq_json_text_number (out, "planned",
                       mq_planner_in_flight (node->router->planner));
  mq_json_text_bool (out, "rejoining", !mq_fleet_may_own (fleet));
  mq_json_text_bool (out, "reads_platform", mq_fleet_is_gateway (fleet));
  mq_json_text_key (out, "members");
  g_string_append_c (out, '[');
  for (size_t i = 0; i < mq_fleet_size (fleet); i++)
    member_show (mq_fleet_member (fleet, i), now, out);
  g_string_append_c (out, ']');
  owners_show (node, out);
}

static void
counter_set (const mq_fleet_node *node, const char *name, const char *labels,
             const char *help, uint64_t value)
{
  *mq_metrics_counter (node->router->metrics, name, labels, help) = value;
}

void
mq_fleet_node_count (const mq_fleet_node *node)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);
  const mq_peers_counters *c;

  if (fleet == NULL)
    return;
  c = mq_peers_count (mq_fleet_io_peers (node->io));
  *mq_metrics_gauge (node->router->metrics, "marjoramquay_members_live", "",
                     "Routers of the region that take work.")
      = mq_fleet_live_count (fleet);
  *mq_metrics_gauge (node->router->metrics, "marjoramquay_members_known", "",
                     "Routers of the region that may exist.")
      = mq_fleet_known_count (fleet);
  counter_set (node, "marjoramquay_peer_messages_total", "direction=\"sent\"",
               "Messages with other routers.", c->sent);
  counter_set (node, "marjoramquay_peer_messages_total",
               "direction=\"received\"", "", c->received);
  counter_set (node, "marjoramquay_peer_bytes_total", "direction=\"sent\"",
               "Bytes of messages with other routers.", c->sent_bytes);
  counter_set (node, "marjoramquay_peer_bytes_total", "direction=\"received\"",
               "", c->received_bytes);
  counter_set (node, "marjoramquay_peer_drops_total", "why=\"unreachable\"",
               "Messages with other routers that were dropped.", c->dropped);
  counter_set (node, "marjoramquay_peer_drops_total", "why=\"garbage\"", "",
               mq_fleet_io_garbage (node->io));
  counter_set (node, "marjoramquay_peer_drops_total", "why=\"stranger\"", "",
               mq_fleet_io_strangers (node->io));
  counter_set (node, "marjoramquay_peer_drops_total", "why=\"stale\"", "",
               mq_fleet_dropped (fleet));
  counter_set (node, "marjoramquay_peer_refused_total", "",
               "Connections refused for an unknown key.", c->refused);
}
