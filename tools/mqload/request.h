/* One intended request: sent, tried again where a caller would, and judged.

   A caller goes to the next entry when no connection comes about, when the
   entry says that it is leaving or has no configuration yet, and when an
   answer breaks off that may be asked for again: a completion, a repeatable
   call, or a call under a key of its own.  Whatever it then gets counts from
   the intended start.  */

#ifndef MQ_LOAD_REQUEST_H
#define MQ_LOAD_REQUEST_H

#include "callers.h"
#include "record.h"

G_BEGIN_DECLS

typedef struct load_run
{
  struct ev_loop *loop;
  mq_http_client *client;
  const load_scenario *scenario;
  load_cluster *cluster;
  load_callers callers;
  load_records records;
  const GArray *items; /* of load_item  */
  guint next;          /* The item that is due next.  */
  guint open;          /* Requests under way.  */
  uint64_t start_us;   /* Monotonic.  */
  ev_timer arrivals;
  ev_timer progress;
  GArray *fault_timers; /* of run_fault, private to run.c  */
  guint struck;         /* Faults carried out.  */
} load_run;

/* Start item INDEX of RUN.  */
void load_request_start (load_run *run, guint index);

/* Microseconds since the run began.  */
uint64_t load_run_now (const load_run *run);

G_END_DECLS

#endif
