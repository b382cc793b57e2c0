/* What a router that has just started knows of the upstreams of a service.

   After a start, and above all after a power failure that the store did not
   survive either, the first list of upstreams may lack most of them: their
   entries expired and are written again within about two seconds.  A request
   that finds no path then must not be treated as one that nothing can serve.

   A view is unknown only while the router starts.  Once the service could be
   served in this process, or the settle time since the first list has passed,
   a lack of upstreams is taken as a fact, as it always was.

   Invariants: no request waits for a view for longer than
   MQ_SERVICE_VIEW_MAX_WAIT_US after its arrival, nor for so long that it could
   not be served before its deadline; at most MQ_SERVICE_VIEW_MAX_WAITING
   requests wait; at most MQ_SERVICE_VIEW_MAX_READS additional calls to the
   store are made in one process.

   Times (_us) are monotonic microseconds.  All functions are pure, but for
   those that note a call in mq_service_view_reads.  */

#ifndef MQ_SERVICE_VIEW_H
#define MQ_SERVICE_VIEW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Clients disconnect 2 s after their request without a first event, and a run
   takes some 0.2 s to its first event.  */
#define MQ_SERVICE_VIEW_MAX_WAIT_US ((uint64_t)1600 * 1000)
/* Requests that wait, of all services, including those that arrived before the
   configuration.  Bounds the memory that they take.  */
#define MQ_SERVICE_VIEW_MAX_WAITING 1024
/* Additional calls to the store, which are charged.  */
#define MQ_SERVICE_VIEW_MAX_READS 3

typedef enum mq_service_view_state
{
  MQ_SERVICE_VIEW_KNOWN,   /* An instance or a complete chain is listed.  */
  MQ_SERVICE_VIEW_UNKNOWN, /* None is listed, but the list may lack some.  */
  MQ_SERVICE_VIEW_UNAVAILABLE /* None exists.  */
} mq_service_view_state;

/* From whom the first complete list of upstreams came.  */
typedef enum mq_view_source
{
  MQ_VIEW_SOURCE_NONE,
  MQ_VIEW_SOURCE_STORE,
  MQ_VIEW_SOURCE_PEER
} mq_view_source;

/* What the router has received, the same for all services.  */
typedef struct mq_view_facts
{
  uint64_t started_us; /* Start of the process.  */
  uint64_t list_us;    /* First complete list of upstreams; 0: none yet.  */
  mq_view_source source;
  uint64_t store_recovered_us; /* First reply of the store after failed calls;
                                  0: no call failed.  */
  bool store_fails;            /* The last calls to the store failed.  */
} mq_view_facts;

/* What it knows of one service.  */
typedef struct mq_service_facts
{
  bool layered;       /* Needs a complete chain, not only an instance.  */
  bool unloaded;      /* Engines are listed, but none holds layers.  */
  bool served;        /* An instance or a complete chain is listed now.  */
  bool served_before; /* The same at any earlier time in this process.  */
} mq_service_facts;

typedef struct mq_service_view
{
  mq_service_view_state state;
  uint64_t age_us;      /* Of the first list; 0: there is none.  */
  uint64_t expected_us; /* Unknown: time until the view is expected to be
                           complete; otherwise 0.  */
} mq_service_view;

mq_service_view mq_service_view_decide (const mq_view_facts *view,
                                        const mq_service_facts *service,
                                        uint64_t now_us);
/* Returns a word for logs.  */
const char *mq_service_view_state_name (mq_service_view_state state);
const char *mq_view_source_name (mq_view_source source);

/* Until when a request that arrived at ARRIVED_US may wait for a view.
   DEADLINE_US 0: its deadline is not known.  */
uint64_t mq_service_view_wait_until_us (uint64_t arrived_us,
                                        uint64_t deadline_us);
/* Returns true if a request that may wait until UNTIL_US may do so at NOW_US.
   WAITING requests wait, including this one if WAITS.  */
bool mq_service_view_may_wait (uint64_t until_us, unsigned waiting, bool waits,
                               uint64_t now_us);
/* Retry-After, in milliseconds, of a request that is rejected because its view
   is VIEW, which is unknown.  RANDOM is uniform over 64 bits and spreads the
   retries of requests that are rejected together.  */
unsigned mq_service_view_retry_after_ms (const mq_service_view *view,
                                         uint64_t random);

/* Additional calls to the store that a router has made for its first view.  */
typedef struct mq_service_view_reads
{
  unsigned calls;
} mq_service_view_reads;

/* Returns true if one more call may be made, and then notes it.  */
bool mq_service_view_take_call (mq_service_view_reads *reads);
/* Returns true if a router that does not watch the upstreams is to read their
   list again now, since INCOMPLETE services are unknown, and then notes the
   call.  RUNNING: engines that hold layers are listed, or the store had
   failed, so that the other engines are probably running too; a deployment
   that starts for the first time has none, and reads are of no use.  SPREAD
   is uniform in [0, 1), the same at each call of a process.  */
bool mq_service_view_read_is_due (mq_service_view_reads *reads,
                                  const mq_view_facts *view, bool incomplete,
                                  bool running, double spread,
                                  uint64_t now_us);
/* Returns true if a router that watches the upstreams is to gather changes for
   a short time only, and then notes the additional call.  */
bool mq_service_view_gather_is_short (mq_service_view_reads *reads,
                                      const mq_view_facts *view,
                                      bool incomplete, bool running,
                                      uint64_t now_us);

G_END_DECLS

#endif
