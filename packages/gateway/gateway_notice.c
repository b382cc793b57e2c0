/* What upstreams state about themselves in the headers of their responses, and
   whether they accept a send.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

#define STATUS_OK 200
#define STATUS_MULTIPLE_CHOICES 300

#define US_PER_MS ((uint64_t)1000)

/* An upstream names its limit in all responses while it has one.  A failure
   may come from a part of it that does not add the header, so only a success
   without the header ends the limit.  */
static void
notice_apply_limit (mq_gateway *gateway, mq_upstream *upstream,
                    const mq_upstream_notice *notice, bool success)
{
  static const mq_finding_source self = { 0, false };
  double before = upstream->limit.per_s;
  double per_s = notice->limited
                     ? MAX (notice->limit_per_s, MQ_UPSTREAM_LIMIT_MIN_PER_S)
                     : 0;

  if (!notice->limited && !success)
    return;
  mq_upstream_apply_limit (upstream, per_s, mq_gateway_now_us (), self,
                           mq_gateway_random_unit (gateway));
  if (upstream->limit.per_s != before)
    mq_log (G_LOG_LEVEL_INFO, "upstream.limit",
            "upstream=%s per_s=%.3f before=%.3f peer=none",
            mq_str_cstr (upstream->facts.id), upstream->limit.per_s, before);
}

/* UPSTREAM rejected a request and accepts none from this router for a while.
 */
static void
notice_apply_rest (mq_upstream *upstream, const mq_upstream_notice *notice)
{
  if (notice->rest_us == 0)
    return;
  mq_upstream_apply_rest (upstream, notice->rest_us, mq_gateway_now_us ());
  mq_log (G_LOG_LEVEL_INFO, "upstream.rest",
          "upstream=%s ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (upstream->facts.id), notice->rest_us / US_PER_MS);
}

static void
notice_apply_leaving (mq_gateway *gateway, mq_upstream *upstream,
                      const mq_upstream_notice *notice)
{
  static const mq_finding_source self = { 0, false };

  if (!notice->leaving || upstream->leaving)
    return;
  mq_registry_note_leaving (&gateway->registry, upstream, self);
  mq_log (G_LOG_LEVEL_INFO, "upstream.leaving", "upstream=%s peer=none",
          mq_str_cstr (upstream->facts.id));
}

void
mq_gateway_note_response (mq_gateway *gateway, mq_upstream *upstream,
                          const mq_http_call *call, unsigned status)
{
  mq_upstream_notice notice;
  GError *error = NULL;
  bool valid = gateway->dialect->notice_decode (mq_http_call_head (call),
                                                status, &notice, &error)
               == 0;

  if (!valid)
    {
      mq_log (G_LOG_LEVEL_WARNING, "upstream.notice-unusable",
              "upstream=%s error=%s", mq_str_cstr (upstream->facts.id),
              mq_log_quote (error->message));
      g_error_free (error);
    }
  notice_apply_leaving (gateway, upstream, &notice);
  notice_apply_rest (upstream, &notice);
  notice_apply_limit (gateway, upstream, &notice,
                      valid && status >= STATUS_OK
                          && status < STATUS_MULTIPLE_CHOICES);
}

/* ---- Sends.  */

/* This router's share of the requests for the service of UPSTREAM.  */
static double
upstream_traffic_share (mq_gateway *gateway, const mq_upstream *upstream,
                        uint64_t now_us)
{
  mq_service_state *s = g_hash_table_lookup (
      gateway->services, mq_str_cstr (upstream->facts.service));
  uint64_t name = mq_span_hash (mq_str_span (upstream->facts.service));

  if (s == NULL)
    return 0;
  return mq_send_budget_traffic_share (
      &s->budget, mq_cluster_count_busy (&gateway->cluster, now_us),
      mq_cluster_other_sends (&gateway->cluster, name, now_us), now_us);
}

bool
mq_gateway_may_send (mq_gateway *gateway, mq_upstream *upstream,
                     mq_send_purpose purpose, uint64_t now_us)
{
  if (mq_upstream_is_resting (upstream, now_us))
    return false;
  return upstream->limit.per_s <= 0
         || mq_upstream_limit_allows (
             &upstream->limit, purpose,
             upstream_traffic_share (gateway, upstream, now_us), now_us);
}

void
mq_gateway_note_send (mq_gateway *gateway, mq_upstream *upstream,
                      mq_send_purpose purpose, uint64_t now_us)
{
  if (upstream->limit.per_s > 0)
    mq_upstream_limit_note_send (
        &upstream->limit, purpose,
        upstream_traffic_share (gateway, upstream, now_us), now_us);
}
