/* Leases: see mq/lease.h.

   At most one step (a read or a write) is open.  Of the object the router
   keeps the version and the time at which it first saw that version.  The
   lease of another router has expired once its version has stayed the same for
   the lease's duration and the margin.  */

#include <mq/lease.h>

#include <inttypes.h>
#include <mq/json_message.h>
#include <mq/internal/defect.h>
#include <string.h>

#define HOLDER_SIZE 20
#define WRITER_SIZE 44
#define PERCENT 100
/* A holder renews after DURATION_US / RENEW_DIVISOR.  */
#define RENEW_DIVISOR 3

typedef enum lease_step
{
  STEP_NONE,
  STEP_READ,
  STEP_ACQUIRE, /* A write that acquires or renews.  */
  STEP_RELEASE  /* A write that releases.  */
} lease_step;

/* Content of the lease's object.  */
typedef struct lease_object
{
  char holder[HOLDER_SIZE];
  char writer[WRITER_SIZE];
  uint64_t duration_us;
} lease_object;

struct mq_lease
{
  mq_lease_options options;
  char holder[HOLDER_SIZE]; /* Name of this router.  */
  char writer[WRITER_SIZE]; /* Writer id of the last write.  */
  bool requested;
  bool held;            /* HELD was reported and LOST was not.  */
  bool release_pending; /* Released while a renewal was open.  A lease whose
                           acquisition was open is left to expire: a release
                           would deny that orders of its last holder may be in
                           flight.  */
  uint64_t sequence;
  lease_step step_kind;
  uint32_t step;
  uint64_t step_us;     /* Start of the open step.  */
  uint64_t written_us;  /* Time before the last acquiring write was sent.  */
  uint64_t version;     /* Last seen; 0: no object.  */
  uint64_t seen_us;     /* When that version was first seen.  */
  uint64_t duration_us; /* Of the lease last seen.  */
  bool handed_over; /* The last write replaced a released or absent lease.  */
  uint64_t fencing;
  uint64_t until_us;
  uint64_t due_us; /* Next read or renewal.  */
};

static void
lease_push (GArray *actions, mq_lease_action action)
{
  g_array_append_val (actions, action);
}

static void
lease_begin (mq_lease *lease, lease_step kind, uint64_t now_us)
{
  lease->step_kind = kind;
  lease->step++;
  lease->step_us = now_us;
}

static void
lease_read (mq_lease *lease, uint64_t now_us, GArray *actions)
{
  lease_begin (lease, STEP_READ, now_us);
  lease_push (actions,
              (mq_lease_action){ .kind = MQ_LEASE_READ, .step = lease->step });
}

static void
lease_write (mq_lease *lease, lease_step kind, uint64_t now_us,
             GArray *actions)
{
  lease_begin (lease, kind, now_us);
  lease->sequence++;
  g_snprintf (lease->writer, sizeof lease->writer, "%s-%" PRIu64,
              lease->holder, lease->sequence);
  if (kind == STEP_ACQUIRE)
    lease->written_us = now_us;
  lease_push (actions, (mq_lease_action){
                           .kind = MQ_LEASE_WRITE,
                           .step = lease->step,
                           .version = lease->version,
                           .value = mq_str_printf (
                               "{\"holder\":\"%s\",\"writer\":\"%s\","
                               "\"duration_us\":%" PRIu64 "}",
                               kind == STEP_ACQUIRE ? lease->holder : "",
                               lease->writer, lease->options.duration_us) });
}

static void
lease_mark_lost (mq_lease *lease, GArray *actions)
{
  if (!lease->held)
    return;
  lease->held = false;
  lease->until_us = 0;
  lease_push (actions, (mq_lease_action){ .kind = MQ_LEASE_LOST });
}

/* The last acquiring write is in force as VERSION.  */
static void
lease_confirm (mq_lease *lease, uint64_t version, uint64_t now_us,
               GArray *actions)
{
  uint64_t usable = lease->options.duration_us
                    * (PERCENT - lease->options.margin_percent) / PERCENT;

  lease->version = version;
  lease->seen_us = now_us;
  lease->fencing = version;
  if (now_us >= lease->written_us + usable)
    {
      /* It has expired already, after a long pause: renew it.  */
      lease_mark_lost (lease, actions);
      lease->handed_over = false;
      lease_write (lease, STEP_ACQUIRE, now_us, actions);
      return;
    }
  lease->until_us = lease->written_us + usable;
  lease->due_us
      = lease->written_us + lease->options.duration_us / RENEW_DIVISOR;
  if (lease->held)
    return;
  lease->held = true;
  lease_push (actions, (mq_lease_action){ .kind = MQ_LEASE_HELD,
                                          .fencing = version,
                                          .handed_over = lease->handed_over });
}

