#!/bin/bash
# Guards against an event or metric that is added to the code without an explanation: an operator on
# call would not know what it means. The operators' page must list each one that the code can write.
set -u
cd "$(dirname "$0")/../.."
page=docs/OPERATIONS.md
errors=0

# All C files as one line, so that calls over several lines are found.
code=$(find source platform -name '*.c' ! -path '*/generated/*' -exec cat {} + | tr '\n' ' ' | tr -s ' ')
events=$(grep -oP 'bt_log_event \( ?[^,]+,[^,]+,\K[^,]+|tell_left_out \([^"]*\K|begin_object \([^,]+,[^,]+,\K[^)]+|tell_endpoint \([^,]+,\K[^,]+' <<<"$code" \
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
