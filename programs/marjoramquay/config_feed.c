/* Applies the configuration in force: see config_feed.h.  */

#include "config_feed.h"

#include <mq/config_peers.h>
#include <mq/config_source.h>
#include <mq/log.h>

struct mq_config_feed
{
  mq_router *router; /* Borrowed.  */
  mq_config_source *source;
  mq_config_peers *peers; /* NULL without peers.  */
};

static void
invalid_log (const mq_config_source_event *event)
{
  mq_log (G_LOG_LEVEL_WARNING, "config.wrong",
          "generation=%" G_GUINT64_FORMAT " error=%s", event->generation,
          mq_log_quote (event->text));
}

static void
on_source (void *context, const mq_config_source_event *event)
{
  mq_config_feed *feed = context;

  switch (event->kind)
    {
    case MQ_CONFIG_SOURCE_APPLIED:
      mq_router_apply_config (feed->router, event->config);
      break;
    case MQ_CONFIG_SOURCE_FETCH:
      break;
    case MQ_CONFIG_SOURCE_REJECTED:
      invalid_log (event);
      break;
    case MQ_CONFIG_SOURCE_CUT_OFF:
      mq_log (G_LOG_LEVEL_WARNING, "config.cut-off", "%s", "");
      feed->router->cut_off = true;
      break;
    case MQ_CONFIG_SOURCE_REJOINED:
      mq_log (G_LOG_LEVEL_INFO, "config.rejoined", "%s", "");
      feed->router->cut_off = false;
      break;
    }
  if (feed->peers != NULL)
    mq_config_peers_on_source (feed->peers, event);
}

mq_config_feed *
mq_config_feed_new (mq_router *router)
{
  mq_config_feed *f = g_new0 (mq_config_feed, 1);
  mq_config_source_options options = { .loop = router->loop,
                                       .platform = router->platform,
                                       .seed = (uint32_t)router->incarnation };

  f->router = router;
  f->source = mq_config_source_new (&options, on_source, f);
  mq_config_source_set_watching (f->source, true);
  return f;
}

void
mq_config_feed_free (mq_config_feed *feed)
{
  if (feed == NULL)
    return;
  mq_config_peers_free (feed->peers);
  mq_config_source_free (feed->source);
  g_free (feed);
}

void
mq_config_feed_set_fleet (mq_config_feed *feed, mq_fleet_io *fleet)
{
  feed->peers = mq_config_peers_new (feed->source, fleet);
}

void
mq_config_feed_on_fleet (mq_config_feed *feed, const mq_fleet_io_event *event)
{
  if (feed->peers != NULL)
    mq_config_peers_on_fleet (feed->peers, event);
}
