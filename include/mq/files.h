/* Configuration files: reading, merging and validation.

   A file is JSON with comments whose name ends in ".json".  Files are merged
   in byte order of their names: objects are merged member by member, null
   removes a member, and any other value replaces that of an earlier file.
   Each file is validated alone (keys, types and ranges; it may be incomplete);
   the merged result must be complete and all references in it must resolve.
   docs/CONFIGURATION.md lists the keys.

   Errors name the file, the line, the path of the value and what was
   expected.  */

#ifndef MQ_FILES_H
#define MQ_FILES_H

#include <glib.h>
#include <mq/config.h>
#include <mq/json.h>

G_BEGIN_DECLS

#define MQ_MAX_FILE_NAME_BYTES 100
/* Bytes of a SHA-256 digest in hex and its NUL.  */
#define MQ_DIGEST_SIZE (2 * MQ_SHA256_SIZE + 1)

typedef enum mq_config_error
{
  MQ_CONFIG_ERROR_IO,    /* A file or folder can't be read, or a file is too
                            large.  */
  MQ_CONFIG_ERROR_NAME,  /* The name of a file is invalid.  */
  MQ_CONFIG_ERROR_FILE,  /* A file alone is invalid.  */
  MQ_CONFIG_ERROR_MERGED /* The merged files are invalid.  */
} mq_config_error;

#define MQ_CONFIG_ERROR (mq_config_error_quark ())
GQuark mq_config_error_quark (void);

typedef struct mq_file
{
  mq_str *name;
  mq_str *text;
} mq_file;

/* Returns a new empty set of files: a GArray of mq_file, sorted by name, in
   which names are unique.  */
GArray *mq_files_new (void);
/* Add a file to FILES or replace the file of that name.  Takes references to
   NAME and TEXT of its own.  */
void mq_files_put (GArray *files, mq_str *name, mq_str *text);
/* Remove the file NAME.  Returns false if there is none.  */
bool mq_files_remove (GArray *files, mq_span name);
/* Returns the file NAME, borrowed, or NULL.  */
const mq_file *mq_files_find (const GArray *files, mq_span name);

/* Returns true if NAME consists of letters, digits, '.', '-' and '_', does not
   begin with '.', ends in ".json", is longer than that suffix and has at most
   MQ_MAX_FILE_NAME_BYTES bytes.  */
bool mq_file_name_is_valid (mq_span name);
/* Set DIGEST to the digest that identifies TEXT in the platform.  */
void mq_file_digest (mq_span text, char digest[MQ_DIGEST_SIZE]);

/* Read one file, whose name is the last component of PATH.  Returns a new set
   of one file, or NULL with ERROR set.  */
GArray *mq_files_read (const char *path, GError **error);
/* Read all files in the folder at PATH whose names end in ".json" and do not
   begin with '.'; other files are ignored.  Returns a new set, or NULL with
   ERROR set.  */
GArray *mq_files_read_folder (const char *path, GError **error);

/* Validate FILE alone.  Returns 0, or -1 with ERROR set.  */
int mq_file_check (const mq_file *file, GError **error);

/* Validate each file alone and merge the files.  Returns a new document, which
   is not yet validated as a whole, or NULL with ERROR set.  */
mq_json_doc *mq_files_merge (const GArray *files, GError **error);

/* Validate each file alone, merge the files, validate the result and make the
   snapshot.  Returns a new reference, or NULL with ERROR set, whose message
   has a line for each fault.  WARNINGS may be NULL; otherwise it is a
   GPtrArray of char * to which warnings are added about what is unusual but
   allowed, such as layers that no engine holds.  */
mq_config *mq_files_load (const GArray *files, uint64_t generation,
                          GPtrArray *warnings, GError **error);

/* Like mq_files_load, for FILES that were validated before they were stored in
   the platform.  Only the merged result is validated, which costs much less.
   If that fails, the files are loaded again with all checks for the error
   message.  */
mq_config *mq_files_load_validated (const GArray *files, uint64_t generation,
                                    GError **error);

G_END_DECLS

#endif
