/* What upstreams state about themselves in the headers of their responses, and
   whether they accept a send.  */

#include <mq/internal/gateway.h>

#include <mq/log.h>

#define US_PER_MS ((uint64_t)1000)

void
mq_gateway_apply_limit (mq_gateway *gateway, mq_upstream *upstream,
                        double per_s, uint64_t at_us, mq_finding_source by)
{
  double before = upstream->limit.per_s;

  mq_upstream_apply_limit (upstream, per_s, at_us, by,
                           mq_gateway_random_unit (gateway));
  if (upstream->limit.per_s != before)
    mq_log (G_LOG_LEVEL_INFO, "upstream.limit",
            "upstream=%s per_s=%.3f before=%.3f peer=%016" G_GINT64_MODIFIER
            "x",
            mq_str_cstr (upstream->facts.id), upstream->limit.per_s, before,
            by.router);
}

void
mq_gateway_apply_leaving (mq_gateway *gateway, mq_upstream *upstream,
                          mq_finding_source by)
{
  if (upstream->announced_leaving)
    return;
  mq_registry_note_leaving (&gateway->registry, upstream, by);
  mq_log (G_LOG_LEVEL_INFO, "upstream.leaving",
          "upstream=%s peer=%016" G_GINT64_MODIFIER "x",
          mq_str_cstr (upstream->facts.id), by.router);
}

static void
notice_apply_rest (mq_upstream *upstream, uint64_t rest_us, uint64_t now_us)
{
  mq_upstream_apply_rest (upstream, rest_us, now_us);
  mq_log (G_LOG_LEVEL_INFO, "upstream.rest",
          "upstream=%s ms=%" G_GUINT64_FORMAT,
          mq_str_cstr (upstream->facts.id), rest_us / US_PER_MS);
}

void
mq_gateway_note_response (mq_gateway *gateway, mq_upstream *upstream,
                          const mq_http_call *call, uint64_t sent_us,
                          bool of_request)
{
  static const mq_finding_source self = { 0, false };
  uint64_t now = mq_gateway_now_us ();
  unsigned status = mq_http_call_status (call);
  mq_upstream_notice notice;
  GError *error = NULL;
  bool valid;

  /* What an earlier incarnation said is not true of this one.  */
  if (sent_us < upstream->restarted_us)
    return;
  valid = gateway->dialect->notice_decode (mq_http_call_head (call), status,
                                           &notice, &error)
          == 0;
  if (!valid)
    {
      mq_log (G_LOG_LEVEL_WARNING, "upstream.notice-unusable",
              "upstream=%s error=%s", mq_str_cstr (upstream->facts.id),
              mq_log_quote (error->message));
      g_error_free (error);
    }
  if (notice.leaving)
    mq_gateway_apply_leaving (gateway, upstream, self);
  if (notice.rest_us > 0)
    notice_apply_rest (upstream, notice.rest_us, now);
  if (notice.limited)
    mq_gateway_apply_limit (
        gateway, upstream,
        MAX (notice.limit_per_s, MQ_UPSTREAM_LIMIT_MIN_PER_S), now, self);
  /* An upstream names its limit in all responses to requests while it has one.
     A failure may come from a part of it that does not add the header.  */
  else if (valid && of_request && mq_gateway_status_is_success (status))
    mq_gateway_apply_limit (gateway, upstream, 0, now, self);
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
