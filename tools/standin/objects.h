/* The platform's object store in memory: named values with versions and
   conditional writes.

   Versions come from one counter for the whole store and never repeat, so
   that an object's version serves as a fencing token.  The store does no I/O
   and reads no clock.  */

#ifndef MQ_STANDIN_OBJECTS_H
#define MQ_STANDIN_OBJECTS_H

#include <mq/str.h>

G_BEGIN_DECLS

#define MQ_OBJECT_MAX_VALUE_BYTES ((size_t)1024 * 1024)

typedef struct mq_objects mq_objects;

typedef struct mq_object
{
  mq_str *name;
  mq_str *value;
  uint64_t version;
} mq_object;

typedef enum mq_object_result
{
  MQ_OBJECT_OK,
  MQ_OBJECT_MISSING,  /* The object does not exist.  */
  MQ_OBJECT_CONFLICT, /* The condition of the write does not hold.  */
  MQ_OBJECT_TOO_LARGE,
  MQ_OBJECT_BAD_NAME
} mq_object_result;

typedef enum mq_object_condition_kind
{
  MQ_OBJECT_ALWAYS,
  MQ_OBJECT_IF_ABSENT,
  MQ_OBJECT_IF_VERSION
} mq_object_condition_kind;

typedef struct mq_object_condition
{
  mq_object_condition_kind kind;
  uint64_t version; /* For MQ_OBJECT_IF_VERSION.  */
} mq_object_condition;

mq_objects *mq_objects_new (void);
void mq_objects_free (mq_objects *store);

/* Return the object NAME, borrowed until the next write, or NULL.  */
const mq_object *mq_objects_get (const mq_objects *store, mq_span name);

/* Create or replace the object NAME with a copy of VALUE and a new version.
   Unless the result is MQ_OBJECT_OK, nothing changes.  */
mq_object_result mq_objects_put (mq_objects *store, mq_span name,
                                 mq_span value, mq_object_condition condition);

/* Delete the object NAME.  A deletion advances the version counter, too.  */
mq_object_result mq_objects_delete (mq_objects *store, mq_span name,
                                    mq_object_condition condition);

/* Return the objects whose names begin with PREFIX, sorted by name: a new
   array of const mq_object pointers, borrowed until the next write.  */
GPtrArray *mq_objects_list (const mq_objects *store, mq_span prefix);

/* Return the version that the last write assigned, 0 before the first.  */
uint64_t mq_objects_version (const mq_objects *store);

/* A token bucket that limits calls to RATE a second.  It holds the tokens of
   one second, at least one.  A RATE of 0 means no limit.  */
typedef struct mq_call_rate
{
  double rate; /* Tokens a second.  */
  double tokens;
  uint64_t last_us;
} mq_call_rate;

/* Start with the tokens of one second.  */
void mq_call_rate_init (mq_call_rate *rate, double per_s, uint64_t now_us);

/* Take one token.  Returns false when none is left.  */
bool mq_call_rate_take (mq_call_rate *rate, uint64_t now_us);

G_END_DECLS

#endif
