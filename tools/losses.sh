#!/usr/bin/env bash
# Where requests were lost: a table by cause from routers' logs.
#
# Usage: tools/losses.sh LOG...
#   LOG  what routers in gateway mode wrote: one line an event.  Lines may
#        begin with a time in seconds and the router's name, as the users' bench
#        prints them; then a second table tells the causes by the time at which
#        requests came.
#
# Causes: ok, plain (answers of plain services), first-late (the first event
# came after 500 ms), gap-late (a pause of over 200 ms), `resent' behind these
# when the request was sent more than once, and else outcome:reason of the log.
# AIM_MS and GAP_MS change the two limits.  Logs leave out some of the requests
# that went well, so ok and plain are lower bounds.
set -euo pipefail

if [ $# -eq 0 ] || [ "$1" = --help ]; then
  sed -n '2,16s/^# \{0,1\}//p' "$0"
  exit 2
fi
awk -v aim="${AIM_MS:-500}" -v gap="${GAP_MS:-200}" '
function field (name,   i) {
  for (i = 1; i <= NF; i++)
    if (index ($i, name "=") == 1)
      return substr ($i, length (name) + 2)
  return ""
}
/event=request\.end/ && /gap_ms=/ {
  outcome = field ("outcome")
  again = field ("sends") + 0 > 1 ? "-resent" : ""
  if (outcome != "answered")
    cause = outcome ":" field ("why")
  else if (field ("events") + 0 == 0)
    cause = "plain"
  else if (field ("first_ms") + 0 > aim)
    cause = "first-late" again
  else if (field ("gap_ms") + 0 > gap)
    cause = "gap-late" again
  else
    cause = "ok" again
  count[cause]++
  all++
  if ($1 ~ /^-?[0-9.]+$/) {
    began = $1 - field ("ms") / 1000
    second = int ((began < 0 ? began - 2 : began) / 2) * 2
    if (began >= 0)
      at[second, cause]++
    if (began >= 0 && second > last)
      last = second
    timed = 1
  }
}
END {
  sort = "sort -k2,2nr"
  for (cause in count)
    printf "%-28s %7d  %5.1f in 100\n", cause, count[cause],
      100 * count[cause] / all | sort
  close (sort)
  if (!timed)
    exit
  for (second = 0; second <= last; second += 2) {
    line = ""
    for (cause in count)
      if (at[second, cause] && cause != "ok" && cause != "plain")
        line = line sprintf ("  %s %d", cause, at[second, cause])
    if (line != "")
      printf "%4d s%s\n", second, line
  }
}' "$@"
