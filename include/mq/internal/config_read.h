/* Internal to packages/config: makes the snapshot from a merged document.  */

#ifndef MQ_INTERNAL_CONFIG_READ_H
#define MQ_INTERNAL_CONFIG_READ_H

#include <mq/config.h>
#include <mq/json.h>

G_BEGIN_DECLS

/* Read DOC into a new snapshot.  Errors are recorded in DOC as faults, so call
   mq_json_doc_check before using the result.  */
mq_config *mq_config_read (mq_json_doc *doc, uint64_t generation);

/* Check references and constraints between entries of CONFIG, which was read
   from DOC.  Records faults in DOC and adds warnings about what is unusual but
   allowed to WARNINGS (of char *; may be NULL).  */
void mq_config_check_references (mq_json_doc *doc, const mq_config *config,
                                 GPtrArray *warnings);

G_END_DECLS

#endif
