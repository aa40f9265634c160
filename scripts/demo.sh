#!/usr/bin/env bash
# Starts the complete system on loopback, sends requests through it and stops it.
source "$(dirname "$0")/deploy.sh"

deploy
STEP="show the status"
sleep 1.2 # routers report their version once a second
"$BIN/gentianstep" status --settings "$DIR/vm-1.json"

SHEET=$(printf 'catalogue sheet, glazed wall tile, row %04d. ' $(seq 1 200))
for i in 1 2; do
  STEP="streamed prompt $i"
  echo "--- streamed prompt $i"
  "$BIN/standin" ask --key "$CALLER_KEY" --url "http://$(caller_address 1)/v1/completions" \
    --body "{\"model\": \"tile-match\", \"prompt\": \"$SHEET match photo $i\", \"max_tokens\": 8, \"stream\": true}" >"$DIR/answer"
  grep -q 'data: \[DONE\]' "$DIR/answer"
  tail -n 4 "$DIR/answer"
done
STEP="sample order"
echo "--- sample order"
"$BIN/standin" ask --key "$CALLER_KEY" --idempotency-key order-1 \
  --url "http://$(caller_address 1)/v1/services/sample-desk/orders" --body '{"tile": "T-100"}'
echo
STEP="read the decisions"
echo "--- routing decisions"
grep -h '"event":"route"' "$DIR"/router-*.log
echo "demo passed"
