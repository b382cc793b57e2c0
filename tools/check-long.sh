#!/usr/bin/env bash
# Run each property test with many cases: check-long.sh BUILD [SEED].
set -euo pipefail
build=$1
seed=${2:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
cases=${CASES:-20000}
failed=0

echo "seed=$seed cases=$cases"
for test in "$build"/tests/prop_*; do
  [ -x "$test" ] && [ -f "$test" ] || continue
  echo "== $(basename "$test")"
  RC_PARAMS="seed=$seed max_success=$cases" "$test" || failed=1
done
[ "$failed" = 0 ] || echo "failed with seed=$seed" >&2
exit "$failed"
