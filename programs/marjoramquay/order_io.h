/* Orders to engines under the region's lease (mq/order_scope.h), carried out.
   Internal to this program.  */

#ifndef MQ_ORDER_IO_H
#define MQ_ORDER_IO_H

#include "router.h"

mq_order_io *mq_order_io_new (mq_router *router);
void mq_order_io_free (mq_order_io *io);

/* The planner finds that too few engines hold a range of layers.  */
void mq_order_io_repair (mq_order_io *io, const mq_planner_action *action);

/* An earlier repair is off; an order that has gone out goes on.  */
void mq_order_io_repaired (mq_order_io *io, const mq_planner_action *action);

/* Wanted ends that have not been reached.  */
uint32_t mq_order_io_pending (const mq_order_io *io);

#endif
