/* The platform's objects: names, values, versions and conditional updates,
   kept in memory.

   Versions come from one counter for the whole store, so that an object's
   version serves as a fencing number.  No I/O and no clock inside.  */

#ifndef MQ_STANDIN_STORE_H
#define MQ_STANDIN_STORE_H

#include <mq/str.h>

G_BEGIN_DECLS

#define MQ_STORE_VALUE_LIMIT ((size_t)1024 * 1024)

typedef struct mq_store mq_store;

typedef struct mq_object
{
  mq_str *name;
  mq_str *value;
  uint64_t version;
} mq_object;

typedef enum mq_store_result
{
  MQ_STORE_OK,
  MQ_STORE_MISSING,  /* No such object.  */
  MQ_STORE_CONFLICT, /* The condition does not hold.  */
  MQ_STORE_TOO_LARGE,
  MQ_STORE_BAD_NAME
} mq_store_result;

/* The condition of a write.  */
typedef enum mq_store_condition_kind
{
  MQ_STORE_ALWAYS,
  MQ_STORE_IF_ABSENT,
  MQ_STORE_IF_VERSION
} mq_store_condition_kind;

typedef struct mq_store_condition
{
  mq_store_condition_kind kind;
  uint64_t version; /* IF_VERSION.  */
} mq_store_condition;

mq_store *mq_store_new (void);
void mq_store_free (mq_store *store);

/* The object NAME, borrowed until the next write, or NULL.  */
const mq_object *mq_store_get (const mq_store *store, mq_span name);

/* Write VALUE; on CONFLICT nothing changes.  */
mq_store_result mq_store_put (mq_store *store, mq_span name, mq_span value,
                              mq_store_condition condition);

mq_store_result mq_store_delete (mq_store *store, mq_span name,
                                 mq_store_condition condition);

/* The objects whose names begin with PREFIX, sorted by name: a new array of
   borrowed const mq_object pointers.  */
GPtrArray *mq_store_list (const mq_store *store, mq_span prefix);

/* The last version given out.  */
uint64_t mq_store_version (const mq_store *store);

/* A rate limit that counts each call: a bucket of RATE tokens a second that
   holds at most one second's worth.  RATE 0 means no limit.  */
typedef struct mq_rate
{
  double rate;
  double tokens;
  uint64_t last_us;
} mq_rate;

void mq_rate_init (mq_rate *rate, double per_s, uint64_t now_us);

/* Take one token; false when there is none.  */
bool mq_rate_take (mq_rate *rate, uint64_t now_us);

G_END_DECLS

#endif
