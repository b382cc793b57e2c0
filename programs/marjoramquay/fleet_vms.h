/* Reads the platform's list of VMs periodically.  Passes the routers among
   them to the fleet, and the engines that are leaving to the planner.

   Internal to this program.  */

#ifndef MQ_FLEET_VMS_H
#define MQ_FLEET_VMS_H

#include "router.h"

typedef struct mq_fleet_vms mq_fleet_vms;

mq_fleet_vms *mq_fleet_vms_new (mq_router *router);
void mq_fleet_vms_free (mq_fleet_vms *vms);

#endif