static int
lease_parse (mq_span text, lease_object *object)
{
  struct json_object *root = mq_json_message_parse (text);
  mq_span holder;
  mq_span writer;
  int result = -1;

  if (mq_json_message_span (root, "holder", &holder)
      && mq_json_message_span (root, "writer", &writer)
      && mq_json_message_u64 (root, "duration_us", &object->duration_us))
    {
      g_strlcpy (object->holder, holder.data, sizeof object->holder);
      g_strlcpy (object->writer, writer.data, sizeof object->writer);
      result = 0;
    }
  json_object_put (root);
  return result;
}

/* Returns when the lease last seen expires.  */
static uint64_t
lease_expiry_us (const mq_lease *lease)
{
  return lease->seen_us
         + lease->duration_us * (PERCENT + lease->options.margin_percent)
               / PERCENT;
}

/* Another router has the lease: waits until it expires.  */
static void
lease_wait_for_expiry (mq_lease *lease, uint64_t duration_us, uint64_t now_us,
                       GArray *actions)
{
  lease_mark_lost (lease, actions);
  lease->duration_us = duration_us;
  lease->handed_over = false;
  if (now_us >= lease_expiry_us (lease))
    lease_write (lease, STEP_ACQUIRE, now_us, actions);
  else
    lease->due_us
        = MIN (now_us + lease->options.retry_us, lease_expiry_us (lease));
}

static void
lease_on_object (mq_lease *lease, const mq_lease_event *event, GArray *actions)
{
  const mq_store_reply *reply = &event->reply;
  lease_object object;

  if (reply->version != lease->version)
    {
      lease->version = reply->version;
      lease->seen_us = event->now_us;
    }
  if (lease_parse (reply->value, &object) < 0)
    {
      /* Unknown format: treat it as a lease with our duration.  */
      lease_wait_for_expiry (lease, lease->options.duration_us, event->now_us,
                             actions);
      return;
    }
  if (strcmp (object.writer, lease->writer) == 0
      && strcmp (object.holder, lease->holder) == 0)
    {
      lease_confirm (lease, reply->version, event->now_us, actions);
      return;
    }
  if (*object.holder == '\0')
    {
      lease_mark_lost (lease, actions);
      lease->handed_over = true;
      lease_write (lease, STEP_ACQUIRE, event->now_us, actions);
    }
  else if (strcmp (object.holder, lease->holder) == 0)
    {
      /* An earlier write of this router; no other has acquired the lease
       * since.  */
      lease->handed_over = false;
      lease_write (lease, STEP_ACQUIRE, event->now_us, actions);
    }
  else
    lease_wait_for_expiry (lease, object.duration_us, event->now_us, actions);
}

static void
lease_on_read (mq_lease *lease, const mq_lease_event *event, GArray *actions)
{
  switch (event->reply.result)
    {
    case MQ_STORE_OK:
      lease_on_object (lease, event, actions);
      break;
    case MQ_STORE_ABSENT:
      lease_mark_lost (lease, actions);
      lease->version = 0;
      lease->handed_over = true;
      lease_write (lease, STEP_ACQUIRE, event->now_us, actions);
      break;
    case MQ_STORE_CONFLICT:
    case MQ_STORE_REFUSED:
    case MQ_STORE_UNKNOWN:
      lease->due_us = event->now_us + lease->options.retry_us;
      break;
    }
}

static void
lease_on_write (mq_lease *lease, const mq_lease_event *event, GArray *actions)
{
  switch (event->reply.result)
    {
    case MQ_STORE_OK:
      lease_confirm (lease, event->reply.version, event->now_us, actions);
      break;
    case MQ_STORE_CONFLICT:
    case MQ_STORE_ABSENT:
    case MQ_STORE_UNKNOWN:
      lease_read (lease, event->now_us, actions);
      break;
    case MQ_STORE_REFUSED:
      lease->due_us = event->now_us + lease->options.retry_us;
      break;
    }
}

