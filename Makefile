GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint

# Known failures: the tests in KNOWN-RED.txt, each name anchored at every level.
RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt)
SKIP := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | sed 's|/|$$/^|g; s|.*|^&$$|' | paste -sd '|')

# The tests of hostile clients measure processes: each runs apart from all others.
CROWD_FILES := $(wildcard internal/tier/crowd_test.go internal/tier/hostile_test.go internal/tier/operator_test.go internal/system/crowd_test.go)
CROWD_DIRS := $(addprefix ./,$(sort $(patsubst %/,%,$(dir $(CROWD_FILES)))))
CROWD := $(shell sed -n 's/^func \(Test[A-Za-z]*\).*/^\1$$/p' $(CROWD_FILES) | paste -sd '|')

.PHONY: build run demo test race lint bench fuzz

build:
	$(GO) build -o bin/jujubethread .

run: build
	./bin/jujubethread dev

demo: build
	./bin/jujubethread demo

test:
	$(GO) vet ./...
	@for t in $(RED); do echo "passed over, see KNOWN-RED.txt: $$t"; done
	$(GO) test -count=1 -timeout 10m -skip '$(if $(SKIP),$(SKIP)|)$(CROWD)' ./...
	$(GO) test -count=1 -timeout 15m -p 1 -parallel 1 $(if $(SKIP),-skip '$(SKIP)') -run '$(CROWD)' $(CROWD_DIRS)

race:
	$(GO) test -race -count=1 -timeout 15m -skip '$(if $(SKIP),$(SKIP)|)$(CROWD)' ./...
	$(GO) test -race -count=1 -timeout 15m -p 1 -parallel 1 $(if $(SKIP),-skip '$(SKIP)') -run '$(CROWD)' $(CROWD_DIRS)

lint:
	$(LINT) run ./...
	$(LINT) fmt --diff ./...

bench: build
	./bin/jujubethread bench

# Runs each fuzz target for FUZZTIME. make test runs their seeds only.
FUZZTIME ?= 5s

fuzz:
	@grep -r --include='*_test.go' -o '^func Fuzz[A-Za-z]*' . | while IFS=: read -r file f; do \
		$(GO) test -run '^$$' -fuzz "^$${f#func }$$" -fuzztime $(FUZZTIME) "$$(dirname "$$file")" || exit 1; \
	done
