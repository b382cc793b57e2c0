/* The choice of a path for a request by the load in the failure domains, and
   admission control.

   Each router counts the tokens that its own requests hold and receives the
   other routers' counts with each heartbeat.  Without these, all routers would
   send to the same least loaded path; with counts that are stale, all would
   send to the path that was least loaded then.  No I/O; random numbers are
   passed in.  */

#ifndef MQ_DOMAIN_LOAD_H
#define MQ_DOMAIN_LOAD_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* A path that could serve a request.  */
typedef struct mq_domain_choice
{
  mq_span domain;  /* Borrowed.  */
  double capacity; /* Token capacity of the stage with the least memory.  */
  double used;     /* Tokens of requests in flight, of all routers.  */
  double step_ms;  /* Time of a token on the path, without load.  */
  bool tried;      /* A send of the same request failed there.  */
  bool local;      /* In the router's own domain.  */
  double prefill_queue_ms; /* Until the queued prompts are prefilled.  */
  double prefill_ms;       /* To prefill the request's own; 0: unknown.  */
} mq_domain_choice;

/* The class of a request for admission.  A higher one may use more of a path's
   memory.  */
typedef enum mq_domain_rank
{
  MQ_DOMAIN_RETRY, /* The client retries after a rejection; will be late.  */
  MQ_DOMAIN_NEW,
  MQ_DOMAIN_STARTED /* The client has received part of the response.  */
} mq_domain_rank;

typedef struct mq_domain_request
{
  double need; /* Tokens that it is expected to hold.  */
  mq_domain_rank rank;
  double target_ms; /* Target latency of its first event; 0: none, so that the
                       prefill queue does not count.  */
  double age_ms;    /* Largest age of the other routers' counts.  */
  uint64_t random;  /* Uniform over 64 bits.  */
  double memory_limit; /* Share of each path's memory that may be in use with
                          it, in (0, 1); 0 or 1: no limit beside its rank's. */
} mq_domain_request;

/* Results of mq_domain_choose without a path: none has memory for the request,
   or those that have must prefill too many prompts before its own.  */
#define MQ_DOMAIN_NO_MEMORY (-1)
#define MQ_DOMAIN_PREFILL_BACKLOG (-2)

/* Choose a path for REQUEST among the N CHOICES.  Returns its index or one of
   the above.  */
int mq_domain_choose (const mq_domain_choice *choices, size_t n,
                      const mq_domain_request *request);

/* The share of a path's memory that requests of RANK may use.  */
double mq_domain_memory_share (mq_domain_rank rank);

/* The Retry-After, in ms, for a rejected client whose deadline is LEFT_MS
   away.  RANDOM, uniform over 64 bits, spreads the retries of clients that are
   rejected together.  */
unsigned mq_domain_retry_after_ms (uint64_t left_ms, uint64_t random);

/* The tokens that a request is expected to hold on the average over its life:
   PROMPT and a share of its answer.  The answer's length is the client's
   ESTIMATE or, when that is 0, MEAN_ANSWER, and at most MAX_ANSWER unless that
   is 0.  */
double mq_domain_expected_tokens (unsigned prompt, unsigned max_answer,
                                  unsigned estimate, unsigned mean_answer);

G_END_DECLS

#endif
