#!/usr/bin/env bash
# Prints all measurements: decision costs, then the comparisons of policies.
set -eu
cd "$(dirname "$0")/.."
go test -run '^$' -bench . -benchmem ./... | grep -vE '^(\?|ok|PASS|goos|goarch)'
bin/bench "$@"
