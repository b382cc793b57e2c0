/* Reading JSON with comments: for settings and configuration files.

   A document is one file, or several merged.  Its values are read through
   typed getters.  A value that is missing gives the getter's fallback; one
   that is of the wrong type or out of range is noted as a fault with file,
   line, path and what was expected, and gives the fallback too.  So a reader
   is a plain run of getters with one mq_json_doc_check at its end, which
   names all faults at once.

   Stricter than JSON: a key may stand only once in an object, and holds
   neither '.', '[' nor escapes, so that a path such as
   services.quotes.deadline_ms names one place.  Looser: C comments of both
   kinds may stand wherever blanks may.

   A mq_json is a small view on the caller's stack.  It borrows the document
   and the view it was got from: both must live longer.  */

#ifndef MQ_JSON_H
#define MQ_JSON_H

#include <glib.h>
#include <json-c/json.h>
#include <mq/str.h>

G_BEGIN_DECLS

/* Largest file that is read, in bytes.  */
#define MQ_JSON_MAX_FILE_BYTES ((size_t)1024 * 1024)
/* Faults that a document notes; more are only counted.  */
#define MQ_JSON_MAX_FAULTS 20

typedef enum mq_json_error
{
  MQ_JSON_ERROR_IO,     /* The file can't be read, or is too large.  */
  MQ_JSON_ERROR_SYNTAX, /* Not JSON.  */
  MQ_JSON_ERROR_VALUE   /* Unknown key, wrong type or impossible value.  */
} mq_json_error;

#define MQ_JSON_ERROR (mq_json_error_quark ())
GQuark mq_json_error_quark (void);

typedef struct mq_json_doc mq_json_doc;

typedef struct mq_json
{
  mq_json_doc *doc;
  const struct mq_json *parent; /* NULL for the root.  */
  mq_span key;                  /* In an object.  */
  size_t index;                 /* In an array.  */
  struct json_object *value;    /* Borrowed.  */
} mq_json;

/* The members of an object in turn.  */
typedef struct mq_json_iter
{
  const mq_json *object;
  struct json_object_iterator at;
  struct json_object_iterator end;
} mq_json_iter;

/* Parse TEXT, called FILE in messages.  NULL with ERROR set on failure.  */
mq_json_doc *mq_json_parse (mq_span file, mq_span text, GError **error);
/* The same for the file at PATH.  */
mq_json_doc *mq_json_read (const char *path, GError **error);
/* The same for a text that was parsed without an error before: cheaper, since
   keys that stand twice are not looked for.  Takes references.  */
mq_json_doc *mq_json_parse_validated (mq_str *file, mq_str *text,
                                      GError **error);
/* An empty document to merge others into.  */
mq_json_doc *mq_json_doc_new (void);
void mq_json_doc_free (mq_json_doc *doc);

/* Merge FROM, whose root is an object, over INTO: objects merge member by
   member, null takes a member away, all else replaces what was there.
   INTO remembers which file gave each value.  FROM is given up and freed.  */
void mq_json_merge (mq_json_doc *into, mq_json_doc *from);

/* Where the value at PATH, such as "services.quotes.kind", comes from:
   a new reference to the file's name and its line.  NULL when unknown.  */
mq_str *mq_json_find_location (const mq_json_doc *doc, const char *path,
                               unsigned *line);

/* A partial document may lack what mq_json_require asks for: it will be
   merged with others.  */
void mq_json_doc_set_partial (mq_json_doc *doc, bool partial);

/* 0 when no fault was noted; else -1 and ERROR set, one line a fault.  */
int mq_json_doc_check (mq_json_doc *doc, GError **error);

mq_json mq_json_root (mq_json_doc *doc);

/* Note a fault unless every one of the named keys is there.  */
void mq_json_require (const mq_json *object, const char *key,
                      ...) G_GNUC_NULL_TERMINATED;

/* Is KEY there (and not null)?  */
bool mq_json_has (const mq_json *object, const char *key);

/* A whole number in [MIN, MAX].  */
uint64_t mq_json_u64 (const mq_json *object, const char *key, uint64_t min,
                      uint64_t max, uint64_t fallback);
/* A number in [MIN, MAX].  */
double mq_json_double (const mq_json *object, const char *key, double min,
                       double max, double fallback);
bool mq_json_bool (const mq_json *object, const char *key, bool fallback);
/* A string that is not empty; lives as long as the document.  */
mq_span mq_json_span (const mq_json *object, const char *key,
                      mq_span fallback);
/* The same as a new reference; NULL when missing.  */
mq_str *mq_json_str (const mq_json *object, const char *key);
/* One of the words in NAMES, which ends in NULL: gives its index.  */
int mq_json_enum (const mq_json *object, const char *key,
                  const char *const *names, int fallback);

/* Look at the object or array at KEY.  False when missing or of another
   type; CHILD is then not set.  */
bool mq_json_object (const mq_json *object, const char *key, mq_json *child);
bool mq_json_array (const mq_json *object, const char *key, mq_json *child);

/* Members or elements.  */
size_t mq_json_size (const mq_json *json);
/* Element I of an array as an object, or as a string.  */
bool mq_json_element (const mq_json *array, size_t i, mq_json *child);
mq_span mq_json_element_span (const mq_json *array, size_t i);

/* Go through the members of OBJECT whose values are objects; another type is
   noted as a fault and passed over, null is passed over.  CHILD->key is the
   member's name.  */
void mq_json_iter_init (mq_json_iter *iter, const mq_json *object);
bool mq_json_iter_next (mq_json_iter *iter, mq_json *child);

/* Note a fault for each key of OBJECT that no getter has asked for.  Call it
   last: what was asked for is forgotten.  */
void mq_json_reject_unknown (const mq_json *object);

/* Note a fault of the caller's own finding at KEY of OBJECT, or at OBJECT
   when KEY is NULL.  */
void mq_json_fault (const mq_json *object, const char *key, const char *format,
                    ...) G_GNUC_PRINTF (3, 4);

/* The same at PATH, such as "services.quotes.model".  */
void mq_json_fault_at (mq_json_doc *doc, const char *path, const char *format,
                       ...) G_GNUC_PRINTF (3, 4);

/* FILE:LINE: PATH of the value at PATH, for messages; free with g_free.  */
char *mq_json_location_string (const mq_json_doc *doc, const char *path);

/* The dotted path of JSON; free with g_free.  */
char *mq_json_path (const mq_json *json);

G_END_DECLS

#endif
