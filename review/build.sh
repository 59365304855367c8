#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-world review/world/*.go
