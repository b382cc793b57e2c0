/* One change of the configuration, from the operator's command to the word
   that it is in force, or why it is not.

   The aggregate reads the manifest, makes the next one, has the whole
   checked, stores the files' texts and writes the manifest on condition that
   nobody wrote it meanwhile.  On a lost race it does all that again on the
   new state; on a lost reply it looks for its own change id.

   Invariants:
   - one change lands at most once, however often its write is tried;
   - a change never undoes, unseen, what another operator landed since this
     one first read the manifest: that is a conflict, and it names them;
   - MQ_CHANGE_UNKNOWN is said only when a write may still land, and every
     other refusal only when none can.

   Pure: times are passed in and jitter comes from a seed.  At most one action
   is open at a time, and each is answered by the event named after it.  */

#ifndef MQ_CHANGE_H
#define MQ_CHANGE_H

#include <glib.h>
#include <mq/manifest.h>
#include <mq/store.h>

G_BEGIN_DECLS

/* What the operator asked for.  */
typedef struct mq_change_request
{
  mq_str *id;
  mq_change_kind kind;
  mq_str *who;
  mq_str *why;
  uint64_t wall_ms;
  GArray *files;  /* of mq_manifest_file: to be put in.  */
  mq_str *take;   /* TAKE: the name.  */
  bool prune;     /* APPLY: take out all other files.  */
  uint64_t base;  /* When above 0: a conflict if any file of the request was
                     changed after this generation.  */
  uint64_t above; /* The new generation shall be above this one, to get past
                     routers that hold more than a restored platform.  */
} mq_change_request;

typedef enum mq_change_result
{
  MQ_CHANGE_LANDED,
  MQ_CHANGE_NOTHING,  /* The manifest already says so; nothing was written. */
  MQ_CHANGE_CONFLICT, /* Another operator changed the same file meanwhile.  */
  MQ_CHANGE_MISSING,  /* There is no such file to take.  */
  MQ_CHANGE_INVALID,  /* The whole would be wrong.  */
  MQ_CHANGE_TOO_LARGE,
  MQ_CHANGE_UNAVAILABLE, /* Gave up; it has not landed and will not.  */
  MQ_CHANGE_UNKNOWN      /* Gave up; it may have landed or may yet.  */
} mq_change_result;

typedef enum mq_change_action_kind
{
  MQ_CHANGE_READ,    /* Read the manifest object.  */
  MQ_CHANGE_CHECK,   /* Get the files of NEXT and check the whole.  */
  MQ_CHANGE_STORE,   /* Create the objects of the request's files.  */
  MQ_CHANGE_ARCHIVE, /* Create the object NAME with VALUE.  */
  MQ_CHANGE_WRITE,   /* Write VALUE to the manifest object if it has VERSION;
                        0: create it.  */
  MQ_CHANGE_WAIT,    /* Send MQ_CHANGE_TICK at UNTIL_US.  */
  MQ_CHANGE_END      /* All is said.  */
} mq_change_action_kind;

typedef struct mq_change_action
{
  mq_change_action_kind kind;
  const mq_manifest *next; /* CHECK.  Borrowed until the next event, as are
                              the strings below.  */
  mq_str *name;
  mq_str *value;
  uint64_t version;
  uint64_t until_us;
  /* END.  */
  mq_change_result result;
  uint64_t generation; /* Of the change when it landed; else the one that
                          was read last.  */
  const char *file;    /* CONFLICT, MISSING.  */
  const char *who;     /* CONFLICT: who changed FILE, when known.  */
  uint64_t since;      /* CONFLICT: in which generation.  */
  const char *text;    /* INVALID, UNAVAILABLE: what is wrong.  */
  unsigned writes;     /* Writes of the manifest that were tried.  */
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

/* What came of a CHECK or a STORE.  */
typedef enum mq_change_step_result
{
  MQ_CHANGE_STEP_OK,
  MQ_CHANGE_STEP_INVALID, /* The whole is wrong.  */
  MQ_CHANGE_STEP_FAILED   /* The platform did not answer: try again.  */
} mq_change_step_result;

typedef struct mq_change_event
{
  mq_change_event_kind kind;
  uint64_t now_us;            /* Monotonic.  */
  mq_store_reply reply;       /* READ, ARCHIVED and WRITE.  */
  mq_change_step_result step; /* CHECKED and STORED.  */
  mq_span text;               /* STEP_WRONG: what is wrong.  */
} mq_change_event;

typedef struct mq_change mq_change;

/* A new change; REQUEST is borrowed and must live longer.  It gives up
   GIVE_UP_US after its START.  */
mq_change *mq_change_new (const mq_change_request *request,
                          uint64_t give_up_us, uint32_t seed);
void mq_change_free (mq_change *change);

/* Take EVENT; the answer is the one thing to do next.  */
mq_change_action mq_change_handle (mq_change *change,
                                   const mq_change_event *event);

void mq_change_request_init (mq_change_request *request);
void mq_change_request_finish (mq_change_request *request);

/* "landed", "nothing", ...  */
const char *mq_change_result_name (mq_change_result result);

G_END_DECLS

#endif
