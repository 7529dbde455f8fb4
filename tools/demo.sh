#!/bin/bash
# Demonstrates the main functions with the stand-ins: three entries, three model engines and a plain
# service with their agents. Sends real requests, kills one entry meanwhile and prints what each caller
# received. Stops all processes at the end.
# Usage: tools/demo.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp -d)
pids=()
declare -A pid_of
base=${DEMO_PORT:-21000}

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() { # NAME COMMAND...
  local name=$1; shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  pid_of[$name]=$!
}

export BILBERRY_SECRET=demo-secret
echo "== Starting the stand-ins of the platform, four endpoints with their agents, and three entries"
start kv "$build/standin-kv" --port $((base + 1)) --life-s 120
start list "$build/standin-instances" --port $((base + 2)) --life-s 120
for i in 1 2 3; do
  start "engine-$i" "$build/standin-engine" --port $((base + 10 + i)) --step-us 6000 --life-s 120
done
start lookup "$build/standin-plain" --port $((base + 14)) --life-s 120
instances=""
for i in 1 2 3 4; do
  app=order-drafting; endpoint=draft-$((i - 1)); plain=""
  [ "$i" -lt 4 ] || { app=driver-lookup; endpoint=lookup-0; plain=--plain; }
  start "agent-$i" "$build/bilberry-agent" --instance "agent-$i" --failure-domain linkou-hall \
    --listen "127.0.0.1:$((base + 20 + i))" --endpoint "$endpoint" --app "$app" \
    --endpoint-url "http://127.0.0.1:$((base + 10 + i))" $plain
  instances+="{\"instance\":\"agent-$i\",\"role\":\"agent\",\"endpoint\":\"$endpoint\",\"app\":\"$app\",\"address\":\"127.0.0.1:$((base + 20 + i))\",\"failure_domain\":\"linkou-hall\",\"state\":\"live\"},"
done
for i in 1 2 3; do
  instances+="{\"instance\":\"entry-$i\",\"role\":\"entry\",\"address\":\"127.0.0.1:$((base + 30 + i))\",\"http\":\"127.0.0.1:$((base + 40 + i))\",\"failure_domain\":\"linkou-hall\",\"state\":\"live\"},"
done
sleep 0.5
curl -sf -X PUT -d "{\"revision\":1,\"instances\":[${instances%,}]}" "http://127.0.0.1:$((base + 2))/instances" >/dev/null
for i in 1 2 3; do
  start "entry-$i" "$build/bilberryd" serve --instance "entry-$i" --failure-domain linkou-hall \
    --listen "127.0.0.1:$((base + 40 + i))" --link-listen "127.0.0.1:$((base + 30 + i))" \
    --page "127.0.0.1:$((base + 50 + i))" --store-url "http://127.0.0.1:$((base + 1))" \
    --instances-url "http://127.0.0.1:$((base + 2))" --address-life-ms 500 --instances-ms 200
done

echo "== Publishing the declarations of examples/haiyun"
if "$build/bilberryd" publish --help >/dev/null 2>&1; then
  "$build/bilberryd" publish --store-url "http://127.0.0.1:$((base + 1))" \
    --instances-url "http://127.0.0.1:$((base + 2))" examples/haiyun
else
  for document in accounts apps endpoints rules; do
    key=$(printf 'bilberrytray/%s' "$document" | base64 -w0)
    value=$(base64 -w0 <"examples/haiyun/$document.json")
    curl -sf -d "{\"key\":\"$key\",\"value\":\"$value\"}" "http://127.0.0.1:$((base + 1))/v3/kv/put" >/dev/null
  done
fi

ask() { # PORT TOKEN CURL-ARGS...; the variable path holds the path of the URL
  local port=$1 token=$2; shift 2
  curl -s -N --max-time 20 -H "Authorization: Bearer demo-$token" "$@" "http://127.0.0.1:$port$path"
}

echo "== Waiting until each entry serves requests"
for i in 1 2 3; do
  for _ in $(seq 100); do
    path=/v1/completions
    status=$(ask $((base + 40 + i)) buyers-north -o /dev/null -w '%{http_code}' -d '{"prompt":"ping","max_tokens":1}' || true)
    [ "$status" = 200 ] && break
    sleep 0.1
  done
  echo "entry-$i: $status"
done

echo "== A caller asks which addresses to use"
path=/v1/addresses ask $((base + 41)) buyers-north; echo

echo "== A draft, streamed completely"
path=/v1/completions ask $((base + 41)) buyers-north -d '{"prompt":"ten kilos of shrimp","max_tokens":5}'

echo "== One draft sent twice with the same ticket through two entries: it runs once"
ticket=$(path=/v1/addresses ask $((base + 41)) buyers-north -H 'Bilberry-App: order-drafting' \
  -H 'Bilberry-Tickets: 1' | sed -n 's/.*"tickets":\["\([^"]*\)".*/\1/p')
