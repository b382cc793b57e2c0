/* Responses whose end is that of their connection: see
   mq/internal/gateway_close_check.h.

   A refusal proves that the upstream's process has ended; nothing else that a
   connection attempt meets says anything about the response.  An upstream that
   drains, or has left the platform's list, may well end right after its last
   response, and a router that does not reach the upstream itself can't
   check.  */

#include <mq/internal/gateway_close_check.h>

#include <mq/internal/gateway_reach.h>
#include <mq/log.h>
#include <mq/tcp_probe.h>

/* A process that ends closes its sockets one after the other.  */
#define DELAY_S 0.005
#define CONNECT_TIMEOUT_MS 100

struct mq_close_check
{
  mq_forward *forward;  /* Borrowed.  */
  struct ev_loop *loop; /* Borrowed.  */
  ev_timer delay;
  mq_tcp_probe *probe; /* Borrowed; NULL: not started, or it has ended.  */
  mq_close_check_sink sink;
  unsigned status;
  GString *head;
  GString *body;
};

static void
check_free (mq_close_check *check)
{
  ev_timer_stop (check->loop, &check->delay);
  if (check->probe != NULL)
    mq_tcp_probe_cancel (check->probe);
  g_string_free (check->head, TRUE);
  g_string_free (check->body, TRUE);
  g_free (check);
}

/* End CHECK with RESULT.  Frees it, and may free its forward.  */
static void
check_conclude (mq_close_check *check, mq_tcp_probe_result result)
{
  mq_forward *f = check->forward;
  const mq_held_response response = { check->status,
                                      { check->head->str, check->head->len },
                                      { check->body->str, check->body->len } };

  f->close_check = NULL;
  ++*f->gateway->counters.close_checks[result == MQ_TCP_PROBE_REFUSED];
  mq_log_buffer_append (
      &f->log_buffer, G_LOG_LEVEL_INFO, "request.close-check",
      "request=%.*s upstream=%s bytes=%zu events=%u refused=%d",
      MQ_SPAN_ARG (f->id), mq_str_cstr (f->upstream->facts.id),
      response.body.size, f->split.events, result == MQ_TCP_PROBE_REFUSED);
  if (result == MQ_TCP_PROBE_REFUSED)
    mq_forward_send_ended (f, MQ_SEND_BROKEN, response.status, "crashed");
  else
    check->sink (f, &response);
  check_free (check);
}

static void
on_probe (void *context, mq_tcp_probe_result result)
{
  mq_close_check *c = context;

  c->probe = NULL;
  check_conclude (c, result);
}

static void
on_delay (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_close_check *c = timer->data;

  (void)revents;
  c->probe = mq_tcp_probe_start (
      loop, mq_str_span (c->forward->upstream->facts.address),
      CONNECT_TIMEOUT_MS, on_probe, c);
  /* Out of descriptors.  */
  if (c->probe == NULL)
    check_conclude (c, MQ_TCP_PROBE_NO_REPLY);
}

bool
mq_close_check_start (mq_forward *forward, const mq_held_response *response,
                      mq_close_check_sink sink)
{
  mq_forward *f = forward;
  mq_close_check *c;

  if (f->framing != MQ_RESPONSE_TO_CLOSE || f->detour != NULL
      || mq_upstream_is_draining (f->upstream) || !f->upstream->listed
      || mq_gateway_is_isolated (f->gateway, f->upstream))
    return false;
  c = g_new0 (mq_close_check, 1);
  c->forward = f;
  c->loop = f->gateway->loop;
  c->sink = sink;
  c->status = response->status;
  c->head
      = g_string_new_len (response->head.data, (gssize)response->head.size);
  c->body = g_string_new (NULL);
  if (response->body.size > 0)
    g_string_append_len (c->body, response->body.data,
                         (gssize)response->body.size);
  ev_timer_init (&c->delay, on_delay, DELAY_S, 0.);
  c->delay.data = c;
  ev_timer_start (c->loop, &c->delay);
  f->close_check = c;
  f->call = NULL; /* It has ended.  */
  f->waits_for_budget = false;
  f->state.may_have_run = true;
  return true;
}

void
mq_close_check_drop (mq_forward *forward)
{
  mq_close_check *c = g_steal_pointer (&forward->close_check);

  if (c != NULL)
    check_free (c);
}
