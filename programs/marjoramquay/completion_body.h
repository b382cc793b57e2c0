/* Decodes the body of POST /v1/completions.

   Internal to this program.  */

#ifndef MQ_COMPLETION_BODY_H
#define MQ_COMPLETION_BODY_H

#include <mq/str.h>

typedef struct mq_completion_body
{
  mq_str *model;
  mq_str *prompt;
  uint32_t max_tokens; /* 0: not given.  */
  int32_t priority;    /* -1: not given.  */
  bool stream;
} mq_completion_body;

/* Fills BODY, which need not be initialised, from TEXT.  Returns NULL on
   success.  On an error returns its description, in static storage, and BODY
   owns nothing.  */
const char *mq_completion_body_read (mq_completion_body *body, mq_span text);

/* Releases what BODY owns.  */
void mq_completion_body_finish (mq_completion_body *body);

#endif
