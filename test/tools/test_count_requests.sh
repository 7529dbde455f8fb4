#!/bin/bash
# Guards against a count that misses requests with a prefix before the line, or mixes causes or intervals.
set -u
cd "$(dirname "$0")/../.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cat >"$log" <<'LOG'
 7.1550 front-2 {"at":"2026-10-16T19:20:55.155Z","event":"request","request":"a","status":503,"reason":"endpoint-full","app":"drafts","sends":2,"runs":1}
{"at":"2026-10-16T19:20:56.155Z","event":"request","request":"b","status":503,"reason":"endpoint-full","app":"drafts","sends":2,"runs":1}
{"at":"2026-10-16T19:20:56.156Z","event":"retry","request":"c","reason":"endpoint-full","sends":2,"runs":1}
{"at":"2026-10-16T19:21:05.000Z","event":"request","request":"c","status":404,"reason":"no-such-path","app":"","sends":0,"runs":0}
LOG
errors=0
expect() {
  grep -qE "$1" <<<"$2" || { echo "missing: $1"; echo "$2"; errors=$((errors + 1)); }
}
whole=$(tools/count-requests.sh "$log")
expect '^ *2 +66\.67% drafts 503 endpoint-full sends=2 runs=1$' "$whole"
expect '^ *1 +33\.33% - 404 no-such-path sends=0 runs=0$' "$whole"
expect '^ *3 100\.00% all$' "$whole"
parts=$(tools/count-requests.sh -s 10 <"$log")
expect '2026-10-16T19:20:50 drafts 503' "$parts"
expect '2026-10-16T19:21:00 - 404' "$parts"
tools/count-requests.sh -s x "$log" 2>/dev/null && { echo "accepted an invalid interval"; errors=$((errors + 1)); }
exit $((errors > 0))
