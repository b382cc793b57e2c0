/* The error domain of dialects (mq/dialect.h).  */

#include <mq/dialect.h>

G_DEFINE_QUARK (mq - dialect - error, mq_dialect_error)
