#!/usr/bin/env bash
# Runs the Spin models listed in CASES and compares each result with its expectation.
#
#   run.sh                 run all cases
#   run.sh NAME...         run only the named cases
#   run.sh --trace NAME    print the counterexample of a case that has been run
#   run.sh --self-test     check that a wrong expectation or an incomplete search is reported
#   run.sh --cases FILE    read the cases from FILE
#
# A case that is expected to pass needs a complete search without errors. A case that is expected to
# fail needs an error, a trail file, and a violation of the assertion or claim that its line names.
# Environment: PAN_DEPTH (search depth), PAN_JOBS (parallel cases), MODEL_OUT (output directory).

set -u

MODEL_DIR=$(cd "$(dirname "$0")" && pwd)
OUT_DIR=${MODEL_OUT:-$MODEL_DIR/out}
CASES_FILE=$MODEL_DIR/CASES
DEPTH=${PAN_DEPTH:-1000000}
JOBS=${PAN_JOBS:-4}
MEMORY_LIMIT_MB=1900
TIME_LIMIT_S=200
VIOLATION_WIDTH=50
TABLE_FORMAT='%-34s %-6s %-7s %10s %8s  %s\n'

trim ()
{
  local text=$1
  text=${text#"${text%%[![:space:]]*}"}
  text=${text%"${text##*[![:space:]]}"}
  printf '%s' "$text"
}

# Prints the text of the violated assertion, or the name of the violated claim.
violation ()
{
  local log=$1 text
  text=$(sed -n 's/^pan:1: assertion violated \(.*\) (at depth.*/\1/p' "$log" | head -n 1)
  if [ -z "$text" ] && grep -q '^pan:1: acceptance cycle' "$log"; then
    text="acceptance cycle $(sed -n 's/^.*never claim.*(\(.*\)).*/\1/p' "$log" | head -n 1)"
  fi
  if [ -z "$text" ]; then
    text=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' "$log" | head -n 1)
  fi
  printf '%s' "$text"
}

# Succeeds if the search hit a limit or was approximate, so that its result proves nothing.
incomplete ()
{
  grep -q -e 'max search depth too small' -e 'out of memory' -e 'reached -DMEMLIM' \
    -e 'VECTORSZ' -e 'BITSTATE' -e 'hash compact' "$1"
}

# Succeeds if the search stopped before its end, which is expected only after an error.
stopped_early ()
{
  grep -qi 'search not completed' "$1"
}

# Prints the violation, shortened to the part that the case names if it is long.
short_violation ()
{
  local claim=$1 text=$2
  if [ ${#text} -gt $VIOLATION_WIDTH ] && [ -n "$claim" ] && [[ "$text" == *"$claim"* ]]; then
    text="... $claim ..."
  fi
  printf '%s' "${text:0:$VIOLATION_WIDTH}"
}

# Prints pass, fail, other (a violation that the case does not name) or error.
classify_result ()
{
  local expect=$1 claim=$2 log=$3 trail=$4 errors
  errors=$(sed -n 's/^State-vector.*errors: \([0-9]*\).*/\1/p' "$log")
  if [ -z "$errors" ] || incomplete "$log"; then
    echo error
  elif [ "$expect" = pass ] && [ "$errors" = 0 ] && ! stopped_early "$log"; then
    echo pass
  elif [ "$expect" = pass ] && [ "$errors" = 0 ]; then
    echo error
  elif [ "$errors" = 0 ]; then
    echo pass
  elif [ ! -s "$trail" ]; then
    echo error
  elif [ "$expect" = fail ] && [[ "$(violation "$log")" != *"$claim"* ]]; then
    echo other
  else
    echo fail
  fi
}

run_case ()
{
  local name=$1 file=$2 defines=$3 expect=$4 kind=$5 claim=$6
  local dir=$OUT_DIR/$name compile_flags run_flags result states seconds start
  rm -rf "$dir"
  mkdir -p "$dir"
  start=$(date +%s.%N)
  case $expect-$kind in
    pass-safety) compile_flags='-DSAFETY'; run_flags="-m$DEPTH" ;;
    fail-safety) compile_flags='-DSAFETY -DBFS'; run_flags="-m$DEPTH" ;;
    # All runs of the models end (checked by the cases of kind "ends"), so a claim needs no fairness:
    # a run that violates it is reported as a cycle that repeats the last state.
    pass-liveness | fail-liveness) compile_flags='-DNOFAIR'; run_flags="-a -m$DEPTH" ;;
    # The models have no progress labels, so every cycle is reported.
    pass-ends) compile_flags='-DNP -DNOFAIR'; run_flags="-l -m$DEPTH" ;;
    *) echo "bad expectation or kind: $expect $kind" > "$dir/log"; compile_flags= ;;
  esac
  # shellcheck disable=SC2086
  if [ -n "$compile_flags" ]; then
    ( cd "$dir" &&
      spin -a $defines "$MODEL_DIR/$file" &&
      gcc -O2 -w -DMEMLIM=$MEMORY_LIMIT_MB $compile_flags -o pan pan.c &&
      timeout $TIME_LIMIT_S ./pan $run_flags
    ) > "$dir/log" 2>&1
  fi
  result=$(classify_result "$expect" "$claim" "$dir/log" "$dir/$file.trail")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/log" | head -n 1)
  seconds=$(awk -v a="$start" -v b="$(date +%s.%N)" 'BEGIN { printf "%.1f", b - a }')
  # shellcheck disable=SC2059
  printf "$TABLE_FORMAT" "$name" "$expect" "$result" "${states:--}" "$seconds" \
    "$(short_violation "$claim" "$(violation "$dir/log")")" > "$dir/row"
  if [ "$result" = "$expect" ]; then touch "$dir/ok"; fi
}

