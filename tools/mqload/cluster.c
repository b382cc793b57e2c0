/* The processes of a run: see cluster.h.  */

#include "cluster.h"

#include "cluster_files.h"
#include "fetch.h"
#include "restart.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_MS 10000
#define READY_TRIES 300
#define READY_PAUSE_US 50000
#define STOP_TRIES 100
#define STOP_PAUSE_US 20000

static void
process_free (gpointer data)
{
  load_process *p = data;

  g_free (p->name);
  g_free (p->address);
  g_free (p->peers);
  g_strfreev (p->argv);
  g_free (p);
}

/* In the child: end with the parent, write the log to the open file.  */
static void
child_setup (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (GPOINTER_TO_INT (data), STDERR_FILENO);
}

/* Read the line `listening=ADDRESS' from FD; NULL when it doesn't come.  A
   line `peers=ADDRESS' before it goes to *PEERS.  */
static char *
read_address (int fd, char **peers)
{
  static const char key[] = "listening=";
  static const char peers_key[] = "peers=";
  GString *line = g_string_new (NULL);
  struct pollfd p = { .fd = fd, .events = POLLIN };
  char *address = NULL;
  char c;

  while (poll (&p, 1, START_MS) == 1 && read (fd, &c, 1) == 1)
    {
      if (c != '\n')
        {
          g_string_append_c (line, c);
          continue;
        }
      if (g_str_has_prefix (line->str, key))
        {
          address = g_strdup (line->str + sizeof key - 1);
          break;
        }
      if (g_str_has_prefix (line->str, peers_key))
        *peers = g_strdup (line->str + sizeof peers_key - 1);
      g_string_truncate (line, 0);
    }
  g_string_free (line, TRUE);
  return address;
}

/* Run P's program with its standard output on *OUT and its log opened with
   FLAGS.  Returns 0, or -1 with ERROR set.  */
static int
process_spawn (const load_cluster *c, load_process *p, int flags, int *out,
               GError **error)
{
  char *log_name = g_strdup_printf ("%s/%s.log", c->folder, p->name);
  int log = open (log_name, O_WRONLY | O_CREAT | O_CLOEXEC | flags, 0644);
  int status = 0;

  if (!g_spawn_async_with_pipes (
          NULL, p->argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, child_setup,
          GINT_TO_POINTER (log), &p->pid, NULL, out, NULL, error))
    {
      p->pid = 0;
      status = -1;
    }
  if (log >= 0)
    close (log);
  g_free (log_name);
  return status;
}

/* Start the program in ARGV as process NAME and wait until it listens.  */
static load_process *
cluster_start (load_cluster *c, load_role role, const char *name,
               GPtrArray *argv, GError **error)
{
  load_process *p = g_new0 (load_process, 1);
  int out;

  p->name = g_strdup (name);
  p->role = role;
  g_ptr_array_add (c->processes, p);
  g_ptr_array_add (argv, NULL);
  p->argv = g_strdupv ((char **)argv->pdata);
  if (process_spawn (c, p, O_TRUNC, &out, error) != 0)
    return NULL;
  /* OUT stays open: the child may not write to a closed pipe.  */
  p->address = read_address (out, &p->peers);
  if (p->address != NULL)
    return p;
  g_set_error (error, G_SPAWN_ERROR, G_SPAWN_ERROR_FAILED,
               "%s did not start; see %s/%s.log", name, c->folder, name);
  return NULL;
}

int
load_cluster_start_again (load_cluster *cluster, load_process *p,
                          GError **error)
{
  int out;

  p->earlier_cpu_s += p->cpu_s;
  p->cpu_s = 0;
  return process_spawn (cluster, p, O_APPEND, &out, error);
}

