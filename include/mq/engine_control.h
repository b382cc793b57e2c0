/* Decoders for what a model engine says outside its streams: its load, its
   cache, what it holds, and its replies to orders (docs/UPSTREAMS.md).

   A reply that is not whole, lacks a member or contradicts itself says
   nothing.  */

#ifndef MQ_ENGINE_CONTROL_H
#define MQ_ENGINE_CONTROL_H

#include <json-c/json.h>
#include <mq/http_client.h>
#include <mq/order.h>
#include <mq/planner.h>

G_BEGIN_DECLS

/* Called with each event of a cache: the hash of a prefix and whether it is
   stored or evicted.  */
typedef void (*mq_engine_cache_sink) (void *context, uint64_t prefix,
                                      bool stored);

/* Returns the object in the body of the call's END, a new reference, if that
   is a whole response with status 200; else NULL.  */
struct json_object *mq_engine_control_read (const mq_http_client_event *end);

/* Decode MESSAGE, which may be NULL, into *LOAD but for the engine's name.
   Returns false if it is no load report.  Spans borrow from MESSAGE.  */
bool mq_engine_control_load (struct json_object *message,
                             mq_engine_load *load);

/* Report the cache events in MESSAGE, which may be NULL, to SINK and set
   *NEXT to the number of the last one.  Returns false, with nothing reported,
   if it is no list of events.  */
bool mq_engine_control_cache (struct json_object *message, uint64_t *next,
                              mq_engine_cache_sink sink, void *context);

/* Decode MESSAGE, which may be NULL, likewise into *HOLDS.  */
bool mq_engine_control_holds (struct json_object *message,
                              mq_order_holds *holds);

/* Returns the engine's reply to an order with the token FENCING, from the
   call's END.  */
mq_order_reply mq_engine_control_order (const mq_http_client_event *end,
                                        uint64_t fencing);

G_END_DECLS

#endif
