#!/bin/bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
trouble=${TROUBLE:-1}
record=review/5/record.txt
echo "TROUBLE=$trouble" >"$record" || exit 2
if [ ! -x target/bilberryd ] || [ ! -x review/bin/case-5 ]; then
  echo "The build of the deploy file or review/build-2.sh is missing." >>"$record"
  exit 2
fi
timeout -k 2 118 review/bin/case-5 "$trouble" "$record"
status=$?
[ "$status" -le 1 ] || status=2
echo "exit status $status" >>"$record"
exit "$status"
