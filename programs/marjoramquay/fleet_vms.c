/* The platform's list of VMs: see fleet_vms.h.

   To save calls to the platform, only the routers that need the list
   read it often: the few of a region that read the platform for all, owners of
   models, and a router that has no live peer yet.  All others read it seldom
   and receive changes from their peers.  Their interval grows with the number
   of members, so that the total rate of reads is bounded.

   The list holds all VMs.  A VM whose address is that of a configured engine
   or plain service is an upstream.  Any other is taken for a router until no
   message has been received from it for long.  An address without a port gets
   the port on which this router listens for peers; a deployment that lists
   addresses without ports must use the same port on all routers.  */

#include "fleet_vms.h"

#include <string.h>

#include "admission.h"
#include "fleet_node.h"

#define SHORT_INTERVAL_S 1.
#define LONG_INTERVAL_S 30.
/* Live members above which LONG_INTERVAL_S grows.  */
#define MEMBERS_PER_LONG_INTERVAL 15
/* Random part of the interval, so that routers do not read in step.  */
#define JITTER 0.2

struct mq_fleet_vms
{
  mq_router *router; /* Borrowed.  */
  ev_timer timer;
  mq_platform_call *call; /* In flight, or NULL.  */
};

/* Returns the IP:PORT of URL, "http://IP:PORT/...".  */
static mq_span
url_host (mq_span url)
{
  const char *start = memchr (url.data, '/', url.size);
  mq_span host = url;
  const char *end;

  if (start == NULL || url.size < (size_t)(start - url.data) + 2)
    return host;
  host.data = start + 2;
  host.size = url.size - (size_t)(host.data - url.data);
  end = memchr (host.data, '/', host.size);
  if (end != NULL)
    host.size = (size_t)(end - host.data);
  return host;
}

/* Returns true if HOST, an IP:PORT, is at ADDRESS, which is an IP:PORT or an
   IP address alone.  */
static bool
host_is_at (mq_span host, mq_span address)
{
  if (mq_span_equal (host, address))
    return true;
  return address.size < host.size && host.data[address.size] == ':'
         && mq_span_starts_with (host, address)
         && memchr (host.data + address.size + 1, ':',
                    host.size - address.size - 1)
                == NULL;
}

/* Returns true if any engine is at VM.  If VM is leaving, reports these
   engines to the planner.  */
static bool
engines_are_at (mq_router *router, const mq_platform_vm *vm)
{
  const GArray *engines = router->config->engines;
  bool found = false;

  for (guint i = 0; i < engines->len; i++)
    {
      const mq_engine *e = &g_array_index (engines, mq_engine, i);
      mq_planner_event event = { .kind = MQ_PLANNER_LEAVING };

      if (!host_is_at (url_host (mq_str_span (e->url)), vm->address))
        continue;
      found = true;
      event.u.engine = mq_str_span (e->name);
      if (vm->leaving)
        mq_admission_post (router, &event);
    }
  return found;
}

static bool
services_are_at (const mq_config *config, mq_span address)
{
  for (guint i = 0; i < config->services->len; i++)
    {
      const mq_service *s = &g_array_index (config->services, mq_service, i);

      if (s->kind != MQ_SERVICE_PLAIN)
        continue;
      for (guint k = 0; k < s->u.plain.instances->len; k++)
        {
          const mq_instance *n
              = &g_array_index (s->u.plain.instances, mq_instance, k);

          if (host_is_at (url_host (mq_str_span (n->url)), address))
            return true;
        }
    }
  return false;
}

static bool
vm_is_upstream (mq_router *router, const mq_platform_vm *vm)
{
  if (router->config == NULL)
    return false;
  return engines_are_at (router, vm)
         || services_are_at (router->config, vm->address);
}

/* Appends VM to LISTED.  TEXTS owns the text of its address.  */
static void
router_add (mq_router *router, const mq_platform_vm *vm, GArray *listed,
            GPtrArray *texts)
{
  mq_listed_vm v = { .vm = vm->name, .leaving = vm->leaving };
  mq_fleet_io *io = mq_fleet_node_io (router->fleet);
  unsigned port = mq_peers_port (mq_fleet_io_peers (io));
  bool has_port = memchr (vm->address.data, ':', vm->address.size) != NULL;
  mq_str *address
      = has_port ? mq_str_new (vm->address)
                 : mq_str_printf ("%.*s:%u", MQ_SPAN_ARG (vm->address), port);

  g_ptr_array_add (texts, address);
  v.peer_address = mq_str_span (address);
  g_array_append_val (listed, v);
}

static void
text_free (gpointer text)
{
  mq_str_unref (text);
}

static void
list_handle (mq_router *router, const mq_platform_reply *reply)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (mq_listed_vm));
  GPtrArray *texts = g_ptr_array_new_with_free_func (text_free);
  bool has_peers = mq_fleet_node_io (router->fleet) != NULL;

  for (size_t i = 0; i < reply->n_vms; i++)
    {
      const mq_platform_vm *vm = &reply->vms[i];

      if (!vm_is_upstream (router, vm) && has_peers && vm->address.size > 0)
        router_add (router, vm, listed, texts);
    }
  mq_fleet_node_set_listed_vms (
      router->fleet, (const mq_listed_vm *)listed->data, listed->len);
  g_array_unref (listed);
  g_ptr_array_unref (texts);
}

static void
on_reply (void *context, const mq_platform_reply *reply)
{
  mq_fleet_vms *vms = context;

  vms->call = NULL;
  if (reply->result == MQ_PLATFORM_OK)
    list_handle (vms->router, reply);
}

static bool
owns_a_model (const mq_router *router)
{
  const mq_config *c = router->config;

  for (guint i = 0; c != NULL && i < c->models->len; i++)
    if (mq_fleet_node_owner (
            router->fleet, MQ_OWNED_MODEL,
            mq_str_span (g_array_index (c->models, mq_model, i).name))
        == NULL)
      return true;
  return false;
}

static double
interval_s (const mq_router *router)
{
  const mq_fleet *fleet = mq_fleet_node_fleet (router->fleet);
  uint32_t live = fleet == NULL ? 1 : mq_fleet_live_count (fleet);
  double s = LONG_INTERVAL_S * MAX (live, (uint32_t)MEMBERS_PER_LONG_INTERVAL)
             / MEMBERS_PER_LONG_INTERVAL;

  if (mq_fleet_node_reads_platform (router->fleet) || owns_a_model (router)
      || (fleet != NULL && live < 2))
    s = SHORT_INTERVAL_S;
  return s * (1 + JITTER * g_random_double ());
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int revents)
{
  mq_fleet_vms *vms = timer->data;

  (void)revents;
  if (vms->call == NULL)
    vms->call = mq_platform_vms (vms->router->platform, on_reply, vms);
  ev_timer_set (timer, interval_s (vms->router), 0.);
  ev_timer_start (loop, timer);
}

mq_fleet_vms *
mq_fleet_vms_new (mq_router *router)
{
  mq_fleet_vms *v = g_new0 (mq_fleet_vms, 1);

  v->router = router;
  ev_timer_init (&v->timer, on_timer, 0., 0.);
  v->timer.data = v;
  ev_timer_start (router->loop, &v->timer);
  return v;
}

void
mq_fleet_vms_free (mq_fleet_vms *vms)
{
  if (vms == NULL)
    return;
  ev_timer_stop (vms->router->loop, &vms->timer);
  if (vms->call != NULL)
    mq_platform_cancel (vms->call);
  g_free (vms);
}
