#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/cicadagateway ] && [ -x target/review-2-rig ] || exit 2
exec target/review-2-rig deadly-part "$here/record.txt"