run_all ()
{
  local names=" $* " name file defines expect kind claim running=0 passed=0 failed=0
  local started=()
  mkdir -p "$OUT_DIR"
  while IFS='|' read -r name file defines expect kind claim _; do
    name=$(trim "$name")
    case $name in '' | '#'*) continue ;; esac
    if [ "$names" != '  ' ] && [[ "$names" != *" $name "* ]]; then continue; fi
    if [ "$running" -ge "$JOBS" ]; then
      wait -n
      running=$((running - 1))
    fi
    run_case "$name" "$(trim "$file")" "$(trim "$defines")" "$(trim "$expect")" \
      "$(trim "$kind")" "$(trim "$claim")" &
    running=$((running + 1))
    started+=("$name")
  done < "$CASES_FILE"
  wait

  # shellcheck disable=SC2059
  printf "$TABLE_FORMAT" case expect result states seconds violated
  for name in "${started[@]}"; do
    if [ -s "$OUT_DIR/$name/row" ]; then cat "$OUT_DIR/$name/row"; else echo "$name: no result"; fi
    if [ -e "$OUT_DIR/$name/ok" ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
  done
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
}

# Prints the steps of a counterexample and the variables that each step changes.
print_trace ()
{
  local wanted=$1 name file defines
  while IFS='|' read -r name file defines _; do
    if [ "$(trim "$name")" != "$wanted" ]; then continue; fi
    file=$(trim "$file")
    if [ ! -s "$OUT_DIR/$wanted/$file.trail" ]; then
      echo "$wanted: no trail; run the case first"
      return 1
    fi
    # shellcheck disable=SC2086
    ( cd "$OUT_DIR/$wanted" && spin -p -g -k "$file.trail" $defines "$MODEL_DIR/$file" )
    return 0
  done < "$CASES_FILE"
  echo "$wanted: no such case"
  return 1
}

# Runs a list with one line and compares the result and the exit status of run.sh.
check_line ()
{
  local title=$1 want_result=$2 want_status=$3 line=$4 depth=${5:-$DEPTH} dir status result
  dir=$OUT_DIR/self-test
  mkdir -p "$dir"
  echo "$line" > "$dir/CASES"
  PAN_DEPTH=$depth MODEL_OUT=$dir "$MODEL_DIR/run.sh" --cases "$dir/CASES" > "$dir/output"
  status=$?
  result=$(awk 'NR == 2 && NF >= 5 { print $3 }' "$dir/output")
  if [ "$result" != "$want_result" ] || [ "$status" -ne "$want_status" ]; then
    echo "self-test: $title: result '$result', status $status"
    return 1
  fi
  echo "self-test: $title: as expected"
}

self_test ()
{
  local failed=0
  check_line 'a correct expectation' pass 0 \
    'right|request.pml|-DMATCH|pass|safety||' || failed=1
  check_line 'a guarded model expected to fail' pass 1 \
    'wrong-fail|request.pml|-DMATCH|fail|safety|request|' || failed=1
  check_line 'an unguarded model expected to pass' fail 1 \
    'wrong-pass|request.pml|-DMATCH -DNO_MATCH|pass|safety||' || failed=1
  check_line 'a violation of another assertion' other 1 \
    'wrong-claim|request.pml|-DMATCH -DNO_MATCH|fail|safety|no such assertion|' || failed=1
  check_line 'a liveness claim expected to hold' fail 1 \
    'wrong-live|map.pml|-DLIVENESS -DCRASH -DNO_ABORT|pass|liveness||' || failed=1
  check_line 'an incomplete search' error 1 \
    'short|request.pml|-DARBITER|pass|safety||' 5 || failed=1
  check_line 'a model that does not exist' error 1 \
    'missing|absent.pml||fail|safety||' || failed=1
  check_line 'an empty list' '' 1 '# nothing' || failed=1
  return $failed
}

if [ "${1:-}" = --cases ]; then
  CASES_FILE=$2
  shift 2
fi
if [ "${1:-}" = --self-test ]; then
  self_test
elif [ "${1:-}" = --trace ]; then
  print_trace "${2:-}"
else
  run_all "$@"
fi
