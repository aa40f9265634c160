#!/usr/bin/env bash
# Starts the whole system on loopback, sends requests through it and stops it.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=${BIN:-bin}
DIR=$(mktemp -d)
PIDS=()
BASE_PORT=${BASE_PORT:-21000}
STEP="start"

finish() {
  local status=$?
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "demo failed at: $STEP" >&2
    tail -n 5 "$DIR"/*.log >&2 || true
  fi
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

port() { echo $((BASE_PORT + $1)); }

wait_for() {
  STEP="wait for $1"
  for _ in $(seq 1 100); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return; fi
    sleep 0.1
  done
  return 1
}

REGIONS=(jhb-a cpt-a dbn-a)
STEP="make keys"
PUBLIC=$("$BIN/gentianstep" keys new --id ops-1 --out "$DIR/ops-1.key")
CALLER_KEY=demo-caller-key
CALLER_HASH=$(printf %s "$CALLER_KEY" | sha256sum | cut -d' ' -f1)

STEP="write settings"
PEERS=""
for i in 1 2 3; do PEERS+="\"127.0.0.1:$(port $((10 * i + 2)))\","; done
for i in 1 2 3; do
  cat >"$DIR/vm-$i.json" <<SETTINGS
{
  "deployment": "demo",
  "node": "vm-$i",
  "region": "${REGIONS[i - 1]}",
  "availability_zone": "${REGIONS[i - 1]}1",
  "router": {"caller_address": "127.0.0.1:$(port $((10 * i)))", "operator_address": "127.0.0.1:$(port $((10 * i + 1)))"},
  "controller": {"peer_address": "127.0.0.1:$(port $((10 * i + 2)))", "operator_address": "127.0.0.1:$(port $((10 * i + 3)))", "peers": [${PEERS%,}]},
  "platform": {"address": "127.0.0.1:$(port 0)"},
  "trust": {"bundle_keys": [$PUBLIC], "threshold": 1}
}
SETTINGS
done

STEP="write bundle"
UPSTREAMS=""
for i in 1 2 3; do
  for j in 1 2; do
    UPSTREAMS+="{\"name\": \"tile-$i$j\", \"kind\": \"engine\", \"address\": \"127.0.0.1:$(port $((100 + 10 * i + j)))\", \"region\": \"${REGIONS[i - 1]}\", \"availability_zone\": \"${REGIONS[i - 1]}1\", \"models\": [\"tile-match\"], \"slots\": 8, \"checks_fencing\": true},"
  done
  UPSTREAMS+="{\"name\": \"desk-$i\", \"kind\": \"plain_service\", \"address\": \"127.0.0.1:$(port $((200 + i)))\", \"region\": \"${REGIONS[i - 1]}\", \"availability_zone\": \"${REGIONS[i - 1]}1\", \"slots\": 8, \"checks_fencing\": false},"
done
cat >"$DIR/bundle.json" <<BUNDLE
{
  "deployment": "demo",
  "version": 1,
  "regions": [
    {"name": "jhb-a", "availability_zones": ["jhb-a1"]},
    {"name": "cpt-a", "availability_zones": ["cpt-a1"]},
    {"name": "dbn-a", "availability_zones": ["dbn-a1"]}
  ],
  "organisations": [{"name": "kliek-teels", "key_hashes": ["$CALLER_HASH"], "weight": 1, "priority": "interactive"}],
  "models": [{"name": "tile-match", "weights_version": "w1", "min_replicas": 1, "continue_elsewhere": true, "max_prompt_bytes": 1000000, "max_tokens": 4096}],
  "upstreams": [${UPSTREAMS%,}],
  "services": [{"name": "sample-desk", "upstreams": ["desk-1", "desk-2", "desk-3"], "calls": [{"method": "GET", "path": "/stock/*", "idempotent": true}, {"method": "POST", "path": "/orders", "idempotent": false}]}],
  "policy": {
    "selection": {"name": "prefix_cost", "recompute_price": 0.5, "crossing_price": "20ms", "crossing_latency": "15ms", "lookup_timeout": "5ms"},
    "admission": {"queue_length": 256, "max_wait": "3s", "batch_max_wait": "60s", "batch_share": 0.5},
    "attempts": {"max_attempts": 3, "retry_budget": 0.1, "cooldown": "5s", "max_ejected": 0.5},
    "streams": {"first_byte_timeout": "10s", "idle_timeout": "3s", "total_timeout": "10m0s", "caller_write_timeout": "10s", "max_resumes": 3},
    "placement": {"max_loads": 3, "lease_ttl": "10s", "order_timeout": "5s", "min_dwell": "30s"}
  }
}
BUNDLE

STEP="start stand-ins"
start platform "$BIN/standin" platform --address "127.0.0.1:$(port 0)"
for i in 1 2 3; do
  for j in 1 2; do
    start "engine-$i$j" "$BIN/standin" engine --name "tile-$i$j" --address "127.0.0.1:$(port $((100 + 10 * i + j)))"
  done
  start "desk-$i" "$BIN/standin" service --name "desk-$i" --address "127.0.0.1:$(port $((200 + i)))"
done
STEP="start routers and controllers"
for i in 1 2 3; do
  start "controller-$i" "$BIN/gentianstep" controller --settings "$DIR/vm-$i.json"
  start "router-$i" "$BIN/gentianstep" router --settings "$DIR/vm-$i.json"
done
wait_for "http://127.0.0.1:$(port 0)/v1/vms"

STEP="sign and publish the bundle"
"$BIN/gentianstep" bundle sign --bundle "$DIR/bundle.json" --key "$DIR/ops-1.key" --out "$DIR/signed.json"
"$BIN/gentianstep" bundle publish --bundle "$DIR/signed.json" --settings "$DIR/vm-1.json"
for i in 1 2 3; do
  wait_for "http://127.0.0.1:$(port $((10 * i + 1)))/ready"
  curl -fsS "http://127.0.0.1:$(port $((10 * i + 1)))/status"
done

SHEET=$(printf 'catalogue sheet, glazed wall tile, row %04d. ' $(seq 1 200))
for i in 1 2; do
  STEP="streamed prompt $i"
  echo "--- streamed prompt $i"
  curl -fsSN -H "Authorization: Bearer $CALLER_KEY" "http://127.0.0.1:$(port 10)/v1/completions" \
    -d "{\"model\": \"tile-match\", \"prompt\": \"$SHEET match photo $i\", \"max_tokens\": 8, \"stream\": true}" >"$DIR/answer"
  grep -q 'data: \[DONE\]' "$DIR/answer"
  tail -n 4 "$DIR/answer"
done
STEP="sample order"
echo "--- sample order"
curl -fsS -H "Authorization: Bearer $CALLER_KEY" -H "Idempotency-Key: order-1" \
  "http://127.0.0.1:$(port 10)/v1/services/sample-desk/orders" -d '{"tile": "T-100"}'
STEP="read the decisions"
echo "--- routing decisions"
grep -h '"event":"route"' "$DIR"/router-*.log
echo "demo passed"
