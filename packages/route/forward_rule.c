/* The decision after a send has ended: see mq/forward_rule.h.  */

#include <mq/forward_rule.h>

/* A retry needs at least this time: a response of a plain service takes 15 to
   60 ms, and the round trip some ms.  */
#define MIN_REMAINING_US ((uint64_t)40 * 1000)

/* Sends without a connection cost the upstream nothing, yet the client waits
   for each.  */
#define MAX_EXTRA_TRIES 4

#define MIN_SERVER_ERROR_STATUS 500

bool
mq_forward_may_repeat (const mq_forward_state *state)
{
  return state->kind == MQ_ROUTE_SAFE
         || (state->kind == MQ_ROUTE_STREAM && state->resumable);
}

mq_forward_verdict
mq_forward_give_up (const mq_forward_state *state, bool timed_out)
{
  if (state->response_started)
    return (mq_forward_verdict){ MQ_FORWARD_ABORT, 0 };
  if (!state->may_have_run)
    return (mq_forward_verdict){ MQ_FORWARD_REJECT, MQ_STATUS_UNAVAILABLE };
  return (mq_forward_verdict){ MQ_FORWARD_REJECT,
                               timed_out ? MQ_STATUS_GATEWAY_TIMEOUT
                                         : MQ_STATUS_BAD_GATEWAY };
}

bool
mq_forward_must_reuse_upstream (const mq_forward_state *state)
{
  return state->sent >= state->attempts;
}

/* Returns true if the request may return to an upstream that it was sent to.
   A stream whose path failed may continue on another path through the same
   head, or at a head that it left because that was slow, even when the route
   allows no further upstream.  */
static bool
forward_may_reuse_upstream (const mq_forward_state *state)
{
  return state->kind == MQ_ROUTE_STREAM && state->resumable;
}

/* The limit that keeps STATE from one more send of any kind.  */
static mq_forward_limit
forward_limit (const mq_forward_state *state, bool budget)
{
  if ((mq_forward_must_reuse_upstream (state)
       && !forward_may_reuse_upstream (state))
      || state->tries >= state->attempts + MAX_EXTRA_TRIES)
    return MQ_FORWARD_LIMIT_ATTEMPTS;
  if (state->now_us + MIN_REMAINING_US >= state->deadline_us)
    return MQ_FORWARD_LIMIT_TIME;
  return budget ? MQ_FORWARD_LIMIT_NONE : MQ_FORWARD_LIMIT_BUDGET;
}

static bool
forward_may_retry (const mq_forward_state *state, bool budget)
{
  return forward_limit (state, budget) == MQ_FORWARD_LIMIT_NONE;
}

mq_forward_verdict
mq_forward_decide (const mq_forward_state *state, mq_send_end end,
                   unsigned status, bool budget)
{
  const mq_forward_verdict again = { MQ_FORWARD_RETRY, 0 };
  bool may_retry = forward_may_retry (state, budget);

  switch (end)
    {
    case MQ_SEND_REPLIED:
      /* Another upstream may not have this error.  */
      if (status >= MIN_SERVER_ERROR_STATUS && mq_forward_may_repeat (state)
          && may_retry && !state->response_started
          && !mq_forward_must_reuse_upstream (state))
        return again;
      if (state->response_started)
        return (mq_forward_verdict){ MQ_FORWARD_ABORT, 0 };
      return (mq_forward_verdict){ MQ_FORWARD_DELIVER, 0 };
    case MQ_SEND_NOT_SENT:
      /* The next send may be the first to arrive, which needs no budget.  */
      if (forward_may_retry (state, budget || state->arrived == 0))
        return again;
      return mq_forward_give_up (state, false);
    case MQ_SEND_NOT_RUN:
      if (may_retry)
        return again;
      return mq_forward_give_up (state, false);
    case MQ_SEND_BROKEN:
    case MQ_SEND_TIMED_OUT:
      if (may_retry && mq_forward_may_repeat (state))
        return again;
      return mq_forward_give_up (state, end == MQ_SEND_TIMED_OUT);
    }
  return mq_forward_give_up (state, false);
}

mq_forward_limit
mq_forward_limit_of (const mq_forward_state *state, mq_send_end end,
                     bool budget)
{
  switch (end)
    {
    case MQ_SEND_NOT_SENT:
      return forward_limit (state, budget || state->arrived == 0);
    case MQ_SEND_NOT_RUN:
      return forward_limit (state, budget);
    case MQ_SEND_REPLIED:
    case MQ_SEND_BROKEN:
    case MQ_SEND_TIMED_OUT:
      break;
    }
  return mq_forward_may_repeat (state) ? forward_limit (state, budget)
                                       : MQ_FORWARD_LIMIT_NOT_REPEATABLE;
}

const char *
mq_forward_limit_name (mq_forward_limit limit)
{
  switch (limit)
    {
    case MQ_FORWARD_LIMIT_NONE:
      return "none";
    case MQ_FORWARD_LIMIT_NOT_REPEATABLE:
      return "kind";
    case MQ_FORWARD_LIMIT_ATTEMPTS:
      return "attempts";
    case MQ_FORWARD_LIMIT_TIME:
      return "time";
    case MQ_FORWARD_LIMIT_BUDGET:
      return "budget";
    }
  return "none";
}
