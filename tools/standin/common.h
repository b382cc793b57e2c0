/* Helpers shared by the roles of mqstand: listening, JSON bodies, query
   arguments, one-shot timers, options and the main loop.  Internal to
   tools/standin.  */

#ifndef MQ_STANDIN_COMMON_H
#define MQ_STANDIN_COMMON_H

#include <json-c/json.h>
#include <mq/http_server.h>

G_BEGIN_DECLS

/* Duration of a slow fault that gives no slow_for_ms.  */
#define MQ_STANDIN_DEFAULT_SLOW_MS 60000

/* Listen on LISTEN, "IP:PORT", where port 0 lets the system choose, and
   print `listening=IP:PORT' with the actual port on standard output.  Events
   go to SINK with CONTEXT.  Returns a new server, or NULL with ERROR set when
   LISTEN is malformed or the address can't be bound.  */
mq_http_server *mq_standin_listen (struct ev_loop *loop, const char *listen,
                                   mq_http_server_sink sink, void *context,
                                   GError **error);

/* Send a response with JSON as its body.  Takes over the reference to JSON. */
void mq_standin_reply_json (mq_http_exchange *exchange, unsigned status,
                            json_object *json);

/* Send a response without a body.  */
void mq_standin_reply_empty (mq_http_exchange *exchange, unsigned status);

/* Parse TEXT.  Returns a new reference, or NULL when TEXT is not a JSON
   object.  */
json_object *mq_standin_parse_json (mq_span text);

/* Return the member KEY of the object JSON.  JSON may be NULL.  A missing
   member, and for int and string one of another type, gives FALLBACK or an
   empty span.  A string is borrowed from JSON.  */
int64_t mq_standin_get_int (json_object *json, const char *key,
                            int64_t fallback);
double mq_standin_get_double (json_object *json, const char *key,
                              double fallback);
bool mq_standin_get_bool (json_object *json, const char *key, bool fallback);
mq_span mq_standin_get_string (json_object *json, const char *key);

/* Add the member KEY to the object JSON.  VALUE is copied.  */
void mq_standin_add_int (json_object *json, const char *key, int64_t value);
void mq_standin_add_string (json_object *json, const char *key, mq_span value);

/* Return the query argument NAME as a number, or FALLBACK when it is missing
   or malformed.  */
uint64_t mq_standin_get_query (const mq_http_exchange *exchange,
                               const char *name, uint64_t fallback);

typedef void (*mq_standin_callback) (void *context);

/* Call CALLBACK with CONTEXT once, after DELAY_US.  Can't be cancelled.  */
void mq_standin_call_after (struct ev_loop *loop, uint64_t delay_us,
                            mq_standin_callback callback, void *context);

/* Return the monotonic time in microseconds.  */
uint64_t mq_standin_now_us (void);

/* The roles.  Each parses its own options and returns the exit status of the
   program.  The servers run until SIGTERM or SIGINT.  */
int mq_platform_main (int argc, char **argv);
int mq_engine_main (int argc, char **argv);
int mq_plain_main (int argc, char **argv);
/* Prints one answer and returns.  */
int mq_reference_main (int argc, char **argv);

/* Parse ARGV according to ENTRIES; ROLE is shown in the help text.  Returns 0,
   or -1 after printing an error to standard error.  */
int mq_standin_parse_options (int *argc, char ***argv, const char *role,
                              const GOptionEntry *entries);

/* Run LOOP until SIGTERM or SIGINT.  SIGPIPE is ignored from then on.  */
void mq_standin_run (struct ev_loop *loop);

G_END_DECLS

#endif
