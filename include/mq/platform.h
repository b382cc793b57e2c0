/* Client of the platform's object service and VM list, over HTTP
   (docs/UPSTREAMS.md).

   Every call is asynchronous on the loop of its HTTP client and reports
   exactly once to its sink, never from inside the function that started it.
   A write that ends as MQ_PLATFORM_UNKNOWN may have taken effect or may do so
   shortly after; the caller must read the object before it relies on either.
   This client never retries a call; that is up to the caller.  */

#ifndef MQ_PLATFORM_H
#define MQ_PLATFORM_H

#include <glib.h>
#include <mq/http_client.h>
#include <mq/store.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Bounds the value of an object.  */
#define MQ_PLATFORM_MAX_VALUE_BYTES ((size_t)1024 * 1024)
/* Bounds the name of an object in a SCAN or a FOLLOW.  */
#define MQ_PLATFORM_MAX_NAME_BYTES ((size_t)1024)

typedef enum mq_platform_op
{
  MQ_PLATFORM_GET,
  MQ_PLATFORM_PUT,    /* If the version is still the one given.  */
  MQ_PLATFORM_CREATE, /* If there is no object of that name.  */
  MQ_PLATFORM_DELETE,
  MQ_PLATFORM_LIST,
  MQ_PLATFORM_WATCH,
  MQ_PLATFORM_VMS,
  MQ_PLATFORM_SCAN,   /* All objects of a kind, with their values.  */
  MQ_PLATFORM_FOLLOW, /* The changes of a kind.  */
  MQ_PLATFORM_OPS     /* Number of operations.  */
} mq_platform_op;

typedef enum mq_platform_result
{
  MQ_PLATFORM_OK,
  MQ_PLATFORM_MISSING,     /* There is no such object.  */
  MQ_PLATFORM_CONFLICT,    /* The object has another version, or, for a
                              CREATE, exists already.  */
  MQ_PLATFORM_UNCHANGED,   /* Of a WATCH: no change within its wait.  */
  MQ_PLATFORM_REFUSED,     /* The platform rejected the call as invalid.  */
  MQ_PLATFORM_BUSY,        /* Above the rate limit; nothing was done.  */
  MQ_PLATFORM_UNAVAILABLE, /* No reply to a read; or a write of which
                              nothing was sent, or that the platform stated
                              it did not do.  */
  MQ_PLATFORM_UNKNOWN,     /* A write that may have taken effect.  */
  MQ_PLATFORM_UNREADABLE,  /* Of a read: the reply is too large or, of a SCAN
                              or a FOLLOW, no complete list.  ENTRIES has what
                              could be read.  */
  MQ_PLATFORM_HISTORY_EXPIRED, /* Of a FOLLOW: the history from there
                                has expired; scan again.  */
  MQ_PLATFORM_RESULTS
} mq_platform_result;

typedef struct mq_platform_object
{
  mq_span name;
  uint64_t version;
} mq_platform_object;

typedef struct mq_platform_vm
{
  mq_span name;
  mq_span address;
  bool leaving;
} mq_platform_vm;

/* An object of a SCAN, or a change in a FOLLOW.  */
typedef struct mq_platform_entry
{
  mq_span name;
  uint64_t version;
  mq_span value; /* Text, JSON as a rule; empty if the entry can't be read.
                  */
  bool deleted;
} mq_platform_entry;

typedef struct mq_platform_reply
{
  mq_platform_op op;
  mq_platform_result result;
  uint64_t version;        /* Of the object, after the call; for a CONFLICT
                              the current one, 0 if not reported.  */
  mq_span value;           /* GET and WATCH.  Borrowed, as are the pointers
                              below.  */
  uint64_t retry_after_us; /* BUSY: from Retry-After; 0 if not given.  */
  const mq_platform_object *objects; /* LIST.  */
  size_t n_objects;
  const mq_platform_vm *vms; /* VMS.  */
  size_t n_vms;
  const mq_platform_entry *entries; /* SCAN and FOLLOW.  */
  size_t n_entries;
  size_t n_unnamed; /* SCAN and FOLLOW: entries without a valid name, which
                       are not in ENTRIES.  */
  mq_span unnamed;  /* The first of these as received.  */
  bool has_more;    /* SCAN: continue after the last entry's name.  */
  uint64_t at;      /* SCAN and FOLLOW: revision to follow from.  */
} mq_platform_reply;

typedef void (*mq_platform_sink) (void *context,
                                  const mq_platform_reply *reply);

typedef struct mq_platform mq_platform;
typedef struct mq_platform_call mq_platform_call;

