/* Internal to packages/decide: the entry's state, shared by its parts.

   entry.c takes events and holds the table of requests, stream.c runs the
   attempts of a model's requests, service_call.c the sends of a plain
   service's.  The parts call each other through the functions below and
   through nothing else.  */

#ifndef MQ_INTERNAL_ENTRY_H
#define MQ_INTERNAL_ENTRY_H

#include <mq/entry.h>
#include <mq/internal/answer_length.h>
#include <mq/internal/idempotency.h>
#include <mq/internal/request.h>
#include <mq/internal/retry_budget.h>

G_BEGIN_DECLS

struct mq_entry
{
  uint64_t router;
  mq_str *failure_domain;
  uint64_t random; /* State of the generator for jitter.  */
  mq_config *config;
  bool draining;
  bool drained_reported;
  uint64_t sequence;
  GHashTable *requests; /* handle to mq_request, owned; none has ended.  */
  GPtrArray *timers;    /* The same requests by due time, borrowed.  */
  GPtrArray *queued;    /* Those that are QUEUED, borrowed.  */
  GPtrArray *ended;     /* Owned until the next event, for the actions.  */
  uint64_t
      replan_window_start_us; /* When the present window of re-plans began.  */
  uint32_t replans;           /* Asked for in it.  */
  mq_idempotency *guards;
  mq_retry_budget *service_budget;
  mq_retry_budget *organisation_budget;
  GHashTable *instances; /* URL to the state kept by service_call.c.  */
  mq_answer_lengths *lengths;
  mq_quarantine *quarantine; /* Borrowed; may be NULL.  */
  uint64_t next_instance;    /* Breaks ties between instances.  */
  mq_entry_counters counters;
  mq_decision_log *decisions;
  /* Of the event that is being handled.  */
  uint64_t now_us;
  GArray *actions; /* Borrowed.  */
};

/* In entry.c.  */

/* Append an action of KIND for REQUEST; valid until the next one.  */
mq_entry_action *mq_entry_emit (mq_entry *entry, const mq_request *request,
                                mq_entry_action_kind kind);
/* Move REQUEST to STATE, and note the time.  */
void mq_entry_set_state (mq_entry *entry, mq_request *request,
                         mq_request_state state);
/* End REQUEST: clean up what it holds, then say the last word.  */
void mq_entry_end (mq_entry *entry, mq_request *request, mq_outcome outcome,
                   mq_reason reason, uint64_t retry_after_us);
/* End REQUEST, which has not got its whole answer, for REASON.  */
void mq_entry_give_up (mq_entry *entry, mq_request *request, mq_reason reason,
                       uint64_t retry_after_us);
/* A record of KIND about REQUEST, to be filled further and added.  */
mq_decision mq_entry_decision (const mq_entry *entry,
                               const mq_request *request,
                               mq_decision_kind kind);
/* The upstream at URL may have ended as it began to run REQUEST.  */
void mq_entry_suspect (mq_entry *entry, mq_request *request, mq_str *url);
/* REQUEST ran well, or for so long that it ended nothing.  */
void mq_entry_note_success (mq_entry *entry, const mq_request *request);
/* For how long what CONTENT asks is refused; 0: it is not.  */
uint64_t mq_entry_quarantine_remaining_us (const mq_entry *entry,
                                           uint64_t content);
/* Ask for REQUEST's claim.  */
void mq_entry_request_claim (mq_entry *entry, mq_request *request);
/* True when requests are given up early and admission is at work.  */
bool mq_entry_uses_deadline_routing (const mq_entry *entry);

/* In stream.c.  */

/* Ask for the plan of the next attempt.  */
void mq_stream_request_plan (mq_entry *entry, mq_request *request);
void mq_stream_planned (mq_entry *entry, mq_request *request,
                        const mq_entry_event *event);
/* Open the stream of the plan that REQUEST holds.  */
void mq_stream_open (mq_entry *entry, mq_request *request);
void mq_stream_set_back_pressure (mq_entry *entry, mq_request *request,
                                  bool held);
void mq_stream_opened (mq_entry *entry, mq_request *request,
                       const mq_entry_event *event);
void mq_stream_token (mq_entry *entry, mq_request *request,
                      const mq_entry_event *event);
void mq_stream_ended (mq_entry *entry, mq_request *request,
                      const mq_entry_event *event);
void mq_stream_failed (mq_entry *entry, mq_request *request,
                       const mq_entry_event *event);
/* When REQUEST, whose stream is out, has to be looked at; and look.  */
uint64_t mq_stream_due_us (const mq_entry *entry, const mq_request *request);
void mq_stream_on_timer (mq_entry *entry, mq_request *request);
/* The rest after a refusal is over.  */
void mq_stream_resume (mq_entry *entry, mq_request *request);
/* The planner did not answer.  */
void mq_stream_plan_timed_out (mq_entry *entry, mq_request *request);
/* Cancel what is out and release what is held, before REQUEST ends as
   OUTCOME.  */
void mq_stream_close (mq_entry *entry, mq_request *request,
                      mq_outcome outcome);
/* Let the queued requests go, least slack first, as far as the present
   window allows.  */
void mq_stream_replan_queued (mq_entry *entry);
/* When mq_stream_replan_queued has to be called next; UINT64_MAX: not at all.
 */
uint64_t mq_stream_replan_due_us (const mq_entry *entry);

/* In service_call.c.  */

/* Choose an instance and send REQUEST to it.  */
void mq_service_call_send (mq_entry *entry, mq_request *request);
void mq_service_call_reply (mq_entry *entry, mq_request *request,
                            const mq_entry_event *event);
void mq_service_call_failed (mq_entry *entry, mq_request *request,
                             const mq_entry_event *event);
/* Cancel what is out, before REQUEST ends.  */
void mq_service_call_close (mq_entry *entry, mq_request *request);
/* May this call be sent again although it may have run?  */
bool mq_service_call_is_repeatable (const mq_service *service,
                                    const mq_call *call);
/* A table for mq_entry.instances.  */
GHashTable *mq_service_call_instances_new (void);
/* Forget instances that the configuration in force does not name and that
   have nothing in flight.  */
void mq_service_call_configure (mq_entry *entry);

G_END_DECLS

#endif
