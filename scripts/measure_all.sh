#!/usr/bin/env bash
# Runs all measurements of docs/measurements and writes the page and its plots.
set -euo pipefail
cd "$(dirname "$0")/.."
SEED=${SEED:-1}
WARM=${WARM:-15s}
MEASURE=${MEASURE:-20s}
RESULTS=$(mktemp)
trap 'rm -f "$RESULTS"' EXIT
export POLICIES

run() {
  local workload=$1 name=$2
  shift 2
  scripts/measure.sh "$workload" "$RESULTS" --seed "$SEED" --warm "$WARM" --measure "$MEASURE" --case "$name" "$@" >/dev/null
}

for workload in vloerkuns cyngor; do
  POLICIES=round_robin,least_loaded,prefix_hash,prefix_cost
  run "$workload" steady
  POLICIES=least_loaded,prefix_cost
  run "$workload" crash --crash
  POLICIES=prefix_cost
  run "$workload" peak --load 1
  run "$workload" double --load 2
  run "$workload" flood --flood 2
done
POLICIES=prefix_cost
run cyngor no_batch --no-batch

mkdir -p docs/measurements
cp "$RESULTS" docs/measurements/results.jsonl
"${BIN:-bin}/standin" report --in "$RESULTS" --dir docs/measurements --title "make measure SEED=$SEED"
cat docs/measurements/README.md
