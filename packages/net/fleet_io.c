/* Runs one router's membership of the fleet on the loop: see mq/fleet_io.h.

   Invariant: the memory that the fleet's actions borrow is used before its
   next event.  A sink may call back into this module, so events that are
   posted while actions run are queued until these are done.  */

#include <mq/fleet_io.h>

#include <mq/log.h>
#include <stdio.h>

struct mq_fleet_io
{
  struct ev_loop *loop;
  mq_fleet *fleet;
  mq_peers *peers;
  ev_timer tick;
  mq_fleet_io_sink sink;
  void *sink_context;
  GByteArray *bytes; /* Buffer for encoded messages.  */
  GQueue pending;    /* mq_fleet_event, owned, which borrow nothing.  */
  bool busy;
  uint64_t n_malformed;
  uint64_t n_unknown_senders;
};

static uint64_t
now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

/* ---- Sending.  */

static mq_member_update
member_update_of (const mq_member *member)
{
  return (mq_member_update){ .vm = mq_str_span (member->vm),
                             .peer_address
                             = mq_str_span (member->peer_address),
                             .incarnation = member->incarnation,
                             .sequence = member->sequence,
                             .state = member->state,
                             .leaving = member->leaving };
}

static void
send_member_updates (mq_fleet_io *io, const mq_fleet_action *action)
{
  mq_peer_message m = { .kind = MQ_PEER_MEMBER_UPDATES };
  size_t n_members = mq_fleet_size (io->fleet);
  mq_member_update *items = g_new (mq_member_update, n_members + 1);
  size_t n = 0;

  if (action->u.updates.self)
    items[n++] = member_update_of (mq_fleet_self (io->fleet));
  else if (action->u.updates.about != NULL)
    items[n++] = member_update_of (action->u.updates.about);
  else
    while (n < n_members)
      {
        items[n] = member_update_of (mq_fleet_member (io->fleet, n));
        n++;
      }
  m.u.member_updates.items = items;
  m.u.member_updates.n = n;
  (void)mq_fleet_io_send (io, action->member, &m);
  g_free (items);
}

static void
send_heartbeat (mq_fleet_io *io, const mq_fleet_action *action)
{
  mq_peer_message m = { .kind = MQ_PEER_HEARTBEAT };

  m.u.heartbeat = action->u.heartbeat;
  (void)mq_fleet_io_send (io, action->member, &m);
}

/* ---- Actions.  */

static void
report (mq_fleet_io *io, const mq_fleet_io_event *event)
{
  io->sink (io->sink_context, event);
}

static void
report_kind (mq_fleet_io *io, mq_fleet_io_event_kind kind)
{
  mq_fleet_io_event e = { .kind = kind };

  report (io, &e);
}

static void
report_changed (mq_fleet_io *io, const mq_fleet_action *action)
{
  mq_fleet_io_event e
      = { .kind = MQ_FLEET_IO_CHANGED, .member = action->member };

  e.u.changed.from = action->u.changed.from;
  e.u.changed.to = action->u.changed.to;
  e.u.changed.why = action->u.changed.why;
  report (io, &e);
}

static void
action_carry_out (mq_fleet_io *io, const mq_fleet_action *action)
{
  mq_fleet_io_event e = { .member = action->member };

  switch (action->kind)
    {
    case MQ_FLEET_CONNECT:
      mq_peers_connect (io->peers, mq_str_span (action->member->peer_address));
      break;
    case MQ_FLEET_DISCONNECT:
      mq_peers_disconnect (io->peers, mq_str_span (action->u.address));
      break;
    case MQ_FLEET_SEND_HEARTBEAT:
      send_heartbeat (io, action);
      break;
    case MQ_FLEET_SEND_MEMBER_UPDATES:
      send_member_updates (io, action);
      break;
    case MQ_FLEET_MEMBER_CHANGED:
      report_changed (io, action);
      break;
    case MQ_FLEET_ROUTER_ENDED:
      e.kind = MQ_FLEET_IO_ROUTER_DEAD;
      e.u.router = action->u.router;
      report (io, &e);
      break;
    case MQ_FLEET_OWNERS_CHANGED:
      report_kind (io, MQ_FLEET_IO_OWNERS_CHANGED);
      break;
    case MQ_FLEET_PAUSED:
      e.kind = MQ_FLEET_IO_PAUSED;
      e.u.gap_us = action->u.gap_us;
      report (io, &e);
      break;
    case MQ_FLEET_REJOINED:
      report_kind (io, MQ_FLEET_IO_REJOINED);
      break;
    case MQ_FLEET_LEAVE_REQUESTED:
      report_kind (io, MQ_FLEET_IO_LEAVE_REQUESTED);
      break;
    }
}

