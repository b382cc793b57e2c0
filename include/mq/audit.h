/* The audit trail: who changed what, why, from what and to what.

   Each router collects its records and writes them to the platform in batches.
   A batch is one object with a unique name, so a write whose reply was lost is
   repeated safely: the object exists already.  A batch waits for more records
   to keep writes few.

   Invariants:
   - memory is bounded: while the platform is unavailable the oldest records
     are dropped, and a record states how many;
   - a batch holds whole records, is below the platform's size limit for a
     value, and never changes once its first write was tried;
   - texts are cut to MQ_AUDIT_MAX_TEXT_BYTES; callers pass no secrets.

   Pure: times are passed in.  docs/design/state.md has the object's layout;
   in short, the object "audit/YYYY-MM-DD/MILLISECONDS-ROUTER-SEQUENCE" holds
   one JSON record a line, and names sort by time within a day.  */

#ifndef MQ_AUDIT_H
#define MQ_AUDIT_H

#include <glib.h>
#include <mq/store.h>

G_BEGIN_DECLS

#define MQ_AUDIT_MAX_TEXT_BYTES 512

#define MQ_AUDIT_ERROR (mq_audit_error_quark ())
GQuark mq_audit_error_quark (void);

typedef enum mq_audit_error
{
  MQ_AUDIT_ERROR_FORM /* Not a record, or of an unknown kind.  */
} mq_audit_error;

typedef enum mq_audit_kind
{
  MQ_AUDIT_CONFIGURATION,
  MQ_AUDIT_ORDER,
  MQ_AUDIT_MEMBERSHIP,
  MQ_AUDIT_MODE, /* Changes of the operating mode: draining, platform
                    unavailable.  */
  MQ_AUDIT_LOST  /* Records were dropped; WHAT states how many.  */
} mq_audit_kind;

/* One change.  Spans are borrowed.  */
typedef struct mq_audit_record
{
  mq_audit_kind kind;
  uint64_t wall_ms; /* Since the epoch.  */
  uint64_t router;  /* Incarnation that wrote the record; 0: none.  */
  mq_span who;      /* An operator or the name of a router.  */
  mq_span what;     /* What was changed: a file, an engine, a VM.  */
  mq_span why;
  mq_span before;
  mq_span after;
} mq_audit_record;

/* Returns "configuration", "order", "membership", "mode" or "lost".  */
const char *mq_audit_kind_name (mq_audit_kind kind);

/* Sets PREFIX to the common prefix of the names of all batches of the day that
   is DAYS_AGO days before WALL_MS.  */
void mq_audit_day_prefix (uint64_t wall_ms, unsigned days_ago,
                          GString *prefix);

/* Appends RECORD as one line of JSON, newline included, to TEXT.  */
void mq_audit_encode (const mq_audit_record *record, GString *text);

/* Called for each record read; its spans are valid during the call only.  */
typedef void (*mq_audit_reader) (void *context, const mq_audit_record *record);

/* Reads the lines of one object.  Returns 0, or -1 with ERROR set at the first
   line that is not a record; READER was called for those before it.  */
int mq_audit_decode (mq_span text, mq_audit_reader reader, void *context,
                     GError **error);

typedef enum mq_audit_event_kind
{
  MQ_AUDIT_ADD,
  MQ_AUDIT_REPLY, /* To the open write.  */
  MQ_AUDIT_FLUSH, /* Write pending records now, as the router shuts down.  */
  MQ_AUDIT_TICK
} mq_audit_event_kind;

typedef struct mq_audit_event
{
  mq_audit_event_kind kind;
  uint64_t now_us;        /* Monotonic.  */
  uint64_t wall_ms;       /* Since the epoch.  */
  mq_audit_record record; /* ADD; the handler sets its wall_ms and router.  */
  mq_store_result result; /* REPLY.  */
} mq_audit_event;

/* The only action: create the object NAME with VALUE if it is absent.  */
typedef struct mq_audit_action
{
  mq_str *name;  /* Owned by the action.  */
  mq_str *value; /* Owned.  */
} mq_audit_action;

typedef struct mq_audit_options
{
  uint64_t router;    /* Incarnation of this process.  */
  uint64_t linger_us; /* How long a batch waits for more records.  */
  uint64_t retry_us;  /* Between two attempts at one write.  */
  size_t batch_bytes; /* Largest batch.  */
  size_t limit_bytes; /* Maximum of buffered bytes.  */
} mq_audit_options;

typedef struct mq_audit mq_audit;

mq_audit *mq_audit_new (const mq_audit_options *options);
void mq_audit_free (mq_audit *audit);

/* Returns an empty array of mq_audit_action whose elements are cleared when
   they are removed.  */
GArray *mq_audit_actions_new (void);

void mq_audit_handle (mq_audit *audit, const mq_audit_event *event,
                      GArray *actions);

/* Number of records whose write is not confirmed, and of records dropped.  */
uint32_t mq_audit_pending (const mq_audit *audit);
uint64_t mq_audit_dropped (const mq_audit *audit);

/* Returns the time of the next MQ_AUDIT_TICK; UINT64_MAX: none.  */
uint64_t mq_audit_next_tick (const mq_audit *audit);

G_END_DECLS

#endif
