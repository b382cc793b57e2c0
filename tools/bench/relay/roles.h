/* The processes of the relay bench: see relay_bench.c.

   Each role runs a loop of its own and doesn't return, except for the
   callers.  A role that serves writes its port, a uint16_t, to FD once it
   listens.  */

#ifndef RELAY_BENCH_ROLES_H
#define RELAY_BENCH_ROLES_H

#include <mq/http_client.h>
#include <mq/http_server.h>

#include <stdint.h>

#define US_PER_S 1000000
#define LINE_LIMIT 256

/* The text of a token begins with this; the time of its writing follows.  */
#define TOKEN_MARK "word"
/* What all streams of the upstream say that they answer.  */
#define TOKEN_REQUEST "r-0123456789abcdef"
#define TOKEN_ATTEMPT 1

typedef struct bench_options
{
  int rate;        /* Tokens a second over all streams.  */
  int seconds;     /* Length of each measurement.  */
  int pause_s;     /* To wait before it.  */
  gboolean direct; /* Leave the relay out.  */
} bench_options;

void upstream_role (int fd, const bench_options *options);
void relay_role (int fd, uint16_t upstream_port);
void callers_role (uint16_t port, int streams, const bench_options *options);

void callers_print_titles (void);

/* Serve on a port of the system's choice and tell it to FD.  */
void serve (struct ev_loop *loop, int fd, mq_http_server_sink sink,
            void *context);

#endif
