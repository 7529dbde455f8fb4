#!/bin/sh
# Runs clang-format with the given options over every C file but the generated ones.
set -eu
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.c' '*.h' | grep -v '\.pb-c\.[ch]$' | xargs -r clang-format "$@"
