/* The platform's list of live and leaving VMs.  The list lags: a change
   becomes visible only some time after it was made.  The time is passed in;
   the list reads no clock.  */

#ifndef MQ_STANDIN_VM_LIST_H
#define MQ_STANDIN_VM_LIST_H

#include <mq/str.h>

G_BEGIN_DECLS

typedef enum mq_vm_state
{
  MQ_VM_LIVE,
  MQ_VM_LEAVING,
  MQ_VM_REMOVED /* No longer listed.  */
} mq_vm_state;

typedef struct mq_vm
{
  mq_str *name;
  mq_str *address;
  mq_vm_state state;
} mq_vm;

typedef struct mq_vm_list mq_vm_list;

/* Return a new, empty list whose changes become visible after LAG_US.  */
mq_vm_list *mq_vm_list_new (uint64_t lag_us);
void mq_vm_list_free (mq_vm_list *list);

/* Record that VM NAME has ADDRESS and STATE from NOW_US on.  NAME and ADDRESS
   are copied.  */
void mq_vm_list_set (mq_vm_list *list, uint64_t now_us, mq_span name,
                     mq_span address, mq_vm_state state);

/* Return the VMs visible at NOW_US, sorted by name: an array of mq_vm,
   borrowed until the next call.  */
const GArray *mq_vm_list_visible (mq_vm_list *list, uint64_t now_us);

G_END_DECLS

#endif
