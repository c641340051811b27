#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. The gateway is built by the build
# line of deploy/system.toml. Run it anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2-rig review/rig-2/*.go
