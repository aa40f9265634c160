#!/usr/bin/env bash
# Builds the stand-ins of the scripts of REPORT-3.md into target/, beside the programs of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/_harness
