/* GET /v1/explain/ID: see explain.h.  */

#include "explain.h"

#include <mq/json_text.h>
#include <string.h>

#include "reply.h"
#include "active_request.h"

static const char *
attempt_end_name (mq_attempt_end end)
{
  switch (end)
    {
    case MQ_ATTEMPT_DONE:
      return "done";
    case MQ_ATTEMPT_CANCELLED:
      return "cancelled";
    case MQ_ATTEMPT_STAGE_DIED:
      return "stage-died";
    case MQ_ATTEMPT_STAGE_STALLED:
      return "stage-stalled";
    case MQ_ATTEMPT_STAGE_REFUSED:
      return "stage-refused";
    case MQ_ATTEMPT_STAGE_WRONG:
      return "stage-wrong";
    }
  return "unknown";
}

static void
figures_append (GString *out, const mq_plan_figures *figures)
{
  mq_json_text_key (out, "figures");
  g_string_append_c (out, '{');
  mq_json_text_number (out, "predicted_first_us", figures->predicted_first_us);
  mq_json_text_number (out, "predicted_finish_us",
                       figures->predicted_finish_us);
  mq_json_text_number (out, "margin_us", figures->margin_us);
  mq_json_text_number (out, "deadline_us", figures->deadline_us);
  mq_json_text_number (out, "in_flight", figures->in_flight);
  mq_json_text_number (out, "capacity", figures->capacity);
  mq_json_text_number (out, "share", figures->share);
  mq_json_text_number (out, "held", figures->held);
  g_string_append_c (out, '}');
}

static void
end_append (GString *out, const mq_decision *d)
{
  mq_json_text_member (out, "outcome",
                       mq_span_from (mq_outcome_name (d->outcome)));
  mq_json_text_member (out, "reason",
                       mq_span_from (mq_reason_code (d->reason)));
  mq_json_text_number (out, "retry_after_us", d->retry_after_us);
}

static void
decision_append (GString *out, const mq_decision *d, uint64_t from_us)
{
  static const mq_plan_figures none;

  g_string_append_c (out, '{');
  mq_json_text_member (out, "what",
                       mq_span_from (mq_decision_kind_name (d->kind)));
  mq_json_text_number (out, "at_us", d->at_us - from_us);
  mq_json_text_number (out, "attempt", d->attempt);
  mq_json_text_number (out, "tokens", d->tokens);
  mq_json_text_number (out, "left_us", d->left_us);
  mq_json_text_number (out, "work_us", d->work_us);
  switch (d->kind)
    {
    case MQ_DECISION_REFUSED:
    case MQ_DECISION_ENDED:
      end_append (out, d);
      break;
    case MQ_DECISION_MOVED:
      mq_json_text_member (out, "lost",
                           mq_span_from (attempt_end_name (d->lost)));
      mq_json_text_number (out, "stage", d->stage);
      break;
    case MQ_DECISION_ADMITTED:
    case MQ_DECISION_RETRIED:
      break;
    }
  if (memcmp (&d->figures, &none, sizeof none) != 0)
    figures_append (out, &d->figures);
  g_string_append_c (out, '}');
}

/* Formats the id by which the client knows the request of D into TEXT.  */
static void
decision_format_id (const mq_router *router, const mq_decision *d, char *text)
{
  if (d->id.sequence == 0)
    mq_router_format_handle (router, d->handle, text);
  else
    mq_active_request_format_id (d->id, text);
}

/* Appends the decisions about the request ID and returns their number.  */
static uint32_t
decisions_append (const mq_router *router, mq_span id, GString *out)
{
  const mq_decision_log *log = mq_entry_decisions (router->entry);
  uint32_t found = 0;
  uint64_t from_us = 0;

  for (uint32_t i = 0; i < mq_decision_log_count (log); i++)
    {
      const mq_decision *d = mq_decision_log_at (log, i);
      char text[MQ_REQUEST_ID_SIZE];

      decision_format_id (router, d, text);
      if (!mq_span_equal (mq_span_from (text), id))
        continue;
      if (found++ == 0)
        from_us = d->at_us;
      else
        g_string_append_c (out, ',');
      decision_append (out, d, from_us);
    }
  return found;
}

void
mq_explain_show (mq_router *router, mq_http_exchange *exchange)
{
  mq_span id = mq_http_exchange_path (exchange);
  GString *out = g_string_new ("{");

  id.data += strlen (MQ_EXPLAIN_PATH);
  id.size -= strlen (MQ_EXPLAIN_PATH);
  mq_json_text_member (out, "request", id);
  mq_json_text_member (out, "vm", mq_str_span (router->settings->name));
  mq_json_text_key (out, "decisions");
  g_string_append_c (out, '[');
  if (decisions_append (router, id, out) == 0)
    mq_reply_bad_request (router, exchange, MQ_REASON_UNKNOWN_SERVICE,
                          "this router has no record of that request; another "
                          "one may, or it is too long ago");
  else
    {
      g_string_append (out, "]}\n");
      mq_reply_json (exchange, 200, out);
    }
  g_string_free (out, TRUE);
}
