#!/usr/bin/env bash
# Runs every fuzz target of the project for the given time each.
set -eu
cd "$(dirname "$0")/.."
time=${1:-10s}
grep -rlE '^func Fuzz' --include='*_test.go' . | while read -r file; do
  dir=$(dirname "$file")
  grep -oE '^func Fuzz[A-Za-z0-9_]+' "$file" | sed 's/^func //' | while read -r target; do
    echo "$dir $target"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" "$dir" </dev/null
  done
done
