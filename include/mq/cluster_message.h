/* What routers of the routing face send one another, and its form on the wire.

   A parcel is a tagged union.  On the wire it is one protobuf message with a
   version (schema/news.proto); the library's types stay inside
   packages/net/cluster_message.c.  Whatever can't be decoded, is of another
   version, or holds a value that its type can't have, is an error that the
   receiver counts and drops, and changes no belief.  */

#ifndef MQ_CLUSTER_MESSAGE_H
#define MQ_CLUSTER_MESSAGE_H

#include <glib.h>
#include <mq/gossip.h>
#include <mq/platform.h>

G_BEGIN_DECLS

/* Routers of different versions do not hear one another.  */
#define MQ_CLUSTER_MESSAGE_VERSION 2
/* The longest name or address.  */
#define MQ_CLUSTER_MESSAGE_MAX_TEXT_BYTES 1024
/* Elements of any list in news.  */
#define MQ_CLUSTER_MESSAGE_MAX_ELEMENTS 4096

#define MQ_CLUSTER_MESSAGE_ERROR (mq_cluster_message_error_quark ())
GQuark mq_cluster_message_error_quark (void);

typedef enum mq_cluster_message_error
{
  MQ_CLUSTER_MESSAGE_ERROR_MALFORMED, /* Not a parcel, or not a valid body.  */
  MQ_CLUSTER_MESSAGE_ERROR_VERSION    /* Of a version that we do not speak.  */
} mq_cluster_message_error;

typedef enum mq_cluster_message_kind
{
  MQ_CLUSTER_MESSAGE_GOSSIP,
  MQ_CLUSTER_MESSAGE_ROUTING, /* A configuration that the receiver may lack. */
  MQ_CLUSTER_MESSAGE_ENTRIES, /* Upstreams, all or those that changed.  */
  MQ_CLUSTER_MESSAGE_LAYERS,  /* What an engine said that it holds.  */
  MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, /* Further sends are wanted ...  */
  MQ_CLUSTER_MESSAGE_BUDGET_GRANT,   /* ... or handed over.  */
  MQ_CLUSTER_MESSAGE_KINDS
} mq_cluster_message_kind;

/* Lower-case word for metrics and logs.  */
const char *mq_cluster_message_kind_name (mq_cluster_message_kind kind);

/* How far what is passed on goes from the receiver.  */
typedef enum mq_propagation_scope
{
  MQ_SCOPE_FLEET,   /* To its domain, and to a relay of each other one.  */
  MQ_SCOPE_DOMAIN,  /* To its domain.  */
  MQ_SCOPE_RECEIVER /* No further.  */
} mq_propagation_scope;

typedef struct mq_cluster_message_entries
{
  bool whole;  /* All there are, as of AT; otherwise changes.  */
  uint64_t at; /* The store's revision; 0 for changes.  */
  const mq_platform_entry *entries;
  size_t n;
} mq_cluster_message_entries;

typedef struct mq_cluster_message_layers
{
  mq_span upstream; /* Its id.  */
  unsigned first;   /* Layers [first, end).  */
  unsigned end;
} mq_cluster_message_layers;

/* Relays that a transfer of budget passes: one of the borrower's domain, and
   one of the lender's.  */
#define MQ_CLUSTER_MESSAGE_MAX_RELAYS 2
/* Further sends in one transfer.  */
#define MQ_CLUSTER_MESSAGE_MAX_RETRIES 65536

/* A request for further sends, or a grant of some.  A request notes the relays
   that it passes, and the grant goes back through them.  */
typedef struct mq_cluster_message_budget
{
  mq_span borrower; /* Its peer address.  */
  mq_span via[MQ_CLUSTER_MESSAGE_MAX_RELAYS];
  size_t n_via;
  uint64_t service; /* Hash of its name.  */
  unsigned sends;
  uint64_t serial; /* Drawn by the borrower for this request.  */
} mq_cluster_message_budget;

typedef struct mq_cluster_message
{
  mq_cluster_message_kind kind;
  mq_propagation_scope scope; /* Of what is passed on.  */
  /* Borrowed: from the sender's own memory before it is encoded, from the
     decoded message after.  */
  union
  {
    const mq_gossip *gossip;
    mq_span routing; /* The configuration's text.  */
    mq_cluster_message_entries entries;
    mq_cluster_message_layers layers;
    mq_cluster_message_budget budget; /* Both ways.  */
  } u;
} mq_cluster_message;

/* Append the form of PARCEL on the wire to OUT.  */
void mq_cluster_message_encode (const mq_cluster_message *parcel,
                                GString *out);

/* A decoded parcel and what it borrows from.  */
typedef struct mq_cluster_message_decoded
{
  mq_cluster_message message;
  mq_gossip gossip; /* Initialised when the parcel is news.  */
  GArray *entries;  /* mq_platform_entry, or NULL.  */
  void *unpacked;   /* The library's.  */
} mq_cluster_message_decoded;

/* Returns 0; or -1 with ERROR set, and nothing to finish.  */
int mq_cluster_message_decode (mq_cluster_message_decoded *decoded,
                               mq_span bytes, GError **error);
void mq_cluster_message_decoded_finish (mq_cluster_message_decoded *decoded);

G_END_DECLS

#endif
