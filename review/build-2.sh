#!/bin/sh
# Builds the stand-ins of the cases 7, 8 and 10 into target/. Needs no network.
set -e
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
go build -o ../../target/review-standin2 .
