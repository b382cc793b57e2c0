/* Runs one router's membership of the fleet on the event loop: connects the
   decisions of mq/fleet.h with the connections of mq/peers.h.

   This module runs the fleet's timer, executes its actions, and converts
   messages to events and back.  Messages of other modules (plans, limits,
   configuration) and changes of members are reported to one sink.  */

#ifndef MQ_FLEET_IO_H
#define MQ_FLEET_IO_H

#include <ev.h>
#include <glib.h>
#include <mq/fleet.h>
#include <mq/peer_message.h>
#include <mq/peers.h>

G_BEGIN_DECLS

typedef enum mq_fleet_io_event_kind
{
  MQ_FLEET_IO_CHANGED,         /* The state of MEMBER changed.  */
  MQ_FLEET_IO_ROUTER_DEAD,     /* An incarnation ended or counts as dead.  */
  MQ_FLEET_IO_OWNERS_CHANGED,  /* Look up owners again.  */
  MQ_FLEET_IO_PAUSED,          /* This router did not run for GAP_US.  */
  MQ_FLEET_IO_REJOINED,        /* It is a member again.  */
  MQ_FLEET_IO_LEAVE_REQUESTED, /* The platform's list has it as leaving.  */
  MQ_FLEET_IO_HEARTBEAT,       /* A heartbeat of MEMBER was received.  */
  MQ_FLEET_IO_MESSAGE /* Of a kind other than heartbeat and member update. */
} mq_fleet_io_event_kind;

/* All pointers are borrowed until the sink returns.  */
typedef struct mq_fleet_io_event
{
  mq_fleet_io_event_kind kind;
  const mq_member *member; /* CHANGED, HEARTBEAT; the sender of a MESSAGE.  */
  union
  {
    struct
    {
      mq_member_state from;
      mq_member_state to;
      const char *why; /* Static string.  */
    } changed;
    uint64_t router; /* ROUTER_DEAD: its incarnation.  */
    uint64_t gap_us; /* PAUSED.  */
    const mq_peer_message *message;
  } u;
} mq_fleet_io_event;

typedef void (*mq_fleet_io_sink) (void *context,
                                  const mq_fleet_io_event *event);

typedef struct mq_fleet_io_options
{
  mq_fleet_options fleet; /* Its peer_address is set by mq_fleet_io_new.  */
  mq_span bind_address;   /* IP address.  */
  uint16_t port;          /* 0 lets the system choose.  */
  mq_span advertised;     /* IP address at which peers reach this router.  */
  const mq_peer_keys *keys;
} mq_fleet_io_options;

typedef struct mq_fleet_io mq_fleet_io;

/* Binds the address of OPTIONS.  Returns NULL with ERROR set if that fails. */
mq_fleet_io *mq_fleet_io_new (struct ev_loop *loop,
                              const mq_fleet_io_options *options,
                              mq_fleet_io_sink sink, void *context,
                              GError **error);
void mq_fleet_io_free (mq_fleet_io *io);

/* The results are borrowed.  */
const mq_fleet *mq_fleet_io_fleet (const mq_fleet_io *io);
mq_peers *mq_fleet_io_peers (const mq_fleet_io *io);

/* Passes the platform's list of VMs.  Not to be called from the sink.  */
void mq_fleet_io_set_list (mq_fleet_io *io, const mq_listed_vm *vms, size_t n);
/* Sets this router's own load and the generation that it has in force.  */
void mq_fleet_io_set_self (mq_fleet_io *io, uint32_t load,
                           uint64_t generation);
/* Announces to all members that this router leaves.  */
void mq_fleet_io_leave (mq_fleet_io *io);

/* Sends MESSAGE to MEMBER; sets the sender in MESSAGE.  Returns 0, or -1 if
   the message was dropped because MEMBER is not connected or its queue is
   full.  */
int mq_fleet_io_send (mq_fleet_io *io, const mq_member *member,
                      mq_peer_message *message);

/* Return the number of messages that could not be decoded, and of those from
   a router that has not introduced itself.  */
uint64_t mq_fleet_io_malformed_count (const mq_fleet_io *io);
uint64_t mq_fleet_io_unknown_sender_count (const mq_fleet_io *io);

G_END_DECLS

#endif
