/* Idempotency claims at the platform: see claim_io.h.  */

#include "claim_io.h"

#include <mq/claim.h>

#include "store_io.h"
#include "ticker.h"

/* See mq_claims_options.  */
#define CLAIM_TIMEOUT_US UINT64_C (1500000)
#define RETRY_US UINT64_C (100000)
#define MAX_WRITE_DELAY_US UINT64_C (10000000)
#define MAX_CLOCK_SKEW_MS UINT64_C (60000)
#define MAX_CLAIMS 20000

struct mq_claim_io
{
  mq_router *router; /* Borrowed.  */
  mq_claims *claims;
  mq_store_io *store;
  GArray *actions; /* of mq_claims_action: scratch  */
  mq_ticker ticker;
};

static void
result_post (mq_claim_io *io, const mq_claims_action *action)
{
  mq_entry_event event
      = { .kind = MQ_ENTRY_CLAIMED, .handle = action->handle };

  event.u.claim = action->result;
  mq_router_post (io->router, &event);
}

static void
store_start (mq_claim_io *io, mq_store_op op, const mq_claims_action *action)
{
  mq_store_request request = { .op = op,
                               .name = mq_str_span (action->name),
                               .version = action->version,
                               .value = mq_str_span (action->value),
                               .tag = { action->claim, action->step } };

  mq_store_io_start (io->store, &request);
}

static void
action_carry_out (mq_claim_io *io, const mq_claims_action *action)
{
  switch (action->kind)
    {
    case MQ_CLAIMS_CREATE:
      store_start (io, MQ_STORE_CREATE, action);
      break;
    case MQ_CLAIMS_UPDATE:
      store_start (io, MQ_STORE_UPDATE, action);
      break;
    case MQ_CLAIMS_READ:
      store_start (io, MQ_STORE_READ, action);
      break;
    case MQ_CLAIMS_DELETE:
      store_start (io, MQ_STORE_DELETE, action);
      break;
    case MQ_CLAIMS_RESULT:
      result_post (io, action);
      break;
    }
}

/* Passes EVENT to the claims and carries out their actions.  Posting a result
   may end the request at once and settle its claim, which calls this function
   again; so each nested step uses a new list of actions.  */
static void
claims_step (mq_claim_io *io, mq_claims_event *event)
{
  GArray *actions = io->actions;

  io->actions = mq_claims_actions_new ();
  event->now_us = mq_router_now_us ();
  event->wall_ms = (uint64_t)g_get_real_time () / 1000;
  mq_claims_handle (io->claims, event, actions);
  for (guint i = 0; i < actions->len; i++)
    action_carry_out (io, &g_array_index (actions, mq_claims_action, i));
  g_array_unref (io->actions);
  g_array_set_size (actions, 0);
  io->actions = actions;
  mq_ticker_arm (&io->ticker, mq_claims_next_tick (io->claims));
}

static void
on_store (void *context, mq_store_tag tag, const mq_store_reply *reply)
{
  mq_claims_event event = { .kind = MQ_CLAIMS_REPLY };

  event.u.reply.claim = tag.number;
  event.u.reply.step = tag.step;
  event.u.reply.reply = *reply;
  claims_step (context, &event);
}

static void
on_tick (void *context)
{
  mq_claims_event event = { .kind = MQ_CLAIMS_TICK };

  claims_step (context, &event);
}

mq_claim_io *
mq_claim_io_new (mq_router *router)
{
  mq_claim_io *io = g_new0 (mq_claim_io, 1);
  mq_claims_options options = { .router = router->incarnation,
                                .give_up_us = CLAIM_TIMEOUT_US,
                                .retry_us = RETRY_US,
                                .late_us = MAX_WRITE_DELAY_US,
                                .skew_ms = MAX_CLOCK_SKEW_MS,
                                .limit = MAX_CLAIMS };

  io->router = router;
  io->claims = mq_claims_new (&options);
  io->store = mq_store_io_new (router->platform, on_store, io);
  io->actions = mq_claims_actions_new ();
  mq_ticker_init (&io->ticker, router->loop, on_tick, io);
  return io;
}

void
mq_claim_io_free (mq_claim_io *io)
{
  if (io == NULL)
    return;
  mq_ticker_finish (&io->ticker);
  mq_store_io_free (io->store);
  mq_claims_free (io->claims);
  g_array_unref (io->actions);
  g_free (io);
}

void
mq_claim_io_start (mq_claim_io *io, const mq_entry_action *action)
{
  mq_claims_event event = { .kind = MQ_CLAIMS_START };

  event.u.start.handle = action->handle;
  event.u.start.organisation = action->u.claim.organisation;
  event.u.start.key = action->u.claim.key;
  event.u.start.body_hash = action->u.claim.body_hash;
  event.u.start.lifetime_us = action->u.claim.lifetime_us;
  claims_step (io, &event);
}

void
mq_claim_io_settle (mq_claim_io *io, uint64_t handle, mq_outcome outcome)
{
  mq_claims_event event = { .kind = MQ_CLAIMS_SETTLED };

  event.u.settled.handle = handle;
  event.u.settled.outcome = outcome;
  claims_step (io, &event);
}
