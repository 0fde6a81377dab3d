# mimosastand: build, checks, demo and benchmarks.

GO := go
KNOWN_RED := KNOWN-RED.txt

.PHONY: all build test check demo soak bench fuzz properties tidy

all: build

build:
	mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

# check runs the formatter, go vet and staticcheck.
check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	  if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: build check
	bash scripts/test.sh

demo: build
	bin/demo

# soak plays SEEDS seeds from SEED on, each for FOR, one after another, or the plan in
# the file PLAN.
SEED ?= 1
SEEDS ?= 1
FOR ?= 1m
soak: build
	bin/soak --seed $(SEED) --seeds $(SEEDS) --for $(FOR) $(if $(PLAN),--plan $(PLAN))

bench: build
	bash scripts/bench.sh

# fuzz runs each fuzz target for FUZZTIME.
FUZZTIME ?= 10s
fuzz:
	bash scripts/fuzz.sh $(FUZZTIME)

# properties runs the checks with a new seed for the property tests.
properties: build
	SEED=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' ') bash scripts/test.sh

tidy:
	$(GO) mod tidy -e
