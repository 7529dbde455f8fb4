#!/bin/bash
# Guards against stale lines in KNOWN-RED.txt: if the line of a fixed test stays there, CI ignores the
# test when it fails again for another reason. A listed test that passes must make the run fail. A listed
# test that fails or did not run must not.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
errors=0

# Checks run-tests.sh on the prepared log and list: check_run NAME EXPECTED_STATUS EXPECTED_LINE
check_run() {
  local output status
  output=$(BT_CTEST_LOG=$folder/log BT_KNOWN_RED=$folder/red ./tools/run-tests.sh 2>&1)
  status=$?
  if [ "$status" -ne "$2" ] || { [ -n "$3" ] && ! grep -qF "$3" <<<"$output"; }; then
    echo "$1: status $status instead of $2, or no line \"$3\" in: $output"
    errors=$((errors + 1))
  fi
}

write_log() { # PASSED FAILED
  {
    echo "    Start 1: $1"
    echo "1/2 Test  #1: $1 ....................   Passed    0.04 sec"
    [ -z "$2" ] || echo "2/2 Test #12: $2 ...................***Failed    1.04 sec"
    echo
    echo "50% tests passed, 1 tests failed out of 2"
    [ -z "$2" ] || printf 'The following tests FAILED:\n\t 12 - %s (Failed)                    process\n' "$2"
  } >"$folder/log"
}

echo "# Tests that fail for a known fault" >"$folder/red"
write_log test_good ""
check_run "no test fails" 0 ""
write_log test_good test_bad
check_run "a test fails" 1 "FAILED: test_bad"
echo "test_bad, a cause, #1" >>"$folder/red"
check_run "a listed test fails" 0 "KNOWN RED: test_bad, a cause, #1"
write_log test_bad ""
check_run "a listed test passes" 1 "NO LONGER RED: test_bad"
write_log test_bad test_other
check_run "a listed test passes and another fails" 1 "FAILED: test_other"
write_log test_bad_too ""
check_run "the name of a listed test is a prefix of another name" 0 ""
write_log test_good ""
check_run "a listed test did not run" 0 ""
echo "Errors while running CTest" >"$folder/log"
check_run "ctest did not finish" 1 "ctest did not finish"
[ "$errors" -eq 0 ] && echo "run-tests: all cases passed"
exit $((errors > 0))
