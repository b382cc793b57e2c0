#!/usr/bin/env bash
# Shows the whole path on loopback: stand-ins and three routers are started, a
# folder is put in force, requests go through, and all that was started is
# stopped again.  Usage: tools/demo.sh [BUILD FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${1:-build}
folder=$(mktemp -d)
token=demo-token
operator=demo-operator
prompt="Unit 7 stops after ten minutes under load."
tokens=24
started=()

stop_all ()
{
  for pid in "${started[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT

say ()
{
  printf '\n* %s\n' "$*"
}

fail ()
{
  printf 'demo: %s\n' "$*" >&2
  cat "$folder"/*.log >&2 || true
  exit 1
}

digest ()
{
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

# start NAME COMMAND...: in the background; its output goes to files.
start ()
{
  local name=$1
  shift
  "$@" >"$folder/$name.out" 2>"$folder/$name.log" &
  started+=($!)
  printf '%s' $! >"$folder/$name.pid"
}

# address NAME: the IP:PORT that it printed.
address ()
{
  local i
  for i in $(seq 1200); do
    if grep -q '^listening=' "$folder/$1.out" 2>/dev/null; then
      sed -n 's/^listening=//p' "$folder/$1.out"
      return
    fi
    sleep 0.05
  done
  fail "$1 does not listen"
}

# until_true COMMAND...: wait for it, at most a minute.
until_true ()
{
  local i
  for i in $(seq 1200); do
    if "$@"; then
      return
    fi
    sleep 0.05
  done
  fail "timed out waiting for: $*"
}

ask ()
{
  curl -sS --max-time 60 -H "Authorization: Bearer $token" "$@"
}

# sees ROUTER N: it knows of N live routers.
sees ()
{
  curl -s "http://$1/v1/status" | grep -q "\"members_live\":$2[,}]"
}

is_ready ()
{
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ]
}

# The texts of a streamed answer, joined.
joined ()
{
  sed -n 's/.*"text":"\([^"]*\)".*/\1/p' | tr -d '\n'
}

say "Stand-ins: the platform, three model engines with layers 0-4, 4-8 and" \
    "8-12 of a model of 12, and the booking app."
start platform "$bin/mqstand" platform --listen 127.0.0.1:0
start booking "$bin/mqstand" plain --listen 127.0.0.1:0
for stage in 0 1 2; do
  start "engine$stage" "$bin/mqstand" engine --listen 127.0.0.1:0 \
    --name "e$stage" --model m --version v1 --step-us 3000 --slots 8 \
    --layers "$((stage * 4))-$((stage * 4 + 4))"
done
platform=http://$(address platform)

say "A folder of two files:"
mkdir "$folder/config"
cat >"$folder/config/10-yard.json" <<EOF
{ // Who may call, and what.
  "organisations": { "yard": { "token_sha256": "$(digest $token)" } },
  "models": { "m": { "version": "v1", "layers": 12 } },
  "failure_domains": { "kamloops-yard": { "region": "bc-interior" } },
  "services": {
    "reports": { "kind": "model", "model": "m", "deadline_ms": 60000 },
    "booking": { "kind": "plain", "deadline_ms": 30000,
      "instances": [ { "url": "http://$(address booking)",
                       "failure_domain": "kamloops-yard" } ],
      "repeatable": [ { "method": "GET", "path_prefix": "/" } ] } } }
EOF
{
  printf '{ "engines": {'
  for stage in 0 1 2; do
    [ $stage = 0 ] || printf ,
    printf '\n  "e%s": { "url": "http://%s", "model": "m", "version": "v1",' \
      "$stage" "$(address engine$stage)"
    printf ' "first": %s, "end": %s, "slots": 8, "step_us": 3000,' \
      $((stage * 4)) $((stage * 4 + 4))
    printf '\n    "accelerator": "fast", "failure_domain": "kamloops-yard" }'
  done
  printf ' } }\n'
} >"$folder/config/20-engines.json"
"$bin/mqctl" check "$folder/config"

say "Three routers, which know one another by a key pair and find one another" \
    "by the platform's list of VMs."
"$bin/mqctl" keys "$folder/pair" >"$folder/ring"
routers=()
for vm in 1 2 3; do
  cat >"$folder/vm$vm.settings" <<EOF
{ "name": "vm$vm", "region": "bc-interior", "failure_domain": "kamloops-yard",
  "callers": { "address": "127.0.0.1", "port": 0 },
  "peers": { "address": "127.0.0.1", "port": 0,
             "key_file": "$folder/pair", "ring_file": "$folder/ring" },
  "platform": { "url": "$platform" },
  "operators": { "token_sha256": "$(digest $operator)" } }
EOF
  start "vm$vm" "$bin/marjoramquay" --settings "$folder/vm$vm.settings"
  routers+=("$(address "vm$vm")")
  curl -sS -o "$folder/listed" -X PUT "$platform/vms/vm$vm" \
    -d "{\"address\":\"$(sed -n 's/^peers=//p' "$folder/vm$vm.out")\",
         \"state\":\"live\"}"
done
printf '%s\n' "${routers[@]}"
export MQ_PLATFORM=$platform MQ_TOKEN=$operator
MQ_ROUTER="${routers[*]/#/http://}"
export MQ_ROUTER

say "Put the folder in force, and wait until it is so on every router."
"$bin/mqctl" --who demo --why "first configuration" --wait apply "$folder/config"
for router in "${routers[@]}"; do
  until_true is_ready "$router"
  until_true sees "$router" 3
done

say "The ask: which routers may a caller use?"
ask "http://${routers[0]}/v1/entries?tickets=1" | tee "$folder/ask"
ticket=$(sed -n 's/.*"tickets":\["\([^"]*\)".*/\1/p' "$folder/ask")

say "A streamed answer that crosses the three engines:"
ask -N "http://${routers[0]}/v1/completions" -d "{\"model\":\"reports\",
  \"prompt\":\"$prompt\",\"max_tokens\":$tokens,\"stream\":true}" \
  >"$folder/stream"
answer=$(joined <"$folder/stream")
printf '%s\n' "$answer"
reference=$("$bin/mqstand" reference --model m --version v1 --layers 12 \
  --tokens $tokens --prompt "$prompt")
[ "$answer" = "$reference" ] || fail "the answer is not the reference's"
tail -n 2 "$folder/stream" | grep -q 'DONE' || fail "the stream did not end"
printf 'It equals the answer of one run over all layers.\n'

say "A lookup, which may be repeated:"
ask "http://${routers[1]}/v1/services/booking/lookup?unit=7"

say "A booking under a ticket, twice; it takes effect once:"
for try in first second; do
  printf '%s: ' $try
  ask -X POST -H "Marjoramquay-Ticket: $ticket" -d 'unit 7' \
    "http://${routers[0]}/v1/services/booking/book"
  printf '\n'
done
effects=$(curl -sS "http://$(address booking)/effects" | grep -o '"/book"' |
  wc -l)
[ "$effects" = 1 ] || fail "the booking took effect $effects times"

say "A request that can't be whole in time is refused at once; nothing runs:"
ask -H 'Marjoramquay-Deadline-Ms: 20' "http://${routers[1]}/v1/completions" \
  -d '{"model":"reports","prompt":"too late","max_tokens":200}' |
  tee "$folder/refusal"
grep -q '"outcome":"not-run"' "$folder/refusal" || fail "not refused as not-run"

say "vm3 drains while an answer runs on it; the answer is finished first:"
ask -N "http://${routers[2]}/v1/completions" -d "{\"model\":\"reports\",
  \"prompt\":\"$prompt\",\"max_tokens\":120,\"stream\":true}" \
  >"$folder/last" &
last=$!
until_true test -s "$folder/last"
"$bin/mqctl" drain vm3
wait $last
[ "$(joined <"$folder/last")" = "$("$bin/mqstand" reference --model m \
  --version v1 --layers 12 --tokens 120 --prompt "$prompt")" ] ||
  fail "the drain cut an answer"
wait "$(cat "$folder/vm3.pid")" || fail "vm3 did not end with status 0"
printf 'The answer is whole; vm3 ended with status 0.\n'

say "What changed, and who did it:"
"$bin/mqctl" log

say "What the routers that are left say of themselves:"
until_true sees "${routers[0]}" 2
until_true sees "${routers[1]}" 2
# Exit status 4 says that a router did not answer: vm3, which has ended.
MQ_ROUTER="http://${routers[0]}" "$bin/mqctl" status || [ $? = 4 ] ||
  fail "no status"

say "All done; everything that was started is being stopped."
