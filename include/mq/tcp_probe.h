/* Does anything listen at an address?

   One TCP connection, closed as soon as it stands; nothing is sent.  A
   refused one says that the machine is there and no process listens: what
   listened before has ended.  */

#ifndef MQ_TCP_PROBE_H
#define MQ_TCP_PROBE_H

#include <ev.h>
#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_tcp_probe_result
{
  MQ_TCP_PROBE_OPEN,    /* Something listens.  */
  MQ_TCP_PROBE_REFUSED, /* Nothing does.  */
  MQ_TCP_PROBE_NO_REPLY /* No answer in time, or no way there.  */
} mq_tcp_probe_result;

typedef struct mq_tcp_probe mq_tcp_probe;
typedef void (*mq_tcp_probe_sink) (void *context, mq_tcp_probe_result result);

/* Try ADDRESS (IP:PORT, IPv4) for TIMEOUT_MS.  SINK runs once, never from
   inside this function; the pointer is borrowed until then.  NULL, and no
   SINK, when ADDRESS is none or the process has no descriptor left.  */
mq_tcp_probe *mq_tcp_probe_start (struct ev_loop *loop, mq_span address,
                                  uint64_t timeout_ms, mq_tcp_probe_sink sink,
                                  void *context);
/* Give it up; SINK does not run.  */
void mq_tcp_probe_cancel (mq_tcp_probe *reach);

G_END_DECLS

#endif
