/* Internal to packages/decide: fair shares between organisations.

   Each organisation has a share of the streams that the engines carry, max-min
   fair by weight: what one does not request is divided among the others.  The
   demand counts all requests, admitted or not, so that an organisation whose
   requests are refused keeps its share.  */

#ifndef MQ_INTERNAL_SHARE_H
#define MQ_INTERNAL_SHARE_H

#include <glib.h>
#include <mq/config.h>

G_BEGIN_DECLS

typedef struct mq_fair_share
{
  mq_str *organisation;
  double weight;
  uint32_t held;    /* Streams that it holds now.  */
  double demand_us; /* Stream time requested recently, in us, with exponential
                       decay.  */
  uint64_t decayed_us; /* Time up to which DEMAND_US is decayed.  */
  double fair_streams; /* Streams that it may hold while others need theirs. */
} mq_fair_share;

typedef struct mq_share_table
{
  GHashTable *shares; /* name (mq_span) to mq_fair_share, owned  */
} mq_share_table;

void mq_share_table_init (mq_share_table *table);
void mq_share_table_finish (mq_share_table *table);
/* Sets the weights from CONFIG.  */
void mq_share_table_configure (mq_share_table *table, const mq_config *config);
/* Returns the share of ORGANISATION, created if it is missing; borrowed until
   the next mq_share_table_divide.  */
mq_fair_share *mq_share_table_get (mq_share_table *table, mq_span organisation,
                                   const mq_config *config);
/* Adds a request for STREAM_US of stream time to SHARE's demand.  */
void mq_share_add_demand (mq_fair_share *share, double stream_us,
                          uint64_t now_us);
/* Divides STREAMS, and removes organisations without streams and demand.  */
void mq_share_table_divide (mq_share_table *table, double streams,
                            uint64_t now_us);

G_END_DECLS

#endif
