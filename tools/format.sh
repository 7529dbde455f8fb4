#!/bin/sh
# Runs clang-format with the given options on every C file except generated ones.
set -eu
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '\.pb-c\.[ch]$' | xargs -r ls -d 2>/dev/null | xargs -r clang-format "$@"
