/* Messages between routers in gateway mode, and their wire format.

   A cluster message is a tagged union.  On the wire it is one protobuf
   message with a version (schema/news.proto); the protobuf library's types
   are used only in packages/net/cluster_message.c.  Decoding fails for a
   message that is malformed, has another version or holds a value out of
   range.  The receiver counts such a message and drops it, without a change
   to its state.  An invalid record of a list is left out, and the others are
   used.  */

#ifndef MQ_CLUSTER_MESSAGE_H
#define MQ_CLUSTER_MESSAGE_H

#include <glib.h>
#include <mq/gossip.h>
#include <mq/platform.h>

G_BEGIN_DECLS

/* A router drops messages of any other version.  */
#define MQ_CLUSTER_MESSAGE_VERSION 2
/* Bounds the length of a name or an address.  */
#define MQ_CLUSTER_MESSAGE_MAX_TEXT_BYTES MQ_PLATFORM_MAX_NAME_BYTES
/* Bounds each list in gossip.  */
#define MQ_CLUSTER_MESSAGE_MAX_ELEMENTS 4096
/* The largest version of a configuration, and revision of the store.  */
#define MQ_CLUSTER_MESSAGE_MAX_VERSION ((uint64_t)1000000000000000000)

#define MQ_CLUSTER_MESSAGE_ERROR (mq_cluster_message_error_quark ())
GQuark mq_cluster_message_error_quark (void);

typedef enum mq_cluster_message_error
{
  MQ_CLUSTER_MESSAGE_ERROR_MALFORMED, /* Not a message, or an invalid body.  */
  MQ_CLUSTER_MESSAGE_ERROR_VERSION    /* An unsupported version.  */
} mq_cluster_message_error;

typedef enum mq_cluster_message_kind
{
  MQ_CLUSTER_MESSAGE_GOSSIP,
  MQ_CLUSTER_MESSAGE_ROUTING, /* A configuration that the receiver may lack. */
  MQ_CLUSTER_MESSAGE_ENTRIES, /* Upstreams: all, or those that changed.  */
  MQ_CLUSTER_MESSAGE_LAYERS,  /* The layers that an engine holds.  */
  MQ_CLUSTER_MESSAGE_BUDGET_REQUEST, /* Asks for retry budget.  */
  MQ_CLUSTER_MESSAGE_BUDGET_GRANT,   /* Transfers retry budget.  */
  MQ_CLUSTER_MESSAGE_KINDS
} mq_cluster_message_kind;

/* Returns KIND as a lower-case word for metrics and logs.  */
const char *mq_cluster_message_kind_name (mq_cluster_message_kind kind);

/* How far the receiver of a message propagates it.  */
typedef enum mq_propagation_scope
{
  MQ_SCOPE_FLEET,   /* To its failure domain, and to a relay of each other one.
                     */
  MQ_SCOPE_DOMAIN,  /* Within its failure domain.  */
  MQ_SCOPE_RECEIVER /* Not at all.  */
} mq_propagation_scope;

typedef struct mq_cluster_message_entries
{
  bool whole;  /* A complete list as of AT; otherwise changes only.  */
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

/* Relays on the way of a budget transfer: one in the requester's failure
   domain and one in the granter's.  */
#define MQ_CLUSTER_MESSAGE_MAX_RELAYS 2
/* Bounds the retries in one transfer.  */
#define MQ_CLUSTER_MESSAGE_MAX_RETRIES 65536

/* A request for retry budget, or a grant of it.  A request records the relays
   that forward it; the grant returns through the same relays.  */
typedef struct mq_cluster_message_budget
{
  mq_span borrower; /* Peer address of the requesting router.  */
  mq_span via[MQ_CLUSTER_MESSAGE_MAX_RELAYS]; /* Peer addresses.  */
  size_t n_via;
  uint64_t service; /* Hash of its name.  */
  unsigned sends;   /* Retries.  */
  uint64_t serial;  /* Chosen at random by the requester.  */
} mq_cluster_message_budget;

typedef struct mq_cluster_message
{
  mq_cluster_message_kind kind;
  mq_propagation_scope scope; /* Of ROUTING, ENTRIES and LAYERS.  */
  /* All pointers are borrowed: from the sender before encoding, from the
     mq_cluster_message_decoded after decoding.  */
  union
  {
    const mq_gossip *gossip;
    mq_span routing; /* The configuration's text.  */
    mq_cluster_message_entries entries;
    mq_cluster_message_layers layers;
    mq_cluster_message_budget budget; /* Of both kinds of transfer.  */
  } u;
} mq_cluster_message;

/* Appends MESSAGE in wire format to OUT.  */
void mq_cluster_message_encode (const mq_cluster_message *message,
                                GString *out);

/* A decoded message and the memory that it borrows from.  */
typedef struct mq_cluster_message_decoded
{
  mq_cluster_message message;
  mq_gossip gossip; /* Initialised for gossip only.  */
  GArray *entries;  /* mq_platform_entry, or NULL.  */
  size_t dropped;   /* Records of lists that are invalid and were left out.  */
  void *unpacked;   /* The protobuf library's message; owned.  */
} mq_cluster_message_decoded;

/* Decodes BYTES into DECODED, which need not be initialised.  Returns 0, or -1
   with ERROR set.  DECODED is to be finished only after success.  */
int mq_cluster_message_decode (mq_cluster_message_decoded *decoded,
                               mq_span bytes, GError **error);
/* Frees what DECODED holds, but not DECODED itself.  */
void mq_cluster_message_decoded_finish (mq_cluster_message_decoded *decoded);

G_END_DECLS

#endif
