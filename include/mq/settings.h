/* The settings of one router process: JSON with comments, read once at the
   start (docs/SETTINGS.md).

   Settings say what differs from VM to VM; all that the fleet shares is
   configuration (mq/config.h).  Invariant: settings that loaded without an
   error hold possible values only, and every path in them was readable as
   text (the files themselves are read by those who use them).  */

#ifndef MQ_SETTINGS_H
#define MQ_SETTINGS_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_settings_error
{
  MQ_SETTINGS_ERROR_READ,   /* The file can't be read or is not JSON.  */
  MQ_SETTINGS_ERROR_INVALID /* Unknown key, wrong type, impossible value. */
} mq_settings_error;

#define MQ_SETTINGS_ERROR (mq_settings_error_quark ())
GQuark mq_settings_error_quark (void);

/* Where to listen.  */
typedef struct mq_listen
{
  mq_str *address; /* IP number.  */
  uint16_t port;   /* 0 lets the system choose.  */
} mq_listen;

typedef struct mq_settings
{
  mq_str *name; /* Of the VM, unique in the fleet.  */
  mq_str *region;
  mq_str *failure_domain;
  mq_listen callers;
  mq_listen peers;
  mq_str *advertised; /* IP number under which others reach this VM.  */
  mq_str *platform_url;
  mq_str *log_level;
  /* Limits.  */
  size_t body_bytes; /* Of a caller's request, and of a plain reply.  */
  uint32_t requests; /* In flight in this process.  */
  uint32_t idle_s;   /* Until a half-sent request is cut.  */
  /* Keys; each path may be NULL.  */
  mq_str *tls_certificate;
  mq_str *tls_key;
  mq_str *tls_ca;          /* Against which https upstreams are checked.  */
  mq_str *peers_key_file;  /* This router's own CURVE key pair.  */
  mq_str *peers_ring_file; /* Public keys that peers may have.  */
  mq_str *operator_token_sha256; /* Hex digest; NULL: no orders by HTTP.  */
} mq_settings;

/* Values from the command line; NULL or -1 where there is none.  */
typedef struct mq_settings_overrides
{
  const char *address; /* Of the callers' side.  */
  int port;
  const char *log_level;
  const char *platform_url;
} mq_settings_overrides;

/* Fill SETTINGS, which is not initialised, from the file at PATH.  Returns
   0; or -1 with ERROR set to one line a fault (file, line, path and what was
   expected), and SETTINGS is as after mq_settings_finish.  OVERRIDES may be
   NULL.  */
int mq_settings_load (mq_settings *settings, const char *path,
                      const mq_settings_overrides *overrides, GError **error);

/* The same from TEXT, called FILE in messages.  */
int mq_settings_parse (mq_settings *settings, mq_span file, mq_span text,
                       const mq_settings_overrides *overrides, GError **error);

/* Give up what SETTINGS holds.  */
void mq_settings_finish (mq_settings *settings);

G_END_DECLS

#endif
