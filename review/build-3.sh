#!/bin/bash
# Builds the stand-in that the scripts of review/11 to review/15 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig-3 review/rig-3/*.go
