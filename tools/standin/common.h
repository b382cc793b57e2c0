/* What the roles of the stand-in program share: listening, JSON bodies,
   one-shot timers.  Internal to tools/standin.  */

#ifndef MQ_STANDIN_COMMON_H
#define MQ_STANDIN_COMMON_H

#include <json-c/json.h>
#include <mq/http_server.h>

G_BEGIN_DECLS

/* Listen on LISTEN ("IP:PORT", port 0 lets the system choose), report to
   SINK and print `listening=IP:PORT' on standard output.  NULL with ERROR
   set when that can't be done.  */
mq_http_server *mq_standin_listen (struct ev_loop *loop, const char *listen,
                                   mq_http_server_sink sink, void *context,
                                   GError **error);

/* Answer with JSON, whose reference is stolen.  */
void mq_standin_reply_json (mq_http_exchange *exchange, unsigned status,
                            json_object *json);

/* Answer with a status and no body.  */
void mq_standin_reply_empty (mq_http_exchange *exchange, unsigned status);

/* TEXT as JSON, a new reference, or NULL when it is none or no object.  */
json_object *mq_standin_parse_json (mq_span text);

/* The member KEY of the object JSON; FALLBACK when it is missing.  A string
   is borrowed from JSON.  */
int64_t mq_standin_get_int (json_object *json, const char *key,
                            int64_t fallback);
double mq_standin_get_double (json_object *json, const char *key,
                              double fallback);
bool mq_standin_get_bool (json_object *json, const char *key, bool fallback);
mq_span mq_standin_get_string (json_object *json, const char *key);

/* Add a member; the value is copied.  */
void mq_standin_add_int (json_object *json, const char *key, int64_t value);
void mq_standin_add_string (json_object *json, const char *key, mq_span value);

/* The query argument NAME as a number; FALLBACK when missing or malformed. */
uint64_t mq_standin_get_query (const mq_http_exchange *exchange,
                               const char *name, uint64_t fallback);

typedef void (*mq_standin_callback) (void *context);

/* Call CALLBACK once after DELAY_US.  */
void mq_standin_call_after (struct ev_loop *loop, uint64_t delay_us,
                            mq_standin_callback callback, void *context);

/* Monotonic time in microseconds.  */
uint64_t mq_standin_now_us (void);

/* The roles.  Each parses its own options, runs until SIGTERM or SIGINT and
   returns the program's exit status.  */
int mq_platform_main (int argc, char **argv);
int mq_engine_main (int argc, char **argv);
int mq_plain_main (int argc, char **argv);
/* Prints one answer and ends at once.  */
int mq_reference_main (int argc, char **argv);

/* Parse ARGV by ENTRIES.  Returns 0, or -1 after printing what is wrong.  */
int mq_standin_parse_options (int *argc, char ***argv, const char *role,
                              const GOptionEntry *entries);

/* Run LOOP until SIGTERM or SIGINT.  */
void mq_standin_run (struct ev_loop *loop);

G_END_DECLS

#endif
