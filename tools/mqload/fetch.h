/* One HTTP call, waited for: for setting a run up and for its end.  */

#ifndef MQ_LOAD_FETCH_H
#define MQ_LOAD_FETCH_H

#include <mq/http_client.h>

G_BEGIN_DECLS

/* Call METHOD on URL with BODY and put the answer's body in place of what
   ANSWER holds (may be NULL).  Runs LOOP until then.  Returns the HTTP
   status, or 0 when there was no whole answer.  */
unsigned load_fetch (struct ev_loop *loop, mq_http_client *client,
                     const char *method, const char *url, const char *body,
                     GString *answer);

G_END_DECLS

#endif
