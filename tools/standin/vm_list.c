/* The platform's list of VMs: see vm_list.h.

   Changes are queued in the order in which they were made and applied to the
   visible list once they are older than the lag.  */

#include <standin/vm_list.h>

typedef struct vm_change
{
  uint64_t at_us; /* When it becomes visible.  */
  mq_vm vm;       /* Owned.  */
} vm_change;

struct mq_vm_list
{
  uint64_t lag_us;
  GQueue pending;  /* of vm_change, owned  */
  GArray *visible; /* of mq_vm, sorted by name  */
};

static void
vm_clear (gpointer data)
{
  mq_vm *vm = data;

  mq_str_unref (vm->name);
  mq_str_unref (vm->address);
}

static void
change_free (gpointer data)
{
  vm_change *c = data;

  vm_clear (&c->vm);
  g_free (c);
}

/* Return the index of NAME in the sorted list, with *FOUND set, or the index
   at which to insert it.  */
static guint
visible_position (const GArray *visible, const mq_str *name, bool *found)
{
  for (guint i = 0; i < visible->len; i++)
    {
      int c = mq_span_compare (
          mq_str_span (name),
          mq_str_span (g_array_index (visible, mq_vm, i).name));

      if (c <= 0)
        {
          *found = c == 0;
          return i;
        }
    }
  *found = false;
  return visible->len;
}

/* Apply CHANGE to the visible list and free it.  */
static void
change_apply (mq_vm_list *list, vm_change *change)
{
  bool found;
  guint i = visible_position (list->visible, change->vm.name, &found);

  if (found)
    g_array_remove_index (list->visible, i);
  if (change->vm.state == MQ_VM_REMOVED)
    vm_clear (&change->vm);
  else
    g_array_insert_val (list->visible, i, change->vm);
  g_free (change);
}

mq_vm_list *
mq_vm_list_new (uint64_t lag_us)
{
  mq_vm_list *l = g_new0 (mq_vm_list, 1);

  l->lag_us = lag_us;
  g_queue_init (&l->pending);
  l->visible = g_array_new (FALSE, FALSE, sizeof (mq_vm));
  g_array_set_clear_func (l->visible, vm_clear);
  return l;
}

void
mq_vm_list_free (mq_vm_list *list)
{
  if (list == NULL)
    return;
  g_queue_clear_full (&list->pending, change_free);
  g_array_unref (list->visible);
  g_free (list);
}

void
mq_vm_list_set (mq_vm_list *list, uint64_t now_us, mq_span name,
                mq_span address, mq_vm_state state)
{
  vm_change *c = g_new0 (vm_change, 1);

  c->at_us = now_us + list->lag_us;
  c->vm.name = mq_str_new (name);
  c->vm.address = mq_str_new (address);
  c->vm.state = state;
  g_queue_push_tail (&list->pending, c);
}

const GArray *
mq_vm_list_visible (mq_vm_list *list, uint64_t now_us)
{
  vm_change *c;

  while ((c = g_queue_peek_head (&list->pending)) != NULL
         && c->at_us <= now_us)
    change_apply (list, g_queue_pop_head (&list->pending));
  return list->visible;
}
