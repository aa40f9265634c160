#!/usr/bin/env bash
# unit.sh runs all tests and passes its arguments to go test as flags. Only tests
# that KNOWN-RED.txt lists may fail. Packages whose tests start processes run last
# and one at a time, since their time limits are in real time and other tests
# would slow them down.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
# A fixed seed makes property-based tests generate the same cases in every run.
export RAPID_SEED=${RAPID_SEED:-1}

# run PARALLEL PACKAGES... tests packages, at most PARALLEL of them at a time.
run() {
  local parallel=$1
  shift
  "$GO" test -p "$parallel" "${flags[@]}" "$@" 2>&1 | tee -a "$output" || status=$?
}

flags=("$@")
processes=$("$GO" list -f '{{if or .TestImports .XTestImports}}{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}{{end}}' ./... |
  grep -E '/internal/testing/launcher( |$)' | cut -d' ' -f1)
others=$("$GO" list ./... | grep -vxF "$processes")
# With the race detector and several processors, timers in the simulated time of these
# tests crash the Go runtime or the detector at times. They run with the detector on one
# processor, and without it on all. TestNoRequestsAfterNotices of the chooser runs without it
# alone.
one_processor=(./internal/gateway/forwarder ./internal/serving/chooser)
others=$(grep -vxF "$("$GO" list "${one_processor[@]}")" <<<"$others")
# The first of these takes as long as all packages below together, and runs beside them.
race_output=$(mktemp)
trap 'rm -f "$output" "$race_output"' EXIT
"$GO" test -p 1 "${flags[@]}" -cpu 1 "${one_processor[@]}" >"$race_output" 2>&1 &
one_processor_race=$!
# shellcheck disable=SC2086 # both variables are split into words on purpose
run "$(nproc)" $others
wait "$one_processor_race" || status=$?
tee -a "$output" <"$race_output"
# shellcheck disable=SC2086
run 1 $processes
flags=(-count=1)
run 1 "${one_processor[@]}"
scripts/known-red.sh "$output" "$status" KNOWN-RED.txt
