#!/usr/bin/env bash
# Replaces two of three core machines, one after the other. TROUBLE=0 replaces none.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
exec target/review/standin core "$folder"
