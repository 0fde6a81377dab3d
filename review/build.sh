#!/usr/bin/env bash
# Builds the programs of the review cases, and the stand-in of a plain service that three of them
# start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
build() { go build -tags review -o "target/review/$1" "./review/$2"; }
build largebodies 1
build frozenverify 2
build storepages 3
build doubleslash 4
build leftduringcut 5
build plainservice 4/plainservice
