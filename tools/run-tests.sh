#!/bin/bash
# Runs the tests of a build directory. Usage: tools/run-tests.sh BUILD_DIR [LABEL_REGEX]
# A failure of a test listed in KNOWN-RED.txt is only printed; any other failure is an error. A listed
# test that passes is also an error, so that the list does not become stale.
#
# If BT_CTEST_LOG names a file with the output of ctest, checks that output against the list
# BT_KNOWN_RED and runs no tests.
set -u
cd "$(dirname "$0")/.."
build=${1:-}
label=${2:-.}
known_red=KNOWN-RED.txt
export TSAN_OPTIONS="suppressions=$PWD/tools/tsan.supp halt_on_error=1"
export ASAN_OPTIONS="detect_leaks=1:abort_on_error=0"
export UBSAN_OPTIONS="print_stacktrace=1"
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if [ -n "${BT_CTEST_LOG:-}" ]; then
  known_red=${BT_KNOWN_RED:-$known_red}
  cat "$BT_CTEST_LOG" >"$log"
else
  ctest --test-dir "$build" -L "$label" -j "${TEST_JOBS:-6}" --output-on-failure --no-tests=error >"$log" 2>&1
  cat "$log"
fi
failed=$(sed -n 's/^[[:space:]]*[0-9]* - \([a-z0-9_]*\) (\(Failed\|Timeout\|Subprocess aborted\|SEGFAULT\|.*\)).*/\1/p' "$log" | sort -u)
passed=$(sed -n 's/^[[:space:]]*[0-9]*\/[0-9]* Test *#[0-9]*: \([a-z0-9_]*\) \.* *Passed .*/\1/p' "$log" | sort -u)
grep -q 'tests passed' "$log" || { echo "run-tests: ctest did not finish"; exit 1; }
known=$(grep -vE '^[[:space:]]*(#|$)' "$known_red" | cut -d, -f1)
status=0
for test in $failed; do
  if grep -qx "$test" <<<"$known"; then
    echo "KNOWN RED: $(grep "^$test," "$known_red")"
  else
    echo "FAILED: $test"
    status=1
  fi
done
for test in $known; do
  if grep -qx "$test" <<<"$passed"; then
    echo "NO LONGER RED: $test passed; remove it from KNOWN-RED.txt"
    status=1
  fi
done
exit $status
