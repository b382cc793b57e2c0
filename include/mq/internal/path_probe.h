/* Probes of a silent path: which of its engines can be connected to?

   The head of a path reports a stalled engine late.  A connection to each
   engine of the path tells at once which one is down: it is refused, or
   unanswered while at least as many others of the same path answer.  When
   most are unanswered, the fault may be this router's own link, and nothing
   follows from that.  */

#ifndef MQ_INTERNAL_PATH_PROBE_H
#define MQ_INTERNAL_PATH_PROBE_H

#include <mq/internal/gateway.h>

G_BEGIN_DECLS

/* Probe the engines of PATH, unless its head was the subject of a probe a
   moment ago.  Requests through an engine that is down are ended later, never
   from inside this function.  */
void mq_path_probe_start (mq_gateway *gateway, const mq_layer_path *path);

/* Cancel a probe and free it.  Of type GDestroyNotify.  */
void mq_path_probe_free (gpointer data);

G_END_DECLS

#endif
