/* The platform's list of VMs: read now and then, and told to the fleet (the
   routers among them) and to the planner (engines that leave).  Internal to
   this program.  */

#ifndef MQ_FLEET_VMS_H
#define MQ_FLEET_VMS_H

#include "router.h"

typedef struct mq_fleet_vms mq_fleet_vms;

mq_fleet_vms *mq_fleet_vms_new (mq_router *router);
void mq_fleet_vms_free (mq_fleet_vms *vms);

#endif
