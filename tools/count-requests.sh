#!/bin/bash
# Counts the ends of requests in the logs of gateways by cause: app, status, reason, sends and runs.
# Usage: tools/count-requests.sh [-s SECONDS] [LOG...]
# -s SECONDS counts for each interval of that many seconds of the log's time. Without files, reads the
# standard input. Each line may have a prefix before its JSON object.
set -u
interval=0
while getopts s: option; do
  case $option in
    s) interval=$OPTARG ;;
    *) echo "Usage: tools/count-requests.sh [-s SECONDS] [LOG...]" >&2; exit 2 ;;
  esac
done
shift $((OPTIND - 1))
[[ $interval =~ ^[0-9]+$ ]] || { echo "count-requests: the interval is not a whole number of seconds: $interval" >&2; exit 2; }
cat -- "$@" | awk -v interval="$interval" '
# Returns the value of a field of the line, without quotes.
function get(name,   text) {
  if (!match($0, "\"" name "\":(\"[^\"]*\"|-?[0-9]+)"))
    return "-"
  text = substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
  gsub(/"/, "", text)
  return text == "" ? "-" : text
}
function get_time(   at, seconds) {
  at = get("at")
  seconds = substr(at, 12, 2) * 3600 + substr(at, 15, 2) * 60 + substr(at, 18, 2)
  seconds -= seconds % interval
  return sprintf("%s%02d:%02d:%02d", substr(at, 1, 11), seconds / 3600, seconds % 3600 / 60, seconds % 60)
}
/"event":"request"/ {
  key = (interval > 0 ? get_time() " " : "") get("app") " " get("status") " " get("reason") " sends=" get("sends") " runs=" get("runs")
  count[key]++
  total++
}
END {
  for (key in count)
    printf "%7d %6.2f%% %s\n", count[key], 100 * count[key] / total, key
  printf "%7d 100.00%% all\n", total
}' | if [ "$interval" -gt 0 ]; then sort -k3,3 -k1,1nr; else sort -k1,1nr -k3; fi
