#!/usr/bin/env bash
# Switch off one mechanism in a scratch copy and play days with the users'
# bench, to see what it is worth.
#
# Usage: tools/ablate.sh BENCH SITE OUT NAME [DAY:SEED ...]
#   BENCH  the bench's program
#   SITE   a site file
#   OUT    folder for the copy, the reports and the logs; made when missing
#   NAME   what to switch off, or `nothing'; `list' prints the names
# Without days the ten below are played, with processor time not charged.
# JOBS=N plays N days at a time.  Copy OUT/copy/journal back into journal/.
set -euo pipefail

# NAME FILE SED-EXPRESSION
table () {
  cat <<'EOF'
nothing include/mq/upstream.h
copies packages/route/layer_spares.c s/^  domain_add_copies (domain);$/  if (false)\n    domain_add_copies (domain);/
relief packages/route/layer_spares.c s/^  domain_relieve (domain);$/  if (false)\n    domain_relieve (domain);/
take-over packages/route/layer_spares.c s/^  domain_take_over (domain);$/  if (false)\n    domain_take_over (domain);/
settle packages/route/layer_plan.c s/^#define SETTLE_US .*/#define SETTLE_US ((uint64_t)0)/
reading packages/route/domain_load.c s/return request->target_ms > 0$/return false \&\& request->target_ms > 0/
draw packages/route/domain_load.c s/^#define MIN_WEIGHT_EXPONENT .*/#define MIN_WEIGHT_EXPONENT 64.0/
local-lead packages/route/domain_load.c s/^#define LOCAL_BONUS .*/#define LOCAL_BONUS 0/
tried-lag packages/route/domain_load.c s/^#define TRIED_PENALTY .*/#define TRIED_PENALTY 0/
slow-lag packages/route/domain_load.c s/^#define SLOW_PENALTY .*/#define SLOW_PENALTY 0/
return-rank packages/route/domain_load.c s/= 0.89,/= 0.92,/
return-spread packages/route/domain_load.c s/^#define RETRY_SPREAD .*/#define RETRY_SPREAD 0/
crowded packages/gateway/gateway_stall.c s/^#define SATURATED_US .*/#define SATURATED_US ((uint64_t)0)/
paces packages/gateway/gateway_response.c s/^#define SLOW_GAP_RATIO .*/#define SLOW_GAP_RATIO 1e9/
lending packages/route/send_budget.c s/^#define MAX_EXCESS_SHARE .*/#define MAX_EXCESS_SHARE 0/
parking packages/gateway/gateway_send.c s/^#define MAX_WAIT_US .*/#define MAX_WAIT_US ((uint64_t)0)/
EOF
}

if [ "${4:-}" = "" ] || [ "$1" = --help ]; then
  sed -n '2,13s/^# \{0,1\}//p' "$0"
  exit 2
fi
bench=$1 site=$(realpath "$2") out=$(mkdir -p "$3" && realpath "$3") name=$4
shift 4
if [ "$name" = list ]; then
  table | cut -d' ' -f1
  exit 0
fi
line=$(table | grep "^$name ") || { echo "ablate.sh: no mechanism $name" >&2; exit 2; }
file=$(cut -d' ' -f2 <<<"$line")
change=$(cut -s -d' ' -f3- <<<"$line")
copy=$out/copy
rm -rf "$copy"
git clone -q "$(git rev-parse --show-toplevel)" "$copy"
cd "$copy"
if [ -n "$change" ]; then
  sed -i "$change" "$file"
  git diff --quiet && { echo "ablate.sh: $name changes nothing" >&2; exit 1; }
fi
[ $# -gt 0 ] || set -- trouble-{1:0,2:0,3:0,1:11,2:13,3:15} scale-{1:0,2:0,1:12,2:14}
"$bench" build > "$out/build.log"
play () {
  local seed=()
  [ "${3#*:}" = 0 ] || seed=(--seed "${3#*:}")
  "$1" run "$2" "${3%:*}" "${seed[@]}" --no-cpu --report "$4/${3/:/-}.json" \
    --why "ablation: without $5" > "$4/${3/:/-}.out" 2> "$4/${3/:/-}.log"
}
export -f play
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} bash -c \
  'play "$0" "$1" {} "$2" "$3"' "$bench" "$site" "$out" "$name"
grep -ho '"G": [0-9.-]*' "$out"/*.json | awk -v name="$name" \
  '{ sum += $2 } END { printf "%s: mean worth %.4f of %d days\n", name, sum / NR, NR }'
