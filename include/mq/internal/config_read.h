/* Internal to packages/config: from a merged document to the snapshot.  */

#ifndef MQ_INTERNAL_CONFIG_READ_H
#define MQ_INTERNAL_CONFIG_READ_H

#include <mq/config.h>
#include <mq/json.h>

G_BEGIN_DECLS

/* Read DOC into a new snapshot; what is wrong is noted in DOC as faults, so
   call mq_json_doc_check before using the result.  */
mq_config *mq_config_read (mq_json_doc *doc, uint64_t generation);

/* Note in DOC what contradicts itself in CONFIG, which was read from it, and
   add to WARNINGS (of char *; may be NULL) what is odd but allowed.  */
void mq_config_check_references (mq_json_doc *doc, const mq_config *config,
                                 GPtrArray *warnings);

G_END_DECLS

#endif
