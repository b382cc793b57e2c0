/* The callers of a run: each asks the system which of its addresses to use,
   keeps that answer for its time to live, and connects there itself.

   A caller whose answer has run out goes on with it until the next one has
   come, so that a lost ask stops nobody.  */

#ifndef MQ_LOAD_CALLERS_H
#define MQ_LOAD_CALLERS_H

#include "cluster.h"

G_BEGIN_DECLS

typedef struct load_callers load_callers;

/* A ticket, which only the router that minted it runs.  */
typedef struct load_ticket
{
  char *text;
  char *address; /* Of that router.  */
} load_ticket;

typedef struct load_caller
{
  load_callers *callers; /* Borrowed.  */
  uint32_t organisation;
  GPtrArray *entries; /* of char *, the best first.  */
  GQueue tickets;     /* of load_ticket, owned  */
  char *asked;        /* The address of the last ask.  */
  uint64_t expires_us;
  uint32_t asks;
  bool asking;
  char *authorization; /* The header's value.  */
} load_caller;

struct load_callers
{
  const load_cluster *cluster; /* Borrowed.  */
  GPtrArray *list;             /* of load_caller, owned  */
  GArray *first;               /* Index of each organisation's first.  */
  uint64_t asked;
  uint64_t failed;
};

void load_callers_init (load_callers *callers, const load_cluster *cluster);
void load_callers_finish (load_callers *callers);

/* Have all callers ask, and wait for their answers.  */
void load_callers_prime (load_callers *callers);

/* Caller NUMBER of ORGANISATION, borrowed.  It asks again when it is time. */
load_caller *load_callers_get (load_callers *callers, uint32_t organisation,
                               uint32_t number);

/* The entry for the TURN-th attempt of a request, or NULL when the caller has
   none.  Borrowed until the next ask.  */
const char *load_caller_entry (const load_caller *caller, uint32_t turn);

/* The entry at ADDRESS did not answer, or is leaving, or is another one than
   it was: its tickets are worthless.  Ask again now.  */
void load_caller_disappointed (load_caller *caller, const char *address);

/* A ticket, to be freed by load_ticket_free; NULL when there is none.  */
load_ticket *load_caller_ticket (load_caller *caller);
void load_ticket_free (load_ticket *ticket);

G_END_DECLS

#endif
