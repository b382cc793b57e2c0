#!/usr/bin/env bash
# The bench: both deployments on the loopback interface, the present policy
# beside the baseline, then faults, then idle fleets.  Writes one JSON file a
# run and report.html to OUT (bench-out).  mqload starts all processes and
# ends them by number; they end with it, too.
#
#   tools/bench.sh           everything, about five minutes
#   tools/bench.sh quick     one load and the faults, about one minute
set -uo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
out=${OUT:-bench-out}
mode=${1:-all}
scenarios=examples/scenarios
failed=0
mkdir -p "$out"

# run NAME SCENARIO [OPTION...]: one run, its result and its log.
run () {
  local name=$1 scenario=$2
  shift 2
  echo "== $name"
  if ! "$build/mqload" run "$scenarios/$scenario.json" --bin "$build" \
       --out "$out/$name.json" "$@" >"$out/$name.txt" 2>"$out/$name.log"; then
    echo "   failed or a promise was broken; see $out/$name.txt and .log"
    failed=1
  fi
  grep -E 'goodput over|accepted, not|broken promises|fault at' "$out/$name.txt"
}

rm -f "$out"/*.json
case $mode in
  quick)
    run tekle-1.0-deadline tekle --load 1.0 --duration 10
    run halvorsen-faults-deadline halvorsen --load 0.7
    run rolling-restart rolling
    ;;
  all)
    for load in 0.8 1.0 1.5 3.0; do
      for routing in deadline round-robin; do
        run "tekle-$load-$routing" tekle --load $load --routing $routing \
            --duration 15
      done
    done
    for routing in deadline round-robin; do
      run "halvorsen-faults-$routing" halvorsen --load 0.7 --routing $routing
    done
    run rolling-restart rolling
    for routers in 3 7 20; do
      run "idle-$routers" tekle --load 0 --routers $routers --duration 10
    done
    ;;
  *)
    echo "usage: tools/bench.sh [quick]" >&2
    exit 2
    ;;
esac
"$build/mqload" report "$out/report.html" "$out"/*.json && echo "page: $out/report.html"
exit $failed
