GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint

.PHONY: build run demo test race lint bench fuzz

build:
	$(GO) build -o bin/jujubethread .

run: build
	./bin/jujubethread dev

demo: build
	./bin/jujubethread demo

test:
	$(GO) vet ./...
	$(GO) test -count=1 -timeout 10m ./...

race:
	$(GO) test -race -count=1 -timeout 15m ./...

lint:
	$(LINT) run ./...
	$(LINT) fmt --diff ./...

bench: build
	./bin/jujubethread bench
