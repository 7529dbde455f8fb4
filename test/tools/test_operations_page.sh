#!/bin/bash
# Guards against events and metrics that operators cannot look up: a code change adds one, but not its
# description. Each event and metric that the code can write must be listed on the operations page.
set -u
cd "$(dirname "$0")/../.."
page=docs/OPERATIONS.md
errors=0

# Joins all C files into one line, so that calls that span several lines are found.
code=$(find source platform -name '*.c' ! -path '*/generated/*' -exec cat {} + | tr '\n' ' ' | tr -s ' ')
calls='bt_log_event \( ?[^,]+,[^,]+,\K[^,]+|write_dropped_event \([^"]*\K|begin_object \([^,]+,[^,]+,\K[^)]+|log_endpoint \([^,]+,\K[^,]+'
# Fails if a named function no longer exists: after a rename, its events would no longer be found.
for function in $(grep -oP '\w+(?= \\\()' <<<"$calls"); do
  grep -rq --include='*.c' "\<$function (" source || { echo "function $function is not in source"; errors=$((errors + 1)); }
done
events=$(grep -oP "$calls" <<<"$code" \
  | grep -oP '"\K[a-z-]+(?=")' | sort -u)
metrics=$(grep -oP '"\Kbilberry_[a-z_]+(?=")' <<<"$code" | sort -u)
for name in $events; do
  grep -qP "^\|[^|]*\`$name\`" "$page" || { echo "event $name is not in $page"; errors=$((errors + 1)); }
done
for name in $metrics; do
  grep -qP "^\|[^|]*\`$name[\`{]" "$page" || { echo "metric $name is not in $page"; errors=$((errors + 1)); }
done
echo "operations page: $(wc -w <<<"$events") events, $(wc -w <<<"$metrics") metrics, $errors missing"
[ "$(wc -w <<<"$events")" -gt 30 ] && [ "$(wc -w <<<"$metrics")" -gt 30 ] || errors=$((errors + 1))
exit $((errors > 0))
