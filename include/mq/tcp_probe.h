/* Probe that detects whether a process listens at an address.

   A probe opens one TCP connection and closes it as soon as it is
   established; it sends nothing.  A refused connection means that the machine
   is up and no process listens: the previous listener has exited.  */

#ifndef MQ_TCP_PROBE_H
#define MQ_TCP_PROBE_H

#include <ev.h>
#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_tcp_probe_result
{
  MQ_TCP_PROBE_OPEN,    /* A process listens.  */
  MQ_TCP_PROBE_REFUSED, /* No process listens.  */
  MQ_TCP_PROBE_NO_REPLY /* Timed out, or the address is unreachable.  */
} mq_tcp_probe_result;

typedef struct mq_tcp_probe mq_tcp_probe;
typedef void (*mq_tcp_probe_sink) (void *context, mq_tcp_probe_result result);

/* Starts a probe of ADDRESS (IP:PORT, IPv4) with a time limit.  SINK is called
   once, never from inside this function; the result is borrowed until then.
   Returns NULL, and never calls SINK, if ADDRESS is invalid or the process is
   out of descriptors.  */
mq_tcp_probe *mq_tcp_probe_start (struct ev_loop *loop, mq_span address,
                                  uint64_t timeout_ms, mq_tcp_probe_sink sink,
                                  void *context);
/* Cancels a probe that has not reported; its sink is not called.  */
void mq_tcp_probe_cancel (mq_tcp_probe *probe);

G_END_DECLS

#endif
