#!/usr/bin/env bash
# Measures the latency that a router adds to a request, compared with requests
# sent directly to the engine, and the time until a restarted router serves
# requests. ROUNDS, LENGTH and RATE set the number, duration and request rate of
# the rounds. The first round is not counted.
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
