/* A run: arrivals, faults, progress, and at the end the effects.  */

#ifndef MQ_LOAD_RUN_H
#define MQ_LOAD_RUN_H

#include "request.h"

G_BEGIN_DECLS

/* Run ITEMS against CLUSTER, which must be ready, and fill RUN's records.
   Prints a line each second on standard error.  */
void load_run_init (load_run *run, load_cluster *cluster, const GArray *items);
void load_run_go (load_run *run);
void load_run_finish (load_run *run);

G_END_DECLS

#endif
