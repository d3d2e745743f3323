#!/usr/bin/env bash
# Evacuates a zone, takes that back and evacuates it again while one edge is frozen that
# was sent the middle one of these orders. TROUBLE=0 freezes nothing.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
exec target/review/standin evacuation "$folder"
