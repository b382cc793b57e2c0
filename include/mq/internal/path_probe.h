/* Connection probes of the engines of a silent path.

   The head of a path reports a stalled engine late.  A connection attempt to
   each engine of the path shows sooner which one is down: the attempt is
   refused or gets no answer, while at least as many others of the same path
   succeed.  When most fail, the fault may be this router's own links: then the
   engines that refused are marked down only once a check has found the links
   up (mq/reach.h), and those that did not answer not at all.  */

#ifndef MQ_INTERNAL_PATH_PROBE_H
#define MQ_INTERNAL_PATH_PROBE_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Probe the engines of PATH, unless a path with the same head was probed
   recently or too many probes are in progress.  Sends through an engine that
   is down are failed later, never from inside this function.  */
void mq_path_probe_start (mq_gateway *gateway, const mq_layer_path *path);

/* A check whether this router reaches SERVICE has ended: conclude the probes
   that waited for it.  */
void mq_path_probe_conclude_undecided (mq_gateway *gateway,
                                       const mq_str *service);

/* Cancel a probe and free it.  Of type GDestroyNotify.  */
void mq_path_probe_free (gpointer data);

G_END_DECLS

#endif
