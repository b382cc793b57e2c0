/* Exchange of configuration between routers: see mq/config_peers.h.  */

#include <mq/config_peers.h>

#include <mq/manifest.h>

struct mq_config_peers
{
  mq_config_source *source; /* Borrowed.  */
  mq_fleet_io *fleet;       /* Borrowed.  */
};

/* Rank of MEMBER in the choice of watchers: the routers with the highest ranks
   watch (rendezvous hashing).  */
static uint64_t
watcher_rank (const mq_member *member)
{
  return mq_hash_mix (mq_span_hash (MQ_SPAN (MQ_MANIFEST_OBJECT)),
                      mq_span_hash (mq_str_span (member->vm)));
}

/* Pass the numbers of members, and whether this router watches, to the
   source.  */
static void
peers_update_source (mq_config_peers *p)
{
  const mq_fleet *fleet = mq_fleet_io_fleet (p->fleet);

  mq_config_source_set_peer_count (p->source,
                                   mq_fleet_known_count (fleet) - 1);
  mq_config_source_set_live_count (p->source, mq_fleet_live_count (fleet));
  mq_config_source_set_watching (p->source,
                                 mq_config_peers_is_watcher (fleet));
}

static void
peers_send_object (mq_config_peers *p, const mq_member *to, mq_span name)
{
  mq_str *value = mq_config_source_object (p->source, name);
  mq_peer_message m = { .kind = MQ_PEER_CONFIG_OBJECT };

  m.u.config_object.name = name;
  m.u.config_object.value = mq_str_span (value);
  m.u.config_object.missing = value == NULL;
  (void)mq_fleet_io_send (p->fleet, to, &m);
}

static void
peers_on_object (mq_config_peers *p, const mq_peer_message *message)
{
  mq_str *value = NULL;

  if (!message->u.config_object.missing)
    value = mq_str_new (message->u.config_object.value);
  mq_config_source_finish_fetch (p->source, message->sender,
                                 message->u.config_object.name, value);
  mq_str_unref (value);
}

static void
peers_on_message (mq_config_peers *p, const mq_member *from,
                  const mq_peer_message *message)
{
  switch (message->kind)
    {
    case MQ_PEER_CONFIG_OFFER:
      mq_config_source_set_peer_generation (p->source, message->sender,
                                            message->u.generation);
      break;
    case MQ_PEER_CONFIG_FETCH:
      peers_send_object (p, from, message->u.name);
      break;
    case MQ_PEER_CONFIG_OBJECT:
      peers_on_object (p, message);
      break;
    case MQ_PEER_HEARTBEAT:
    case MQ_PEER_MEMBER_UPDATES:
    case MQ_PEER_PLAN_REQUEST:
    case MQ_PEER_PLAN_ANSWER:
    case MQ_PEER_PLAN_RELEASE:
    case MQ_PEER_PLAN_PROGRESS:
    case MQ_PEER_PLAN_REGISTER:
    case MQ_PEER_LIMIT_REQUEST:
    case MQ_PEER_LIMIT_GRANT:
    case MQ_PEER_CRASHES:
      break;
    }
}

/* Request the object NAME from PEER.  If PEER can't be reached, the source's
   own timeout ends the fetch.  */
static void
peers_fetch (mq_config_peers *p, uint64_t peer, mq_span name)
{
  const mq_member *member
      = mq_fleet_find_incarnation (mq_fleet_io_fleet (p->fleet), peer);
  mq_peer_message m = { .kind = MQ_PEER_CONFIG_FETCH };

  m.u.name = name;
  if (member != NULL)
    (void)mq_fleet_io_send (p->fleet, member, &m);
}

/* Announce GENERATION to the live members that have a lower one.  */
static void
peers_offer (mq_config_peers *p, uint64_t generation)
{
  const mq_fleet *fleet = mq_fleet_io_fleet (p->fleet);
  mq_peer_message m = { .kind = MQ_PEER_CONFIG_OFFER };

  m.u.generation = generation;
  for (size_t i = 0; i < mq_fleet_size (fleet); i++)
    {
      const mq_member *member = mq_fleet_member (fleet, i);

      if (member->state == MQ_MEMBER_LIVE && member->generation < generation)
        (void)mq_fleet_io_send (p->fleet, member, &m);
    }
}

mq_config_peers *
mq_config_peers_new (mq_config_source *source, mq_fleet_io *fleet)
{
  mq_config_peers *p = g_new0 (mq_config_peers, 1);

  p->source = source;
  p->fleet = fleet;
  peers_update_source (p);
  return p;
}

void
mq_config_peers_free (mq_config_peers *peers)
{
  g_free (peers);
}

void
mq_config_peers_on_fleet (mq_config_peers *peers,
                          const mq_fleet_io_event *event)
{
  switch (event->kind)
    {
    case MQ_FLEET_IO_HEARTBEAT:
      mq_config_source_set_peer_generation (peers->source,
                                            event->member->incarnation,
                                            event->member->generation);
      break;
    case MQ_FLEET_IO_MESSAGE:
      peers_on_message (peers, event->member, event->u.message);
      break;
    case MQ_FLEET_IO_CHANGED:
    case MQ_FLEET_IO_ROUTER_DEAD:
    case MQ_FLEET_IO_OWNERS_CHANGED:
    case MQ_FLEET_IO_REJOINED:
      peers_update_source (peers);
      break;
    case MQ_FLEET_IO_PAUSED:
    case MQ_FLEET_IO_LEAVE_REQUESTED:
      break;
    }
}

void
mq_config_peers_on_source (mq_config_peers *peers,
                           const mq_config_source_event *event)
{
  switch (event->kind)
    {
    case MQ_CONFIG_SOURCE_FETCH:
      peers_fetch (peers, event->peer, event->name);
      break;
    case MQ_CONFIG_SOURCE_APPLIED:
      peers_offer (peers, event->generation);
      break;
    case MQ_CONFIG_SOURCE_REJECTED:
    case MQ_CONFIG_SOURCE_CUT_OFF:
    case MQ_CONFIG_SOURCE_REJOINED:
      break;
    }
}

bool
mq_config_peers_is_watcher (const mq_fleet *fleet)
{
  uint64_t own = watcher_rank (mq_fleet_self (fleet));
  unsigned n_higher = 0;

  for (size_t i = 0; i < mq_fleet_size (fleet); i++)
    {
      const mq_member *m = mq_fleet_member (fleet, i);

      if (m->was_eligible && watcher_rank (m) > own)
        n_higher++;
    }
  return n_higher < MQ_CONFIG_WATCHERS;
}
