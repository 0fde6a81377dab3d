#!/usr/bin/env bash
# Builds the stand-ins and clients of the review cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/cmd/...