static void argv_add (GPtrArray *argv, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
argv_add (GPtrArray *argv, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (argv, g_strdup_vprintf (format, args));
  va_end (args);
}

static GPtrArray *
stand_argv (const load_cluster *c, const char *role)
{
  GPtrArray *argv = g_ptr_array_new_with_free_func (g_free);

  argv_add (argv, "%s/mqstand", c->binaries);
  argv_add (argv, "%s", role);
  argv_add (argv, "--listen=127.0.0.1:0");
  return argv;
}

static load_process *
start_engine (load_cluster *c, const load_engines *g, uint32_t p, uint32_t k,
              const char *platform, GError **error)
{
  const load_model *m
      = &g_array_index (c->scenario->models, load_model, g->model);
  char *name = load_engine_name (g, p, k);
  GPtrArray *argv = stand_argv (c, "engine");
  load_process *process;
  uint32_t first;
  uint32_t end;

  load_engine_layers (c->scenario, g, k, &first, &end);
  argv_add (argv, "--name=%s", name);
  argv_add (argv, "--model=%s", mq_str_cstr (m->name));
  argv_add (argv, "--version=%s", mq_str_cstr (m->version));
  argv_add (argv, "--layers=%u-%u", first, end);
  argv_add (argv, "--accelerator=%s", load_engine_accelerator (g, p));
  argv_add (argv, "--slots=%u", g->slots);
  argv_add (argv, "--step-us=%u", g->step_us);
  argv_add (argv, "--stream-us=%u", g->stream_us);
  argv_add (argv, "--prefill-us=%u", g->prefill_us);
  argv_add (argv, "--link-us=%u", g->link_us);
  argv_add (argv, "--seed=%u", p * 100 + k);
  argv_add (argv, "--weights=http://%s", platform);
  if (g->checks_fencing)
    argv_add (argv, "--fencing");
  process = cluster_start (c, LOAD_ROLE_ENGINE, name, argv, error);
  if (process != NULL)
    process->failure_domain = p % c->scenario->failure_domains->len;
  g_ptr_array_unref (argv);
  g_free (name);
  return process;
}

static int
start_engines (load_cluster *c, const char *platform, GError **error)
{
  const GArray *groups = c->scenario->engines;

  for (guint i = 0; i < groups->len; i++)
    {
      const load_engines *g = &g_array_index (groups, load_engines, i);

      for (uint32_t p = 0; p < g->pipelines; p++)
        for (uint32_t k = 0; k < g->stages; k++)
          if (start_engine (c, g, p, k, platform, error) == NULL)
            return -1;
    }
  return 0;
}

static int
start_plain (load_cluster *c, uint32_t service, uint32_t instance,
             GError **error)
{
  const load_service *v
      = &g_array_index (c->scenario->services, load_service, service);
  char *name = g_strdup_printf ("%s-%u", mq_str_cstr (v->name), instance + 1);
  GPtrArray *argv = stand_argv (c, "plain");
  load_process *p;

  argv_add (argv, "--work-us=%u", v->work_us);
  if (v->honours_keys)
    argv_add (argv, "--honours-keys");
  p = cluster_start (c, LOAD_ROLE_PLAIN, name, argv, error);
  if (p != NULL)
    {
      p->service = service;
      p->failure_domain = instance % c->scenario->failure_domains->len;
    }
  g_ptr_array_unref (argv);
  g_free (name);
  return p == NULL ? -1 : 0;
}

static int
start_plains (load_cluster *c, GError **error)
{
  for (guint i = 0; i < c->scenario->services->len; i++)
    {
      const load_service *v
          = &g_array_index (c->scenario->services, load_service, i);

      for (uint32_t n = 0; v->kind == MQ_SERVICE_PLAIN && n < v->instances;
           n++)
        if (start_plain (c, i, n, error) != 0)
          return -1;
    }
  return 0;
}

static int
start_router (load_cluster *c, uint32_t number, const char *platform,
              GError **error)
{
  uint32_t domain = number % c->scenario->failure_domains->len;
  char *name = g_strdup_printf ("router-%u", number + 1);
  char *settings
      = load_write_settings (c, name, domain, NULL, platform, error);
  GPtrArray *argv = g_ptr_array_new_with_free_func (g_free);
  load_process *p = NULL;

  if (settings != NULL)
    {
      argv_add (argv, "%s/marjoramquay", c->binaries);
      argv_add (argv, "--settings=%s", settings);
      p = cluster_start (c, LOAD_ROLE_ROUTER, name, argv, error);
    }
  if (p != NULL)
    p->failure_domain = domain;
  g_ptr_array_unref (argv);
  g_free (settings);
  g_free (name);
  return p == NULL ? -1 : 0;
}

/* Put the configuration folder in force by mqctl.  */
static int
apply_configuration (load_cluster *c, const char *platform, GError **error)
{
  char *folder = load_write_configuration (c, error);
  char *program = g_strdup_printf ("%s/mqctl", c->binaries);
  char *url = g_strdup_printf ("http://%s", platform);
  char *argv[] = { program, "--platform", url, "apply", folder, NULL };
  char *text = NULL;
  int wait = 0;
  int status = -1;

  if (folder == NULL)
    goto out;
  if (!g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL, NULL,
                     &text, &wait, error))
    goto out;
  if (!g_spawn_check_wait_status (wait, error))
    {
      g_prefix_error (error, "mqctl apply: %s: ", text);
      goto out;
    }
  status = 0;
out:
  g_free (text);
  g_free (url);
  g_free (program);
  g_free (folder);
  return status;
}

