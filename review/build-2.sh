#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it at the root, after
# the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/rig review/rig-2/*.go
