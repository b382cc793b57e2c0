/* This router as a node of the fleet: see fleet_node.h.  */

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

/* How often this router's load is announced to the fleet.  */
#define ANNOUNCE_INTERVAL_S 0.25
#define MAX_LOAD 1000

struct mq_fleet_node
{
  mq_router *router; /* Borrowed.  */
  mq_fleet_io *io;   /* NULL without peers.  */
  mq_fleet_vms *vms;
  ev_timer announce_timer;
  size_t
      next_receiver; /* Index of the member to start the next broadcast at.  */
};

/* ---- Events of the fleet.  */

/* Logs a change of a member.  Only the few routers that read the platform also
   record it in the audit trail, which would otherwise hold each change once
   for every router.  */
static void
member_log (mq_fleet_node *node, const mq_fleet_io_event *event)
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
router_remove (mq_fleet_node *node, uint64_t incarnation)
{
  mq_planner_event event = { .kind = MQ_PLANNER_ROUTER_REMOVED };

  event.u.router = incarnation;
  mq_admission_post (node->router, &event);
  mq_fleet_limits_remove_holder (node->router->limits, incarnation);
}

static void
owners_update (mq_fleet_node *node)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);

  mq_fleet_limits_set_members (node->router->limits,
                               mq_fleet_live_count (fleet),
                               mq_fleet_known_count (fleet));
  mq_fleet_plans_owners_changed (node->router->plans);
}

/* Handles a pause of this process, during which other routers have become
   owners of what it owned.  Discards what it counted for them; they register
   that with the present owners.  */
static void
pause_handle (mq_fleet_node *node, uint64_t gap_us)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);

  mq_log (G_LOG_LEVEL_WARNING, "fleet.paused", "gap_ms=%" G_GUINT64_FORMAT,
          gap_us / 1000);
  for (size_t i = 0; i < mq_fleet_size (fleet); i++)
    if (mq_fleet_member (fleet, i)->incarnation != 0)
      router_remove (node, mq_fleet_member (fleet, i)->incarnation);
}

static void
rejoin_handle (mq_fleet_node *node)
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
      mq_fleet_plans_on_message (r->plans, m);
      break;
    case MQ_PEER_LIMIT_REQUEST:
    case MQ_PEER_LIMIT_GRANT:
      mq_fleet_limits_on_message (r->limits, m);
      break;
    case MQ_PEER_CRASHES:
      mq_crash_tracker_receive (r->crash_tracker, m);
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
      member_log (node, event);
      break;
    case MQ_FLEET_IO_ROUTER_DEAD:
      router_remove (node, event->u.router);
      break;
    case MQ_FLEET_IO_OWNERS_CHANGED:
      owners_update (node);
      break;
    case MQ_FLEET_IO_PAUSED:
      pause_handle (node, event->u.gap_us);
      break;
    case MQ_FLEET_IO_REJOINED:
      rejoin_handle (node);
      break;
    case MQ_FLEET_IO_LEAVE_REQUESTED:
      mq_drain_begin (node->router, "the platform's list");
      break;
    case MQ_FLEET_IO_HEARTBEAT:
      break;
    case MQ_FLEET_IO_MESSAGE:
      message_dispatch (node, event->u.message);
      break;
    }
  mq_config_feed_on_fleet (node->router->config_feed, event);
}

/* ---- Announcements and I/O.  */

static void
self_announce (mq_fleet_node *node)
{
  const mq_router *r = node->router;
  uint64_t load = (uint64_t)mq_entry_in_flight (r->entry) * MAX_LOAD
                  / r->settings->requests;

  mq_fleet_io_set_self (node->io, (uint32_t)MIN (load, MAX_LOAD),
                        r->config == NULL ? 0 : r->config->generation);
}

static void
on_announce_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  (void)loop;
  (void)revents;
  self_announce (timer->data);
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
  entry = mq_router_client_address (r);
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

/* ---- Functions declared in fleet_node.h.  */

mq_fleet_node *
mq_fleet_node_new (mq_router *router, GError **error)
{
  mq_fleet_node *n = g_new0 (mq_fleet_node, 1);

  n->router = router;
  ev_timer_init (&n->announce_timer, on_announce_timer, ANNOUNCE_INTERVAL_S,
                 ANNOUNCE_INTERVAL_S);
  n->announce_timer.data = n;
  if (router->settings->peers.address != NULL)
    {
      if (io_open (n, error) < 0)
        goto fail;
      ev_timer_start (router->loop, &n->announce_timer);
      mq_config_feed_set_fleet (router->config_feed, n->io);
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
  ev_timer_stop (node->router->loop, &node->announce_timer);
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
  return node->io == NULL
         || mq_fleet_is_region_relay (mq_fleet_node_fleet (node));
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
mq_fleet_node_broadcast (mq_fleet_node *node, mq_peer_message *message,
                         unsigned max_members)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);
  size_t n = fleet == NULL ? 0 : mq_fleet_size (fleet);

  if (n == 0)
    return;
  node->next_receiver %= n;
  for (size_t i = 0; i < n && max_members > 0; i++)
    {
      const mq_member *m = mq_fleet_member (fleet, node->next_receiver);

      node->next_receiver = (node->next_receiver + 1) % n;
      if (m == mq_fleet_self (fleet) || m->state != MQ_MEMBER_LIVE)
        continue;
      (void)mq_fleet_io_send (node->io, m, message);
      max_members--;
    }
}

void
mq_fleet_node_announce_config (mq_fleet_node *node)
{
  if (node->io != NULL)
    self_announce (node);
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
mq_fleet_node_set_listed_vms (mq_fleet_node *node, const mq_listed_vm *vms,
                              size_t n)
{
  if (node->io != NULL)
    mq_fleet_io_set_list (node->io, vms, n);
}

static void
member_append (const mq_member *m, uint64_t now, GString *out)
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
owners_append (const mq_fleet_node *node, GString *out)
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
mq_fleet_node_append_status (const mq_fleet_node *node, GString *out)
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
  mq_json_text_bool (out, "reads_platform", mq_fleet_is_region_relay (fleet));
  mq_json_text_key (out, "members");
  g_string_append_c (out, '[');
  for (size_t i = 0; i < mq_fleet_size (fleet); i++)
    member_append (mq_fleet_member (fleet, i), now, out);
  g_string_append_c (out, ']');
  owners_append (node, out);
}

static void
counter_set (const mq_fleet_node *node, const char *name, const char *labels,
             const char *help, uint64_t value)
{
  *mq_metrics_counter (node->router->metrics, name, labels, help) = value;
}

void
mq_fleet_node_update_metrics (const mq_fleet_node *node)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (node);
  const mq_peers_counters *c;

  if (fleet == NULL)
    return;
  c = mq_peers_get_counters (mq_fleet_io_peers (node->io));
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
               mq_fleet_io_malformed_count (node->io));
  counter_set (node, "marjoramquay_peer_drops_total", "why=\"stranger\"", "",
               mq_fleet_io_unknown_sender_count (node->io));
  counter_set (node, "marjoramquay_peer_drops_total", "why=\"stale\"", "",
               mq_fleet_dropped (fleet));
  counter_set (node, "marjoramquay_peer_refused_total", "",
               "Connections refused for an unknown key.", c->refused);
}
