#!/bin/sh
# Plays the standard days of the sites below, one site after the other, with
# the users' bench at $BENCH, and prints one table.  Exits 1 when a rule is
# broken or a gate is not passed, and 2 when it can't play.
#
#   BENCH=PATH tools/regress.sh [SITE...]
#
# SITE is a site file; without any, those of the kit that PATH lies in.
set -u
bench=${BENCH:?"BENCH: the path of the users' bench"}
[ -x "$bench" ] || { echo "regress: $bench is no program" >&2; exit 2; }
# Site files lie in the bench's folder, or in one above it.
kit=${bench%/bin/fleetbench}
while [ ! -d "$kit/sites" ] && [ "$kit" != "${kit%/*}" ]; do
  kit=${kit%/*}
done
[ -d "$kit/sites" ] || { echo "regress: no site files above $bench" >&2; exit 2; }
out=target/regress
small="sites/halvorsen-fleet sites/tekle-entries further/vlmcha-quarry"
grown="further-grown/vlmcha-quarry-grown grown/halvorsen-fleet-grown
  grown/tekle-entries-grown shifted/halvorsen-fleet-now-grown"
large="large/halvorsen-fleet-large"
failed=0

if [ $# -eq 0 ]; then
  for site in $small $grown $large; do
    set -- "$@" "$kit/$site.toml"
  done
fi
mkdir -p "$out"
for site; do
  name=$(basename "$site" .toml)
  jobs=4
  # A process of a large site takes 30 MB, and a site has hundreds.
  case $name in *-large) jobs=1 ;; *-grown) jobs=2 ;; esac
  "$bench" score "$site" --jobs "$jobs" --why "regression" \
    > "$out/$name.txt" 2>&1
  grep -E "^(quiet|trouble|scale)-[0-9]|rules broken|GATE" "$out/$name.txt" \
    | grep -v "is played" \
    | cut -c1-110 | sed "s/^/$name: /"
  grep -q "GATE passed" "$out/$name.txt" || failed=1
  grep -q "BROKEN" "$out/$name.txt" && failed=1
done
exit $failed
