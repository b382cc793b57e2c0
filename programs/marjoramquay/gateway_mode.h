/* The program as the routing face on the users' platform.  Internal to this
   program.  */

#ifndef MQ_GATEWAY_MODE_H
#define MQ_GATEWAY_MODE_H

/* Where the platform placed the settings, or NULL when it did not.  */
const char *mq_gateway_mode_settings_path (void);

/* Run with the settings at PATH until drained.  CHECK: only check them.
   Returns the exit status.  */
int mq_gateway_mode_run (const char *path, int check);

#endif
