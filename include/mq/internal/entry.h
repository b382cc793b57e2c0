/* Internal to packages/decide: the state of the entry, shared by its source
   files.

   entry.c dispatches events and holds the table of requests, stream.c runs
   the attempts of requests to models, and service_call.c runs the sends to
   plain services.  They call each other only through the functions below.  */

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
  uint64_t random; /* State of the jitter generator.  */
  mq_config *config;
  bool draining;
  bool drained_reported;
  uint64_t sequence;
  GHashTable *requests; /* Handle to mq_request, owned; none has ended.  */
  GPtrArray *timers;    /* Heap of the same requests, borrowed.  */
  GPtrArray *queued;    /* The requests that are QUEUED, borrowed.  */
  GPtrArray *ended;     /* Owned until the next event, since actions borrow
                           from them.  */
  /* Start of the current replanning window, and the replans in it.  */
  uint64_t replan_window_start_us;
  uint32_t replans;
  mq_idempotency *guards;
  mq_retry_budget *service_budget;
  mq_retry_budget *organisation_budget;
  GHashTable *instances; /* URL to the instance_state of service_call.c.  */
  mq_answer_lengths *lengths;
  mq_quarantine *quarantine; /* Borrowed; may be NULL.  */
  uint64_t next_instance;    /* Rotates the search, to break ties.  */
  mq_entry_counters counters;
  mq_decision_log *decisions;
  /* Valid while an event is handled.  */
  uint64_t now_us;
  GArray *actions; /* Borrowed.  */
};

/* In entry.c.  */

/* Append an action of KIND for REQUEST, which may be NULL.  Returns it; valid
   until the next action is appended.  */
mq_entry_action *mq_entry_emit (mq_entry *entry, const mq_request *request,
                                mq_entry_action_kind kind);
/* Set the state of REQUEST and its time, and reschedule its timer.  */
void mq_entry_set_state (mq_entry *entry, mq_request *request,
                         mq_request_state state);
/* End REQUEST: release what it holds, then emit END.  */
void mq_entry_end (mq_entry *entry, mq_request *request, mq_outcome outcome,
                   mq_reason reason, uint64_t retry_after_us);
/* End REQUEST without a complete response, for REASON; the outcome follows
   from what was sent.  */
void mq_entry_give_up (mq_entry *entry, mq_request *request, mq_reason reason,
                       uint64_t retry_after_us);
/* Returns a record of KIND about REQUEST, for the caller to complete and add
   to the decision log.  */
mq_decision mq_entry_decision (const mq_entry *entry,
                               const mq_request *request,
                               mq_decision_kind kind);
/* Report that REQUEST may have crashed the upstream at URL.  */
void mq_entry_suspect (mq_entry *entry, mq_request *request, mq_str *url);
/* Record that REQUEST succeeded, or ran long enough to be cleared.  */
void mq_entry_note_success (mq_entry *entry, const mq_request *request);
/* Returns how long requests with CONTENT remain quarantined, or 0.  */
uint64_t mq_entry_quarantine_remaining_us (const mq_entry *entry,
                                           uint64_t content);
/* Request the claim of REQUEST.  */
void mq_entry_request_claim (mq_entry *entry, mq_request *request);
/* Returns true if routing is by deadline: requests that cannot finish in time
   end early, and retries are limited.  */
bool mq_entry_uses_deadline_routing (const mq_entry *entry);

/* In stream.c.  */

/* Request the plan of the next attempt.  */
void mq_stream_request_plan (mq_entry *entry, mq_request *request);
void mq_stream_planned (mq_entry *entry, mq_request *request,
                        const mq_entry_event *event);
/* Open a stream by the plan that REQUEST holds.  */
void mq_stream_open (mq_entry *entry, mq_request *request);
void mq_stream_set_back_pressure (mq_entry *entry, mq_request *request,
                                  bool active);
void mq_stream_opened (mq_entry *entry, mq_request *request,
                       const mq_entry_event *event);
void mq_stream_token (mq_entry *entry, mq_request *request,
                      const mq_entry_event *event);
void mq_stream_ended (mq_entry *entry, mq_request *request,
                      const mq_entry_event *event);
void mq_stream_failed (mq_entry *entry, mq_request *request,
                       const mq_entry_event *event);
/* Returns when the timer of REQUEST, which has an open stream, is due.  */
uint64_t mq_stream_due_us (const mq_entry *entry, const mq_request *request);
/* Handle the timer: finish, end or abandon the attempt.  */
void mq_stream_on_timer (mq_entry *entry, mq_request *request);
/* Request a new plan after a back-off.  */
void mq_stream_resume (mq_entry *entry, mq_request *request);
/* Handle a planner that did not reply in time.  */
void mq_stream_plan_timed_out (mq_entry *entry, mq_request *request);
/* Cancel the open stream and release the plan, if any, before REQUEST ends
   with OUTCOME.  */
void mq_stream_close (mq_entry *entry, mq_request *request,
                      mq_outcome outcome);
/* Request plans for queued requests, least slack first, as many as a window
   allows, if a new window is due.  */
void mq_stream_replan_queued (mq_entry *entry);
/* Returns when mq_stream_replan_queued is due, or UINT64_MAX if no request is
   queued.  */
uint64_t mq_stream_replan_due_us (const mq_entry *entry);

/* In service_call.c.  */

/* Choose an instance and send REQUEST to it; end REQUEST if there is none.  */
void mq_service_call_send (mq_entry *entry, mq_request *request);
void mq_service_call_reply (mq_entry *entry, mq_request *request,
                            const mq_entry_event *event);
void mq_service_call_failed (mq_entry *entry, mq_request *request,
                             const mq_entry_event *event);
/* Cancel the send in flight, if any, before REQUEST ends.  */
void mq_service_call_close (mq_entry *entry, mq_request *request);
/* Returns true if CALL may be sent again although it may have run.  */
bool mq_service_call_is_repeatable (const mq_service *service,
                                    const mq_call *call);
/* Returns a new table for mq_entry.instances.  */
GHashTable *mq_service_call_instances_new (void);
/* Remove the state of instances that the configuration in force does not name
   and that have nothing in flight.  */
void mq_service_call_configure (mq_entry *entry);

G_END_DECLS

#endif
