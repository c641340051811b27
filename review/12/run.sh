#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if
# the case could not run. TROUBLE=0 leaves out the silence.
set -u
cd "$(dirname "$0")/../.."
for program in target/cicadagateway target/review/rig-3; do
  if [ ! -x "$program" ]; then
    echo "$program is not built: build as deploy/system.toml does, then review/build-3.sh"
    exit 2
  fi
done
exec target/review/rig-3 -case missed-end -gateway target/cicadagateway -record review/12/record.txt
