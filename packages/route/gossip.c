/* Gossip structures and the lists of counts in them: see mq/gossip.h.

   Lists of counts are short (some dozens of paths, a few services), so they
   are searched linearly.  */

#include <mq/gossip.h>

#include <string.h>

void
mq_gossip_init (mq_gossip *gossip, mq_gossip_kind kind)
{
  memset (gossip, 0, sizeof *gossip);
  gossip->kind = kind;
  gossip->paths = g_array_new (FALSE, FALSE, sizeof (mq_path_tokens));
  gossip->sends = g_array_new (FALSE, FALSE, sizeof (mq_service_sends));
  gossip->findings = g_array_new (FALSE, FALSE, sizeof (mq_gossip_finding));
  gossip->crashes = g_array_new (FALSE, FALSE, sizeof (mq_quarantine_record));
  gossip->isolated = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  gossip->routers = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
  gossip->serving = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
  gossip->elsewhere = g_array_new (FALSE, FALSE, sizeof (mq_gossip_router));
}

void
mq_gossip_finish (mq_gossip *gossip)
{
  g_array_unref (gossip->paths);
  g_array_unref (gossip->sends);
  g_array_unref (gossip->findings);
  g_array_unref (gossip->crashes);
  g_array_unref (gossip->isolated);
  g_array_unref (gossip->routers);
  g_array_unref (gossip->serving);
  g_array_unref (gossip->elsewhere);
  memset (gossip, 0, sizeof *gossip);
}

static mq_path_tokens *
paths_find (const GArray *paths, uint64_t path)
{
  for (guint i = 0; i < paths->len; i++)
    {
      mq_path_tokens *p = &g_array_index (paths, mq_path_tokens, i);

      if (p->path == path)
        return p;
    }
  return NULL;
}

double
mq_path_tokens_get (const GArray *paths, uint64_t path)
{
  const mq_path_tokens *p = paths_find (paths, path);

  return p == NULL ? 0 : p->tokens;
}

void
mq_path_tokens_add (GArray *paths, uint64_t path, double tokens)
{
  mq_path_tokens *found = paths_find (paths, path);
  mq_path_tokens p = { path, tokens };

  if (found != NULL)
    found->tokens += tokens;
  else
    g_array_append_val (paths, p);
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
mq_service_sends_get (const GArray *sends, uint64_t service)
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
  found->counts.requests += counts.requests;
  found->counts.retries += counts.retries;
  found->counts.replaced += counts.replaced;
}

void
mq_service_sends_subtract (GArray *sends, uint64_t service,
                           mq_send_counts counts)
{
  mq_service_sends *s = sends_find (sends, service);

  if (s == NULL)
    return;
  s->counts.requests -= MIN (counts.requests, s->counts.requests);
  s->counts.retries -= MIN (counts.retries, s->counts.retries);
  s->counts.replaced -= MIN (counts.replaced, s->counts.replaced);
}
