#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review/standin .
