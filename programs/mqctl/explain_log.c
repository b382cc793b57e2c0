/* mqctl explain ID --log FILE...: the trace of a request from the logs of
   routers.

   A file is the log of one VM, or of several VMs whose lines a collector has
   prefixed; the last word of the prefix then names the VM.  The trace consists
   of the lines that name the request and of related lines: about the upstreams
   to which it was sent, and about the configuration and the store on its
   router.  Lines are sorted by their times; the clocks of VMs differ, so the
   order of lines of different VMs is only right to within a few ms at
   best.  */

#include "ctl.h"

#include <mq/json.h>
#include <stdio.h>
#include <string.h>

#define STAMP "time="
#define STAMP_CHARS 24 /* 2026-12-02T17:39:46.123Z  */

/* Related lines are selected this long before and after the request.  */
#define BEFORE_S 5.0
#define AFTER_S 1.0

/* A line of a log.  Its spans borrow the texts of the files.  */
typedef struct trace_line
{
  mq_span vm;   /* Empty if the line has no prefix.  */
  mq_span text; /* Without the prefix.  */
  double time_s;
  guint number; /* Sorts lines of the same time.  */
} trace_line;

typedef struct trace
{
  GPtrArray *texts;      /* of char *: the files, owned.  */
  GArray *lines;         /* of trace_line: all lines.  */
  GArray *selected;      /* of trace_line: the lines to print.  */
  GHashTable *upstreams; /* Set of char *: where the request was sent.  */
  mq_span vm;            /* The VM that served the request.  */
  double first_s;
  double last_s;
  mq_span end; /* The last line of the request.  */
} trace;

/* Explanation of a why= value, for which a request or a send ended.  */
typedef struct reason
{
  const char *why;
  const char *meaning;
  const char *advice;
} reason;

static const reason reasons[] = {
  { "whole", "the response was forwarded completely", "nothing" },
  { "no-room",
    "no failure domain had a complete path of engines with memory for it",
    "compare room and used in the request.send lines of that time: if all are "
    "full, the load exceeds the memory of the engines; if a domain is "
    "missing, its path is under repair (order.sent, upstream.stalled)" },
  { "no-budget", "the retry budget of the fleet was used up",
    "compare sends with requests in the metrics; find out why sends fail" },
  { "limited",
    "no upstream could take it; at least one has a limit, of which this "
    "router's share was used up",
    "upstream.limit shows the limits; find out what these upstreams lack" },
  { "resting",
    "no upstream could take it; at least one had rejected a request of this "
    "router and asked it to send nothing for a while",
    "upstream.rest shows for how long; find out why they reject requests" },
  { "not-known-yet",
    "the router had just started and its list of upstreams held none that "
    "could serve the service",
    "view.state shows what it knew and since when; after a power failure "
    "upstreams register again within two seconds" },
  { "no-configuration", "the router had not received any configuration yet",
    "check by store.lost and member.heard if it reaches the store or peers" },
  { "quarantined",
    "at least three upstreams crashed while running requests of its content, "
    "or "
    "with a part of its prompt",
    "request.quarantined names the content= or part=, and request.suspected "
    "the "
    "upstreams; fix the cause of the crashes; the quarantine expires by "
    "itself "
    "(quarantine_ms)" },
  { "kept-apart",
    "the same upstreams crashed while running it and other requests, and all "
    "upstreams were left to these for the moment",
    "request.suspected names the upstreams, by its content=; the next crash "
    "tells which request is the cause" },
  { "no-route", "no route of the configuration in force matches it",
    "compare version with the latest configuration, and check store_age_ms" },
  { "unknown-key", "no organisation in that version has its key",
    "compare version with the one that added or removed the key" },
  { "body-too-large", "the body exceeds the configured limit", "nothing" },
  { "no-memory",
    "the router held as much for clients as its memory allows, and closed "
    "what held most for longest",
    "http.evicted and marjoramquay_held_bytes show how much; look for clients "
    "that do not finish their requests, or raise memory_mb" },
  { "draining", "the router was shutting down",
    "nothing: other routers serve" },
  { "deadline", "the deadline of the client or of the route had passed",
    "check what its sends waited for" },
  { "no-service", "the route's shares are all zero", "fix the route" },
  { "client-left", "the client closed its connection",
    "check first_ms and gap_ms: clients leave after 2 s without data" },
  { "stalled",
    "an engine of its path was dead or unreachable, as the head of the path "
    "reported",
    "upstream.stalled names the engine" },
  { "no-report", "the head of its path did not respond", "check the engine" },
  { "silent", "its path sent nothing for 1.4 s and no engine was reported",
    "check upstream.report: waiting means that memory is short" },
  { "slow", "the upstream took more than twice the target latency",
    "check the upstream" },
  { "broken",
    "the connection to the upstream broke, or its response was malformed",
    "check the upstream" },
  { "not-run", "the upstream reported that it did not run the request",
    "upstream.blamed names the engine at fault, if it was another" },
  { "error", "the upstream returned an error of its own",
    "check the upstream's log" },
  { "timeout", "the upstream did not respond in time", "check the upstream" },
  { "no-connection", "no connection to the upstream could be made",
    "check the network to it" },
  { "unsigned", "a successful response had no signature",
    "check the upstream" },
  { "half-event", "the stream ended in the middle of an event",
    "check the upstream" },
  { "no-event",
    "the stream had no event, and no length or chunks that tell its end",
    "check the upstream: it may have crashed" },
  { "wrong-event", "an event was duplicate or missing", "check the upstream" },
};

