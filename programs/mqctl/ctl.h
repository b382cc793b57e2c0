/* What all verbs of mqctl share: the options, the exit codes, and calls on
   the platform and the routers that wait for their answer.

   Internal to this program, which does one thing at a time; so each call
   runs the loop until its own answer is there.  */

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
  CTL_INVALID = 1,     /* A file or the whole configuration is wrong.  */
  CTL_USAGE = 2,       /* The command line is wrong.  */
  CTL_CONFLICT = 3,    /* Another operator's change stands against it, or
                          there is nothing of that name.  */
  CTL_UNAVAILABLE = 4, /* No answer; nothing was changed.  */
  CTL_UNKNOWN = 5,     /* No answer; the change may have landed.  */
  CTL_LAGGING = 6      /* Landed, but not in force everywhere in time.  */
} ctl_exit;

typedef struct ctl_options
{
  char *platform;
  char **routers;
  char **logs; /* Files of routers' logs, for explain.  */
  char *token;
  char *who;
  char *why;
  gint64 base;
  gint64 above;
  double timeout_s;
  double hours; /* For the log; 0: all.  */
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
  GHashTable *texts;     /* Digest to mq_str: files fetched so far.  */
} ctl;

/* One router's answer.  */
typedef struct ctl_response
{
  mq_http_result result;
  unsigned status;
  mq_str *body;
} ctl_response;

void ctl_init (ctl *c);
void ctl_finish (ctl *c);

/* Print one line "mqctl: ..." on standard error.  */
void ctl_print_error (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Make the platform's client ready.  Returns 0, or -1 after complaining that
   no address was given.  */
int ctl_require_platform (ctl *c);

/* Read an object; on OK a new reference in *VALUE.  */
mq_platform_result ctl_get (ctl *c, mq_span name, uint64_t *version,
                            mq_str **value);
mq_platform_result ctl_create (ctl *c, mq_span name, mq_span value);
mq_platform_result ctl_put (ctl *c, mq_span name, uint64_t version,
                            mq_span value);
mq_platform_result ctl_delete (ctl *c, mq_span name, uint64_t version);
/* The names that begin with PREFIX, sorted: a GPtrArray of mq_str, whose
   elements are released with it; NULL when there is no answer.  */
GPtrArray *ctl_list (ctl *c, const char *prefix);
/* Run the loop for so long, or until that moment.  */
void ctl_sleep (ctl *c, uint64_t us);
void ctl_sleep_until (ctl *c, uint64_t when_us);
uint64_t ctl_now_us (const ctl *c);

/* Ask the router at BASE, http://IP:PORT.  */
ctl_response ctl_send_request (ctl *c, const char *method, const char *base,
                               const char *path);
void ctl_response_finish (ctl_response *answer);

/* Read the manifest; the empty one where there is none.  Returns 0, or an
   exit code after complaining.  */
ctl_exit ctl_read_manifest (ctl *c, mq_manifest *manifest);
/* Append to CHANGES (of mq_change_record) all changes that are still known,
   oldest first; add to *MISSING the archives that did not come.  */
ctl_exit ctl_read_history (ctl *c, GArray *changes, guint *missing);
/* RECORD as JSON; new.  */
struct json_object *ctl_change_json (const mq_change_record *record);
/* Fetch the files that MANIFEST lists, but for those in LOCAL (may be NULL)
   that have the same digest.  A new set, or NULL when one did not come.  */
GArray *ctl_fetch_files (ctl *c, const mq_manifest *manifest,
                         const GArray *local);

/* The verbs; each gets its operands and returns an exit code.  */
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

/* Explain the request ID out of the logs that the options name.  */
int ctl_explain_log (ctl *c, const char *id);

/* Wait until every router holds GENERATION; names who lags.  */
int ctl_wait (ctl *c, uint64_t generation);

#endif
