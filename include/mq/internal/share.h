/* Internal to packages/decide: fair shares between organisations.

   Each organisation has a share of the streams that the engines carry, by
   weight, max-min fair: what one does not ask for is divided among the
   others.  What it asks for is worked out from its asks, admitted or not, so
   that an organisation that is refused still counts.  */

#ifndef MQ_INTERNAL_SHARE_H
#define MQ_INTERNAL_SHARE_H

#include <glib.h>
#include <mq/config.h>

G_BEGIN_DECLS

typedef struct mq_fair_share
{
  mq_str *organisation;
  double weight;
  uint32_t held;       /* Streams.  */
  double demand_us;    /* Stream time asked for lately, in us, fading.  */
  uint64_t decayed_us; /* When OFFERED was brought up to date.  */
  double fair_streams; /* Streams that it may hold while others want theirs. */
} mq_fair_share;

typedef struct mq_share_table
{
  GHashTable *shares; /* mq_span to mq_fair_share, owned by the value  */
} mq_share_table;

void mq_share_table_init (mq_share_table *table);
void mq_share_table_finish (mq_share_table *table);
/* Take over the weights.  */
void mq_share_table_configure (mq_share_table *table, const mq_config *config);
/* The share of ORGANISATION, made when it is new; borrowed until the next
   mq_share_table_divide.  */
mq_fair_share *mq_share_table_get (mq_share_table *table, mq_span organisation,
                                   const mq_config *config);
/* SHARE asks for STREAM_US of a stream.  */
void mq_share_add_demand (mq_fair_share *share, double stream_us,
                          uint64_t now_us);
/* Divide STREAMS and forget who holds and wants nothing.  */
void mq_share_table_divide (mq_share_table *table, double streams,
                            uint64_t now_us);

G_END_DECLS

#endif