static void
lease_on_reply (mq_lease *lease, const mq_lease_event *event, GArray *actions)
{
  lease_step kind = lease->step_kind;

  if (event->step != lease->step || kind == STEP_NONE)
    return;
  lease->step_kind = STEP_NONE;
  if (kind == STEP_RELEASE && event->reply.result == MQ_STORE_OK)
    lease->version = event->reply.version;
  if (!lease->requested)
    {
      if (lease->release_pending && kind == STEP_ACQUIRE
          && event->reply.result == MQ_STORE_OK)
        {
          lease->version = event->reply.version;
          lease_write (lease, STEP_RELEASE, event->now_us, actions);
        }
      return;
    }
  switch (kind)
    {
    case STEP_READ:
      lease_on_read (lease, event, actions);
      break;
    case STEP_ACQUIRE:
      lease_on_write (lease, event, actions);
      break;
    case STEP_RELEASE:
      lease_read (lease, event->now_us, actions);
      break;
    case STEP_NONE:
      break;
    }
}

static void
lease_on_request (mq_lease *lease, const mq_lease_event *event,
                  GArray *actions)
{
  if (lease->requested)
    return;
  lease->requested = true;
  lease->release_pending = false;
  if (lease->step_kind == STEP_NONE)
    lease_read (lease, event->now_us, actions);
}

static void
lease_on_release (mq_lease *lease, const mq_lease_event *event,
                  GArray *actions)
{
  bool held = lease->held;

  lease->requested = false;
  lease->held = false;
  lease->release_pending = held;
  lease->until_us = 0;
  lease->due_us = UINT64_MAX;
  if (held && lease->step_kind == STEP_NONE)
    lease_write (lease, STEP_RELEASE, event->now_us, actions);
}

static void
lease_on_tick (mq_lease *lease, const mq_lease_event *event, GArray *actions)
{
  uint64_t now_us = event->now_us;

  if (lease->held && now_us >= lease->until_us
      && !mq_defect_enabled (MQ_DEFECT_LEASE_CLOCK_IGNORED))
    lease_mark_lost (lease, actions);
  if (lease->step_kind != STEP_NONE)
    {
      if (now_us >= lease->step_us + lease->options.timeout_us)
        {
          mq_lease_event lost = { .kind = MQ_LEASE_REPLY,
                                  .now_us = now_us,
                                  .step = lease->step,
                                  .reply = { .result = MQ_STORE_UNKNOWN } };

          lease_on_reply (lease, &lost, actions);
        }
      return;
    }
  if (!lease->requested || now_us < lease->due_us)
    return;
  if (lease->held)
    lease_write (lease, STEP_ACQUIRE, now_us, actions);
  else
    lease_read (lease, now_us, actions);
}

static void
action_clear (gpointer data)
{
  mq_lease_action *a = data;

  mq_str_unref (a->value);
}

mq_lease *
mq_lease_new (const mq_lease_options *options)
{
  mq_lease *lease = g_new0 (mq_lease, 1);

  lease->options = *options;
  g_snprintf (lease->holder, sizeof lease->holder, "%016" PRIx64,
              options->router);
  lease->due_us = UINT64_MAX;
  return lease;
}

void
mq_lease_free (mq_lease *lease)
{
  g_free (lease);
}

GArray *
mq_lease_actions_new (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (mq_lease_action));

  g_array_set_clear_func (actions, action_clear);
  return actions;
}

void
mq_lease_handle (mq_lease *lease, const mq_lease_event *event, GArray *actions)
{
  switch (event->kind)
    {
    case MQ_LEASE_REQUEST:
      lease_on_request (lease, event, actions);
      break;
    case MQ_LEASE_RELEASE:
      lease_on_release (lease, event, actions);
      break;
    case MQ_LEASE_REPLY:
      lease_on_reply (lease, event, actions);
      break;
    case MQ_LEASE_TICK:
      lease_on_tick (lease, event, actions);
      break;
    }
}

uint64_t
mq_lease_fencing (const mq_lease *lease, uint64_t now_us)
{
  if (!lease->held)
    return 0;
  if (now_us >= lease->until_us
      && !mq_defect_enabled (MQ_DEFECT_LEASE_CLOCK_IGNORED))
    return 0;
  return lease->fencing;
}

uint64_t
mq_lease_until (const mq_lease *lease)
{
  return lease->held ? lease->until_us : 0;
}

uint64_t
mq_lease_next_tick (const mq_lease *lease)
{
  uint64_t due = UINT64_MAX;

  if (lease->step_kind != STEP_NONE)
    due = lease->step_us + lease->options.timeout_us;
  else if (lease->requested)
    due = lease->due_us;
  if (lease->held)
    due = MIN (due, lease->until_us);
  return due;
}
