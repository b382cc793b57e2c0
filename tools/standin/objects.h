/* The platform's objects: names, values, versions and conditional updates,
   kept in memory.

   Versions come from one counter for the whole store, so that an object's
   version serves as a fencing token.  No I/O and no clock inside.  */

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
  MQ_OBJECT_MISSING,  /* No such object.  */
  MQ_OBJECT_CONFLICT, /* The condition does not hold.  */
  MQ_OBJECT_TOO_LARGE,
  MQ_OBJECT_BAD_NAME
} mq_object_result;

/* The condition of a write.  */
typedef enum mq_object_condition_kind
{
  MQ_OBJECT_ALWAYS,
  MQ_OBJECT_IF_ABSENT,
  MQ_OBJECT_IF_VERSION
} mq_object_condition_kind;

typedef struct mq_object_condition
{
  mq_object_condition_kind kind;
  uint64_t version; /* IF_VERSION.  */
} mq_object_condition;

mq_objects *mq_objects_new (void);
void mq_objects_free (mq_objects *store);

/* The object NAME, borrowed until the next write, or NULL.  */
const mq_object *mq_objects_get (const mq_objects *store, mq_span name);

/* Write VALUE; on CONFLICT nothing changes.  */
mq_object_result mq_objects_put (mq_objects *store, mq_span name,
                                 mq_span value, mq_object_condition condition);

mq_object_result mq_objects_delete (mq_objects *store, mq_span name,
                                    mq_object_condition condition);

/* The objects whose names begin with PREFIX, sorted by name: a new array of
   borrowed const mq_object pointers.  */
GPtrArray *mq_objects_list (const mq_objects *store, mq_span prefix);

/* The last version given out.  */
uint64_t mq_objects_version (const mq_objects *store);

/* A rate limit that counts each call: a bucket of RATE tokens a second that
   holds at most one second's worth.  RATE 0 means no limit.  */
typedef struct mq_call_rate
{
  double rate;
  double tokens;
  uint64_t last_us;
} mq_call_rate;

void mq_call_rate_init (mq_call_rate *rate, double per_s, uint64_t now_us);

/* Take one token; false when there is none.  */
bool mq_call_rate_take (mq_call_rate *rate, uint64_t now_us);

G_END_DECLS

#endif
