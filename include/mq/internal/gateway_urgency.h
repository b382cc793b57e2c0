/* Urgency levels in gateway mode: the caller of mq/urgency.h,
   mq/urgency_reserve.h and mq/send_order.h.

   All functions do nothing, or return what leaves the decision unchanged, for
   requests of services where levels are not in force.  */

#ifndef MQ_INTERNAL_GATEWAY_URGENCY_H
#define MQ_INTERNAL_GATEWAY_URGENCY_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Log the levels of the configuration in force.  */
void mq_gateway_urgency_log_levels (const mq_gateway *gateway);

/* FORWARD has arrived: set its level and count it.  */
void mq_gateway_urgency_note_request (mq_forward *forward, uint64_t now_us);
/* FORWARD was placed and is about to be sent.  */
void mq_gateway_urgency_note_sent (mq_forward *forward, uint64_t now_us);
/* FORWARD releases its path.  */
void mq_gateway_urgency_note_released (mq_forward *forward);
/* FORWARD was rejected.  */
void mq_gateway_urgency_note_rejected (mq_forward *forward);
/* FORWARD is about to be freed.  */
void mq_gateway_urgency_note_end (mq_forward *forward);

/* The memory_limit of mq_domain_request for FORWARD, which may use the paths
   that the N CHOICES describe; 1: no limit.  */
double mq_gateway_urgency_limit (mq_forward *forward,
                                 const mq_domain_choice *choices, size_t n,
                                 uint64_t now_us);
/* Log the inputs of that limit, if there was one, after it may have kept
   FORWARD from being placed.  */
void mq_gateway_urgency_log_limit (mq_forward *forward);
/* The Retry-After, in ms, of FORWARD instead of USUAL_MS.  */
unsigned mq_gateway_urgency_retry_ms (const mq_forward *forward,
                                      unsigned usual_ms);

/* Returns true if a retry of FORWARD has to leave the retry budget to a more
   urgent one that waits for it at this router.  Logs the first time.  */
bool mq_gateway_urgency_yields (mq_forward *forward);

/* Call mq_forward_tick for all requests: first for those of services without
   levels and those that do not wait, in order of arrival, and then for those
   that wait, by mq_send_order_sort.  May free forwards.  */
void mq_gateway_urgency_tick (mq_gateway *gateway, uint64_t now_us);
/* The same for the streams that have begun and wait.  */
void mq_gateway_urgency_tick_begun (mq_gateway *gateway, uint64_t now_us);

/* Sort FORWARDS (mq_forward), whose sends have failed together, into the order
   in which they are to be sent again.  Those of services without levels come
   first and keep their order.  */
void mq_gateway_urgency_sort (GPtrArray *forwards);

G_END_DECLS

#endif
