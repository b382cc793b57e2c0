/* The view that a starting router has of its services, for requests that find
   no path: the caller of mq/service_view.h.

   A request for a service that is not known yet waits, and each tick tries to
   place it.  A router whose services are not all known reads the list of
   upstreams again, or, if it watches them, gathers changes for a shorter time.

   Invariant: WAITING is the number of forwards whose view_waits is true.  */

#ifndef MQ_INTERNAL_GATEWAY_VIEW_H
#define MQ_INTERNAL_GATEWAY_VIEW_H

#include <mq/gateway.h>
#include <mq/routing.h>
#include <mq/service_view.h>

G_BEGIN_DECLS

/* Of all services; part of mq_gateway.  */
typedef struct mq_gateway_view
{
  uint64_t list_us; /* First complete list of upstreams; 0: none yet.  */
  mq_view_source source;
  mq_service_view_reads reads;
  unsigned waiting;   /* Forwards that wait for their service's view.  */
  bool settled;       /* No service can be unknown any more.  */
  uint64_t *waits;    /* Metrics: requests that began to wait, ...  */
  uint64_t *rejected; /* ... and that were rejected after it, unsent.  */
  uint64_t *read;     /* Additional calls to the store.  */
  uint64_t *now_waiting;
  uint64_t *known_ms; /* From the start to the first service that is known.  */
} mq_gateway_view;

/* Of one service; part of mq_service_state.  */
typedef struct mq_gateway_service_view
{
  bool served;          /* It could be served at some time; after that it is
                           no longer unknown.  */
  bool logged;          /* LAST was logged.  */
  mq_service_view last; /* As it was last decided.  */
  uint64_t decided_us;  /* When.  */
} mq_gateway_service_view;

struct mq_forward;

/* Create the metrics.  */
void mq_gateway_view_init (mq_gateway *gateway);
/* A complete list of upstreams came from SOURCE.  */
void mq_gateway_view_note_list (mq_gateway *gateway, mq_view_source source);
/* SERVICE has a path or an instance.  Logs its view at the first call.  */
void mq_gateway_view_note_served (mq_gateway *gateway,
                                  const mq_route_service *service);
/* Returns the view of SERVICE, for which there is nothing to choose from, and
   logs it when it has changed.  */
mq_service_view mq_gateway_view_decide (mq_gateway *gateway,
                                        const mq_route_service *service,
                                        uint64_t now_us);
/* Returns true if this tick, at NOW_US, has already decided that the view of
   the service of FORWARD, which waits for it, is unknown, since many may wait.
 */
bool mq_gateway_view_is_decided (const struct mq_forward *forward,
                                 uint64_t now_us);
/* Retry-After of FORWARD, whose service is unknown.  */
unsigned mq_gateway_view_retry_ms (const struct mq_forward *forward);
/* Returns true if FORWARD, whose service is unknown, may wait at NOW_US, and
   then counts and logs that it does.  */
bool mq_gateway_view_may_wait (struct mq_forward *forward, uint64_t now_us);
/* FORWARD is rejected, for any reason.  Counts it if it waited for a view and
   was never sent.  */
void mq_gateway_view_note_rejected (const struct mq_forward *forward);
/* FORWARD no longer waits for a view.  May be called at any time.  */
void mq_gateway_view_stop_waiting (struct mq_forward *forward);
/* Returns true if one more request may wait, which arrived at ARRIVED_US,
   before the configuration or the list, and has LEFT_MS for its response (0:
   not known).  WAITS: it does already.  */
bool mq_gateway_view_may_wait_early (const mq_gateway *gateway, bool waits,
                                     uint64_t arrived_us, uint64_t left_ms,
                                     uint64_t now_us);
/* Retry-After of a request without a configuration or a list.  */
unsigned mq_gateway_view_early_retry_ms (mq_gateway *gateway, uint64_t now_us);
/* Read the list of upstreams again if it is due.  */
void mq_gateway_view_tick (mq_gateway *gateway, uint64_t now_us);
/* Returns true if the next page of a list that is read again may be read, and
   then counts it.  */
bool mq_gateway_view_may_read_page (mq_gateway *gateway);
/* Returns true if this router, which watches the upstreams, is to gather
   changes for a short time.  */
bool mq_gateway_view_gather_is_short (mq_gateway *gateway, uint64_t now_us);

G_END_DECLS

#endif
