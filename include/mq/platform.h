/* The platform's object service and VM list, over HTTP (docs/UPSTREAMS.md).

   Every call is asynchronous on the loop of its HTTP client and reports
   exactly once to its sink, never from inside the function that started it.
   A write that ends as MQ_PLATFORM_UNKNOWN may have taken effect, now or a
   little later: whoever gets that reads back before telling anyone.  Calls
   are never repeated here; when and whether to repeat is the caller's to
   decide, who knows what the call means.  */

#ifndef MQ_PLATFORM_H
#define MQ_PLATFORM_H

#include <glib.h>
#include <mq/http_client.h>
#include <mq/store.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Largest value of an object, in bytes.  */
#define MQ_PLATFORM_MAX_VALUE_BYTES ((size_t)1024 * 1024)

typedef enum mq_platform_op
{
  MQ_PLATFORM_GET,
  MQ_PLATFORM_PUT,    /* Where the version is still the one given.  */
  MQ_PLATFORM_CREATE, /* Where there is no object of that name.  */
  MQ_PLATFORM_DELETE,
  MQ_PLATFORM_LIST,
  MQ_PLATFORM_WATCH,
  MQ_PLATFORM_VMS,
  MQ_PLATFORM_SCAN,   /* All objects of a kind, with their values.  */
  MQ_PLATFORM_FOLLOW, /* What has changed in a kind.  */
  MQ_PLATFORM_OPS     /* How many there are.  */
} mq_platform_op;

typedef enum mq_platform_result
{
  MQ_PLATFORM_OK,
  MQ_PLATFORM_MISSING,         /* There is no such object.  */
  MQ_PLATFORM_CONFLICT,        /* Another version is in force, or, of a create,
                                  the object is there.  */
  MQ_PLATFORM_UNCHANGED,       /* Of a watch: nothing new while it waited.  */
  MQ_PLATFORM_REFUSED,         /* The platform finds the call itself wrong.  */
  MQ_PLATFORM_BUSY,            /* Above the rate; nothing was done.  */
  MQ_PLATFORM_UNAVAILABLE,     /* No answer to a read; or a write of which
                                  nothing was sent or that the platform said it
                                  did not do.  */
  MQ_PLATFORM_UNKNOWN,         /* A write that may have taken effect.  */
  MQ_PLATFORM_HISTORY_EXPIRED, /* Of a follow: the history is gone; scan.  */
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

/* An object of a scan, or one that has changed.  */
typedef struct mq_platform_entry
{
  mq_span name;
  uint64_t version;
  mq_span value; /* JSON text.  */
  bool deleted;
} mq_platform_entry;

typedef struct mq_platform_reply
{
  mq_platform_op op;
  mq_platform_result result;
  uint64_t version;        /* Of the object, after the call; of a CONFLICT
                              the one in force, 0 when not told.  */
  mq_span value;           /* GET and WATCH.  Borrowed, like all below.  */
  uint64_t retry_after_us; /* BUSY: when to come back, 0 when not told.  */
  const mq_platform_object *objects; /* LIST.  */
  size_t n_objects;
  const mq_platform_vm *vms; /* VMS.  */
  size_t n_vms;
  const mq_platform_entry *entries; /* SCAN and FOLLOW.  */
  size_t n_entries;
  bool has_more; /* SCAN: go on after the last entry's name.  */
  uint64_t at;   /* SCAN and FOLLOW: follow from here.  */
} mq_platform_reply;

typedef void (*mq_platform_sink) (void *context,
                                  const mq_platform_reply *reply);

typedef struct mq_platform mq_platform;
typedef struct mq_platform_call mq_platform_call;

/* A call as a dialect puts it on the wire.  */
typedef struct mq_platform_wire
{
  const char *method; /* Static.  */
  GString *path;      /* With the query.  */
  GString *body;
} mq_platform_wire;

/* A call before that.  */
typedef struct mq_platform_request
{
  mq_platform_op op;
  mq_span kind;
  mq_span name;     /* Empty for SCAN and FOLLOW.  */
  uint64_t version; /* Condition of a write, or where a FOLLOW begins.  */
  mq_span value;    /* JSON text.  */
  mq_span after;    /* SCAN: go on after this name.  */
  uint64_t wait_ms; /* FOLLOW.  */
  bool stale;       /* SCAN: an answer that is some seconds old will do.  */
} mq_platform_request;

/* How another object service is spoken to.  DECODE gets the answer's status
   and body, sets the reply's result and what belongs to the call, and returns
   what the reply borrows from, which FORGET frees; it may be NULL.  A status
   that it does not know leaves the result as the client judged it.  */
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

/* A new client of the platform at URL (http://IP:PORT), on CLIENT, which is
   borrowed and must live longer.  TIMEOUT_MS bounds each call; a watch waits
   for its own time on top.  0 means 2000.  */
mq_platform *mq_platform_new (mq_http_client *client, mq_span url,
                              uint64_t timeout_ms);
/* The same in another DIALECT, which must live longer: for mq_platform_ask_*
   only.  */
mq_platform *mq_platform_new_dialect (mq_http_client *client, mq_span url,
                                      uint64_t timeout_ms,
                                      const mq_platform_dialect *dialect);
/* Cancel all calls and free the client.  */
void mq_platform_free (mq_platform *platform);

mq_platform_call *mq_platform_get (mq_platform *platform, mq_span name,
                                   mq_platform_sink sink, void *context);
/* Write VALUE where NAME's version is still VERSION.  VALUE is copied.  */
mq_platform_call *mq_platform_put (mq_platform *platform, mq_span name,
                                   uint64_t version, mq_span value,
                                   mq_platform_sink sink, void *context);
mq_platform_call *mq_platform_create (mq_platform *platform, mq_span name,
                                      mq_span value, mq_platform_sink sink,
                                      void *context);
/* Delete NAME where its version is still VERSION.  */
mq_platform_call *mq_platform_delete (mq_platform *platform, mq_span name,
                                      uint64_t version, mq_platform_sink sink,
                                      void *context);
mq_platform_call *mq_platform_list (mq_platform *platform, mq_span prefix,
                                    mq_platform_sink sink, void *context);
/* Report NAME once its version is above AFTER, or UNCHANGED after WAIT_MS. */
mq_platform_call *mq_platform_watch (mq_platform *platform, mq_span name,
                                     uint64_t after, uint64_t wait_ms,
                                     mq_platform_sink sink, void *context);
mq_platform_call *mq_platform_vms (mq_platform *platform,
                                   mq_platform_sink sink, void *context);

/* Make the call that ASK says, in the client's dialect.  All of ASK is
   copied.  */
mq_platform_call *
mq_platform_request_start (mq_platform *platform,
                           const mq_platform_request *request,
                           mq_platform_sink sink, void *context);

/* Nothing more is reported of CALL.  A write that was cancelled may take
   effect all the same.  */
void mq_platform_cancel (mq_platform_call *call);

/* Calls so far, by kind and by result; borrowed.  */
const mq_platform_counters *
mq_platform_get_counters (const mq_platform *platform);

/* REPLY as the decisions of mq/store.h see it; the value is borrowed.  */
mq_store_reply mq_platform_store_reply (const mq_platform_reply *reply);

/* "get", "put", ... and "ok", "missing", ...  */
const char *mq_platform_op_name (mq_platform_op op);
const char *mq_platform_result_name (mq_platform_result result);

G_END_DECLS

#endif
