/* One change of the configuration, from the operator's command to its result:
   landed, or the reason why not.

   The state machine reads the manifest, builds the next one, has the whole
   configuration checked, stores the files and writes the manifest on
   condition that it was not written meanwhile.  After a lost race it starts
   over from the new manifest; after a lost reply it looks for its own change
   id.

   Invariants:
   - a change lands at most once, however often its write is tried;
   - a change never silently reverts what another operator landed since this
     one first read the manifest: that is a conflict, and its result names the
     operator;
   - MQ_CHANGE_UNKNOWN is returned only when a write may still land, and every
     other refusal only when none can.

   Pure: times are passed in and jitter comes from a seed.  At most one action
   is open at a time; the event that corresponds to it answers it.  */

#ifndef MQ_CHANGE_H
#define MQ_CHANGE_H

#include <glib.h>
#include <mq/manifest.h>
#include <mq/store.h>

G_BEGIN_DECLS

/* What the operator requested.  Strings and FILES are owned.  */
typedef struct mq_change_request
{
  mq_str *id;
  mq_change_kind kind;
  mq_str *who;
  mq_str *why;
  uint64_t wall_ms;
  GArray *files;  /* of mq_manifest_file: to be added or replaced.  */
  mq_str *take;   /* TAKE: name of the file to remove.  */
  bool prune;     /* APPLY: remove all other files.  */
  uint64_t base;  /* When above 0: a conflict if any file of the request was
                     changed after this generation.  */
  uint64_t above; /* Lower bound of the new generation, exclusive: routers may
                     hold a higher generation than a restored platform.  */
} mq_change_request;

typedef enum mq_change_result
{
  MQ_CHANGE_LANDED,
  MQ_CHANGE_NOTHING,  /* The manifest has this state already; nothing was
                         written.  */
  MQ_CHANGE_CONFLICT, /* Another operator changed the same file meanwhile.  */
  MQ_CHANGE_MISSING,  /* TAKE: there is no such file.  */
  MQ_CHANGE_INVALID,  /* The resulting configuration would be invalid.  */
  MQ_CHANGE_TOO_LARGE,
  MQ_CHANGE_UNAVAILABLE, /* Timed out; it has not landed and never will.  */
  MQ_CHANGE_UNKNOWN /* Timed out; it may have landed or may still land.  */
} mq_change_result;

typedef enum mq_change_action_kind
{
  MQ_CHANGE_READ,    /* Read the manifest object.  */
  MQ_CHANGE_CHECK,   /* Get the files of NEXT and check the configuration.  */
  MQ_CHANGE_STORE,   /* Create the objects of the request's files.  */
  MQ_CHANGE_ARCHIVE, /* Create the object NAME with VALUE.  */
  MQ_CHANGE_WRITE, /* Write VALUE to the manifest object if it has VERSION; 0:
                      create it.  */
  MQ_CHANGE_WAIT,  /* Send MQ_CHANGE_TICK at UNTIL_US.  */
  MQ_CHANGE_END    /* Finished; see the fields under END.  */
} mq_change_action_kind;

typedef struct mq_change_action
{
  mq_change_action_kind kind;
  const mq_manifest *next; /* CHECK.  Borrowed until the next event, as are the
                              strings below.  */
  mq_str *name;
  mq_str *value;
  uint64_t version;
  uint64_t until_us;
  /* END.  */
  mq_change_result result;
  uint64_t generation; /* Of the landed change, else the last one read.  */
  const char *file;    /* CONFLICT, MISSING.  */
  const char *who;     /* CONFLICT: who changed FILE; NULL: unknown.  */
  uint64_t since;      /* CONFLICT: generation of that change.  */
  const char *text;    /* INVALID, UNAVAILABLE: description of the error.  */
  unsigned writes;     /* Number of attempts to write the manifest.  */
} mq_change_action;

typedef enum mq_change_event_kind
{
  MQ_CHANGE_START,
  MQ_CHANGE_READ_REPLY,
  MQ_CHANGE_CHECKED,
  MQ_CHANGE_STORED,
  MQ_CHANGE_ARCHIVED,
  MQ_CHANGE_WRITE_REPLY,
  MQ_CHANGE_TICK
} mq_change_event_kind;

/* Result of a CHECK or a STORE.  */
typedef enum mq_change_step_result
{
  MQ_CHANGE_STEP_OK,
  MQ_CHANGE_STEP_INVALID, /* The configuration is invalid.  */
  MQ_CHANGE_STEP_FAILED   /* The platform did not reply: retry.  */
} mq_change_step_result;

typedef struct mq_change_event
{
  mq_change_event_kind kind;
  uint64_t now_us;            /* Monotonic.  */
  mq_store_reply reply;       /* READ_REPLY, ARCHIVED and WRITE_REPLY.  */
  mq_change_step_result step; /* CHECKED and STORED.  */
  mq_span text;               /* STEP_INVALID: description of the error.  */
} mq_change_event;

typedef struct mq_change mq_change;

/* Creates a change.  REQUEST is borrowed and must outlive it.  The change
   times out GIVE_UP_US after its START.  */
mq_change *mq_change_new (const mq_change_request *request,
                          uint64_t give_up_us, uint32_t seed);
void mq_change_free (mq_change *change);

/* Handles EVENT and returns the next action.  */
mq_change_action mq_change_handle (mq_change *change,
                                   const mq_change_event *event);

void mq_change_request_init (mq_change_request *request);
void mq_change_request_finish (mq_change_request *request);

/* Returns "landed", "nothing" and so on.  */
const char *mq_change_result_name (mq_change_result result);

G_END_DECLS

#endif
