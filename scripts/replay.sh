#!/usr/bin/env bash
# replay.sh runs the days (fault scenarios) of deploy/seeds.txt again. FLEETBENCH
# is the path of the users' test bench and SITES the directory of their site
# files. Only this script and days.sh need them.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?takes the path of the bench}" "${SITES:?takes the directory of the site files}"
broken=0
while read -r site day seed cause; do
  if [[ $site == \#* || -z $site ]]; then continue; fi
  play=(run "$SITES/$site.toml" "$day" --seed "$seed")
  if [[ $seed == - ]]; then play=(replay "$SITES/$site.toml" "$day"); fi
  output=$("$FLEETBENCH" "${play[@]}" --why "kept day: $cause" 2>&1)
  if grep -q BROKEN <<<"$output"; then
    broken=$((broken + 1))
    echo "broken: $site $day $seed ($cause)"
    grep -m1 BROKEN <<<"$output"
  else
    echo "kept: $site $day $seed"
  fi
done <deploy/seeds.txt
exit "$((broken > 0))"