static void
fleet_step (mq_fleet_io *io, mq_fleet_event *event)
{
  GArray *actions = mq_fleet_actions_new ();

  event->now_us = now_us ();
  mq_fleet_handle (io->fleet, event, actions);
  for (guint i = 0; i < actions->len; i++)
    action_carry_out (io, &g_array_index (actions, mq_fleet_action, i));
  g_array_unref (actions);
}

static void
tick_arm (mq_fleet_io *io)
{
  uint64_t due = mq_fleet_next_tick (io->fleet);
  uint64_t now = now_us ();

  ev_timer_stop (io->loop, &io->tick);
  ev_now_update (io->loop);
  ev_timer_set (&io->tick, due <= now ? 0. : (double)(due - now) / 1e6, 0.);
  ev_timer_start (io->loop, &io->tick);
}

/* Handle EVENT, and then the pending events.  */
static void
fleet_run (mq_fleet_io *io, mq_fleet_event *event)
{
  mq_fleet_event *w;

  io->busy = true;
  fleet_step (io, event);
  while ((w = g_queue_pop_head (&io->pending)) != NULL)
    {
      fleet_step (io, w);
      g_free (w);
    }
  io->busy = false;
  tick_arm (io);
}

/* Handle EVENT, or queue it while another is handled.  EVENT must not borrow
   anything.  */
static void
fleet_post (mq_fleet_io *io, mq_fleet_event *event)
{
  if (io->busy)
    g_queue_push_tail (&io->pending, g_memdup2 (event, sizeof *event));
  else
    fleet_run (io, event);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_fleet_event e = { .kind = MQ_FLEET_TICK };

  (void)loop;
  (void)revents;
  fleet_run (timer->data, &e);
}

/* ---- Receiving.  */

static void
on_heartbeat (mq_fleet_io *io, const mq_peer_message *message)
{
  mq_fleet_event e = { .kind = MQ_FLEET_HEARTBEAT };
  mq_fleet_io_event received = { .kind = MQ_FLEET_IO_HEARTBEAT };

  e.u.heartbeat = message->u.heartbeat;
  fleet_run (io, &e);
  received.member = mq_fleet_find_incarnation (io->fleet, message->sender);
  if (received.member != NULL)
    report (io, &received);
}

static void
on_member_updates (mq_fleet_io *io, const mq_peer_message *message)
{
  mq_fleet_event e = { .kind = MQ_FLEET_MEMBER_UPDATES };

  e.u.updates.sender = message->sender;
  e.u.updates.items = message->u.member_updates.items;
  e.u.updates.n = message->u.member_updates.n;
  fleet_run (io, &e);
}

static void
on_other (mq_fleet_io *io, const mq_peer_message *message)
{
  mq_fleet_io_event e = { .kind = MQ_FLEET_IO_MESSAGE };

  e.member = mq_fleet_find_incarnation (io->fleet, message->sender);
  e.u.message = message;
  if (e.member == NULL)
    {
      io->n_unknown_senders++;
      return;
    }
  report (io, &e);
}

