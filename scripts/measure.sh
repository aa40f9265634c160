#!/usr/bin/env bash
# Runs one workload through router processes under each selection policy and
# appends one JSON result per line to RESULTS.
#
# usage: scripts/measure.sh WORKLOAD RESULTS [load options]
set -euo pipefail
cd "$(dirname "$0")/.."

WORKLOAD=$1
RESULTS=$2
shift 2
BIN=${BIN:-bin}
VMS=${VMS:-9}
POLICIES=${POLICIES:-round_robin,least_loaded,prefix_hash,prefix_cost}
BASE_PORT=${BASE_PORT:-22000}
DIR=$(mktemp -d)
PIDS=()

finish() {
  local status=$?
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then tail -n 3 "$DIR"/*.log >&2 || true; fi
  if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$DIR" "$KEEP_LOGS"; fi
  rm -rf "$DIR"
  exit "$status"
}
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$DIR/$name.log" 2>&1 &
  PIDS+=($!)
}

PUBLIC=$("$BIN/gentianstep" keys new --id ops-1 --out "$DIR/ops-1.key")
"$BIN/standin" plan --dir "$DIR" --workload "$WORKLOAD" --public-key "$PUBLIC" \
  --vms "$VMS" --base-port "$BASE_PORT" --policies "$POLICIES"
start platform "$BIN/standin" platform --address "127.0.0.1:$BASE_PORT"
start fleet "$BIN/standin" fleet --plan "$DIR/plan.json"
for i in $(seq 1 "$VMS"); do
  start "controller-$i" "$BIN/gentianstep" controller --settings "$DIR/vm-$i.json"
  start "router-$i" "$BIN/gentianstep" router --settings "$DIR/vm-$i.json"
done
sleep 1

version=0
for policy in ${POLICIES//,/ }; do
  version=$((version + 1))
  "$BIN/gentianstep" bundle sign --bundle "$DIR/bundle-$version.json" --key "$DIR/ops-1.key" --out "$DIR/signed-$version.json"
  "$BIN/gentianstep" bundle publish --bundle "$DIR/signed-$version.json" --settings "$DIR/vm-1.json"
  sleep 2
  "$BIN/standin" load --plan "$DIR/plan.json" --policy "$policy" "$@" >>"$RESULTS"
done
