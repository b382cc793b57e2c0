/* Configuration files: read, merged in the order of their names, checked.

   A file is JSON with comments whose name ends in ".json".  Files merge in
   byte order of their names: objects member by member, null takes a member
   away, all else replaces what an earlier file said.  Each file is checked
   alone (keys, types, ranges; it may be incomplete) and the merged result as
   a whole (nothing missing, every name that is referred to is there).
   docs/CONFIGURATION.md lists the keys.  */

#ifndef MQ_FILES_H
#define MQ_FILES_H

#include <glib.h>
#include <mq/config.h>
#include <mq/json.h>

G_BEGIN_DECLS

#define MQ_MAX_FILE_NAME_BYTES 100
/* SHA-256 in hex, and its NUL.  */
#define MQ_DIGEST_SIZE (2 * MQ_SHA256_SIZE + 1)

typedef enum mq_config_error
{
  MQ_CONFIG_ERROR_IO,    /* A file or folder can't be read.  */
  MQ_CONFIG_ERROR_NAME,  /* A file's name is not allowed.  */
  MQ_CONFIG_ERROR_FILE,  /* One file alone is wrong.  */
  MQ_CONFIG_ERROR_MERGED /* The files merged are wrong.  */
} mq_config_error;

#define MQ_CONFIG_ERROR (mq_config_error_quark ())
GQuark mq_config_error_quark (void);

typedef struct mq_file
{
  mq_str *name;
  mq_str *text;
} mq_file;

/* An empty set: a GArray of mq_file, sorted by name, each name once.  */
GArray *mq_files_new (void);
/* Add a file or replace the one of that name; takes new references.  */
void mq_files_put (GArray *files, mq_str *name, mq_str *text);
/* Remove the file of that name.  False when there is none.  */
bool mq_files_remove (GArray *files, mq_span name);
/* The file of that name, borrowed, or NULL.  */
const mq_file *mq_files_find (const GArray *files, mq_span name);

/* Letters, digits, '.', '-' and '_', not a '.' first, ".json" last, at most
   MQ_MAX_FILE_NAME_BYTES bytes.  */
bool mq_file_name_is_valid (mq_span name);
/* The digest that names TEXT in the platform.  */
void mq_file_digest (mq_span text, char digest[MQ_DIGEST_SIZE]);

/* Read one file; its name is the last part of PATH.  A new set of one, or
   NULL with ERROR set.  */
GArray *mq_files_read (const char *path, GError **error);
/* Read all files of the folder at PATH whose names end in ".json"; what
   begins with '.' or ends otherwise is passed over.  */
GArray *mq_files_read_folder (const char *path, GError **error);

/* Check one file alone.  Returns 0 or -1.  */
int mq_file_check (const mq_file *file, GError **error);

/* Check each file alone and merge them.  */
mq_json_doc *mq_files_merge (const GArray *files, GError **error);

/* Check each file alone, merge them, check the whole and make the snapshot.
   WARNINGS, when not NULL, is a GPtrArray of char * that gets what is odd
   but allowed, such as layers that no engine holds.  NULL with ERROR set, one
   line a fault, when anything is wrong.  */
mq_config *mq_files_load (const GArray *files, uint64_t generation,
                          GPtrArray *warnings, GError **error);

/* The same for files that were accepted before, as a router takes them: not
   each file alone but only the whole is checked, which costs much less.  */
mq_config *mq_files_load_validated (const GArray *files, uint64_t generation,
                                    GError **error);

G_END_DECLS

#endif
