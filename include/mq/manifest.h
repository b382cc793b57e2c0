/* The manifest: the one object that says which configuration is in force.

   It lists the files by name and digest, a generation that grows by one with
   each change, and the last changes with who made them and why.  The files'
   texts are objects of their own, named by digest, so that they never change.

   Invariants:
   - files are sorted by name, each name once;
   - the change list is in order of generation, holds every change from its
     first one on, and its last one made the manifest's generation;
   - the encoded form stays below the platform's size for a value: old changes
     leave the list once they are archived, and a change that would not fit
     is refused.

   Pure: times are passed in.  */

#ifndef MQ_MANIFEST_H
#define MQ_MANIFEST_H

#include <glib.h>
#include <mq/files.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* The object that holds the manifest, and what the names of the others begin
   with: files by digest, archived changes by first generation.  */
#define MQ_MANIFEST_OBJECT "config/manifest"
#define MQ_MANIFEST_FILE_PREFIX "config/files/"
#define MQ_MANIFEST_ARCHIVE_PREFIX "config/archive/"

/* Most files in force at once.  */
#define MQ_MANIFEST_MAX_FILES 2048
/* Changes that are kept in the manifest; above it the older half is to be
   archived.  */
#define MQ_MANIFEST_MAX_CHANGES 64
/* File effects that one change, and all changes in the manifest, may keep. */
#define MQ_CHANGE_MAX_EFFECTS 64
#define MQ_MANIFEST_MAX_EFFECTS 1024
/* Bytes of WHO and WHY that are kept.  */
#define MQ_CHANGE_MAX_WHO_BYTES 64
#define MQ_CHANGE_MAX_WHY_BYTES 300
/* Largest encoded manifest.  */
#define MQ_MANIFEST_MAX_BYTES ((size_t)1000 * 1000)

#define MQ_MANIFEST_ERROR (mq_manifest_error_quark ())
GQuark mq_manifest_error_quark (void);

typedef enum mq_manifest_error
{
  MQ_MANIFEST_ERROR_FORM /* Not a manifest, or one that breaks its rules.  */
} mq_manifest_error;

/* A digest in hex; "" where there is no file.  */
typedef struct mq_digest
{
  char hex[MQ_DIGEST_SIZE];
} mq_digest;

typedef struct mq_manifest_file
{
  mq_str *name;
  mq_digest digest;
  uint64_t size;
} mq_manifest_file;

/* What a change did to one file.  */
typedef struct mq_change_effect
{
  mq_str *name;
  mq_digest before; /* "" when it was not there.  */
  mq_digest after;  /* "" when it was taken out.  */
} mq_change_effect;

typedef enum mq_change_kind
{
  MQ_CHANGE_APPLY, /* A folder was put in.  */
  MQ_CHANGE_DROP,  /* One file was dropped in.  */
  MQ_CHANGE_TAKE   /* One file was taken out.  */
} mq_change_kind;

/* One change that has landed.  */
typedef struct mq_change_record
{
  mq_str *id; /* Unique; made by the operator's command.  */
  uint64_t generation;
  mq_change_kind kind;
  mq_str *who;
  mq_str *why;
  uint64_t wall_ms; /* Since 1970, by the operator's clock.  */
  GArray *effects; /* of mq_change_effect; the first MQ_CHANGE_MAX_EFFECTS.  */
  uint32_t n_effects;
} mq_change_record;

typedef struct mq_manifest
{
  uint64_t generation; /* 0: nothing was ever applied.  */
  GArray *files;       /* of mq_manifest_file  */
  GArray *changes;     /* of mq_change_record, oldest first  */
} mq_manifest;

/* Make MANIFEST the empty one of generation 0.  */
void mq_manifest_init (mq_manifest *manifest);
void mq_manifest_finish (mq_manifest *manifest);
/* Make TO, which is not initialised, a copy of FROM.  */
void mq_manifest_copy (mq_manifest *to, const mq_manifest *from);

/* The file of that name, borrowed, or NULL.  */
const mq_manifest_file *mq_manifest_find_file (const mq_manifest *manifest,
                                               mq_span name);
/* The digest of the file of that name; "" when there is none.  */
mq_digest mq_manifest_digest (const mq_manifest *manifest, mq_span name);
/* Put a file in or replace it; take one out.  False when it is not there. */
void mq_manifest_put (mq_manifest *manifest, mq_str *name, mq_digest digest,
                      uint64_t size);
bool mq_manifest_remove (mq_manifest *manifest, mq_span name);

/* The change of that id, borrowed, or NULL.  */
const mq_change_record *mq_manifest_find_change (const mq_manifest *manifest,
                                                 mq_span id);
/* The last change kept that touched the file NAME, borrowed, or NULL.  */
const mq_change_record *
mq_manifest_find_last_change (const mq_manifest *manifest, mq_span name);

/* How many of the oldest changes are to be archived before one more is
   added; 0: none.  */
guint mq_manifest_archivable (const mq_manifest *manifest);
/* Encode the N oldest changes; they are the value of the object
   MQ_MANIFEST_ARCHIVE_PREFIX with the first and last generation, twelve
   digits each, so that names sort by age.  Its value follows from its name,
   so that writing it again is harmless.  Both are new references.  */
mq_str *mq_manifest_archive_value (const mq_manifest *manifest, guint n);
mq_str *mq_manifest_archive_name (const mq_manifest *manifest, guint n);

mq_str *mq_manifest_encode (const mq_manifest *manifest);
/* Make MANIFEST, which is not initialised, what TEXT says.  Returns 0, or -1
   with ERROR set and MANIFEST finished.  */
int mq_manifest_decode (mq_span text, mq_manifest *manifest, GError **error);
/* Append the changes that an archive object holds to CHANGES.  */
int mq_manifest_decode_archive (mq_span text, GArray *changes, GError **error);

/* An empty list of mq_change_record, or of mq_change_effect, whose elements
   are cleared when they are removed.  */
GArray *mq_change_records_new (void);
GArray *mq_change_effects_new (void);

/* "apply", "drop" or "take".  */
const char *mq_change_kind_name (mq_change_kind kind);

/* The name of the object that holds the file of that digest; new.  */
mq_str *mq_manifest_file_object (const mq_digest *digest);

G_END_DECLS

#endif
