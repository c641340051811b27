#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-rig ] || [ ! -x target/cicadagateway ]; then
  echo "build the system and review/build.sh first" >&2
  exit 2
fi
exec target/review-rig stopping review/5
