#!/usr/bin/env bash
# Runs all tests with the race detector. Property tests draw from a fixed seed, so
# that the verdict is the same in every run; SEED=N takes another one, and
# "make properties" takes a new one each time. Tests that KNOWN-RED.txt lists are
# skipped by name, printed, and run by themselves afterwards without counting.
set -u
cd "$(dirname "$0")/.." || exit 1
seed=${SEED:-1}
known=""
if [ -s KNOWN-RED.txt ]; then
  # A name may be that of a subtest: Test/case=1.
  known=$(grep -oE '^Test[A-Za-z0-9_]+(/[A-Za-z0-9_=]+)*' KNOWN-RED.txt | sort -u |
    sed 's#/#$/^#g; s#^#^#; s#$#$#' | paste -sd'|' -)
fi
skip=()
if [ -n "$known" ]; then
  skip=(-skip "$known")
  echo "known red, not counted: $known"
fi

# The flag of the seed exists only in packages whose tests draw properties.
imports='{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}'
drawn=$(go list -f "$imports" ./... | awk '/pgregory.net\/rapid/ {print $1}')
plain=$(go list ./... | grep -vxF "$drawn")

status=0
# shellcheck disable=SC2086
go test -race -count=1 -timeout 20m "${skip[@]}" $plain || status=1
# shellcheck disable=SC2086
go test -race -count=1 -timeout 20m "${skip[@]}" $drawn -rapid.seed="$seed" || status=1
if [ -n "$known" ]; then
  go test -race -count=1 -timeout 10m -run "$known" ./... | sed 's/^/known red: /'
fi
exit $status
