#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the standard library
# only. It is run after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go test -c -o ../../target/review-2/standin-2 .
