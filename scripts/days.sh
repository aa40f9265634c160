#!/usr/bin/env bash
# days.sh runs each day (fault scenario) of deploy/days on each site. FLEETBENCH
# is the path of the users' test bench, SITES the directory of their site files,
# JOBS the number of parallel runs, and DAYS a glob pattern that selects days by
# name.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?takes the path of the bench}" "${SITES:?takes the directory of the site files}"

play() {
  local site=$1 day=$2 output
  output=$("$FLEETBENCH" run "$site" "$day" --why "each kind of trouble: $(basename "$day" .toml)" 2>&1) || true
  local verdict
  if grep -q BROKEN <<<"$output"; then
    verdict="broken: $(grep -m1 BROKEN <<<"$output")"
  else
    verdict=$(grep -m1 -oE "worth [0-9.]+" <<<"$output") || verdict="not played: $(tail -1 <<<"$output")"
  fi
  echo "$(basename "$site" .toml) $(basename "$day" .toml) $verdict"
}
export -f play
results=$(for site in "$SITES"/*.toml; do
  for day in deploy/days/${DAYS:-*}.toml; do
    printf '%s\0%s\0' "$site" "$day"
  done
done | xargs -0 -n 2 -P "${JOBS:-2}" bash -c 'play "$0" "$1"' | sort)
echo "$results"
! grep -qE "broken:|not played:" <<<"$results"
