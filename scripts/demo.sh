#!/usr/bin/env bash
# Starts the whole system on loopback, sends requests through it and stops it.
source "$(dirname "$0")/deploy.sh"

deploy
STEP="show the status"
sleep 1.2 # the routers tell their version once a second
"$BIN/gentianstep" status --settings "$DIR/vm-1.json"

SHEET=$(printf 'catalogue sheet, glazed wall tile, row %04d. ' $(seq 1 200))
for i in 1 2; do
  STEP="streamed prompt $i"
  echo "--- streamed prompt $i"
  curl -fsSN -H "Authorization: Bearer $CALLER_KEY" "http://$(caller_address 1)/v1/completions" \
    -d "{\"model\": \"tile-match\", \"prompt\": \"$SHEET match photo $i\", \"max_tokens\": 8, \"stream\": true}" >"$DIR/answer"
  grep -q 'data: \[DONE\]' "$DIR/answer"
  tail -n 4 "$DIR/answer"
done
STEP="sample order"
echo "--- sample order"
curl -fsS -H "Authorization: Bearer $CALLER_KEY" -H "Idempotency-Key: order-1" \
  "http://$(caller_address 1)/v1/services/sample-desk/orders" -d '{"tile": "T-100"}'
STEP="read the decisions"
echo "--- routing decisions"
grep -h '"event":"route"' "$DIR"/router-*.log
echo "demo passed"
