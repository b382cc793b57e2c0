/* The files that a cluster's programs read: configuration and settings.  */

#ifndef MQ_LOAD_CLUSTER_FILES_H
#define MQ_LOAD_CLUSTER_FILES_H

#include "cluster.h"

G_BEGIN_DECLS

/* Write the configuration folder that names the stand-ins of CLUSTER; free
   the path with g_free.  NULL with ERROR set.  */
char *load_write_configuration (const load_cluster *cluster, GError **error);

/* Write the settings of router NAME, with the ports of BEFORE, or new ones
   when it is NULL; free the path with g_free.  */
char *load_write_settings (const load_cluster *cluster, const char *name,
                           uint32_t failure_domain, const load_process *before,
                           const char *platform, GError **error);

G_END_DECLS

#endif
