/* The platform's list of live and leaving VMs, which lags: a change shows
   only some time after it was made.  No clock inside.  */

#ifndef MQ_STANDIN_VM_LIST_H
#define MQ_STANDIN_VM_LIST_H

#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_vm_state
{
  MQ_VM_LIVE,
  MQ_VM_LEAVING,
  MQ_VM_REMOVED /* Not listed any more.  */
} mq_vm_state;

typedef struct mq_vm
{
  mq_str *name;
  mq_str *address;
  mq_vm_state state;
} mq_vm;

typedef struct mq_vm_list mq_vm_list;

/* An empty list whose changes show after LAG_US.  */
mq_vm_list *mq_vm_list_new (uint64_t lag_us);
void mq_vm_list_free (mq_vm_list *list);

/* Record a change made at NOW_US.  */
void mq_vm_list_set (mq_vm_list *list, uint64_t now_us, mq_span name,
                     mq_span address, mq_vm_state state);

/* What shows at NOW_US, sorted by name: an array of mq_vm, borrowed until
   the next call.  */
const GArray *mq_vm_list_visible (mq_vm_list *list, uint64_t now_us);

G_END_DECLS

#endif
