#!/usr/bin/env bash
# unit.sh runs go test with its arguments and lets only the tests that
# KNOWN-RED.txt lists fail.
set -euo pipefail
cd "$(dirname "$0")/.."
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
"${GO:-go}" test "$@" 2>&1 | tee "$output" || status=$?
scripts/known-red.sh "$output" "$status" KNOWN-RED.txt
