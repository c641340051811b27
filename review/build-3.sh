#!/usr/bin/env bash
# Builds what the scripts of this review start, after the build of deploy/system.toml: the stand-ins and the
# clients of review/rig-3, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -o ../../target/review/rig-3 .
