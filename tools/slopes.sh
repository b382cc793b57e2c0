#!/usr/bin/env bash
# Prints the slopes from which docs/CAPACITY.md is worked out.  Each bench
# counts its own processor time, so a busy machine blurs the figures less than
# the clock; run it on a quiet one all the same.  About three minutes.
# Usage: tools/slopes.sh [BUILD FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build}

part ()
{
  printf '\n## %s\n' "$1"
  shift
  printf '   %s\n' "$*"
  "$@"
}

part "Entry: a streamed token, by open streams" \
  "$bin/mqbench_relay" 10 100 500 2000
part "Planner: an ask, a report and a review, by engines" \
  "$bin/mqbench_planner"
part "Configuration: taking a generation, by engines" \
  "$bin/mqbench_config" 40 1200 12000
part "Fleet: heartbeats, by members" \
  "$bin/mqbench_fleet" 20 7 20 60
part "Tickets, claims, leases, audit" \
  "$bin/mqbench_state"
part "Gateway mode: a path, and a plan of layers, by engines and their domains" \
  "$bin/mqbench_route"
