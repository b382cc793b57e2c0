/* Deletes expired records of the audit trail: see audit_sweep.h.

   A round makes one platform call at a time: it lists a day, deletes each
   object of that day, and goes on to the next day.  A failed call ends the
   round; the objects that are left are deleted in the next one.  */

#include "audit_sweep.h"

#include <mq/audit.h>
#include <mq/log.h>

#include "store_io.h"

#define KEEP_DAYS 30
/* Expired days that are listed in a round.  More than one, in case no router
   was up on some days.  */
#define SWEEP_DAYS 7
#define ROUND_INTERVAL_US (UINT64_C (6) * 3600 * 1000000)
/* Routers that start together begin their first rounds at different times.  */
#define FIRST_ROUND_US UINT64_C (1000000)
#define FIRST_ROUND_SPREAD_US UINT64_C (10000000)

typedef struct expired_object
{
  mq_str *name; /* Owned.  */
  uint64_t version;
} expired_object;

struct mq_audit_sweep
{
  mq_router *router; /* Borrowed.  */
  mq_ticker ticker;
  mq_store_io *store;
  mq_platform_call *list; /* Borrowed; NULL when none is open.  */
  unsigned day;           /* Days listed in this round.  */
  GArray *expired;        /* of expired_object  */
  guint deleted;          /* Objects of EXPIRED whose deletion was started.  */
};

static void sweep_list (mq_audit_sweep *sweep);

static void
expired_clear (gpointer data)
{
  expired_object *o = data;

  mq_str_unref (o->name);
}

static void
round_end (mq_audit_sweep *sweep)
{
  sweep->day = 0;
  mq_ticker_arm (&sweep->ticker, mq_router_now_us () + ROUND_INTERVAL_US);
}

static void
sweep_delete (mq_audit_sweep *sweep)
{
  const expired_object *o;
  mq_store_request request = { .op = MQ_STORE_DELETE };

  if (sweep->deleted < sweep->expired->len)
    {
      o = &g_array_index (sweep->expired, expired_object, sweep->deleted++);
      request.name = mq_str_span (o->name);
      request.version = o->version;
      mq_store_io_start (sweep->store, &request);
      return;
    }
  if (sweep->expired->len > 0)
    mq_log (G_LOG_LEVEL_INFO, "audit.sweep", "deleted=%u",
            sweep->expired->len);
  if (++sweep->day < SWEEP_DAYS)
    sweep_list (sweep);
  else
    round_end (sweep);
}

static void
on_deleted (void *context, mq_store_tag tag, const mq_store_reply *reply)
{
  (void)tag;
  switch (reply->result)
    {
    case MQ_STORE_OK:
    case MQ_STORE_ABSENT:
    case MQ_STORE_CONFLICT:
      sweep_delete (context);
      break;
    case MQ_STORE_REFUSED:
    case MQ_STORE_UNKNOWN:
      round_end (context);
      break;
    }
}

static void
on_list (void *context, const mq_platform_reply *reply)
{
  mq_audit_sweep *sweep = context;

  sweep->list = NULL;
  if (reply->result != MQ_PLATFORM_OK)
    {
      round_end (sweep);
      return;
    }
  g_array_set_size (sweep->expired, 0);
  sweep->deleted = 0;
  for (size_t i = 0; i < reply->n_objects; i++)
    {
      expired_object o = { .name = mq_str_new (reply->objects[i].name),
                           .version = reply->objects[i].version };

      g_array_append_val (sweep->expired, o);
    }
  sweep_delete (sweep);
}

static void
sweep_list (mq_audit_sweep *sweep)
{
  uint64_t wall_ms = (uint64_t)g_get_real_time () / 1000;
  GString *prefix = g_string_new (NULL);

  mq_audit_day_prefix (wall_ms, KEEP_DAYS + 1 + sweep->day, prefix);
  sweep->list = mq_platform_list (sweep->router->platform,
                                  (mq_span){ prefix->str, prefix->len },
                                  on_list, sweep);
  g_string_free (prefix, TRUE);
}

static void
on_tick (void *context)
{
  sweep_list (context);
}

mq_audit_sweep *
mq_audit_sweep_new (mq_router *router)
{
  mq_audit_sweep *sweep = g_new0 (mq_audit_sweep, 1);

  sweep->router = router;
  sweep->store = mq_store_io_new (router->platform, on_deleted, sweep);
  sweep->expired = g_array_new (FALSE, FALSE, sizeof (expired_object));
  g_array_set_clear_func (sweep->expired, expired_clear);
  mq_ticker_init (&sweep->ticker, router->loop, on_tick, sweep);
  mq_ticker_arm (&sweep->ticker,
                 mq_router_now_us () + FIRST_ROUND_US
                     + router->incarnation % FIRST_ROUND_SPREAD_US);
  return sweep;
}

void
mq_audit_sweep_free (mq_audit_sweep *sweep)
{
  if (sweep == NULL)
    return;
  mq_ticker_finish (&sweep->ticker);
  if (sweep->list != NULL)
    mq_platform_cancel (sweep->list);
  mq_store_io_free (sweep->store);
  g_array_unref (sweep->expired);
  g_free (sweep);
}
