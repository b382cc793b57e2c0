/* Shared by all verbs of mqctl: the options, the exit codes, and blocking
   calls of the platform and of routers.

   Internal to this program, which does one thing at a time.  Each call runs
   the event loop until its reply has arrived or it has timed out.  */

#ifndef MQ_CTL_H
#define MQ_CTL_H

#include <ev.h>
#include <glib.h>
#include <json-c/json.h>
#include <mq/http_client.h>
#include <mq/manifest.h>
#include <mq/platform.h>

/* Exit codes; the manual page lists them.  */
typedef enum ctl_exit
{
  CTL_OK = 0,
  CTL_INVALID = 1,     /* A file or the merged configuration is invalid.  */
  CTL_USAGE = 2,       /* The command line is invalid.  */
  CTL_CONFLICT = 3,    /* Another operator's change conflicts, or nothing
                          has the given name.  */
  CTL_UNAVAILABLE = 4, /* No reply; nothing was changed.  */
  CTL_UNKNOWN = 5,     /* No reply; the change may have been committed.  */
  CTL_LAGGING = 6      /* Committed, but not in force on all routers in
                          time.  */
} ctl_exit;

typedef struct ctl_options
{
  char *platform;
  char **routers;
  char **logs; /* Log files of routers, for explain.  */
  char *token; /* Bearer token for routers.  */
  char *who;
  char *why;
  gint64 base;  /* Generation; 0: none.  */
  gint64 above; /* Generation; 0: none.  */
  double timeout_s;
  double hours; /* Period that log shows; 0: all.  */
  gboolean json;
  gboolean prune;
  gboolean wait;
  gboolean version;
} ctl_options;

typedef struct ctl
{
  ctl_options options;
  struct ev_loop *loop;
  mq_http_client *http;
  mq_platform *platform; /* NULL until ctl_require_platform.  */
  GHashTable *texts;     /* Cache of fetched files: digest to mq_str.  */
} ctl;

/* The response of a router.  */
typedef struct ctl_response
{
  mq_http_result result;
  unsigned status; /* HTTP status; 0 without a response.  */
  mq_str *body;
} ctl_response;

/* Make the event loop and the HTTP client of C, whose options are set.  */
void ctl_init (ctl *c);
void ctl_finish (ctl *c);

/* Print the line "mqctl: ..." on standard error.  */
void ctl_print_error (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Make the platform client unless it exists.  Returns 0, or -1 with an error
   printed if no address was given.  */
int ctl_require_platform (ctl *c);

/* Operations on an object of the platform (mq/platform.h).  Writes are
   conditional: ctl_create on the absence of NAME, ctl_put and ctl_delete on
   VERSION.  ctl_get sets *VERSION, unless VERSION is NULL, and sets *VALUE to
   a new reference, or to NULL if the result is not MQ_PLATFORM_OK.  */
mq_platform_result ctl_get (ctl *c, mq_span name, uint64_t *version,
                            mq_str **value);
mq_platform_result ctl_create (ctl *c, mq_span name, mq_span value);
mq_platform_result ctl_put (ctl *c, mq_span name, uint64_t version,
                            mq_span value);
mq_platform_result ctl_delete (ctl *c, mq_span name, uint64_t version);
/* Returns the sorted names of the objects that begin with PREFIX: a new
   GPtrArray of mq_str that owns its elements; NULL if they can't be listed. */
GPtrArray *ctl_list (ctl *c, const char *prefix);
/* Run the event loop for US microseconds, or until WHEN_US on the clock of
   ctl_now_us.  */
void ctl_sleep (ctl *c, uint64_t us);
void ctl_sleep_until (ctl *c, uint64_t when_us);
/* Returns the monotonic time in microseconds.  */
uint64_t ctl_now_us (const ctl *c);

/* Send a request to the router at BASE, http://IP:PORT, and wait for the
   response; release it with ctl_response_finish.  */
ctl_response ctl_send_request (ctl *c, const char *method, const char *base,
                               const char *path);
void ctl_response_finish (ctl_response *response);

/* Read the manifest of the configuration into MANIFEST, which need not be
   initialised; it is empty if the platform has none.  Returns CTL_OK, or
   another exit code with an error printed.  */
ctl_exit ctl_read_manifest (ctl *c, mq_manifest *manifest);
/* Append to CHANGES (of mq_change_record) all recorded changes, oldest first,
   and add the number of archives that could not be read to *MISSING.  Returns
   as ctl_read_manifest does.  */
ctl_exit ctl_read_history (ctl *c, GArray *changes, guint *missing);
/* Returns a new JSON object that describes RECORD.  */
struct json_object *ctl_change_json (const mq_change_record *record);
/* Returns a new set of the files that MANIFEST lists, or NULL if one can't be
   fetched.  A file in LOCAL, which may be NULL, with the same name and digest
   is used instead of fetching it.  */
GArray *ctl_fetch_files (ctl *c, const mq_manifest *manifest,
                         const GArray *local);

/* The verbs.  Each gets its operands and returns an exit code.  */
typedef int (*ctl_verb) (ctl *c, int argc, char **argv);

int ctl_check (ctl *c, int argc, char **argv);
int ctl_apply (ctl *c, int argc, char **argv);
int ctl_drop (ctl *c, int argc, char **argv);
int ctl_take (ctl *c, int argc, char **argv);
int ctl_files (ctl *c, int argc, char **argv);
int ctl_show (ctl *c, int argc, char **argv);
int ctl_log (ctl *c, int argc, char **argv);
int ctl_status (ctl *c, int argc, char **argv);
int ctl_explain (ctl *c, int argc, char **argv);
int ctl_entries (ctl *c, int argc, char **argv);
int ctl_drain (ctl *c, int argc, char **argv);
int ctl_keys (ctl *c, int argc, char **argv);

/* Print a trace of the request ID from the log files that the options name.
   Returns an exit code.  */
int ctl_explain_log (ctl *c, const char *id);

/* Wait until GENERATION is in force on every router, or print which routers
   lag when the timeout has passed.  Returns an exit code.  */
int ctl_wait (ctl *c, uint64_t generation);

#endif