/* Returns the value of KEY in TEXT up to the next space, with its quotes if it
   has any; the empty span if it is missing.  */
static mq_span
line_value (mq_span text, const char *key)
{
  size_t n = strlen (key);
  const char *end = text.data + text.size;

  for (const char *at = text.data; at + n < end; at++)
    {
      const char *stop;

      if ((at != text.data && at[-1] != ' ') || strncmp (at, key, n) != 0
          || at[n] != '=')
        continue;
      at += n + 1;
      stop = memchr (at, ' ', (size_t)(end - at));
      return (mq_span){ at, (size_t)((stop ? stop : end) - at) };
    }
  return (mq_span){ "", 0 };
}

static double
stamp_to_seconds (const char *stamp)
{
  char *text = g_strndup (stamp, STAMP_CHARS);
  GDateTime *t = g_date_time_new_from_iso8601 (text, NULL);
  double s = 0;

  if (t != NULL)
    {
      s = (double)g_date_time_to_unix (t)
          + g_date_time_get_microsecond (t) / 1e6;
      g_date_time_unref (t);
    }
  g_free (text);
  return s;
}

/* Returns the last word of LINE before STAMP, which is in LINE.  */
static mq_span
prefix_vm (const char *line, const char *stamp)
{
  const char *end = stamp;
  const char *start;

  while (end > line && end[-1] == ' ')
    end--;
  start = end;
  while (start > line && start[-1] != ' ')
    start--;
  return (mq_span){ start, (size_t)(end - start) };
}

static void
trace_add_line (trace *trace, const char *line, size_t size)
{
  const char *stamp = g_strstr_len (line, (gssize)size, STAMP);
  trace_line l;

  if (stamp == NULL || size - (size_t)(stamp - line) < STAMP_CHARS + 5)
    return;
  l = (trace_line){ prefix_vm (line, stamp),
                    { stamp, size - (size_t)(stamp - line) },
                    stamp_to_seconds (stamp + strlen (STAMP)),
                    trace->lines->len };
  g_array_append_val (trace->lines, l);
}

static int
trace_read (trace *trace, const char *path)
{
  char *text;
  gsize size;
  GError *error = NULL;

  if (!g_file_get_contents (path, &text, &size, &error))
    {
      ctl_print_error ("%s", error->message);
      g_error_free (error);
      return -1;
    }
  g_ptr_array_add (trace->texts, text);
  for (char *at = text; at < text + size;)
    {
      char *end = memchr (at, '\n', (size_t)(text + size - at));
      size_t n = (size_t)((end ? end : text + size) - at);

      trace_add_line (trace, at, n);
      at += n + 1;
    }
  return 0;
}

static int
line_compare (gconstpointer a, gconstpointer b)
{
  const trace_line *x = a;
  const trace_line *y = b;

  if (x->time_s != y->time_s)
    return x->time_s < y->time_s ? -1 : 1;
  return x->number < y->number ? -1 : x->number > y->number;
}