static const load_process *
cluster_platform (const load_cluster *c)
{
  return g_ptr_array_index (c->processes, 0);
}

/* Routers find one another by the list, so it names their peers' side.  */
static const char *
listed_address (const load_process *p)
{
  return p->peers != NULL ? p->peers : p->address;
}

/* Tell the platform's VM list about P.  */
static void
list_vm (load_cluster *c, const load_process *p, const char *state)
{
  char *url = g_strdup_printf ("http://%s/vms/%s",
                               cluster_platform (c)->address, p->name);
  char *body = g_strdup_printf ("{\"address\":\"%s\",\"state\":\"%s\"}",
                                listed_address (p), state);

  load_fetch (c->loop, c->client, "PUT", url, body, NULL);
  g_free (body);
  g_free (url);
}

static int
wait_ready (load_cluster *c, const load_process *p, GError **error)
{
  char *url = g_strdup_printf ("http://%s/readyz", p->address);
  unsigned status = 0;

  for (int i = 0; i < READY_TRIES && status != 200; i++)
    {
      if (i > 0)
        g_usleep (READY_PAUSE_US);
      status = load_fetch (c->loop, c->client, "GET", url, NULL, NULL);
    }
  g_free (url);
  if (status == 200)
    return 0;
  g_set_error (error, G_SPAWN_ERROR, G_SPAWN_ERROR_FAILED,
               "%s is not ready: status %u", p->name, status);
  return -1;
}

static int
start_platform (load_cluster *c, GError **error)
{
  GPtrArray *argv = stand_argv (c, "platform");
  load_process *p
      = cluster_start (c, LOAD_ROLE_PLATFORM, "platform", argv, error);

  g_ptr_array_unref (argv);
  return p == NULL ? -1 : 0;
}

int
load_cluster_init (load_cluster *cluster, const load_scenario *scenario,
                   struct ev_loop *loop, mq_http_client *client,
                   const load_cluster_options *options, GError **error)
{
  load_cluster *c = cluster;
  const char *platform;

  memset (c, 0, sizeof *c);
  c->scenario = scenario;
  c->loop = loop;
  c->client = client;
  c->folder = g_strdup (options->folder);
  c->binaries = g_strdup (options->binaries);
  c->processes = g_ptr_array_new_with_free_func (process_free);
  c->restarts = g_ptr_array_new_with_free_func (load_restart_free);
  if (start_platform (c, error) != 0)
    return -1;
  platform = cluster_platform (c)->address;
  if (start_engines (c, platform, error) != 0 || start_plains (c, error) != 0
      || apply_configuration (c, platform, error) != 0)
    return -1;
  for (uint32_t i = 0; i < scenario->routers; i++)
    if (start_router (c, i, platform, error) != 0)
      return -1;
  for (guint i = 1; i < c->processes->len; i++)
    list_vm (c, g_ptr_array_index (c->processes, i), "live");
  for (guint i = 0; i < c->processes->len; i++)
    {
      const load_process *p = g_ptr_array_index (c->processes, i);

      if (p->role == LOAD_ROLE_ROUTER && wait_ready (c, p, error) != 0)
        return -1;
    }
  return 0;
}

/* True once P has ended; its number is then given up.  */
static bool
process_reap (load_process *p)
{
  if (p->pid != 0 && waitpid (p->pid, NULL, WNOHANG) == p->pid)
    p->pid = 0;
  return p->pid == 0;
}

static bool
cluster_reap (load_cluster *c)
{
  bool all = true;

  for (guint i = 0; i < c->processes->len; i++)
    all = process_reap (g_ptr_array_index (c->processes, i)) && all;
  return all;
}

