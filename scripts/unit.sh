#!/usr/bin/env bash
# unit.sh runs all tests with the flags given to go test and lets only the
# tests that KNOWN-RED.txt lists fail. Packages whose tests start real processes
# run after the others and one by one, since their bounds are times of the clock.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
# Property tests draw the same cases in every run.
export RAPID_SEED=${RAPID_SEED:-1}

# run PARALLEL PACKAGES... tests packages, that many side by side.
run() {
  local parallel=$1
  shift
  "$GO" test -p "$parallel" "${flags[@]}" "$@" 2>&1 | tee -a "$output" || status=$?
}

flags=("$@")
processes=$("$GO" list -f '{{if or .TestImports .XTestImports}}{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}{{end}}' ./... |
  grep -E '/internal/testing/launcher( |$)' | cut -d' ' -f1)
others=$("$GO" list ./... | grep -vxF "$processes")
# shellcheck disable=SC2086 # both hold several words
run "$(nproc)" $others
# shellcheck disable=SC2086
run 1 $processes
scripts/known-red.sh "$output" "$status" KNOWN-RED.txt
