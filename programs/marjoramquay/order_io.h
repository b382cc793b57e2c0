/* Sends orders to load layers to engines while this router holds the region's
   lease (mq/order_scope.h).

   Internal to this program.  */

#ifndef MQ_ORDER_IO_H
#define MQ_ORDER_IO_H

#include "router.h"

mq_order_io *mq_order_io_new (mq_router *router);
void mq_order_io_free (mq_order_io *io);

/* Requests the repair in ACTION, a MQ_PLANNER_REPAIR: its engine shall load a
   range of layers that too few engines hold.  */
void mq_order_io_request_repair (mq_order_io *io,
                                 const mq_planner_action *action);

/* Cancels the repair in ACTION, a MQ_PLANNER_CANCEL_REPAIR.  An order that was
   sent already is not withdrawn.  */
void mq_order_io_cancel_repair (mq_order_io *io,
                                const mq_planner_action *action);

/* Returns the number of requested repairs that are not complete.  */
uint32_t mq_order_io_pending (const mq_order_io *io);

#endif
