/* The limit of an upstream: how many requests a second it accepts from all
   routers together.

   Each router keeps to a share of the limit, without asking the others: its
   share of all requests for the upstream's service, so that the shares add up
   to one.  It spaces its sends evenly, at a rate of its share of the limit.  A
   send that is not used expires soon.  Routers that had no request for a while
   thus do not save up sends, and hundreds of routers stay together within the
   limit in any few seconds, though each alone may send only once a minute.

   A share of the limit is set apart for the one router that gives orders to
   engines, however few requests it has.

   The module is pure: times come in with the calls, in microseconds.  */

#ifndef MQ_UPSTREAM_LIMIT_H
#define MQ_UPSTREAM_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A lower limit counts as this: without any request, no response would show
   that the limit has ended.  */
#define MQ_UPSTREAM_LIMIT_MIN_PER_S 0.1

/* Which part of the limit a send counts towards.  */
typedef enum mq_send_purpose
{
  MQ_SEND_FOR_REQUEST, /* Clients' requests, and what is sent on their behalf.
                        */
  MQ_SEND_FOR_CONTROL, /* Orders, and the reports that the leader requests.  */
  MQ_SEND_PURPOSES
} mq_send_purpose;

/* Zeros are an upstream without a limit.  */
typedef struct mq_upstream_limit
{
  double per_s;         /* Requests a second; 0: no limit.  */
  uint64_t observed_us; /* When the upstream last stated this; 0: never.  */
  uint64_t ended_us;    /* When a limit last ended; 0: never.  */
  double phase;         /* Random, in [0, 1): part of an interval until the
                           first send.  */
  uint64_t next_us[MQ_SEND_PURPOSES]; /* Earliest next send; 0: not computed
                                        yet.  */
} mq_upstream_limit;

/* The upstream stated at AT_US that it accepts PER_S requests a second (0: it
   has no limit).  PHASE is a random number in [0, 1).  Returns false, and
   changes nothing, if a newer statement is known.  */
bool mq_upstream_limit_set (mq_upstream_limit *limit, double per_s,
                            uint64_t at_us, double phase);

/* Returns true if other routers are to be told of LIMIT: it is in force, or
   has ended so recently that they may not know yet.  */
bool mq_upstream_limit_is_news (const mq_upstream_limit *limit,
                                uint64_t now_us);

/* Returns true if the limit allows a send for PURPOSE now.  SHARE is this
   router's share of all requests for the upstream's service, in [0, 1].  */
bool mq_upstream_limit_allows (mq_upstream_limit *limit,
                               mq_send_purpose purpose, double share,
                               uint64_t now_us);

/* A send for PURPOSE was made, which mq_upstream_limit_allows has allowed.  */
void mq_upstream_limit_note_send (mq_upstream_limit *limit,
                                  mq_send_purpose purpose, double share,
                                  uint64_t now_us);

G_END_DECLS

#endif
