/* Entries of one kind as read from the platform's store, with their versions
   there.  They can be propagated to routers that do not read the store, and
   two routers can compare their lists by a digest.

   The module is pure.  Invariant: an update from another router neither
   replaces a newer entry nor restores one that is known to be removed, as long
   as the caller checks it with mq_entry_list_is_newer.  */

#ifndef MQ_ENTRY_LIST_H
#define MQ_ENTRY_LIST_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_entry
{
  mq_str *text;
  uint64_t version; /* Of its last change in the store.  */
  bool confirmed;   /* This router read that from the store itself.  */
} mq_entry;

typedef struct mq_entry_list
{
  GHashTable *entries; /* Id -> mq_entry.  */
  GHashTable *removed; /* Id -> mq_entry without text: its removal.  */
  uint64_t digest;     /* Equal for lists with equal ids and versions.  */
  uint64_t newest;     /* Version of the last change or removal.  */
} mq_entry_list;

void mq_entry_list_init (mq_entry_list *list);
void mq_entry_list_finish (mq_entry_list *list);

/* Set ID to TEXT as of VERSION.  */
void mq_entry_list_put (mq_entry_list *list, mq_span id, uint64_t version,
                        mq_span text);
/* Remove ID as of VERSION.  */
void mq_entry_list_remove (mq_entry_list *list, mq_span id, uint64_t version);
/* Remove all entries whose ids are not in KEEP, a set of C strings.  */
void mq_entry_list_keep (mq_entry_list *list, GHashTable *keep);

/* The store named ID at VERSION, or with REMOVED its removal.  Returns true if
   LIST has just that, and it was not confirmed before.  */
bool mq_entry_list_confirm (mq_entry_list *list, mq_span id, uint64_t version,
                            bool removed);

/* Returns true if an update of ID at VERSION, or with REMOVED its removal,
   is newer than what LIST has.  */
bool mq_entry_list_is_newer (const mq_entry_list *list, mq_span id,
                             uint64_t version, bool removed);

G_END_DECLS

#endif
