#!/bin/bash
# Builds the stand-ins and clients of the scripted cases in review/bin, with the packages of the deploy
# file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for folder in [0-9]*; do
  [ -f "$folder/case.c" ] || continue
  cc -std=c11 -O1 -g -Wall -Wextra -pthread -o "bin/case-$folder" "$folder/case.c" common/*.c \
    -ljansson -lsodium
done