static void
on_bytes (void *context, mq_span bytes)
{
  mq_fleet_io *io = context;
  mq_peer_decoded d;
  GError *error = NULL;

  if (mq_peer_message_decode (&d, bytes, &error) < 0)
    {
      io->n_malformed++;
      mq_log (G_LOG_LEVEL_DEBUG, "peer.garbage", "size=%zu error=%s",
              bytes.size, mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  switch (d.message.kind)
    {
    case MQ_PEER_HEARTBEAT:
      on_heartbeat (io, &d.message);
      break;
    case MQ_PEER_MEMBER_UPDATES:
      on_member_updates (io, &d.message);
      break;
    default:
      on_other (io, &d.message);
      break;
    }
  mq_peer_decoded_finish (&d);
}

/* ---- Public.  */

mq_fleet_io *
mq_fleet_io_new (struct ev_loop *loop, const mq_fleet_io_options *options,
                 mq_fleet_io_sink sink, void *context, GError **error)
{
  mq_fleet_io *io = g_new0 (mq_fleet_io, 1);
  mq_fleet_options fleet = options->fleet;
  char address[128];

  io->loop = loop;
  io->sink = sink;
  io->sink_context = context;
  io->bytes = g_byte_array_new ();
  g_queue_init (&io->pending);
  ev_timer_init (&io->tick, on_tick, 0., 0.);
  io->tick.data = io;
  io->peers = mq_peers_new (loop, options->bind_address, options->port,
                            options->keys, on_bytes, io, error);
  if (io->peers == NULL)
    goto fail;
  (void)snprintf (address, sizeof address, "%.*s:%u",
                  MQ_SPAN_ARG (options->advertised),
                  mq_peers_port (io->peers));
  fleet.peer_address = mq_span_from (address);
  io->fleet = mq_fleet_new (&fleet);
  ev_timer_start (loop, &io->tick);
  return io;
fail:
  mq_fleet_io_free (io);
  return NULL;
}

void
mq_fleet_io_free (mq_fleet_io *io)
{
  if (io == NULL)
    return;
  g_queue_clear_full (&io->pending, g_free);
  ev_timer_stop (io->loop, &io->tick);
  mq_peers_free (io->peers);
  mq_fleet_free (io->fleet);
  g_byte_array_unref (io->bytes);
  g_free (io);
}

const mq_fleet *
mq_fleet_io_fleet (const mq_fleet_io *io)
{
  return io->fleet;
}

mq_peers *
mq_fleet_io_peers (const mq_fleet_io *io)
{
  return io->peers;
}

/* The list is not copied, so the event can't be queued.  */
void
mq_fleet_io_set_list (mq_fleet_io *io, const mq_listed_vm *vms, size_t n)
{
  mq_fleet_event e = { .kind = MQ_FLEET_LIST };

  g_return_if_fail (!io->busy);
  e.u.list.vms = vms;
  e.u.list.n = n;
  fleet_run (io, &e);
}

void
mq_fleet_io_set_self (mq_fleet_io *io, uint32_t load, uint64_t generation)
{
  mq_fleet_event e = { .kind = MQ_FLEET_SELF };

  e.u.self.load = load;
  e.u.self.generation = generation;
  fleet_post (io, &e);
}

void
mq_fleet_io_leave (mq_fleet_io *io)
{
  mq_fleet_event e = { .kind = MQ_FLEET_LEAVE };

  fleet_post (io, &e);
}

int
mq_fleet_io_send (mq_fleet_io *io, const mq_member *member,
                  mq_peer_message *message)
{
  message->sender = mq_fleet_self (io->fleet)->incarnation;
  g_byte_array_set_size (io->bytes, 0);
  mq_peer_message_encode (message, io->bytes);
  return mq_peers_send (
      io->peers, mq_str_span (member->peer_address),
      (mq_span){ (const char *)io->bytes->data, io->bytes->len });
}

uint64_t
mq_fleet_io_malformed_count (const mq_fleet_io *io)
{
  return io->n_malformed;
}

uint64_t
mq_fleet_io_unknown_sender_count (const mq_fleet_io *io)
{
  return io->n_unknown_senders;
}
