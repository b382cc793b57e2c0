/* What routers say to one another, and its form on the wire.

   A message is a tagged union of the decisions' own types.  On the wire it is
   one protobuf envelope with a version (schema/peer.proto); the library's
   types stay inside packages/net/peer_encode.c and peer_decode.c.  Whatever
   can't be decoded, is of another version, or holds a value that its type
   can't have, is an error that the receiver counts and drops.  */

#ifndef MQ_PEER_MESSAGE_H
#define MQ_PEER_MESSAGE_H

#include <glib.h>
#include <mq/fleet.h>
#include <mq/limiter.h>
#include <mq/planner.h>
#include <mq/quarantine.h>

G_BEGIN_DECLS

#define MQ_PEER_VERSION 1
/* The longest message.  */
#define MQ_PEER_MAX_MESSAGE_BYTES ((size_t)2 * 1024 * 1024)
/* The longest name, address or URL.  */
#define MQ_PEER_MAX_TEXT_BYTES 1024

#define MQ_PEER_MESSAGE_ERROR (mq_peer_message_error_quark ())
GQuark mq_peer_message_error_quark (void);

typedef enum mq_peer_message_error
{
  MQ_PEER_MESSAGE_ERROR_MALFORMED, /* Not an envelope, or not a valid body.  */
  MQ_PEER_MESSAGE_ERROR_VERSION    /* Of a version that we do not speak.  */
} mq_peer_message_error;

typedef enum mq_peer_message_kind
{
  MQ_PEER_HEARTBEAT,
  MQ_PEER_MEMBER_UPDATES,
  MQ_PEER_PLAN_REQUEST,
  MQ_PEER_PLAN_ANSWER,
  MQ_PEER_PLAN_RELEASE,
  MQ_PEER_PLAN_PROGRESS,
  MQ_PEER_PLAN_REGISTER, /* An attempt that another owner placed.  */
  MQ_PEER_LIMIT_REQUEST,
  MQ_PEER_LIMIT_GRANT,
  MQ_PEER_CONFIG_OFFER, /* The sender has GENERATION in force.  */
  MQ_PEER_CONFIG_FETCH, /* Send me the object.  */
  MQ_PEER_CONFIG_OBJECT,
  MQ_PEER_CRASHES /* Of upstreams under requests.  */
} mq_peer_message_kind;

typedef struct mq_peer_message
{
  mq_peer_message_kind kind;
  uint64_t sender; /* Incarnation.  */
  /* Spans are borrowed: from the sender's own memory before it is encoded,
     from the decoded message after.  */
  union
  {
    mq_heartbeat heartbeat; /* Its incarnation is the sender's.  */
    struct
    {
      const mq_member_update *items;
      size_t n;
    } member_updates;
    struct
    {
      mq_plan_request ask;
      uint64_t generation; /* In force at the sender.  */
    } plan_ask;
    struct
    {
      mq_request_id id;
      uint32_t attempt;
      bool admitted;
      mq_plan plan; /* Where admitted.  */
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
      mq_plan_request ask;
      mq_plan plan;
      uint32_t tokens;
    } plan_register;
    mq_limit_request limit_ask;
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
    } ends;
  } u;
} mq_peer_message;

/* Append MESSAGE's bytes to OUT.  */
void mq_peer_message_encode (const mq_peer_message *message, GByteArray *out);

/* A message that was decoded, with what it borrows.  */
typedef struct mq_peer_decoded
{
  mq_peer_message message;
  void *envelope;          /* The library's; owned.  */
  mq_member_update *items; /* Owned.  */
  bool has_plan;
} mq_peer_decoded;

/* Fill DECODED, which is not initialised, from BYTES.  Returns 0; or -1 with
   ERROR set, and there is nothing to finish.  */
int mq_peer_message_decode (mq_peer_decoded *decoded, mq_span bytes,
                            GError **error);
void mq_peer_decoded_finish (mq_peer_decoded *decoded);

G_END_DECLS

#endif
