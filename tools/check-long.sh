#!/usr/bin/env bash
# Run each property test with many cases: check-long.sh BUILD [SEED [TEST]].
# TEST is a program such as prop_fleet, or prop_fleet:NAME for one property of
# it (a GoogleTest filter); without it all run, which takes over nine minutes.
set -euo pipefail
build=$1
seed=${2:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
only=${3:-}
cases=${CASES:-20000}
failed=0

echo "seed=$seed cases=$cases"
for test in "$build"/tests/prop_*; do
  [ -x "$test" ] && [ -f "$test" ] || continue
  name=$(basename "$test")
  [ -z "$only" ] || [ "${only%%:*}" = "$name" ] || continue
  filter=${only#*:}
  [ "$filter" != "$only" ] || filter='*'
  echo "== $name"
  RC_PARAMS="seed=$seed max_success=$cases" "$test" \
    "--gtest_filter=*$filter*" || failed=1
done
[ "$failed" = 0 ] || echo "failed with seed=$seed" >&2
exit "$failed"