/* Select the lines that name the request ID.  Returns their number.  */
static guint
trace_find (trace *trace, mq_span id)
{
  guint n = 0;

  for (guint i = 0; i < trace->lines->len; i++)
    {
      const trace_line *l = &g_array_index (trace->lines, trace_line, i);
      mq_span upstream;

      if (!mq_span_equal (line_value (l->text, "request"), id))
        continue;
      if (n++ == 0)
        trace->first_s = l->time_s;
      trace->last_s = l->time_s;
      trace->vm = l->vm;
      trace->end = l->text;
      g_array_append_val (trace->selected, *l);
      upstream = line_value (l->text, "upstream");
      if (upstream.size > 0)
        g_hash_table_add (trace->upstreams,
                          g_strndup (upstream.data, upstream.size));
    }
  return n;
}

/* Returns true if LINE, which must not name a request, is close in time to the
   traced request and is about a stalled upstream, an upstream of the request,
   or the configuration, the store or the router of its VM.  */
static bool
trace_is_related (const trace *trace, const trace_line *line)
{
  mq_span event = line_value (line->text, "event");
  mq_span upstream = line_value (line->text, "upstream");
  char *id;
  bool is_related;

  if (line->time_s < trace->first_s - BEFORE_S
      || line->time_s > trace->last_s + AFTER_S
      || mq_span_starts_with (event, MQ_SPAN ("request."))
      || line_value (line->text, "request").size > 0)
    return false;
  if (mq_span_starts_with (event, MQ_SPAN ("store."))
      || mq_span_starts_with (event, MQ_SPAN ("configuration."))
      || mq_span_starts_with (event, MQ_SPAN ("router.")))
    return mq_span_equal (line->vm, trace->vm);
  if (mq_span_equal (event, MQ_SPAN ("upstream.stalled")))
    return true;
  id = g_strndup (upstream.data, upstream.size);
  is_related = g_hash_table_contains (trace->upstreams, id)
               && mq_span_equal (line->vm, trace->vm);
  g_free (id);
  return is_related;
}

static void
trace_add_related (trace *trace)
{
  for (guint i = 0; i < trace->lines->len; i++)
    {
      const trace_line *l = &g_array_index (trace->lines, trace_line, i);

      if (trace_is_related (trace, l))
        g_array_append_val (trace->selected, *l);
    }
  g_array_sort (trace->selected, line_compare);
}

static void
trace_print (const trace *trace, mq_span id)
{
  mq_span why = line_value (trace->end, "why");

  for (guint i = 0; i < trace->selected->len; i++)
    {
      const trace_line *l = &g_array_index (trace->selected, trace_line, i);
      mq_span text = { l->text.data + strlen (STAMP) + STAMP_CHARS + 1,
                       l->text.size - strlen (STAMP) - STAMP_CHARS - 1 };
      bool own = mq_span_equal (line_value (l->text, "request"), id);

      (void)printf ("%s %+9.0f ms  %-22.*s %.*s\n", own ? "*" : " ",
                    (l->time_s - trace->first_s) * 1000, MQ_SPAN_ARG (l->vm),
                    MQ_SPAN_ARG (text));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (mq_span_equal (why, mq_span_from (reasons[i].why)))
      (void)printf ("\nWhy: %s.\nWhat to do: %s.\n", reasons[i].meaning,
                    reasons[i].advice);
}

static void
trace_init (trace *trace)
{
  memset (trace, 0, sizeof *trace);
  trace->texts = g_ptr_array_new_with_free_func (g_free);
  trace->lines = g_array_new (FALSE, FALSE, sizeof (trace_line));
  trace->selected = g_array_new (FALSE, FALSE, sizeof (trace_line));
  trace->upstreams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
trace_finish (trace *trace)
{
  g_ptr_array_unref (trace->texts);
  g_array_unref (trace->lines);
  g_array_unref (trace->selected);
  g_hash_table_unref (trace->upstreams);
}

int
ctl_explain_log (ctl *c, const char *id)
{
  trace s;
  mq_span wanted = mq_span_from (id);
  int status = CTL_USAGE;

  trace_init (&s);
  for (char **path = c->options.logs; *path != NULL; path++)
    if (trace_read (&s, *path) < 0)
      goto out;
  if (trace_find (&s, wanted) == 0)
    {
      ctl_print_error ("no line of these logs names request %s; successful "
                       "requests are sampled under load (log.left-out)",
                       id);
      status = CTL_CONFLICT;
      goto out;
    }
  trace_add_related (&s);
  trace_print (&s, wanted);
  status = CTL_OK;
out:
  trace_finish (&s);
  return status;
}
