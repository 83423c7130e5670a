# Every target works in a fresh clone that has Go and a module cache.
MODULES = world entry control platform snipebeam standin bench
BIN = .bin
FUZZTIME = 5s
PROTO = world/wire/wire.proto
GO_FILES = $$(git ls-files -co --exclude-standard '*.go' | grep -vE '\.(pb|twirp)\.go$$' | xargs ls 2>/dev/null)

.PHONY: build test fuzz crowd known-red check bench demo docs fmt generate tools race

build:
	for m in entry control standin; do go build -o $(BIN)/snipebeam-$$m ./$$m || exit 1; done; go build -o $(BIN)/snipebeam ./snipebeam

test:
	go test $(MODULES:%=./%/...)
	$(MAKE) fuzz
	$(MAKE) crowd

# A few seconds for each of the parsers that read what clients send.
fuzz:
	go test -run '^$$' -fuzz FuzzHead -fuzztime $(FUZZTIME) -fuzzminimizetime 10x ./world/intake
	go test -run '^$$' -fuzz FuzzEntries -fuzztime $(FUZZTIME) -fuzzminimizetime 10x ./world/message
	go test -run '^$$' -fuzz FuzzScanner -fuzztime $(FUZZTIME) -fuzzminimizetime 10x ./entry/framing

# Clients outside the limits against real processes. They run alone, because they take
# the memory and descriptors that they measure.
crowd:
	SNIPEBEAM_CROWD=1 go test -count=1 -p 1 -parallel 1 ./bench/crowd

# Tests that KNOWN-RED.txt lists, which make test skips.
known-red:
	@go run ./bench/knownred

race:
	go test -race $(MODULES:%=./%/...)

check: tools
	@unformatted=$$($(BIN)/gofumpt -l $(GO_FILES)); if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(BIN)/revive -config revive.toml -set_exit_status $(MODULES:%=./%/...)
	go vet $(MODULES:%=./%/...)

fmt: tools
	$(BIN)/gofumpt -w $(GO_FILES)

# ONLY=route runs one area, ONLY=control/distribution one part of it.
bench:
	@go run ./bench --only=$(ONLY)
	@case "$(ONLY)" in ""|control) go test -run '^$$' -bench . -benchmem ./platform/api;; esac

demo: build
	@go run ./bench/demo --programs=$(BIN)

# Files that a test holds to what the programs print.
docs: build
	$(BIN)/snipebeam-entry --print-config > examples/entry.toml
	$(BIN)/snipebeam-control --print-config > examples/control.toml
	go run ./bench/capacitypage

tools:
	@cd tools && GOWORK=off go build -o ../$(BIN)/ tool

# Needs protoc; the plugins are Go tools of the tools module.
generate: tools
	PATH=$(CURDIR)/$(BIN):$$PATH protoc -I world/wire --go_out=world/wire --go_opt=paths=source_relative --twirp_out=world/wire --twirp_opt=paths=source_relative $(PROTO)
