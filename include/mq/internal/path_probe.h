/* Connection probes of the engines of a silent path.

   The head of a path reports a stalled engine late.  A connection attempt to
   each engine of the path shows sooner which one is down: the attempt is
   refused, or gets no answer while at least as many others of the same path
   do.  When most get no answer, the fault may be this router's own link, and
   no engine is marked down.  */

#ifndef MQ_INTERNAL_PATH_PROBE_H
#define MQ_INTERNAL_PATH_PROBE_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Probe the engines of PATH, unless a path with the same head was probed
   recently or too many probes are in progress.  Sends through an engine that
   is down are failed later, never from inside this function.  */
void mq_path_probe_start (mq_gateway *gateway, const mq_layer_path *path);

/* Cancel a probe and free it.  Of type GDestroyNotify.  */
void mq_path_probe_free (gpointer data);

G_END_DECLS

#endif
