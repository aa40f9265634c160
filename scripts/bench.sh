#!/usr/bin/env bash
# Times what a router adds to a request, against the same caller going
# straight to the engine, and how soon a restarted router serves.
# ROUNDS, LENGTH and RATE bound it; the first round is not counted.
VMS=2
ENGINES=1
SLOTS=1024
ENGINE_ARGS="--slots 1024 --token-interval 5ms --prefill-per-block 100us"
BASE_PORT=${BASE_PORT:-23000}
source "$(dirname "$0")/deploy.sh"
REGIONS=(jhb-a)

deploy >/dev/null
STEP="bench"
"$BIN/standin" bench --direct "$(engine_address 1 1)" --router "$(caller_address 1)" --key "$CALLER_KEY" \
  --rate "${RATE:-500}" --length "${LENGTH:-5s}" --rounds "${ROUNDS:-6}" \
  --process "router=${PID[router-1]}" --process "controller=${PID[controller-1]}"

STEP="restart with the store down and one peer up"
stop platform
stop router-1
stop controller-1
SINCE=$(date +%s%N)
start controller-1 "$BIN/gentianstep" controller --settings "$DIR/vm-1.json"
start router-1 "$BIN/gentianstep" router --settings "$DIR/vm-1.json"
echo
echo "router and controller killed and started again, store down, one peer up:"
"$BIN/standin" bench --router "$(caller_address 1)" --key "$CALLER_KEY" --since "$SINCE"
