/* The processes of a run: stand-ins and routers on the loopback interface.

   Each child dies with this process, and all that were started are ended by
   their process numbers when the cluster is freed.  */

#ifndef MQ_LOAD_CLUSTER_H
#define MQ_LOAD_CLUSTER_H

#include "scenario.h"

#include <mq/http_client.h>

G_BEGIN_DECLS

typedef enum load_role
{
  LOAD_ROLE_PLATFORM,
  LOAD_ROLE_ENGINE,
  LOAD_ROLE_PLAIN,
  LOAD_ROLE_ROUTER
} load_role;

typedef struct load_process
{
  char *name;
  load_role role;
  GPid pid;      /* 0 once it has ended.  */
  char *address; /* IP:PORT.  */
  char *peers;   /* The same of a router's peers; NULL: none.  */
  uint32_t service;
  uint32_t failure_domain;
  char **argv;          /* By which it was started.  */
  double earlier_cpu_s; /* Of those whose place it took.  */
  double cpu_s;         /* Used until it was last looked at.  */
  uint64_t rss_bytes;
} load_process;

typedef struct load_cluster
{
  const load_scenario *scenario; /* Borrowed.  */
  struct ev_loop *loop;
  mq_http_client *client; /* Borrowed.  */
  GPtrArray *processes;   /* of load_process, owned  */
  GPtrArray *restarts;    /* of load_restart, owned  */
  char *folder;           /* Settings, configuration and logs.  */
  char *binaries;
} load_cluster;

typedef struct load_cluster_options
{
  const char *folder;   /* Must be there.  */
  const char *binaries; /* Where marjoramquay, mqctl and mqstand are.  */
} load_cluster_options;

/* Start everything, put the configuration in force and wait until all
   routers are ready.  Returns 0, or -1 with ERROR set.  */
int load_cluster_init (load_cluster *cluster, const load_scenario *scenario,
                       struct ev_loop *loop, mq_http_client *client,
                       const load_cluster_options *options, GError **error);

/* Start P's program again, which has ended; its log goes on.  Where it
   listens must be settled by its settings.  Returns 0, or -1 with ERROR
   set.  */
int load_cluster_start_again (load_cluster *cluster, load_process *p,
                              GError **error);

/* End all processes.  */
void load_cluster_finish (load_cluster *cluster);

/* Carry out FAULT on the processes it targets; returns how many.  */
unsigned load_cluster_strike (load_cluster *cluster, const load_fault *fault);

/* Read each process's CPU time and memory.  */
void load_cluster_measure (load_cluster *cluster);

/* The token by which ORGANISATION is known; free with g_free.  */
char *load_token (const load_organisation *organisation);

G_END_DECLS

#endif
