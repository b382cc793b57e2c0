#!/usr/bin/env bash
# Measures how many routers act as one: how soon a change is in force on all,
# how soon a router that leaves or dies is out of the others' answers to the
# ask, what the fleet asks of the platform, and what an idle router costs.
# Starts real programs on loopback, one fleet after another, and ends each.
# docs/MEASURES.md says what the figures mean.  About eight minutes.
#
# Usage: tools/bench/spread.sh [BUILD FOLDER [ROUTERS...]]
# MQ_SPREAD_IDLE_S, MQ_SPREAD_CHANGES and MQ_SPREAD_TRIES change the lengths.
set -euo pipefail
cd "$(dirname "$0")/../.."

bin=${1:-build}
[ $# -eq 0 ] || shift
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(7 20 60)
idle_s=${MQ_SPREAD_IDLE_S:-90}
changes=${MQ_SPREAD_CHANGES:-10}
tries=${MQ_SPREAD_TRIES:-5}
outage_size=7    # The fleet on which routers are ended.
most_routers=90  # With the stand-ins, under a hundred processes.
settle_s=5       # From the first configuration to the first measure.
rest_s=2         # Between two changes or two ends.
wait_tries=1500  # Of 20 ms.
operator=spread-operator

folder=$(mktemp -d)
declare -A pids=()

stop_all ()
{
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

fail ()
{
  printf 'spread: %s\n' "$*" >&2
  exit 1
}

now_ms ()
{
  local us=${EPOCHREALTIME/[.,]/}
  printf '%s' $((us / 1000))
}

# until_true COMMAND...: wait for it, at most 30 s.
until_true ()
{
  local i
  for ((i = 0; i < wait_tries; i++)); do
    if "$@"; then
      return
    fi
    sleep 0.02
  done
  fail "timed out waiting for: $*"
}

# start NAME COMMAND...: in the background; its output goes to files.
start ()
{
  local name=$1
  shift
  "$@" >"$folder/$name.out" 2>"$folder/$name.log" &
  pids[$name]=$!
  disown # So that the shell does not tell how it ended.
  until_true grep -sq '^listening=' "$folder/$name.out"
}

# address NAME [listening|peers]: the IP:PORT that it printed.
address ()
{
  sed -n "s/^${2:-listening}=//p" "$folder/$1.out"
}

list_vm ()
{
  curl -sS -X PUT "http://$platform/vms/$1" \
    -d "{\"address\":\"$(address "$1" peers)\",\"state\":\"live\"}"
}

start_router ()
{
  start "$1" "$bin/marjoramquay" --settings "$folder/$1.settings"
  list_vm "$1"
}

write_settings ()
{
  cat >"$folder/$1.settings" <<END
{ "name": "$1", "region": "bc-interior", "failure_domain": "kamloops-yard",
  "callers": { "address": "127.0.0.1", "port": 0 },
  "peers": { "address": "127.0.0.1", "port": 0,
    "key_file": "$folder/peers.pair", "ring_file": "$folder/peers.ring" },
  "platform": { "url": "http://$platform" },
  "operators": { "token_sha256":
    "$(printf %s $operator | sha256sum | cut -d' ' -f1)" } }
END
}

# The file that each change replaces.
write_policy ()
{
  printf '{ "policy": { "stall_ms": %s } }\n' "$1" >"$folder/config/30-policy.json"
}

write_configuration ()
{
  local stage
  rm -rf "$folder/config"
  mkdir "$folder/config"
  cat >"$folder/config/10-yard.json" <<END
{ "organisations": { "yard": { "token_sha256":
    "$(printf %s yard | sha256sum | cut -d' ' -f1)" } },
  "models": { "m": { "version": "v1", "layers": 12 } },
  "failure_domains": { "kamloops-yard": { "region": "bc-interior" } },
  "services": { "reports": { "kind": "model", "model": "m",
                             "deadline_ms": 10000 } } }
END
  {
    printf '{ "engines": {'
    for stage in 0 1 2; do
      [ $stage = 0 ] || printf ,
      printf '\n "e%s": { "url": "http://%s", "model": "m", "version": "v1",' \
        $stage "$(address engine$stage)"
      printf ' "first": %s, "end": %s, "slots": 8, "step_us": 3000,' \
        $((stage * 4)) $((stage * 4 + 4))
      printf ' "accelerator": "fast", "failure_domain": "kamloops-yard" }'
    done
    printf ' } }\n'
  } >"$folder/config/20-engines.json"
  write_policy 1000
}

apply ()
{
  "$bin/mqctl" --platform "http://$platform" --who spread --why measure \
    apply "$folder/config" >"$folder/apply"
}

# Does each router say that it took generation $1?
all_took ()
{
  local n
  n=$(grep -l "event=config.taken generation=$1 " "$folder"/vm*.log | wc -l)
  [ "$n" = ${#routers[@]} ]
}

# When the last router took generation $1, in ms, by the routers' logs.
last_took_ms ()
{
  local stamp
  stamp=$(cat "$folder"/vm*.log |
    sed -n "s/^time=\([^ ]*\) .*event=config.taken generation=$1 .*/\1/p" |
    sort | tail -n 1)
  date -d "$stamp" +%s%3N
}

# The answers of all routers but $1 to the ask.
others_answers ()
{
  local name urls=()
  for name in "${routers[@]}"; do
    [ "$name" = "$1" ] || urls+=("http://$(address "$name")/v1/entries")
  done
  curl -s --max-time 5 "${urls[@]}"
}

# How many of the others name $1.
named_by ()
{
  others_answers "$1" | grep -c "\"vm\":\"$1\"" || true
}

named_by_all ()
{
  [ "$(named_by "$1")" = $((${#routers[@]} - 1)) ]
}

# Sorted whole numbers on standard input: "MEDIAN WORST", in UNIT.
median_worst ()
{
  sort -n | awk -v unit="$1" '{ v[NR] = $1 } END {
    m = NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2
    printf "median %d %s, worst %d %s, of %d\n", m, unit, v[NR], unit, NR }'
}

platform_calls ()
{
  curl -sS "http://$platform/stats"
}

# calls_between BEFORE AFTER DIVISOR: by kind, only those that happened.
calls_between ()
{
  jq -rn --slurpfile a "$1" --slurpfile b "$2" --argjson by "$3" '
    [ $b[0].calls | to_entries[]
      | { key, n: ((.value - ($a[0].calls[.key] // 0)) / $by) }
      | select(.n > 0) ]
    | (map(.n) | add // 0) as $all
    | "all \($all * 100 | round / 100): "
      + (map("\(.key) \(.n * 100 | round / 100)") | join(", "))'
}

# Processor time of all routers, in ms.
cpu_ms ()
{
  local name
  for name in "${routers[@]}"; do
    sed 's/.*) //' "/proc/${pids[$name]}/stat"
  done | awk -v hz="$(getconf CLK_TCK)" '{ t += $12 + $13 }
    END { printf "%d", t * 1000 / hz }'
}

# Bytes that all routers sent to and had from one another, without framing.
peer_bytes ()
{
  local name urls=()
  for name in "${routers[@]}"; do
    urls+=("http://$(address "$name")/metrics")
  done
  curl -s "${urls[@]}" | awk '/^marjoramquay_peer_bytes_total/ { t += $2 }
    END { printf "%d", t }'
}

# The routers' private memory, in kB.
private_kb ()
{
  local name
  for name in "${routers[@]}"; do
    awk '/^Private_(Clean|Dirty):/ { n += $2 } END { print n }' \
      "/proc/${pids[$name]}/smaps_rollup"
  done | median_worst kB
}

measure_idle ()
{
  local cpu before bytes
  sleep $settle_s
  platform_calls >"$folder/before"
  bytes=$(peer_bytes)
  cpu=$(cpu_ms)
  before=$(now_ms)
  sleep "$idle_s"
  cpu=$(($(cpu_ms) - cpu))
  platform_calls >"$folder/after"
  before=$(($(now_ms) - before))
  bytes=$(($(peer_bytes) - bytes))
  printf '  idle: processor time of a router: '
  awk -v c=$cpu -v t=$before -v n=${#routers[@]} \
    'BEGIN { printf "%.3f%% of a core\n", 100 * c / t / n }'
  printf '  idle: private memory of a router: %s\n' "$(private_kb)"
  printf '  idle: bytes of a router with its peers, both ways: %s a second\n' \
    $((bytes * 1000 / before / ${#routers[@]}))
  printf '  idle: platform calls a second, of the whole fleet: %s\n' \
    "$(calls_between "$folder/before" "$folder/after" "$(awk -v t=$before 'BEGIN { print t / 1000 }')")"
}

measure_changes ()
{
  local i begin accepted generation
  : >"$folder/spread"
  : >"$folder/accepting"
  platform_calls >"$folder/before"
  for ((i = 1; i <= changes; i++)); do
    write_policy $((1000 + i))
    begin=$(now_ms)
    apply || fail "mqctl apply: $(cat "$folder/apply")"
    accepted=$(now_ms)
    generation=$((first_generation + i))
    until_true all_took $generation
    printf '%s\n' $((accepted - begin)) >>"$folder/accepting"
    printf '%s\n' $(($(last_took_ms $generation) - begin)) >>"$folder/spread"
    sleep $rest_s
  done
  platform_calls >"$folder/after"
  printf '  change: in force on every router, from the start of mqctl: %s\n' \
    "$(median_worst ms <"$folder/spread")"
  printf '  change: mqctl itself, until accepted: %s\n' \
    "$(median_worst ms <"$folder/accepting")"
  printf '  change: platform calls for each, mqctl and %s s of rest included: %s\n' \
    $rest_s "$(calls_between "$folder/before" "$folder/after" "$changes")"
}

has_ended ()
{
  ! kill -0 "$1" 2>/dev/null
}

# How long after signal $2 the others name $1, in ms: until the first of five
# rounds of asks in a row in which none does.
time_out ()
{
  local name=$1 begin first=0 absent=0 round
  begin=$(now_ms)
  kill "-$2" "${pids[$name]}"
  for ((round = 0; absent < 5; round++)); do
    [ $round -lt $wait_tries ] || fail "$name is still named"
    if [ "$(named_by "$name")" = 0 ]; then
      absent=$((absent + 1))
      [ $absent -gt 1 ] || first=$(now_ms)
    else
      absent=0
    fi
    sleep 0.02
  done
  until_true has_ended "${pids[$name]}"
  printf '%s\n' $((first - begin)) >>"$folder/out-$2"
}

measure_ends ()
{
  local signal i name
  for signal in TERM KILL; do
    : >"$folder/out-$signal"
    for ((i = 0; i < tries; i++)); do
      name=${routers[$((i % ${#routers[@]}))]}
      time_out "$name" $signal
      start_router "$name"
      until_true named_by_all "$name"
      sleep $rest_s
    done
    printf '  SIG%s: until no other names it in the ask: %s\n' $signal \
      "$(median_worst ms <"$folder/out-$signal")"
  done
}

run_fleet ()
{
  local n=$1 stage i
  [ "$n" -le $most_routers ] || fail "at most $most_routers routers"
  rm -f "$folder"/*.log "$folder"/*.out
  start platform "$bin/mqstand" platform --listen 127.0.0.1:0
  platform=$(address platform)
  for stage in 0 1 2; do
    start engine$stage "$bin/mqstand" engine --listen 127.0.0.1:0 \
      --name e$stage --model m --version v1 --step-us 3000 --slots 8 \
      --layers "$((stage * 4))-$((stage * 4 + 4))"
  done
  write_configuration
  routers=()
  for ((i = 1; i <= n; i++)); do
    write_settings "vm$i"
    start_router "vm$i"
    routers+=("vm$i")
  done
  apply || fail "mqctl apply: $(cat "$folder/apply")"
  until_true grep -q 'event=config.taken' "$folder/vm1.log"
  first_generation=$(sed -n 's/.*event=config.taken generation=\([0-9]*\) .*/\1/p' \
    "$folder/vm1.log" | head -n 1)
  until_true all_took "$first_generation"
  printf '%s routers\n' "$n"
  measure_idle
  measure_changes
  [ "$n" != $outage_size ] || measure_ends
  stop_all
}

"$bin/mqctl" keys "$folder/peers.pair" >"$folder/peers.ring"
printf 'load average before: %s\n' "$(cut -d' ' -f1-3 /proc/loadavg)"
for size in "${sizes[@]}"; do
  run_fleet "$size"
done
printf 'load average after: %s\n' "$(cut -d' ' -f1-3 /proc/loadavg)"
