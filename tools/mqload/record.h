/* What came of each intended request, and the figures drawn from it.  */

#ifndef MQ_LOAD_RECORD_H
#define MQ_LOAD_RECORD_H

#include "bound.h"

G_BEGIN_DECLS

typedef enum load_end
{
  LOAD_END_NONE,    /* Not ended when the run was over.  */
  LOAD_END_DONE,    /* Whole and equal to the reference.  */
  LOAD_END_WRONG,   /* Something else than the reference: a broken promise. */
  LOAD_END_NOT_RUN, /* Refused.  */
  LOAD_END_FAILED,
  LOAD_END_UNKNOWN,
  LOAD_END_CUT,         /* The connection broke, and no other try helped.  */
  LOAD_END_UNREACHABLE, /* No entry took the connection.  */
  LOAD_ENDS
} load_end;

typedef struct load_record
{
  load_end end;
  const char *reason; /* Interned code, or NULL.  */
  uint64_t end_us;    /* From the start of the run.  */
  uint64_t first_us;  /* First token; 0: none.  */
  uint32_t tokens;    /* Of the last try.  */
  uint32_t tries;
  bool maybe_ran; /* An earlier try's end was not known.  */
  unsigned effects;
} load_record;

/* A promise that was found broken.  */
typedef struct load_breach
{
  const char *promise; /* Static.  */
  uint32_t number;     /* Of the request.  */
} load_breach;

typedef struct load_records
{
  const load_scenario *scenario; /* Borrowed.  */
  const GArray *items;           /* Borrowed.  */
  GArray *list;                  /* of load_record, one an item  */
  GArray *ticks;                 /* of uint32_t: tokens that came.  */
  GArray *gaps_us;               /* of float: between tokens of a stream.  */
  GArray *breaches;
  uint64_t tokens;
} load_records;

void load_records_init (load_records *records, const load_scenario *scenario,
                        const GArray *items);
void load_records_finish (load_records *records);

/* "done", "not-run" and so on.  */
const char *load_end_name (load_end end);

/* Count a token that came AT_US after the start, GAP_US after the one
   before it (0: the first).  */
void load_records_token (load_records *records, uint64_t at_us,
                         uint64_t gap_us);

void load_records_breach (load_records *records, const char *promise,
                          uint32_t number);

/* Did the request end well before its deadline?  */
bool load_record_in_time (const load_record *record, const load_item *item);

G_END_DECLS

#endif
