#!/usr/bin/env bash
# Functions that start the complete system on loopback, to be sourced by other
# scripts. Environment variables: BIN, BASE_PORT, VMS, ENGINES (per VM), SLOTS,
# ENGINE_ARGS. After deploy, DIR is the directory of all files, and PID maps
# process names to process IDs.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

BIN=${BIN:-bin}
HOST=${HOST:-127.0.0.1}
BASE_PORT=${BASE_PORT:-21000}
VMS=${VMS:-3}
ENGINES=${ENGINES:-2}
SLOTS=${SLOTS:-8}
ENGINE_ARGS=${ENGINE_ARGS:-}
DIR=$(mktemp -d)
CALLER_KEY=local-caller-key
REGIONS=(jhb-a cpt-a dbn-a)
declare -A PID=()
STEP="start"

finish() {
  local status=$?
  for name in "${!PID[@]}"; do kill -TERM "${PID[$name]}" 2>/dev/null || true; done
  for name in "${!PID[@]}"; do wait "${PID[$name]}" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "failed at: $STEP" >&2
    tail -n 5 "$DIR"/*.log >&2 || true
  fi
  rm -rf "$DIR"
  exit "$status"
}
trap finish EXIT

# start NAME COMMAND... runs a command in the background and appends its output to
# DIR/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$DIR/$name.log" 2>&1 &
  PID[$name]=$!
}

# stop NAME kills a process that start has started and waits for its exit.
stop() {
  kill -KILL "${PID[$1]}"
  wait "${PID[$1]}" 2>/dev/null || true
  unset "PID[$1]"
}

port() { echo $((BASE_PORT + $1)); }
region() { echo "${REGIONS[(($1 - 1) % ${#REGIONS[@]})]}"; }
caller_address() { echo "$HOST:$(port $((10 * $1)))"; }
operator_address() { echo "$HOST:$(port $((10 * $1 + 1)))"; }
peer_address() { echo "$HOST:$(port $((10 * $1 + 2)))"; }
engine_address() { echo "$HOST:$(port $((100 + 10 * $1 + $2)))"; }
desk_address() { echo "$HOST:$(port $((200 + $1)))"; }

# wait_for URL polls URL until it responds.
wait_for() {
  STEP="wait for $1"
  for _ in $(seq 1 100); do
    if "$BIN/standin" ask --url "$1" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  return 1
}

write_settings() {
  local peers="" i
  for i in $(seq 1 "$VMS"); do peers+="\"$(peer_address "$i")\","; done
  for i in $(seq 1 "$VMS"); do
    cat >"$DIR/vm-$i.json" <<SETTINGS
{
  "deployment": "local",
  "node": "vm-$i",
  "region": "$(region "$i")",
  "availability_zone": "$(region "$i")1",
  "router": {"caller_address": "$(caller_address "$i")", "operator_address": "$(operator_address "$i")", "drain_delay": "0s"},
  "controller": {"peer_address": "$(peer_address "$i")", "operator_address": "$HOST:$(port $((10 * i + 3)))", "peers": [${peers%,}]},
  "platform": {"address": "$HOST:$(port 0)"},
  "trust": {"bundle_keys": [$1], "threshold": 1}
}
SETTINGS
  done
}

write_bundle() {
  local upstreams="" desks="" i j
  for i in $(seq 1 "$VMS"); do
    local place="\"region\": \"$(region "$i")\", \"availability_zone\": \"$(region "$i")1\", \"slots\": $SLOTS"
    for j in $(seq 1 "$ENGINES"); do
      upstreams+="{\"name\": \"tile-$i$j\", \"kind\": \"engine\", \"address\": \"$(engine_address "$i" "$j")\", $place, \"models\": [\"tile-match\"], \"checks_fencing\": true},"
    done
    upstreams+="{\"name\": \"desk-$i\", \"kind\": \"plain_service\", \"address\": \"$(desk_address "$i")\", $place, \"checks_fencing\": false},"
    desks+="\"desk-$i\","
  done
  cat >"$DIR/bundle.json" <<BUNDLE
{
  "deployment": "local",
  "version": 1,
  "regions": [
    {"name": "jhb-a", "availability_zones": ["jhb-a1"]},
    {"name": "cpt-a", "availability_zones": ["cpt-a1"]},
    {"name": "dbn-a", "availability_zones": ["dbn-a1"]}
  ],
  "organisations": [{"name": "kliek-teels", "key_hashes": ["$(printf %s "$CALLER_KEY" | sha256sum | cut -d' ' -f1)"], "weight": 1, "priority": "interactive"}],
  "models": [{"name": "tile-match", "weights_version": "w1", "min_replicas": 1, "continue_elsewhere": true, "max_prompt_bytes": 1000000, "max_tokens": 4096}],
  "upstreams": [${upstreams%,}],
  "services": [{"name": "sample-desk", "upstreams": [${desks%,}], "calls": [{"method": "GET", "path": "/stock/*", "idempotent": true}, {"method": "POST", "path": "/orders", "idempotent": false}]}],
  "policy": {
    "selection": {"name": "prefix_cost", "recompute_price": 0.5, "crossing_price": "20ms", "crossing_latency": "15ms", "lookup_timeout": "5ms"},
    "admission": {"queue_length": 256, "max_wait": "3s", "batch_max_wait": "60s", "batch_share": 0.5},
    "attempts": {"max_attempts": 3, "retry_budget": 0.1, "cooldown": "5s", "max_ejected": 0.5},
    "streams": {"first_byte_timeout": "10s", "idle_timeout": "3s", "total_timeout": "10m0s", "caller_write_timeout": "10s", "max_resumes": 3},
    "placement": {"max_loads": 3, "lease_ttl": "10s", "order_timeout": "5s", "min_dwell": "30s"}
  }
}
BUNDLE
}

# deploy starts all processes, publishes the first bundle and waits until the
# routers are ready.
deploy() {
  local i j
  STEP="make keys"
  local public
  public=$("$BIN/gentianstep" keys new --id ops-1 --out "$DIR/ops-1.key")
  STEP="write settings"
  write_settings "$public"
  STEP="write bundle"
  write_bundle
  STEP="start stand-ins"
  start platform "$BIN/standin" platform --address "$HOST:$(port 0)"
  for i in $(seq 1 "$VMS"); do
    for j in $(seq 1 "$ENGINES"); do
      # shellcheck disable=SC2086 # ENGINE_ARGS is split into words on purpose
      start "engine-$i$j" "$BIN/standin" engine --name "tile-$i$j" --address "$(engine_address "$i" "$j")" $ENGINE_ARGS
    done
    start "desk-$i" "$BIN/standin" service --name "desk-$i" --address "$(desk_address "$i")"
  done
  STEP="start routers and controllers"
  for i in $(seq 1 "$VMS"); do
    start "controller-$i" "$BIN/gentianstep" controller --settings "$DIR/vm-$i.json"
    start "router-$i" "$BIN/gentianstep" router --settings "$DIR/vm-$i.json"
  done
  wait_for "http://$HOST:$(port 0)/v1/vms"
  STEP="sign and publish the bundle"
  "$BIN/gentianstep" bundle sign --bundle "$DIR/bundle.json" --key "$DIR/ops-1.key" --out "$DIR/signed.json"
  "$BIN/gentianstep" bundle publish --bundle "$DIR/signed.json" --settings "$DIR/vm-1.json"
  for i in $(seq 1 "$VMS"); do wait_for "http://$(operator_address "$i")/ready"; done
}