/* A call as encoded by a dialect.  */
typedef struct mq_platform_wire
{
  const char *method; /* Static string.  */
  GString *path;      /* With the query.  */
  GString *body;
} mq_platform_wire;

/* A call to be encoded by a dialect.  Spans are borrowed.  */
typedef struct mq_platform_request
{
  mq_platform_op op;
  mq_span kind;
  mq_span name;     /* Empty for SCAN and FOLLOW.  */
  uint64_t version; /* Condition of a write, or the revision to FOLLOW from. */
  mq_span value;    /* JSON text.  */
  mq_span after;    /* SCAN: continue after this name.  */
  uint64_t wait_ms; /* FOLLOW: how long to wait for a change.  */
  bool stale;       /* SCAN: accept a reply that is some seconds old.  */
} mq_platform_request;

/* Encoder and decoder for the protocol of another object service.  DECODE
   gets the status and body of the response and sets the result of REPLY and
   the members that belong to OP.  It returns the memory that REPLY borrows
   from, to be freed by FREE_DECODED, or NULL.  For an unknown status it leaves
   the result as set by the client.  */
typedef struct mq_platform_dialect
{
  void (*encode) (const mq_platform_request *request, mq_platform_wire *wire);
  void *(*decode) (mq_platform_op op, unsigned status, mq_span body,
                   mq_platform_reply *reply);
  void (*free_decoded) (void *decoded);
} mq_platform_dialect;

typedef struct mq_platform_counters
{
  uint64_t calls[MQ_PLATFORM_OPS];
  uint64_t results[MQ_PLATFORM_OPS][MQ_PLATFORM_RESULTS];
} mq_platform_counters;

/* Creates a client of the platform at URL (http://IP:PORT).  CLIENT is
   borrowed and must outlive the result.  TIMEOUT_MS bounds each call, for a
   watch in addition to its wait; 0 means 2000.  */
mq_platform *mq_platform_new (mq_http_client *client, mq_span url,
                              uint64_t timeout_ms);
/* The same for another DIALECT, which is borrowed and must outlive the result.
   Such a client is for mq_platform_request_start only.  */
mq_platform *mq_platform_new_dialect (mq_http_client *client, mq_span url,
                                      uint64_t timeout_ms,
                                      const mq_platform_dialect *dialect);
/* Cancels all calls and frees the client.  */
void mq_platform_free (mq_platform *platform);

mq_platform_call *mq_platform_get (mq_platform *platform, mq_span name,
                                   mq_platform_sink sink, void *context);
/* Writes VALUE if NAME's version is still VERSION.  VALUE is copied.  */
mq_platform_call *mq_platform_put (mq_platform *platform, mq_span name,
                                   uint64_t version, mq_span value,
                                   mq_platform_sink sink, void *context);
mq_platform_call *mq_platform_create (mq_platform *platform, mq_span name,
                                      mq_span value, mq_platform_sink sink,
                                      void *context);
/* Deletes NAME if its version is still VERSION.  */
mq_platform_call *mq_platform_delete (mq_platform *platform, mq_span name,
                                      uint64_t version, mq_platform_sink sink,
                                      void *context);
mq_platform_call *mq_platform_list (mq_platform *platform, mq_span prefix,
                                    mq_platform_sink sink, void *context);
/* Reports NAME once its version is above AFTER, or UNCHANGED after WAIT_MS. */
mq_platform_call *mq_platform_watch (mq_platform *platform, mq_span name,
                                     uint64_t after, uint64_t wait_ms,
                                     mq_platform_sink sink, void *context);
mq_platform_call *mq_platform_vms (mq_platform *platform,
                                   mq_platform_sink sink, void *context);

/* Starts REQUEST in the client's dialect.  REQUEST is copied.  */
mq_platform_call *
mq_platform_request_start (mq_platform *platform,
                           const mq_platform_request *request,
                           mq_platform_sink sink, void *context);

/* Cancels CALL; nothing is reported.  A cancelled write may still take
   effect.  */
void mq_platform_cancel (mq_platform_call *call);

/* Returns the counts of calls by operation and result; borrowed.  */
const mq_platform_counters *
mq_platform_get_counters (const mq_platform *platform);

/* Converts REPLY to the type of mq/store.h; the value is borrowed.  */
mq_store_reply mq_platform_store_reply (const mq_platform_reply *reply);

/* Return OP or RESULT as a lower-case word, such as "get" or "ok".  */
const char *mq_platform_op_name (mq_platform_op op);
const char *mq_platform_result_name (mq_platform_result result);

G_END_DECLS

#endif