for port in $((base + 41)) $((base + 42)); do
  path=/v1/completions ask $port buyers-north -H "Idempotency-Key: $ticket" \
    -d '{"prompt":"two pallets","max_tokens":3}' | grep -c index | sed 's/^/tokens: /'
done
for i in 1 2 3; do curl -s "http://127.0.0.1:$((base + 10 + i))/v1/runs"; done \
  | grep -o '"prompt":"two pallets"' | wc -l | sed 's/^/runs: /'

echo "== A lookup by a driver, and a request that the driver is not allowed to send"
path=/lookup/stock ask $((base + 42)) drivers -d 'shrimp'; echo
path=/v1/completions ask $((base + 42)) drivers -d '{"prompt":"x"}'

echo "== An invalid token"
path=/v1/completions ask $((base + 42)) nobody -d '{}'

echo "== Twelve drafts; entry-2 is killed meanwhile"
for n in $(seq 12); do
  port=$((base + 41 + n % 3))
  ( path=/v1/completions
    code=0
    ask $port buyers-south -d "{\"prompt\":\"order $n\",\"max_tokens\":60}" >"$work/draft-$n" || code=$?
    if [ $code -eq 0 ] && grep -q DONE "$work/draft-$n"; then echo "caller $n by entry-$((n % 3 + 1)): complete, $(grep -c index "$work/draft-$n") tokens"
    else
      echo "caller $n by entry-$((n % 3 + 1)): cut off (curl exit status $code), sends a new request to another entry"
      ask $((base + 41)) buyers-south -d "{\"prompt\":\"order $n\",\"max_tokens\":60}" >"$work/again-$n" \
        && grep -q DONE "$work/again-$n" && echo "caller $n by entry-1: complete, $(grep -c index "$work/again-$n") tokens"
    fi ) &
  callers+=($!)
done
sleep 0.2
kill -KILL "${pid_of[entry-2]}"
for pid in "${callers[@]}"; do wait "$pid"; done

echo "== Counters of entry-1"
curl -s "http://127.0.0.1:$((base + 51))/metrics" | grep -E '^bilberry_(outcomes|refusals)' | grep -v ' 0$'

echo "== The same on a platform with HTTP endpoints: a gateway, the stand-in of the store, two runners"
start store "$build/standin-haiyun_store" --port $((base + 60)) --life-s 120
for i in 1 2; do
  RUNNER_ID="i-$i" start "runner-$i" "$build/standin-haiyun_runner" --port $((base + 60 + i)) --life-s 120
done
sleep 0.5
put() { curl -sf -X POST -d "$2" "http://127.0.0.1:$((base + 60))/control/put?key=$1" >/dev/null; }
for i in 1 2; do
  put "servers/i-$i" "{\"service\":\"drafts\",\"address\":\"127.0.0.1:$((base + 60 + i))\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":$(date +%s%3N)}"
done
put op/config '{"version":1,"services":[{"name":"drafts"}],"tenants":[{"name":"buyer","api_keys":["demo-key"]}],"routes":[{"name":"drafts","host":"shop.example","prefix":"/stream/","kind":"streaming","resumable":true,"service":"drafts","timeout_ms":8000,"max_attempts":2}]}'
start gateway "$build/bilberryd" gateway --instance gateway-1 --failure-domain a \
  --listen "127.0.0.1:$((base + 70))" --addresses "127.0.0.1:$((base + 71))" \
  --ready "127.0.0.1:$((base + 72))" --links "127.0.0.1:$((base + 73))" --store "127.0.0.1:$((base + 60))"
for _ in $(seq 100); do
  curl -sf "http://127.0.0.1:$((base + 72))/v1/readiness" >/dev/null && break
  sleep 0.1
done
ask_gateway() { # ID KEY
  echo "-- request $1:"
  curl -s -H "Host: shop.example" -H "Authorization: Bearer $2" -H "Bilberrytray-Attempt-Id: $1" \
    -d shrimp "http://127.0.0.1:$((base + 70))/stream/draft" | grep -c '^data: piece' || true
}
curl -s "http://127.0.0.1:$((base + 71))/v1/resolve?name=shop.example"; echo
ask_gateway whole demo-key
curl -sf -d '{"kind":"cut","count":1,"match":"/stream/"}' "http://127.0.0.1:$((base + 61))/fault" >/dev/null
echo "   (one runner now cuts off a stream in the middle of an event; the other resumes it)"
for i in 1 2 3; do ask_gateway "resumed-$i" demo-key; done
ask_gateway unknown-key nobody
grep -h '"event":"request"\|"event":"retry"' "$work/gateway.out" | cut -c1-200 | tail -6
echo "== Stopping"
