#!/bin/bash
# Runs formatter, linter, models and all tests, as CI does. Stops at the first step that fails.
set -euo pipefail
cd "$(dirname "$0")/.."
run() { echo "== $*"; "$@"; }
run make --no-print-directory check-format
run make --no-print-directory lint
[ ! -x model/run.sh ] || run make --no-print-directory models
run make --no-print-directory test
run make --no-print-directory test-threads
