/* What upstreams state about themselves in the headers of their responses.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

#define STATUS_OK 200
#define STATUS_MULTIPLE_CHOICES 300

/* An upstream names its limit in all responses while it has one.  A failure
   may come from a part of it that does not add the header, so only a success
   without the header ends the limit.  */
static void
notice_apply_limit (mq_upstream *upstream, const mq_upstream_notice *notice,
                    bool success)
{
  double before = upstream->limit_per_s;

  if (!notice->limited && !success)
    return;
  mq_upstream_set_limit (upstream, notice->limited, notice->limit_per_s);
  if (upstream->limit_per_s != before)
    mq_log (G_LOG_LEVEL_INFO, "upstream.limit",
            "upstream=%s per_s=%.3f before=%.3f",
            mq_str_cstr (upstream->facts.id), upstream->limit_per_s, before);
}

void
mq_gateway_note_response (mq_gateway *gateway, mq_upstream *upstream,
                          const mq_http_call *call, unsigned status)
{
  mq_upstream_notice notice;
  GError *error = NULL;

  if (gateway->dialect->notice_decode (mq_http_call_head (call), &notice,
                                       &error)
      < 0)
    {
      mq_log (G_LOG_LEVEL_WARNING, "upstream.notice-unusable",
              "upstream=%s error=%s", mq_str_cstr (upstream->facts.id),
              mq_log_quote (error->message));
      g_error_free (error);
      return;
    }
  notice_apply_limit (upstream, &notice,
                      status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES);
}
