#!/bin/bash
# Builds the stand-ins and clients of the scripted cases 4 to 8 in review/bin, with the packages of the
# deploy file only. They use the stand-ins in review/common,
# and a store of their own if they bring one.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for folder in [4-8]; do
  [ -f "$folder/case.c" ] || continue
  store=common/store.c
  [ ! -f "$folder/store.c" ] || store=$folder/store.c
  cc -std=c11 -O1 -g -Wall -Wextra -pthread -o "bin/case-$folder" "$folder/case.c" "$store" \
    common/fleet.c common/http.c common/runner.c -ljansson -lsodium
done
