/* Messages between routers in native mode, and their wire format.

   A message is a tagged union of the types of packages/decide.  On the wire it
   is one protobuf envelope with a version (schema/peer.proto); the protobuf
   library's types are used only in packages/net/peer_encode.c and
   peer_decode.c.  Decoding fails for a message that is malformed, has another
   version or holds a value out of range; the receiver counts and drops it.  */

#ifndef MQ_PEER_MESSAGE_H
#define MQ_PEER_MESSAGE_H

#include <glib.h>
#include <mq/fleet.h>
#include <mq/limiter.h>
#include <mq/planner.h>
#include <mq/quarantine.h>

G_BEGIN_DECLS

#define MQ_PEER_VERSION 1
/* Bounds the length of a message.  */
#define MQ_PEER_MAX_MESSAGE_BYTES ((size_t)2 * 1024 * 1024)
/* Bounds the length of a name, an address or a URL.  */
#define MQ_PEER_MAX_TEXT_BYTES 1024

#define MQ_PEER_MESSAGE_ERROR (mq_peer_message_error_quark ())
GQuark mq_peer_message_error_quark (void);

typedef enum mq_peer_message_error
{
  MQ_PEER_MESSAGE_ERROR_MALFORMED, /* Not an envelope, or an invalid body.  */
  MQ_PEER_MESSAGE_ERROR_VERSION    /* An unsupported version.  */
} mq_peer_message_error;

typedef enum mq_peer_message_kind
{
  MQ_PEER_HEARTBEAT,
  MQ_PEER_MEMBER_UPDATES,
  MQ_PEER_PLAN_REQUEST,
  MQ_PEER_PLAN_ANSWER,
  MQ_PEER_PLAN_RELEASE,
  MQ_PEER_PLAN_PROGRESS,
  MQ_PEER_PLAN_REGISTER, /* An attempt that another owner planned.  */
  MQ_PEER_LIMIT_REQUEST,
  MQ_PEER_LIMIT_GRANT,
  MQ_PEER_CONFIG_OFFER, /* The sender has GENERATION in force.  */
  MQ_PEER_CONFIG_FETCH, /* Requests the object NAME.  */
  MQ_PEER_CONFIG_OBJECT,
  MQ_PEER_CRASHES /* Crashes of upstreams while they ran requests.  */
} mq_peer_message_kind;

typedef struct mq_peer_message
{
  mq_peer_message_kind kind;
  uint64_t sender; /* Incarnation.  */
  /* All pointers are borrowed: from the sender before encoding, from the
     mq_peer_decoded after decoding.  */
  union
  {
    mq_heartbeat heartbeat; /* Its incarnation equals SENDER.  */
    struct
    {
      const mq_member_update *items;
      size_t n;
    } member_updates;
    struct
    {
      mq_plan_request request;
      uint64_t generation; /* In force at the sender.  */
    } plan_request;
    struct
    {
      mq_request_id id;
      uint32_t attempt;
      bool admitted;
      mq_plan plan; /* If ADMITTED.  */
      mq_reason reason;
      uint64_t retry_after_us;
      mq_plan_figures figures;
    } plan_answer;
    struct
    {
      mq_span service;
      mq_plan_release release;
    } plan_release;
    struct
    {
      mq_span service;
      mq_request_id id;
      uint32_t attempt;
      uint32_t tokens;
      uint64_t mean_gap_us;
    } plan_progress;
    struct
    {
      mq_plan_request request;
      mq_plan plan;
      uint32_t tokens;
    } plan_register;
    mq_limit_request limit_request;
    mq_limit_grant limit_grant;
    uint64_t generation; /* CONFIG_OFFER.  */
    mq_span name;        /* CONFIG_FETCH.  */
    struct
    {
      mq_span name;
      uint64_t version;
      mq_span value;
      bool missing;
    } config_object;
    struct
    {
      mq_quarantine_record items[MQ_QUARANTINE_MAX_RECORDS_PER_MESSAGE];
      size_t n;
    } crashes;
  } u;
} mq_peer_message;

/* Appends MESSAGE in wire format to OUT.  */
void mq_peer_message_encode (const mq_peer_message *message, GByteArray *out);

/* A decoded message and the memory that it borrows from.  */
typedef struct mq_peer_decoded
{
  mq_peer_message message;
  void *envelope;          /* The protobuf library's message; owned.  */
  mq_member_update *items; /* Owned.  */
  bool has_plan;
} mq_peer_decoded;

/* Decodes BYTES into DECODED, which need not be initialised.  Returns 0, or -1
   with ERROR set.  DECODED is to be finished only after success.  */
int mq_peer_message_decode (mq_peer_decoded *decoded, mq_span bytes,
                            GError **error);
/* Frees what DECODED holds, but not DECODED itself.  */
void mq_peer_decoded_finish (mq_peer_decoded *decoded);

G_END_DECLS

#endif
