/* Runs the program in gateway mode on the users' platform.

   Internal to this program.  */

#ifndef MQ_GATEWAY_MODE_H
#define MQ_GATEWAY_MODE_H

/* Returns the path of the settings file that the platform provides, or NULL
   when there is none.  */
const char *mq_gateway_mode_settings_path (void);

/* Runs the gateway with the settings at PATH until it has drained; with CHECK
   set only validates the settings.  Returns the exit status.  */
int mq_gateway_mode_run (const char *path, int check);

#endif
