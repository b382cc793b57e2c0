/* mqbench_state: what tickets, claims, leases and the audit trail cost.

   Processor time is measured on this machine; writes are counted in virtual
   time against a platform that answers each call after a fixed time.
   docs/design/state.md says what the figures mean.  */

#include <mq/audit.h>
#include <mq/claim_log.h>
#include <mq/order_scope.h>
#include <mq/ticket.h>

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#define US_PER_S UINT64_C (1000000)
#define NS_PER_US 1000
#define DAY_US (US_PER_S * 24 * 3600)
#define KIB ((size_t)1024)

/* The letter's size.  */
#define REQUESTS_PER_S 13000
#define CHANGES_PER_DAY 6000
#define VM_CHANGES_PER_DAY (180 + 1400)
#define REGIONS 10

static gint round_trip_ms = 5;

static const GOptionEntry entries[] = {
  { "round-trip", 0, 0, G_OPTION_ARG_INT, &round_trip_ms,
    "The platform's answer takes so long", "MS" },
  { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

/* ---- Tickets.  */

static double
per_call_ns (gint64 start_us, guint n)
{
  return (double)(g_get_monotonic_time () - start_us) * NS_PER_US / n;
}

static void
bench_tickets (guint n)
{
  mq_tickets_options options = { .router = 1,
                                 .address = MQ_SPAN ("127.0.0.1:8001"),
                                 .lifetime_us = 600 * US_PER_S,
                                 .limit = n };
  size_t before = mallinfo2 ().uordblks;
  mq_tickets *tickets = mq_tickets_new (&options);
  GString *text = g_string_new (NULL);
  mq_ticket ticket;
  double mint_ns, open_ns, take_ns;
  size_t after;
  gint64 start = g_get_monotonic_time ();

  for (guint i = 0; i < n; i++)
    mq_tickets_mint (tickets, 1, MQ_SPAN ("organisation"), text, NULL);
  mint_ns = per_call_ns (start, n);
  after = mallinfo2 ().uordblks;
  start = g_get_monotonic_time ();
  for (guint i = 0; i < n; i++)
    mq_tickets_open (tickets, 1, MQ_SPAN ("organisation"),
                     (mq_span){ text->str, text->len }, &ticket);
  open_ns = per_call_ns (start, n);
  start = g_get_monotonic_time ();
  for (guint i = 0; i < n; i++)
    mq_tickets_begin (tickets, 1, i);
  take_ns = per_call_ns (start, n);
  printf ("tickets: %u out, mint %.0f ns, open %.0f ns, take %.0f ns, "
          "%.3f bytes each, %zu bytes as text\n",
          n, mint_ns, open_ns, take_ns, (double)(after - before) / n,
          text->len);
  g_string_free (text, TRUE);
  mq_tickets_free (tickets);
}

/* ---- Claims.  */

typedef struct claim_trial
{
  guint64 claims;
  guint64 writes;
  guint64 reads;
  guint64 bytes;
  guint64 wait_us; /* Added up over the claims that were won.  */
  guint64 won;
  guint64 other; /* Told otherwise.  */
  double cpu_ns; /* For one claim.  */
} claim_trial;

typedef struct log_sim
{
  mq_claim_log *log;
  GArray *actions;
  GArray *began; /* guint64 time by handle  */
  claim_trial *trial;
  uint64_t reply_us; /* When the call under way is answered; or never.  */
  uint32_t step;
  uint64_t version;
  bool wrote;
} log_sim;

static void
log_step (log_sim *sim, mq_claims_event *event, uint64_t now_us)
{
  event->now_us = now_us;
  event->wall_ms = now_us / 1000;
  mq_claim_log_handle (sim->log, event, sim->actions);
  for (guint i = 0; i < sim->actions->len; i++)
    {
      const mq_claim_log_action *a
          = &g_array_index (sim->actions, mq_claim_log_action, i);

      switch (a->kind)
        {
        case MQ_CLAIM_LOG_READ:
        case MQ_CLAIM_LOG_WRITE:
          sim->wrote = a->kind == MQ_CLAIM_LOG_WRITE;
          sim->trial->writes += sim->wrote;
          sim->trial->reads += !sim->wrote;
          sim->trial->bytes += mq_str_span (a->value).size;
          sim->step = a->step;
          sim->reply_us = now_us + (uint64_t)round_trip_ms * 1000;
          break;
        case MQ_CLAIM_LOG_RESULT:
          sim->trial->won += a->result == MQ_CLAIM_WON;
          sim->trial->other += a->result != MQ_CLAIM_WON;
          sim->trial->wait_us
              += now_us - g_array_index (sim->began, guint64, a->handle);
          break;
        }
    }
  g_array_set_size (sim->actions, 0);
}

static void
log_answer (log_sim *sim)
{
  mq_claims_event event = { .kind = MQ_CLAIMS_REPLY };
  uint64_t now_us = sim->reply_us;

  sim->reply_us = UINT64_MAX;
  event.u.reply.step = sim->step;
  if (sim->wrote)
    event.u.reply.reply
        = (mq_store_reply){ .result = MQ_STORE_OK, .version = ++sim->version };
  else
    event.u.reply.reply.result = MQ_STORE_ABSENT;
  log_step (sim, &event, now_us);
}

static void
log_claim (log_sim *sim, uint64_t now_us, uint64_t lifetime_us)
{
  mq_claims_event event = { .kind = MQ_CLAIMS_START };
  guint64 n = sim->trial->claims++;

  g_array_append_val (sim->began, now_us);
  event.u.start.handle = n;
  event.u.start.organisation = MQ_SPAN ("organisation");
  event.u.start.key = (mq_span){ (const char *)&n, sizeof n };
  event.u.start.lifetime_us = lifetime_us;
  log_step (sim, &event, now_us);
}

/* One shard that is asked for PER_S claims a second, evenly, for SECONDS.  */
static void
log_trial (double per_s, uint64_t linger_us, uint64_t lifetime_us,
           uint32_t seconds, claim_trial *trial)
{
  mq_claim_log_options options = { .router = 1,
                                   .give_up_us = 5 * US_PER_S,
                                   .retry_us = US_PER_S,
                                   .linger_us = linger_us,
                                   .limit_bytes = 1024 * KIB,
                                   .waiting = 100000 };
  log_sim sim = { .log = mq_claim_log_new (&options),
                  .actions = mq_claim_log_actions_new (),
                  .began = g_array_new (FALSE, FALSE, sizeof (guint64)),
                  .trial = trial,
                  .reply_us = UINT64_MAX };
  uint64_t end_us = US_PER_S * seconds;
  gint64 start = g_get_monotonic_time ();

  memset (trial, 0, sizeof *trial);
  for (;;)
    {
      uint64_t arrive
          = (uint64_t)((double)(trial->claims + 1) * (double)US_PER_S / per_s);
      uint64_t tick = mq_claim_log_next_tick (sim.log);
      mq_claims_event event = { .kind = MQ_CLAIMS_TICK };

      if (MIN (arrive, MIN (tick, sim.reply_us)) >= end_us)
        break;
      if (sim.reply_us <= MIN (arrive, tick))
        log_answer (&sim);
      else if (tick <= arrive)
        log_step (&sim, &event, tick);
      else
        log_claim (&sim, arrive, lifetime_us);
    }
  trial->cpu_ns = per_call_ns (start, (guint)MAX (trial->claims, 1));
  g_array_unref (sim.began);
  g_array_unref (sim.actions);
  mq_claim_log_free (sim.log);
}

static void
bench_claim_log (double claims_per_s, double shards, uint64_t linger_ms,
                 uint64_t lifetime_s)
{
  uint32_t seconds = (uint32_t)lifetime_s * 2;
  claim_trial t;

  log_trial (claims_per_s / shards, linger_ms * 1000, lifetime_s * US_PER_S,
             seconds, &t);
  printf (
      "claim log: %5.0f claims/s on %4.0f shards, linger %3" G_GUINT64_FORMAT
      " ms, kept %3" G_GUINT64_FORMAT
      " s: %5.1f claims a write, %4.0f writes/s, %6.0f KB a write, "
      "%6.1f MB/s, wait %4.0f ms, refused %.3f, %.0f ns a claim\n",
      claims_per_s, shards, linger_ms, lifetime_s,
      (double)t.won / (double)t.writes, (double)t.writes * shards / seconds,
      (double)t.bytes / (double)t.writes / 1e3,
      (double)t.bytes * shards / seconds / 1e6,
      (double)t.wait_us / (double)(t.won + t.other) / 1e3,
      (double)t.other / (double)(t.won + t.other), t.cpu_ns);
}

/* Single claims that are all won and run: what each costs in the end.  */
static void
bench_single (guint n)
{
  mq_claims_options options = { .router = 1,
                                .give_up_us = US_PER_S,
                                .retry_us = US_PER_S,
                                .late_us = US_PER_S,
                                .limit = n };
  mq_claims *claims = mq_claims_new (&options);
  GArray *actions = mq_claims_actions_new ();
  guint writes = 0;
  gint64 start = g_get_monotonic_time ();
  size_t before = mallinfo2 ().uordblks;
  size_t after;

  for (guint64 i = 0; i < n; i++)
    {
      mq_claims_event event = { .kind = MQ_CLAIMS_START, .now_us = 1 };
      const mq_claims_action *a;

      event.u.start.handle = i;
      event.u.start.organisation = MQ_SPAN ("organisation");
      event.u.start.key = (mq_span){ (const char *)&i, sizeof i };
      event.u.start.lifetime_us = 600 * US_PER_S;
      mq_claims_handle (claims, &event, actions);
      a = &g_array_index (actions, mq_claims_action, 0);
      event = (mq_claims_event){ .kind = MQ_CLAIMS_REPLY, .now_us = 2 };
      event.u.reply.claim = a->claim;
      event.u.reply.step = a->step;
      event.u.reply.reply.result = MQ_STORE_OK;
      event.u.reply.reply.version = i + 1;
      mq_claims_handle (claims, &event, actions);
      g_array_set_size (actions, 0);
      writes++;
    }
  printf ("single claims: %.0f ns a claim, ", per_call_ns (start, n));
  after = mallinfo2 ().uordblks;
  mq_claims_handle (
      claims,
      &(mq_claims_event){ .kind = MQ_CLAIMS_TICK, .now_us = 601 * US_PER_S },
      actions);
  writes += actions->len;
  printf ("%.0f bytes kept each, %.1f writes each, the delete included\n",
          (double)(after - before) / n, (double)writes / n);
  g_array_unref (actions);
  mq_claims_free (claims);
}

/* ---- Leases and the audit trail.  */

/* Writes a second that one lease costs while it is held.  */
static double
lease_writes_per_s (void)
{
  mq_lease_options options = { .router = 1,
                               .duration_us = 10 * US_PER_S,
                               .retry_us = 2 * US_PER_S,
                               .timeout_us = 3 * US_PER_S,
                               .margin_percent = 10 };
  mq_lease *lease = mq_lease_new (&options);
  GArray *actions = mq_lease_actions_new ();
  mq_lease_event event = { .kind = MQ_LEASE_REQUEST };
  uint64_t now = 1;
  guint writes = 0;

  while (now < 3600 * US_PER_S)
    {
      event.now_us = now;
      mq_lease_handle (lease, &event, actions);
      event = (mq_lease_event){ .kind = MQ_LEASE_TICK };
      for (guint i = 0; i < actions->len; i++)
        {
          const mq_lease_action *a
              = &g_array_index (actions, mq_lease_action, i);

          if (a->kind != MQ_LEASE_READ && a->kind != MQ_LEASE_WRITE)
            continue;
          event = (mq_lease_event){ .kind = MQ_LEASE_REPLY, .step = a->step };
          event.reply.result
              = a->kind == MQ_LEASE_READ ? MQ_STORE_ABSENT : MQ_STORE_OK;
          event.reply.version = ++writes;
        }
      g_array_set_size (actions, 0);
      now = event.kind == MQ_LEASE_REPLY ? now + (uint64_t)round_trip_ms * 1000
                                         : mq_lease_next_tick (lease);
    }
  g_array_unref (actions);
  mq_lease_free (lease);
  return writes / 3600.0;
}

/* Writes for a day's RECORDS from one router, evenly spread in bursts of
   BURST.  */
static guint
audit_writes (guint records, guint burst, double *bytes_each)
{
  mq_audit_options options = { .router = 1,
                               .linger_us = 2 * US_PER_S,
                               .retry_us = US_PER_S,
                               .batch_bytes = 64 * KIB,
                               .limit_bytes = 1024 * KIB };
  mq_audit *audit = mq_audit_new (&options);
  GArray *actions = mq_audit_actions_new ();
  guint writes = 0;
  size_t bytes = 0;

  for (guint i = 0; i < records; i++)
    {
      uint64_t gap = DAY_US / records;
      uint64_t now = gap * (i - i % burst);
      mq_audit_event event = { .kind = MQ_AUDIT_ADD, .now_us = now };

      event.record.kind = MQ_AUDIT_MEMBERSHIP;
      event.record.who = MQ_SPAN ("kamloops-yard-1");
      event.record.what = MQ_SPAN ("vm prince-george-17");
      event.record.why = MQ_SPAN ("no heartbeat for 1500 ms");
      event.record.before = MQ_SPAN ("live");
      event.record.after = MQ_SPAN ("dead");
      mq_audit_handle (audit, &event, actions);
      event = (mq_audit_event){ .kind = MQ_AUDIT_TICK };
      event.now_us = mq_audit_next_tick (audit);
      if (i % burst != burst - 1)
        continue;
      mq_audit_handle (audit, &event, actions);
      for (guint j = 0; j < actions->len; j++)
        {
          bytes += mq_str_span (
                       g_array_index (actions, mq_audit_action, j).value)
                       .size;
          writes++;
        }
      g_array_set_size (actions, 0);
      event.kind = MQ_AUDIT_REPLY;
      mq_audit_handle (audit, &event, actions);
    }
  g_array_unref (actions);
  mq_audit_free (audit);
  *bytes_each = (double)bytes / records;
  return writes;
}

static void
bench_rest (void)
{
  double lease = lease_writes_per_s ();
  double bytes = 0;
  guint changes = CHANGES_PER_DAY + VM_CHANGES_PER_DAY;
  guint writes = audit_writes (changes, 1, &bytes);
  guint burst = audit_writes (changes, 10, &bytes);

  printf ("lease: %.2f writes/s while held; %d regions: %.1f writes/s\n",
          lease, REGIONS, lease * REGIONS);
  printf ("audit: %u records a day: %u writes (%.3f a second), in bursts of "
          "10: %u writes; %.0f bytes a record\n",
          changes, writes, writes / 86400.0, burst, bytes);
}

int
main (int argc, char **argv)
{
  static const double shares[] = { 0.01, 0.03, 0.1, 1.0 };
  GOptionContext *context = g_option_context_new ("- cost of kept state");
  GError *error = NULL;
  int status = 1;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      (void)fprintf (stderr, "mqbench_state: %s\n", error->message);
      goto out;
    }
  bench_tickets (20000);
  bench_tickets (200000);
  bench_tickets (1000000);
  bench_single (100000);
  for (guint i = 0; i < G_N_ELEMENTS (shares); i++)
    bench_claim_log (REQUESTS_PER_S * shares[i], 32, 100, 60);
  bench_claim_log (REQUESTS_PER_S, 128, 500, 60);
  bench_claim_log (REQUESTS_PER_S * 0.1, 32, 100, 600);
  bench_claim_log (REQUESTS_PER_S * 0.1, 64, 200, 600);
  bench_rest ();
  status = 0;
out:
  g_clear_error (&error);
  g_option_context_free (context);
  return status;
}