static void
cluster_signal (load_cluster *c, int number)
{
  for (guint i = 0; i < c->processes->len; i++)
    {
      const load_process *p = g_ptr_array_index (c->processes, i);

      if (p->pid != 0)
        kill (p->pid, number);
    }
}

void
load_cluster_finish (load_cluster *cluster)
{
  cluster_signal (cluster, SIGCONT);
  cluster_signal (cluster, SIGTERM);
  for (int i = 0; i < STOP_TRIES && !cluster_reap (cluster); i++)
    g_usleep (STOP_PAUSE_US);
  cluster_signal (cluster, SIGKILL);
  for (int i = 0; i < STOP_TRIES && !cluster_reap (cluster); i++)
    g_usleep (STOP_PAUSE_US);
  g_ptr_array_unref (cluster->restarts);
  g_ptr_array_unref (cluster->processes);
  g_free (cluster->folder);
  g_free (cluster->binaries);
}

static void
post_ended (void *context, const mq_http_client_event *event)
{
  (void)context;
  (void)event;
}

/* POST or PUT BODY without waiting for the answer.  */
static void
send_body (load_cluster *c, const char *method, char *url, const char *body)
{
  mq_http_call_options o = { .method = mq_span_from (method),
                             .url = mq_span_from (url),
                             .body = mq_span_from (body),
                             .timeout_ms = 2000 };

  mq_http_client_start (c->client, &o, post_ended, NULL);
  g_free (url);
}

static void
strike_process (load_cluster *c, load_process *p, const load_fault *fault)
{
  char *body;

  switch (fault->kind)
    {
    case LOAD_FAULT_POST:
      send_body (c, "POST", g_strdup_printf ("http://%s/fault", p->address),
                 mq_str_cstr (fault->body));
      return;
    case LOAD_FAULT_SIGNAL:
      if (p->pid != 0)
        kill (p->pid, fault->signal);
      return;
    case LOAD_FAULT_LEAVE:
      body = g_strdup_printf ("{\"address\":\"%s\",\"state\":\"leaving\"}",
                              listed_address (p));
      send_body (c, "PUT",
                 g_strdup_printf ("http://%s/vms/%s",
                                  cluster_platform (c)->address, p->name),
                 body);
      g_free (body);
      return;
    case LOAD_FAULT_RESTART:
      load_restart_begin (c, p);
      return;
    }
}

unsigned
load_cluster_strike (load_cluster *cluster, const load_fault *fault)
{
  unsigned n = 0;

  for (guint i = 0; i < cluster->processes->len; i++)
    {
      load_process *p = g_ptr_array_index (cluster->processes, i);

      if (!g_pattern_match_simple (mq_str_cstr (fault->target), p->name))
        continue;
      strike_process (cluster, p, fault);
      n++;
    }
  return n;
}

/* The number in field N, counted from 1, of a /proc/PID/stat line; fields
   are counted behind the program's name, which may hold blanks.  */
static double
stat_field (const char *text, int n)
{
  const char *at = strrchr (text, ')');

  for (int i = 2; at != NULL && i < n; i++)
    {
      at = strchr (at + 1, ' ');
      if (at == NULL)
        return 0;
    }
  return at == NULL ? 0 : g_ascii_strtod (at, NULL);
}

static void
process_measure (load_process *p)
{
  char *path = g_strdup_printf ("/proc/%d/stat", p->pid);
  char *text = NULL;

  if (p->pid != 0 && g_file_get_contents (path, &text, NULL, NULL))
    {
      p->cpu_s = (stat_field (text, 14) + stat_field (text, 15))
                 / (double)sysconf (_SC_CLK_TCK);
      p->rss_bytes
          = (uint64_t)stat_field (text, 24) * (uint64_t)sysconf (_SC_PAGESIZE);
    }
  g_free (text);
  g_free (path);
}

void
load_cluster_measure (load_cluster *cluster)
{
  for (guint i = 0; i < cluster->processes->len; i++)
    process_measure (g_ptr_array_index (cluster->processes, i));
}

char *
load_token (const load_organisation *organisation)
{
  return g_strdup_printf ("bench-token-of-%s",
                          mq_str_cstr (organisation->name));
}
