/* News of routers and the counts in them: see mq/news.h.

   Lists of counts are short (ways of a deployment: some dozens; services: a
   few), so they are searched from the front.  */

#include <mq/news.h>

#include <string.h>

void
mq_news_init (mq_news *news, mq_news_kind kind)
{
  memset (news, 0, sizeof *news);
  news->kind = kind;
  news->ways = g_array_new (FALSE, FALSE, sizeof (mq_way_tokens));
  news->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
  news->findings = g_array_new (FALSE, FALSE, sizeof (mq_news_finding));
  news->ends = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_record));
  news->routers = g_array_new (FALSE, FALSE, sizeof (mq_news_router));
  news->serving = g_array_new (FALSE, FALSE, sizeof (mq_news_router));
  news->elsewhere = g_array_new (FALSE, FALSE, sizeof (mq_news_router));
}

void
mq_news_finish (mq_news *news)
{
  g_array_unref (news->ways);
  g_array_unref (news->sends);
  g_array_unref (news->findings);
  g_array_unref (news->ends);
  g_array_unref (news->routers);
  g_array_unref (news->serving);
  g_array_unref (news->elsewhere);
  memset (news, 0, sizeof *news);
}

static mq_way_tokens *
ways_find (const GArray *ways, uint64_t way)
{
  for (guint i = 0; i < ways->len; i++)
    {
      mq_way_tokens *w = &g_array_index (ways, mq_way_tokens, i);

      if (w->way == way)
        return w;
    }
  return NULL;
}

double
mq_way_tokens_of (const GArray *ways, uint64_t way)
{
  const mq_way_tokens *w = ways_find (ways, way);

  return w == NULL ? 0 : w->tokens;
}

void
mq_way_tokens_add (GArray *ways, uint64_t way, double tokens)
{
  mq_way_tokens *found = ways_find (ways, way);
  mq_way_tokens w = { way, tokens };

  if (found != NULL)
    found->tokens += tokens;
  else
    g_array_append_val (ways, w);
}

static mq_service_sends *
sends_find (const GArray *sends, uint64_t service)
{
  for (guint i = 0; i < sends->len; i++)
    {
      mq_service_sends *s = &g_array_index (sends, mq_service_sends, i);

      if (s->service == service)
        return s;
    }
  return NULL;
}

mq_send_counts
mq_service_sends_of (const GArray *sends, uint64_t service)
{
  const mq_service_sends *s = sends_find (sends, service);

  return s == NULL ? (mq_send_counts){ 0, 0, 0 } : s->counts;
}

void
mq_service_sends_add (GArray *sends, uint64_t service, mq_send_counts counts)
{
  mq_service_sends *found = sends_find (sends, service);
  mq_service_sends s = { service, counts };

  if (found == NULL)
    {
      g_array_append_val (sends, s);
      return;
    }
  found->counts.first += counts.first;
  found->counts.more += counts.more;
  found->counts.gone += counts.gone;
}

void
mq_service_sends_subtract (GArray *sends, uint64_t service,
                           mq_send_counts counts)
{
  mq_service_sends *s = sends_find (sends, service);

  if (s == NULL)
    return;
  s->counts.first -= MIN (counts.first, s->counts.first);
  s->counts.more -= MIN (counts.more, s->counts.more);
  s->counts.gone -= MIN (counts.gone, s->counts.gone);
}
