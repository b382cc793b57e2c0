/* Restarts of a run: a process is told to end by SIGTERM, takes the time it
   needs, and is started again at the same addresses.  */

#ifndef MQ_LOAD_RESTART_H
#define MQ_LOAD_RESTART_H

#include "cluster.h"

#include <ev.h>

G_BEGIN_DECLS

/* The exit status of a process that has not ended.  */
#define LOAD_RESTART_OPEN (-1)

typedef struct load_restart
{
  ev_child child;
  load_cluster *cluster; /* Borrowed.  */
  load_process *process; /* Borrowed.  */
  gint64 told_us;
  int exit_status; /* 128 and the signal, for one that was killed.  */
  double drain_s;  /* From the signal to its end.  */
} load_restart;

/* Have P end and start it again; harmless when it has ended.  */
void load_restart_begin (load_cluster *cluster, load_process *p);
void load_restart_free (gpointer restart);

/* Has any process not ended by itself, or with another status than 0?  */
bool load_restarts_failed (const load_cluster *cluster);

G_END_DECLS

#endif
