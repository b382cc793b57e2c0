/* What came of each intended request: see record.h.  */

#include "record.h"

#include <string.h>

static const char *const end_names[LOAD_ENDS]
    = { "open",   "done",    "wrong", "not-run",
        "failed", "unknown", "cut",   "unreachable" };

void
load_records_init (load_records *records, const load_scenario *scenario,
                   const GArray *items)
{
  memset (records, 0, sizeof *records);
  records->scenario = scenario;
  records->items = items;
  records->list = g_array_new (FALSE, TRUE, sizeof (load_record));
  g_array_set_size (records->list, items->len);
  records->ticks = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  records->gaps_us = g_array_new (FALSE, FALSE, sizeof (float));
  records->breaches = g_array_new (FALSE, FALSE, sizeof (load_breach));
}

void
load_records_finish (load_records *records)
{
  g_array_unref (records->list);
  g_array_unref (records->ticks);
  g_array_unref (records->gaps_us);
  g_array_unref (records->breaches);
}

const char *
load_end_name (load_end end)
{
  return end_names[end];
}

void
load_records_token (load_records *records, uint64_t at_us, uint64_t gap_us)
{
  guint tick = (guint)(at_us / LOAD_TICK_US);
  float gap = (float)gap_us;

  if (records->ticks->len <= tick)
    g_array_set_size (records->ticks, tick + 1);
  g_array_index (records->ticks, uint32_t, tick)++;
  records->tokens++;
  if (gap_us > 0)
    g_array_append_val (records->gaps_us, gap);
}

void
load_records_breach (load_records *records, const char *promise,
                     uint32_t number)
{
  load_breach b = { promise, number };

  g_array_append_val (records->breaches, b);
}

bool
load_record_in_time (const load_record *record, const load_item *item)
{
  return record->end == LOAD_END_DONE
         && record->end_us <= item->at_us + (uint64_t)item->deadline_ms * 1000;
}
