/* Reader of JSON with comments, for settings and configuration files.

   A document is one file or several merged files.  Its values are read through
   typed getters.  A getter returns its fallback if the value is missing.  If
   the value is of the wrong type or out of range, the getter records a fault
   with the file, the line, the path and what was expected, and returns the
   fallback too.  So a reader is a plain sequence of getters followed by
   mq_json_doc_check, which reports all faults at once.

   The syntax is stricter than JSON: keys must be unique within an object and
   must hold neither '.', '[' nor escapes, so that a path such as
   services.quotes.deadline_ms identifies one value.  It is more lenient in
   that C comments of both kinds may stand wherever whitespace may.

   A mq_json is a view on the caller's stack.  It borrows the document and the
   parent view that it was read from: both must outlive it.  */

#ifndef MQ_JSON_H
#define MQ_JSON_H

#include <glib.h>
#include <json-c/json.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Largest file that is read, in bytes.  */
#define MQ_JSON_MAX_FILE_BYTES ((size_t)1024 * 1024)
/* Faults that a document records; further ones are only counted.  */
#define MQ_JSON_MAX_FAULTS 20

typedef enum mq_json_error
{
  MQ_JSON_ERROR_IO,     /* The file can't be read, or is too large.  */
  MQ_JSON_ERROR_SYNTAX, /* Not JSON.  */
  MQ_JSON_ERROR_VALUE   /* Unknown key, wrong type or invalid value.  */
} mq_json_error;

#define MQ_JSON_ERROR (mq_json_error_quark ())
GQuark mq_json_error_quark (void);

typedef struct mq_json_doc mq_json_doc;

typedef struct mq_json
{
  mq_json_doc *doc;
  const struct mq_json *parent; /* NULL for the root.  */
  mq_span key;                  /* If the parent is an object.  */
  size_t index;                 /* If the parent is an array.  */
  struct json_object *value;    /* Borrowed.  */
} mq_json;

/* An iterator over the members of an object, in their order.  */
typedef struct mq_json_iter
{
  const mq_json *object;
  struct json_object_iterator at;
  struct json_object_iterator end;
} mq_json_iter;

/* Parse TEXT; FILE is its name in messages.  Returns a new document, or NULL
   with ERROR set.  */
mq_json_doc *mq_json_parse (mq_span file, mq_span text, GError **error);
/* Read and parse the file at PATH likewise.  */
mq_json_doc *mq_json_read (const char *path, GError **error);
/* Parse likewise a TEXT that was parsed without an error before.  It is
   cheaper, since keys are not checked for duplicates.  The document takes
   references to FILE and TEXT of its own.  */
mq_json_doc *mq_json_parse_validated (mq_str *file, mq_str *text,
                                      GError **error);
/* Returns a new empty document to merge others into.  */
mq_json_doc *mq_json_doc_new (void);
/* Free DOC, which may be NULL, and all that was read from it.  */
void mq_json_doc_free (mq_json_doc *doc);

/* Merge FROM, whose root is an object, over INTO: objects are merged member by
   member, null removes a member, and any other value replaces the previous
   one.  INTO records which file gave each value.  Frees FROM.  */
void mq_json_merge (mq_json_doc *into, mq_json_doc *from);

/* Find the source of the value at PATH, such as "services.quotes.kind".
   Returns a new reference to the name of its file and sets *LINE, or returns
   NULL if it is unknown.  */
mq_str *mq_json_find_location (const mq_json_doc *doc, const char *path,
                               unsigned *line);

/* Mark DOC as partial or not.  mq_json_require accepts missing keys in a
   partial document, which will be merged with others.  */
void mq_json_doc_set_partial (mq_json_doc *doc, bool partial);

/* Returns 0 if no fault was recorded; else -1 with ERROR set, whose message
   has a line for each fault.  */
int mq_json_doc_check (mq_json_doc *doc, GError **error);

/* Returns a view of the root of DOC; records a fault if it is no object.  */
mq_json mq_json_root (mq_json_doc *doc);

/* Record a fault for each of the given keys, which end with NULL, that OBJECT
   lacks.  */
void mq_json_require (const mq_json *object, const char *key,
                      ...) G_GNUC_NULL_TERMINATED;

/* Returns true if OBJECT has KEY and its value is not null.  */
bool mq_json_has (const mq_json *object, const char *key);

/* Get a whole number in [MIN, MAX].  */
uint64_t mq_json_u64 (const mq_json *object, const char *key, uint64_t min,
                      uint64_t max, uint64_t fallback);
/* Get a number in [MIN, MAX].  */
double mq_json_double (const mq_json *object, const char *key, double min,
                       double max, double fallback);
bool mq_json_bool (const mq_json *object, const char *key, bool fallback);
/* Get a non-empty string, borrowed from the document.  */
mq_span mq_json_span (const mq_json *object, const char *key,
                      mq_span fallback);
/* Get a non-empty string as a new reference; NULL if it is missing.  */
mq_str *mq_json_str (const mq_json *object, const char *key);
/* Get the index in NAMES, which ends with NULL, of the string at KEY.  */
int mq_json_enum (const mq_json *object, const char *key,
                  const char *const *names, int fallback);

/* Set *CHILD to a view of the object or array at KEY.  Returns false if it is
   missing or, with a fault recorded, of another type; *CHILD is then not
   set.  */
bool mq_json_object (const mq_json *object, const char *key, mq_json *child);
bool mq_json_array (const mq_json *object, const char *key, mq_json *child);

/* Returns the number of members or elements of JSON, 0 for other types.  */
size_t mq_json_size (const mq_json *json);
/* Set *CHILD to a view of element I of ARRAY.  Returns false with a fault
   recorded if it is no object.  */
bool mq_json_element (const mq_json *array, size_t i, mq_json *child);
/* Returns element I of ARRAY, a non-empty string, borrowed from the document;
   the empty span with a fault recorded if it is none.  */
mq_span mq_json_element_span (const mq_json *array, size_t i);

/* Iterate over the members of OBJECT whose values are objects.  Null members
   are skipped; members of other types are skipped with a fault recorded.
   mq_json_iter_next sets *CHILD, whose key is the member's name, or returns
   false at the end.  */
void mq_json_iter_init (mq_json_iter *iter, const mq_json *object);
bool mq_json_iter_next (mq_json_iter *iter, mq_json *child);

/* Record a fault for each key of OBJECT that no getter, mq_json_has or
   mq_json_require was called for.  Call it last, since it clears the record of
   these keys.  */
void mq_json_reject_unknown (const mq_json *object);

/* Record a fault that the caller found at KEY of OBJECT, or at OBJECT itself
   if KEY is NULL.  */
void mq_json_fault (const mq_json *object, const char *key, const char *format,
                    ...) G_GNUC_PRINTF (3, 4);

/* Record a fault likewise at PATH, such as "services.quotes.model".  */
void mq_json_fault_at (mq_json_doc *doc, const char *path, const char *format,
                       ...) G_GNUC_PRINTF (3, 4);

/* Returns "FILE:LINE: PATH" for the value at PATH, for messages; free with
   g_free.  */
char *mq_json_location_string (const mq_json_doc *doc, const char *path);

/* Returns the dotted path of JSON; free with g_free.  */
char *mq_json_path (const mq_json *json);

G_END_DECLS

#endif
