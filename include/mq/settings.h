/* Settings of a router in native mode: JSON with comments, read once at the
   start (docs/SETTINGS.md).

   Settings hold what differs between VMs; what the fleet shares is in the
   configuration (mq/config.h).  Invariant: settings that were loaded without
   an error hold valid values.  Files that they name are not opened here but
   by the modules that use them.  */

#ifndef MQ_SETTINGS_H
#define MQ_SETTINGS_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_settings_error
{
  MQ_SETTINGS_ERROR_READ,   /* The file can't be read or is not JSON.  */
  MQ_SETTINGS_ERROR_INVALID /* Unknown key, wrong type, invalid value.  */
} mq_settings_error;

#define MQ_SETTINGS_ERROR (mq_settings_error_quark ())
GQuark mq_settings_error_quark (void);

/* An address to listen on.  */
typedef struct mq_listen
{
  mq_str *address; /* Numeric IP address.  */
  uint16_t port;   /* 0: the system chooses one.  */
} mq_listen;

typedef struct mq_settings
{
  mq_str *name; /* Of the VM; unique in the fleet.  */
  mq_str *region;
  mq_str *failure_domain;
  mq_listen callers;
  mq_listen peers;
  mq_str *advertised; /* Numeric IP address that others use for this VM.  */
  mq_str *platform_url;
  mq_str *log_level;
  /* Limits.  */
  size_t body_bytes; /* Of a request and of a plain service's response.  */
  size_t memory;     /* Of the process; 0: as much as the machine has.  */
  uint32_t requests; /* In flight in this process.  */
  uint32_t idle_s;   /* Timeout of an incomplete request.  */
  /* Paths of key files; each may be NULL.  */
  mq_str *tls_certificate;
  mq_str *tls_key;
  mq_str *tls_ca;          /* Authorities that verify https upstreams.  */
  mq_str *peers_key_file;  /* CURVE key pair of this router.  */
  mq_str *peers_ring_file; /* Public keys that peers may use.  */
  mq_str *operator_token_sha256; /* In hex; NULL: no operator requests.  */
} mq_settings;

/* Values from the command line; NULL, or -1 for the port, if not given.  */
typedef struct mq_settings_overrides
{
  const char *address; /* Of the listener for callers.  */
  int port;
  const char *log_level;
  const char *platform_url;
} mq_settings_overrides;

/* Fill SETTINGS, which need not be initialised, from the file at PATH and then
   from OVERRIDES, which may be NULL.  Returns 0, or -1 with ERROR set, whose
   message has a line for each fault (file, line, path and what was expected);
   SETTINGS is then as after mq_settings_finish.  */
int mq_settings_load (mq_settings *settings, const char *path,
                      const mq_settings_overrides *overrides, GError **error);

/* Fill SETTINGS likewise from TEXT; FILE is its name in messages.  */
int mq_settings_parse (mq_settings *settings, mq_span file, mq_span text,
                       const mq_settings_overrides *overrides, GError **error);

/* Release what SETTINGS owns and set it to zeros.  */
void mq_settings_finish (mq_settings *settings);

G_END_DECLS

#endif
