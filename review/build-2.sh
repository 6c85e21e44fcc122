#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the standard library only. It is run
# after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-2/standin-2 ./review/standin-2
