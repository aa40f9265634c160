# Targets for all development tasks of this repository.

GOLANGCI_LINT_VERSION := v2.12.2
BIN := $(CURDIR)/bin
GOLANGCI_LINT := $(BIN)/golangci-lint-$(GOLANGCI_LINT_VERSION)
# gopls v0.24 requires a newer Go version.
GOPLS_VERSION := v0.23.0
GOPLS := $(BIN)/gopls-$(GOPLS_VERSION)
GO ?= go
# Each work tree has its own cache, since cached findings contain the file paths of
# the work tree that was linted.
export GOLANGCI_LINT_CACHE := $(BIN)/lint-cache
SEED ?= 1

.PHONY: all build gopls fmt lint unit test demo bench measure replay days rehearse soak clean

all: build

build:
	$(GO) build -o $(BIN)/gentianstep ./cmd/gentianstep
	$(GO) build -o $(BIN)/standin ./cmd/standin

$(GOLANGCI_LINT):
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(BIN)/golangci-lint $@

# gopls renames identifiers across packages: bin/gopls-VERSION rename -w FILE:LINE:COLUMN NAME
gopls: $(GOPLS)

$(GOPLS):
	GOBIN=$(BIN) $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/gopls $@

fmt: $(GOLANGCI_LINT)
	$(GOLANGCI_LINT) fmt

lint: $(GOLANGCI_LINT)
	$(GOLANGCI_LINT) fmt --diff
	$(GOLANGCI_LINT) run

unit: build
	GO=$(GO) GENTIANSTEP_BIN=$(BIN) scripts/unit.sh -race -count=1 -timeout 20m

test: lint unit

demo: build
	scripts/demo.sh

bench: build
	scripts/bench.sh

clean:
	rm -rf $(BIN)

measure: build
	SEED=$(SEED) scripts/measure_all.sh

replay:
	scripts/replay.sh

days:
	scripts/days.sh

rehearse: build
	$(BIN)/standin rehearse

# soak plays SEEDS fresh seeds, or those from SEED on: make soak SEEDS=50
SEEDS ?= 5
soak: build
	$(BIN)/standin soak --seeds $(SEEDS) --dir $(BIN) $(if $(filter command line,$(origin SEED)),--seed $(SEED))
