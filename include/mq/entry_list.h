/* Entries of one kind as the platform's store told of them, with the versions
   that they had there, so that they can be passed on to routers that do not
   ask the store, and two routers can see whether they know the same.

   Pure.  Invariant: what a peer tells never takes the place of something
   newer, nor does it bring back what is known to be gone.  */

#ifndef MQ_ENTRY_LIST_H
#define MQ_ENTRY_LIST_H

#include <glib.h>
#include <mq/str.h>

G_BEGIN_DECLS

typedef struct mq_entry
{
  mq_str *text;
  uint64_t version; /* Of the last change in the store.  */
} mq_entry;

typedef struct mq_entry_list
{
  GHashTable *entries; /* Id -> mq_entry.  */
  GHashTable *gone;    /* Id -> version at which it left: guint64.  */
  uint64_t digest;     /* Alike where ids and versions are alike.  */
  uint64_t newest;     /* Version of the last change, a leaving too.  */
} mq_entry_list;

void mq_entry_list_init (mq_entry_list *list);
void mq_entry_list_finish (mq_entry_list *list);

/* ID is TEXT since VERSION.  */
void mq_entry_list_put (mq_entry_list *list, mq_span id, uint64_t version,
                        mq_span text);
/* ID is gone since VERSION.  */
void mq_entry_list_remove (mq_entry_list *list, mq_span id, uint64_t version);
/* Drop all whose ids are not in KEEP, a set of C strings.  */
void mq_entry_list_keep (mq_entry_list *list, GHashTable *keep);

/* Would a change of ID at VERSION, told by a peer, be news?  */
bool mq_entry_list_is_newer (const mq_entry_list *list, mq_span id,
                             uint64_t version, bool gone);

G_END_DECLS

#endif
